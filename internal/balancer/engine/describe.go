package engine

import (
	"fmt"
	"strings"
	"time"
)

// requestIDHeader is the header that carries the client's identifier of a request.
const requestIDHeader = "X-Request-Id"

// requestID returns the client's identifier of the request, for the log.
func (c *Call) requestID() string { return c.request.Header.Get(requestIDHeader) }

// describeAttempts describes the attempts of a call for the log, in their order: the endpoint, how long ago the attempt was decided on,
// and its state.
func (e *Engine) describeAttempts(now time.Duration, c *Call) string {
	descriptions := make([]string, len(c.attempts))
	for i, a := range c.attempts {
		descriptions[i] = fmt.Sprintf("%s %v ago: %s", a.server.name, (now - a.sentAt).Round(time.Millisecond), e.attemptState(now, a))
	}
	return strings.Join(descriptions, ", ")
}

// attemptState names what an attempt waits for.
func (e *Engine) attemptState(now time.Duration, a *attempt) string {
	switch {
	case a.ended:
		return "ended"
	case a.progress.HasUnreadResponse():
		return "response unread"
	case a.firstByteSent:
		return fmt.Sprintf("no response for %v", (now - e.waitsSince(now, a)).Round(time.Millisecond))
	case e.waitsSince(now, a) < now:
		return "connecting"
	}
	return "not sent"
}
