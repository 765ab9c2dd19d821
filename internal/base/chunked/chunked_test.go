package chunked

import (
	"errors"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
)

// decode feeds text to a Decoder in pieces of at most pieceSize bytes. It returns the body, the input after the body, and whether
// the body is complete.
func decode(text string, pieceSize int) (body, rest string, complete bool, err error) {
	var d Decoder
	var out strings.Builder
	in := []byte(text)
	for len(in) > 0 && !d.IsComplete() {
		data, used, err := d.Feed(in[:min(pieceSize, len(in))])
		out.Write(data)
		if err != nil {
			return out.String(), "", false, err
		}
		in = in[used:]
	}
	return out.String(), string(in), d.IsComplete(), nil
}

func TestDecoder(t *testing.T) {
	for _, c := range []struct{ text, body, rest string }{
		{"0\r\n\r\n", "", ""},
		{"3\r\nabc\r\n0\r\n\r\nGET /", "abc", "GET /"},
		{"3;name=value;other=\"x y\"\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n", "abc0123456789", ""},
		{"3 ;x\r\nabc\r\n00\r\nX-Trailer: yes\r\nOther: no\r\n\r\nrest", "abc", "rest"},
	} {
		for pieceSize := 1; pieceSize <= len(c.text); pieceSize++ {
			body, rest, complete, err := decode(c.text, pieceSize)
			if err != nil || !complete || body != c.body || rest != c.rest {
				t.Fatalf("decoding %q in pieces of %d bytes: body %q, rest %q, complete %t, error %v", c.text, pieceSize, body, rest, complete, err)
			}
		}
	}
	for _, text := range []string{"\r\n", "x\r\n", "3\nabc\r\n", "3\r\nabcd\r\n", "3\r\nabc\n", "-3\r\n", "0x3\r\n", "3 \r\n", "3 4\r\n",
		"1000000000000000\r\n", "0\r\nno colon\r\n", "0\r\na b: c\r\n\r\n", "0\r\nA: \x01\r\n", "3;\x01\r\n",
		strings.Repeat("0", maxLineBytes) + "\r\n", "0\r\n" + strings.Repeat("A: b\r\n", maxTrailerBytes)} {
		if _, _, _, err := decode(text, len(text)); !errors.Is(err, ErrMalformed) {
			t.Errorf("decoding %.40q: error %v, want ErrMalformed", text, err)
		}
	}
	// Extensions of 900 bytes on chunks of one byte exceed the limit on framing.
	if _, _, _, err := decode(strings.Repeat("1;"+strings.Repeat("x", 900)+"\r\na\r\n", 100), 4096); !errors.Is(err, ErrMalformed) {
		t.Errorf("long extensions on chunks of one byte: error %v, want ErrMalformed", err)
	}
}

// FuzzDecoder checks that input decodes alike in pieces of any size, and that net/http decodes accepted input to the same body.
func FuzzDecoder(f *testing.F) {
	f.Add("3;a=b\r\nabc\r\n0\r\nT: x\r\n\r\n", 2)
	f.Add("5\r\nhello\r\n0\r\n\r\n", 1)
	f.Fuzz(func(t *testing.T, text string, pieceSize int) {
		body, rest, complete, err := decode(text, max(pieceSize, 1))
		if wholeBody, wholeRest, wholeComplete, wholeErr := decode(text, max(len(text), 1)); wholeBody != body || rest != wholeRest || complete != wholeComplete || (err == nil) != (wholeErr == nil) {
			t.Fatalf("in pieces of %d bytes: body %q, rest %q, complete %t, error %v; in one piece: body %q, rest %q, complete %t, error %v", pieceSize, body, rest, complete, err, wholeBody, wholeRest, wholeComplete, wholeErr)
		}
		if err != nil || !complete {
			return
		}
		reference, err := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(text)))
		if err != nil || string(reference) != body {
			t.Fatalf("decoding %q: body %q; net/http: body %q, error %v", text, body, reference, err)
		}
	})
}
