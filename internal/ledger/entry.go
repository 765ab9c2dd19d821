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

func newNumber() uint64 { return rand.Uint64() | 1 }

// Request is what is recorded of a request that is taken.
type Request struct {
	ID, Class   string
	Tenant, Key string
	KeyID       idempotency.KeyID
	Print       idempotency.Fingerprint
	Left        time.Duration
	From        string // the sala that sent it; empty: a caller
	// Unrecorded has it served where it can't be recorded.
	Unrecorded bool
}

// Entry is one request in the ledger.
type Entry struct {
	ledger     *Ledger
	number     uint64
	unrecorded bool

	mu       sync.Mutex
	attempts int
	ended    bool
	answered uint64 // number of the record of an endpoint's answer
}

// hideName returns what stands for a name in the log: itself, or its hash under the secret.
func (l *Ledger) hideName(kind, name string) string {
	secret := l.options.Load().Secret
	if secret == nil || name == "" {
		return name
	}
	return HideName(secret, kind, name)
}

// HideName returns the hash of a name under a secret. Kind keeps keys and tenants apart.
func HideName(secret []byte, kind, name string) string {
	h := hide(secret, kind, []byte(name))
	return hex.EncodeToString(h[:])
}

func hide(secret []byte, kind string, what []byte) (out [16]byte) {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte(kind))
	m.Write([]byte{0})
	m.Write(what)
	copy(out[:], m.Sum(nil))
	return out
}

func (l *Ledger) hideID(id idempotency.KeyID) idempotency.KeyID {
	if secret := l.options.Load().Secret; secret != nil {
		return hide(secret, "id", id[:])
	}
	return id
}

// HidePrint returns what stands for a request's print in the log.
func (l *Ledger) HidePrint(p idempotency.Fingerprint) idempotency.Fingerprint {
	if secret := l.options.Load().Secret; secret != nil && p != (idempotency.Fingerprint{}) {
		return hide(secret, "print", p[:])
	}
	return p
}

const longestName = 256 // of a tenant, in the log

// Take records that a request is taken. An *ErrUnready says that it can't be: nothing of it may go out.
func (l *Ledger) Take(r Request) (*Entry, error) {
	if len(r.Tenant) > longestName { // it stands for more than itself; the whole is in the key's ID
		r.Tenant = r.Tenant[:longestName]
	}
	rec := segment.Record{Kind: segment.Taken, ID: r.ID, Class: r.Class, Key: l.hideName("key", r.Key), Tenant: l.hideName("tenant", r.Tenant),
		KeyID: l.hideID(r.KeyID), Print: l.HidePrint(r.Print), Left: r.Left, From: r.From}
	l.mu.Lock()
	defer l.mu.Unlock()
	why, back := l.commit.Ready(time.Now())
	l.requests++
	e := &Entry{ledger: l, number: l.requests, unrecorded: r.Unrecorded}
	if why == "" {
		rec.Request, rec.At = e.number, l.at()
		if _, ok := l.add(&rec, false); ok {
			return e, nil
		}
		why, back = "no room for records", l.options.Load().Commit.Patience
	}
	l.tell(time.Now())
	if r.Unrecorded {
		return e, nil
	}
	return nil, &ErrUnready{why, back}
}

// Attempt is one attempt of a request.
type Attempt struct {
	entry  *Entry
	number int
	nodo   string
	terms  idempotency.Terms

	mu       sync.Mutex
	intended bool
	over     bool
}

// Attempt begins a request's next attempt. Nothing is recorded until its Intent.
func (e *Entry) Attempt(nodo string, terms idempotency.Terms) *Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts++
	return &Attempt{entry: e, number: e.attempts, nodo: nodo, terms: terms}
}

// Intent records that the attempt is about to go out, and returns when that is as safe as the mode asks for. With an error
// nothing of it may go out.
func (a *Attempt) Intent(ctx context.Context, to idempotency.Place) error {
	l := a.entry.ledger
	l.mu.Lock()
	a.mu.Lock()
	over := a.over
	why, back := l.commit.Ready(time.Now())
	var seq uint64
	if !over && why == "" {
		var ok bool
		seq, ok = l.add(&segment.Record{Kind: segment.Intent, At: l.at(), Request: a.entry.number, Attempt: a.number, Nodo: a.nodo,
			Cluster: to.Cluster, Zone: to.Zone, Cell: to.Cell, Scope: uint8(a.terms.Scope), Window: a.terms.Window, Keep: a.terms.Retention}, true)
		if a.intended = ok; !ok {
			why, back = "no room for records", l.options.Load().Commit.Patience
		}
	}
	a.mu.Unlock()
	var err error
	switch {
	case over:
		l.mu.Unlock()
		return context.Canceled
	case why != "":
		l.tell(time.Now())
		l.mu.Unlock()
		err = &ErrUnready{why, back}
	default:
		err = l.await(ctx, seq, l.options.Load().Commit.Mode != commit.OS)
	}
	if err != nil && a.entry.unrecorded && ctx.Err() == nil {
		l.mu.Lock()
		l.miss()
		l.mu.Unlock()
		return nil
	}
	return err
}

var words = map[lbpolicy.Verdict]string{lbpolicy.OK: "ok", lbpolicy.Error: "error", lbpolicy.ServerFull: "full", lbpolicy.Timeout: "timeout",
	lbpolicy.ConnectFailed: "connect failed", lbpolicy.Reset: "reset", lbpolicy.Cancelled: "cancelled", lbpolicy.NotSent: "not sent",
	lbpolicy.Rejected: "rejected"}

// Ended records how the attempt has ended. Status is that of an answer, or 0. It does not wait.
func (a *Attempt) Ended(v lbpolicy.Verdict, status int) {
	l := a.entry.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.over {
		return
	}
	if a.over = true; a.intended {
		seq, _ := l.add(&segment.Record{Kind: segment.Outcome, At: l.at(), Request: a.entry.number, Attempt: a.number, Never: v.NeverRan(),
			Answer: status != 0, Verdict: words[v], Status: status}, v == lbpolicy.OK)
		if v == lbpolicy.OK {
			a.entry.mu.Lock()
			a.entry.answered = seq
			a.entry.mu.Unlock()
		}
	}
}

// Final records the request's one answer, before its first byte goes to the caller. What an endpoint has answered waits
// until the record of that is as safe as the mode asks for, within the patience; what was given up on never waits. The
// record of the final answer itself follows at once, and nobody waits for it: should the process die between the two, the
// ledger tells that the request ran and not whether its caller had the answer.
func (e *Entry) Final(ending segment.Ending, status int) {
	l := e.ledger
	e.mu.Lock()
	again, answered := e.ended, e.answered
	e.ended = true
	e.mu.Unlock()
	if again {
		return
	}
	l.mu.Lock()
	_, ok := l.add(&segment.Record{Kind: segment.Final, At: l.at(), Request: e.number, Ending: ending, Status: status}, true)
	if ending != segment.Served || answered == 0 {
		l.mu.Unlock()
		return
	}
	if why, _ := l.commit.Ready(time.Now()); ok && why == "" {
		if l.await(context.Background(), answered, l.options.Load().Commit.Mode == commit.Each) == nil {
			return
		}
		l.mu.Lock()
	}
	l.late++
	l.mu.Unlock()
}

// Recall returns what former processes have recorded of a key that may have run.
func (l *Ledger) Recall(now time.Time, id idempotency.KeyID) (k idempotency.Record, print idempotency.Fingerprint, ok bool) {
	if !l.recalls.Load() {
		return k, print, false
	}
	hidden := l.hideID(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if k, ok = l.recovered.Find(now, hidden); ok {
		k.ID, print = id, l.prints[hidden]
	}
	return k, print, ok
}

// Doubtful tells whether a key of which nothing is known may have run all the same, as records are lost.
func (l *Ledger) Doubtful(now time.Time) bool {
	return !l.doubt.IsZero() && now.Before(l.doubt) && !l.options.Load().Trusting
}

// View is what a running ledger tells of itself.
type View struct {
	Dir       string    `json:"dir"`
	Mode      string    `json:"mode"`
	Ready     bool      `json:"ready"`
	Why       string    `json:"why,omitempty"`
	Records   uint64    `json:"last_record"`
	Durable   uint64    `json:"durable_to"`
	Segments  int       `json:"segments"`
	Bytes     int64     `json:"bytes"`
	Requests  uint64    `json:"requests"`
	Missed    uint64    `json:"served_unrecorded"`
	Dropped   uint64    `json:"records_without_room"`
	Late      uint64    `json:"answers_before_their_record"`
	Errors    uint64    `json:"disk_errors"`
	Syncs     uint64    `json:"fsyncs"`
	Synced    uint64    `json:"records_in_fsyncs"`
	Recovered int       `json:"keys_recovered"`
	Doubt     time.Time `json:"doubt_until,omitzero"`
	Losses    int       `json:"losses_found"`
}

// Look tells how the ledger stands.
func (l *Ledger) Look() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.options.Load()
	why, _ := l.commit.Ready(time.Now())
	v := View{Dir: o.Dir, Mode: o.Commit.Mode.String(), Ready: why == "", Why: why, Records: l.commit.Next() - 1, Durable: l.commit.Durable(),
		Segments: len(l.files), Requests: l.requests, Missed: l.missing, Dropped: l.commit.Dropped(), Late: l.late, Errors: l.commit.Epoch(),
		Syncs: l.syncs, Synced: l.synced, Recovered: l.recovered.Len(), Losses: len(l.found.Losses)}
	for _, f := range l.files {
		v.Bytes += f.Bytes
	}
	if time.Now().Before(l.doubt) {
		v.Doubt = l.doubt
	}
	return v
}
