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

// memoryRetryAfter is the Retry-After of a request for whose body there was no memory.
const memoryRetryAfter = time.Second

// serve serves one connection to its end.
func (s *Server) serve(c *clientConn) {
	defer c.Close()
	defer func() {
		if p := recover(); p != nil { // a fault in one request ends one connection
			s.errorLog.Printf("serving %s: %v\n%s", c.remoteAddr, p, debug.Stack())
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

// serveRequest serves the request whose head was read, or rejects it where the status is not 0.
func (s *Server) serveRequest(c *clientConn, status int) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if status != 0 {
		c.reject(status)
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
	c.serveExchange(x)
}

// serveExchange reads the request's body and writes the exchange's result.
func (c *clientConn) serveExchange(x Exchange) {
	b := &body{budget: x.BodyBudget()}
	defer b.release()
	streaming, isStreaming := x.(StreamingExchange)
	maxBytes := int64(maxBufferedBody)
	if isStreaming {
		maxBytes = streaming.MaxBodyBytes()
	}
	err := b.read(c, maxBytes)
	receivedAt := c.received.receivedAt
	switch {
	case errors.Is(err, errNoBodyMemory): // nothing was sent: a rejection as any other
		c.abandonInput()
		c.respond(x, engine.Result{Rejected: true, RetryAfter: memoryRetryAfter})
	case err != nil:
		c.reject(bodyErrorStatus(err))
	case b.stream != nil:
		c.serveStream(streaming, b)
	case c.hasInvalidInput(): // there is more than the length says
		c.reject(http.StatusBadRequest)
	default:
		c.serveBuffered(x, b, receivedAt)
	}
}

// bodyErrorStatus returns the response status for a body that cannot be read.
func bodyErrorStatus(err error) int {
	switch {
	case errors.Is(err, errTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest // incomplete, or malformed
}

// serveBuffered serves a request whose body is buffered, or that has none.
func (c *clientConn) serveBuffered(x Exchange, b *body, receivedAt time.Time) {
	if c.tlsConfig != nil {
		c.readPendingTLS()
	}
	c.startWatch()
	a := x.Do(c.ctx, b.bytes, receivedAt)
	c.stopWatch()
	if c.ctx.Err() != nil {
		c.closeAfter = true
	}
	c.respond(x, a)
}

// serveStream serves a request whose body is forwarded while it is received. Meanwhile its reader notices a disconnect, then the watch
// does.
func (c *clientConn) serveStream(x StreamingExchange, b *body) {
	a := x.Stream(c.ctx, b.bytes, b.stream)
	b.stream.Stop()
	if c.ctx.Err() != nil {
		c.closeAfter = true
	}
	if err := b.stream.clientError(); err != nil && a.Response == nil {
		x.Reply(engine.Result{}) // records a failure, whatever the policy made of it
		c.reject(bodyErrorStatus(err))
		return
	}
	if !b.stream.IsComplete() || c.hasInvalidInput() {
		c.abandonInput()
	}
	c.respond(x, a)
}

// respond writes the final response: the exchange's own, or else that of the result.
func (c *clientConn) respond(x Exchange, a engine.Result) {
	reply := x.Reply(a)
	if reply == nil {
		c.writeResult(a)
		return
	}
	if a.Response != nil && a.Response.Stream != nil {
		a.Response.Stream.Close()
	}
	if reply.Close {
		c.abandonInput()
	}
	c.writeReply(reply)
}
