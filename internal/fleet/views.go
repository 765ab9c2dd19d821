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
	"silvertrail/internal/fleet/share"
)

// views is the host of package membership: it tells it the time and what others say, carries what it raises, and keeps
// what the rest of the fleet reads in step with the view. Memberlist is left with its packets, streams and keys.
type views struct {
	f     *Fleet
	begun time.Time
	out   chan membership.Envelope

	mu    sync.Mutex // of core
	core  *membership.Core
	since map[string]time.Time // of each member's state
	safe  bool
}

const (
	// safeShare is among how many instances one counts itself that must take as good as nothing: the others may have
	// taken its part over.
	safeShare  = 1 << 12
	viewsQueue = 8192 // messages on their way out; more are dropped, as any may be
	onePacket  = 1000 // bytes; what is longer goes as a stream
)

func (f *Fleet) startViews(c *memberlist.Config) error {
	now := time.Now()
	ip, port, err := c.Transport.FinalAdvertiseAddr(c.AdvertiseAddr, c.AdvertisePort)
	if err != nil {
		return err
	}
	me := membership.Member{Name: f.o.Name, Address: net.JoinHostPort(ip.String(), strconv.Itoa(port)), Incarnation: f.process}
	o := membership.Options{Self: me, Seeds: slices.Clone(f.o.Seeds), HeartbeatInterval: f.o.Probe / 2, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	o.Bootstrap = len(o.Seeds) == 0 || slices.Contains(o.Seeds, me.Address)
	f.views = &views{f: f, begun: now.Add(-time.Hour), out: make(chan membership.Envelope, viewsQueue), core: membership.New(o), since: map[string]time.Time{}, safe: true}
	return nil
}

// now is the module's clock. It begins at an hour, so that what was long ago at the start is so.
func (v *views) now() time.Duration { return time.Since(v.begun) }

// run lets time pass.
func (v *views) run() {
	every := time.NewTicker(v.core.TickInterval())
	defer every.Stop()
	for {
		v.do(func(now time.Duration) { v.core.Tick(now) })
		select {
		case <-every.C:
		case <-v.f.done:
			return
		}
	}
}

// hear takes a message.
func (v *views) hear(m *membership.Message) {
	v.do(func(now time.Duration) { v.core.Receive(now, m) })
}

// do lets the module do something, and takes what it raises.
func (v *views) do(something func(now time.Duration)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	something(v.now())
	out, changes := v.core.Ready()
	for _, s := range out {
		select {
		case v.out <- s:
		default:
		}
	}
	for _, c := range changes {
		v.note(c)
	}
	v.share()
}

// note logs what has changed, and has the members' addresses follow the view. The caller holds the lock.
func (v *views) note(c membership.Change) {
	f := v.f
	switch {
	case c.View != nil:
		names := []string{}
		for _, m := range c.View.Members {
			names = append(names, m.Name)
		}
		f.log.Info("view", "number", c.View.Number, "lineage", c.View.Lineage, "hash", c.View.Hash(), "members", strings.Join(names, " "))
		f.reach(c.View)
	case c.Removed:
		f.log.Warn("in no view", "why", c.Reason)
	case c.NameTaken:
		f.log.Error("another process has this name in the fleet, and stays: give this one another name", "name", f.o.Name)
	case c.Violation != "":
		f.log.Error("membership broken", "how", c.Violation)
	default:
		v.since[c.Member.Name] = time.Now()
		f.log.Info("member", "name", c.Member.Name, "state", c.State.String(), "by", strings.Join(c.UnreachableFrom, " "), "address", c.Member.Address)
	}
}

// share tells of this instance's part where it has changed. The caller holds the lock.
func (v *views) share() {
	n, place, safe := v.core.Quota(v.now())
	if safe {
		n, place = safeShare, 0
	}
	if safe != v.safe {
		v.safe = safe
		v.f.log.Info("shares", "safe", safe)
	}
	f := v.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if is := [2]int{n, place}; is != f.shares && !f.over() {
		f.shares = is
		f.log.Info("shares", "instances", n, "place", place)
		if f.o.Shares != nil {
			f.o.Shares(n, place)
		}
	}
}

// reach keeps where members are found: those of the view, and those that were so lately, as what was begun with them goes on.
func (f *Fleet) reach(view *membership.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for name, n := range f.nodes {
		if view.Index(name) < 0 && n.state == share.Alive {
			n.state, n.since = share.Dead, now
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
			if len(f.nodes) >= f.o.Members && !f.reap() {
				continue
			}
			n = &node{since: now}
			f.nodes[m.Name] = n
		}
		n.state = share.Alive
		n.Node = memberlist.Node{Name: m.Name, Addr: at.Addr().AsSlice(), Port: at.Port()}
	}
}

// carry sends what is to be sent.
func (v *views) carry() {
	select {
	case <-v.f.ready:
	case <-v.f.done:
		return
	}
	for {
		select {
		case s := <-v.out:
			v.send(s)
		case <-v.f.done:
			return
		}
	}
}

func (v *views) send(s membership.Envelope) {
	v.carryTo(s.To.Name, s.To.Address, item{Word: s.Message})
}

// carryTo sends something to a member: in a packet, or as a stream where it is long.
func (v *views) carryTo(name, addr string, what item) {
	text, err := encode(&packet{From: v.f.o.Name, Process: v.f.process, Items: []item{what}})
	if err != nil {
		v.f.log.Error("packet", "error", err)
		return
	}
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return // checked where it came in; of seeds by the configuration
	}
	if len(text) <= onePacket {
		if err := v.f.list.SendToAddress(memberlist.Address{Addr: addr, Name: name}, text); err != nil {
			v.f.log.Debug("packet lost", "to", addr, "error", err)
		}
		return
	}
	to := &memberlist.Node{Name: name, Addr: at.Addr().AsSlice(), Port: at.Port()}
	v.f.wait.Go(func() {
		if err := v.f.list.SendReliable(to, text); err != nil {
			v.f.log.Debug("stream lost", "to", addr, "error", err)
		}
	})
}

// leave says that this instance goes, and waits until it is out, for so long at the most.
func (v *views) leave(within time.Duration) {
	v.do(func(now time.Duration) { v.core.Leave(now) })
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
			v.f.log.Info("leaving untold")
			return
		}
	}
}

// cut tells that this instance is isolated and that too few of the voters are heard for any agreement. Voters that are in
// the same part are: then keys are bound there, whatever the views.
func (v *views) cut(voters []string) bool {
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

// unheard returns the voters that are not heard, where the others are a majority.
func (v *views) unheard(voters []string) map[string]bool {
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

func (v *views) members() (out []Member) {
	voters := v.f.voterNames()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.core.Status() {
		out = append(out, Member{Name: s.Member.Name, Address: s.Member.Address, State: s.State.String(), Since: v.since[s.Member.Name],
			Voter: slices.Contains(voters, s.Member.Name), Me: s.Member.Name == v.f.o.Name, By: s.UnreachableFrom, Loss: s.LossRatio})
	}
	return out
}

// ReachView is what an instance knows of who hears whom.
type ReachView struct {
	Number    uint64                 `json:"view"`
	Lineage   uint64                 `json:"lineage"`
	Hash      uint64                 `json:"hash"`
	Members   []string               `json:"members"`
	Confirmed bool                   `json:"confirmed"` // a majority of the view has been heard lately, in it
	Isolated  bool                   `json:"isolated"`
	Unheard   map[string][]string    `json:"unheard"` // by member: whom it does not hear; one that is missing has not told
	Found     []membership.Diagnosis `json:"found"`
}

// Reach tells who hears whom, as far as this instance knows; ok is false where the fleet does not go by views.
func (f *Fleet) Reach() (r ReachView, ok bool) {
	v := f.views
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
		r.Confirmed, r.Isolated = v.core.HasQuorum(), v.core.IsIsolated()
		r.Unheard, r.Found = v.core.Reachability()
	}
	return r, true
}
