package frontend

import (
	"errors"
	"os"
	"sync"
	"time"

	"silvertrail/internal/base/chunked"
)

// bodyBufferBytes is the minimum size of the read buffer for a streamed body.
const bodyBufferBytes = 16 << 10

// BodyStream is the part of a request body that is not buffered. It can be read only once, by the first caller of Acquire.
type BodyStream struct {
	conn     *clientConn
	length   int64 // of the whole body in bytes; -1 if unknown
	maxBytes int64
	timeout  time.Duration // of the request, from its last byte

	mu           sync.Mutex // held during a read; guards the fields down to err
	remaining    int64      // bytes not read yet, if the length is known
	chunkDecoder *chunked.Decoder
	received     int64
	receivedAt   time.Time // the earliest time at which the client can have written the last byte read
	receipt      receiptClock
	timeLeft     time.Duration // how long the server may still wait for the client
	err          error

	stateMu     sync.Mutex // guards the fields below
	acquired    bool
	stopped     bool // no byte is read any more
	ended       bool // the exchange has ended
	awaitsBytes bool // a read waits for bytes from the client
	watched     bool // the watch for a disconnect has started, and the body is not read any more

	stopOnce sync.Once
}

// Length returns the length of the whole body in bytes, or -1 if it is unknown.
func (s *BodyStream) Length() int64 { return s.length }

// Acquire reports whether the caller is the first one and may read the stream. It returns false after Stop.
func (s *BodyStream) Acquire() bool {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if s.acquired || s.stopped {
		return false
	}
	s.acquired = true
	return true
}

// isFullyReceived reports whether the body was received completely. The caller holds s.mu.
func (s *BodyStream) isFullyReceived() bool {
	if s.chunkDecoder != nil {
		return s.chunkDecoder.IsComplete()
	}
	return s.remaining == 0
}

// Read reads the next bytes of the body. At the end of the body it returns no error, n may be positive, and IsComplete returns true. An
// error means that the client failed to send the body, or that the stream was stopped.
func (s *BodyStream) Read(p []byte) (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	n, err = s.read(p)
	s.received += int64(n)
	if err == nil && s.received > s.maxBytes {
		err = errTooLarge
	}
	s.err = err
	return n, err
}

// IsComplete reports whether the body was received completely and without an error.
func (s *BodyStream) IsComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err == nil && s.isFullyReceived()
}

func (s *BodyStream) read(p []byte) (n int, err error) {
	c := s.conn
	for n == 0 && !s.isFullyReceived() && len(p) > 0 {
		if len(c.input) == 0 {
			if err := s.fill(); err != nil {
				return 0, err
			}
		}
		if s.chunkDecoder == nil {
			n = copy(p[:min(int64(len(p)), s.remaining)], c.input)
			c.input = c.input[n:]
			s.remaining -= int64(n)
			continue
		}
		data, used, err := s.chunkDecoder.Feed(c.input[:min(len(c.input), len(p))])
		n = copy(p, data)
		c.input = c.input[used:]
		if err != nil {
			return n, errBadBody
		}
	}
	return n, nil
}

// fill waits for bytes from the client, and reads them into the connection's buffer.
func (s *BodyStream) fill() error {
	c := s.conn
	if cap(c.buffer) < bodyBufferBytes {
		c.buffer = make([]byte, bodyBufferBytes)
	}
	start := time.Now()
	if err := s.prepareRead(start); err != nil {
		return err
	}
	n, err := c.reader.Read(c.buffer[:cap(c.buffer)])
	if n == 0 && s.renewDeadline(err) {
		n, err = c.reader.Read(c.buffer[:cap(c.buffer)])
		start = time.Now() // the process was paused and did not wait for the client
	}
	c.input = c.buffer[:n]
	s.recordReceipt(n)
	s.timeLeft += time.Duration(n)*time.Second/minBodyBytesPerSecond - time.Since(start)
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.awaitsBytes = false
	switch {
	case n > 0:
		return nil
	case s.stopped:
		return errBodyStopped
	case errors.Is(err, os.ErrDeadlineExceeded):
		return os.ErrDeadlineExceeded
	}
	return errBadBody
}

// renewDeadline extends the read deadline if it passed while this process was paused, so that another read gets the bytes that arrived
// during the pause. It reports whether it did.
func (s *BodyStream) renewDeadline(err error) bool {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return !s.stopped && s.conn.renewDeadline(err, false)
}

// prepareRead sets the deadline of the next read. It returns an error if the stream was stopped, or if the client disconnected while the
// stream was being forwarded.
func (s *BodyStream) prepareRead(now time.Time) error {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if s.stopped {
		return errBodyStopped
	}
	if s.acquired && s.conn.isDisconnected() { // do not forward unread input of a disconnected client
		return errBadBody
	}
	s.conn.setReadDeadline(now.Add(min(s.timeLeft, messageTimeout)))
	s.awaitsBytes = true
	return nil
}

// ReceivedAt returns when the client wrote the body's last byte, once the body is complete: at most uncertainTime after the earliest time at
// which that can have been.
// After Abandon it returns the earliest time at which the last byte can have arrived.
func (s *BodyStream) ReceivedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.receivedAt
}

// MarkForwarded records that the body was forwarded completely. It starts the watch for a disconnect of the client and the guard of the
// request's deadline, as for any other request in flight.
func (s *BodyStream) MarkForwarded() {
	s.mu.Lock() // waits for a read in progress
	defer s.mu.Unlock()
	if s.err == nil {
		s.startWatch()
	}
}

// Abandon ends the reading because the response has begun. It starts the watch and the guard like MarkForwarded. Bytes that have arrived
// may be the rest of the body. If a read waits for bytes, the last byte has not arrived.
func (s *BodyStream) Abandon() {
	now := time.Now()
	s.stateMu.Lock()
	isIncomplete := s.awaitsBytes
	s.stopReading()
	s.stateMu.Unlock()
	s.mu.Lock() // waits for a read in progress
	defer s.mu.Unlock()
	if isIncomplete {
		s.receivedAt = now
	}
	s.startWatch()
}

// startWatch starts the watch and the guard, unless the exchange has ended. The caller holds s.mu.
func (s *BodyStream) startWatch() {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if s.ended || s.watched {
		return
	}
	s.watched = true
	s.conn.startWatch()
	s.conn.guard.Load().start(s.receivedAt.Add(s.timeout))
}

// stopReading makes a read in progress and all later ones fail. The caller holds s.stateMu.
func (s *BodyStream) stopReading() {
	s.stopped = true
	s.conn.Conn.SetReadDeadline(pastDeadline)
}

// endReceipt makes a read in progress and all later ones fail, unless the stream has been handed over to an exchange, which ends it.
func (s *BodyStream) endReceipt() {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if !s.acquired {
		s.stopReading()
	}
}

// Stop ends the reading of the stream. A read in progress fails. After Stop has returned, nothing else reads from the connection. Only
// the first call has an effect, because the connection may serve another request by the time of a later one.
func (s *BodyStream) Stop() { s.stopOnce.Do(s.stop) }

func (s *BodyStream) stop() {
	s.stateMu.Lock()
	stopWatch := s.watched
	s.ended = true
	s.stopReading()
	s.stateMu.Unlock()
	if stopWatch {
		s.conn.stopWatch()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn.clearReadDeadline()
}

// clientError returns the error that ended the stream if the client caused it, or nil.
func (s *BodyStream) clientError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(s.err, errBodyStopped) {
		return nil
	}
	return s.err
}
