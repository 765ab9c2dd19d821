package sidecar

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync"

	"silvertrail/internal/platform/handover"
)

// maxEndedIDs is how many ended requests' ids are kept: a few seconds of a busy sidecar's traffic.
const maxEndedIDs = 4096

// requestIDs knows the ids of the requests in work and of those that ended lately. An id is new with every request,
// so one that comes again is another client's mistake or worse: passed on, it would be a second copy of the request
// that has the id, and a refusal of it would tell endpoints and clients a lie about that one. It guards against
// replays of all kinds on this sidecar; others share nothing with it. It would harm a client that repeats ids on
// purpose within seconds.
//
// It holds hashes: what it takes does not depend on what clients write. Open ids are bounded by the connections.
type requestIDs struct {
	mu        sync.Mutex
	key       []byte // of the hashes: no caller can find ids that meet
	hashes    map[uint64]struct{}
	endedRing []uint64 // a ring of the latest
	ringNext  int
}

func newRequestIDs() *requestIDs {
	r := &requestIDs{key: make([]byte, 16), hashes: map[uint64]struct{}{}}
	rand.Read(r.key)
	return r
}

// hash is called with the lock held.
func (r *requestIDs) hash(id string) uint64 {
	var space [64]byte
	sum := sha256.Sum256(append(append(space[:0], r.key...), id...))
	return binary.BigEndian.Uint64(sum[:])
}

// snapshot returns what another process needs to know the ids that this one knows.
func (r *requestIDs) snapshot() handover.RequestIDs {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := handover.RequestIDs{Key: r.key}
	for h := range r.hashes {
		ids.Hashes = append(ids.Hashes, h)
	}
	return ids
}

// maxRestoredIDs bounds the ids that are taken over: what is remembered, and as many in work.
const maxRestoredIDs = 2 * maxEndedIDs

// restore takes over another process's ids, before this one has any: they count as ended lately.
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

// begin takes an id; it returns false where that is known.
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

// end tells that the request has had its answer.
func (r *requestIDs) end(key uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addEnded(key)
}

// addEnded puts an id among those that are forgotten in turn.
func (r *requestIDs) addEnded(key uint64) {
	if len(r.endedRing) < maxEndedIDs {
		r.endedRing = append(r.endedRing, key)
		return
	}
	delete(r.hashes, r.endedRing[r.ringNext])
	r.endedRing[r.ringNext] = key
	r.ringNext = (r.ringNext + 1) % maxEndedIDs
}
