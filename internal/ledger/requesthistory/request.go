// Package requesthistory reconstructs from a ledger's records what became of each request: whether it ran, at which
// endpoint it may have run, and what is not known because records are lost. It never guesses: where lost records could
// tell, it says so. It does no I/O and reads no clock. An Index belongs to one reader.
//
// It takes records in the order of the log, and returns each request when no more records of it can come, so that its
// memory is bounded by the requests that were in progress at one time.
package requesthistory

import (
	"fmt"
	"slices"
	"time"

	"silvertrail/internal/ledger/segment"
)

// Verdict is what is known of a request.
type Verdict uint8

// The verdicts.
const (
	// InProgress means that the request was in progress when the log was read.
	InProgress Verdict = iota
	// Served means that an endpoint's response was sent to the client.
	Served
	// Executed means that an endpoint responded. That the client got the response is not recorded.
	Executed
	// Rejected means that it never ran, and the client was told that a retry is harmless.
	Rejected
	// NeverRan means that it never ran. The client was told of a failure, or nothing.
	NeverRan
	// MayHaveRun means that an attempt was sent, or about to be, and nothing tells what became of it.
	MayHaveRun
	// Unclear means that records of it are lost, and the others do not tell whether it ran.
	Unclear
)

var verdictTexts = [...]string{"still open", "served", "ran, answer not seen to reach the caller", "refused, never ran", "failed, never ran",
	"may have run", "unclear, records are lost"}

func (v Verdict) String() string { return verdictTexts[v] }

// Name returns a verdict's name in exports.
func (v Verdict) Name() string {
	return [...]string{"open", "served", "ran", "refused", "never_ran", "may_have_run", "unclear"}[v]
}

// Incarnation is one process that wrote the log.
type Incarnation struct {
	Process          uint64
	Host             string
	BootID           string
	StartedAt        time.Time // by its wall clock
	StartedSinceBoot time.Duration
	Mode             string
	Hashed           bool
	// ClockShifts are changes of the wall clock while it ran, compared with the start.
	ClockShifts   []ClockShift
	CleanShutdown bool
	Running       bool
	LastRecord    time.Duration
	DurableTo     uint64 // the last record that the process knew to be durable
}

// ClockShift is a change of the wall clock.
type ClockShift struct {
	At     time.Duration // since the process started
	Offset time.Duration // compared with the start
}

// Time returns the wall-clock time at a moment of an incarnation, as the process saw it.
func (i *Incarnation) Time(at time.Duration) time.Time {
	by := time.Duration(0)
	for _, shift := range i.ClockShifts {
		if shift.At <= at {
			by = shift.Offset
		}
	}
	return i.StartedAt.Add(at + by)
}

// Attempt is one attempt of a request.
type Attempt struct {
	Number            int
	Endpoint          string
	Cluster, Zone     string
	Cell              int
	Scope             uint8
	Window, Retention time.Duration
	Intended          bool // its intent is recorded
	SentAt            time.Duration
	Ended             bool
	EndedAt           time.Duration
	NeverRan          bool
	Responded         bool
	Verdict           string
	Status            int
}

// mayHaveRun reports whether nothing proves that the attempt did not run.
func (a *Attempt) mayHaveRun() bool { return a.Intended && (!a.Ended || !a.NeverRan) }

// verdictOK is the verdict of a successful attempt.
const verdictOK = "ok"

// executed reports whether an endpoint has executed the attempt.
func (a *Attempt) executed() bool {
	return a.Ended && a.Responded && !a.NeverRan && a.Verdict == verdictOK
}

// Location describes the place of an attempt.
func (a *Attempt) Location() string {
	if a.Cluster == "" && a.Zone == "" {
		return a.Endpoint
	}
	return fmt.Sprintf("%s (cluster %s, zone %s, cell %d)", a.Endpoint, a.Cluster, a.Zone, a.Cell)
}

// Request is all that is known of one request.
type Request struct {
	Incarnation *Incarnation
	Number      uint64
	Known       bool // its first record exists
	ID, Class   string
	Key         string
	Tenant      string
	KeyID       [16]byte
	Fingerprint [16]byte
	FromSite    string
	ReceivedAt  time.Duration
	TimeLeft    time.Duration
	Attempts    []Attempt // by number
	Answered    bool      // its final answer is recorded
	AnsweredAt  time.Duration
	Ending      segment.Ending
	Status      int
	// RecordsLost means that records are missing from the time in which the request was in progress.
	RecordsLost bool

	firstGap uint64 // the first record that was missing while it was in progress
}

// Verdict returns what is known of the request.
func (r *Request) Verdict() Verdict {
	executed, mayHaveRun := false, false
	for i := range r.Attempts {
		executed = executed || r.Attempts[i].executed()
		mayHaveRun = mayHaveRun || r.Attempts[i].mayHaveRun()
	}
	wasRejected := r.Answered && r.Ending == segment.Rejected
	switch {
	case r.Answered && r.Ending == segment.Served:
		return Served
	case r.Incarnation.Running && r.hasUnrecordedEnd():
		return InProgress
	case executed:
		return Executed
	case mayHaveRun:
		return MayHaveRun
	case r.RecordsLost && !wasRejected:
		return Unclear // an attempt may be among what is lost
	case wasRejected || r.Answered && r.Ending == segment.KeyConflict:
		return Rejected
	}
	return NeverRan
}

// hasUnrecordedEnd reports whether the end of the request or of an attempt is not recorded.
func (r *Request) hasUnrecordedEnd() bool {
	return !r.Answered || slices.ContainsFunc(r.Attempts, func(a Attempt) bool { return !a.Ended })
}

// PossiblyExecuted returns the attempts that may have run.
func (r *Request) PossiblyExecuted() []Attempt {
	var attempts []Attempt
	for _, a := range r.Attempts {
		if a.mayHaveRun() {
			attempts = append(attempts, a)
		}
	}
	return attempts
}

// attempt returns the request's attempt of a number, which it adds if needed.
func (r *Request) attempt(number int) *Attempt {
	i, found := slices.BinarySearchFunc(r.Attempts, number, func(a Attempt, n int) int { return a.Number - n })
	if !found {
		r.Attempts = slices.Insert(r.Attempts, i, Attempt{Number: number})
	}
	return &r.Attempts[i]
}

// isComplete reports whether no more records of the request will come.
func (r *Request) isComplete() bool {
	if !r.Known || !r.Answered {
		return false
	}
	return !slices.ContainsFunc(r.Attempts, func(a Attempt) bool { return !a.Ended || !a.Intended && !a.NeverRan })
}

// apply adds a record of the request.
func (r *Request) apply(record *segment.Record) {
	switch record.Kind {
	case segment.Received:
		r.applyReceived(record)
	case segment.Intent:
		a := r.attempt(record.Attempt)
		a.Intended = true
		a.Endpoint, a.Cluster, a.Zone, a.Cell = record.Endpoint, record.Cluster, record.Zone, record.Cell
		a.Scope, a.Window, a.Retention = record.Scope, record.Window, record.Retention
		a.SentAt = record.At
	case segment.Outcome:
		a := r.attempt(record.Attempt)
		a.Ended, a.EndedAt = true, record.At
		a.NeverRan, a.Responded = record.NeverRan, record.Responded
		a.Verdict, a.Status = record.Verdict, record.Status
	case segment.Final:
		r.Answered, r.AnsweredAt = true, record.At
		r.Ending, r.Status = record.Ending, record.Status
	}
}

func (r *Request) applyReceived(record *segment.Record) {
	r.Known = true
	r.ID = record.ID
	r.Class = record.Class
	r.Key, r.Tenant = record.Key, record.Tenant
	r.KeyID, r.Fingerprint = record.KeyID, record.Fingerprint
	r.FromSite = record.FromSite
	r.ReceivedAt, r.TimeLeft = record.At, record.TimeLeft
}
