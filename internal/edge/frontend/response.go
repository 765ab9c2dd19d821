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
	writeTimeout    = 3 * time.Second // how long a client may read nothing of a buffered response
	maxJoinedBody   = 4 << 10         // a body up to this size is written together with its head in one buffer
	maxPooledBuffer = 16 << 10
)

// bufferPool holds buffers for response heads, and for input that is read ahead under TLS.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 2<<10); return &b }}

// writeResult writes the response that represents a result.
func (c *clientConn) writeResult(result engine.Result) {
	switch {
	case result.Response != nil && result.Response.Stream != nil:
		c.writeStream(result.Response)
	case result.Response != nil:
		c.writeResponse(result.Response.Status, result.Response.Header, result.Response.Body, true)
	case result.Rejected:
		r := &Reply{Status: http.StatusServiceUnavailable}
		if result.RetryAfter > 0 {
			r.Header = http.Header{"Retry-After": {strconv.FormatFloat(result.RetryAfter.Seconds(), 'f', 3, 64)}}
		}
		c.writeReply(r)
	default: // never 429 or 503, which promise that a retry is safe
		c.writeReply(&Reply{Status: http.StatusBadGateway})
	}
}

// writeReply writes a response that this process generated.
func (c *clientConn) writeReply(r *Reply) { c.writeResponse(r.Status, r.Header, r.Body, false) }

// writeResponse writes a response with its end-to-end headers. If forwarded is true, the response is an endpoint's. An endpoint's response
// to HEAD may give the length of the body that GET would have.
//
// If the response cannot be written completely, the connection is closed, so that the client can detect the truncation.
func (c *clientConn) writeResponse(status int, h http.Header, body []byte, forwarded bool) {
	c.writeHead(responseHead{status: status, header: h, forwarded: forwarded, size: int64(len(body))}, body)
}

// responseHead is the head of a response.
type responseHead struct {
	status    int
	header    http.Header
	forwarded bool
	size      int64 // of the body in bytes; -1 if unknown
}

// writeHead writes a response's head together with the part of the body that is available.
func (c *clientConn) writeHead(head responseHead, body []byte) {
	c.responseStarted = true
	now := time.Now()
	c.extendWriteDeadline(now, writeTimeout)
	pooled := bufferPool.Get().(*[]byte)
	b := c.appendHead((*pooled)[:0], head, now)
	if c.isBodiless(head.status) {
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
		c.closeAfter = true
		c.lingers = false
		c.writeFailed = true
	}
	if cap(b) <= maxPooledBuffer {
		*pooled = b[:0]
		bufferPool.Put(pooled)
	}
}

// extendWriteDeadline gives the next write the timeout, or up to deadlineSlack less.
func (c *clientConn) extendWriteDeadline(now time.Time, timeout time.Duration) {
	if c.writeDeadline.Sub(now) < timeout-deadlineSlack {
		c.writeDeadline = now.Add(timeout)
		c.Conn.SetWriteDeadline(c.writeDeadline)
	}
}

// isBodiless reports whether a response has no body, regardless of its headers (RFC 9112, 6.3).
func (c *clientConn) isBodiless(status int) bool {
	return c.request.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// appendHead appends a response's head.
func (c *clientConn) appendHead(b []byte, head responseHead, now time.Time) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(head.status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(head.status)...)
	b = append(b, "\r\n"...)
	b = c.appendHeader(b, head)
	b = c.appendLength(b, head)
	if _, dated := head.header["Date"]; !dated || !head.forwarded {
		b = append(b, "Date: "...)
		b = append(b, formatDate(now)...)
		b = append(b, "\r\n"...)
	}
	if c.closeAfter {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}

// appendHeader appends the end-to-end headers, except Date and Content-Length where this process writes them itself.
func (c *clientConn) appendHeader(b []byte, head responseHead) []byte {
	var nominated []string
	if head.forwarded {
		nominated = head.header["Connection"]
	}
	keepsLength := head.forwarded && c.isBodiless(head.status) && head.status != http.StatusNoContent
	for name, values := range head.header {
		switch {
		case isHopByHop(name) || len(nominated) > 0 && isNominated(nominated, name):
			continue
		case name == "Date" && !head.forwarded || name == "Content-Length" && !keepsLength:
			continue
		}
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = appendValue(b, v)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

// appendLength appends the Content-Length or Transfer-Encoding header that delimits the body.
func (c *clientConn) appendLength(b []byte, head responseHead) []byte {
	isOwnHeadResponse := c.request.Method == http.MethodHead && !head.forwarded
	if c.isBodiless(head.status) && !isOwnHeadResponse {
		return b
	}
	switch {
	case head.size >= 0:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, head.size, 10)
		b = append(b, "\r\n"...)
	case c.request.Proto == "HTTP/1.0": // the body ends with the connection
	default:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	return b
}

// appendValue appends a header's value. It replaces CR and LF with spaces, because they would start another header.
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
	c.extendWriteDeadline(time.Now(), writeTimeout)
	_, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// cachedDate is a second of Unix time and its text in the format of RFC 9110, 5.6.7.
type cachedDate struct {
	unix int64
	text string
}

var lastDate atomic.Pointer[cachedDate]

// formatDate returns the value of the Date header. The text is cached, so that it is formatted once a second.
func formatDate(now time.Time) string {
	if d := lastDate.Load(); d != nil && d.unix == now.Unix() {
		return d.text
	}
	d := &cachedDate{now.Unix(), now.UTC().Format(http.TimeFormat)}
	lastDate.Store(d)
	return d.text
}
