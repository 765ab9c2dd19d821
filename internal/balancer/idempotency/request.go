package idempotency

import (
	"slices"
	"time"

	"silvertrail/lbpolicy"
)

// Request is one request with a key. The caller must call End.
type Request struct {
	table *Table
	entry *entry
	// InProgress reports whether another request with the key was in progress when this one began.
	InProgress bool
	inFlight   int  // number of attempts in flight
	mayHaveRun bool // an ended attempt may have run
}

// KeyState returns the state of the request's key.
func (r *Request) KeyState(scope lbpolicy.Scope) KeyState {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.entry.keyState(scope, nil)
}

// MayHaveRun reports whether an attempt of this request may have run, or is running.
func (r *Request) MayHaveRun() bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.mayHaveRun || r.inFlight > 0
}

// Reserve reserves the key for an attempt that has been decided on. If it returns an error, the attempt must not be sent.
func (r *Request) Reserve(now time.Time, to Place, terms Terms) (*Attempt, error) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	state := r.entry.keyState(terms.Scope, nil)
	switch {
	case !state.Allows(to, terms.Scope):
		return nil, ErrHeldElsewhere
	case state.Known && !now.Before(state.RetryUntil):
		return nil, ErrWindowOver
	}
	a := &Attempt{table: r.table, entry: r.entry, request: r, place: to, terms: terms, sentAt: now}
	r.inFlight++
	r.entry.inFlight = append(r.entry.inFlight, a)
	return a, nil
}

// End marks the end of the request. Its attempts may still be in flight.
func (r *Request) End() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.entry.requests--
	r.table.updateExpiry(r.entry)
}

// Attempt is one attempt with a key. The caller must call End, which may be after the end of the request.
type Attempt struct {
	table   *Table
	entry   *entry
	request *Request
	place   Place
	terms   Terms
	sentAt  time.Time
}

// MayStart reports whether the attempt may still be sent. It is called just before the first byte is sent, with the place to which the
// endpoint belongs at that time. It is false if the retry window has ended meanwhile, or the endpoint has moved out of the group.
func (a *Attempt) MayStart(now time.Time, at Place) bool {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	state := a.entry.keyState(a.terms.Scope, a)
	if !sameGroup(a.place, at, a.terms.Scope) || !state.Allows(at, a.terms.Scope) {
		return false
	}
	return !state.Known || now.Before(state.RetryUntil)
}

// OtherAttemptsState returns the state of the key without this attempt.
func (a *Attempt) OtherAttemptsState() KeyState {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	return a.entry.keyState(a.terms.Scope, a)
}

// End marks the end of the attempt. Set neverRan only if it is certain that the attempt was not executed and never will be. A second
// call has no effect.
func (a *Attempt) End(now time.Time, neverRan bool) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	e := a.entry
	if i := slices.Index(e.inFlight, a); i >= 0 {
		e.inFlight = slices.Delete(e.inFlight, i, i+1)
		a.request.inFlight--
		if !neverRan {
			a.request.mayHaveRun = true
			e.ended.add(a)
		}
	}
	a.table.updateExpiry(e)
}
