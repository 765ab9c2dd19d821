package frontend

import (
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"silvertrail/internal/base/httphead"
	"silvertrail/internal/base/timeout"
)

const (
	idleTimeout   = 8 * time.Second // for a connection between two requests; clients may rely on 2 s
	deadlineSlack = time.Second     // a deadline that differs from the wanted one by less is not set again
	maxHeadBytes  = 16 << 10
)

// readHead reads the next request's head into c.request. A status other than 0 means that the request must be rejected with it. An error
// is a failure of the connection or a timeout.
func (c *clientConn) readHead() (status int, err error) {
	hasHeadDeadline := c.startHead()
	for {
		end := httphead.End(c.input)
		if end > maxHeadBytes || end < 0 && len(c.input) > maxHeadBytes {
			return http.StatusRequestHeaderFieldsTooLarge, nil
		}
		if end >= 0 {
			status := c.parseHead(c.input[:end])
			c.input = c.input[end:]
			return status, nil
		}
		if !c.reserveHead(len(c.input), 0) {
			return http.StatusServiceUnavailable, nil
		}
		c.growInput()
		n, err := c.reader.Read(c.input[len(c.input):cap(c.input)])
		c.input = c.input[:len(c.input)+n]
		if n == 0 && (c.resumeRead(err) || c.renewDeadline(err, !hasHeadDeadline)) {
			continue
		}
		if n == 0 && err != nil {
			return 0, err
		}
		c.headStarted.Store(true)
		if !hasHeadDeadline && httphead.End(c.input) < 0 { // the rest of the head has messageTimeout, not idleTimeout
			hasHeadDeadline = true
			c.setReadDeadline(time.Now().Add(messageTimeout))
		}
	}
}

// startHead prepares the state and the read deadline for the next head. It reports whether the deadline is messageTimeout: this is so for
// the first head on the connection and for a head of which bytes were already read. Otherwise it is idleTimeout.
func (c *clientConn) startHead() bool {
	now := time.Now()
	started := len(c.input) > 0
	isFirst := c.requestCount == 0
	switch {
	case isFirst || started:
		c.setReadDeadline(now.Add(messageTimeout))
	case c.readDeadline.Sub(now) < idleTimeout-deadlineSlack:
		c.setReadDeadline(now.Add(idleTimeout))
	}
	c.requestCount++
	c.request = http.Request{}
	c.releaseHead()
	if !started {
		if cap(c.buffer) == 0 || cap(c.buffer) > maxKeptReadBuffer {
			c.buffer = make([]byte, readBufferBytes)
		}
		c.input = c.buffer[:0]
	}
	c.headStarted.Store(started)
	return isFirst || started
}

// interruptIdle has a read for the next head fail, so that the connection is closed unless a part of that head has come. It is called from
// any goroutine.
func (c *clientConn) interruptIdle() {
	c.interrupted.Store(true)
	c.socket.SetReadDeadline(pastDeadline)
}

// resumeRead restores the read deadline after interruptIdle if a part of the head has come. It reports whether it did.
func (c *clientConn) resumeRead(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) || !c.interrupted.Swap(false) {
		return false
	}
	if len(c.input) == 0 && !c.hasUnreadBytes() {
		return false
	}
	c.Conn.SetReadDeadline(c.readDeadline)
	return true
}

// renewDeadline extends the read deadline if it passed while this process was paused, and reports whether it did. Bytes that the client
// sent during the pause are unread on the socket. A client may also reuse an idle connection, and closing it would lose that request.
func (c *clientConn) renewDeadline(err error, isIdle bool) bool {
	now := time.Now()
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return false
	case !timeout.IsLate(c.readDeadline):
		return false
	case isIdle:
		c.setReadDeadline(now.Add(idleTimeout))
	default:
		c.setReadDeadline(now.Add(timeout.CatchUp))
	}
	return true
}

// growInput makes room for more input. It also does so when consumed bytes occupy the front of the buffer.
func (c *clientConn) growInput() {
	if len(c.input) < cap(c.input) {
		return
	}
	c.buffer = make([]byte, max(2*len(c.input), readBufferBytes))
	c.input = c.buffer[:copy(c.buffer, c.input)]
}

// parseHead parses a head into c.request. A status other than 0 means that the request must be rejected with it.
func (c *clientConn) parseHead(text []byte) (status int) {
	if !c.reserveFields(text) {
		return http.StatusServiceUnavailable
	}
	head, err := httphead.Parse(text)
	switch {
	case errors.Is(err, httphead.ErrTooManyFields):
		return http.StatusRequestHeaderFieldsTooLarge
	case err != nil:
		return http.StatusBadRequest
	}
	method, target, proto, status := parseRequestLine(head.StartLine)
	if status != 0 {
		return status
	}
	hosts := head.Header["Host"]
	if len(hosts) > 1 || len(hosts) == 0 && proto == "HTTP/1.1" || len(hosts) == 1 && strings.ContainsFunc(hosts[0], isUnprintable) {
		return http.StatusBadRequest
	}
	c.request = http.Request{Method: method, RequestURI: target, Proto: proto, Header: head.Header, RemoteAddr: c.remoteAddr}
	r := &c.request
	if len(hosts) == 1 {
		r.Host = hosts[0]
		delete(head.Header, "Host")
	}
	if host, ok := targetHost(target); ok {
		r.Host = host
	}
	switch {
	case head.Chunked:
		r.ContentLength = -1
		r.TransferEncoding = chunkedCoding
	case head.ContentLength > 0:
		r.ContentLength = head.ContentLength
	}
	c.closeAfter = proto == "HTTP/1.0" || head.IsClose()
	return c.parseExpect(head.Header["Expect"])
}

// parseRequestLine splits a request line (RFC 9112, 3). A status other than 0 means that the request must be rejected with it.
func parseRequestLine(line string) (method, target, proto string, status int) {
	method, rest, ok := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	switch {
	case !ok || !ok2 || !httphead.IsToken(method) || target == "" || strings.ContainsFunc(target, isUnprintable):
		return "", "", "", http.StatusBadRequest
	case proto == "HTTP/1.1" || proto == "HTTP/1.0":
		return method, target, proto, 0
	case strings.HasPrefix(proto, "HTTP/") && !strings.Contains(proto, " "):
		return "", "", "", http.StatusHTTPVersionNotSupported
	}
	return "", "", "", http.StatusBadRequest
}

// targetHost returns the host of a request target in absolute form. It replaces the Host header (RFC 9112, 3.2.2).
func targetHost(target string) (host string, ok bool) {
	_, host, ok = strings.Cut(target, "://")
	if !ok || target[0] == '/' {
		return "", false
	}
	if i := strings.IndexAny(host, "/?"); i >= 0 {
		host = host[:i]
	}
	return host, true
}

// parseExpect records whether the client expects 100-continue. It returns 417 for any other expectation, and 0 otherwise.
func (c *clientConn) parseExpect(values []string) (status int) {
	c.expectsContinue = false
	if len(values) == 0 {
		return 0
	}
	if len(values) > 1 || !strings.EqualFold(values[0], "100-continue") {
		return http.StatusExpectationFailed
	}
	c.expectsContinue = true
	return 0
}

var chunkedCoding = []string{"chunked"}

func isUnprintable(r rune) bool { return r <= ' ' || r >= 0x7f }
