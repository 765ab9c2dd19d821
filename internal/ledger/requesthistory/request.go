// Package requesthistory makes out of a ledger's records what is true of each request: what became of it, at which endpoint it
// may have run, and what can't be known as records are lost. It never guesses: where records that could tell are lost it
// says so. It does no I/O and has no clock.
//
// It takes records in the order of the log and gives each request out when nothing more of it can come, so that its memory
// is bounded by the requests that were in work at one time.
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
	// InProgress: in work as the log was read.
	InProgress Verdict = iota
	// Served: an endpoint answered, and its answer went to the caller.
	Served
	// Executed: an endpoint answered. That the caller had the answer is not recorded.
	Executed
	// Rejected: it never ran, and the caller was told that a repeat is harmless.
	Rejected
	// NeverRan: it never ran. The caller was told of a failure, or nothing.
	NeverRan
	// MayHaveRun: an attempt went out, or was about to, and nothing tells what became of it.
	MayHaveRun
	// Unclear: records of it are lost, and those that are left don't tell whether it ran.
	Unclear
)

var verdictTexts = [...]string{"still open", "served", "ran, answer not seen to reach the caller", "refused, never ran", "failed, never ran",
	"may have run", "unclear, records are lost"}

func (v Verdict) String() string { return verdictTexts[v] }

// Name is a verdict's name in exports.
func (v Verdict) Name() string {
	return [...]string{"open", "served", "ran", "refused", "never_ran", "may_have_run", "unclear"}[v]
}

// Incarnation is one process that wrote the log.
type Incarnation struct {
	Process          uint64
	Host             string
	BootID           string
	StartedAt        time.Time // by its time of day
	StartedSinceBoot time.Duration
	Mode             string
	Hashed           bool
	// ClockShifts are changes of the time of day while it ran, against the first.
	ClockShifts   []ClockShift
	CleanShutdown bool // it ended by itself
	Running       bool // it runs
	LastRecord    time.Duration
	DurableTo     uint64 // the last record that it is told of that it was durable
}

// ClockShift is a change of the time of day.
type ClockShift struct {
	At time.Duration // since the process began
	By time.Duration // against what the process began with
}

// Time is the time of day at a moment of a life, as the process's clock told it then.
func (l *Incarnation) Time(at time.Duration) time.Time {
	by := time.Duration(0)
	for _, s := range l.ClockShifts {
		if s.At <= at {
			by = s.By
		}
	}
	return l.StartedAt.Add(at + by)
}

// Attempt is one attempt of a request.
type Attempt struct {
	Number            int
	Endpoint          string
	Cluster, Zone     string
	Cell              int
	Scope             uint8
	Window, Retention time.Duration
	Intended          bool // it is recorded that it was about to go out
	SentAt            time.Duration
	Ended             bool
	EndedAt           time.Duration
	NeverRan          bool
	Responded         bool
	Verdict           string
	Status            int
}

// mayHaveRun tells that nothing proves that the attempt did not run.
func (a *Attempt) mayHaveRun() bool { return a.Intended && !(a.Ended && a.NeverRan) }

// Request is all that is known of one request.
type Request struct {
	Incarnation *Incarnation
	Number      uint64
	Known       bool // its beginning is recorded
	ID, Class   string
	Key         string
	Tenant      string
	KeyID       [16]byte
	Fingerprint [16]byte
	FromSite    string
	ReceivedAt  time.Duration
	TimeLeft    time.Duration
	Attempts    []Attempt
	Answered    bool // it has its answer
	AnsweredAt  time.Duration
	Ending      segment.Ending
	Status      int
	// RecordsLost tells that records are missing from a time at which the request was in work.
	RecordsLost bool

	firstGap uint64 // the first record that was missing while it was in work
}

// Verdict tells what is known of the request.
func (r *Request) Verdict() Verdict {
	ran, may := false, false
	for i := range r.Attempts {
		a := &r.Attempts[i]
		ran = ran || a.Ended && a.Responded && !a.NeverRan && a.Verdict == "ok"
		may = may || a.mayHaveRun()
	}
	switch {
	case r.Answered && r.Ending == segment.Served:
		return Served
	case r.Incarnation.Running && (!r.Answered || slices.ContainsFunc(r.Attempts, func(a Attempt) bool { return !a.Ended })):
		return InProgress
	case ran:
		return Executed
	case may:
		return MayHaveRun
	case r.RecordsLost && !(r.Answered && r.Ending == segment.Rejected):
		return Unclear // an attempt of it may be among what is lost
	case r.Answered && (r.Ending == segment.Rejected || r.Ending == segment.KeyConflict):
		return Rejected
	}
	return NeverRan
}

// PossiblyExecuted returns the attempts that may have run, or have.
func (r *Request) PossiblyExecuted() (out []Attempt) {
	for _, a := range r.Attempts {
		if a.mayHaveRun() {
			out = append(out, a)
		}
	}
	return out
}

// DataLoss is a run of records that are missing.
type DataLoss struct {
	From, To uint64 // their numbers, both included
	// After and Before are the times of the records next to them.
	After, Before time.Time
	Unrecorded    bool // they were never written: Count requests were served while the log could not be written
	// Torn: they are of the end of what a process wrote, and nothing tells that they were ever durable. So nobody waited
	// for them in vain: no attempt went out under them.
	Torn  bool
	Count uint64
	// The latest of them was written before At of a life.
	Incarnation *Incarnation
	At          time.Duration
}

// Index takes the records.
type Index struct {
	onRequest func(*Request)
	onLoss    func(DataLoss)

	incarnation *Incarnation
	open        map[uint64]*Request
	sweptAt     time.Duration // when it was looked last for requests that should have ended

	// Gaps of which it is not known yet whether they are the torn end of a process's records, and the requests that wait for
	// that to be known.
	gaps    []DataLoss
	pending []*Request
	next    uint64
	started bool
}

// lateRecordTime is how long after its deadline a request may still have records coming.
const lateRecordTime = 30 * time.Second

// NewIndex returns a book that gives each request out as soon as all is known of it, and each loss as it is met.
func NewIndex(give func(*Request), lost func(DataLoss)) *Index {
	return &Index{onRequest: give, onLoss: lost, open: map[uint64]*Request{}}
}

// BeginSegment takes a segment's header. Segments come in the order of their first records.
func (b *Index) BeginSegment(h *segment.Header) {
	if b.incarnation != nil && b.incarnation.Process == h.Process {
		b.confirmDurable(h.FirstSeq - 1) // else it would begin with an earlier one
	} else {
		from, gone := b.next, b.started && h.PreviousSeq >= b.next // the process before had written more than is left
		if gone {
			for _, q := range b.open {
				q.RecordsLost = true
			}
		}
		b.endIncarnation()
		former := b.incarnation
		b.incarnation = &Incarnation{Process: h.Process, Host: h.Host, BootID: h.BootID, StartedAt: time.UnixMicro(h.StartedAt),
			StartedSinceBoot: time.Duration(h.StartedSinceBoot) * time.Microsecond, Mode: h.Mode, Hashed: h.Hashed}
		b.next = h.FirstSeq
		if gone { // it was written before this one began
			b.onLoss(DataLoss{From: from, To: h.PreviousSeq, After: former.Time(former.LastRecord), Before: b.incarnation.StartedAt, Incarnation: b.incarnation})
		}
	}
	if !b.started {
		b.started, b.next = true, h.FirstSeq
	}
}

// Incarnation returns the life in hand.
func (b *Index) Incarnation() *Incarnation { return b.incarnation }

// Next returns the number that the next record should have.
func (b *Index) Next() uint64 { return b.next }

// AddRecord takes a record.
func (b *Index) AddRecord(seq uint64, r *segment.Record) {
	if seq < b.next {
		return // written a second time, as the first was not trusted
	}
	if seq > b.next {
		for _, q := range b.open {
			if q.firstGap == 0 {
				q.firstGap = b.next
			}
		}
		b.gaps = append(b.gaps, DataLoss{From: b.next, To: seq - 1, After: b.incarnation.Time(b.incarnation.LastRecord), Before: b.incarnation.Time(r.At), Incarnation: b.incarnation, At: r.At})
	}
	if r.DurableLag > 0 && r.DurableLag < seq {
		b.confirmDurable(seq - r.DurableLag)
	}
	b.next = seq + 1
	b.incarnation.LastRecord = max(b.incarnation.LastRecord, r.At)
	switch r.Kind {
	case segment.ClockShift:
		b.incarnation.ClockShifts = append(b.incarnation.ClockShifts, ClockShift{r.At, time.UnixMicro(r.WallTime).Sub(b.incarnation.StartedAt.Add(r.At))})
		return
	case segment.Unrecorded:
		b.onLoss(DataLoss{Unrecorded: true, Count: r.Count, After: b.incarnation.Time(r.Since), Before: b.incarnation.Time(r.At), Incarnation: b.incarnation, At: r.At})
		return
	case segment.Shutdown:
		b.incarnation.CleanShutdown = true
		return
	case segment.Received, segment.Intent, segment.Outcome, segment.Final:
	default:
		return // of a later version
	}
	q := b.open[r.Request]
	if q == nil {
		q = &Request{Incarnation: b.incarnation, Number: r.Request, ReceivedAt: r.At}
		b.open[r.Request] = q
		if r.Kind != segment.Received {
			q.RecordsLost = true // its beginning is
		}
	}
	switch r.Kind {
	case segment.Received:
		q.Known, q.ID, q.Class, q.Key, q.Tenant, q.KeyID, q.Fingerprint, q.FromSite = true, r.ID, r.Class, r.Key, r.Tenant, r.KeyID, r.Fingerprint, r.FromSite
		q.ReceivedAt, q.TimeLeft = r.At, r.TimeLeft
	case segment.Intent:
		a := q.attempt(r.Attempt)
		a.Intended, a.Endpoint, a.Cluster, a.Zone, a.Cell, a.Scope = true, r.Endpoint, r.Cluster, r.Zone, r.Cell, r.Scope
		a.Window, a.Retention, a.SentAt = r.Window, r.Retention, r.At
	case segment.Outcome:
		a := q.attempt(r.Attempt)
		a.Ended, a.EndedAt, a.NeverRan, a.Responded, a.Verdict, a.Status = true, r.At, r.NeverRan, r.Responded, r.Verdict, r.Status
	case segment.Final:
		q.Answered, q.AnsweredAt, q.Ending, q.Status = true, r.At, r.Ending, r.Status
	}
	if q.isComplete() {
		b.complete(q)
	}
	if r.At-b.sweptAt >= lateRecordTime/4 {
		b.sweptAt = r.At
		b.sweep(true, func(q *Request) bool { return r.At-q.ReceivedAt-q.TimeLeft > lateRecordTime })
	}
}

// sweep gives out those of the open requests that are told, by number: nothing more of them comes. Lost tells that it
// should have.
func (b *Index) sweep(lost bool, over func(*Request) bool) {
	var numbers []uint64
	for n, q := range b.open {
		if over(q) {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		q := b.open[n]
		q.RecordsLost = q.RecordsLost || lost
		b.complete(q)
	}
}

// attempt returns the request's attempt of a number.
func (r *Request) attempt(n int) *Attempt {
	i, found := slices.BinarySearchFunc(r.Attempts, n, func(a Attempt, n int) int { return a.Number - n })
	if !found {
		r.Attempts = slices.Insert(r.Attempts, i, Attempt{Number: n})
	}
	return &r.Attempts[i]
}

// isComplete tells that nothing more of a request will come.
func (r *Request) isComplete() bool {
	return r.Known && r.Answered && !slices.ContainsFunc(r.Attempts, func(a Attempt) bool { return !a.Ended || !a.Intended && !a.NeverRan })
}

func (b *Index) complete(r *Request) {
	delete(b.open, r.Number)
	if len(b.gaps) > 0 {
		b.pending = append(b.pending, r)
		return
	}
	b.onRequest(r)
}

// confirmDurable takes it that records up to one were durable: those of them that are missing are lost.
func (b *Index) confirmDurable(safe uint64) {
	if safe <= b.incarnation.DurableTo {
		return
	}
	b.incarnation.DurableTo = safe
	for len(b.gaps) > 0 && b.gaps[0].From <= safe {
		b.onLoss(b.gaps[0])
		b.gaps = b.gaps[1:]
	}
	for _, q := range b.open {
		q.RecordsLost = q.RecordsLost || q.firstGap > 0 && q.firstGap <= safe
	}
	for _, q := range b.pending {
		q.RecordsLost = q.RecordsLost || q.firstGap > 0 && q.firstGap <= safe
	}
	if len(b.gaps) == 0 {
		b.releasePending()
	}
}

// releasePending gives out the requests that waited.
func (b *Index) releasePending() {
	for _, q := range b.pending {
		b.onRequest(q)
	}
	b.pending = nil
}

// endIncarnation ends the life in hand: nothing more of it comes.
func (b *Index) endIncarnation() {
	for _, g := range b.gaps {
		g.Torn = true
		b.onLoss(g)
	}
	b.gaps = nil
	b.releasePending()
	b.sweep(false, func(*Request) bool { return true })
	b.sweptAt = 0
}

// Finish ends the log. Live tells that its last process runs, so that what is open is in work.
func (b *Index) Finish(live bool) {
	if b.incarnation != nil {
		b.incarnation.Running = live
	}
	b.endIncarnation()
}

// OpenRequests returns the number of requests of which more may come.
func (b *Index) OpenRequests() int { return len(b.open) }

// Location tells the place of an attempt in words.
func (a *Attempt) Location() string {
	s := a.Endpoint
	if a.Cluster != "" || a.Zone != "" {
		s += fmt.Sprintf(" (cluster %s, zone %s, cell %d)", a.Cluster, a.Zone, a.Cell)
	}
	return s
}
