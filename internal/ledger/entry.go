package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/ledger/commit"
	"silvertrail/internal/ledger/segment"
	"silvertrail/lbpolicy"
)

// Request describes a received request for its first record.
type Request struct {
	ID, Class   string
	Tenant, Key string
	KeyID       idempotency.KeyID
	Fingerprint idempotency.Fingerprint
	TimeLeft    time.Duration
	FromSite    string // site that forwarded the request; empty if a client sent it
	// ServeUnrecorded allows the request to be served even if it cannot be recorded.
	ServeUnrecorded bool
}

// Entry is one request in the ledger.
type Entry struct {
	ledger          *Ledger
	number          uint64
	serveUnrecorded bool

	mu          sync.Mutex // guards the fields below
	attempts    int
	ended       bool
	responseSeq uint64 // sequence number of the record of a successful response; 0 if there is none
}

const (
	// maxTenantBytes bounds the stored tenant name. A longer name is cut off, but the key's ID covers all of it.
	maxTenantBytes = 256
	noRoomReason   = "no room for records"
)

// Begin records that a request was received. It returns an *UnavailableError if the request cannot be recorded: no attempt of it
// may be sent then. A request with ServeUnrecorded set gets an entry nevertheless.
func (l *Ledger) Begin(r Request) (*Entry, error) {
	record := segment.Record{
		Kind:        segment.Received,
		ID:          r.ID,
		Class:       r.Class,
		Key:         l.maskName(kindKey, r.Key),
		Tenant:      l.maskName(kindTenant, r.Tenant[:min(len(r.Tenant), maxTenantBytes)]),
		KeyID:       l.maskKeyID(r.KeyID),
		Fingerprint: l.MaskFingerprint(r.Fingerprint),
		TimeLeft:    r.TimeLeft,
		FromSite:    r.FromSite,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	reason, retryAfter := l.commit.Ready(time.Now())
	l.requestCount++
	e := &Entry{ledger: l, number: l.requestCount, serveUnrecorded: r.ServeUnrecorded}
	if reason == "" {
		record.Request, record.At = e.number, l.elapsed()
		if _, ok := l.addRecord(&record, false); ok {
			return e, nil
		}
		reason, retryAfter = noRoomReason, l.options.Load().Commit.SlowDiskTime
	}
	l.logState(time.Now())
	if r.ServeUnrecorded {
		return e, nil
	}
	return nil, &UnavailableError{Reason: reason, RetryAfter: retryAfter}
}

// Attempt is one attempt of a request.
type Attempt struct {
	entry    *Entry
	number   int
	endpoint string
	terms    idempotency.Terms

	mu             sync.Mutex // guards the fields below; locked after the ledger's mutex
	intentRecorded bool
	ended          bool
}

// BeginAttempt begins the request's next attempt. Nothing is recorded until Intent is called.
func (e *Entry) BeginAttempt(endpoint string, terms idempotency.Terms) *Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts++
	return &Attempt{entry: e, number: e.attempts, endpoint: endpoint, terms: terms}
}

// Intent records that the attempt is about to be sent to a place. It returns once the record is durable; in mode OSBuffered, once it is
// written. After an error the attempt must not be sent. If the record of an attempt fails and the request has ServeUnrecorded set,
// Intent returns no error and counts the attempt as unrecorded.
func (a *Attempt) Intent(ctx context.Context, to idempotency.Place) error {
	l := a.entry.ledger
	l.mu.Lock()
	seq, err := a.addIntent(to)
	if err != nil {
		l.mu.Unlock()
	} else {
		err = l.await(ctx, seq, l.options.Load().Commit.Mode != commit.OSBuffered)
	}
	if err == nil || !a.entry.serveUnrecorded || ctx.Err() != nil || errors.Is(err, errAttemptEnded) {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countUnrecorded()
	return nil
}

// errAttemptEnded means that the attempt ended before its intent was recorded.
var errAttemptEnded = context.Canceled

// addIntent adds the record of the attempt's intent. The caller holds the ledger's lock.
func (a *Attempt) addIntent(to idempotency.Place) (seq uint64, err error) {
	l := a.entry.ledger
	a.mu.Lock()
	defer a.mu.Unlock()
	reason, retryAfter := l.commit.Ready(time.Now())
	if a.ended {
		return 0, errAttemptEnded
	}
	if reason == "" {
		seq, a.intentRecorded = l.addRecord(&segment.Record{
			Kind:      segment.Intent,
			At:        l.elapsed(),
			Request:   a.entry.number,
			Attempt:   a.number,
			Endpoint:  a.endpoint,
			Cluster:   to.Cluster,
			Zone:      to.Zone,
			Cell:      to.Cell,
			Scope:     uint8(a.terms.Scope),
			Window:    a.terms.Window,
			Retention: a.terms.Retention,
		}, true)
		if a.intentRecorded {
			return seq, nil
		}
		reason, retryAfter = noRoomReason, l.options.Load().Commit.SlowDiskTime
	}
	l.logState(time.Now())
	return 0, &UnavailableError{Reason: reason, RetryAfter: retryAfter}
}

// verdictNames are the names of verdicts in records.
var verdictNames = map[lbpolicy.Verdict]string{
	lbpolicy.OK:            "ok",
	lbpolicy.Error:         "error",
	lbpolicy.ServerFull:    "full",
	lbpolicy.Timeout:       "timeout",
	lbpolicy.ConnectFailed: "connect failed",
	lbpolicy.Reset:         "reset",
	lbpolicy.Cancelled:     "cancelled",
	lbpolicy.NotSent:       "not sent",
	lbpolicy.Rejected:      "rejected",
}

// Ended records the attempt's outcome. Status is the HTTP status of the response, or 0 if there was none. It does not wait for the
// record to be written. A second call records nothing, nor does a call for an attempt whose intent was not recorded.
func (a *Attempt) Ended(v lbpolicy.Verdict, status int) {
	l := a.entry.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	wasEnded := a.ended
	a.ended = true
	if wasEnded || !a.intentRecorded {
		return
	}
	seq, _ := l.addRecord(&segment.Record{
		Kind:      segment.Outcome,
		At:        l.elapsed(),
		Request:   a.entry.number,
		Attempt:   a.number,
		NeverRan:  v.NeverRan(),
		Responded: status != 0,
		Verdict:   verdictNames[v],
		Status:    status,
	}, v == lbpolicy.OK)
	if v == lbpolicy.OK {
		a.entry.mu.Lock()
		a.entry.responseSeq = seq
		a.entry.mu.Unlock()
	}
}

// Finish records the final answer to the request. It must be called before the first byte of the answer is sent to the client.
// Before an endpoint's successful response is served, Finish waits until the record of that response is durable in mode EachRecord,
// or written in the other modes. It waits for about SlowDiskTime at most, and not beyond the end of ctx. If the record is not safe by
// then, or the disk is not usable, the response counts as late. Other answers do not wait.
//
// Finish never waits for the record of the final answer itself. If the process ends before that record is written, the ledger shows
// that the request ran, but not whether the client got the answer.
func (e *Entry) Finish(ctx context.Context, ending segment.Ending, status int) {
	e.mu.Lock()
	wasEnded, responseSeq := e.ended, e.responseSeq
	e.ended = true
	e.mu.Unlock()
	if wasEnded {
		return
	}
	l := e.ledger
	l.mu.Lock()
	_, ok := l.addRecord(&segment.Record{Kind: segment.Final, At: l.elapsed(), Request: e.number, Ending: ending, Status: status}, true)
	if ending != segment.Served || responseSeq == 0 {
		l.mu.Unlock()
		return
	}
	if reason, _ := l.commit.Ready(time.Now()); ok && reason == "" {
		if l.await(ctx, responseSeq, l.options.Load().Commit.Mode == commit.EachRecord) == nil {
			return
		}
		l.mu.Lock()
	}
	l.lateResponses++
	l.mu.Unlock()
}
