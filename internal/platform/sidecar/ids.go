package sidecar

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync"

	"silvertrail/internal/base/hashring"
	"silvertrail/internal/platform/handover"
)

// maxEndedIDs bounds the remembered IDs of ended requests: a few seconds of a busy sidecar's traffic.
const maxEndedIDs = 4096

// requestIDs remembers the IDs of requests in flight and of those that ended lately, to detect repeated ones. An ID is new
// with every request. Forwarding a repeated one would duplicate the request that has it, and rejecting it with 429 or 503
// would tell endpoints and clients something wrong about that request. Sidecars share no IDs. A client that repeats IDs on
// purpose within seconds is answered with 409.
//
// It holds hashes, so that its size does not depend on what clients send. IDs in flight are bounded by the connections.
type requestIDs struct {
	mu     sync.Mutex
	key    []byte // of the hashes, so that no client can find IDs that collide
	hashes map[uint64]struct{}
	ended  *hashring.Ring
}

func newRequestIDs() *requestIDs {
	r := &requestIDs{key: make([]byte, 16), hashes: map[uint64]struct{}{}, ended: hashring.New(maxEndedIDs)}
	_, _ = rand.Read(r.key) // never fails
	return r
}

// hash returns an ID's hash. The caller holds the lock.
func (r *requestIDs) hash(id string) uint64 {
	var space [64]byte
	sum := sha256.Sum256(append(append(space[:0], r.key...), id...))
	return binary.BigEndian.Uint64(sum[:])
}

// snapshot returns the IDs for another process.
func (r *requestIDs) snapshot() handover.RequestIDs {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := handover.RequestIDs{Key: r.key}
	for h := range r.hashes {
		ids.Hashes = append(ids.Hashes, h)
	}
	return ids
}

// maxRestoredIDs bounds the IDs taken from another process: the ended ones, and as many in flight.
const maxRestoredIDs = 2 * maxEndedIDs

// restore takes the IDs of another process, before this one has any. They count as ended lately.
func (r *requestIDs) restore(ids handover.RequestIDs) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.hashes) > 0 || len(ids.Key) != len(r.key) {
		return
	}
	r.key = ids.Key
	for _, h := range ids.Hashes[:min(len(ids.Hashes), maxRestoredIDs)] {
		r.hashes[h] = struct{}{}
		r.addEnded(h)
	}
}

// begin adds an ID. It returns false if it is known.
func (r *requestIDs) begin(id string) (key uint64, fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key = r.hash(id)
	if _, known := r.hashes[key]; known {
		return key, false
	}
	r.hashes[key] = struct{}{}
	return key, true
}

// end records that a request was answered.
func (r *requestIDs) end(key uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addEnded(key)
}

// addEnded records a hash of an ended request, and forgets the oldest one.
func (r *requestIDs) addEnded(key uint64) {
	if evicted, ok := r.ended.Add(key); ok {
		delete(r.hashes, evicted)
	}
}
