package handover

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	writeTimeout          = time.Second
	maxConcurrentMessages = 64 // messages of the other side that are worked on at once
)

// ErrDisconnected says that the other process has gone.
var ErrDisconnected = errors.New("handover: the other process has gone")

// session is a connection between two processes of an upgrade. Both ask and answer.
type session struct {
	conn   *net.UnixConn
	handle func(*Message) *Message // answers what the other side asks; nil: no answer
	slots  chan struct{}

	writeMu sync.Mutex

	mu      sync.Mutex
	lastSeq uint64
	pending map[uint64]chan *Message

	closed    chan struct{}
	closeOnce sync.Once
}

func newSession(conn *net.UnixConn, handle func(*Message) *Message) *session {
	return &session{conn: conn, handle: handle, slots: make(chan struct{}, maxConcurrentMessages), pending: map[uint64]chan *Message{}, closed: make(chan struct{})}
}

// run reads until the connection ends.
func (l *session) run() error {
	defer l.close()
	for {
		m, err := readFrame(l.conn)
		if err != nil {
			return err
		}
		if m.IsResponse {
			l.mu.Lock()
			to := l.pending[m.Seq]
			delete(l.pending, m.Seq)
			l.mu.Unlock()
			if to != nil {
				to <- m
			}
			continue
		}
		if m.Kind == Keys { // in their order, before what follows
			l.handle(m)
			continue
		}
		l.slots <- struct{}{}
		go func() { // one that waits for a third process keeps nobody else waiting
			defer func() { <-l.slots }()
			if a := l.handle(m); a != nil {
				a.Seq, a.IsResponse = m.Seq, true
				l.send(a)
			}
		}()
	}
}

func (l *session) send(m *Message) error {
	text, err := encodeFrame(m)
	if err != nil {
		return err
	}
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := l.conn.Write(text); err != nil {
		l.close() // a part of it may be out
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// call asks the other side and waits for its answer.
func (l *session) call(ctx context.Context, m *Message) (*Message, error) {
	answer := make(chan *Message, 1)
	l.mu.Lock()
	l.lastSeq++
	m.Seq = l.lastSeq
	l.pending[m.Seq] = answer
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pending, m.Seq)
		l.mu.Unlock()
	}()
	if err := l.send(m); err != nil {
		return nil, err
	}
	select {
	case a := <-answer:
		if a.Kind == Rejection {
			return nil, fmt.Errorf("handover: refused: %.200s", a.Reason)
		}
		if a.Kind != m.Kind {
			return nil, fmt.Errorf("handover: %q answered by %q", m.Kind, a.Kind)
		}
		return a, nil
	case <-l.closed:
		return nil, ErrDisconnected
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *session) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
}
