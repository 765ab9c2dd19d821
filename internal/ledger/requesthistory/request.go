// Package requesthistory reconstructs the outcome of each request from the records of a ledger: whether the request ran, at which
// endpoints it may have run, and whether records of it are lost. It never guesses. If records are lost and the remaining ones
// do not show whether a request ran, the verdict is MayHaveRun or Unclear. The package does no I/O and reads no clock.
// An Index belongs to one reader.
//
// An Index takes records in the order of the log. It reports each request when no more records of it can follow, so that its
// memory is bounded by the number of concurrent requests.
package requesthistory

import (
	"fmt"
	"slices"
	"time"

	"silvertrail/internal/ledger/segment"
)

// Verdict is the outcome of a request as far as the records show it.
type Verdict uint8

// The verdicts.
const (
	// InProgress means that the request was in progress when the log was read.
	InProgress Verdict = iota
	// Served means that an endpoint's response was sent to the client.
	Served
	// Executed means that an endpoint responded. No record shows that the client got the response.
	Executed
	// Rejected means that the request never ran, and that the response told the client that a retry is harmless.
	Rejected
	// NeverRan means that the request never ran. The client got an error response or none.
	NeverRan
	// MayHaveRun means that an attempt was sent or about to be sent, and no record proves that it did not run.
	MayHaveRun
	// Unclear means that records of the request are lost, and the remaining ones do not show whether it ran.
	Unclear
)

var verdictTexts = [...]string{"still open", "served", "ran, answer not seen to reach the caller", "refused, never ran", "failed, never ran",
	"may have run", "unclear, records are lost"}

func (v Verdict) String() string { return verdictTexts[v] }

// Name returns the name of the verdict in exports.
func (v Verdict) Name() string {
	return [...]string{"open", "served", "ran", "refused", "never_ran", "may_have_run", "unclear"}[v]
}

// Incarnation is one run of a process that wrote the log.
type Incarnation struct {
	Process          uint64
	Host             string
	BootID           string
	StartedAt        time.Time // by its wall clock
	StartedSinceBoot time.Duration
	Mode             string
	Hashed           bool // tenants and keys are recorded as hashes
	// ClockShifts are the changes of the wall clock while the process ran, oldest first.
	ClockShifts   []ClockShift
	CleanShutdown bool
	Running       bool
	LastRecord    time.Duration // since the process started
	DurableTo     uint64        // sequence number of the last record that the process knew to be durable
}

// ClockShift is a change of the wall clock.
type ClockShift struct {
	At     time.Duration // since the process started
	Offset time.Duration // of the wall clock, relative to its setting at the start of the process
}

// Time returns the wall-clock time at a moment of the incarnation, as the clock of the machine showed it.
func (i *Incarnation) Time(at time.Duration) time.Time {
	offset := time.Duration(0)
	for _, shift := range i.ClockShifts {
		if shift.At <= at {
			offset = shift.Offset
		}
	}
	return i.StartedAt.Add(at + offset)
}

// Attempt is one attempt of a request.
type Attempt struct {
	Number            int
	Endpoint          string
	Cluster, Zone     string
	Cell              int
	Scope             uint8
	Window, Retention time.Duration
	HasIntent         bool // the Intent record of the attempt exists
	SentAt            time.Duration
	Ended             bool
	EndedAt           time.Duration
	NeverRan          bool
	Responded         bool
	Verdict           string
	Status            int
}

// mayHaveRun reports whether nothing proves that the attempt did not run.
func (a *Attempt) mayHaveRun() bool { return a.HasIntent && (!a.Ended || !a.NeverRan) }

// verdictOK is the verdict of a successful attempt.
const verdictOK = "ok"

// executed reports whether an endpoint has executed the attempt.
func (a *Attempt) executed() bool {
	return a.Ended && a.Responded && !a.NeverRan && a.Verdict == verdictOK
}

// Location describes the endpoint of an attempt, with its cluster, zone and cell if they are known.
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
	HasReceived bool // the Received record exists
	ID, Class   string
	Key         string
	Tenant      string
	KeyID       [16]byte
	Fingerprint [16]byte
	FromSite    string
	ReceivedAt  time.Duration
	TimeLeft    time.Duration
	Attempts    []Attempt // in the order of their numbers
	HasFinal    bool      // the Final record exists
	AnsweredAt  time.Duration
	Ending      segment.Ending
	Status      int
	// RecordsLost means that records are missing from the time in which the request was in progress. They may be its own.
	RecordsLost bool

	firstGap uint64 // sequence number of the first record that was missing while the request was open; 0: none
}

// Verdict derives the verdict from the records of the request.
func (r *Request) Verdict() Verdict {
	executed, mayHaveRun := false, false
	for i := range r.Attempts {
		executed = executed || r.Attempts[i].executed()
		mayHaveRun = mayHaveRun || r.Attempts[i].mayHaveRun()
	}
	wasRejected := r.HasFinal && r.Ending == segment.Rejected
	switch {
	case r.HasFinal && r.Ending == segment.Served:
		return Served
	case r.Incarnation.Running && r.hasUnrecordedEnd():
		return InProgress
	case executed:
		return Executed
	case mayHaveRun:
		return MayHaveRun
	case r.RecordsLost && !wasRejected:
		return Unclear // the record of an attempt may be lost
	case wasRejected || r.HasFinal && r.Ending == segment.KeyConflict:
		return Rejected
	}
	return NeverRan
}

// hasUnrecordedEnd reports whether the end of the request or of an attempt is not recorded.
func (r *Request) hasUnrecordedEnd() bool {
	return !r.HasFinal || slices.ContainsFunc(r.Attempts, func(a Attempt) bool { return !a.Ended })
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

// attempt returns the attempt with a number. It adds the attempt if there is none.
func (r *Request) attempt(number int) *Attempt {
	i, found := slices.BinarySearchFunc(r.Attempts, number, func(a Attempt, n int) int { return a.Number - n })
	if !found {
		r.Attempts = slices.Insert(r.Attempts, i, Attempt{Number: number})
	}
	return &r.Attempts[i]
}

// isComplete reports whether no more records of the request can follow.
func (r *Request) isComplete() bool {
	if !r.HasReceived || !r.HasFinal {
		return false
	}
	return !slices.ContainsFunc(r.Attempts, func(a Attempt) bool { return !a.Ended || !a.HasIntent && !a.NeverRan })
}

// apply updates the request from one of its records.
func (r *Request) apply(record *segment.Record) {
	switch record.Kind {
	case segment.Received:
		r.applyReceived(record)
	case segment.Intent:
		a := r.attempt(record.Attempt)
		a.HasIntent = true
		a.Endpoint, a.Cluster, a.Zone, a.Cell = record.Endpoint, record.Cluster, record.Zone, record.Cell
		a.Scope, a.Window, a.Retention = record.Scope, record.Window, record.Retention
		a.SentAt = record.At
	case segment.Outcome:
		a := r.attempt(record.Attempt)
		a.Ended, a.EndedAt = true, record.At
		a.NeverRan, a.Responded = record.NeverRan, record.Responded
		a.Verdict, a.Status = record.Verdict, record.Status
	case segment.Final:
		r.HasFinal, r.AnsweredAt = true, record.At
		r.Ending, r.Status = record.Ending, record.Status
	}
}

func (r *Request) applyReceived(record *segment.Record) {
	r.HasReceived = true
	r.ID = record.ID
	r.Class = record.Class
	r.Key, r.Tenant = record.Key, record.Tenant
	r.KeyID, r.Fingerprint = record.KeyID, record.Fingerprint
	r.FromSite = record.FromSite
	r.ReceivedAt, r.TimeLeft = record.At, record.TimeLeft
}
