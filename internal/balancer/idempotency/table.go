// Package idempotency remembers, for each key of a keyed request, where attempts with it may have run or are running now,
// since when, and for how long the endpoints there drop a repeat. By it every further attempt with the key is kept
// inside the group of endpoints that drops repeats, and stops when they no longer remember. It does no I/O and has no
// clock: it is told the time with each call.
//
// It is told of attempts and not of requests alone: callers give up and repeat while the first try still runs, so that
// a key is bound from the decision to send on, and is free again only where every attempt is known never to have run.
//
// It records places (cluster, zone, cell) and knows nothing of what a class's scope is today: the scope is told with each
// question. So a reload that changes scopes, or moves an endpoint to another zone, changes nothing of what is known.
//
// The table knows what this process has sent. Other processes share nothing with it, and a restart forgets, but for what
// it is told by Learn.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"sync"
	"time"

	"silvertrail/internal/base/due"
	"silvertrail/lbpolicy"
)

var (
	// ErrTooManyKeys says that no more keys can be remembered now. Nothing was sent; the request can be refused.
	ErrTooManyKeys = errors.New("history: too many keys")
	// ErrKeyReused says that the key came before with another target or body.
	ErrKeyReused = errors.New("history: the key belongs to another request")
	// ErrHeldElsewhere says that the key may have run, or runs, where other endpoints drop its repeats.
	ErrHeldElsewhere = errors.New("history: the key is held by another group of endpoints")
	// ErrWindowOver says that endpoints may remember the key no longer.
	ErrWindowOver = errors.New("history: the key's window is over")
)

// KeyID stands for a tenant's key. Two keys that meet in 128 bits of a cryptographic hash are not to be expected.
type KeyID [16]byte

// KeyIDOf returns the ID of a tenant's key. It is the same in every process. The class is no part of it: a key names one
// request of its tenant, and a reload that gives the request's route another class must not free the key.
func KeyIDOf(tenant, key string) KeyID { return KeyID(digest([]byte(tenant), []byte(key))) }

// Fingerprint stands for what a request says. The zero Print is that of a request that is not held to it.
type Fingerprint [16]byte

// FingerprintOf returns the Print of a request.
func FingerprintOf(method, target string, body []byte) Fingerprint {
	return Fingerprint(digest([]byte(method), []byte(target), body))
}

// digest hashes parts, each with its length before it.
func digest(parts ...[]byte) (out [16]byte) {
	var space [256]byte
	text := space[:0]
	for _, p := range parts {
		text = binary.AppendUvarint(text, uint64(len(p)))
		text = append(text, p...)
	}
	sum := sha256.Sum256(text)
	copy(out[:], sum[:])
	return out
}

// Place is where an attempt went.
type Place struct {
	Cluster string `codec:"Cluster"`
	Zone    string `codec:"Zone"`
	Cell    int    `codec:"Cell"`
}

// Terms are what a class promises of its keys when an attempt is sent.
type Terms struct {
	Scope     lbpolicy.Scope
	Window    time.Duration // for which endpoints drop repeats, from an attempt's send on
	Retention time.Duration // for which the key is known after that, so that its repeats are not taken for new
}

// transitTime is the time that a repeat may take from the decision to the endpoint: it must come while the key is remembered.
func (t Terms) transitTime() time.Duration { return min(t.Window/8, time.Second) }

// RetryWindow is for how long after an attempt's send a further one may be decided on.
func (t Terms) RetryWindow() time.Duration { return t.Window - t.transitTime() }

// KeyState is what is known of a key's attempts.
type KeyState struct {
	Known bool // one may have run, or runs
	Place Place
	// SeveralGroups tells that no group of the scope in question holds all places: nothing more can be sent.
	SeveralGroups bool
	// RetryUntil is when the last attempt may be decided on: the earliest end of a window less the time of travel.
	RetryUntil time.Time
}

// Allows tells whether an attempt may go to a place.
func (p KeyState) Allows(to Place, scope lbpolicy.Scope) bool {
	if !p.Known {
		return true
	}
	return !p.SeveralGroups && sameGroup(p.Place, to, scope)
}

// Merge returns what is known where two tell of one key.
func (p KeyState) Merge(o KeyState, scope lbpolicy.Scope) KeyState {
	switch {
	case !o.Known:
		return p
	case !p.Known:
		return o
	}
	p.SeveralGroups = p.SeveralGroups || o.SeveralGroups || !sameGroup(p.Place, o.Place, scope)
	if o.RetryUntil.Before(p.RetryUntil) {
		p.RetryUntil = o.RetryUntil
	}
	return p
}

// sameGroup tells whether two places are in one group.
func sameGroup(a, b Place, scope lbpolicy.Scope) bool {
	return a.Cluster == b.Cluster && (scope == lbpolicy.ScopeAll || a.Zone == b.Zone) &&
		(scope != lbpolicy.ScopeCell || a.Cell == b.Cell)
}

// Table is safe for concurrent use.
type Table struct {
	maxKeys int

	mu     sync.Mutex
	keys   map[KeyID]*entry
	expiry due.Queue[*entry] // what is to be forgotten
}

type entry struct {
	id           KeyID
	fingerprint  Fingerprint
	requests     int        // requests in work
	inFlight     []*Attempt // attempts out
	ended        summary    // attempts that have ended and may have run
	expiryQueued bool       // stands in the queue of what is to be forgotten
}

// summary sums up attempts.
type summary struct {
	mayHaveRun                 bool
	place                      Place
	severalZones, severalCells bool // they lie in several
	retryUntil                 time.Time
	expiresAt                  time.Time
}

func (s *summary) add(t *Attempt) {
	s.merge(summary{mayHaveRun: true, place: t.place, retryUntil: t.sentAt.Add(t.terms.RetryWindow()),
		expiresAt: t.sentAt.Add(t.terms.Window + t.terms.Retention)})
}

func (s *summary) merge(o summary) {
	if !s.mayHaveRun {
		*s = o
		return
	}
	s.severalZones = s.severalZones || o.severalZones || s.place.Zone != o.place.Zone
	s.severalCells = s.severalCells || o.severalCells || s.place.Cell != o.place.Cell
	if o.retryUntil.Before(s.retryUntil) {
		s.retryUntil = o.retryUntil
	}
	if o.expiresAt.After(s.expiresAt) {
		s.expiresAt = o.expiresAt
	}
}

// New returns a table of at most max keys, of some 200 bytes each.
func New(max int) *Table { return &Table{maxKeys: max, keys: map[KeyID]*entry{}} }

// Resize changes the bound. What is remembered stays.
func (t *Table) Resize(max int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxKeys = max
}

// Request is one request's hold on its key. It must be ended.
type Request struct {
	table *Table
	entry *entry
	// InProgress tells that another request with the key was in work as this one came.
	InProgress bool
	inFlight   int  // its attempts that are out
	mayHaveRun bool // one of its attempts may have run
}

// Begin takes hold of a key for a request.
func (t *Table) Begin(now time.Time, id KeyID, print Fingerprint) (*Request, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now, 2) // for each key that comes two may go
	e := t.keys[id]
	if e != nil && e.isExpired(now) {
		t.remove(e)
		e = nil
	}
	if e == nil {
		if len(t.keys) >= t.maxKeys {
			t.expire(now, t.expiry.Len())
		}
		if len(t.keys) >= t.maxKeys {
			return nil, ErrTooManyKeys
		}
		e = &entry{id: id, fingerprint: print}
		t.keys[id] = e
	}
	switch {
	case e.fingerprint == Fingerprint{}:
		e.fingerprint = print
	case print != Fingerprint{} && print != e.fingerprint:
		return nil, ErrKeyReused
	}
	e.requests++
	return &Request{table: t, entry: e, InProgress: e.requests > 1 || len(e.inFlight) > 0}, nil
}

// KeyState returns what is known of a key, for a request that takes no hold of it.
func (t *Table) KeyState(now time.Time, id KeyID, scope lbpolicy.Scope) KeyState {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.keys[id]
	if e == nil || e.isExpired(now) {
		return KeyState{}
	}
	return e.keyState(scope, nil)
}

// Record is what is remembered of one key.
type Record struct {
	ID           KeyID
	KeyState     KeyState  // under the scope of all
	SeveralZones bool      // attempts have been in several zones,
	SeveralCells bool      // in several cells
	ExpiresAt    time.Time // when it is forgotten; with attempts out the earliest time for that
	Requests     int       // requests
	InFlight     int       // attempts
}

// Find returns what is remembered of a key that an attempt may have run with; ok is false where that is nothing.
func (t *Table) Find(now time.Time, id KeyID) (k Record, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.keys[id]
	if e == nil || e.isExpired(now) {
		return Record{}, false
	}
	k = e.record(id)
	return k, k.KeyState.Known
}

func (e *entry) record(id KeyID) Record {
	s := e.summarize(nil)
	return Record{ID: id, KeyState: e.keyState(lbpolicy.ScopeAll, nil), SeveralZones: s.severalZones, SeveralCells: s.severalCells, ExpiresAt: s.expiresAt, Requests: e.requests, InFlight: len(e.inFlight)}
}

// Each tells of every key that something may have run with, or that is in work, until f returns false.
func (t *Table) Each(now time.Time, f func(Record) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.keys {
		if e.isExpired(now) && e.ended.mayHaveRun {
			continue
		}
		if !f(e.record(id)) {
			return
		}
	}
}

// Merge takes what another table has told of a key: attempts that this one has not seen may have run.
func (t *Table) Merge(now time.Time, k Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !k.KeyState.Known || !now.Before(k.ExpiresAt) {
		return
	}
	e := t.keys[k.ID]
	if e == nil { // the bound is not held to: the other table's holds, and what is not known could run twice
		e = &entry{id: k.ID}
		t.keys[k.ID] = e
	}
	e.ended.merge(summary{mayHaveRun: true, place: k.KeyState.Place, severalZones: k.SeveralZones, severalCells: k.SeveralCells, retryUntil: k.KeyState.RetryUntil, expiresAt: k.ExpiresAt})
	t.updateExpiry(e)
}

// Len returns the number of keys remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.keys)
}

// summarize sums up all attempts but one.
func (e *entry) summarize(but *Attempt) summary {
	s := e.ended
	for _, t := range e.inFlight {
		if t != but {
			s.add(t)
		}
	}
	return s
}

func (e *entry) keyState(scope lbpolicy.Scope, but *Attempt) KeyState {
	s := e.summarize(but)
	return KeyState{Known: s.mayHaveRun, Place: s.place, RetryUntil: s.retryUntil,
		SeveralGroups: scope != lbpolicy.ScopeAll && s.severalZones || scope == lbpolicy.ScopeCell && s.severalCells}
}

// KeyState returns what is known of the request's key.
func (r *Request) KeyState(scope lbpolicy.Scope) KeyState {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.entry.keyState(scope, nil)
}

// MayHaveRun tells whether an attempt of this request may have run, or runs.
func (r *Request) MayHaveRun() bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.mayHaveRun || r.inFlight > 0
}

// Attempt is one attempt. It must be ended, which may be after its request has.
type Attempt struct {
	table   *Table
	entry   *entry
	request *Request
	place   Place
	terms   Terms
	sentAt  time.Time
}

// Send binds the key to a place for an attempt that has been decided on. The error tells that it must not go out.
func (r *Request) Send(now time.Time, to Place, terms Terms) (*Attempt, error) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	p := r.entry.keyState(terms.Scope, nil)
	switch {
	case !p.Allows(to, terms.Scope):
		return nil, ErrHeldElsewhere
	case p.Known && !now.Before(p.RetryUntil):
		return nil, ErrWindowOver
	}
	t := &Attempt{r.table, r.entry, r, to, terms, now}
	r.inFlight++
	r.entry.inFlight = append(r.entry.inFlight, t)
	return t, nil
}

// MayStart is asked just before the attempt's first byte, with the place as it is then. It is false where the attempt must
// not go out any more: its window has ended meanwhile, or the endpoint has moved out of the group.
func (t *Attempt) MayStart(now time.Time, at Place) bool {
	t.table.mu.Lock()
	defer t.table.mu.Unlock()
	p := t.entry.keyState(t.terms.Scope, t)
	return sameGroup(t.place, at, t.terms.Scope) && p.Allows(at, t.terms.Scope) && (!p.Known || now.Before(p.RetryUntil))
}

// OtherAttempts returns what is known of the key's other attempts.
func (t *Attempt) OtherAttempts() KeyState {
	t.table.mu.Lock()
	defer t.table.mu.Unlock()
	return t.entry.keyState(t.terms.Scope, t)
}

// End ends an attempt. NeverRan is proof that it was not executed, and never will be.
func (t *Attempt) End(now time.Time, neverRan bool) {
	t.table.mu.Lock()
	defer t.table.mu.Unlock()
	e := t.entry
	for i, o := range e.inFlight {
		if o == t {
			e.inFlight = append(e.inFlight[:i], e.inFlight[i+1:]...)
			t.request.inFlight--
			if !neverRan {
				t.request.mayHaveRun = true
				e.ended.add(t)
			}
			break
		}
	}
	t.table.updateExpiry(e)
}

// End ends the hold.
func (r *Request) End() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.entry.requests--
	r.table.updateExpiry(r.entry)
}

// updateExpiry forgets a key with which nothing was done, and has what may have run forgotten in its time.
func (t *Table) updateExpiry(e *entry) {
	switch {
	case e.requests > 0 || len(e.inFlight) > 0:
	case !e.ended.mayHaveRun:
		t.remove(e)
	case !e.expiryQueued:
		e.expiryQueued = true
		t.expiry.Push(e.ended.expiresAt, e)
	}
}

// isExpired tells that nothing of a key is of importance any more.
func (e *entry) isExpired(now time.Time) bool {
	return e.requests == 0 && len(e.inFlight) == 0 && !now.Before(e.ended.expiresAt)
}

func (t *Table) remove(e *entry) {
	if t.keys[e.id] == e {
		delete(t.keys, e.id)
	}
}

// Expire drops all keys whose time has come.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now, t.expiry.Len())
}

// expire drops keys whose time has come, at most as many as told.
func (t *Table) expire(now time.Time, most int) {
	for range most {
		e, ok := t.expiry.Pop(now)
		if !ok {
			return
		}
		e.expiryQueued = false
		if e.isExpired(now) {
			t.remove(e)
		} else { // it was used again: its time is another one, or comes when it ends
			t.updateExpiry(e)
		}
	}
}
