package handover

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	writeTimeout          = time.Second
	maxConcurrentMessages = 64 // requests of the other process that are handled concurrently
)

// ErrDisconnected is returned when the other process has disconnected.
var ErrDisconnected = errors.New("handover: the other process has disconnected")

// session is a connection between two processes. Both processes send requests and responses.
type session struct {
	conn   *net.UnixConn
	handle func(*Message) *Message // returns the response to a request; nil: no response is sent
	slots  chan struct{}           // semaphore: holds a token for each request being handled

	writeMu sync.Mutex

	mu      sync.Mutex
	lastSeq uint64
	pending map[uint64]chan *Message // requests waiting for a response, by sequence number

	acceptsIDs atomic.Bool // the other process is a successor that accepts ClaimID

	closed    chan struct{}
	closeOnce sync.Once
}

func newSession(conn *net.UnixConn, handle func(*Message) *Message) *session {
	return &session{
		conn:    conn,
		handle:  handle,
		slots:   make(chan struct{}, maxConcurrentMessages),
		pending: map[uint64]chan *Message{},
		closed:  make(chan struct{}),
	}
}

// run reads messages until the connection ends. Each request is handled in its own goroutine, because a request may wait for
// a third process. Keys messages are handled in order, and before the messages that follow them.
func (s *session) run() error {
	defer s.close()
	for {
		m, err := readFrame(s.conn)
		if err != nil {
			return err
		}
		switch {
		case m.IsResponse:
			s.deliver(m)
		case m.Kind == Keys:
			s.handle(m)
		default:
			s.slots <- struct{}{}
			go s.respond(m)
		}
	}
}

// deliver passes a response to the call that waits for it. It drops a response that no call waits for.
func (s *session) deliver(m *Message) {
	s.mu.Lock()
	waiter := s.pending[m.Seq]
	delete(s.pending, m.Seq)
	s.mu.Unlock()
	if waiter != nil {
		waiter <- m
	}
}

// respond handles a request and sends the response. A failed write needs no handling here: it closes the session, which ends
// run and all pending calls.
func (s *session) respond(m *Message) {
	defer func() { <-s.slots }()
	response := s.handle(m)
	if response == nil {
		return
	}
	response.Seq, response.IsResponse = m.Seq, true
	_ = s.send(response)
}

// send writes a message within writeTimeout.
func (s *session) send(m *Message) error {
	text, err := encodeFrame(m)
	if err != nil {
		return err
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.conn.Write(text); err != nil {
		s.close() // a part of the message may have been written
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// call sends a request and waits for its response.
func (s *session) call(ctx context.Context, m *Message) (*Message, error) {
	waiter := make(chan *Message, 1)
	s.mu.Lock()
	s.lastSeq++
	m.Seq = s.lastSeq
	s.pending[m.Seq] = waiter
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.pending, m.Seq)
		s.mu.Unlock()
	}()
	if err := s.send(m); err != nil {
		return nil, err
	}
	select {
	case response := <-waiter:
		if response.Kind == Rejection {
			return nil, fmt.Errorf("handover: rejected: %.200s", response.Reason)
		}
		if response.Kind != m.Kind {
			return nil, fmt.Errorf("handover: %q answered by %q", m.Kind, response.Kind)
		}
		return response, nil
	case <-s.closed:
		return nil, ErrDisconnected
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// close closes the connection. Further calls have no effect.
func (s *session) close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		_ = s.conn.Close()
	})
}
