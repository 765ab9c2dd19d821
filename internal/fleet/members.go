package fleet

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"

	"silvertrail/internal/fleet/partition"
)

// node is the last known state of an instance.
type node struct {
	memberlist.Node
	state          partition.State
	leaving        bool
	since          time.Time // of the state
	outbox         outbox
	snapshotSentAt time.Time
}

// Member is a member of the fleet as this instance knows it.
type Member struct {
	Name            string    `json:"name"`
	Address         string    `json:"address"`
	State           string    `json:"state"`
	Since           time.Time `json:"since"` // of the state
	Voter           bool      `json:"voter"`
	Self            bool      `json:"me"`
	UnreachableFrom []string  `json:"by,omitempty"`   // with views: the members that cannot reach it
	LossRatio       float64   `json:"loss,omitempty"` // with views: share of its heartbeats that were lost
}

// Members returns the known members, sorted by name.
func (f *Fleet) Members() []Member {
	if f.membership != nil {
		return f.membership.members()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var members []Member
	for name, n := range f.nodes {
		members = append(members, Member{
			Name:    name,
			Address: n.Address(),
			State:   n.state.String(),
			Since:   n.since,
			Voter:   slices.Contains(f.voters, name),
			Self:    name == f.options.Name,
		})
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// leavingMeta is the memberlist metadata of a member that is leaving.
const leavingMeta = "leaving"

// delegate implements memberlist's callbacks. Memberlist holds its own locks during most callbacks, so only NotifyMsg, which is
// called without them, may call memberlist.
type delegate struct{ *Fleet }

// NodeMeta implements memberlist.Delegate.
func (d delegate) NodeMeta(int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if self := d.nodes[d.options.Name]; self != nil && self.leaving {
		return []byte(leavingMeta)
	}
	return nil
}

// NotifyMsg implements memberlist.Delegate.
func (d delegate) NotifyMsg(encoded []byte) { d.handlePacket(encoded) }

// GetBroadcasts implements memberlist.Delegate.
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (d delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (d delegate) MergeRemoteState([]byte, bool) {}

// NotifyJoin implements memberlist.EventDelegate.
func (d delegate) NotifyJoin(n *memberlist.Node) { d.updateMember(n, partition.Alive) }

// NotifyUpdate implements memberlist.EventDelegate.
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.updateMember(n, partition.Alive) }

// NotifyLeave implements memberlist.EventDelegate.
func (d delegate) NotifyLeave(n *memberlist.Node) { d.updateMember(n, partition.Dead) }

// NotifyAlive implements memberlist.AliveDelegate. It rejects invalid members, and new members beyond MaxMembers.
func (d delegate) NotifyAlive(n *memberlist.Node) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(n.Name) > maxNameBytes || len(n.Meta) > len(leavingMeta) {
		return errors.New("fleet: invalid member name or metadata")
	}
	if d.nodes[n.Name] == nil && !d.hasRoom() {
		return fmt.Errorf("fleet: member rejected: the limit of %d members is reached", d.options.MaxMembers)
	}
	return nil
}

// NotifyMerge implements memberlist.MergeDelegate. It rejects a peer that announces more than MaxMembers members.
func (d delegate) NotifyMerge(peers []*memberlist.Node) error {
	if len(peers) > d.options.MaxMembers {
		d.log.Warn("peer announces too many members", "members", len(peers), "most", d.options.MaxMembers)
		return fmt.Errorf("fleet: merge rejected: the peer announces %d members, the limit is %d", len(peers), d.options.MaxMembers)
	}
	return nil
}

// updateMember records a member's state as memberlist reports it.
func (f *Fleet) updateMember(m *memberlist.Node, state partition.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.options.Views || f.isClosed() { // what memberlist reports during shutdown is an effect of the shutdown
		return
	}
	now := time.Now()
	n := f.nodes[m.Name]
	if n == nil {
		if !f.hasRoom() {
			return
		}
		n = &node{since: now, state: partition.Left}
		f.nodes[m.Name] = n
	}
	n.Node = *m
	if m.Name != f.options.Name {
		n.leaving = string(m.Meta) == leavingMeta
	}
	if state == partition.Dead && n.leaving {
		state = partition.Left
	}
	if n.state != state {
		n.state, n.since = state, now
		f.log.Info("member state changed", "name", m.Name, "state", state.String(), "address", m.Address())
	}
	f.tracker.Update(now, m.Name, state)
	f.updateQuota(now)
}

// hasRoom reports whether another member can be recorded. If the table is full, it first forgets a member that is not alive.
// The caller holds the lock.
func (f *Fleet) hasRoom() bool {
	return len(f.nodes) < f.options.MaxMembers || f.forgetOldestLost()
}

// forgetOldestLost forgets the member that has been out of the state Alive for the longest time. It returns false if all members
// are alive. The caller holds the lock.
func (f *Fleet) forgetOldestLost() bool {
	var oldest string
	for name, n := range f.nodes {
		if n.state != partition.Alive && (oldest == "" || n.since.Before(f.nodes[oldest].since)) {
			oldest = name
		}
	}
	if oldest == "" {
		return false
	}
	delete(f.nodes, oldest)
	return true
}
