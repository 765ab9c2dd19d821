package sidecar

import (
	"hash/maphash"
	"sync"
)

// remembered is how many ended requests' ids are kept: a few seconds of a busy sidecar's traffic.
const remembered = 4096

// requestIDs knows the ids of the requests in work and of those that ended lately. An id is new with every request,
// so one that comes again is another client's mistake or worse: passed on, it would be a second copy of the request
// that has the id, and a refusal of it would tell endpoints and clients a lie about that one. It guards against
// replays of all kinds on this sidecar; others share nothing with it. It would harm a client that repeats ids on
// purpose within seconds.
//
// It holds hashes: what it takes does not depend on what clients write. Open ids are bounded by the connections.
type requestIDs struct {
	seed maphash.Seed

	mu    sync.Mutex
	known map[uint64]struct{}
	ended []uint64 // a ring of the latest
	next  int
}

func newRequestIDs() *requestIDs {
	return &requestIDs{seed: maphash.MakeSeed(), known: map[uint64]struct{}{}}
}

// begin takes an id; it returns false where that is known.
func (r *requestIDs) begin(id string) (key uint64, fresh bool) {
	key = maphash.String(r.seed, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.known[key]; known {
		return key, false
	}
	r.known[key] = struct{}{}
	return key, true
}

// end tells that the request has had its answer.
func (r *requestIDs) end(key uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ended) < remembered {
		r.ended = append(r.ended, key)
		return
	}
	delete(r.known, r.ended[r.next])
	r.ended[r.next] = key
	r.next = (r.next + 1) % remembered
}
