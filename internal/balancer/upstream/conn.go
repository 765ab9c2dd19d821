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

	"silvertrail/internal/base/socket"
	"silvertrail/internal/base/timeout"
)

// errMalformed marks a response that is not valid HTTP or exceeds a limit. The request may have run, and the endpoint has not
// failed.
var errMalformed = errors.New("malformed response")

// errCutOff means that the connection ended within a response. The request may have run.
var errCutOff = errors.New("connection ended within the response")

// Response is an endpoint's response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream is the rest of the body, which follows Body and has not been read yet; nil: there is none. It must be closed.
	Stream *ResponseStream
}

// readerBytes is the size of a connection's read buffer.
const readerBytes = 4 << 10

// conn is one connection to an endpoint. It carries one attempt at a time.
type conn struct {
	net.Conn
	raw          syscall.RawConn
	reader       *bufio.Reader
	idleSince    time.Time        // when it last became idle; zero: never
	idleFor      time.Duration    // time that it was idle before its present use
	readDeadline time.Time        // value set last; zero: none
	readTimeout  time.Duration    // timeout of each read; 0: the read deadline applies
	readLimit    time.Time        // latest end of reads with a readTimeout; zero: none
	maxBody      int64            // limit on a response's body, in bytes
	progress     *AttemptProgress // progress of its present attempt
	client       *Client          // that has opened the connection
	readFD       func(fd uintptr) (done bool)
	readBuffer   []byte // destination of the read in progress; its result is in readBytes and readErr
	readBytes    int
	readErr      error
}

func newConn(netConn net.Conn, client *Client) (*conn, error) {
	c := &conn{Conn: netConn, client: client, maxBody: max(client.MaxStreamBytes, maxBufferedBytes)}
	c.reader = bufio.NewReaderSize(c, readerBytes)
	var err error
	c.raw, err = netConn.(syscall.Conn).SyscallConn()
	c.readFD = c.tryRead
	return c, err
}

// Read implements net.Conn. If readTimeout is set, the timeout applies to each read, because the whole response may take long, and
// all reads end at readLimit. If the deadline has passed while this process was paused, Read waits for up to minStall more, so that
// bytes that arrived during the pause are still read.
func (c *conn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 && !c.startTimedRead(time.Now()) {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.receive(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && timeout.IsLate(c.readDeadline) {
		c.setReadDeadline(time.Now().Add(minStall))
		return c.receive(p)
	}
	return n, err
}

// startTimedRead sets the deadline of a read with a readTimeout. It reports false if readLimit has passed.
func (c *conn) startTimedRead(now time.Time) bool {
	deadline := now.Add(c.readTimeout)
	if !c.readLimit.IsZero() && c.readLimit.Before(deadline) {
		deadline = c.readLimit
	}
	c.setReadDeadline(deadline)
	return deadline.After(now)
}

// receive waits for bytes and reads them. The progress of the attempt is marked as reading before the bytes are taken from the socket,
// so that at no time are the bytes missing from both the socket and the attempt's progress.
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

// tryRead reads the bytes that have arrived. It reports false if there are none and the connection is still open.
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
	if c.readBytes > 0 && c.progress.arrivedAt.Load() != 0 {
		c.progress.recordArrival()
	}
	return true
}

// isClean reports whether an idle connection is open and no byte has arrived on it. Bytes that arrive before a request is written
// are not the response to that request. The check protects against duplicate, late and unexpected responses, and against connections
// that the endpoint has closed, but not against bytes that arrive after the check.
func (c *conn) isClean() bool {
	isEmpty := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isEmpty = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})
	return err == nil && isEmpty && c.reader.Buffered() == 0
}

// hasUnread reports whether bytes have arrived that were not read.
func (c *conn) hasUnread() bool { return socket.Unread(c.raw) > 0 }

// resetAfterStream prepares a connection for reuse after a streamed response, and reports whether it can be reused. If bytes beyond
// the response have arrived, it cannot: the start of the next response would be unknown.
func (c *conn) resetAfterStream() bool {
	c.readTimeout = 0
	c.readLimit = time.Time{}
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
