package frontend

import (
	"errors"
	"os"
	"sync"
	"time"

	"silvertrail/internal/base/chunked"
)

// bodyBufferBytes is the size of the reads of a large body.
const bodyBufferBytes = 16 << 10

// BodyStream is the part of a body that is not buffered. It is read once, by whoever acquires it first.
type BodyStream struct {
	conn     *clientConn
	length   int64 // of the whole body; -1: not known
	maxBytes int64

	mu           sync.Mutex // held while it is read; of what follows
	remaining    int64      // of a known length
	chunkDecoder *chunked.Decoder
	received     int64
	timeLeft     time.Duration // for which the server may still wait for the client
	err          error

	stateMu  sync.Mutex // of what follows
	acquired bool
	stopped  bool
	watched  bool // the client is watched for its disconnect: nothing is read any more
}

// Length returns the length of the whole body, -1 where it is not known.
func (s *BodyStream) Length() int64 { return s.length }

// Acquire returns whether the caller is the first, and may read.
func (s *BodyStream) Acquire() bool {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if s.acquired || s.stopped {
		return false
	}
	s.acquired = true
	return true
}

// isFullyReceived reports whether the body was received completely.
func (s *BodyStream) isFullyReceived() bool {
	if s.chunkDecoder != nil {
		return s.chunkDecoder.IsComplete()
	}
	return s.remaining == 0
}

// Read reads what comes next. At the end of the body n may be positive, and IsComplete is true; an error is the client's, or that of a
// stream that was stopped.
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

// IsComplete reports whether the body was received completely.
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

// fill waits for the client, and reads into the connection's own buffer.
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
		start = time.Now() // the process stood still, and did not wait for the client
	}
	c.input = c.buffer[:n]
	s.timeLeft += time.Duration(n)*time.Second/minBodyBytesPerSecond - time.Since(start)
	if n > 0 {
		return nil
	}
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	switch {
	case s.stopped:
		return errBodyStopped
	case errors.Is(err, os.ErrDeadlineExceeded):
		return os.ErrDeadlineExceeded
	}
	return errBadBody
}

// renewDeadline has one more read bring what has arrived while this process stood still, and reports whether it did.
func (s *BodyStream) renewDeadline(err error) bool {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return !s.stopped && s.conn.renewDeadline(err, false)
}

// prepareRead sets the deadline of a read, unless the stream was stopped, or the client of a stream that is being forwarded has left.
func (s *BodyStream) prepareRead(now time.Time) error {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if s.stopped {
		return errBodyStopped
	}
	if s.acquired && s.conn.isDisconnected() { // unread input would be forwarded for nobody
		return errBadBody
	}
	s.conn.setReadDeadline(now.Add(min(s.timeLeft, messageTimeout)))
	return nil
}

// ReceivedAt returns when the body's last byte reached this machine, once the body is complete.
func (s *BodyStream) ReceivedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn.received.receivedAt
}

// MarkForwarded records that the body was forwarded completely: from now on the client is watched for its disconnect, as that of any
// request in flight.
func (s *BodyStream) MarkForwarded() {
	s.mu.Lock() // nothing is being read
	defer s.mu.Unlock()
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if !s.stopped && s.err == nil && !s.watched {
		s.watched = true
		s.conn.startWatch()
	}
}

// Stop ends the reading; a read in progress fails. When it returns nothing else reads from the connection.
func (s *BodyStream) Stop() {
	s.stateMu.Lock()
	stopWatch := s.watched && !s.stopped
	s.stopped = true
	s.conn.Conn.SetReadDeadline(pastDeadline)
	s.stateMu.Unlock()
	if stopWatch {
		s.conn.stopWatch()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn.clearReadDeadline()
}

// clientError returns what is wrong on the client's side, or nil.
func (s *BodyStream) clientError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(s.err, errBodyStopped) {
		return nil
	}
	return s.err
}
