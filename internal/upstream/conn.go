package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	maxHead      = 64 << 10 // an answer's head
	maxAnswer    = 32 << 20 // an answer's body
	maxInterim   = 8        // 1xx answers before the final one
	stallTimeout = 3 * time.Second
)

// conn is one connection to an endpoint. It carries one attempt at a time.
type conn struct {
	net.Conn
	pool  *Pool
	in    limitedReader
	br    *bufio.Reader
	first chan error // one value for each use: the answer's first byte is there, or never will be
}

func newConn(nc net.Conn, p *Pool) *conn {
	c := &conn{Conn: nc, pool: p, first: make(chan error, 1)}
	c.in = limitedReader{r: nc, left: maxHead}
	c.br = bufio.NewReaderSize(&c.in, 4<<10)
	return c
}

// watch waits for the first byte of the next answer. While the connection stands idle such a byte was not asked
// for, and an end means that the endpoint has closed: either way it is not used again.
func (c *conn) watch() {
	_, err := c.br.Peek(1)
	if err == nil {
		// An endpoint that answers before it has read the whole request (turned away, say) may never read the
		// rest: a write that still waits for it ends here.
		c.SetWriteDeadline(time.Now())
	}
	c.pool.drop(c)
	c.first <- err // last: from here on the connection may be in its next use
}

// send writes the request and reports whether its last byte is written. An endpoint cannot have begun a request
// that it was not sent whole.
func (c *conn) send(r *Request, timeout time.Duration) (whole bool) {
	var head bytes.Buffer
	// The target is written byte for byte as the caller wrote it.
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	r.Header.WriteSubset(&head, map[string]bool{"Content-Length": true, "X-Timeout-Ms": true})
	fmt.Fprintf(&head, "X-Timeout-Ms: %d\r\n", max(timeout.Milliseconds(), 1))
	if r.Method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %s\r\n", strconv.Itoa(len(r.Body)))
	}
	head.WriteString("\r\n")
	size := int64(head.Len() + len(r.Body))
	message := net.Buffers{head.Bytes(), r.Body}
	n, _ := message.WriteTo(c.Conn)
	return n == size
}

// receive reads an answer up to its end, or of a long one its beginning. It returns an error where the answer is
// not whole or not HTTP.
func (c *conn) receive(method string, soon func() bool) (*Answer, error) {
	err := <-c.first
	if errors.Is(err, os.ErrDeadlineExceeded) { // the idle limit ran out just as the connection was taken
		_, err = c.br.Peek(1)
	}
	if err != nil {
		return nil, err
	}
	resp, err := c.head(method)
	if err != nil {
		return nil, err
	}
	if resp.ContentLength > maxAnswer {
		return nil, fmt.Errorf("an answer of %d bytes", resp.ContentLength)
	}
	c.in.left = math.MaxInt64
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, conn: c, keep: !resp.Close}
	a.rest = io.LimitReader(resp.Body, maxAnswer+1)
	return a, a.buffer(soon)
}

func (c *conn) head(method string) (*http.Response, error) {
	for range maxInterim {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// limitedReader bounds what an answer's head may take: package http sets no limit of its own.
type limitedReader struct {
	r    io.Reader
	left int64
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errors.New("the answer's head is too large")
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// Answer is an endpoint's answer. Close must be called once it is no longer needed.
type Answer struct {
	Status int
	Header http.Header
	Length int64  // -1: not told
	Body   []byte // all of a short answer, the beginning of a long one
	Long   bool   // Read gives the rest

	rest  io.Reader
	conn  *conn
	keep  bool // the endpoint lets the connection live on
	ended bool // read to its true end
}

// soonest is how long the beginning of a long answer may be held back to be able to try elsewhere should it break.
const soonest = 250 * time.Millisecond

// buffer reads up to Buffered bytes. A break in them is a reset like any other, as nothing has been passed on.
// What is known to be long is held back only for a short time: its time is that of its first bytes.
func (a *Answer) buffer(soon func() bool) error {
	size := int64(Buffered)
	if a.Length >= 0 {
		size = min(size, a.Length)
	}
	var body bytes.Buffer
	if a.Length >= 0 {
		body.Grow(int(size))
	}
	start := time.Now()
	for int64(body.Len()) < size {
		n, err := io.CopyN(&body, a.rest, min(8<<10, size-int64(body.Len())))
		if err == io.EOF && a.Length < 0 {
			a.Body, a.ended = body.Bytes(), true
			return nil
		}
		if err != nil {
			return fmt.Errorf("answer cut off after %d bytes: %w", int64(body.Len())+n, err)
		}
		if a.Length > Buffered && (time.Since(start) > soonest || soon()) {
			break
		}
	}
	a.Body = body.Bytes()
	a.ended = int64(len(a.Body)) == a.Length
	a.Long = !a.ended
	return nil
}

// Read gives the rest of a long answer. io.EOF is its true end; an endpoint that pauses for too long or ends early
// gives another error.
func (a *Answer) Read(p []byte) (int, error) {
	a.conn.SetReadDeadline(time.Now().Add(stallTimeout))
	n, err := a.rest.Read(p)
	if limit := a.rest.(*io.LimitedReader); limit.N == 0 {
		return 0, errors.New("the answer is too large")
	}
	a.ended = err == io.EOF
	return n, err
}

// Close gives the connection back, or closes it where the answer was not read to its end.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	a.conn.pool.release(a.conn, a.keep && a.ended)
	a.conn = nil
}
