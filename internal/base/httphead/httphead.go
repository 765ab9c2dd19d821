// Package httphead parses the head of an HTTP/1.1 message (RFC 9112) strictly. Input that two parsers could read differently is
// an error: a repeated Content-Length, a Content-Length next to a Transfer-Encoding (request smuggling), folded lines, bare
// line feeds, names with spaces, or control characters. net/http silently repairs some of these faults before a handler sees
// them. Old peers that end lines with a bare line feed, or repeat the same length, are rejected too.
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

// MaxFields is the largest number of fields in a head. Many short fields take a multiple of their bytes once they are parsed.
const MaxFields = 100

// ErrTooManyFields means that a head has more than MaxFields fields.
var ErrTooManyFields = fmt.Errorf("message head: more than %d fields", MaxFields)

// Head is the head of a message.
type Head struct {
	StartLine     string // request line or status line
	Header        http.Header
	ContentLength int64 // -1: the head has none
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
		return Head{}, errors.New("message head: no empty line at its end")
	}
	start, fields, more := strings.Cut(body, "\r\n")
	lines := strings.Count(fields, "\r\n") + 1
	if lines > MaxFields {
		return Head{}, ErrTooManyFields
	}
	h := Head{StartLine: start, Header: make(http.Header, lines), ContentLength: -1}
	values := make([]string, 0, lines) // most names have a single value: these values share one array
	if !IsPrintable(start) {
		return h, errors.New("message head: control character in the start line")
	}
	for more {
		var line string
		line, fields, more = strings.Cut(fields, "\r\n")
		name, value, colon := strings.Cut(line, ":")
		if !colon || !IsToken(name) || !IsPrintable(value) {
			return h, fmt.Errorf("message head: malformed field line %.40q", line)
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
		return errors.New("message head: more than one Content-Length or Transfer-Encoding field")
	case len(codings) == 1 && (strings.HasSuffix(h.StartLine, " HTTP/1.0") || strings.HasPrefix(h.StartLine, "HTTP/1.0 ")):
		return errors.New("message head: Transfer-Encoding in an HTTP/1.0 message") // faulty framing (RFC 9112, section 6.1)
	case len(codings) == 1:
		h.Chunked = strings.EqualFold(codings[0], "chunked")
		if !h.Chunked {
			return fmt.Errorf("message head: unsupported transfer coding %.40q", codings[0])
		}
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 63) // digits only
		if err != nil {
			return fmt.Errorf("message head: malformed Content-Length %.40q", lengths[0])
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

// IsPrintable reports whether s has no control characters other than tabs.
func IsPrintable(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// IsToken reports whether s is a token (RFC 9110, section 5.6.2). Field names and methods are tokens.
func IsToken(s string) bool {
	for i := range len(s) {
		if !tokenBytes[s[i]] {
			return false
		}
	}
	return s != ""
}

// tokenBytes holds true for each byte that may be part of a token.
var tokenBytes = func() (t [256]bool) {
	for c := range t {
		t[c] = c > ' ' && c < 0x7f && !strings.ContainsRune(`"(),/:;<=>?@[\]{}`, rune(c))
	}
	return t
}()
