package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"silvertrail/internal/fleet/membership"
	"silvertrail/internal/fleet/partition"
)

// membershipHost is the host of package membership: it tells it the time and what others say, carries what it raises, and keeps
// what the rest of the fleet reads in step with the view. Memberlist is left with its packets, streams and keys.
type membershipHost struct {
	fleet    *Fleet
	epoch    time.Time
	outgoing chan membership.Envelope

	mu           sync.Mutex // of core
	core         *membership.Core
	stateSince   map[string]time.Time // of each member's state
	minimalQuota bool
}

const (
	// minimalQuotaInstances is among how many instances one counts itself that must take as good as nothing: the others may have
	// taken its part over.
	minimalQuotaInstances = 1 << 12
	maxQueuedMessages     = 8192 // messages on their way out; more are dropped, as any may be
	maxDatagramBytes      = 1000 // bytes; what is longer goes as a stream
)

func (f *Fleet) startMembership(c *memberlist.Config) error {
	now := time.Now()
	ip, port, err := c.Transport.FinalAdvertiseAddr(c.AdvertiseAddr, c.AdvertisePort)
	if err != nil {
		return err
	}
	me := membership.Member{Name: f.options.Name, Address: net.JoinHostPort(ip.String(), strconv.Itoa(port)), Incarnation: f.process}
	o := membership.Options{Self: me, Seeds: slices.Clone(f.options.Seeds), HeartbeatInterval: f.options.ProbeInterval / 2, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	o.Bootstrap = len(o.Seeds) == 0 || slices.Contains(o.Seeds, me.Address)
	f.membership = &membershipHost{fleet: f, epoch: now.Add(-time.Hour), outgoing: make(chan membership.Envelope, maxQueuedMessages), core: membership.New(o), stateSince: map[string]time.Time{}, minimalQuota: true}
	return nil
}

// now is the module's clock. It begins at an hour, so that what was long ago at the start is so.
func (v *membershipHost) now() time.Duration { return time.Since(v.epoch) }

// run lets time pass.
func (v *membershipHost) run() {
	every := time.NewTicker(v.core.TickInterval())
	defer every.Stop()
	for {
		v.update(func(now time.Duration) { v.core.Tick(now) })
		select {
		case <-every.C:
		case <-v.fleet.closed:
			return
		}
	}
}

// receive takes a message.
func (v *membershipHost) receive(m *membership.Message) {
	v.update(func(now time.Duration) { v.core.Receive(now, m) })
}

// update lets the module do something, and takes what it raises.
func (v *membershipHost) update(something func(now time.Duration)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	something(v.now())
	out, changes := v.core.Ready()
	for _, s := range out {
		select {
		case v.outgoing <- s:
		default:
		}
	}
	for _, c := range changes {
		v.handleChange(c)
	}
	v.updateQuota()
}

// handleChange logs what has changed, and has the members' addresses follow the view. The caller holds the lock.
func (v *membershipHost) handleChange(c membership.Change) {
	f := v.fleet
	switch {
	case c.View != nil:
		names := []string{}
		for _, m := range c.View.Members {
			names = append(names, m.Name)
		}
		f.log.Info("view", "number", c.View.Number, "lineage", c.View.Lineage, "hash", c.View.Hash(), "members", strings.Join(names, " "))
		f.updateAddresses(c.View)
	case c.Removed:
		f.log.Warn("in no view", "why", c.Reason)
	case c.NameTaken:
		f.log.Error("another process has this name in the fleet, and stays: give this one another name", "name", f.options.Name)
	case c.Violation != "":
		f.log.Error("membership broken", "how", c.Violation)
	default:
		v.stateSince[c.Member.Name] = time.Now()
		f.log.Info("member", "name", c.Member.Name, "state", c.State.String(), "by", strings.Join(c.UnreachableFrom, " "), "address", c.Member.Address)
	}
}

// updateQuota tells of this instance's part where it has changed. The caller holds the lock.
func (v *membershipHost) updateQuota() {
	quota := v.core.Quota(v.now())
	n, place, safe := quota.Members, quota.Index, quota.Minimal
	if safe {
		n, place = minimalQuotaInstances, 0
	}
	if safe != v.minimalQuota {
		v.minimalQuota = safe
		v.fleet.log.Info("shares", "safe", safe)
	}
	f := v.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if is := [2]int{n, place}; is != f.quota && !f.isClosed() {
		f.quota = is
		f.log.Info("shares", "instances", n, "place", place)
		if f.options.OnQuotaChange != nil {
			f.options.OnQuotaChange(n, place)
		}
	}
}

// updateAddresses keeps where members are found: those of the view, and those that were so lately, as what was begun with them goes on.
func (f *Fleet) updateAddresses(view *membership.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for name, n := range f.nodes {
		if view.Index(name) < 0 && n.state == partition.Alive {
			n.state, n.since = partition.Dead, now
		}
	}
	for _, m := range view.Members {
		at, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			f.log.Warn("member without an address", "name", m.Name, "address", m.Address)
			continue
		}
		n := f.nodes[m.Name]
		if n == nil {
			if len(f.nodes) >= f.options.MaxMembers && !f.forgetOldestLost() {
				continue
			}
			n = &node{since: now}
			f.nodes[m.Name] = n
		}
		n.state = partition.Alive
		n.Node = memberlist.Node{Name: m.Name, Addr: at.Addr().AsSlice(), Port: at.Port()}
	}
}

// sendLoop sends what is to be sent.
func (v *membershipHost) sendLoop() {
	select {
	case <-v.fleet.started:
	case <-v.fleet.closed:
		return
	}
	for {
		select {
		case s := <-v.outgoing:
			v.send(s)
		case <-v.fleet.closed:
			return
		}
	}
}

func (v *membershipHost) send(s membership.Envelope) {
	v.sendItem(s.To.Name, s.To.Address, item{Membership: s.Message})
}

// sendItem sends something to a member: in a packet, or as a stream where it is long.
func (v *membershipHost) sendItem(name, addr string, what item) {
	text, err := encode(&packet{From: v.fleet.options.Name, Process: v.fleet.process, Items: []item{what}})
	if err != nil {
		v.fleet.log.Error("packet", "error", err)
		return
	}
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return // checked where it came in; of seeds by the configuration
	}
	if len(text) <= maxDatagramBytes {
		if err := v.fleet.memberlist.SendToAddress(memberlist.Address{Addr: addr, Name: name}, text); err != nil {
			v.fleet.log.Debug("packet lost", "to", addr, "error", err)
		}
		return
	}
	to := &memberlist.Node{Name: name, Addr: at.Addr().AsSlice(), Port: at.Port()}
	v.fleet.goroutines.Go(func() {
		if err := v.fleet.memberlist.SendReliable(to, text); err != nil {
			v.fleet.log.Debug("stream lost", "to", addr, "error", err)
		}
	})
}

// leave says that this instance goes, and waits until it is out, for so long at the most.
func (v *membershipHost) leave(within time.Duration) {
	v.update(func(now time.Duration) { v.core.Leave(now) })
	over := time.After(within)
	look := time.NewTicker(v.core.TickInterval())
	defer look.Stop()
	for {
		v.mu.Lock()
		out := v.core.View() == nil || len(v.core.View().Members) == 1
		v.mu.Unlock()
		if out {
			return
		}
		select {
		case <-look.C:
		case <-over:
			v.fleet.log.Info("leaving untold")
			return
		}
	}
}

// isMinorityPartition tells that this instance is isolated and that too few of the voters are heard for any agreement. Voters that are in
// the same part are: then keys are bound there, whatever the views.
func (v *membershipHost) isMinorityPartition(voters []string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.core.View() != nil && !v.core.IsIsolated() {
		return false
	}
	heard := 0
	for _, name := range voters {
		if v.core.IsReachable(name) {
			heard++
		}
	}
	return v.core.View() != nil && 2*heard <= len(voters)
}

// unreachableVoters returns the voters that are not heard, where the others are a majority.
func (v *membershipHost) unreachableVoters(voters []string) map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]bool{}
	for _, name := range voters {
		if !v.core.IsReachable(name) {
			out[name] = true
		}
	}
	if 2*(len(voters)-len(out)) <= len(voters) {
		return nil
	}
	return out
}

func (v *membershipHost) members() (out []Member) {
	voters := v.fleet.voterNames()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.core.Status() {
		out = append(out, Member{Name: s.Member.Name, Address: s.Member.Address, State: s.State.String(), Since: v.stateSince[s.Member.Name],
			Voter: slices.Contains(voters, s.Member.Name), Self: s.Member.Name == v.fleet.options.Name, UnreachableFrom: s.UnreachableFrom, LossRatio: s.LossRatio})
	}
	return out
}

// ReachabilityView is what an instance knows of who hears whom.
type ReachabilityView struct {
	Number      uint64                 `json:"view"`
	Lineage     uint64                 `json:"lineage"`
	Hash        uint64                 `json:"hash"`
	Members     []string               `json:"members"`
	HasQuorum   bool                   `json:"confirmed"` // a majority of the view has been heard lately, in it
	Isolated    bool                   `json:"isolated"`
	Unreachable map[string][]string    `json:"unheard"` // by member: whom it does not hear; one that is missing has not told
	Diagnoses   []membership.Diagnosis `json:"found"`
}

// Reachability tells who hears whom, as far as this instance knows; ok is false where the fleet does not go by views.
func (f *Fleet) Reachability() (r ReachabilityView, ok bool) {
	v := f.membership
	if v == nil {
		return r, false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if view := v.core.View(); view != nil {
		r.Number, r.Lineage, r.Hash = view.Number, view.Lineage, view.Hash()
		for _, m := range view.Members {
			r.Members = append(r.Members, m.Name)
		}
		r.HasQuorum, r.Isolated = v.core.HasQuorum(), v.core.IsIsolated()
		r.Unreachable, r.Diagnoses = v.core.Reachability()
	}
	return r, true
}
