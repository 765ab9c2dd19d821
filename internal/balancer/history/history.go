// Package history remembers, for each key of a keyed request, where attempts with it may have run or are running now,
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
package history

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
	// ErrFull says that no more keys can be remembered now. Nothing was sent; the request can be refused.
	ErrFull = errors.New("history: too many keys")
	// ErrOther says that the key came before with another target or body.
	ErrOther = errors.New("history: the key belongs to another request")
	// ErrElsewhere says that the key may have run, or runs, where other endpoints drop its repeats.
	ErrElsewhere = errors.New("history: the key is held by another group of endpoints")
	// ErrLate says that endpoints may remember the key no longer.
	ErrLate = errors.New("history: the key's window is over")
)

// ID stands for a tenant's key. Two keys that meet in 128 bits of a cryptographic hash are not to be expected.
type ID [16]byte

// IDOf returns the ID of a tenant's key. It is the same in every process. The class is no part of it: a key names one
// request of its tenant, and a reload that gives the request's route another class must not free the key.
func IDOf(tenant, key string) ID { return ID(digest([]byte(tenant), []byte(key))) }

// Print stands for what a request says. The zero Print is that of a request that is not held to it.
type Print [16]byte

// PrintOf returns the Print of a request.
func PrintOf(method, target string, body []byte) Print {
	return Print(digest([]byte(method), []byte(target), body))
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
	Scope  lbpolicy.Scope
	Window time.Duration // for which endpoints drop repeats, from an attempt's send on
	Keep   time.Duration // for which the key is known after that, so that its repeats are not taken for new
}

// travel is the time that a repeat may take from the decision to the endpoint: it must come while the key is remembered.
func (t Terms) travel() time.Duration { return min(t.Window/8, time.Second) }

// Usable is for how long after an attempt's send a further one may be decided on.
func (t Terms) Usable() time.Duration { return t.Window - t.travel() }

// Past is what is known of a key's attempts.
type Past struct {
	Known bool // one may have run, or runs
	Place Place
	// Split tells that no group of the scope in question holds all places: nothing more can be sent.
	Split bool
	// Until is when the last attempt may be decided on: the earliest end of a window less the time of travel.
	Until time.Time
}

// Allows tells whether an attempt may go to a place.
func (p Past) Allows(to Place, scope lbpolicy.Scope) bool {
	if !p.Known {
		return true
	}
	return !p.Split && same(p.Place, to, scope)
}

// And returns what is known where two tell of one key.
func (p Past) And(o Past, scope lbpolicy.Scope) Past {
	switch {
	case !o.Known:
		return p
	case !p.Known:
		return o
	}
	p.Split = p.Split || o.Split || !same(p.Place, o.Place, scope)
	if o.Until.Before(p.Until) {
		p.Until = o.Until
	}
	return p
}

// same tells whether two places are in one group.
func same(a, b Place, scope lbpolicy.Scope) bool {
	return a.Cluster == b.Cluster && (scope == lbpolicy.ScopeAll || a.Zone == b.Zone) &&
		(scope != lbpolicy.ScopeCell || a.Cell == b.Cell)
}

// Table is safe for concurrent use.
type Table struct {
	max int

	mu   sync.Mutex
	keys map[ID]*entry
	due  due.Queue[*entry] // what is to be forgotten
}

type entry struct {
	id    ID
	print Print
	open  int    // requests in work
	out   []*Try // attempts out
	ran   span   // attempts that have ended and may have run
	due   bool   // stands in the queue of what is to be forgotten
}

// span sums up attempts.
type span struct {
	any          bool
	place        Place
	zones, cells bool // they lie in several
	until        time.Time
	expire       time.Time
}

func (s *span) add(t *Try) {
	s.join(span{any: true, place: t.place, until: t.sent.Add(t.terms.Usable()),
		expire: t.sent.Add(t.terms.Window + t.terms.Keep)})
}

func (s *span) join(o span) {
	if !s.any {
		*s = o
		return
	}
	s.zones = s.zones || o.zones || s.place.Zone != o.place.Zone
	s.cells = s.cells || o.cells || s.place.Cell != o.place.Cell
	if o.until.Before(s.until) {
		s.until = o.until
	}
	if o.expire.After(s.expire) {
		s.expire = o.expire
	}
}

// New returns a table of at most max keys, of some 200 bytes each.
func New(max int) *Table { return &Table{max: max, keys: map[ID]*entry{}} }

// Resize changes the bound. What is remembered stays.
func (t *Table) Resize(max int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.max = max
}

// Request is one request's hold on its key. It must be ended.
type Request struct {
	table *Table
	entry *entry
	// Repeat tells that another request with the key was in work as this one came.
	Repeat bool
	out    int  // its attempts that are out
	ran    bool // one of its attempts may have run
}

// Begin takes hold of a key for a request.
func (t *Table) Begin(now time.Time, id ID, print Print) (*Request, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now, 2) // for each key that comes two may go
	e := t.keys[id]
	if e != nil && e.over(now) {
		t.drop(e)
		e = nil
	}
	if e == nil {
		if len(t.keys) >= t.max {
			t.forget(now, t.due.Len())
		}
		if len(t.keys) >= t.max {
			return nil, ErrFull
		}
		e = &entry{id: id, print: print}
		t.keys[id] = e
	}
	switch {
	case e.print == Print{}:
		e.print = print
	case print != Print{} && print != e.print:
		return nil, ErrOther
	}
	e.open++
	return &Request{table: t, entry: e, Repeat: e.open > 1 || len(e.out) > 0}, nil
}

// Past returns what is known of a key, for a request that takes no hold of it.
func (t *Table) Past(now time.Time, id ID, scope lbpolicy.Scope) Past {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.keys[id]
	if e == nil || e.over(now) {
		return Past{}
	}
	return e.past(scope, nil)
}

// Key is what is remembered of one key.
type Key struct {
	ID     ID
	Past   Past      // under the scope of all
	Zones  bool      // attempts have been in several zones,
	Cells  bool      // in several cells
	Expire time.Time // when it is forgotten; with attempts out the earliest time for that
	InWork int       // requests
	Out    int       // attempts
}

// Key returns what is remembered of a key that an attempt may have run with; ok is false where that is nothing.
func (t *Table) Key(now time.Time, id ID) (k Key, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.keys[id]
	if e == nil || e.over(now) {
		return Key{}, false
	}
	k = e.key(id)
	return k, k.Past.Known
}

func (e *entry) key(id ID) Key {
	s := e.span(nil)
	return Key{ID: id, Past: e.past(lbpolicy.ScopeAll, nil), Zones: s.zones, Cells: s.cells, Expire: s.expire, InWork: e.open, Out: len(e.out)}
}

// Each tells of every key that something may have run with, or that is in work, until f returns false.
func (t *Table) Each(now time.Time, f func(Key) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.keys {
		if e.over(now) && e.ran.any {
			continue
		}
		if !f(e.key(id)) {
			return
		}
	}
}

// Learn takes what another table has told of a key: attempts that this one has not seen may have run.
func (t *Table) Learn(now time.Time, k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !k.Past.Known || !now.Before(k.Expire) {
		return
	}
	e := t.keys[k.ID]
	if e == nil { // the bound is not held to: the other table's holds, and what is not known could run twice
		e = &entry{id: k.ID}
		t.keys[k.ID] = e
	}
	e.ran.join(span{any: true, place: k.Past.Place, zones: k.Zones, cells: k.Cells, until: k.Past.Until, expire: k.Expire})
	t.settle(e)
}

// Len returns the number of keys remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.keys)
}

// span sums up all attempts but one.
func (e *entry) span(but *Try) span {
	s := e.ran
	for _, t := range e.out {
		if t != but {
			s.add(t)
		}
	}
	return s
}

func (e *entry) past(scope lbpolicy.Scope, but *Try) Past {
	s := e.span(but)
	return Past{Known: s.any, Place: s.place, Until: s.until,
		Split: scope != lbpolicy.ScopeAll && s.zones || scope == lbpolicy.ScopeCell && s.cells}
}

// Past returns what is known of the request's key.
func (r *Request) Past(scope lbpolicy.Scope) Past {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.entry.past(scope, nil)
}

// MayHaveRun tells whether an attempt of this request may have run, or runs.
func (r *Request) MayHaveRun() bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.ran || r.out > 0
}

// Try is one attempt. It must be ended, which may be after its request has.
type Try struct {
	table *Table
	entry *entry
	of    *Request
	place Place
	terms Terms
	sent  time.Time
}

// Send binds the key to a place for an attempt that has been decided on. The error tells that it must not go out.
func (r *Request) Send(now time.Time, to Place, terms Terms) (*Try, error) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	p := r.entry.past(terms.Scope, nil)
	switch {
	case !p.Allows(to, terms.Scope):
		return nil, ErrElsewhere
	case p.Known && !now.Before(p.Until):
		return nil, ErrLate
	}
	t := &Try{r.table, r.entry, r, to, terms, now}
	r.out++
	r.entry.out = append(r.entry.out, t)
	return t, nil
}

// Starts is asked just before the attempt's first byte, with the place as it is then. It is false where the attempt must
// not go out any more: its window has ended meanwhile, or the endpoint has moved out of the group.
func (t *Try) Starts(now time.Time, at Place) bool {
	t.table.mu.Lock()
	defer t.table.mu.Unlock()
	p := t.entry.past(t.terms.Scope, t)
	return same(t.place, at, t.terms.Scope) && p.Allows(at, t.terms.Scope) && (!p.Known || now.Before(p.Until))
}

// Others returns what is known of the key's other attempts.
func (t *Try) Others() Past {
	t.table.mu.Lock()
	defer t.table.mu.Unlock()
	return t.entry.past(t.terms.Scope, t)
}

// End ends an attempt. NeverRan is proof that it was not executed, and never will be.
func (t *Try) End(now time.Time, neverRan bool) {
	t.table.mu.Lock()
	defer t.table.mu.Unlock()
	e := t.entry
	for i, o := range e.out {
		if o == t {
			e.out = append(e.out[:i], e.out[i+1:]...)
			t.of.out--
			if !neverRan {
				t.of.ran = true
				e.ran.add(t)
			}
			break
		}
	}
	t.table.settle(e)
}

// End ends the hold.
func (r *Request) End() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.entry.open--
	r.table.settle(r.entry)
}

// settle forgets a key with which nothing was done, and has what may have run forgotten in its time.
func (t *Table) settle(e *entry) {
	switch {
	case e.open > 0 || len(e.out) > 0:
	case !e.ran.any:
		t.drop(e)
	case !e.due:
		e.due = true
		t.due.Push(e.ran.expire, e)
	}
}

// over tells that nothing of a key is of importance any more.
func (e *entry) over(now time.Time) bool {
	return e.open == 0 && len(e.out) == 0 && !now.Before(e.ran.expire)
}

func (t *Table) drop(e *entry) {
	if t.keys[e.id] == e {
		delete(t.keys, e.id)
	}
}

// Forget drops all keys whose time has come.
func (t *Table) Forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now, t.due.Len())
}

// forget drops keys whose time has come, at most as many as told.
func (t *Table) forget(now time.Time, most int) {
	for range most {
		e, ok := t.due.Pop(now)
		if !ok {
			return
		}
		e.due = false
		if e.over(now) {
			t.drop(e)
		} else { // it was used again: its time is another one, or comes when it ends
			t.settle(e)
		}
	}
}
