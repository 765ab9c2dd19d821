package frontend

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// headGrace is how long a connection that has brought no request yet is left alone where room is short.
const headGrace = 300 * time.Millisecond

// callerConn is a caller's connection.
type callerConn struct {
	gate
	conns   *callerConns
	handled int64 // requests that the handler has got

	// Under conns.mu.
	state http.ConnState
	since time.Time
	shed  bool
}

// callerConns bounds the connections of callers. When all are taken, one that has brought no request for some time
// is closed in favour of a new one, else the one that has stood idle longest.
type callerConns struct {
	net.Listener

	mu    sync.Mutex
	limit int
	taken int // places, one for each connection and one for that to come
	open  map[*callerConn]struct{}
}

func newCallerConns(l net.Listener, limit int) *callerConns {
	return &callerConns{Listener: l, limit: limit, open: map[*callerConn]struct{}{}}
}

// resize changes the bound. Connections over it end as idle ones do where room is short.
func (l *callerConns) resize(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

func (l *callerConns) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.taken >= l.limit {
		return false
	}
	l.taken++
	return true
}

func (l *callerConns) give() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.taken--
}

// Accept waits for room before it takes a connection, so that the descriptors are never used up.
func (l *callerConns) Accept() (net.Conn, error) {
	for !l.take() {
		if !l.closeIdle(1) {
			time.Sleep(5 * time.Millisecond) // all are at work
		}
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		l.give()
		return nil, err
	}
	c := &callerConn{gate: gate{Conn: nc}, conns: l, state: http.StateNew, since: time.Now()}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

func (c *callerConn) Close() error {
	c.conns.mu.Lock()
	_, open := c.conns.open[c]
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	err := c.Conn.Close()
	if open {
		c.conns.give()
	}
	return err
}

// changed is the server's ConnState hook.
func changed(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*callerConn); ok {
		c.conns.mu.Lock()
		c.state, c.since = state, time.Now()
		c.conns.mu.Unlock()
	}
}

// claim marks the connection as at work. It returns false where the connection was closed as idle just before its
// request was read: the caller sends that request again elsewhere, so that it must not be sent on from here.
func (c *callerConn) claim() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.state = http.StateActive
	c.handled++
	return !c.shed
}

// refused tells whether the request in hand must be refused for how it was written. It is asked once the body has
// been read.
func (c *callerConn) refused() bool { return c.gate.refused.Load() == c.handled }

// unfit returns the status for a request that must be refused for how its head was written, or 0.
func (c *callerConn) unfit() int {
	switch {
	case !c.refused():
		return 0
	case c.gate.large.Load():
		return http.StatusRequestHeaderFieldsTooLarge
	default:
		return http.StatusBadRequest
	}
}

// closeIdle closes n connections: those that have brought no request for some time, then those that have stood idle
// longest. It returns false if there are none.
func (l *callerConns) closeIdle(n int) bool {
	any := false
	for range n {
		c := l.oldest()
		if c == nil {
			break
		}
		c.Close()
		any = true
	}
	return any
}

func (l *callerConns) oldest() *callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var idle, silent *callerConn
	for c := range l.open {
		switch {
		case c.shed:
		case c.state == http.StateIdle && (idle == nil || c.since.Before(idle.since)):
			idle = c
		case c.state == http.StateNew && time.Since(c.since) > headGrace &&
			(silent == nil || c.since.Before(silent.since)):
			silent = c
		}
	}
	if silent == nil {
		silent = idle
	}
	if silent != nil {
		silent.shed = true
	}
	return silent
}

// count returns the number of open connections.
func (l *callerConns) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}
