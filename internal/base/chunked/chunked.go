// Package chunked decodes the chunked transfer coding (RFC 9112, section 7.1) strictly and incrementally. It does no I/O.
//
// Whatever two parsers could read differently is an error: a size that is no plain hexadecimal number, a line that ends in
// a bare line feed, bytes between a chunk and its line end. Extensions and trailers are checked for their form and ignored.
package chunked

import (
	"bytes"
	"errors"
	"strings"

	"silvertrail/internal/base/httphead"
)

const (
	maxLineBytes    = 1 << 10 // a chunk size with its extensions
	maxTrailerBytes = 4 << 10 // all trailers
	maxSizeDigits   = 15      // of a size: what fits in an int64
	maxFramingBytes = 1 << 16 // bytes of sizes and extensions, beyond maxFramingPerByte for each byte of data

	// maxFramingPerByte bounds endless extensions on chunks of one byte.
	maxFramingPerByte = 16
)

// ErrMalformed says that the input is not in the chunked coding.
var ErrMalformed = errors.New("chunked: not in the form of RFC 9112")

type state uint8

const (
	stateSize    state = iota // in the line with a chunk's size
	stateData                 // in a chunk's data
	stateDataEnd              // in the line end after the data
	stateTrailer              // after the last chunk
	stateComplete
)

// Decoder decodes one body. The zero Decoder is at its beginning. It is not safe for concurrent use.
type Decoder struct {
	state        state
	remaining    int64  // of the current chunk
	line         []byte // the incomplete line
	trailerBytes int
	framingBytes int64 // sizes and line ends
	dataBytes    int64
}

// IsComplete reports whether the body has ended, including its trailers.
func (d *Decoder) IsComplete() bool { return d.state == stateComplete }

// Feed decodes the next bytes of the input. It returns the number of bytes used, and which of them are data. If it uses none,
// the body is complete or the input is empty.
func (d *Decoder) Feed(in []byte) (body []byte, used int, err error) {
	for used < len(in) && d.state != stateComplete {
		if d.state == stateData {
			body = d.takeData(in[used:])
			return body, used + len(body), nil
		}
		n, isComplete := d.takeLine(in[used:])
		used += n
		if len(d.line) > maxLineBytes || d.framingBytes > maxFramingBytes+maxFramingPerByte*d.dataBytes {
			return nil, used, ErrMalformed
		}
		if !isComplete {
			break
		}
		line, ok := bytes.CutSuffix(d.line, []byte("\r\n"))
		if !ok {
			return nil, used, ErrMalformed
		}
		if err := d.handleLine(line); err != nil {
			return nil, used, err
		}
		d.line = d.line[:0]
	}
	return nil, used, nil
}

// takeData returns the part of the input that is data of the current chunk.
func (d *Decoder) takeData(in []byte) []byte {
	n := min(d.remaining, int64(len(in)))
	d.dataBytes += n
	d.remaining -= n
	if d.remaining == 0 {
		d.state = stateDataEnd
	}
	return in[:n]
}

// takeLine appends the input to the current line, up to a line feed. It returns the number of bytes used, and whether the
// line is complete.
func (d *Decoder) takeLine(in []byte) (used int, isComplete bool) {
	i := bytes.IndexByte(in, '\n')
	if i < 0 {
		d.line = append(d.line, in...)
		return len(in), false
	}
	d.line = append(d.line, in[:i+1]...)
	d.framingBytes += int64(i + 1)
	return i + 1, true
}

// handleLine handles a complete line.
func (d *Decoder) handleLine(line []byte) error {
	switch d.state {
	case stateSize:
		n, ok := parseSize(line)
		if !ok {
			return ErrMalformed
		}
		d.remaining = n
		d.state = stateData
		if n == 0 {
			d.state = stateTrailer
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
		d.trailerBytes += len(line)
		if d.trailerBytes > maxTrailerBytes {
			return ErrMalformed
		}
		if name, value, ok := strings.Cut(string(line), ":"); !ok || !httphead.IsToken(name) || !httphead.IsPrintable(value) {
			return ErrMalformed
		}
	}
	return nil
}

// parseSize parses a chunk's size, which extensions may follow.
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

// isExtension reports whether text begins an extension, with optional blanks before it (RFC 9112, section 7.1.1).
func isExtension(text string) bool {
	rest := strings.TrimLeft(text, " \t")
	return rest != "" && rest[0] == ';' && httphead.IsPrintable(rest)
}
