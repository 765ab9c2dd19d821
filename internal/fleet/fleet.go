// Package fleet runs several instances as one: it determines which instances there are, how they divide limits among
// themselves, and which group of endpoints owns an idempotency key.
//
// It is the host of the packages membership, ownership, partition, gossip and versionlag, which decide without I/O: it
// carries their messages over memberlist (SWIM: Das, Gupta and Motivala, DSN 2002), which encrypts them. A Fleet owns its
// sockets, one goroutine for each host of these packages, and one for each member that messages are being sent to; Close
// ends them all.
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
	Advertise      string // the address for other instances; empty: Listen
	Seeds          []string
	Keyring        [][]byte      // of 32 bytes each; the first one encrypts
	Voters         []string      // names of the instances that vote on keys; empty: keys are owned by this instance alone
	MaxMembers     int           // of the fleet
	MaxKeys        int           // that a voter remembers
	NewFleet       bool          // nothing of the fleet ran before: its voters need not abstain at first
	Views          bool          // package membership decides who is a member, and memberlist only carries messages
	Versions       bool          // members exchange which versions they apply; only with Views
	RolloutTimeout time.Duration // how long adopting a version may take before a member counts as lagging

	MaxDeadline  time.Duration // the longest deadline of a keyed class
	KeyRetention time.Duration // the longest time for which anything is remembered of an attempt

	ProbeInterval time.Duration // between two probes of a member; zero: one second
	Log           *slog.Logger
	// OnQuotaChange is called when this instance's part of the limits changes. It must not block.
	OnQuotaChange func(Quota)
	// AppliedVersions returns what this instance applies, except what the fleet knows itself; nil: it applies nothing yet. It
	// is called a few times a second where versions are exchanged, one call at a time, and must not block.
	AppliedVersions func() []version.Entry
	// Transport carries the packets; nil: UDP and TCP on Listen.
	Transport memberlist.NodeAwareTransport
}

const (
	// lostMemberHold is how long a lost member's part is reserved: at least until its suspicion has spread.
	lostMemberHold = 15 * time.Second
	// rejoinInterval is how often an instance that reaches nobody contacts its seeds, on average.
	rejoinInterval = 2 * time.Second
	// handoffQueueDepth bounds the packets received and not handled yet.
	handoffQueueDepth = 8192
	// deadNodeReclaimTime is how long a dead member's name is reserved for its address.
	deadNodeReclaimTime = time.Second
	// pushPullProbes is how many probe intervals lie between two exchanges of the full state.
	pushPullProbes = 10
)

// Fleet is a running instance. All its methods may be called from any goroutine.
type Fleet struct {
	options    Options
	log        *slog.Logger
	process    uint64 // the incarnation: drawn at the start, so that a restarted instance is another one
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

	membership *membershipHost  // nil: memberlist decides who is a member
	applied    *appliedVersions // nil: versions are not exchanged

	keyOwnership
}

// Start starts an instance and joins its fleet. Seeds that cannot be reached are contacted again for as long as it runs.
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
		return fmt.Errorf("fleet: %w", err)
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

// Update applies the keyring and the voters of new options. Other changes wait for a restart, and the log says so. After an
// error nothing has changed.
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
		f.log.Warn("restart needed for the rest of the fleet block, and for keyed classes with longer times")
	}
	return nil
}

// needsRestart reports whether options have changed that a running instance cannot apply.
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
		return errors.New("fleet: no key: packets are always encrypted")
	}
	for _, key := range keys {
		if err := memberlist.ValidateKey(key); err != nil {
			return fmt.Errorf("fleet: key: %w", err)
		}
	}
	return nil
}

// RotateKeys sets a new keyring. To replace a key without an interruption, the new key is first added behind the old one on
// all instances, then put before it, and then the old one is removed.
func (f *Fleet) RotateKeys(keys [][]byte) error {
	if err := checkKeys(keys); err != nil {
		return err
	}
	for _, key := range keys {
		if err := f.keyring.AddKey(key); err != nil {
			return fmt.Errorf("fleet: key: %w", err)
		}
	}
	if err := f.keyring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("fleet: key: %w", err)
	}
	for _, key := range f.keyring.GetKeys() {
		if slices.ContainsFunc(keys, func(k []byte) bool { return bytes.Equal(k, key) }) {
			continue
		}
		if err := f.keyring.RemoveKey(key); err != nil {
			return fmt.Errorf("fleet: key: %w", err)
		}
	}
	return nil
}

// Leave announces that this instance leaves, and closes it. It returns within the timeout.
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

// Close ends the instance at once: the others see it as lost.
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

// isClosed reports whether the instance has ended.
func (f *Fleet) isClosed() bool {
	select {
	case <-f.closed:
		return true
	default:
		return false
	}
}
