package ownership

import (
	"time"

	"silvertrail/internal/balancer/idempotency"
)

// Snapshot returns all keys that the voter knows, for another voter that was restarted. ok is false while this voter itself
// abstains.
func (v *Voter) Snapshot(now time.Time) (keys []KeyState, ok bool) {
	if now.Before(v.abstainUntil) {
		return nil, false
	}
	v.expire(now)
	v.table.Each(now, func(k idempotency.Record) bool {
		if k.KeyState.Known {
			keys = append(keys, KeyState{
				Key:          k.ID,
				Place:        k.KeyState.Place,
				SeveralZones: k.SeveralZones,
				SeveralCells: k.SeveralCells,
				RetryFor:     k.KeyState.RetryUntil.Sub(now),
				ExpiresIn:    k.ExpiresAt.Sub(now),
			})
		}
		return true
	})
	return keys, true
}

// NeedsSnapshots reports whether snapshots of other voters are useful. They are useful while this voter abstains, once no
// attempt can be sent any more under a grant of its earlier incarnation. The attempts that were sent are then known to all
// other voters of the majorities that granted them.
func (v *Voter) NeedsSnapshots(now time.Time) bool {
	return now.Before(v.abstainUntil) && !now.Before(v.snapshotsUsefulFrom)
}

// MergeSnapshot adds a part of a snapshot that was requested while NeedsSnapshots was true.
func (v *Voter) MergeSnapshot(now time.Time, part []KeyState) {
	for _, k := range part {
		v.table.Merge(now, idempotency.Record{
			ID:           k.Key,
			KeyState:     idempotency.KeyState{Known: true, Place: k.Place, RetryUntil: now.Add(k.RetryFor)},
			SeveralZones: k.SeveralZones,
			SeveralCells: k.SeveralCells,
			ExpiresAt:    now.Add(k.ExpiresIn),
		})
	}
}

// SnapshotCompleted records that the whole snapshot of another voter has been merged. The voter votes again once every
// majority that it can have been part of contains another voter whose snapshot it has merged.
func (v *Voter) SnapshotCompleted(now time.Time, from string, voters int) {
	v.mergedFrom[from] = true
	if len(v.mergedFrom) >= voters-Majority(voters)+1 && v.NeedsSnapshots(now) {
		v.abstainUntil = now
	}
}
