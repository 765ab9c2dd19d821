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
	maxJoinedBody   = 4 << 10 // a body of at most this size is copied behind its head
	maxPooledBuffer = 16 << 10
)

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 2<<10); return &b }}

// writeResult gives the caller its final answer.
func (c *clientConn) writeResult(a engine.Result) {
	switch {
	case a.Response != nil:
		if a.Response.Stream != nil {
			c.writeStream(a.Response)
			return
		}
		c.writeResponse(a.Response.Status, a.Response.Header, a.Response.Body, true)
	case a.Rejected:
		r := &Reply{Status: http.StatusServiceUnavailable}
		if a.RetryAfter > 0 {
			r.Header = http.Header{"Retry-After": {strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)}}
		}
		c.writeReply(r)
	default: // never 429 or 503: those promise that trying again is harmless
		c.writeReply(&Reply{Status: http.StatusBadGateway})
	}
}

// writeReply gives an answer of the program's own.
func (c *clientConn) writeReply(r *Reply) { c.writeResponse(r.Status, r.Header, r.Body, false) }

// writeResponse writes an answer with its end-to-end headers. Passed tells that it is an endpoint's, whose answer to HEAD may tell
// the length of a body that does not come.
//
// An answer that can't be written whole ends the connection, so that the caller can tell.
func (c *clientConn) writeResponse(status int, h http.Header, body []byte, passed bool) {
	c.writeHead(status, h, body, passed, int64(len(body)))
}

// writeHead writes an answer's head, with what there is of its body: size bytes in all, or as many as come where it is -1.
func (c *clientConn) writeHead(status int, h http.Header, body []byte, passed bool, size int64) {
	now := time.Now()
	if c.writeDeadline.Sub(now) < writeTimeout-deadlineSlack {
		c.writeDeadline = now.Add(writeTimeout)
		c.Conn.SetWriteDeadline(c.writeDeadline)
	}
	pooled := bufferPool.Get().(*[]byte)
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
		if isHopByHop(name) || name == "Date" && !passed || len(nominated) > 0 && isNominated(nominated, name) ||
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
		b = append(b, formatDate(now)...)
		b = append(b, "\r\n"...)
	}
	if c.closeAfter {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	if bodiless {
		body = nil
	}
	var err error
	if len(body) <= maxJoinedBody {
		b = append(b, body...)
		_, err = c.Conn.Write(b)
	} else {
		message := net.Buffers{b, body}
		_, err = message.WriteTo(c.Conn)
	}
	if err != nil {
		c.closeAfter, c.lingers, c.writeFailed = true, false, true
	}
	if cap(b) <= maxPooledBuffer {
		*pooled = b[:0]
		bufferPool.Put(pooled)
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

func (c *clientConn) writeContinue() error {
	_, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// cachedDate is a date in the form of RFC 9110, 5.6.7, and its second.
type cachedDate struct {
	unix int64
	text string
}

var lastDate atomic.Pointer[cachedDate]

func formatDate(now time.Time) string {
	if d := lastDate.Load(); d != nil && d.unix == now.Unix() {
		return d.text
	}
	d := &cachedDate{now.Unix(), now.UTC().Format(http.TimeFormat)}
	lastDate.Store(d)
	return d.text
}
