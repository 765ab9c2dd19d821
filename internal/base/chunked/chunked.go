// Package chunked decodes the chunked transfer coding (RFC 9112, section 7.1) strictly and incrementally. It does no I/O.
//
// Input that two parsers could read differently is an error: a chunk size that is not a plain hexadecimal number, a line that
// ends in a bare line feed, or bytes between the data of a chunk and its line end. The syntax of extensions and trailers is
// checked, and their content is ignored.
package chunked

import (
	"bytes"
	"errors"
	"strings"

	"silvertrail/internal/base/httphead"
)

const (
	maxLineBytes    = 1 << 10 // of a line: a chunk size with its extensions
	maxTrailerBytes = 4 << 10 // of all trailers together
	maxSizeDigits   = 15      // hexadecimal digits of a chunk size: the most that always fit in an int64
	maxFramingBytes = 1 << 16 // bytes of chunk sizes and extensions allowed in addition to maxFramingPerByte

	// maxFramingPerByte is the number of framing bytes allowed for each byte of data. It stops a peer that sends long extensions
	// on chunks of one byte without end.
	maxFramingPerByte = 16
)

// ErrMalformed reports input that does not conform to the chunked coding.
var ErrMalformed = errors.New("chunked: malformed input (RFC 9112, section 7.1)")

type state uint8

const (
	stateSize    state = iota // reading the line with a chunk's size
	stateData                 // reading a chunk's data
	stateDataEnd              // reading the line end after the data
	stateTrailer              // reading the trailers after the last chunk
	stateComplete
)

// Decoder decodes one body. The zero Decoder is ready to decode. A Decoder is not safe for concurrent use.
type Decoder struct {
	state        state
	remaining    int64  // bytes of the current chunk not decoded yet
	line         []byte // the part of the current line received so far
	trailerBytes int
	framingBytes int64 // bytes of chunk sizes, extensions, trailers and line ends
	dataBytes    int64
}

// IsComplete reports whether the body has ended, including its trailers.
func (d *Decoder) IsComplete() bool { return d.state == stateComplete }

// Feed decodes the next bytes of the input. It returns the number of bytes consumed and the part of them that is data of the
// body. If it consumes none, the body is complete or the input is empty.
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

// takeLine appends the input to the current line, up to a line feed. It returns the number of bytes consumed and
// whether the line is complete.
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

// handleLine interprets a complete line, without its line end, according to the state.
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

// parseSize parses the line with a chunk's size. Extensions may follow the size.
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
