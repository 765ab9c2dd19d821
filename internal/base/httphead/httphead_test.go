package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	good := map[string]int64{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n":                                       -1,
		"GET / HTTP/1.1\r\n\r\n":                                                  -1,
		"POST / HTTP/1.1\r\ncontent-length: 12\r\n\r\n":                           12,
		"HTTP/1.1 200 OK\r\nContent-Length:0 \r\nX: \r\n\r\n":                     0,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nY: caf\xc3\xa9\r\n\r\n": -1,
	}
	for text, length := range good {
		h, err := Parse([]byte(text))
		if err != nil || h.ContentLength != length {
			t.Errorf("Parse(%q): ContentLength %d, error %v", text, h.ContentLength, err)
		}
		if End([]byte(text+"more")) != len(text) || End([]byte(text[:len(text)-1])) >= 0 {
			t.Errorf("End(%q): the end of the head was not found, or was found in an incomplete head", text)
		}
	}
	for _, text := range []string{
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3,3\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding:\r\n chunked\r\n\r\n",
		"POST / HTTP/1.1\nContent-Length: 3\n\n",
		"POST / HTTP/1.1\r\nX: a\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nX: a\rb\r\n\r\n",
		"POST / HTTP/1.1\r\nno colon\r\n\r\n",
		"POST / HTTP/1.1\r\n: no name\r\n\r\n",
		"noise\x00\r\n\r\n",
	} {
		if h, err := Parse([]byte(text)); err == nil {
			t.Errorf("Parse(%q) = %+v, want an error", text, h)
		}
	}
}

// Heads of many short fields take a multiple of their bytes once they are parsed.
func TestParseLimitsFields(t *testing.T) {
	head := func(fields int) []byte {
		return []byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", fields) + "\r\n")
	}
	if h, err := Parse(head(MaxFields)); err != nil || len(h.Header["A"]) != MaxFields {
		t.Errorf("%d fields: %d values, error %v", MaxFields, len(h.Header["A"]), err)
	}
	if _, err := Parse(head(MaxFields + 1)); !errors.Is(err, ErrTooManyFields) {
		t.Errorf("%d fields: error %v", MaxFields+1, err)
	}
}

// FuzzParse checks that net/http parses an accepted head in the same way, so that no other parser sees a different request.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n",
		"GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", "GET / HTTP/1.1\r\nA : b\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: +5\r\n\r\n", "GET / HTTP/1.1\r\nhost: x\r\nTransfer-Encoding: Chunked\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		end := End(text)
		if end < 0 {
			return
		}
		h, err := Parse(text[:end])
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text[:end])))
		if err != nil {
			return // net/http also checks the request line, which Parse does not
		}
		length := h.ContentLength
		if h.Chunked || length < 0 && r.ContentLength == 0 {
			length = r.ContentLength
		}
		if r.ContentLength != length || h.Chunked != (len(r.TransferEncoding) > 0) {
			t.Fatalf("Parse(%q): ContentLength %d, chunked %t; net/http: ContentLength %d, transfer codings %v", text, h.ContentLength, h.Chunked, r.ContentLength, r.TransferEncoding)
		}
		for name, values := range r.Header {
			if name != "Host" && name != "Transfer-Encoding" && name != "Content-Length" && !slices.Equal(values, h.Header[name]) {
				t.Fatalf("Parse(%q): field %s is %q; net/http: %q", text, name, h.Header[name], values)
			}
		}
	})
}
