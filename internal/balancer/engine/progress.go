package engine

import (
	"time"

	"silvertrail/lbpolicy"
)

// The goroutine that reads a response can run late: the whole process was paused, or has too little CPU time. The policy's timers and
// other events may be processed first, and the delay would look like an endpoint that does not respond. The policy therefore asks
// which responses have arrived before it ejects an endpoint or gives up an attempt.

// ServerProgress implements lbpolicy.Host.
func (e actions) ServerProgress(id lbpolicy.ServerID) lbpolicy.ServerProgress {
	var progress lbpolicy.ServerProgress
	now := e.clock.now()
	for _, c := range e.calls {
		for _, a := range c.attempts {
			if a.server.ID != id {
				continue
			}
			progress.HasUnreadResponse = progress.HasUnreadResponse || a.isReporting
			if a.isFinished() {
				continue
			}
			progress.HasUnreadResponse = progress.HasUnreadResponse || a.progress.HasUnreadResponse()
			if since := e.waitsSince(now, a); !a.isDispatchPending && (progress.WaitingSince == 0 || since < progress.WaitingSince) {
				progress.WaitingSince = since
			}
		}
	}
	return progress
}

// WaitingSince implements lbpolicy.Host.
func (e actions) WaitingSince(id lbpolicy.RequestID, number int) time.Duration {
	c := e.calls[id]
	if c == nil || number < 0 || number >= len(c.attempts) {
		return 0
	}
	return e.waitsSince(e.clock.now(), c.attempts[number])
}

// ResponseProgress implements lbpolicy.Host.
func (e actions) ResponseProgress(id lbpolicy.RequestID, number int) lbpolicy.ResponseProgress {
	c := e.calls[id]
	if c == nil || number < 0 || number >= len(c.attempts) {
		return lbpolicy.ResponseAwaited
	}
	return c.attempts[number].progress.ResponseProgress()
}

// RecordHedge implements lbpolicy.Host.
func (e actions) RecordHedge(h lbpolicy.Hedge) {
	e.hedges[h.Reason]++
	c := e.calls[h.Request]
	if c == nil {
		return
	}
	e.log.Debug("hedged request", "request", c.requestID(), "endpoint", c.attempts[h.Attempt].server.name,
		"reason", lbpolicy.HedgeReasons[h.Reason], "waited", h.Waited, "usual_latency", h.UsualLatency, "count", e.hedges[h.Reason])
}

// waitsSince returns the time since which an attempt has been waiting for its endpoint. It returns now if the attempt is waiting for
// this process.
func (e *Engine) waitsSince(now time.Duration, a *attempt) time.Duration {
	if since, waits := a.progress.WaitingSince(); waits {
		return e.clock.fromTime(since)
	}
	return now
}

// isFinished reports whether nothing more can arrive for an attempt. An abandoned attempt is over once it no longer uses a connection,
// because bytes that arrive until then still show that the endpoint responds.
func (a *attempt) isFinished() bool {
	if !a.ended || !a.isAbandoned {
		return a.ended
	}
	select {
	case <-a.released:
		return true
	default:
		return false
	}
}
