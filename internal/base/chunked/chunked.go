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
	maxLine    = 1 << 10 // a size with its extensions
	maxTrailer = 4 << 10 // all trailers
	maxDigits  = 15      // of a size: what fits in an int64
	maxIdle    = 1 << 16 // bytes of sizes and extensions beyond what the data explain
)

// ErrForm says that what came is no chunk.
var ErrForm = errors.New("chunked: not in the form of RFC 9112")

type state uint8

const (
	size    state = iota // in the line that a chunk begins with
	data                 // in its bytes
	end                  // in the line end behind them
	trailer              // behind the last chunk
	over
)

// Decoder reads one body. The zero Decoder stands at its beginning.
type Decoder struct {
	state  state
	left   int64  // of the chunk in hand
	line   []byte // so far
	spent  int    // on trailers
	frames int64  // bytes of framing,
	given  int64  // and of data
}

// Over tells that the body has ended, trailers included.
func (d *Decoder) Over() bool { return d.state == over }

// Feed takes the next bytes that have come. It returns how many of them it has used, and which of those are data. Where it
// uses none the body is over, or in is empty.
func (d *Decoder) Feed(in []byte) (body []byte, used int, err error) {
	for used < len(in) && d.state != over {
		if d.state == data {
			n := int(min(d.left, int64(len(in)-used)))
			body = in[used : used+n]
			d.given += int64(n)
			if d.left -= int64(n); d.left == 0 {
				d.state = end
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
		if len(d.line) > maxLine {
			return nil, used, ErrForm
		}
		if d.frames += int64(len(rest[:max(i+1, 0)])); d.frames > maxIdle+16*d.given { // endless extensions for a byte each
			return nil, used, ErrForm
		}
		if i < 0 {
			break
		}
		text, ok := bytes.CutSuffix(d.line, []byte("\r\n"))
		if !ok {
			return nil, used, ErrForm
		}
		if err := d.take(text); err != nil {
			return nil, used, err
		}
		d.line = d.line[:0]
	}
	return nil, used, nil
}

// take takes a whole line.
func (d *Decoder) take(line []byte) error {
	switch d.state {
	case size:
		n, ok := parse(line)
		if !ok {
			return ErrForm
		}
		if d.left = n; n == 0 {
			d.state = trailer
		} else {
			d.state = data
		}
	case end:
		if len(line) != 0 {
			return ErrForm
		}
		d.state = size
	case trailer:
		if len(line) == 0 {
			d.state = over
			return nil
		}
		if d.spent += len(line); d.spent > maxTrailer {
			return ErrForm
		}
		if name, value, ok := strings.Cut(string(line), ":"); !ok || !httphead.Token(name) || !printable(value) {
			return ErrForm
		}
	}
	return nil
}

// parse reads a chunk's size, behind which extensions may stand.
func parse(line []byte) (n int64, ok bool) {
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
			return n, digits > 0 && extends(string(line[digits:]))
		}
		if digits++; digits > maxDigits {
			return 0, false
		}
	}
	return n, digits > 0
}

// extends tells whether text begins an extension, blanks before it allowed (RFC 9112, 7.1.1).
func extends(text string) bool {
	rest := strings.TrimLeft(text, " \t")
	return rest != "" && rest[0] == ';' && printable(rest)
}

func printable(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
