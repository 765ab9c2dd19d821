package frontend

import (
	"errors"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"silvertrail/internal/balancer/engine"
)

// memoryRetryAfter is the Retry-After value when there is no memory for a request's head or body.
const (
	memoryRetryAfter        = time.Second
	memoryRetryAfterSeconds = "1.000"
)

// shutdownRetryAfter is the Retry-After value of a request whose body is still being received when the server ends.
const shutdownRetryAfter = time.Second

// serve serves the requests of one connection until the connection ends.
func (s *Server) serve(c *clientConn) {
	defer c.Close()
	defer c.releaseHead()
	defer func() {
		if p := recover(); p != nil { // a panic while serving a request ends only that connection
			s.errorLog.Printf("panic while serving %s: %v\n%s", c.remoteAddr, p, debug.Stack())
			c.failRequest()
		}
	}()
	if c.tlsConfig != nil && !c.handshake() {
		return
	}
	for {
		status, err := c.readHead()
		if err != nil {
			return
		}
		if !c.startRequest() {
			return
		}
		s.serveRequest(c, status)
		if c.closeAfter || s.closing.Load() {
			c.linger()
			return
		}
		if !c.endRequest() {
			return
		}
	}
}

// failRequest responds to the request in flight, if there is one without a response, after a panic.
func (c *clientConn) failRequest() {
	if guard := c.guard.Load(); guard != nil && !c.responseStarted && guard.claim() {
		c.reject(http.StatusBadGateway)
		c.linger()
	}
}

// serveRequest serves the request whose head was read. If status is not 0, it rejects the request with that status.
func (s *Server) serveRequest(c *clientConn, status int) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c.guard.Store(&overdueGuard{conn: c})
	c.responseStarted = false
	c.streamError = nil
	if status != 0 {
		c.rejectHead(status)
		return
	}
	r := &c.request
	if s.closing.Load() || s.retired.Load() {
		c.closeAfter = true
	}
	if r.ContentLength == 0 && c.hasInvalidInput() {
		c.reject(http.StatusBadRequest)
		return
	}
	if path, _, _ := strings.Cut(r.RequestURI, "?"); path == healthPath && r.ContentLength == 0 {
		c.writeReply(&Reply{Status: s.readiness()})
		return
	}
	x, reply := s.router.Route(r)
	if reply != nil {
		c.discardBody()
		if reply.Close {
			c.abandonInput()
		}
		c.writeReply(reply)
		return
	}
	defer x.Close()
	s.serveExchange(c, x)
	x.Delivered(c.delivery())
}

// serveExchange reads the request's body and writes the exchange's result.
func (s *Server) serveExchange(c *clientConn, x Exchange) {
	b := &body{budget: x.BodyBudget(), receiving: s.receiving}
	defer b.release()
	streaming, isStreaming := x.(StreamingExchange)
	maxBytes := int64(maxBufferedBody)
	if isStreaming {
		maxBytes = streaming.MaxBodyBytes()
	}
	err := b.read(c, maxBytes, x.Timeout())
	receivedAt := c.received.receivedAt
	switch {
	case errors.Is(err, errNoBodyMemory):
		c.acceptor.rejections.noBodyMemory.Add(1)
		c.rejectUnforwarded(x, memoryRetryAfter)
	case errors.Is(err, errBodyStopped):
		c.rejectUnforwarded(x, shutdownRetryAfter)
	case err != nil:
		c.reject(bodyErrorStatus(err))
	case b.stream != nil:
		c.serveStream(streaming, b)
	case c.hasInvalidInput(): // bytes follow the declared length of the body
		c.reject(http.StatusBadRequest)
	default:
		c.serveBuffered(x, b, receivedAt)
	}
}

// rejectUnforwarded rejects a request whose body was not received completely. Nothing was forwarded, so that a retry is safe.
func (c *clientConn) rejectUnforwarded(x Exchange, retryAfter time.Duration) {
	c.abandonInput()
	c.respond(x, engine.Result{Rejected: true, RetryAfter: retryAfter})
}

// bodyErrorStatus returns the response status for an error while reading a body.
func bodyErrorStatus(err error) int {
	switch {
	case errors.Is(err, errTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest // incomplete, or malformed
}

// serveBuffered serves a request whose body is completely buffered or empty.
func (c *clientConn) serveBuffered(x Exchange, b *body, receivedAt time.Time) {
	if c.tlsConfig != nil {
		c.readPendingTLS()
	}
	c.startWatch()
	c.guard.Load().start(receivedAt.Add(x.Timeout()))
	result := x.Do(c.ctx, b.bytes, receivedAt)
	c.stopWatch()
	if c.ctx.Err() != nil {
		c.closeAfter = true
	}
	c.respond(x, result)
}

// serveStream serves a request whose body is forwarded while it is received. Reads of the body detect a disconnect until the body is
// forwarded. From then on the watch detects it.
func (c *clientConn) serveStream(x StreamingExchange, b *body) {
	b.stream.timeout = x.Timeout()
	result := x.Stream(c.ctx, b.bytes, b.stream)
	b.stream.Stop()
	if c.ctx.Err() != nil {
		c.closeAfter = true
	}
	if err := b.stream.clientError(); err != nil && result.Response == nil {
		x.Reply(engine.Result{}) // records the request as failed
		if c.guard.Load().claim() {
			c.reject(bodyErrorStatus(err))
		}
		c.abandonInput()
		return
	}
	if !b.stream.IsComplete() || c.hasInvalidInput() {
		c.abandonInput()
	}
	c.respond(x, result)
}

// respond writes the final response: the exchange's reply if there is one, otherwise the response to the result. A request that was
// overdue has its response already, and its connection is closed.
func (c *clientConn) respond(x Exchange, result engine.Result) {
	reply := x.Reply(result)
	if !c.guard.Load().claim() {
		closeStream(result)
		c.abandonInput()
		return
	}
	if reply == nil {
		c.writeResult(result)
		return
	}
	closeStream(result)
	if reply.Close {
		c.abandonInput()
	}
	c.writeReply(reply)
}

// closeStream closes the stream of a response that is not written.
func closeStream(result engine.Result) {
	if result.Response != nil && result.Response.Stream != nil {
		result.Response.Stream.Close()
	}
}
