package soak

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Kind is the kind of a violation.
type Kind string

// The kinds, with the page that has the rule.
const (
	NotAnswered     Kind = "no answer"            // PROTOCOL, "The rules on sockets"
	LateAnswer      Kind = "late answer"          // STANDING, "A request has to get its final answer"
	ForeignAnswer   Kind = "wrong answer"         // PROTOCOL, "Callers to sidecars"
	AnswerDropped   Kind = "answer cut off"       // ops/DAYS, "Size"
	SpoiltBody      Kind = "another body"         // PROTOCOL, "Sidecars to endpoints"
	SeveralEffects  Kind = "more than one effect" // WIRE, "No effect duplicated"
	SentToDraining  Kind = "sent to draining"     // WIRE, "Draining done safely"
	Overloaded      Kind = "slow start"           // STANDING, "A cold endpoint falls"
	SentAfterLeft   Kind = "sent for nobody"      // STANDING, "A client that closes its connection has gone"
	TooMuchTime     Kind = "too much time told"   // STANDING, "The time that an attempt tells its endpoint"
	TooManyDescr    Kind = "descriptors"          // the settings' limits
	TooMuchMemory   Kind = "memory"               // the settings' limits
	NotReady        Kind = "not ready in time"    // DAYS, "Replacing the process"
	Crashed         Kind = "crash"                // STANDING, "Pass or fail"
	KilledAtTheEnd  Kind = "ended by SIGKILL"     // PROTOCOL, "Figures"
	KnowsNoSchedule Kind = "tests little"         // of the soak itself
)

// Violation is a rule that was broken.
type Violation struct {
	Kind Kind
	Text string
}

// Bounds of the pages.
const (
	lateAnswerBound  = 500 * time.Millisecond // STANDING: later, the request is lost
	drainGrace       = 250 * time.Millisecond // the guide's third rule
	socketSlack      = 50 * time.Millisecond  // PROTOCOL: each time limit is 50 ms longer
	leftGrace        = 100 * time.Millisecond // STANDING
	timeoutSlack     = 150 * time.Millisecond // STANDING
	readyBound       = 6 * time.Second        // DAYS
	movedGrace       = 4 * time.Second        // STANDING: after SIGHUP
	replacedGrace    = 2 * time.Second        // DAYS: news binds from 2 s after the yes
	grantedPause     = 150 * time.Millisecond // STANDING: the bounds cover it
	smallSlowStart   = 30                     // requests, under which the budget is another one
	crossingBound    = 250 * time.Millisecond // in which a sidecar that runs has read what was sent to it
	minRequestsOfDay = 500
	shortAnswerBytes = 64 << 10 // ops/DAYS, "Size"
)

// checker checks one log.
type checker struct {
	log        *Log
	arrivals   map[string][]Arrival // by request, in their order
	violations []Violation
}

// Check returns the rules that were broken on a day.
func Check(l *Log) []Violation {
	c := &checker{log: l, arrivals: map[string][]Arrival{}}
	slices.SortFunc(l.Arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
	for _, a := range l.Arrivals {
		c.arrivals[a.ID] = append(c.arrivals[a.ID], a)
	}
	if len(l.Requests) < minRequestsOfDay {
		c.add(KnowsNoSchedule, "%d requests", len(l.Requests))
	}
	for _, r := range l.Requests {
		c.checkAnswer(r)
		c.checkAbandoned(r)
		c.checkAttempts(r)
	}
	c.checkBodies()
	c.checkEffects()
	c.checkDrains()
	c.checkSlowStart()
	for i, p := range l.Processes {
		c.checkProcess(i, p)
	}
	return c.violations
}

func (c *checker) add(k Kind, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{k, fmt.Sprintf(format, arguments...)})
}

// clock prints a time of the day.
func (c *checker) clock(t time.Time) string {
	if t.IsZero() || len(c.log.Processes) == 0 {
		return "never"
	}
	return fmt.Sprintf("%.3f", t.Sub(c.log.Processes[0].StartedAt).Seconds())
}

// checkAnswer checks that a request got one answer in time. A connection may be closed between two requests: one that crosses
// that, and was not read, is sent once more.
func (c *checker) checkAnswer(r Request) {
	forwarded := len(c.arrivals[r.ID]) > 0
	switch r.Ending {
	case Answered:
		c.checkEndsInTime(r)
		if r.WrongAnswer != "" {
			c.add(ForeignAnswer, "%s sent at %s: %s", r.ID, c.clock(r.SentAt), r.WrongAnswer)
		}
	case CutOff: // PROTOCOL: an answer that an endpoint did not finish has failed and is not lost
		if !c.log.Partial[r.ID] {
			c.add(NotAnswered, "%s sent at %s, cut off at %s, though no endpoint left its answer unfinished", r.ID, c.clock(r.SentAt), c.clock(r.EndedAt))
		}
		c.checkEndsInTime(r)
	case Unanswered:
		c.add(NotAnswered, "%s sent at %s, due %s, forwarded %t", r.ID, c.clock(r.SentAt), c.clock(r.Deadline), forwarded)
	case Closed:
		crowded := slices.ContainsFunc(c.log.Crowds, func(s Span) bool { return s.overlaps(r.SentAt, r.EndedAt) })
		shut := r.NewConnection && crowded // STANDING: new connections may be shut unread then
		bound := r.SentAt.Add(crossingBound + c.pausedBeyondGrant(r.SentAt, r.EndedAt))
		crossed := !r.NewConnection && !r.EndedAt.After(bound)
		if forwarded || !shut && !crossed {
			c.add(NotAnswered, "%s sent at %s on a new connection: %t, closed at %s, forwarded %t",
				r.ID, c.clock(r.SentAt), r.NewConnection, c.clock(r.EndedAt), forwarded)
		}
	}
}

// checkAbandoned checks that no answer was given up while its endpoint wrote it and the request had time, unless another one came.
func (c *checker) checkAbandoned(r Request) {
	at, abandoned := c.log.Abandoned[r.ID]
	failed := r.Ending == Answered && r.Status >= 500
	if abandoned && failed && at.Before(r.Deadline) && !c.isTerminating(at) {
		c.add(AnswerDropped, "%s sent at %s, status %d at %s, given up by %s, due %s", r.ID, c.clock(r.SentAt), r.Status, c.clock(r.EndedAt), c.clock(at), c.clock(r.Deadline))
	}
}

// isTerminating reports whether a process is ending at a time.
func (c *checker) isTerminating(at time.Time) bool {
	return slices.ContainsFunc(c.log.Processes, func(p *Process) bool {
		return !p.TerminatedAt.IsZero() && at.After(p.TerminatedAt) && !at.After(p.EndedAt)
	})
}

// checkEndsInTime checks that an answer, whole or not, ended in time. Of a long one the first bytes are timed.
func (c *checker) checkEndsInTime(r Request) {
	bound := r.Deadline.Add(lateAnswerBound + c.pausedBeyondGrant(r.SentAt, r.EndedAt))
	timed := r.EndedAt
	if r.AnswerBytes > shortAnswerBytes {
		timed = r.BegunAt
	}
	if timed.After(bound) {
		c.add(LateAnswer, "%s sent at %s, %s at %s, due %s", r.ID, c.clock(r.SentAt), r.Ending, c.clock(r.EndedAt), c.clock(r.Deadline))
	}
}

// pausedBeyondGrant returns for how long a process of the sidecar stood still between two times, where that is longer than
// what the pages have it bear. Nothing can be asked of it then.
func (c *checker) pausedBeyondGrant(from, to time.Time) (sum time.Duration) {
	for _, p := range c.log.Processes {
		for _, pause := range p.Pauses {
			if length := pause.To.Sub(pause.From); pause.overlaps(from, to) && length > grantedPause+socketSlack {
				sum += length
			}
		}
	}
	return sum
}

// checkAttempts checks the times of a request's attempts.
func (c *checker) checkAttempts(r Request) {
	for _, a := range c.arrivals[r.ID] {
		allowance := c.pausedBeyondGrant(r.SentAt, a.At)
		if r.Ending == Left && a.At.After(r.EndedAt.Add(leftGrace+socketSlack+allowance)) {
			c.add(SentAfterLeft, "%s left at %s, came to endpoint %d at %s", r.ID, c.clock(r.EndedAt), a.Endpoint, c.clock(a.At))
		}
		if left := r.Deadline.Sub(a.At); a.Timeout > left+timeoutSlack+socketSlack+allowance {
			c.add(TooMuchTime, "%s sent at %s came to endpoint %d at %s with %v, %v were left", r.ID, c.clock(r.SentAt), a.Endpoint, c.clock(a.At), a.Timeout, left)
		}
	}
}

// checkEffects checks that no request took effect more often than its class allows. Endpoints of a zone drop repeats of a key.
func (c *checker) checkEffects() {
	zones := map[string]map[string]bool{}
	count := map[string]int{}
	for _, a := range c.log.Arrivals {
		switch a.Class {
		case classKeyed:
			if zones[a.Key] == nil {
				zones[a.Key] = map[string]bool{}
			}
			zones[a.Key][a.Zone] = true
			if len(zones[a.Key]) == 2 && a.Zone != "" {
				c.add(SeveralEffects, "key %s of %s came to zones %v", a.Key, a.ID, zones[a.Key])
			}
		case classUnsafe:
			if count[a.ID]++; count[a.ID] == 2 {
				c.add(SeveralEffects, "%s, which is unsafe to repeat, came twice, at last to endpoint %d at %s", a.ID, a.Endpoint, c.clock(a.At))
			}
		}
	}
}

// notified returns when a change of discovery's list counts as notified.
func (c *checker) notified(changed time.Time) time.Time {
	at := changed
	later := func(t time.Time) {
		if t.After(at) {
			at = t
		}
	}
	for _, s := range c.log.Silences {
		if s.contains(at) {
			if s.To.IsZero() {
				later(c.log.EndedAt)
			}
			later(s.To)
		}
	}
	for _, moved := range c.log.Moves {
		if at.Before(moved.Add(movedGrace)) && !changed.Before(moved.Add(-movedGrace)) {
			later(moved.Add(movedGrace))
		}
	}
	for _, p := range c.log.Processes {
		if p.replacedWhileRunning && !p.ReadyAt.IsZero() && at.After(p.StartedAt) && at.Before(p.ReadyAt.Add(replacedGrace)) {
			later(p.ReadyAt.Add(replacedGrace))
		}
	}
	return at
}

// checkDrains checks that nothing new goes to an endpoint that drains or is not listed, a grace after that was notified.
func (c *checker) checkDrains() {
	for _, w := range c.log.Withdrawals {
		bound := c.notified(w.From).Add(drainGrace + socketSlack)
		for _, a := range c.log.Arrivals {
			allowance := c.pausedBeyondGrant(w.From, a.At)
			if a.Endpoint == w.Endpoint && w.contains(a.At) && a.At.After(bound.Add(allowance)) {
				c.add(SentToDraining, "%s came to endpoint %d at %s, withdrawn at %s, bound %s",
					a.ID, a.Endpoint, c.clock(a.At), c.clock(w.From), c.clock(bound))
			}
		}
	}
}

// checkSlowStart checks that no endpoint gets more than its budget in any window after its start.
func (c *checker) checkSlowStart() {
	for _, start := range c.log.Starts {
		var times []time.Time
		for _, a := range c.log.Arrivals {
			if a.Endpoint == start.Endpoint && a.At.After(start.At) && a.At.Before(start.At.Add(slowStart)) {
				times = append(times, a.At)
			}
		}
		for i := range times {
			end := times[i].Add(overloadWindow)
			n, _ := slices.BinarySearchFunc(times, end, func(t, end time.Time) int { return t.Compare(end) })
			if got, allowed := n-i, slowStartBudget(times[i].Sub(start.At)); float64(got) > allowed {
				c.add(Overloaded, "endpoint %d, started at %s, got %d requests in the window from %s, allowed are %.0f",
					start.Endpoint, c.clock(start.At), got, c.clock(times[i]), allowed)
				break
			}
		}
	}
}

// slowStartBudget returns how many requests an endpoint may get in the window that begins at an age.
func slowStartBudget(age time.Duration) float64 {
	share := startCapacity + (1-startCapacity)*age.Seconds()/slowStart.Seconds()
	n := overloadMultiple * min(share, 1) * endpointCapacity * overloadWindow.Seconds()
	if n < smallSlowStart {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// checkProcess checks the life of a process.
func (c *checker) checkProcess(number int, p *Process) {
	if p.Failure != "" {
		c.add(Crashed, "process %d, ended at %s: %s", number, c.clock(p.EndedAt), p.Failure)
	}
	if p.Killed {
		c.add(KilledAtTheEnd, "process %d had SIGTERM at %s and was there %v later", number, c.clock(p.TerminatedAt), c.log.Day.killDelay())
	}
	if p.Failure == "" && (p.ReadyAt.IsZero() || p.ReadyAt.Sub(p.StartedAt) > readyBound) {
		c.add(NotReady, "process %d started at %s, ready at %s", number, c.clock(p.StartedAt), c.clock(p.ReadyAt))
	}
	if p.MostDescriptors > maxSockets {
		c.add(TooManyDescr, "process %d: %d of %d", number, p.MostDescriptors, maxSockets)
	}
	if limit := c.log.Day.memoryMB(); p.MostMemoryBytes > limit<<20 {
		c.add(TooMuchMemory, "process %d: %d of %d MB", number, p.MostMemoryBytes>>20, limit)
	}
}

// Kinds returns the kinds of violations with their counts, in a fixed order.
func Kinds(violations []Violation) string {
	count := map[Kind]int{}
	for _, v := range violations {
		count[v.Kind]++
	}
	var kinds []Kind
	for k := range count {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	text := ""
	for _, k := range kinds {
		text += fmt.Sprintf("%s %d, ", k, count[k])
	}
	if text == "" {
		return "passed"
	}
	return text[:len(text)-2]
}
