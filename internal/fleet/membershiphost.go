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

// membershipHost connects package membership to the network and the clock. It passes the time and received messages to the core,
// sends the messages that the core returns, and updates the addresses and the quota after each change of the view. Memberlist
// only provides packets, streams and encryption.
type membershipHost struct {
	fleet    *Fleet
	epoch    time.Time
	outgoing chan membership.Envelope

	mu              sync.Mutex // guards the fields below
	core            *membership.Core
	stateSince      map[string]time.Time // by member
	hasMinimalQuota bool
}

const (
	// minimalQuotaInstances is the number of instances in a minimal quota. It reduces this instance's part to almost nothing,
	// because the other instances may have taken over its part.
	minimalQuotaInstances = 1 << 12
	maxQueuedMessages     = 8192 // messages beyond it are dropped, which the protocol tolerates
	maxDatagramBytes      = 1000 // longer messages are sent over a stream
	// epochAge is the time on the core's clock at the start, so that times before the start are representable.
	epochAge = time.Hour
)

// startMembership creates the membership host. The transport must be open.
func (f *Fleet) startMembership(c *memberlist.Config) error {
	now := time.Now()
	ip, port, err := c.Transport.FinalAdvertiseAddr(c.AdvertiseAddr, c.AdvertisePort)
	if err != nil {
		return err
	}
	self := membership.Member{
		Name:        f.options.Name,
		Address:     net.JoinHostPort(ip.String(), strconv.Itoa(port)),
		Incarnation: f.process,
	}
	seeds := slices.Clone(f.options.Seeds)
	f.membership = &membershipHost{
		fleet:    f,
		epoch:    now.Add(-epochAge),
		outgoing: make(chan membership.Envelope, maxQueuedMessages),
		core: membership.New(membership.Options{
			Self:              self,
			Seeds:             seeds,
			Bootstrap:         len(seeds) == 0 || slices.Contains(seeds, self.Address),
			HeartbeatInterval: f.options.ProbeInterval / 2,
			Rand:              rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		stateSince:      map[string]time.Time{},
		hasMinimalQuota: true,
	}
	return nil
}

// now returns the time on the core's clock.
func (h *membershipHost) now() time.Duration { return time.Since(h.epoch) }

// run ticks the core until the instance is closed.
func (h *membershipHost) run() {
	ticker := time.NewTicker(h.core.TickInterval())
	defer ticker.Stop()
	for {
		h.update(func(now time.Duration) { h.core.Tick(now) })
		select {
		case <-ticker.C:
		case <-h.fleet.closed:
			return
		}
	}
}

// receive passes a message to the core.
func (h *membershipHost) receive(m *membership.Message) {
	h.update(func(now time.Duration) { h.core.Receive(now, m) })
}

// update runs a call to the core, queues the messages that the core returns, and handles its changes.
func (h *membershipHost) update(call func(now time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	call(h.now())
	outgoing, changes := h.core.Ready()
	for _, envelope := range outgoing {
		select {
		case h.outgoing <- envelope:
		default:
		}
	}
	for _, change := range changes {
		h.handleChange(change)
	}
	h.updateQuota()
}

// handleChange logs a change, and updates the members' addresses after a new view. The caller holds the lock.
func (h *membershipHost) handleChange(c membership.Change) {
	log := h.fleet.log
	switch {
	case c.View != nil:
		log.Info("view installed", "number", c.View.Number, "lineage", c.View.Lineage, "hash", c.View.Hash(), "members", strings.Join(memberNames(c.View), " "))
		h.fleet.updateAddresses(c.View)
	case c.Removed:
		log.Warn("removed from the view", "why", c.Reason)
	case c.NameTaken:
		log.Error("instance name is in use by another process in the fleet: configure another name", "name", h.fleet.options.Name)
	case c.Violation != "":
		log.Error("membership invariant violated", "how", c.Violation)
	default:
		h.stateSince[c.Member.Name] = time.Now()
		log.Info("member state changed", "name", c.Member.Name, "state", c.State.String(), "by", strings.Join(c.UnreachableFrom, " "), "address", c.Member.Address)
	}
}

func memberNames(view *membership.View) []string {
	names := make([]string, 0, len(view.Members))
	for _, m := range view.Members {
		names = append(names, m.Name)
	}
	return names
}

// updateQuota sets this instance's quota from the view. The caller holds the lock.
func (h *membershipHost) updateQuota() {
	quota := h.core.Quota(h.now())
	if quota.Minimal {
		quota.Members, quota.Index = minimalQuotaInstances, 0
	}
	f := h.fleet
	if quota.Minimal != h.hasMinimalQuota {
		h.hasMinimalQuota = quota.Minimal
		f.log.Info("minimal quota changed", "safe", quota.Minimal)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isClosed() {
		f.setQuota(Quota{Instances: quota.Members, Index: quota.Index})
	}
}

// updateAddresses records the addresses of the members of the view. The addresses of former members are kept until their room
// is needed, because messages are still exchanged with them.
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
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			f.log.Warn("invalid member address", "name", m.Name, "address", m.Address)
			continue
		}
		n := f.nodes[m.Name]
		if n == nil {
			if !f.hasRoom() {
				continue
			}
			n = &node{since: now}
			f.nodes[m.Name] = n
		}
		n.state = partition.Alive
		n.Node = nodeAt(m.Name, address)
	}
}

func nodeAt(name string, address netip.AddrPort) memberlist.Node {
	return memberlist.Node{Name: name, Addr: address.Addr().AsSlice(), Port: address.Port()}
}

// sendLoop sends the messages of the core until the instance is closed.
func (h *membershipHost) sendLoop() {
	if !h.fleet.awaitStart() {
		return
	}
	for {
		select {
		case envelope := <-h.outgoing:
			h.sendItem(envelope.To.Name, envelope.To.Address, item{Membership: envelope.Message})
		case <-h.fleet.closed:
			return
		}
	}
}

// sendItem sends a message to an address: in a packet if it has at most maxDatagramBytes, else over a stream.
func (h *membershipHost) sendItem(name, address string, i item) {
	f := h.fleet
	encoded, err := f.encodePacket(i)
	if err != nil {
		f.log.Error("packet not encoded", "error", err)
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return // not expected: addresses are validated when received, and seeds when the configuration is loaded
	}
	if len(encoded) <= maxDatagramBytes {
		if err := f.memberlist.SendToAddress(memberlist.Address{Addr: address, Name: name}, encoded); err != nil {
			f.log.Debug("packet not sent", "to", address, "error", err)
		}
		return
	}
	to := nodeAt(name, parsed)
	f.goroutines.Go(func() {
		if err := f.memberlist.SendReliable(&to, encoded); err != nil {
			f.log.Debug("message not sent over a stream", "to", address, "error", err)
		}
	})
}

// leave announces the departure, and waits until no other member shares a view with this instance, or for the timeout.
func (h *membershipHost) leave(timeout time.Duration) {
	h.update(func(now time.Duration) { h.core.Leave(now) })
	expired := time.After(timeout)
	ticker := time.NewTicker(h.core.TickInterval())
	defer ticker.Stop()
	for !h.isAlone() {
		select {
		case <-ticker.C:
		case <-expired:
			h.fleet.log.Info("departure not confirmed before the timeout")
			return
		}
	}
}

// isAlone reports whether this instance has no view, or is the only member of its view.
func (h *membershipHost) isAlone() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	view := h.core.View()
	return view == nil || len(view.Members) == 1
}

// isMinorityPartition reports whether this instance is isolated and reaches no majority of the voters. An isolated instance that
// still reaches a majority of the voters can claim keys, whatever its view.
func (h *membershipHost) isMinorityPartition(voters []string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.core.View() == nil || !h.core.IsIsolated() {
		return false
	}
	reachable := 0
	for _, name := range voters {
		if h.core.IsReachable(name) {
			reachable++
		}
	}
	return 2*reachable <= len(voters)
}

// unreachableVoters returns the unreachable voters, or nil if the reachable voters are not a majority.
func (h *membershipHost) unreachableVoters(voters []string) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	unreachable := map[string]bool{}
	for _, name := range voters {
		if !h.core.IsReachable(name) {
			unreachable[name] = true
		}
	}
	if 2*(len(voters)-len(unreachable)) <= len(voters) {
		return nil
	}
	return unreachable
}

// members returns the members of the view, and those that have departed recently.
func (h *membershipHost) members() []Member {
	voters := h.fleet.voterNames()
	h.mu.Lock()
	defer h.mu.Unlock()
	var members []Member
	for _, s := range h.core.Status() {
		members = append(members, Member{
			Name:            s.Member.Name,
			Address:         s.Member.Address,
			State:           s.State.String(),
			Since:           h.stateSince[s.Member.Name],
			Voter:           slices.Contains(voters, s.Member.Name),
			Self:            s.Member.Name == h.fleet.options.Name,
			UnreachableFrom: s.UnreachableFrom,
			LossRatio:       s.LossRatio,
		})
	}
	return members
}

// ReachabilityView describes the view and which members reach each other, as far as this instance knows.
type ReachabilityView struct {
	Number      uint64                 `json:"view"`
	Lineage     uint64                 `json:"lineage"`
	Hash        uint64                 `json:"hash"`
	Members     []string               `json:"members"`
	HasQuorum   bool                   `json:"confirmed"` // a majority of the members of this view has been reachable recently
	Isolated    bool                   `json:"isolated"`
	Unreachable map[string][]string    `json:"unheard"` // by member: the members that it does not reach; a missing member has not reported
	Diagnoses   []membership.Diagnosis `json:"found"`
}

// Reachability returns the view and which members reach each other, as far as this instance knows; ok is false for a fleet
// without views.
func (f *Fleet) Reachability() (r ReachabilityView, ok bool) {
	h := f.membership
	if h == nil {
		return r, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	view := h.core.View()
	if view == nil {
		return r, true
	}
	r = ReachabilityView{
		Number:    view.Number,
		Lineage:   view.Lineage,
		Hash:      view.Hash(),
		Members:   memberNames(view),
		HasQuorum: h.core.HasQuorum(),
		Isolated:  h.core.IsIsolated(),
	}
	r.Unreachable, r.Diagnoses = h.core.Reachability()
	return r, true
}
