package upstream

import (
	"fmt"
	"io"
	"time"

	"silvertrail/internal/base/chunked"
)

// RequestStream is what comes of a request's body behind the part that is held. One attempt takes it, and no other can then be made.
type RequestStream interface {
	Length() int64 // of the whole body; -1: not told
	// Acquire tells whether nobody has taken it before.
	Acquire() bool
	Read(p []byte) (n int, err error)
	// IsComplete tells that all has been read.
	IsComplete() bool
	// Stop fails a Read in progress and those that follow.
	Stop()
	// Sent is called when the last byte has been written to the endpoint.
	Sent()
}

// ResponseStream is what comes of an answer's body behind the part that is held. It is of one goroutine, and must be closed.
type ResponseStream struct {
	conn      *conn
	length    int64 // of the whole body; -1: not told
	remaining int64 // of a told length
	decoder   *chunked.Decoder
	maxBytes  int64
	received  int64
	reusable  bool // the connection can be used again after it
	complete  bool // it has come whole
	begun     bool // its first part is in hand: what is late from now on is late for its caller alone
	delivered bool // the caller has it
	onRelease func(*ResponseStream)
	onClose   func()
}

// Length returns the length of the whole body, -1 where it is not told.
func (r *ResponseStream) Length() int64 { return r.length }

// readBuffered reads what of the body comes soon and is small: all of a small one, unless it comes slowly and may be larger.
func (r *ResponseStream) readBuffered() ([]byte, error) {
	began := time.Now()
	size := 2 << 10
	if r.length >= 0 {
		size = int(min(r.length, maxBufferedBytes))
	}
	body := make([]byte, 0, size)
	for {
		switch {
		case r.complete || r.decoder == nil && r.remaining == 0 && r.length >= 0:
			r.complete = true
			return body, nil
		case len(body) >= maxBufferedBytes && r.maxBytes > maxBufferedBytes, r.maxBytes > maxBufferedBytes && len(body) > 0 &&
			(r.length < 0 || r.length > maxBufferedBytes) && time.Since(began) >= bufferingTime:
			r.begun = true
			return body, nil
		case len(body) > maxBufferedBytes:
			return nil, fmt.Errorf("%w: over %d bytes", errMalformed, maxBufferedBytes)
		}
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(2*cap(body), maxBufferedBytes+1))
			copy(grown, body)
			body = grown
		}
		n, err := r.read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			r.complete = true
			continue
		}
		if err != nil {
			return nil, err
		}
	}
}

// Read reads what comes next; io.EOF tells that the body is whole.
func (r *ResponseStream) Read(p []byte) (int, error) {
	if r.complete {
		return 0, io.EOF
	}
	r.conn.readTimeout = streamReadTimeout
	n, err := r.read(p)
	if err == nil && r.received > r.maxBytes {
		err = fmt.Errorf("%w: over %d bytes", errMalformed, r.maxBytes)
	}
	r.complete = err == io.EOF
	return n, err
}

func (r *ResponseStream) read(p []byte) (n int, err error) {
	br := r.conn.reader
	switch {
	case r.decoder != nil:
		for n == 0 {
			if r.decoder.Over() {
				return 0, io.EOF
			}
			if _, err := br.Peek(1); err != nil {
				return 0, unexpectedEOF(err)
			}
			in, _ := br.Peek(min(br.Buffered(), len(p)))
			data, used, err := r.decoder.Feed(in)
			n = copy(p, data)
			br.Discard(used)
			if err != nil {
				return n, fmt.Errorf("%w: %w", errMalformed, err)
			}
		}
	case r.length >= 0:
		if r.remaining == 0 {
			return 0, io.EOF
		}
		n, err = br.Read(p[:min(int64(len(p)), r.remaining)])
		if r.remaining -= int64(n); err != nil {
			err = unexpectedEOF(err)
		}
	default:
		n, err = br.Read(p)
	}
	r.received += int64(n)
	return n, err
}

// unexpectedEOF has an end that comes too soon told from a whole body's.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// MarkDelivered tells that the caller has the body whole.
func (r *ResponseStream) MarkDelivered() { r.delivered = true }

// IsDelivered tells whether it did. It is known once the rest is closed.
func (r *ResponseStream) IsDelivered() bool { return r.delivered }

// IsComplete tells whether the endpoint has given it whole.
func (r *ResponseStream) IsComplete() bool { return r.complete }

// OnClose has f called once the rest is closed and the connection is given back.
func (r *ResponseStream) OnClose(f func()) { r.onClose = f }

// Close ends the reading, and gives the connection back where it can be used again.
func (r *ResponseStream) Close() {
	if r.onRelease != nil {
		f := r.onRelease
		r.onRelease = nil
		f(r)
		if r.onClose != nil {
			r.onClose()
		}
	}
}
