package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"silvertrail/internal/base/chunked"
	"silvertrail/internal/base/httphead"
)

const (
	maxHeadBytes     = 16 << 10 // an answer's head, and its trailers
	maxBufferedBytes = 64 << 10 // an answer's body: the protocol's limit
	maxInformational = 8        // 1xx answers before the final one
	// maxStall is how long an answer that has begun may bring nothing. It is in the endpoint's hands whole by then, so one
	// that stalls is spoilt: a head without end, a length that does not fit, noise that ends in no line. The time saved
	// is the request's next attempt. Where answers are passed on as they come (Options.Most) it is a time without any
	// byte, else one for the whole answer: small answers of sound endpoints come at once.
	maxStall = 750 * time.Millisecond
	// A request with little time has less for that: the rest is its next attempt's.
	stallDivider = 4 // of what is left when it goes out
	minStall     = 100 * time.Millisecond
	writeTimeout = time.Second // for a whole request, likewise
	// bufferingTime is how long an answer that comes slowly, and may be larger than is held, is held whole before it is passed on.
	// Until then another attempt can take its place; from then on its caller waits for nobody.
	bufferingTime = 250 * time.Millisecond
	// streamReadTimeout is how long an answer that is passed on may bring nothing: it can't be had again.
	streamReadTimeout = 20 * time.Second
	// streamWriteTimeout is how long an endpoint may take nothing of a body that is passed on.
	streamWriteTimeout = 5 * time.Second
	streamChunkBytes   = 16 << 10 // by which bodies are passed on
)

// errMalformed is what an endpoint wrote that is no answer. The request may have run, and the endpoint goes on working.
var errMalformed = errors.New("spoilt answer")

// Response is an endpoint's answer, whole.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream is what is still to come of the body, behind Body; nil: nothing is. It must be closed.
	Stream *ResponseStream
}

// conn is one connection to an endpoint. It carries one attempt at a time.
type conn struct {
	net.Conn
	raw             syscall.RawConn
	reader          *bufio.Reader
	idleSince       time.Time     // zero: not used yet
	idleFor         time.Duration // idle before its present use
	hasReadDeadline bool          // a deadline for reading is set
	readTimeout     time.Duration // for each read; 0: the deadline that is set
	maxBody         int64         // of an answer's body
	earlyResponse   chan error    // while a body is passed on: what came of waiting for the answer
}

// Read gives each read its time where answers may take long as a whole.
func (c *conn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		c.Conn.SetReadDeadline(time.Now().Add(c.readTimeout))
	}
	return c.Conn.Read(p)
}

func newConn(nc net.Conn, most int64) (*conn, error) {
	c := &conn{Conn: nc, maxBody: max(most, maxBufferedBytes)}
	c.reader = bufio.NewReaderSize(c, 4<<10)
	var err error
	c.raw, err = nc.(syscall.Conn).SyscallConn()
	return c, err
}

// isClean tells whether nothing has come on a connection that carries no request: no byte and no end. What stands on
// it before a request is written is not that request's answer. It guards against second copies, noise and late
// answers of any kind, and against connections that the endpoint has closed; what comes later than this look is
// beyond it.
func (c *conn) isClean() bool {
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && quiet && c.reader.Buffered() == 0
}

// resetAfterStream puts a connection back after an answer that was passed on. Where more has come than the answer nobody can tell
// where the next one would begin.
func (c *conn) resetAfterStream() bool {
	c.readTimeout = 0
	c.SetReadDeadline(time.Time{})
	c.hasReadDeadline = false
	return c.reader.Buffered() == 0
}

// maxSingleWrite is what a connection that stood idle takes at once: the system's buffer for it is empty, and larger.
const maxSingleWrite = 4 << 10

var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 2<<10); return &b }}

// writeRequest writes the request and reports whether its last byte is written. An endpoint cannot have begun a request
// that it was not sent whole. The error is errCaller's where the caller's side of a body is at fault.
func (c *conn) writeRequest(r *Request, timeout time.Duration) (whole bool, err error) {
	pooled := requestBuffers.Get().(*[]byte)
	b := (*pooled)[:0]
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...) // byte for byte as the caller wrote it, or the product's normal form
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		if name == "Content-Length" || name == "X-Timeout-Ms" {
			continue
		}
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...) // heads are read strictly: no line ends
			b = append(b, "\r\n"...)
		}
	}
	b = append(b, "X-Timeout-Ms: "...)
	b = strconv.AppendInt(b, max(timeout.Milliseconds(), 1), 10)
	if r.Stream != nil && r.Stream.Length() < 0 {
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	} else if r.Stream != nil {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, r.Stream.Length(), 10)
	} else if r.Method != http.MethodGet {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	if r.Stream != nil {
		return c.writeStreamingRequest(b, r)
	}
	size := int64(len(b) + len(r.Body))
	var n int64
	if size <= maxSingleWrite {
		b = append(b, r.Body...)
		m, _ := c.Conn.Write(b)
		n = int64(m)
	} else {
		c.SetWriteDeadline(time.Now().Add(min(timeout, writeTimeout)))
		message := net.Buffers{b, r.Body}
		n, _ = message.WriteTo(c.Conn)
		c.SetWriteDeadline(time.Time{})
	}
	if cap(b) <= maxHeadBytes {
		*pooled = b[:0]
		requestBuffers.Put(pooled)
	}
	return n == size, nil
}

// writeStreamingRequest writes a request whose body is still coming. The answer is waited for meanwhile: an endpoint that answers before
// the body is over is heard, and gets no more of it.
func (c *conn) writeStreamingRequest(head []byte, r *Request) (whole bool, err error) {
	chunks := r.Stream.Length() < 0
	put := func(p []byte) error {
		c.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		message := net.Buffers{p}
		if chunks && len(p) > 0 {
			message = net.Buffers{append(strconv.AppendInt(nil, int64(len(p)), 16), "\r\n"...), p, []byte("\r\n")}
		}
		_, err := message.WriteTo(c.Conn)
		return err
	}
	c.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
	if _, err := c.Conn.Write(head); err != nil {
		return false, err
	}
	if err := put(r.Body); err != nil {
		return false, err
	}
	if !r.Stream.Acquire() { // another attempt has read on: there is no body for this one
		return false, fmt.Errorf("%w: it went to another attempt", errRequestBody)
	}
	c.readTimeout = 0
	c.setReadDeadline(time.Time{})
	heard := make(chan error, 1)
	c.earlyResponse = heard
	var state atomic.Int32 // of the sending: in progress, or what came first
	const early, done = 1, 2
	go func() {
		_, err := c.reader.Peek(1)
		if state.CompareAndSwap(0, early) {
			r.Stream.Stop()
			c.SetWriteDeadline(time.Unix(1, 0))
		}
		heard <- err
	}()
	pooled := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(pooled)
	for !r.Stream.IsComplete() {
		n, err := r.Stream.Read(*pooled)
		var werr error
		if n > 0 {
			werr = put((*pooled)[:n])
		}
		switch {
		case werr != nil && state.Load() != early:
			return false, werr
		case state.Load() == early && (werr != nil || !r.Stream.IsComplete()):
			return false, errEarlyResponse
		case err != nil:
			return false, fmt.Errorf("%w: %w", errRequestBody, err)
		}
	}
	if chunks {
		c.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		if _, err := c.Conn.Write([]byte("0\r\n\r\n")); err != nil {
			if state.Load() == early {
				err = errEarlyResponse
			}
			return false, err
		}
	}
	state.CompareAndSwap(0, done)
	r.Stream.Sent()
	return true, nil
}

var (
	// errRequestBody says that the caller's side of a body that is passed on is at fault. It tells nothing of the endpoint.
	errRequestBody = errors.New("the request's body did not come whole")
	// errEarlyResponse says that the answer came, or the connection ended, before the body was over.
	errEarlyResponse = errors.New("answered before the request was whole")
)

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, streamChunkBytes); return &b }}

// readResponse reads an answer to its end and tells whether the connection can be used again. An error is errSpoilt, or
// the connection's. bodiless says that none follows the head, whatever that tells: an answer to HEAD.
// Left is what the request had left when it went out.
func (c *conn) readResponse(bodiless bool, left time.Duration) (a *Response, keep bool, err error) {
	within := stallTimeout(left)
	for range maxInformational {
		if c.earlyResponse != nil { // an answer was waited for while the body went out
			err := <-c.earlyResponse
			c.readTimeout = 0
			c.SetWriteDeadline(time.Time{})
			if c.earlyResponse = nil; err != nil {
				return nil, false, err
			}
		} else {
			c.readTimeout = 0
			c.setReadDeadline(time.Time{}) // the attempt's end closes the connection
			if _, err := c.reader.Peek(1); err != nil {
				return nil, false, err
			}
		}
		if !c.hasWholeResponse() {
			c.setReadDeadline(time.Now().Add(within))
			if c.maxBody > maxBufferedBytes {
				c.readTimeout = within
			}
		}
		a, keep, err = c.readOneResponse(bodiless)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = fmt.Errorf("%w: stalled", errMalformed)
		}
		if err != nil || a.Status >= 200 || a.Status == http.StatusSwitchingProtocols {
			return a, keep, err
		}
	}
	return nil, false, fmt.Errorf("%w: too many interim answers", errMalformed)
}

// stallTimeout is how long an answer that has begun may bring nothing.
func stallTimeout(left time.Duration) time.Duration {
	return min(max(left/stallDivider, minStall), maxStall)
}

// setReadDeadline sets the deadline for reading, where it is not that already.
func (c *conn) setReadDeadline(t time.Time) {
	if c.hasReadDeadline || !t.IsZero() {
		c.SetReadDeadline(t)
		c.hasReadDeadline = !t.IsZero()
	}
}

// hasWholeResponse tells whether a whole answer with a told length stands in the buffer, as small ones mostly do: then nothing is
// waited for. Where it is not sure it says no.
func (c *conn) hasWholeResponse() bool {
	text, _ := c.reader.Peek(c.reader.Buffered())
	end := httphead.End(text)
	if end < 0 {
		return false
	}
	at := bytes.Index(text[:end], []byte("\r\nContent-Length: "))
	if at < 0 {
		return false
	}
	n := 0
	for _, d := range text[at+len("\r\nContent-Length: ") : end] {
		if d < '0' || d > '9' || n > maxBufferedBytes {
			break
		}
		n = n*10 + int(d-'0')
	}
	return n <= len(text)-end
}

// readOneResponse reads one answer of any status.
func (c *conn) readOneResponse(bodiless bool) (a *Response, keep bool, err error) {
	text, err := c.readHead()
	if err != nil {
		return nil, false, err
	}
	head, err := httphead.Parse(text)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", errMalformed, err)
	}
	a = &Response{Header: head.Header}
	proto, rest, _ := strings.Cut(head.Start, " ")
	code, _, _ := strings.Cut(rest, " ")
	if a.Status, err = strconv.Atoi(code); err != nil || len(code) != 3 || a.Status < 100 ||
		proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return nil, false, fmt.Errorf("%w: status line %.40q", errMalformed, head.Start)
	}
	keep = proto == "HTTP/1.1" && !head.Closes() && a.Status != http.StatusSwitchingProtocols
	switch {
	case bodiless || a.Status < 200 || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified:
	case head.Length > c.maxBody:
		err = fmt.Errorf("%w: %d bytes", errMalformed, head.Length)
	default:
		rest := &ResponseStream{conn: c, length: head.Length, remaining: head.Length, maxBytes: c.maxBody, reusable: keep}
		if head.Chunked {
			rest.decoder = &chunked.Decoder{}
		} else if head.Length < 0 { // up to the connection's end
			rest.reusable, keep = false, false
		}
		if a.Body, err = rest.readBuffered(); err == nil && !rest.complete {
			a.Stream = rest
			return a, keep, nil
		}
	}
	// More than the answer: it is good, but nobody can tell where the next one would begin.
	keep = keep && (a.Status < 200 || c.reader.Buffered() == 0)
	return a, keep, err
}

// readHead reads a head up to its empty line.
func (c *conn) readHead() ([]byte, error) {
	var text []byte
	for {
		line, err := c.reader.ReadSlice('\n')
		text = append(text, line...)
		switch {
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(text) > maxHeadBytes:
			return nil, fmt.Errorf("%w: a head of over %d bytes", errMalformed, maxHeadBytes)
		case err == nil && len(bytes.TrimRight(line, "\r\n")) == 0:
			return text, nil
		}
	}
}
