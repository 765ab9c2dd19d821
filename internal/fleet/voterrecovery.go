package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"silvertrail/internal/fleet/ownership"
)

const (
	recoveryInterval    = 500 * time.Millisecond // average time between two checks whether snapshots are needed
	snapshotPartTimeout = 3 * time.Second        // a snapshot without a further part for this long counts as interrupted
	snapshotInterval    = 400 * time.Millisecond // the shortest time between two snapshots sent to one member
)

// incomingSnapshot is a snapshot that is being received from one voter.
type incomingSnapshot struct {
	requestID  uint64
	received   map[int]bool // by part number
	progressAt time.Time    // when it was requested, or its last part arrived
	complete   bool
}

// recoverVoter requests snapshots from the other voters until this instance's voter no longer abstains. A restarted voter has
// lost the grants of its earlier incarnation, which the snapshots restore.
func (f *Fleet) recoverVoter() {
	for {
		select {
		case <-f.closed:
			return
		case <-time.After(recoveryInterval/2 + rand.N(recoveryInterval)):
		}
		now := time.Now()
		f.voterMu.Lock()
		abstains := now.Before(f.voter.AbstainsUntil())
		needsSnapshots := f.voter.NeedsSnapshots(now)
		f.voterMu.Unlock()
		if !abstains {
			return
		}
		if needsSnapshots {
			f.requestSnapshots(now)
		}
	}
}

// requestSnapshots requests a snapshot from each voter that has sent none, or whose snapshot was interrupted.
func (f *Fleet) requestSnapshots(now time.Time) {
	for _, name := range f.voterNames() {
		if name == f.options.Name {
			continue
		}
		if id, needed := f.beginSnapshot(now, name); needed {
			f.send(name, item{SnapshotRequest: id})
		}
	}
}

// beginSnapshot records a new snapshot request and returns its ID, if a request is needed.
func (f *Fleet) beginSnapshot(now time.Time, voter string) (requestID uint64, needed bool) {
	f.voterMu.Lock()
	defer f.voterMu.Unlock()
	if s := f.snapshots[voter]; s != nil && (s.complete || now.Sub(s.progressAt) < snapshotPartTimeout) {
		return 0, false
	}
	requestID = rand.Uint64() | 1
	f.snapshots[voter] = &incomingSnapshot{requestID: requestID, received: map[int]bool{}, progressAt: now}
	return requestID, true
}

// handleSnapshotPart merges a part of a requested snapshot.
func (f *Fleet) handleSnapshotPart(from string, part *snapshotPart) {
	voters := f.voterNames()
	f.voterMu.Lock()
	defer f.voterMu.Unlock()
	s := f.snapshots[from]
	if !slices.Contains(voters, from) || s == nil || s.complete || s.requestID != part.RequestID || s.received[part.Part] {
		return
	}
	now := time.Now()
	s.received[part.Part], s.progressAt = true, now
	f.voter.MergeSnapshot(now, part.Keys)
	if len(s.received) != part.Parts {
		return
	}
	s.complete = true
	f.voter.SnapshotCompleted(now, from, len(voters))
	if !now.Before(f.voter.AbstainsUntil()) {
		f.log.Info("voter recovered", "keys", f.voter.Len())
	}
}

// sendSnapshot sends all keys of this instance's voter, in parts.
func (f *Fleet) sendSnapshot(to string, requestID uint64) {
	f.voterMu.Lock()
	keys, ok := f.voter.Snapshot(time.Now())
	f.voterMu.Unlock()
	if !ok {
		return
	}
	parts := slices.Collect(slices.Chunk(keys, maxPartKeys))
	if len(parts) == 0 {
		parts = [][]ownership.KeyState{nil}
	}
	f.sendSnapshotParts(to, requestID, parts)
}

// sendSnapshotParts sends the parts of a snapshot one after the other, each over its own stream.
func (f *Fleet) sendSnapshotParts(to string, requestID uint64, parts [][]ownership.KeyState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[to]
	if n == nil || len(parts) > maxParts || f.isClosed() || time.Since(n.snapshotSentAt) < snapshotInterval {
		return
	}
	n.snapshotSentAt = time.Now()
	recipient := n.Node
	f.goroutines.Go(func() {
		for i, keys := range parts {
			part := &snapshotPart{RequestID: requestID, Part: i, Parts: len(parts), Keys: keys}
			if !f.sendSnapshotPart(&recipient, part) {
				return
			}
		}
	})
}

// sendSnapshotPart sends one part, and reports whether it was sent.
func (f *Fleet) sendSnapshotPart(to *memberlist.Node, part *snapshotPart) bool {
	if !f.awaitStart() {
		return false
	}
	encoded, err := f.encodePacket(item{SnapshotPart: part})
	if err == nil {
		err = f.memberlist.SendReliable(to, encoded)
	}
	if err != nil {
		f.log.Info("snapshot part not sent", "to", to.Name, "error", err)
	}
	return err == nil
}
