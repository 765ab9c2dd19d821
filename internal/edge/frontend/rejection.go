package frontend

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"silvertrail/internal/edge/admission"
)

// maxLingering is the maximum number of rejected connections that are kept open.
const maxLingering = 64

// lingeringConns holds rejected connections for a short time, so that their clients can read the response. When there are maxLingering
// of them, adding another one closes the oldest.
type lingeringConns struct {
	mu     sync.Mutex
	conns  []*clientConn
	closed bool
}

// add keeps c open until remove is called or the bound is exceeded. It returns false after close.
func (l *lingeringConns) add(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	if len(l.conns) == maxLingering {
		l.conns[0].socket.Close()
		l.conns = append(l.conns[:0], l.conns[1:]...)
	}
	l.conns = append(l.conns, c)
	return true
}

func (l *lingeringConns) remove(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, o := range l.conns {
		if o == c {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			return
		}
	}
}

func (l *lingeringConns) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

func (l *lingeringConns) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, c := range l.conns {
		c.socket.Close()
	}
}

// minRetryAfterSeconds is the smallest positive Retry-After value with three decimals, the format that the header is written in.
const minRetryAfterSeconds = 0.001

// rejectionReply returns the response to a client whose connection is rejected. All its statuses promise that no request took effect.
func rejectionReply(v admission.Verdict) *Reply {
	r := &Reply{Status: http.StatusServiceUnavailable, Header: http.Header{}, Close: true}
	switch v.Reason {
	case admission.Denied:
		r.Status = http.StatusForbidden
	case admission.RateExceeded, admission.SourceFull: // the client itself exceeded a limit (RFC 6585, 4)
		r.Status = http.StatusTooManyRequests
	}
	if v.RetryAfter > 0 {
		r.Header.Set("Retry-After", strconv.FormatFloat(max(v.RetryAfter.Seconds(), minRetryAfterSeconds), 'f', 3, 64))
	}
	return r
}

// internalErrorAlert is the fatal TLS alert internal_error (RFC 8446, 6.2). It is sent to a client that is rejected before its handshake.
var internalErrorAlert = []byte{21, 3, 1, 0, 2, 2, 80}

// reject responds to a connection that is not admitted and closes it. Nothing was read from the connection yet. The response fits into the
// send buffer of a new connection, so that the write does not block.
func (a *acceptor) reject(c *clientConn, v admission.Verdict) {
	if c.tlsConfig != nil {
		c.socket.SetWriteDeadline(time.Now().Add(admitInterval))
		_, _ = c.socket.Write(internalErrorAlert) // the connection is closed whether or not the write succeeds
	} else {
		c.rejectWith(rejectionReply(v))
	}
	if a.spareUsed.Load() || !a.lingering.add(c) { // while the spare descriptor is in use, rejected connections are not kept open
		c.Close()
		return
	}
	go func() {
		defer a.lingering.remove(c)
		defer c.Close()
		c.linger()
	}()
}
