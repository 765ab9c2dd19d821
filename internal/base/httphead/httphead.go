// Package httphead parses the head of an HTTP/1.1 message (RFC 9112) strictly. Whatever two parsers could read differently is
// an error: a repeated Content-Length or one beside a Transfer-Encoding (request smuggling), folded lines, bare line feeds,
// names with spaces, control characters. net/http repairs some of that before a handler sees it. Old peers that end lines
// with a bare line feed, or repeat the same length, are rejected too.
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

// Head is the head of a message.
type Head struct {
	StartLine     string // request line or status line
	Header        http.Header
	ContentLength int64 // -1: none
	Chunked       bool
}

// End returns the length of the head that text begins with, including its empty line, or -1 if the head is incomplete.
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

// Parse parses a complete head.
func Parse(text []byte) (Head, error) {
	body, ok := strings.CutSuffix(string(text), "\r\n\r\n")
	if !ok {
		return Head{}, errors.New("head: no empty line at its end")
	}
	start, fields, more := strings.Cut(body, "\r\n")
	lines := strings.Count(fields, "\r\n") + 1
	h := Head{StartLine: start, Header: make(http.Header, lines), ContentLength: -1}
	values := make([]string, 0, lines) // most names have one: they share an array
	if !IsPrintable(start) {
		return h, errors.New("head: the first line cannot be read")
	}
	for more {
		var line string
		line, fields, more = strings.Cut(fields, "\r\n")
		name, value, colon := strings.Cut(line, ":")
		if !colon || !IsToken(name) || !IsPrintable(value) {
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

// parseFraming sets ContentLength and Chunked (RFC 9112, section 6).
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
		n, err := strconv.ParseUint(lengths[0], 10, 63) // digits only
		if err != nil {
			return fmt.Errorf("head: length %.40q", lengths[0])
		}
		h.ContentLength = int64(n)
	}
	return nil
}

// IsClose reports whether the message closes its connection (RFC 9112, section 9.6).
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

// IsPrintable reports whether a text has no control characters but tabs.
func IsPrintable(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// IsToken reports whether s is a token (RFC 9110, section 5.6.2), as names and methods are.
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
