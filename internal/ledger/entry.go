package ledger

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/ledger/commit"
	"silvertrail/internal/ledger/segment"
	"silvertrail/lbpolicy"
)

func randomID() uint64 { return rand.Uint64() | 1 }

// Request is what is recorded of a request that is taken.
type Request struct {
	ID, Class   string
	Tenant, Key string
	KeyID       idempotency.KeyID
	Fingerprint idempotency.Fingerprint
	TimeLeft    time.Duration
	FromSite    string // the sala that sent it; empty: a caller
	// Unrecorded has it served where it can't be recorded.
	Unrecorded bool
}

// Entry is one request in the ledger.
type Entry struct {
	ledger     *Ledger
	number     uint64
	unrecorded bool

	mu          sync.Mutex
	attempts    int
	ended       bool
	responseSeq uint64 // number of the record of an endpoint's answer
}

// maskName returns what stands for a name in the log: itself, or its hash under the secret.
func (l *Ledger) maskName(kind, name string) string {
	secret := l.options.Load().Secret
	if secret == nil || name == "" {
		return name
	}
	return HashName(secret, kind, name)
}

// HashName returns the hash of a name under a secret. Kind keeps keys and tenants apart.
func HashName(secret []byte, kind, name string) string {
	h := keyedHash(secret, kind, []byte(name))
	return hex.EncodeToString(h[:])
}

func keyedHash(secret []byte, kind string, what []byte) (out [16]byte) {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte(kind))
	m.Write([]byte{0})
	m.Write(what)
	copy(out[:], m.Sum(nil))
	return out
}

func (l *Ledger) maskKeyID(id idempotency.KeyID) idempotency.KeyID {
	if secret := l.options.Load().Secret; secret != nil {
		return keyedHash(secret, "id", id[:])
	}
	return id
}

// MaskFingerprint returns what stands for a request's print in the log.
func (l *Ledger) MaskFingerprint(p idempotency.Fingerprint) idempotency.Fingerprint {
	if secret := l.options.Load().Secret; secret != nil && p != (idempotency.Fingerprint{}) {
		return keyedHash(secret, "print", p[:])
	}
	return p
}

const maxTenantBytes = 256 // of a tenant, in the log

// Begin records that a request is taken. An *ErrUnready says that it can't be: nothing of it may go out.
func (l *Ledger) Begin(r Request) (*Entry, error) {
	if len(r.Tenant) > maxTenantBytes { // it stands for more than itself; the whole is in the key's ID
		r.Tenant = r.Tenant[:maxTenantBytes]
	}
	rec := segment.Record{Kind: segment.Received, ID: r.ID, Class: r.Class, Key: l.maskName("key", r.Key), Tenant: l.maskName("tenant", r.Tenant),
		KeyID: l.maskKeyID(r.KeyID), Fingerprint: l.MaskFingerprint(r.Fingerprint), TimeLeft: r.TimeLeft, FromSite: r.FromSite}
	l.mu.Lock()
	defer l.mu.Unlock()
	why, back := l.commit.Ready(time.Now())
	l.requestCount++
	e := &Entry{ledger: l, number: l.requestCount, unrecorded: r.Unrecorded}
	if why == "" {
		rec.Request, rec.At = e.number, l.elapsed()
		if _, ok := l.addRecord(&rec, false); ok {
			return e, nil
		}
		why, back = "no room for records", l.options.Load().Commit.SlowDiskTime
	}
	l.logState(time.Now())
	if r.Unrecorded {
		return e, nil
	}
	return nil, &UnavailableError{why, back}
}

// Attempt is one attempt of a request.
type Attempt struct {
	entry    *Entry
	number   int
	endpoint string
	terms    idempotency.Terms

	mu       sync.Mutex
	intended bool
	ended    bool
}

// Attempt begins a request's next attempt. Nothing is recorded until its Intent.
func (e *Entry) Attempt(nodo string, terms idempotency.Terms) *Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts++
	return &Attempt{entry: e, number: e.attempts, endpoint: nodo, terms: terms}
}

// Intent records that the attempt is about to go out, and returns when that is as safe as the mode asks for. With an error
// nothing of it may go out.
func (a *Attempt) Intent(ctx context.Context, to idempotency.Place) error {
	l := a.entry.ledger
	l.mu.Lock()
	a.mu.Lock()
	over := a.ended
	why, back := l.commit.Ready(time.Now())
	var seq uint64
	if !over && why == "" {
		var ok bool
		seq, ok = l.addRecord(&segment.Record{Kind: segment.Intent, At: l.elapsed(), Request: a.entry.number, Attempt: a.number, Endpoint: a.endpoint,
			Cluster: to.Cluster, Zone: to.Zone, Cell: to.Cell, Scope: uint8(a.terms.Scope), Window: a.terms.Window, Retention: a.terms.Retention}, true)
		if a.intended = ok; !ok {
			why, back = "no room for records", l.options.Load().Commit.SlowDiskTime
		}
	}
	a.mu.Unlock()
	var err error
	switch {
	case over:
		l.mu.Unlock()
		return context.Canceled
	case why != "":
		l.logState(time.Now())
		l.mu.Unlock()
		err = &UnavailableError{why, back}
	default:
		err = l.await(ctx, seq, l.options.Load().Commit.Mode != commit.OSBuffered)
	}
	if err != nil && a.entry.unrecorded && ctx.Err() == nil {
		l.mu.Lock()
		l.countUnrecorded()
		l.mu.Unlock()
		return nil
	}
	return err
}

var verdictNames = map[lbpolicy.Verdict]string{lbpolicy.OK: "ok", lbpolicy.Error: "error", lbpolicy.ServerFull: "full", lbpolicy.Timeout: "timeout",
	lbpolicy.ConnectFailed: "connect failed", lbpolicy.Reset: "reset", lbpolicy.Cancelled: "cancelled", lbpolicy.NotSent: "not sent",
	lbpolicy.Rejected: "rejected"}

// Ended records how the attempt has ended. Status is that of an answer, or 0. It does not wait.
func (a *Attempt) Ended(v lbpolicy.Verdict, status int) {
	l := a.entry.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	if a.ended = true; a.intended {
		seq, _ := l.addRecord(&segment.Record{Kind: segment.Outcome, At: l.elapsed(), Request: a.entry.number, Attempt: a.number, NeverRan: v.NeverRan(),
			Responded: status != 0, Verdict: verdictNames[v], Status: status}, v == lbpolicy.OK)
		if v == lbpolicy.OK {
			a.entry.mu.Lock()
			a.entry.responseSeq = seq
			a.entry.mu.Unlock()
		}
	}
}

// Finish records the request's one answer, before its first byte goes to the caller. What an endpoint has answered waits
// until the record of that is as safe as the mode asks for, within the patience; what was given up on never waits. The
// record of the final answer itself follows at once, and nobody waits for it: should the process die between the two, the
// ledger tells that the request ran and not whether its caller had the answer.
func (e *Entry) Finish(ending segment.Ending, status int) {
	l := e.ledger
	e.mu.Lock()
	again, answered := e.ended, e.responseSeq
	e.ended = true
	e.mu.Unlock()
	if again {
		return
	}
	l.mu.Lock()
	_, ok := l.addRecord(&segment.Record{Kind: segment.Final, At: l.elapsed(), Request: e.number, Ending: ending, Status: status}, true)
	if ending != segment.Served || answered == 0 {
		l.mu.Unlock()
		return
	}
	if why, _ := l.commit.Ready(time.Now()); ok && why == "" {
		if l.await(context.Background(), answered, l.options.Load().Commit.Mode == commit.EachRecord) == nil {
			return
		}
		l.mu.Lock()
	}
	l.lateAnswers++
	l.mu.Unlock()
}

// RecoveredKey returns what former processes have recorded of a key that may have run.
func (l *Ledger) RecoveredKey(now time.Time, id idempotency.KeyID) (k idempotency.Record, print idempotency.Fingerprint, ok bool) {
	if !l.hasRecovered.Load() {
		return k, print, false
	}
	hidden := l.maskKeyID(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if k, ok = l.recovered.Find(now, hidden); ok {
		k.ID, print = id, l.fingerprints[hidden]
	}
	return k, print, ok
}

// IsUncertain tells whether a key of which nothing is known may have run all the same, as records are lost.
func (l *Ledger) IsUncertain(now time.Time) bool {
	return !l.uncertainUntil.IsZero() && now.Before(l.uncertainUntil) && !l.options.Load().IgnoreLosses
}

// View is what a running ledger tells of itself.
type View struct {
	Dir            string    `json:"dir"`
	Mode           string    `json:"mode"`
	Ready          bool      `json:"ready"`
	Reason         string    `json:"why,omitempty"`
	Records        uint64    `json:"last_record"`
	Durable        uint64    `json:"durable_to"`
	Segments       int       `json:"segments"`
	Bytes          int64     `json:"bytes"`
	Requests       uint64    `json:"requests"`
	Unrecorded     uint64    `json:"served_unrecorded"`
	Dropped        uint64    `json:"records_without_room"`
	LateAnswers    uint64    `json:"answers_before_their_record"`
	Errors         uint64    `json:"disk_errors"`
	Syncs          uint64    `json:"fsyncs"`
	SyncedRecords  uint64    `json:"records_in_fsyncs"`
	Recovered      int       `json:"keys_recovered"`
	UncertainUntil time.Time `json:"doubt_until,omitzero"`
	Losses         int       `json:"losses_found"`
}

// Status tells how the ledger stands.
func (l *Ledger) Status() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.options.Load()
	why, _ := l.commit.Ready(time.Now())
	v := View{Dir: o.Dir, Mode: o.Commit.Mode.String(), Ready: why == "", Reason: why, Records: l.commit.NextSeq() - 1, Durable: l.commit.Durable(),
		Segments: len(l.segments), Requests: l.requestCount, Unrecorded: l.unrecordedCount, Dropped: l.commit.Dropped(), LateAnswers: l.lateAnswers, Errors: l.commit.ErrorCount(),
		Syncs: l.syncCount, SyncedRecords: l.syncedRecords, Recovered: l.recovered.Len(), Losses: len(l.report.Losses)}
	for _, f := range l.segments {
		v.Bytes += f.Bytes
	}
	if time.Now().Before(l.uncertainUntil) {
		v.UncertainUntil = l.uncertainUntil
	}
	return v
}
