// Package idempotency remembers, for each idempotency key, where attempts with it may have run or are running, since when,
// and for how long the endpoints there drop a repeat. Every further attempt with the key is kept inside the group of
// endpoints that drops repeats, and no further one is made once they may have forgotten the key.
//
// The package does no I/O and reads no clock: the time is an argument of each call. A Table is shared by all requests of
// a process and serialises its calls with one mutex.
//
// The table records attempts, not only requests: clients give up and retry while the first attempt still runs. So a key
// is reserved from the decision to send on, and is free again only if every attempt is known never to have run.
//
// It records places (cluster, zone, cell) independently of the scope of a class: the scope is an argument of each
// question. So a reload that changes scopes, or moves an endpoint to another zone, changes nothing of what is known.
//
// The table knows what this process has sent. It knows of other processes, and of the time before a restart, only what
// Merge is told.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"time"

	"silvertrail/lbpolicy"
)

var (
	// ErrTooManyKeys means that no more keys can be remembered now. Nothing was sent; the request can be rejected.
	ErrTooManyKeys = errors.New("idempotency: too many keys")
	// ErrKeyReused means that the key was used before with another target or body.
	ErrKeyReused = errors.New("idempotency: the key belongs to another request")
	// ErrHeldElsewhere means that the key may have run, or is running, where other endpoints drop its repeats.
	ErrHeldElsewhere = errors.New("idempotency: the key is held by another group of endpoints")
	// ErrWindowOver means that endpoints may have forgotten the key.
	ErrWindowOver = errors.New("idempotency: the key's window is over")
)

// KeyID identifies a tenant's key. It is a 128-bit cryptographic hash: collisions are not to be expected.
type KeyID [16]byte

// KeyIDOf returns the ID of a tenant's key. It is the same in every process. The class is no part of it: a key identifies
// one request of its tenant, and a reload that gives the request's route another class must not free the key.
func KeyIDOf(tenant, key string) KeyID { return KeyID(digest([]byte(tenant), []byte(key))) }

// Fingerprint identifies the content of a request. The zero Fingerprint matches any request.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
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

// Terms are what a class guarantees for its keys when an attempt is sent.
type Terms struct {
	Scope     lbpolicy.Scope
	Window    time.Duration // for which endpoints drop repeats, from the sending of an attempt on
	Retention time.Duration // for which the key is known after the window, so that repeats are not taken for new requests
}

const (
	transitDivider = 8 // of the window
	maxTransitTime = time.Second
)

// transitTime returns how long a repeat may take from the decision to the endpoint, where it must arrive within the window.
func (t Terms) transitTime() time.Duration { return min(t.Window/transitDivider, maxTransitTime) }

// RetryWindow returns how long after the sending of an attempt a further one may be decided on.
func (t Terms) RetryWindow() time.Duration { return t.Window - t.transitTime() }

// KeyState is what is known of the attempts with a key.
type KeyState struct {
	Known bool // an attempt may have run, or is running
	Place Place
	// SeveralGroups means that no group of the scope in question holds all places: no further attempt is possible.
	SeveralGroups bool
	// RetryUntil is when the last further attempt may be decided on.
	RetryUntil time.Time
}

// Allows reports whether an attempt may go to a place.
func (s KeyState) Allows(to Place, scope lbpolicy.Scope) bool {
	if !s.Known {
		return true
	}
	return !s.SeveralGroups && sameGroup(s.Place, to, scope)
}

// Merge combines what is known of one key from two sources.
func (s KeyState) Merge(other KeyState, scope lbpolicy.Scope) KeyState {
	switch {
	case !other.Known:
		return s
	case !s.Known:
		return other
	}
	s.SeveralGroups = s.SeveralGroups || other.SeveralGroups || !sameGroup(s.Place, other.Place, scope)
	if other.RetryUntil.Before(s.RetryUntil) {
		s.RetryUntil = other.RetryUntil
	}
	return s
}

// sameGroup reports whether two places are in one group.
func sameGroup(a, b Place, scope lbpolicy.Scope) bool {
	switch {
	case a.Cluster != b.Cluster:
		return false
	case scope == lbpolicy.ScopeAll:
		return true
	case a.Zone != b.Zone:
		return false
	}
	return scope != lbpolicy.ScopeCell || a.Cell == b.Cell
}
