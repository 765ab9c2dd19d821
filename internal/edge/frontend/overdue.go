package frontend

import (
	"io"
	"sync"
	"time"

	"silvertrail/internal/base/timeout"
)

const (
	// overdueGrace is how long after its deadline a request may wait for the exchange, which is to return a result at the deadline. A
	// client takes a request for lost half a second after its deadline (the platform's STANDING page).
	overdueGrace = 250 * time.Millisecond
	// overdueWriteTimeout bounds the write of overdueResponse.
	overdueWriteTimeout = 100 * time.Millisecond
)

// overdueResponse is written in place of a response that is overdue. It is a failure, because the request may run or have run.
const overdueResponse = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// overdueGuard ensures that a request in flight gets a final response in time, even if its exchange is blocked. Either the serving
// goroutine claims the right to respond, or the guard's timer responds with a failure. All methods may be called from any goroutine.
type overdueGuard struct {
	conn *clientConn

	mu       sync.Mutex
	deadline time.Time   // zero: the request has not been received
	stop     func() bool // stops the timer; nil: not started
	claimed  bool
	overdue  bool
}

// start starts the timer of a request that has been received.
func (g *overdueGuard) start(deadline time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deadline = deadline
	if !g.claimed {
		g.stop = timeout.AfterFunc(time.Until(deadline)+overdueGrace, g.respond)
	}
}

// claim reports whether the caller may write the response. It returns false if the request has its response already, or the right to
// write it was claimed before.
func (g *overdueGuard) claim() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.overdue || g.claimed {
		return false
	}
	g.claimed = true
	if g.stop != nil {
		g.stop()
	}
	return true
}

// isOverdue reports whether the guard has responded.
func (g *overdueGuard) isOverdue() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.overdue
}

// sinceDeadline returns the time since the deadline; zero if the request has not been received.
func (g *overdueGuard) sinceDeadline(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.deadline.IsZero() {
		return 0
	}
	return now.Sub(g.deadline)
}

// expire responds at once to a request that has been received, because the server ends.
func (g *overdueGuard) expire() {
	g.mu.Lock()
	isReceived := !g.deadline.IsZero()
	g.mu.Unlock()
	if isReceived {
		g.respond()
	}
}

// respond writes the failure and ends the exchange, as for a client that has disconnected.
func (g *overdueGuard) respond() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.claimed || g.overdue {
		return
	}
	g.overdue = true
	g.conn.socket.SetWriteDeadline(time.Now().Add(overdueWriteTimeout))
	_, _ = io.WriteString(g.conn.Conn, overdueResponse) // without it the close tells the client
	g.conn.cancel()
}
