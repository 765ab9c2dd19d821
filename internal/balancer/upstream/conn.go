package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"silvertrail/internal/base/timeout"
)

// errMalformed marks a response that is not valid HTTP. The request may have run, and the endpoint has not failed.
var errMalformed = errors.New("spoilt answer")

// Response is an endpoint's response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream is the rest of the body, after Body, that has not arrived yet; nil: there is none. It must be closed.
	Stream *ResponseStream
}

// readerBytes is the buffer size of a connection.
const readerBytes = 4 << 10

// conn is one connection to an endpoint. It carries one attempt at a time.
type conn struct {
	net.Conn
	raw           syscall.RawConn
	reader        *bufio.Reader
	idleSince     time.Time     // zero: not used yet
	idleFor       time.Duration // before its present use
	readDeadline  time.Time     // as set last; zero: none
	readTimeout   time.Duration // of each read; 0: the read deadline applies
	maxBody       int64         // of a response
	earlyResponse chan error    // while a body is streamed: the result of waiting for the response
}

func newConn(netConn net.Conn, maxBody int64) (*conn, error) {
	c := &conn{Conn: netConn, maxBody: max(maxBody, maxBufferedBytes)}
	c.reader = bufio.NewReaderSize(c, readerBytes)
	var err error
	c.raw, err = netConn.(syscall.Conn).SyscallConn()
	return c, err
}

// Read implements net.Conn, with a timeout of each read where responses may take long as a whole. Where the deadline has passed while
// this process stood still, what has arrived meanwhile is read all the same.
func (c *conn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		c.setReadDeadline(time.Now().Add(c.readTimeout))
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && timeout.IsLate(c.readDeadline) {
		c.setReadDeadline(time.Now().Add(minStall))
		return c.Conn.Read(p)
	}
	return n, err
}

// isClean reports whether nothing has arrived on an idle connection: no byte and no end. What has arrived before a request
// is written is not the response to it. This protects against duplicate, late and unexpected responses, and against
// connections that the endpoint has closed, but not against what arrives after the check.
func (c *conn) isClean() bool {
	nothing := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})
	return err == nil && nothing && c.reader.Buffered() == 0
}

// resetAfterStream prepares a connection for reuse after a streamed response. It cannot be reused if more than the response
// has arrived, as nobody can tell where the next one would begin.
func (c *conn) resetAfterStream() bool {
	c.readTimeout = 0
	c.setReadDeadline(time.Time{})
	return c.reader.Buffered() == 0
}

// setReadDeadline sets the deadline for reading, unless it has that value already.
func (c *conn) setReadDeadline(t time.Time) {
	if !t.Equal(c.readDeadline) {
		c.SetReadDeadline(t)
		c.readDeadline = t
	}
}
