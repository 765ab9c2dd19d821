package sidecar

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync"

	"silvertrail/internal/base/hashring"
	"silvertrail/internal/platform/handover"
)

// maxEndedIDs bounds the remembered IDs of ended requests. They cover the longest deadline of a client that sends as fast as it can.
const maxEndedIDs = 1 << 15

// requestIDs remembers the IDs of requests in flight and of recently ended requests, to detect repeated IDs. Every request
// must have a new ID. Forwarding a request with a repeated ID would duplicate the first request. Rejecting it with 429 or 503
// would give endpoints and clients wrong information about the first request. Sidecars do not share IDs. A client that
// repeats an ID within seconds gets a response with status 409.
//
// requestIDs stores hashes, so that its memory does not depend on the length of the IDs that clients send. The number of IDs
// in flight is bounded by the number of connections.
type requestIDs struct {
	mu     sync.Mutex
	key    []byte // hash key, so that clients cannot construct IDs that collide
	hashes map[uint64]struct{}
	ended  *hashring.Ring // hashes of the most recently ended requests
	own    bool           // an ID of this process was added, with its own hash key
}

func newRequestIDs() *requestIDs {
	r := &requestIDs{key: make([]byte, 16), hashes: map[uint64]struct{}{}, ended: hashring.New(maxEndedIDs)}
	_, _ = rand.Read(r.key) // crypto/rand.Read never returns an error
	return r
}

// hash returns the keyed hash of an ID. The caller holds the lock.
func (r *requestIDs) hash(id string) uint64 {
	var buffer [64]byte
	sum := sha256.Sum256(append(append(buffer[:0], r.key...), id...))
	return binary.BigEndian.Uint64(sum[:])
}

// snapshot returns the hash key and all remembered IDs, for handover to another process.
func (r *requestIDs) snapshot() handover.RequestIDs {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := handover.RequestIDs{Key: r.key}
	for h := range r.hashes {
		ids.Hashes = append(ids.Hashes, h)
	}
	return ids
}

// maxRestoredIDs bounds the IDs taken over from another process: maxEndedIDs of ended requests, and as many in flight.
const maxRestoredIDs = 2 * maxEndedIDs

// restore adds the IDs of another process as IDs of recently ended requests. It does nothing if this process already has IDs
// of its own or if the hash key has the wrong length.
func (r *requestIDs) restore(ids handover.RequestIDs) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own || len(ids.Key) != len(r.key) {
		return
	}
	r.key = ids.Key
	for _, h := range ids.Hashes[:min(len(ids.Hashes), maxRestoredIDs)] {
		r.addClaimed(h)
	}
}

// claim adds the hash of a request of another process, whose hash key this process has or will restore, and reports whether the ID was known.
func (r *requestIDs) claim(hash uint64) (isKnown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.addClaimed(hash)
}

// addClaimed adds a hash as that of an ended request, and reports whether it was new. The caller holds the lock.
func (r *requestIDs) addClaimed(hash uint64) (isNew bool) {
	if _, known := r.hashes[hash]; known {
		return false
	}
	r.hashes[hash] = struct{}{}
	r.addEnded(hash)
	return true
}

// begin adds the ID of a request and returns the ID's hash. isNew is false if the ID is already known.
func (r *requestIDs) begin(id string) (hash uint64, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hash = r.hash(id)
	r.own = true
	if _, known := r.hashes[hash]; known {
		return hash, false
	}
	r.hashes[hash] = struct{}{}
	return hash, true
}

// end records that the request whose ID has the given hash has ended.
func (r *requestIDs) end(hash uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addEnded(hash)
}

// addEnded records the hash of an ended request, and evicts the oldest hash if maxEndedIDs are stored. The caller holds the
// lock.
func (r *requestIDs) addEnded(hash uint64) {
	if evicted, ok := r.ended.Add(hash); ok {
		delete(r.hashes, evicted)
	}
}
