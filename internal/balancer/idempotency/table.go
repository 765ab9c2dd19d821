package idempotency

import (
	"hash/maphash"
	"sync"
	"time"

	"silvertrail/internal/base/timerqueue"
	"silvertrail/lbpolicy"
)

// Table stores the state of keys. It is safe for concurrent use.
type Table struct {
	maxKeys int

	mu     sync.Mutex // guards the fields below, and all requests and attempts of the table
	keys   map[KeyID]*entry
	owned  map[Owner]int // number of keys by their owner, without NoOwner
	expiry timerqueue.Queue[*entry]
}

// entry is the state of one key.
type entry struct {
	id           KeyID
	owner        Owner
	fingerprint  Fingerprint
	requests     int        // number of requests in progress
	inFlight     []*Attempt // attempts in flight
	ended        summary    // of the attempts that have ended and may have run
	expiryQueued bool
}

// summary combines attempts that may have run.
type summary struct {
	mayHaveRun   bool // there is at least one attempt
	place        Place
	severalZones bool
	severalCells bool
	retryUntil   time.Time
	expiresAt    time.Time
}

func (s *summary) add(a *Attempt) {
	s.merge(summary{
		mayHaveRun: true,
		place:      a.place,
		retryUntil: a.sentAt.Add(a.terms.RetryWindow()),
		expiresAt:  a.sentAt.Add(a.terms.Window + a.terms.Retention),
	})
}

func (s *summary) merge(other summary) {
	if !s.mayHaveRun {
		*s = other
		return
	}
	s.severalZones = s.severalZones || other.severalZones || s.place.Zone != other.place.Zone
	s.severalCells = s.severalCells || other.severalCells || s.place.Cell != other.place.Cell
	if other.retryUntil.Before(s.retryUntil) {
		s.retryUntil = other.retryUntil
	}
	if other.expiresAt.After(s.expiresAt) {
		s.expiresAt = other.expiresAt
	}
}

func (s *summary) keyState(scope lbpolicy.Scope) KeyState {
	return KeyState{
		Known:         s.mayHaveRun,
		Place:         s.place,
		SeveralGroups: scope != lbpolicy.ScopeAll && s.severalZones || scope == lbpolicy.ScopeCell && s.severalCells,
		RetryUntil:    s.retryUntil,
	}
}

// New returns a table of at most maxKeys keys, which take about 200 bytes each.
func New(maxKeys int) *Table {
	return &Table{maxKeys: maxKeys, keys: map[KeyID]*entry{}, owned: map[Owner]int{}}
}

// Resize changes the maximum number of keys. Keys that are stored already stay.
func (t *Table) Resize(maxKeys int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxKeys = maxKeys
}

// expiredPerRequest is the number of expired keys that each new request removes at most.
const expiredPerRequest = 2

// Owner identifies the client connection that brought a key first.
type Owner uint64

// NoOwner is the owner of keys that count for no connection.
const NoOwner Owner = 0

var ownerSeed = maphash.MakeSeed()

// OwnerOf returns the owner for the address of a client's connection.
func OwnerOf(remoteAddress string) Owner { return Owner(maphash.String(ownerSeed, remoteAddress) | 1) }

// ownerDivider divides the maximum number of keys: while more than that are stored, one owner may have so many, so that a connection with
// ever new keys leaves room for others.
const ownerDivider = 2

// Begin adds a request with a key, for no owner. It fails with ErrTooManyKeys or ErrKeyReused.
func (t *Table) Begin(now time.Time, id KeyID, fingerprint Fingerprint) (*Request, error) {
	return t.BeginOwned(now, id, fingerprint, NoOwner)
}

// BeginOwned adds a request with a key that its owner brings. It fails with ErrTooManyKeys, also where the owner has too many, or with
// ErrKeyReused.
func (t *Table) BeginOwned(now time.Time, id KeyID, fingerprint Fingerprint, owner Owner) (*Request, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now, expiredPerRequest)
	e := t.keys[id]
	if e != nil && e.isExpired(now) {
		t.remove(e)
		e = nil
	}
	if e == nil {
		if !t.hasRoom(now, owner) {
			return nil, ErrTooManyKeys
		}
		e = &entry{id: id, owner: owner, fingerprint: fingerprint}
		t.keys[id] = e
		if owner != NoOwner {
			t.owned[owner]++
		}
	}
	if e.fingerprint == (Fingerprint{}) {
		e.fingerprint = fingerprint
	}
	if fingerprint != (Fingerprint{}) && fingerprint != e.fingerprint {
		return nil, ErrKeyReused
	}
	e.requests++
	return &Request{table: t, entry: e, InProgress: e.requests > 1 || len(e.inFlight) > 0}, nil
}

// hasRoom reports whether another key of an owner can be stored. If there is none, it first removes all expired keys.
func (t *Table) hasRoom(now time.Time, owner Owner) bool {
	if !t.fits(owner) {
		t.expire(now, t.expiry.Len())
	}
	return t.fits(owner)
}

func (t *Table) fits(owner Owner) bool {
	share := max(t.maxKeys/ownerDivider, 1)
	return len(t.keys) < t.maxKeys && (len(t.keys) < share || t.owned[owner] < share)
}

// KeyState returns the state of a key. It needs no request with the key.
func (t *Table) KeyState(now time.Time, id KeyID, scope lbpolicy.Scope) KeyState {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.keys[id]
	if e == nil || e.isExpired(now) {
		return KeyState{}
	}
	return e.keyState(scope, nil)
}

// Record is the complete state of one key.
type Record struct {
	ID           KeyID
	KeyState     KeyState  // with lbpolicy.ScopeAll
	SeveralZones bool      // attempts were sent to several zones
	SeveralCells bool      // attempts were sent to several cells
	ExpiresAt    time.Time // the earliest time, while attempts are in flight
	Requests     int       // number of requests in progress
	InFlight     int       // number of attempts in flight
}

// Find returns the record of a key. It is false if no attempt with the key may have run.
func (t *Table) Find(now time.Time, id KeyID) (record Record, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.keys[id]
	if e == nil || e.isExpired(now) {
		return Record{}, false
	}
	record = e.record(id)
	return record, record.KeyState.Known
}

func (e *entry) record(id KeyID) Record {
	s := e.summarize(nil)
	return Record{
		ID:           id,
		KeyState:     s.keyState(lbpolicy.ScopeAll),
		SeveralZones: s.severalZones,
		SeveralCells: s.severalCells,
		ExpiresAt:    s.expiresAt,
		Requests:     e.requests,
		InFlight:     len(e.inFlight),
	}
}

// Each calls f with the record of every key for which an attempt may have run or a request is in progress. It stops when f returns
// false.
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

// Merge adds the record of a key from another table: attempts that this table has not seen may have run. The maximum number of keys does
// not apply here. The other table has one, and a request with a key that is not stored could run twice.
func (t *Table) Merge(now time.Time, record Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !record.KeyState.Known || !now.Before(record.ExpiresAt) {
		return
	}
	e := t.keys[record.ID]
	if e == nil {
		e = &entry{id: record.ID}
		t.keys[record.ID] = e
	}
	e.ended.merge(summary{
		mayHaveRun:   true,
		place:        record.KeyState.Place,
		severalZones: record.SeveralZones,
		severalCells: record.SeveralCells,
		retryUntil:   record.KeyState.RetryUntil,
		expiresAt:    record.ExpiresAt,
	})
	t.updateExpiry(e)
}

// Len returns the number of stored keys.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.keys)
}

// summarize combines all attempts except one, which may be nil.
func (e *entry) summarize(except *Attempt) summary {
	s := e.ended
	for _, a := range e.inFlight {
		if a != except {
			s.add(a)
		}
	}
	return s
}

// keyState returns the state of the key that results from all attempts except one, which may be nil.
func (e *entry) keyState(scope lbpolicy.Scope, except *Attempt) KeyState {
	s := e.summarize(except)
	return s.keyState(scope)
}

// updateExpiry is called when a request or an attempt has ended. Unless others are still in progress, it removes a key with which no
// attempt may have run, and queues any other key for its expiry.
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

// isExpired reports whether a key has no request in progress, no attempt in flight, and has passed its expiry time.
func (e *entry) isExpired(now time.Time) bool {
	return e.requests == 0 && len(e.inFlight) == 0 && !now.Before(e.ended.expiresAt)
}

func (t *Table) remove(e *entry) {
	if t.keys[e.id] != e {
		return
	}
	delete(t.keys, e.id)
	if e.owner == NoOwner {
		return
	}
	if t.owned[e.owner]--; t.owned[e.owner] == 0 {
		delete(t.owned, e.owner)
	}
}

// Expire removes all expired keys.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now, t.expiry.Len())
}

// expire examines at most limit keys whose queued expiry time has passed, and removes those that have expired.
func (t *Table) expire(now time.Time, limit int) {
	for range limit {
		e, ok := t.expiry.Pop(now)
		if !ok {
			return
		}
		e.expiryQueued = false
		if e.isExpired(now) {
			t.remove(e)
		} else { // the key was used again meanwhile, and expires later
			t.updateExpiry(e)
		}
	}
}
