// Package idempotency records for each idempotency key where attempts may have run or are running, when they were sent, and how long
// the endpoints there drop repeats. Every further attempt with the key stays within the group of endpoints that drops repeats. No
// further attempt is made once these endpoints may have forgotten the key.
//
// The package does no I/O and reads no clock: the time is an argument of each call. A Table is shared by all requests of a process and
// serialises its calls with one mutex.
//
// The table records attempts, not only requests, because clients give up and retry while the first attempt is still running. A key is
// therefore reserved as soon as an attempt has been decided on. It becomes free again only if every attempt is known never to have
// run.
//
// The table records places (cluster, zone, cell) independently of the scope of a class. The scope is an argument of each query, so
// that a reload which changes scopes, or moves an endpoint to another zone, does not change the recorded state.
//
// The table records the attempts of this process. Attempts of other processes, or from before a restart, are known only as far as
// Merge was called with them.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"time"

	"silvertrail/lbpolicy"
)

var (
	// ErrTooManyKeys means that the table is full. Nothing was sent, so the request can be rejected.
	ErrTooManyKeys = errors.New("idempotency: too many keys")
	// ErrKeyReused means that the key was used before with another target or body.
	ErrKeyReused = errors.New("idempotency: the key belongs to another request")
	// ErrHeldElsewhere means that an attempt with the key may have run, or is running, in another group of endpoints, which drops its
	// repeats.
	ErrHeldElsewhere = errors.New("idempotency: the key is held by another group of endpoints")
	// ErrWindowOver means that the key's retry window has ended: endpoints may have forgotten the key by the time a repeat arrives.
	ErrWindowOver = errors.New("idempotency: the key's window is over")
)

// KeyID identifies a tenant's key. It is a 128-bit cryptographic hash, for which no collisions are expected.
type KeyID [16]byte

// KeyIDOf returns the ID of a tenant's key, which is the same in every process. The class is not part of it, because a key identifies
// one request of its tenant: a reload that gives the request's route another class must not free the key.
func KeyIDOf(tenant, key string) KeyID { return KeyID(digest([]byte(tenant), []byte(key))) }

// Fingerprint identifies the content of a request. The zero Fingerprint matches any request.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(method, target string, body []byte) Fingerprint {
	return Fingerprint(digest([]byte(method), []byte(target), body))
}

// digest hashes the parts, each prefixed with its length, so that different lists of parts differ in the hashed bytes.
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

// Place is the place to which an attempt was sent.
type Place struct {
	Cluster string `codec:"Cluster"`
	Zone    string `codec:"Zone"`
	Cell    int    `codec:"Cell"`
}

// Terms are the guarantees that a class gives for its keys at the time when an attempt is sent.
type Terms struct {
	Scope     lbpolicy.Scope
	Window    time.Duration // how long endpoints drop repeats after an attempt was sent
	Retention time.Duration // how long the key is kept after the window, so that repeats are not taken for new requests
}

const (
	transitDivider = 8 // the transit time is at most the window divided by this
	maxTransitTime = time.Second
)

// transitTime returns how long a repeat may take from the decision to send it until it reaches the endpoint. It must reach the endpoint
// within the window.
func (t Terms) transitTime() time.Duration { return min(t.Window/transitDivider, maxTransitTime) }

// RetryWindow returns how long after an attempt was sent a further one may be decided on.
func (t Terms) RetryWindow() time.Duration { return t.Window - t.transitTime() }

// KeyState summarizes the attempts with a key.
type KeyState struct {
	Known bool  // an attempt may have run, or is running
	Place Place // of one of these attempts
	// SeveralGroups means that the places of the attempts lie in several groups of the queried scope. No further attempt is possible.
	SeveralGroups bool
	// RetryUntil is the time before which a further attempt may be decided on.
	RetryUntil time.Time
}

// Allows reports whether an attempt may be sent to a place. It does not consider RetryUntil.
func (s KeyState) Allows(to Place, scope lbpolicy.Scope) bool {
	if !s.Known {
		return true
	}
	return !s.SeveralGroups && sameGroup(s.Place, to, scope)
}

// Merge combines the states of one key from two sources.
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

// sameGroup reports whether two places are in the same group of a scope.
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
