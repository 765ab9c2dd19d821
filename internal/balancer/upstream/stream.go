package upstream

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"silvertrail/internal/base/chunked"
)

const (
	// bufferingTime is how long a response that arrives slowly, and may exceed the buffer, is buffered before it is streamed. Until
	// then the response of another attempt can be used instead; from then on the client gets this one.
	bufferingTime = 250 * time.Millisecond
	// streamReadTimeout is how long a streamed response may deliver no bytes. It is long, because the request cannot be retried once
	// its response is streamed. The request's deadline ends smaller responses earlier.
	streamReadTimeout = 20 * time.Second
	initialBodyBytes  = 2 << 10

	// lateResponseTime is how long after the request's deadline a streamed response may end. A client takes a request for lost half a
	// second after its deadline (the platform's STANDING page).
	lateResponseTime = 250 * time.Millisecond
	// A response of unknown length that still arrives at minLargeBytesPerSecond is taken for one that will exceed maxBufferedBytes. For
	// those, the deadline bounds the first bytes only (the platform's page on operators' days).
	minLargeBytesPerSecond = 32 << 10
	maxLargeGap            = 400 * time.Millisecond // between two arrivals of such a response
	largeCheckInterval     = 50 * time.Millisecond  // at which its rate is checked beyond the deadline

	// A head whose body has not begun is forwarded alone, because the first bytes of a large response are due at the deadline: once the
	// fraction headAloneDivider of the request's time is left, and headAloneMargin before the deadline at the latest.
	headAloneDivider = 4
	headAloneMargin  = 50 * time.Millisecond
)

// errTooLate means that a streamed response did not end in time.
var errTooLate = fmt.Errorf("streamed response unfinished after the request's deadline: %w", os.ErrDeadlineExceeded)

// RequestStream is the part of a request's body that has not arrived yet. Only one attempt can acquire it, and no further attempt is
// possible after that.
type RequestStream interface {
	Length() int64 // bytes of the whole body; -1: unknown
	// Acquire acquires the stream, and reports false if another attempt has acquired it before.
	Acquire() bool
	Read(p []byte) (n int, err error)
	// IsComplete reports whether the whole body was read.
	IsComplete() bool
	// Stop makes a Read in progress, and all later calls of Read, fail.
	Stop()
	// Abandon does the same because the final response has begun. The rest of the body is not read any more.
	Abandon()
	// ReceivedAt returns when the client wrote the last byte, as far as that is known, once the whole body was read. For an abandoned body,
	// whose last byte may have arrived unread, it returns the earliest time at which that can have happened.
	ReceivedAt() time.Time
	// EarliestEnd returns the earliest time at which the client can have written the last byte, whether or not it was read; the present time
	// if the client is still writing.
	EarliestEnd() time.Time
	// MarkForwarded is called after the last byte was written to the endpoint.
	MarkForwarded()
}

// ResponseStream is the part of a response's body that is not buffered. It is used by one goroutine, and must be closed.
type ResponseStream struct {
	conn          *conn
	length        int64 // bytes of the whole body; -1: unknown
	remaining     int64 // bytes still to be read, if the length is known
	decoder       *chunked.Decoder
	maxBytes      int64
	bufferBytes   int // most bytes that are buffered
	received      int64
	startedAt     time.Time // when the body was first read
	deadline      time.Time // of the buffered part; zero: the end of the attempt closes the connection
	headAloneAt   time.Time // from when the head is forwarded alone, if the body may be large
	firstArrival  time.Time // when bytes of the body were first received
	lastArrival   time.Time // when bytes were last received
	limit         time.Time // of the next read, unless the response is large; zero: none
	reusable      bool      // the connection can be reused after the stream
	complete      bool      // the whole body was read
	bufferingDone bool      // the buffered part is complete: delays only affect the client from now on
	delivered     bool      // the client has the whole body
	onRelease     func(*ResponseStream)
	onClose       func()
}

// Length returns the length of the whole body, or -1.
func (s *ResponseStream) Length() int64 { return s.length }

// readBuffered reads the whole of a small body, or the first part of a large or slow body, until the deadline.
func (s *ResponseStream) readBuffered() ([]byte, error) {
	s.startedAt = time.Now()
	body := make([]byte, 0, s.initialCapacity())
	for {
		if s.isAtEnd() {
			s.complete = true
			return body, nil
		}
		if s.shouldStream(len(body), time.Now()) {
			s.bufferingDone = true
			return body, nil
		}
		if len(body) > maxBufferedBytes { // where no response is streamed
			return nil, fmt.Errorf("%w: body exceeds %d bytes", errMalformed, maxBufferedBytes)
		}
		body = grow(body, s.bufferBytes)
		s.awaitUntil(earlier(s.streamedFrom(len(body)), s.deadline))
		n, err := s.read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			s.complete = true
		case errors.Is(err, os.ErrDeadlineExceeded) && (s.deadline.IsZero() || time.Now().Before(s.deadline)): // the rest may be streamed
		case err != nil:
			return nil, err
		}
	}
}

// earlier returns the earlier of two times, of which a zero one is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (s *ResponseStream) initialCapacity() int {
	if s.length >= 0 {
		return int(min(s.length, int64(s.bufferBytes)))
	}
	return initialBodyBytes
}

func (s *ResponseStream) isAtEnd() bool {
	return s.complete || s.decoder == nil && s.remaining == 0 && s.length >= 0
}

// shouldStream reports whether the rest of a body is streamed: the buffer is full, or the body may exceed the buffer and arrives
// slowly.
func (s *ResponseStream) shouldStream(buffered int, now time.Time) bool {
	if s.maxBytes <= maxBufferedBytes {
		return false
	}
	if buffered >= s.bufferBytes {
		return true
	}
	from := s.streamedFrom(buffered)
	return !from.IsZero() && !now.Before(from)
}

// streamedFrom returns the time from which an incomplete body is streamed; zero: it is buffered until it is complete.
func (s *ResponseStream) streamedFrom(buffered int) time.Time {
	mayExceed := s.length < 0 || s.length > maxBufferedBytes
	switch {
	case s.maxBytes <= maxBufferedBytes || !mayExceed:
		return time.Time{}
	case buffered == 0:
		return s.headAloneAt
	}
	return s.startedAt.Add(bufferingTime)
}

// awaitUntil limits the next read to a time; zero: there is no limit.
func (s *ResponseStream) awaitUntil(limit time.Time) {
	s.conn.readLimit = limit
	s.conn.readTimeout = streamReadTimeout
	if limit.IsZero() {
		s.conn.readTimeout = 0
		s.conn.setReadDeadline(time.Time{})
	}
}

// headAloneTime returns when a head that arrives now is forwarded alone if its body does not begin. The request's time left counts from
// its deadline.
func headAloneTime(now, deadline time.Time, timeLeft time.Duration) time.Time {
	at := deadline.Add(-timeLeft / headAloneDivider)
	if earliest := now.Add(bufferingTime); at.Before(earliest) {
		at = earliest
	}
	if latest := deadline.Add(-headAloneMargin); at.After(latest) {
		at = latest
	}
	return at
}

// grow doubles the capacity of a full buffer, up to a size plus one byte.
func grow(body []byte, size int) []byte {
	if len(body) < cap(body) {
		return body
	}
	grown := make([]byte, len(body), min(2*cap(body), size+1))
	copy(grown, body)
	return grown
}

// SetDeadline sets the deadline of the request. A response that is not large ends lateResponseTime later. SetDeadline must be called
// before the first Read.
func (s *ResponseStream) SetDeadline(deadline time.Time) { s.limit = deadline.Add(lateResponseTime) }

// Read reads the next bytes; io.EOF means that the body is complete.
func (s *ResponseStream) Read(p []byte) (int, error) {
	if s.complete {
		return 0, io.EOF
	}
	n, err := s.readInTime(p)
	if err == nil && s.received > s.maxBytes {
		err = fmt.Errorf("%w: body exceeds %d bytes", errMalformed, s.maxBytes)
	}
	s.complete = errors.Is(err, io.EOF)
	return n, err
}

// readInTime reads the next bytes, as long as the response may go on.
func (s *ResponseStream) readInTime(p []byte) (int, error) {
	for {
		if !s.limitRead(time.Now()) {
			return 0, errTooLate
		}
		n, err := s.read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || s.isLimitAhead(time.Now()) {
			return n, err
		}
	}
}

// limitRead sets the time limit of the next read. It reports false if the response has to end.
func (s *ResponseStream) limitRead(now time.Time) bool {
	s.conn.readTimeout = streamReadTimeout
	if s.limit.IsZero() || s.isLarge() {
		s.conn.readLimit = time.Time{}
		return true
	}
	if !s.isLimitAhead(now) && s.seemsLarge(now) {
		s.limit = now.Add(largeCheckInterval)
	}
	s.conn.readLimit = s.limit
	return s.isLimitAhead(now)
}

func (s *ResponseStream) isLimitAhead(now time.Time) bool {
	return s.limit.IsZero() || now.Before(s.limit)
}

// isLarge reports whether the response exceeds the size up to which its last byte is due at the deadline.
func (s *ResponseStream) isLarge() bool {
	return s.length > maxBufferedBytes || s.received > maxBufferedBytes
}

// seemsLarge reports whether a response of unknown length still arrives at the rate of large ones.
func (s *ResponseStream) seemsLarge(now time.Time) bool {
	expected := minLargeBytesPerSecond * now.Sub(s.firstArrival).Seconds()
	if s.received == 0 || float64(s.received) < expected {
		return false
	}
	return now.Sub(s.lastArrival) < maxLargeGap || s.conn.hasUnread() // bytes may have arrived while this process was paused
}

func (s *ResponseStream) read(p []byte) (n int, err error) {
	switch {
	case s.decoder != nil:
		n, err = s.readChunked(p)
	case s.length >= 0:
		if s.remaining == 0 {
			return 0, io.EOF
		}
		n, err = s.conn.reader.Read(p[:min(int64(len(p)), s.remaining)])
		s.remaining -= int64(n)
		err = unexpectedEOF(err)
	default:
		n, err = s.conn.reader.Read(p)
	}
	if n > 0 {
		s.lastArrival = time.Now()
	}
	if s.received == 0 {
		s.firstArrival = s.lastArrival
	}
	s.received += int64(n)
	return n, err
}

// readChunked reads the next data of a chunked body.
func (s *ResponseStream) readChunked(p []byte) (n int, err error) {
	reader := s.conn.reader
	for n == 0 {
		if s.decoder.IsComplete() {
			return 0, io.EOF
		}
		if _, err := reader.Peek(1); err != nil {
			return 0, unexpectedEOF(err)
		}
		encoded, _ := reader.Peek(min(reader.Buffered(), len(p)))
		data, used, err := s.decoder.Feed(encoded)
		n = copy(p, data)
		reader.Discard(used)
		if err != nil {
			return n, fmt.Errorf("%w: %w", errMalformed, err)
		}
	}
	return n, nil
}

// unexpectedEOF replaces io.EOF from the connection by io.ErrUnexpectedEOF, because io.EOF marks the end of a complete body.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// MarkDelivered records that the client has the whole body.
func (s *ResponseStream) MarkDelivered() { s.delivered = true }

// IsDelivered reports whether the client has the whole body. The result is final once the stream is closed.
func (s *ResponseStream) IsDelivered() bool { return s.delivered }

// IsComplete reports whether the endpoint has sent the whole body.
func (s *ResponseStream) IsComplete() bool { return s.complete }

// OnClose sets a function that is called once the stream is closed and the connection is released.
func (s *ResponseStream) OnClose(f func()) { s.onClose = f }

// Close ends the reading and releases the connection. A second call has no effect.
func (s *ResponseStream) Close() {
	if s.onRelease == nil {
		return
	}
	release := s.onRelease
	s.onRelease = nil
	release(s)
	if s.onClose != nil {
		s.onClose()
	}
}
