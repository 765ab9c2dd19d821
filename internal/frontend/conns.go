package frontend

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// headGrace is how long a connection that has brought no request yet is left alone where room is short.
const headGrace = 300 * time.Millisecond

// callerConns bounds the connections of callers. When all are taken, one that has brought no request for some time
// is closed in favour of a new one, else the one that has stood idle longest.
type callerConns struct {
	listener net.Listener

	mu    sync.Mutex
	limit int
	taken int // places, one for each connection and one for that to come
	open  map[*callerConn]struct{}
}

func newCallerConns(l net.Listener, limit int) *callerConns {
	return &callerConns{listener: l, limit: limit, open: map[*callerConn]struct{}{}}
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

// accept waits for room before it takes a connection, so that the descriptors are never used up.
func (l *callerConns) accept() (*callerConn, error) {
	for !l.take() {
		if !l.closeIdle(1) {
			time.Sleep(5 * time.Millisecond) // all are at work
		}
	}
	nc, err := l.listener.Accept()
	var c *callerConn
	if err == nil {
		c, err = newCallerConn(nc, l)
	}
	if err != nil {
		l.give()
		return nil, err
	}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// Close ends the connection and gives its place back.
func (c *callerConn) Close() error {
	c.conns.mu.Lock()
	_, open := c.conns.open[c]
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	err := c.Conn.Close()
	if open {
		c.cancel()
		c.conns.give()
	}
	return err
}

// closeAll closes all connections.
func (l *callerConns) closeAll() {
	l.mu.Lock()
	all := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, c := range all {
		c.Close()
	}
}

// claim marks the connection as at work. It returns false where the connection was closed as idle just before its
// request was read: the caller sends that request again elsewhere, so that it must not be sent on from here.
func (c *callerConn) claim() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.state = atWork
	return !c.shed
}

// rest marks the connection as idle.
func (c *callerConn) rest() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.state, c.since = idle, time.Now()
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
	var oldest, silent *callerConn
	for c := range l.open {
		switch {
		case c.shed:
		case c.state == idle && (oldest == nil || c.since.Before(oldest.since)):
			oldest = c
		case c.state == fresh && time.Since(c.since) > headGrace &&
			(silent == nil || c.since.Before(silent.since)):
			silent = c
		}
	}
	if silent == nil {
		silent = oldest
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
