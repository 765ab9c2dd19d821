// Package chunked reads the chunked transfer coding (RFC 9112, 7.1) strictly, piece by piece as it comes. It does no I/O.
//
// What two readers could understand differently is an error: a size that is no plain hexadecimal number, a line that ends
// in a line feed alone, bytes between a chunk and the line end that belongs to it. Extensions and trailers are checked for
// their form and passed over.
package chunked

import (
	"bytes"
	"errors"
	"strings"

	"silvertrail/internal/base/httphead"
)

const (
	maxLineBytes    = 1 << 10 // a size with its extensions
	maxTrailerBytes = 4 << 10 // all trailers
	maxSizeDigits   = 15      // of a size: what fits in an int64
	maxFramingBytes = 1 << 16 // bytes of sizes and extensions beyond what the data explain
)

// ErrMalformed says that what came is no chunk.
var ErrMalformed = errors.New("chunked: not in the form of RFC 9112")

type state uint8

const (
	stateSize    state = iota // in the line that a chunk begins with
	stateData                 // in its bytes
	stateDataEnd              // in the line end behind them
	stateTrailer              // behind the last chunk
	stateComplete
)

// Decoder reads one body. The zero Decoder stands at its beginning.
type Decoder struct {
	state        state
	remaining    int64  // of the chunk in hand
	line         []byte // so far
	trailerBytes int    // on trailers
	framingBytes int64  // bytes of framing,
	dataBytes    int64  // and of data
}

// IsComplete tells that the body has ended, trailers included.
func (d *Decoder) IsComplete() bool { return d.state == stateComplete }

// Feed takes the next bytes that have come. It returns how many of them it has used, and which of those are data. Where it
// uses none the body is over, or in is empty.
func (d *Decoder) Feed(in []byte) (body []byte, used int, err error) {
	for used < len(in) && d.state != stateComplete {
		if d.state == stateData {
			n := int(min(d.remaining, int64(len(in)-used)))
			body = in[used : used+n]
			d.dataBytes += int64(n)
			if d.remaining -= int64(n); d.remaining == 0 {
				d.state = stateDataEnd
			}
			return body, used + n, nil
		}
		rest := in[used:]
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			d.line = append(d.line, rest...)
			used = len(in)
		} else {
			d.line = append(d.line, rest[:i+1]...)
			used += i + 1
		}
		if len(d.line) > maxLineBytes {
			return nil, used, ErrMalformed
		}
		if d.framingBytes += int64(len(rest[:max(i+1, 0)])); d.framingBytes > maxFramingBytes+16*d.dataBytes { // endless extensions for a byte each
			return nil, used, ErrMalformed
		}
		if i < 0 {
			break
		}
		text, ok := bytes.CutSuffix(d.line, []byte("\r\n"))
		if !ok {
			return nil, used, ErrMalformed
		}
		if err := d.handleLine(text); err != nil {
			return nil, used, err
		}
		d.line = d.line[:0]
	}
	return nil, used, nil
}

// handleLine takes a whole line.
func (d *Decoder) handleLine(line []byte) error {
	switch d.state {
	case stateSize:
		n, ok := parseSize(line)
		if !ok {
			return ErrMalformed
		}
		if d.remaining = n; n == 0 {
			d.state = stateTrailer
		} else {
			d.state = stateData
		}
	case stateDataEnd:
		if len(line) != 0 {
			return ErrMalformed
		}
		d.state = stateSize
	case stateTrailer:
		if len(line) == 0 {
			d.state = stateComplete
			return nil
		}
		if d.trailerBytes += len(line); d.trailerBytes > maxTrailerBytes {
			return ErrMalformed
		}
		if name, value, ok := strings.Cut(string(line), ":"); !ok || !httphead.IsToken(name) || !isPrintable(value) {
			return ErrMalformed
		}
	}
	return nil
}

// parseSize reads a chunk's size, behind which extensions may stand.
func parseSize(line []byte) (n int64, ok bool) {
	digits := 0
	for _, c := range line {
		switch {
		case c >= '0' && c <= '9':
			n = n<<4 | int64(c-'0')
		case c >= 'a' && c <= 'f':
			n = n<<4 | int64(c-'a'+10)
		case c >= 'A' && c <= 'F':
			n = n<<4 | int64(c-'A'+10)
		default:
			return n, digits > 0 && isExtension(string(line[digits:]))
		}
		if digits++; digits > maxSizeDigits {
			return 0, false
		}
	}
	return n, digits > 0
}

// isExtension tells whether text begins an extension, blanks before it allowed (RFC 9112, 7.1.1).
func isExtension(text string) bool {
	rest := strings.TrimLeft(text, " \t")
	return rest != "" && rest[0] == ';' && isPrintable(rest)
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
