package upstream

import (
	"bufio"
	"errors"
	"io"
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
	progress       *Receipt      // of its present attempt
	readFD        func(fd uintptr) (done bool)
	readBuffer    []byte // of the read in progress, and its result
	readBytes     int
	readErr       error
}

func newConn(netConn net.Conn, maxBody int64) (*conn, error) {
	c := &conn{Conn: netConn, maxBody: max(maxBody, maxBufferedBytes)}
	c.reader = bufio.NewReaderSize(c, readerBytes)
	var err error
	c.raw, err = netConn.(syscall.Conn).SyscallConn()
	c.readFD = c.tryRead
	return c, err
}

// Read implements net.Conn, with a timeout of each read where responses may take long as a whole. Where the deadline has passed while
// this process stood still, what has arrived meanwhile is read all the same.
func (c *conn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		c.setReadDeadline(time.Now().Add(c.readTimeout))
	}
	n, err := c.receive(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && timeout.IsLate(c.readDeadline) {
		c.setReadDeadline(time.Now().Add(minStall))
		return c.receive(p)
	}
	return n, err
}

// receive waits for bytes and reads them. The receipt of the attempt says so before they are taken from the socket: there is no
// time in which they are neither there nor here.
func (c *conn) receive(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c.readBuffer = p
	err := c.raw.Read(c.readFD)
	c.readBuffer = nil
	switch {
	case err != nil:
		return 0, err
	case c.readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", c.readErr)}
	case c.readBytes == 0:
		return 0, io.EOF
	}
	return c.readBytes, nil
}

// tryRead reads what has arrived, and reports whether there was anything or the connection has ended.
func (c *conn) tryRead(fd uintptr) (done bool) {
	c.progress.isReading.Store(true)
	for {
		c.readBytes, c.readErr = syscall.Read(int(fd), c.readBuffer)
		if !errors.Is(c.readErr, syscall.EINTR) {
			break
		}
	}
	if errors.Is(c.readErr, syscall.EAGAIN) {
		c.progress.isReading.Store(false)
		return false
	}
	c.readBytes = max(c.readBytes, 0)
	return true
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
