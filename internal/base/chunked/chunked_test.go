package chunked

import (
	"errors"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
)

// decode feeds a text in pieces of a size, and returns the body and the rest behind it.
func decode(text string, piece int) (body, behind string, over bool, err error) {
	var d Decoder
	var out strings.Builder
	in := []byte(text)
	for len(in) > 0 && !d.IsComplete() {
		data, used, err := d.Feed(in[:min(piece, len(in))])
		out.Write(data)
		if err != nil {
			return out.String(), "", false, err
		}
		in = in[used:]
	}
	return out.String(), string(in), d.IsComplete(), nil
}

func TestDecoder(t *testing.T) {
	for _, c := range []struct{ text, body, behind string }{
		{"0\r\n\r\n", "", ""},
		{"3\r\nabc\r\n0\r\n\r\nGET /", "abc", "GET /"},
		{"3;name=value;other=\"x y\"\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n", "abc0123456789", ""},
		{"3 ;x\r\nabc\r\n00\r\nX-Trailer: yes\r\nOther: no\r\n\r\nrest", "abc", "rest"},
	} {
		for piece := 1; piece <= len(c.text); piece++ {
			body, behind, over, err := decode(c.text, piece)
			if err != nil || !over || body != c.body || behind != c.behind {
				t.Fatalf("%q in pieces of %d: %q, behind it %q, over %t, %v", c.text, piece, body, behind, over, err)
			}
		}
	}
	for _, text := range []string{"\r\n", "x\r\n", "3\nabc\r\n", "3\r\nabcd\r\n", "3\r\nabc\n", "-3\r\n", "0x3\r\n", "3 \r\n", "3 4\r\n",
		"1000000000000000\r\n", "0\r\nno colon\r\n", "0\r\na b: c\r\n\r\n", "0\r\nA: \x01\r\n", "3;\x01\r\n",
		strings.Repeat("0", maxLineBytes) + "\r\n", "0\r\n" + strings.Repeat("A: b\r\n", maxTrailerBytes)} {
		if _, _, _, err := decode(text, len(text)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%.40q: %v", text, err)
		}
	}
	// Framing without end for next to no data.
	if _, _, _, err := decode(strings.Repeat("1;"+strings.Repeat("x", 900)+"\r\na\r\n", 100), 4096); !errors.Is(err, ErrMalformed) {
		t.Errorf("endless extensions: %v", err)
	}
}

// FuzzDecoder checks that what is accepted decodes as with net/http, in pieces of any size.
func FuzzDecoder(f *testing.F) {
	f.Add("3;a=b\r\nabc\r\n0\r\nT: x\r\n\r\n", 2)
	f.Add("5\r\nhello\r\n0\r\n\r\n", 1)
	f.Fuzz(func(t *testing.T, text string, piece int) {
		body, behind, over, err := decode(text, max(piece, 1))
		if whole, b2, o2, err2 := decode(text, max(len(text), 1)); whole != body || behind != b2 || over != o2 || (err == nil) != (err2 == nil) {
			t.Fatalf("in pieces of %d: %q %q %t %v, whole: %q %q %t %v", piece, body, behind, over, err, whole, b2, o2, err2)
		}
		if err != nil || !over {
			return
		}
		theirs, err := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(text)))
		if err != nil || string(theirs) != body {
			t.Fatalf("%q: %q here, %q there: %v", text, body, theirs, err)
		}
	})
}
