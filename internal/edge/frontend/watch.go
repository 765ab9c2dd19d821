package frontend

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// watchDelay is how long a request is in flight before its client is watched: most responses come sooner, and a watch costs a
// goroutine.
const watchDelay = 20 * time.Millisecond

// startWatch has the connection's context end when the client disconnects. A client that closes its sending side alone counts as
// disconnected, too, as the two cannot be distinguished.
func (c *clientConn) startWatch() {
	c.mu.Lock()
	c.inFlight = true
	c.mu.Unlock()
	if c.watchTimer == nil {
		c.watchTimer = time.AfterFunc(watchDelay, c.watchClient)
	} else {
		c.watchTimer.Reset(watchDelay)
	}
}

// watchClient waits for the client's disconnect, and consumes nothing that comes before it.
func (c *clientConn) watchClient() {
	c.mu.Lock()
	if !c.inFlight || c.watchDone != nil {
		c.mu.Unlock()
		return
	}
	done := make(chan struct{})
	c.watchDone = done
	c.Conn.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	defer close(done)
	if c.tlsConfig != nil {
		c.watchTLS()
		return
	}
	c.awaitDisconnect()
}

// awaitDisconnect waits for the end of the socket, also behind unread input.
func (c *clientConn) awaitDisconnect() {
	if c.rawConn.Read(isPeerClosed) == nil {
		c.cancel()
	}
}

// isDisconnected reports whether the client has disconnected by now, also where the watch has not noticed yet. A connection that is
// closed on this side has no client. It may be called from any goroutine.
func (c *clientConn) isDisconnected() bool {
	if c.ctx.Err() != nil {
		return true
	}
	disconnected := true
	// Control fails on a closed connection alone.
	_ = c.rawConn.Control(func(fd uintptr) { disconnected = isPeerClosed(fd) })
	if disconnected {
		c.cancel()
	}
	return disconnected
}

// stopWatch ends the watch; when it returns nothing else reads from the connection.
func (c *clientConn) stopWatch() {
	c.watchTimer.Stop()
	c.mu.Lock()
	c.inFlight = false
	watchDone := c.watchDone
	c.watchDone = nil
	c.mu.Unlock()
	if watchDone != nil {
		c.Conn.SetReadDeadline(pastDeadline)
		<-watchDone
		c.clearReadDeadline()
	}
	if len(c.pipelined) > 0 {
		c.input = append(c.input, c.pipelined...)
		c.pipelined = nil
	}
}

// hasInput reports whether a part of a head was read, or unread bytes are on the socket.
func (c *clientConn) hasInput() bool { return c.headStarted.Load() || c.hasUnreadBytes() }

// hasUnreadBytes reports whether unread bytes are on the socket.
func (c *clientConn) hasUnreadBytes() bool {
	hasBytes := false
	// Control fails on a closed connection alone, which has none.
	_ = c.rawConn.Control(func(fd uintptr) { hasBytes, _ = peek(fd) })
	return hasBytes
}

// peek reports what is next on a socket without reading it: bytes, its end, or nothing yet.
func peek(fd uintptr) (hasBytes, isClosed bool) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return false, false
	case err != nil || n == 0:
		return false, true
	}
	return true, false
}

// isPeerClosed reports whether the peer has closed or reset a socket, also behind unread bytes, which hide it from peek.
func isPeerClosed(fd uintptr) bool {
	hasBytes, isClosed := peek(fd)
	if !hasBytes {
		return isClosed
	}
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n == 1 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
