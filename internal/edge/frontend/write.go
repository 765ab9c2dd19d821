package frontend

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"silvertrail/internal/balancer/engine"
)

const (
	joined     = 4 << 10 // a body of at most this size is copied behind its head
	keptBuffer = 16 << 10
)

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 2<<10); return &b }}

// answer gives the caller its final answer.
func (c *callerConn) answer(a engine.Result) {
	switch {
	case a.Response != nil:
		if a.Response.Stream != nil {
			c.pass(a.Response)
			return
		}
		c.put(a.Response.Status, a.Response.Header, a.Response.Body, true)
	case a.Rejected:
		r := &Reply{Status: http.StatusServiceUnavailable}
		if a.RetryAfter > 0 {
			r.Header = http.Header{"Retry-After": {strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)}}
		}
		c.write(r)
	default: // never 429 or 503: those promise that trying again is harmless
		c.write(&Reply{Status: http.StatusBadGateway})
	}
}

// write gives an answer of the program's own.
func (c *callerConn) write(r *Reply) { c.put(r.Status, r.Header, r.Body, false) }

// put writes an answer with its end-to-end headers. Passed tells that it is an endpoint's, whose answer to HEAD may tell
// the length of a body that does not come.
//
// An answer that can't be written whole ends the connection, so that the caller can tell.
func (c *callerConn) put(status int, h http.Header, body []byte, passed bool) {
	c.begin(status, h, body, passed, int64(len(body)))
}

// begin writes an answer's head, with what there is of its body: size bytes in all, or as many as come where it is -1.
func (c *callerConn) begin(status int, h http.Header, body []byte, passed bool, size int64) {
	now := time.Now()
	if c.writeTo.Sub(now) < writeTimeout-renewal {
		c.writeTo = now.Add(writeTimeout)
		c.Conn.SetWriteDeadline(c.writeTo)
	}
	pooled := buffers.Get().(*[]byte)
	b := (*pooled)[:0]
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	head := c.request.Method == http.MethodHead
	bodiless := head || status == http.StatusNoContent || status == http.StatusNotModified
	var nominated []string
	if passed {
		nominated = h["Connection"]
	}
	for name, values := range h {
		if hop(name) || name == "Date" && !passed || len(nominated) > 0 && names(nominated, name) ||
			name == "Content-Length" && !(passed && bodiless && status != http.StatusNoContent) {
			continue
		}
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = appendValue(b, v)
			b = append(b, "\r\n"...)
		}
	}
	if !bodiless || head && !passed {
		switch {
		case size >= 0:
			b = append(b, "Content-Length: "...)
			b = strconv.AppendInt(b, size, 10)
			b = append(b, "\r\n"...)
		case c.request.Proto == "HTTP/1.0": // it ends with the connection
		default:
			b = append(b, "Transfer-Encoding: chunked\r\n"...)
		}
	}
	if _, dated := h["Date"]; !dated || !passed {
		b = append(b, "Date: "...)
		b = append(b, date(now)...)
		b = append(b, "\r\n"...)
	}
	if c.ends {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	if bodiless {
		body = nil
	}
	var err error
	if len(body) <= joined {
		b = append(b, body...)
		_, err = c.Conn.Write(b)
	} else {
		message := net.Buffers{b, body}
		_, err = message.WriteTo(c.Conn)
	}
	if err != nil {
		c.ends, c.spoilt, c.broken = true, false, true
	}
	if cap(b) <= keptBuffer {
		*pooled = b[:0]
		buffers.Put(pooled)
	}
}

// appendValue writes a header's value. A line end in it would begin a line of its own.
func appendValue(b []byte, v string) []byte {
	if strings.IndexByte(v, '\r') < 0 && strings.IndexByte(v, '\n') < 0 {
		return append(b, v...)
	}
	for i := range len(v) {
		if c := v[i]; c == '\r' || c == '\n' {
			b = append(b, ' ')
		} else {
			b = append(b, c)
		}
	}
	return b
}

func (c *callerConn) continues() error {
	_, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// dated is a date in the form of RFC 9110, 5.6.7, and its second.
type dated struct {
	unix int64
	text string
}

var lastDate atomic.Pointer[dated]

func date(now time.Time) string {
	if d := lastDate.Load(); d != nil && d.unix == now.Unix() {
		return d.text
	}
	d := &dated{now.Unix(), now.UTC().Format(http.TimeFormat)}
	lastDate.Store(d)
	return d.text
}
