package records

import "time"

// InitialSync decides when a server that has started serves sidecars. The server's stored state may be out of date, or lost. The
// server therefore first waits, for a limited time, until it has merged the records of its peers. A server without any record
// serves no sidecars, so that its subscribers use another server.
type InitialSync struct {
	deadline time.Time
	pending  map[string]bool
}

// NewInitialSync returns an InitialSync that waits for the named peers until a deadline.
func NewInitialSync(deadline time.Time, peers []string) *InitialSync {
	s := &InitialSync{deadline: deadline, pending: map[string]bool{}}
	for _, peer := range peers {
		s.pending[peer] = true
	}
	return s
}

// PeerSynced notes that all records of a peer were merged.
func (s *InitialSync) PeerSynced(peer string) { delete(s.pending, peer) }

// IsComplete reports whether all peers have synced or the deadline has passed. Until then nothing may be published.
func (s *InitialSync) IsComplete(now time.Time) bool {
	return len(s.pending) == 0 || !now.Before(s.deadline)
}

// IsReady reports whether sidecars may be served.
func (s *InitialSync) IsReady(now time.Time, store *Store) bool {
	return s.IsComplete(now) && !store.IsEmpty()
}

// Deadline returns the time at which waiting for the peers ends.
func (s *InitialSync) Deadline() time.Time { return s.deadline }
