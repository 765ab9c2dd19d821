// Package httphead reads the head of an HTTP/1.1 message strictly. What two readers could understand differently is
// an error here: a length that stands twice or beside a transfer coding (such a message can hide another in its
// body), folded lines, bare line feeds, names with spaces, control characters. Package net/http repairs some of that
// before a handler sees it. It errs on the side of refusing: an old peer that ends its lines with a line feed alone,
// or says the same length twice, is turned away too.
package httphead

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// Head is a message's head.
type Head struct {
	StartLine     string // the request or status line
	Header        http.Header
	ContentLength int64 // -1: none told
	Chunked       bool
}

// End returns the length of the head that text begins with, its empty line included, or -1 where that is still to
// come.
func End(text []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(text[at:], '\n')
		if i < 0 {
			return -1
		}
		line := text[at : at+i]
		at += i + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return at
		}
	}
}

// Parse reads a whole head.
func Parse(text []byte) (Head, error) {
	body, ok := strings.CutSuffix(string(text), "\r\n\r\n")
	if !ok {
		return Head{}, errors.New("head: no empty line at its end")
	}
	start, fields, more := strings.Cut(body, "\r\n")
	lines := strings.Count(fields, "\r\n") + 1
	h := Head{StartLine: start, Header: make(http.Header, lines), ContentLength: -1}
	values := make([]string, 0, lines) // one for most names: they share an array
	if !isPrintable(start) {
		return h, errors.New("head: the first line can't be read")
	}
	for more {
		var line string
		line, fields, more = strings.Cut(fields, "\r\n")
		name, value, colon := strings.Cut(line, ":")
		if !colon || !IsToken(name) || !isPrintable(value) {
			return h, fmt.Errorf("head: line %.40q", line)
		}
		name, value = textproto.CanonicalMIMEHeaderKey(name), strings.Trim(value, " \t")
		if before, twice := h.Header[name]; twice {
			h.Header[name] = append(before, value)
			continue
		}
		values = append(values, value)
		h.Header[name] = values[len(values)-1 : len(values) : len(values)]
	}
	return h, h.parseFraming()
}

func (h *Head) parseFraming() error {
	lengths, codings := h.Header["Content-Length"], h.Header["Transfer-Encoding"]
	switch {
	case len(lengths)+len(codings) > 1:
		return errors.New("head: several lengths, or a length and a transfer coding")
	case len(codings) == 1 && (strings.HasSuffix(h.StartLine, " HTTP/1.0") || strings.HasPrefix(h.StartLine, "HTTP/1.0 ")):
		return errors.New("head: a transfer coding in HTTP/1.0") // faulty framing: RFC 9112, 6.1
	case len(codings) == 1:
		h.Chunked = strings.EqualFold(codings[0], "chunked")
		if !h.Chunked {
			return fmt.Errorf("head: transfer coding %.40q", codings[0])
		}
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 63) // digits alone
		if err != nil {
			return fmt.Errorf("head: length %.40q", lengths[0])
		}
		h.ContentLength = int64(n)
	}
	return nil
}

// IsClose tells whether the message ends its connection.
func (h *Head) IsClose() bool {
	for _, line := range h.Header["Connection"] {
		for option := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(option), "close") {
				return true
			}
		}
	}
	return false
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// IsToken tells whether s is a token (RFC 9110, 5.6.2), as names and methods are.
func IsToken(s string) bool {
	for i := range len(s) {
		if !tokenBytes[s[i]] {
			return false
		}
	}
	return s != ""
}

var tokenBytes = func() (t [256]bool) {
	for c := range t {
		t[c] = c > ' ' && c < 0x7f && !strings.ContainsRune(`"(),/:;<=>?@[\]{}`, rune(c))
	}
	return t
}()
