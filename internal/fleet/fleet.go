// Package fleet coordinates several instances: it determines which instances there are, how they divide limits among
// themselves, and which group of endpoints owns an idempotency key.
//
// The packages membership, ownership, partition, gossip and versionlag make the decisions and do no I/O. Package fleet gives
// them the time, and carries their messages over memberlist (SWIM: Das, Gupta and Motivala, DSN 2002), which encrypts them.
// A Fleet owns its sockets, the goroutines that run these packages, and one goroutine for each member that messages are being
// sent to. Close ends them all.
package fleet

import (
	"bytes"
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

	"silvertrail/internal/fleet/partition"
	"silvertrail/internal/fleet/version"
)

// Options configure an instance.
type Options struct {
	FleetName      string
	Name           string // of this instance
	Listen         string
	Advertise      string // the address at which other instances reach this one; empty: Listen
	Seeds          []string
	Keyring        [][]byte      // of 32 bytes each; the first one encrypts
	Voters         []string      // names of the instances that vote on key ownership; empty: each instance decides alone
	MaxMembers     int           // the most members of the fleet
	MaxKeys        int           // the most keys that a voter remembers
	NewFleet       bool          // no instance of the fleet ran before, so its voters need not abstain at the start
	Views          bool          // package membership decides which instances are members, and memberlist only carries messages
	Versions       bool          // members exchange the versions that they apply; requires Views
	RolloutTimeout time.Duration // time that a member has to adopt a version before it counts as lagging

	MaxDeadline  time.Duration // the longest deadline of a keyed class
	KeyRetention time.Duration // the longest time for which the state of an attempt's key is kept

	ProbeInterval time.Duration // between two probes of a member; zero: one second
	Log           *slog.Logger
	// OnQuotaChange is called when this instance's part of the limits changes. It must not block.
	OnQuotaChange func(Quota)
	// AppliedVersions returns the versions that this instance applies, except those of its build, voters and keyring, which
	// the fleet adds. No versions are announced while it is nil or has returned none. With Versions set, it is called a few
	// times a second, one call at a time. It must not block.
	AppliedVersions func() []version.Entry
	// Transport carries packets and streams; nil: UDP and TCP on Listen.
	Transport memberlist.NodeAwareTransport
}

const (
	// lostMemberHold is the shortest time for which the quota of a lost member stays reserved. It covers the time in which the
	// suspicion of the member spreads.
	lostMemberHold = 15 * time.Second
	// rejoinInterval is the average time between two attempts to reach a seed, while no other member is known.
	rejoinInterval = 2 * time.Second
	// handoffQueueDepth bounds the packets that are received and not handled yet.
	handoffQueueDepth = 8192
	// deadNodeReclaimTime is how long a dead member's name is reserved for its address.
	deadNodeReclaimTime = time.Second
	// pushPullProbes is the number of probe intervals between two exchanges of the full state.
	pushPullProbes = 10
)

// Fleet is a running instance. All its methods may be called from any goroutine.
type Fleet struct {
	options    Options
	log        *slog.Logger
	process    uint64 // the incarnation, drawn at random at the start: it differs after a restart
	keyring    *memberlist.Keyring
	memberlist *memberlist.Memberlist
	started    chan struct{} // closed when memberlist is set
	closed     chan struct{}
	goroutines sync.WaitGroup

	mu              sync.Mutex // guards the fields below
	nodes           map[string]*node
	tracker         *partition.Tracker
	quota           Quota
	quotaTimer      *time.Timer
	voters          []string
	votersChangedAt time.Time

	membership *membershipHost  // nil: memberlist determines the members
	applied    *appliedVersions // nil: versions are not exchanged

	keyOwnership
}

// Start starts an instance, which joins its fleet in the background. If no seed is reachable, the instance keeps trying until Close.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{
		options: o,
		log:     o.Log.With("component", "fleet", "fleet", o.FleetName),
		process: rand.Uint64(),
		started: make(chan struct{}),
		closed:  make(chan struct{}),
		nodes:   map[string]*node{},
		tracker: partition.New(o.Name, lostMemberHold, o.MaxMembers),
		quota:   Quota{Instances: 1},
		voters:  o.Voters,
	}
	f.keyOwnership.start(f, time.Now())
	config, err := f.memberlistConfig()
	if err != nil {
		return nil, err
	}
	if err := f.startMemberlist(config); err != nil {
		return nil, errors.Join(err, config.Transport.Shutdown())
	}
	close(f.started)
	f.startGoroutines()
	return f, nil
}

// memberlistConfig returns the configuration of memberlist, with an open transport.
func (f *Fleet) memberlistConfig() (*memberlist.Config, error) {
	o := &f.options
	c := memberlist.DefaultLANConfig()
	c.Name = o.Name
	c.Label = fmt.Sprintf("silvertrail/%d/%s", protocolVersion, o.FleetName)
	c.Delegate, c.Events, c.Alive, c.Merge = delegate{f}, delegate{f}, delegate{f}, delegate{f}
	c.Logger = slog.NewLogLogger(f.log.With("part", "memberlist").Handler(), slog.LevelDebug)
	c.HandoffQueueDepth = handoffQueueDepth
	c.EnableCompression = false // messages are short
	c.DeadNodeReclaimTime = deadNodeReclaimTime
	if o.ProbeInterval > 0 {
		c.ProbeInterval = o.ProbeInterval
		c.ProbeTimeout = o.ProbeInterval / 2
		c.GossipInterval = o.ProbeInterval / 5
		c.PushPullInterval = pushPullProbes * o.ProbeInterval
	}
	var err error
	if o.Advertise != "" {
		if c.AdvertiseAddr, c.AdvertisePort, err = splitAddress(o.Advertise); err != nil {
			return nil, fmt.Errorf("fleet: invalid advertise address: %w", err)
		}
	}
	if err = checkKeys(o.Keyring); err != nil {
		return nil, err
	}
	if f.keyring, err = memberlist.NewKeyring(o.Keyring, o.Keyring[0]); err != nil {
		return nil, fmt.Errorf("fleet: keyring: %w", err)
	}
	c.Keyring = f.keyring
	if o.Transport != nil {
		c.Transport = o.Transport
		return c, nil
	}
	transport, err := Listen(o.Listen)
	if err != nil {
		return nil, err
	}
	c.Transport = transport
	return c, nil
}

// startMemberlist creates memberlist. With views it only carries messages: it sends no probes and no gossip.
func (f *Fleet) startMemberlist(c *memberlist.Config) error {
	if f.options.Views {
		c.ProbeInterval, c.GossipInterval, c.PushPullInterval = 0, 0, 0
		if err := f.startMembership(c); err != nil {
			return err
		}
		if f.options.Versions {
			f.applied = newAppliedVersions(f)
		}
	}
	list, err := memberlist.Create(c)
	if err != nil {
		return fmt.Errorf("fleet: starting memberlist: %w", err)
	}
	f.memberlist = list
	return nil
}

func (f *Fleet) startGoroutines() {
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
}

func splitAddress(address string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(text)
	return host, port, err
}

// Addr returns the address at which other instances reach this one.
func (f *Fleet) Addr() string { return f.memberlist.LocalNode().Address() }

// join contacts the seeds until one has answered, and whenever no other member is left.
func (f *Fleet) join() {
	for {
		if len(f.options.Seeds) > 0 && f.memberlist.NumMembers() < 2 {
			if _, err := f.memberlist.Join(f.options.Seeds); err != nil {
				f.log.Info("no seed is reachable", "error", err)
			} else {
				f.log.Info("joined the fleet", "members", f.memberlist.NumMembers())
			}
		}
		select {
		case <-f.closed:
			return
		case <-time.After(rejoinInterval/2 + rand.N(rejoinInterval)):
		}
	}
}

// Update applies the keyring and the voters of new options. Other changes take effect after a restart, and a warning is logged
// for them. If Update returns an error, nothing has changed.
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
		f.applied.setOwnEntries(o)
	}
	if f.needsRestart(o) {
		f.log.Warn("restart needed for the rest of the fleet block and for longer times of keyed classes")
	}
	return nil
}

// needsRestart reports whether the new options differ in settings that a running instance cannot change.
func (f *Fleet) needsRestart(o Options) bool {
	current := &f.options
	switch {
	case o.FleetName != current.FleetName, o.Name != current.Name, o.Listen != current.Listen, o.Advertise != current.Advertise:
		return true
	case o.MaxMembers != current.MaxMembers, o.Versions != current.Versions, o.Views != current.Views:
		return true
	}
	return o.MaxDeadline > current.MaxDeadline || o.KeyRetention > current.KeyRetention
}

// checkKeys returns an error for an invalid keyring.
func checkKeys(keys [][]byte) error {
	if len(keys) == 0 {
		return errors.New("fleet: empty keyring: at least one key is required, as packets are always encrypted")
	}
	for _, key := range keys {
		if err := memberlist.ValidateKey(key); err != nil {
			return fmt.Errorf("fleet: invalid key in the keyring: %w", err)
		}
	}
	return nil
}

// RotateKeys sets a new keyring, whose first key encrypts. To replace a key without an interruption, add the new key after the
// old key on all instances, then put it before the old key, and then remove the old key.
func (f *Fleet) RotateKeys(keys [][]byte) error {
	if err := checkKeys(keys); err != nil {
		return err
	}
	for _, key := range keys {
		if err := f.keyring.AddKey(key); err != nil {
			return fmt.Errorf("fleet: adding a key: %w", err)
		}
	}
	if err := f.keyring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("fleet: setting the primary key: %w", err)
	}
	for _, key := range f.keyring.GetKeys() {
		if slices.ContainsFunc(keys, func(k []byte) bool { return bytes.Equal(k, key) }) {
			continue
		}
		if err := f.keyring.RemoveKey(key); err != nil {
			return fmt.Errorf("fleet: removing a key: %w", err)
		}
	}
	return nil
}

// Leave announces that this instance leaves the fleet, and closes it. It waits at most for the timeout.
func (f *Fleet) Leave(timeout time.Duration) {
	defer f.Close()
	if f.membership != nil {
		f.membership.leave(timeout)
		return
	}
	f.mu.Lock()
	if self := f.nodes[f.options.Name]; self != nil {
		self.leaving = true
	}
	f.mu.Unlock()
	if err := f.memberlist.UpdateNode(timeout / 2); err != nil {
		f.log.Info("departure not announced", "error", err)
	}
	if err := f.memberlist.Leave(timeout / 2); err != nil {
		f.log.Info("departure not announced", "error", err)
	}
}

// Close ends the instance at once and without an announcement: the other instances see it as lost.
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
		f.log.Info("shutdown failed", "error", err)
	}
	f.goroutines.Wait()
}

// isClosed reports whether the instance is closed.
func (f *Fleet) isClosed() bool {
	select {
	case <-f.closed:
		return true
	default:
		return false
	}
}
