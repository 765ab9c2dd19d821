// Package fleet runs several instances as one: who they are, what part of the endpoints each of them takes, and which
// group of endpoints a key is bound to (package binding decides that, package share the parts). It is the host of both:
// it carries their messages over memberlist (SWIM: Das, Gupta and Motivala, DSN 2002), which encrypts them.
package fleet

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"silvertrail/internal/fleet/ownership"
	"silvertrail/internal/fleet/partition"
	"silvertrail/internal/fleet/version"
)

// Options tell what an instance needs to know of its fleet.
type Options struct {
	FleetName      string // its name
	Name           string // this instance's
	Listen         string
	Advertise      string // where others reach it; empty: Listen
	Seeds          []string
	Keyring        [][]byte      // of 32 bytes each; the first one encrypts
	Voters         []string      // names of those that agree on keys; empty: keys are bound here alone
	MaxMembers     int           // at most
	MaxKeys        int           // that a voter remembers at most
	NewFleet       bool          // nothing of the fleet ran before: its voters need not be silent at first
	Views          bool          // who is in is decided by package membership, and memberlist carries messages alone
	Versions       bool          // members tell each other what they act on; with Views alone
	RolloutTimeout time.Duration // how long taking up a version may last before one is called behind

	MaxDeadline  time.Duration // the longest deadline of a keyed class
	KeyRetention time.Duration // for how long anything is remembered of an attempt, at the most

	ProbeInterval time.Duration // how often a member is probed; 0: a second
	Log           *slog.Logger
	// OnQuotaChange is called where this instance's part of the whole changes. It must not block.
	OnQuotaChange func(instances, place int)
	// AppliedVersions returns what this instance acts on, beside what the fleet knows itself; nil: it does nothing yet. It is called a
	// few times a second where versions are told, one call at a time, and must not block.
	AppliedVersions func() []version.Entry
	// Transport carries the packets; nil: UDP and TCP on Listen.
	Transport memberlist.NodeAwareTransport
}

// TakeOver is how long a lost member's part is left to it: at the least until its suspicion has come round.
const lostMemberHold = 15 * time.Second

// Fleet is a running instance's view of its fleet. All its methods may be called from any goroutine.
type Fleet struct {
	options    Options
	log        *slog.Logger
	process    uint64 // drawn at the start: an instance that is started again is another one
	keyring    *memberlist.Keyring
	memberlist *memberlist.Memberlist
	started    chan struct{} // closed when list is there
	closed     chan struct{}
	goroutines sync.WaitGroup

	mu              sync.Mutex // of members, shares and keys
	nodes           map[string]*node
	tracker         *partition.Tracker
	quota           [2]int
	quotaTimer      *time.Timer
	membership      *membershipHost  // nil: memberlist decides who is in
	applied         *appliedVersions // nil: versions are not told
	voters          []string
	votersChangedAt time.Time // the voters were changed last

	keyOwnership
}

// node is a member as it was last known.
type node struct {
	memberlist.Node
	state          partition.State
	leaving        bool
	since          time.Time
	outbox         outbox
	snapshotSentAt time.Time // when it was sent a copy last
}

// Member is a member of the fleet as this instance knows it.
type Member struct {
	Name            string    `json:"name"`
	Address         string    `json:"address"`
	State           string    `json:"state"`
	Since           time.Time `json:"since"`
	Voter           bool      `json:"voter"`
	Self            bool      `json:"me"`
	UnreachableFrom []string  `json:"by,omitempty"`   // with views: who does not hear it
	LossRatio       float64   `json:"loss,omitempty"` // with views: part of its beats that do not come
}

// Start brings an instance up and joins its fleet. Seeds that can't be reached are tried again for as long as it runs.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{options: o, log: o.Log.With("fleet", o.FleetName), process: rand.Uint64(), started: make(chan struct{}), closed: make(chan struct{}), nodes: map[string]*node{},
		tracker: partition.New(o.Name, lostMemberHold, o.MaxMembers), voters: o.Voters, quota: [2]int{1, 0}}
	now := time.Now()
	f.keyOwnership.start(f, now)
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label = o.Name, fmt.Sprintf("silvertrail/%d/%s", protocolVersion, o.FleetName)
	c.Delegate, c.Events, c.Alive, c.Merge = delegate{f}, delegate{f}, delegate{f}, delegate{f}
	c.Logger = slog.NewLogLogger(f.log.With("part", "memberlist").Handler(), slog.LevelDebug)
	c.HandoffQueueDepth = 8192
	c.EnableCompression = false // messages are short
	c.DeadNodeReclaimTime = time.Second
	if o.ProbeInterval > 0 {
		c.ProbeInterval, c.ProbeTimeout, c.GossipInterval = o.ProbeInterval, o.ProbeInterval/2, o.ProbeInterval/5
		c.PushPullInterval = 10 * o.ProbeInterval
	}
	var err error
	if o.Advertise != "" {
		if c.AdvertiseAddr, c.AdvertisePort, err = splitAddress(o.Advertise); err != nil {
			return nil, fmt.Errorf("fleet: advertise: %w", err)
		}
	}
	if err = checkKeys(o.Keyring); err != nil {
		return nil, err
	}
	if f.keyring, err = memberlist.NewKeyring(o.Keyring, o.Keyring[0]); err != nil {
		return nil, fmt.Errorf("fleet: keyring: %w", err)
	}
	c.Keyring = f.keyring
	if c.Transport = o.Transport; c.Transport == nil {
		if c.Transport, err = Listen(o.Listen); err != nil {
			return nil, err
		}
	}
	if o.Views { // messages alone: no probes, no gossip, no suspicion
		c.ProbeInterval, c.GossipInterval, c.PushPullInterval = 0, 0, 0
		if err = f.startMembership(c); err != nil {
			c.Transport.Shutdown()
			return nil, err
		}
		if o.Versions {
			f.applied = newAppliedVersions(f)
		}
	}
	if f.memberlist, err = memberlist.Create(c); err != nil {
		c.Transport.Shutdown()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	close(f.started)
	if f.membership != nil {
		f.goroutines.Go(f.membership.run)
		f.goroutines.Go(f.membership.sendLoop)
		if f.applied != nil {
			f.goroutines.Go(f.applied.run)
		}
	} else {
		f.goroutines.Go(f.join)
	}
	f.goroutines.Go(f.recoverVoter)
	return f, nil
}

func splitAddress(address string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(text)
	return host, port, err
}

// Addr returns the address that others reach this instance at.
func (f *Fleet) Addr() string { return f.memberlist.LocalNode().Address() }

// rejoinInterval is how often an instance that sees nobody asks its seeds again.
const rejoinInterval = 2 * time.Second

// join asks the seeds, again and again until one has answered, and whenever nobody is left.
func (f *Fleet) join() {
	for {
		if len(f.options.Seeds) > 0 && f.memberlist.NumMembers() < 2 {
			if _, err := f.memberlist.Join(f.options.Seeds); err != nil {
				f.log.Info("no seed reached", "error", err)
			} else {
				f.log.Info("joined", "members", f.memberlist.NumMembers())
			}
		}
		select {
		case <-f.closed:
			return
		case <-time.After(rejoinInterval/2 + rand.N(rejoinInterval)):
		}
	}
}

// Update takes up new options: keys and voters. What else has changed waits for a restart, and the log says so. An error
// means that nothing has changed.
func (f *Fleet) Update(o Options) error {
	if err := checkKeys(o.Keyring); err != nil {
		return err
	}
	if err := f.ReconfigureVoters(o.Voters); err != nil {
		return err
	}
	if err := f.RotateKeys(o.Keyring); err != nil {
		return err
	}
	if f.applied != nil {
		f.applied.setOwn(o)
	}
	if o.FleetName != f.options.FleetName || o.Name != f.options.Name || o.Listen != f.options.Listen || o.Advertise != f.options.Advertise || o.MaxMembers != f.options.MaxMembers || o.Versions != f.options.Versions || o.Views != f.options.Views ||
		o.MaxDeadline > f.options.MaxDeadline || o.KeyRetention > f.options.KeyRetention {
		f.log.Warn("restart needed for the rest of the fleet block, and for keyed classes with longer times")
	}
	return nil
}

// HasVoters tells whether there are voters, so that keys are bound over the fleet.
func (f *Fleet) HasVoters() bool { return len(f.voterNames()) > 0 }

// checkKeys tells what is wrong with a keyring, before any of it is taken.
func checkKeys(keys [][]byte) error {
	if len(keys) == 0 {
		return errors.New("fleet: no key: packets are always encrypted")
	}
	for _, k := range keys {
		if err := memberlist.ValidateKey(k); err != nil {
			return fmt.Errorf("fleet: key: %w", err)
		}
	}
	return nil
}

// RotateKeys takes a new keyring: to rotate a key without a stop, it is first added behind the one in use everywhere, then
// put before it, then left alone.
func (f *Fleet) RotateKeys(keys [][]byte) error {
	if err := checkKeys(keys); err != nil {
		return err
	}
	for _, k := range keys {
		if err := f.keyring.AddKey(k); err != nil {
			return fmt.Errorf("fleet: key: %w", err)
		}
	}
	if err := f.keyring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("fleet: key: %w", err)
	}
	for _, k := range f.keyring.GetKeys() {
		if !slices.ContainsFunc(keys, func(kept []byte) bool { return string(kept) == string(k) }) {
			if err := f.keyring.RemoveKey(k); err != nil {
				return fmt.Errorf("fleet: key: %w", err)
			}
		}
	}
	return nil
}

// ReconfigureVoters takes a new list of voters. It is refused where the majorities of the old and the new list need not meet, and
// while something may be remembered that was agreed to under the list before the old one.
func (f *Fleet) ReconfigureVoters(voters []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	switch {
	case slices.Equal(voters, f.voters):
		return nil
	case !ownership.CanReconfigure(f.voters, voters):
		return fmt.Errorf("fleet: the voters %q can't follow %q at once: add or take away one at a time", voters, f.voters)
	case now.Before(f.votersChangedAt.Add(f.options.KeyRetention)):
		return fmt.Errorf("fleet: the voters were changed %v ago; the next change can come %v after that", now.Sub(f.votersChangedAt).Round(time.Second), f.options.KeyRetention)
	}
	f.voters, f.votersChangedAt = voters, now
	f.keyOwnership.retainVoters(voters)
	f.log.Info("voters changed", "voters", voters)
	return nil
}

// Members returns the members that are known, by name.
func (f *Fleet) Members() []Member {
	if f.membership != nil {
		return f.membership.members()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Member
	for name, n := range f.nodes {
		out = append(out, Member{Name: name, Address: n.Address(), State: n.state.String(), Since: n.since,
			Voter: slices.Contains(f.voters, name), Self: name == f.options.Name})
	}
	slices.SortFunc(out, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// Leave tells the others that this instance goes, and ends. It returns within the time told.
func (f *Fleet) Leave(within time.Duration) {
	if f.membership != nil {
		f.membership.leave(within)
		f.Close()
		return
	}
	f.mu.Lock()
	leaving := f.nodes[f.options.Name]
	if leaving != nil {
		leaving.leaving = true
	}
	f.mu.Unlock()
	if err := f.memberlist.UpdateNode(within / 2); err != nil {
		f.log.Info("leaving untold", "error", err)
	}
	if err := f.memberlist.Leave(within / 2); err != nil {
		f.log.Info("leaving untold", "error", err)
	}
	f.Close()
}

// Close ends at once: to the others this instance is lost.
func (f *Fleet) Close() {
	f.mu.Lock()
	if f.isClosed() {
		f.mu.Unlock()
		return
	}
	close(f.closed)
	if f.quotaTimer != nil {
		f.quotaTimer.Stop()
	}
	f.mu.Unlock()
	if err := f.memberlist.Shutdown(); err != nil {
		f.log.Info("ending", "error", err)
	}
	f.goroutines.Wait()
}

// isClosed tells whether the instance has ended.
func (f *Fleet) isClosed() bool {
	select {
	case <-f.closed:
		return true
	default:
		return false
	}
}

// leavingMeta is what a member's meta says that goes in so many words.
const leavingMeta = "leaving"

// delegate is memberlist's view of the fleet. It is called with memberlist's own locks held: none of it calls back.
type delegate struct{ *Fleet }

func (d delegate) NodeMeta(int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.nodes[d.options.Name]; n != nil && n.leaving {
		return []byte(leavingMeta)
	}
	return nil
}

func (d delegate) NotifyMsg(text []byte)           { d.handlePacket(text) }
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d delegate) LocalState(bool) []byte          { return nil }
func (d delegate) MergeRemoteState([]byte, bool)   {}
func (d delegate) NotifyJoin(n *memberlist.Node)   { d.updateMember(n, partition.Alive) }
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.updateMember(n, partition.Alive) }
func (d delegate) NotifyLeave(n *memberlist.Node)  { d.updateMember(n, partition.Dead) }

// NotifyAlive turns away members over the bound, whoever tells of them.
func (d delegate) NotifyAlive(n *memberlist.Node) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(n.Name) > maxNameBytes || len(n.Meta) > len(leavingMeta) {
		return errors.New("fleet: not a member's name or meta")
	}
	if d.nodes[n.Name] == nil && len(d.nodes) >= d.options.MaxMembers && !d.forgetOldestLost() {
		return fmt.Errorf("fleet: over %d members", d.options.MaxMembers)
	}
	return nil
}

// NotifyMerge turns away a peer that tells of more members than there may be.
func (d delegate) NotifyMerge(peers []*memberlist.Node) error {
	if len(peers) > d.options.MaxMembers {
		d.log.Warn("a peer tells of too many members", "told", len(peers), "most", d.options.MaxMembers)
		return fmt.Errorf("fleet: %d members told, over %d", len(peers), d.options.MaxMembers)
	}
	return nil
}

// updateMember takes what memberlist says of a member.
func (f *Fleet) updateMember(m *memberlist.Node, s partition.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.options.Views || f.isClosed() { // what comes while this instance ends is its own doing
		return
	}
	now := time.Now()
	n := f.nodes[m.Name]
	if n == nil {
		if len(f.nodes) >= f.options.MaxMembers && !f.forgetOldestLost() {
			return
		}
		n = &node{since: now, state: partition.Left}
		f.nodes[m.Name] = n
	}
	n.Node = *m
	if m.Name != f.options.Name {
		n.leaving = string(m.Meta) == leavingMeta
	}
	if s == partition.Dead && n.leaving {
		s = partition.Left
	}
	if n.state != s {
		n.state, n.since = s, now
		f.log.Info("member", "name", m.Name, "state", s.String(), "address", m.Address())
	}
	f.tracker.Update(now, m.Name, s)
	f.updateQuota(now)
}

// forgetOldestLost forgets the member that has been gone longest; it is false where there is none. The caller holds the lock.
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

// updateQuota tells of this instance's part where it has changed, and looks again when time alone may change it. The caller
// holds the lock.
func (f *Fleet) updateQuota(now time.Time) {
	n, place, next := f.tracker.Partition(now)
	if f.quotaTimer != nil {
		f.quotaTimer.Stop()
		f.quotaTimer = nil
	}
	if !next.IsZero() {
		f.quotaTimer = time.AfterFunc(time.Until(next), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.updateQuota(time.Now())
		})
	}
	if is := [2]int{n, place}; is != f.quota {
		f.quota = is
		f.log.Info("shares", "instances", n, "place", place)
		if f.options.OnQuotaChange != nil {
			f.options.OnQuotaChange(n, place)
		}
	}
}

// Quota returns how many instances there are for the sharing of endpoints, and which of them this is.
func (f *Fleet) Quota() (n, place int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quota[0], f.quota[1]
}
