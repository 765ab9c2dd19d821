package frontend

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"silvertrail/internal/base/socket"
)

// watchDelay is how long a request is in flight before the watch for a disconnect of its client starts. Most responses arrive earlier,
// and a watch costs a goroutine.
const watchDelay = 20 * time.Millisecond

// startWatch schedules the watch, which cancels the connection's context when the client disconnects. A client that closes only its
// sending side also counts as disconnected, because the two cases cannot be distinguished.
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

// watchClient waits until the client disconnects or the watch is stopped. Input that arrives before the disconnect is not lost.
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

// awaitDisconnect waits until the peer closes or resets the socket, even if unread input precedes the close.
func (c *clientConn) awaitDisconnect() {
	if c.rawConn.Read(isPeerClosed) == nil {
		c.cancel()
	}
}

// isDisconnected reports whether the client has disconnected, even if the watch has not detected it yet. A connection that this process
// closed counts as disconnected. It may be called from any goroutine.
func (c *clientConn) isDisconnected() bool {
	if c.ctx.Err() != nil {
		return true
	}
	disconnected := true
	// Control fails only on a closed connection.
	_ = c.rawConn.Control(func(fd uintptr) { disconnected = isPeerClosed(fd) })
	if disconnected {
		c.cancel()
	}
	return disconnected
}

// mayHideClose reports whether the peer may have closed the connection unnoticed: so much is unread that the receive window may be full,
// and the close waits behind what it does not take.
func (c *clientConn) mayHideClose() bool { return c.unreadBytes() > openWindowBytes }

// stopWatch ends the watch. After it has returned, nothing else reads from the connection.
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

// hasInput reports whether part of a head was read, or the socket has unread bytes.
func (c *clientConn) hasInput() bool { return c.headStarted.Load() || c.hasUnreadBytes() }

// unreadBytes returns how many bytes the socket holds.
func (c *clientConn) unreadBytes() int { return socket.Unread(c.rawConn) }

// hasUnreadBytes reports whether the socket has unread bytes.
func (c *clientConn) hasUnreadBytes() bool {
	hasBytes := false
	// Control fails only on a closed connection, which has no unread bytes.
	_ = c.rawConn.Control(func(fd uintptr) { hasBytes, _ = peek(fd) })
	return hasBytes
}

// peek reports, without consuming input, whether a socket has unread bytes, or is closed with none. Both are false if nothing arrived.
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

// isPeerClosed reports whether the peer has closed or reset a socket. Unlike peek, it detects a close behind unread bytes.
func isPeerClosed(fd uintptr) bool {
	hasBytes, isClosed := peek(fd)
	if !hasBytes {
		return isClosed
	}
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n == 1 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
