package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"silvertrail/internal/httphead"
)

const (
	maxHead    = 16 << 10 // an answer's head, and its trailers
	maxAnswer  = 64 << 10 // an answer's body: the protocol's limit
	maxInterim = 8        // 1xx answers before the final one
	// answerIn is how long an answer may take from its first byte to its last. It is in the endpoint's hands whole
	// by then, so one that stalls is spoilt: a head without end, a length that does not fit, noise that ends in no
	// line. The time saved is the request's next attempt. A link that carries less than 64 KiB in this time would
	// be harmed.
	answerIn = 750 * time.Millisecond
	writeIn  = time.Second // for a whole request, likewise
)

// errSpoilt is what an endpoint wrote that is no answer. The request may have run, and the endpoint goes on working.
var errSpoilt = errors.New("spoilt answer")

// Answer is an endpoint's answer, whole.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// conn is one connection to an endpoint. It carries one attempt at a time.
type conn struct {
	net.Conn
	raw       syscall.RawConn
	br        *bufio.Reader
	idleSince time.Time     // zero: not used yet
	stood     time.Duration // idle before its present use
	limited   bool          // a deadline for reading is set
}

func newConn(nc net.Conn) (*conn, error) {
	c := &conn{Conn: nc, br: bufio.NewReaderSize(nc, 4<<10)}
	var err error
	c.raw, err = nc.(syscall.Conn).SyscallConn()
	return c, err
}

// quiet tells whether nothing has come on a connection that carries no request: no byte and no end. What stands on
// it before a request is written is not that request's answer. It guards against second copies, noise and late
// answers of any kind, and against connections that the endpoint has closed; what comes later than this look is
// beyond it.
func (c *conn) quiet() bool {
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && quiet && c.br.Buffered() == 0
}

// small is what a connection that stood idle takes at once: the system's buffer for it is empty, and larger.
const small = 4 << 10

var messages = sync.Pool{New: func() any { b := make([]byte, 0, 2<<10); return &b }}

// send writes the request and reports whether its last byte is written. An endpoint cannot have begun a request
// that it was not sent whole.
func (c *conn) send(r *Request, timeout time.Duration) (whole bool) {
	pooled := messages.Get().(*[]byte)
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
	if r.Method != http.MethodGet {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	size := int64(len(b) + len(r.Body))
	var n int64
	if size <= small {
		b = append(b, r.Body...)
		m, _ := c.Conn.Write(b)
		n = int64(m)
	} else {
		c.SetWriteDeadline(time.Now().Add(min(timeout, writeIn)))
		message := net.Buffers{b, r.Body}
		n, _ = message.WriteTo(c.Conn)
		c.SetWriteDeadline(time.Time{})
	}
	if cap(b) <= maxHead {
		*pooled = b[:0]
		messages.Put(pooled)
	}
	return n == size
}

// receive reads an answer to its end and tells whether the connection can be used again. An error is errSpoilt, or
// the connection's. bodiless says that none follows the head, whatever that tells: an answer to HEAD.
func (c *conn) receive(bodiless bool) (a *Answer, keep bool, err error) {
	for range maxInterim {
		c.deadline(time.Time{}) // the attempt's end closes the connection
		if _, err := c.br.Peek(1); err != nil {
			return nil, false, err
		}
		if !c.hasAll() {
			c.deadline(time.Now().Add(answerIn))
		}
		a, keep, err = c.answer(bodiless)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = fmt.Errorf("%w: stalled", errSpoilt)
		}
		if err != nil || a.Status >= 200 || a.Status == http.StatusSwitchingProtocols {
			return a, keep, err
		}
	}
	return nil, false, fmt.Errorf("%w: too many interim answers", errSpoilt)
}

// deadline sets the deadline for reading, where it is not that already.
func (c *conn) deadline(t time.Time) {
	if c.limited || !t.IsZero() {
		c.SetReadDeadline(t)
		c.limited = !t.IsZero()
	}
}

// hasAll tells whether a whole answer with a told length stands in the buffer, as small ones mostly do: then nothing is
// waited for. Where it is not sure it says no.
func (c *conn) hasAll() bool {
	text, _ := c.br.Peek(c.br.Buffered())
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
		if d < '0' || d > '9' || n > maxAnswer {
			break
		}
		n = n*10 + int(d-'0')
	}
	return n <= len(text)-end
}

// answer reads one answer of any status.
func (c *conn) answer(bodiless bool) (a *Answer, keep bool, err error) {
	text, err := c.head()
	if err != nil {
		return nil, false, err
	}
	head, err := httphead.Parse(text)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", errSpoilt, err)
	}
	a = &Answer{Header: head.Header}
	proto, rest, _ := strings.Cut(head.Start, " ")
	code, _, _ := strings.Cut(rest, " ")
	if a.Status, err = strconv.Atoi(code); err != nil || len(code) != 3 || a.Status < 100 ||
		proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return nil, false, fmt.Errorf("%w: status line %.40q", errSpoilt, head.Start)
	}
	keep = proto == "HTTP/1.1" && !head.Closes() && a.Status != http.StatusSwitchingProtocols
	switch {
	case bodiless || a.Status < 200 || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified:
	case head.Chunked:
		a.Body, err = c.chunks()
	case head.Length > maxAnswer:
		err = fmt.Errorf("%w: %d bytes", errSpoilt, head.Length)
	case head.Length >= 0:
		a.Body = make([]byte, head.Length)
		_, err = io.ReadFull(c.br, a.Body)
	default: // up to the connection's end
		keep = false
		a.Body, err = readAll(c.br)
	}
	// More than the answer: it is good, but nobody can tell where the next one would begin.
	keep = keep && (a.Status < 200 || c.br.Buffered() == 0)
	return a, keep, err
}

// head reads a head up to its empty line.
func (c *conn) head() ([]byte, error) {
	var text []byte
	for {
		line, err := c.br.ReadSlice('\n')
		text = append(text, line...)
		switch {
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(text) > maxHead:
			return nil, fmt.Errorf("%w: a head of over %d bytes", errSpoilt, maxHead)
		case err == nil && len(bytes.TrimRight(line, "\r\n")) == 0:
			return text, nil
		}
	}
}

func (c *conn) chunks() ([]byte, error) {
	body, err := readAll(httputil.NewChunkedReader(c.br))
	if err == nil {
		_, err = c.head() // trailers, which are not passed on
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, io.ErrUnexpectedEOF) {
		err = fmt.Errorf("%w: chunks: %w", errSpoilt, err)
	}
	return body, err
}

func readAll(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = fmt.Errorf("%w: over %d bytes", errSpoilt, maxAnswer)
	}
	return body, err
}
