package admission

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model checks a Controller under random events. It computes all counts anew from the connections that the test has seen, and checks each
// verdict against the documented rules of the package.
type model struct {
	t               *rapid.T
	controller      *Controller
	policy          Policy
	now             time.Time
	conns           []*Conn // open connections: with a slot, waiting, or identifying
	capacityReduced bool    // the capacity may be below the policy's, after a reduction or a policy update
	policyUpdated   bool    // limits may be exceeded by connections admitted under an earlier policy
}

var addrs = []netip.Addr{netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2"), netip.MustParseAddr("::ffff:10.0.0.1"),
	netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.1.0.2"), netip.MustParseAddr("10.2.0.1"), netip.MustParseAddr("2001:db8::1"),
	netip.MustParseAddr("2001:db8::ffff:2"), netip.MustParseAddr("2001:db8:0:1::1"), netip.MustParseAddr("10.9.0.1")}

func drawPolicy(t *rapid.T) Policy {
	p := Policy{IPv4Bits: 32, IPv6Bits: 64, RequestGrace: 300 * time.Millisecond,
		IdleProtection: time.Duration(rapid.IntRange(0, 2).Draw(t, "idle protection seconds")) * time.Second,
		Groups: []Group{{Name: DefaultGroupName, MaxPerSource: rapid.SampledFrom([]int{0, 0, 3}).Draw(t, "max per source")},
			{Name: "known", Networks: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}, CertificateNames: []string{"known", "*.known"},
				Reserve: rapid.IntRange(0, 4).Draw(t, "reserve")},
			{Name: "shared", Networks: []netip.Prefix{netip.MustParsePrefix("10.2.0.1/32")}, Weight: 8,
				Reserve:  rapid.IntRange(0, 2).Draw(t, "shared reserve"),
				MaxConns: rapid.SampledFrom([]int{0, 3}).Draw(t, "max connections")},
			{Name: "bad", Networks: []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}, CertificateNames: []string{"bad"},
				Deny: rapid.Bool().Draw(t, "deny")}}}
	if rapid.IntRange(0, 3).Draw(t, "rate limited") == 0 {
		p.Groups[0].Rate, p.Groups[0].Burst = 5, 3
	}
	if rapid.Bool().Draw(t, "may wait") {
		p.MaxWait, p.MaxWaiting = 200*time.Millisecond, 2
	}
	p.FreeFactor = rapid.SampledFrom([]float64{0, 0.5, 2}).Draw(t, "free factor")
	p.Capacity = rapid.IntRange(6, 12).Draw(t, "capacity")
	if p.Groups[2].MaxConns > 0 {
		p.Groups[2].Reserve = min(p.Groups[2].Reserve, p.Groups[2].MaxConns)
	}
	return p
}

// expectedGroup returns the group of a connection by its certificate names, or else by its address. It does not use the controller's index.
func (m *model) expectedGroup(c *Conn) string {
	for _, n := range c.certificateNames {
		switch strings.ToLower(n) {
		case "known", "a.known":
			return "known"
		case "bad":
			return "bad"
		}
	}
	return m.groupOfAddress(c.addr)
}

func (m *model) groupOfAddress(a netip.Addr) string {
	a = a.Unmap()
	for _, g := range m.policy.Groups[1:] {
		for _, n := range g.Networks {
			if n.Contains(a) {
				return g.Name
			}
		}
	}
	return DefaultGroupName
}

func sourcePrefix(a netip.Addr) netip.Prefix {
	a = a.Unmap()
	if a.Is4() {
		return netip.PrefixFrom(a, 32)
	}
	p, _ := a.Prefix(64)
	return p
}

func (m *model) group(name string) Group {
	return m.policy.Groups[slices.IndexFunc(m.policy.Groups, func(g Group) bool { return g.Name == name })]
}

// slotsInUse counts the slots of a group, or of all groups if the name is empty. With a valid prefix it counts only that source's.
func (m *model) slotsInUse(name string, s netip.Prefix) (n int) {
	for _, c := range m.conns {
		if c.source != nil && (name == "" || c.source.group.Name == name) && (!s.IsValid() || sourcePrefix(c.addr) == s) {
			n++
		}
	}
	return n
}

func (m *model) unreservedInUse() (n int) {
	for _, g := range m.policy.Groups {
		n += max(m.slotsInUse(g.Name, netip.Prefix{})-g.Reserve, 0)
	}
	return n
}

func (m *model) reservedSlots() (n int) {
	for _, g := range m.policy.Groups {
		n += g.Reserve
	}
	return n
}

func (m *model) weightedLoad(c *Conn) float64 {
	g := c.source.group
	return float64(m.slotsInUse(g.Name, sourcePrefix(c.addr))) / g.weight()
}

// removeConn removes a connection that the controller has closed or rejected.
func (m *model) removeConn(c *Conn) {
	i := slices.Index(m.conns, c)
	if i < 0 {
		m.t.Fatalf("connection from %v was closed twice, or is unknown to the model", c.addr)
	}
	m.conns = slices.Delete(m.conns, i, i+1)
}

// snapshot is the state before an event, against which the verdict is checked.
type snapshot struct {
	groupInUse, sourceInUse, unreservedInUse int
	evictableLoads                           map[*Conn]float64 // weighted loads of the idle connections that may be evicted
	states                                   map[*Conn]state
	groupNames                               map[*Conn]string
	pastIdleGrace                            bool // false: a used connection of the highest load is within idleGrace, so possibly none may be evicted
}

// takeSnapshot records the state before a connection from an address needs a slot in a group.
func (m *model) takeSnapshot(name string, a netip.Addr) snapshot {
	result := snapshot{groupInUse: m.slotsInUse(name, netip.Prefix{}), sourceInUse: m.slotsInUse(name, sourcePrefix(a)),
		unreservedInUse: m.unreservedInUse(), evictableLoads: map[*Conn]float64{}, states: map[*Conn]state{}, groupNames: map[*Conn]string{}}
	m.controller.expireGrace(m.now)
	for _, c := range m.conns {
		result.states[c] = c.state
		if c.source != nil {
			result.groupNames[c] = c.source.group.Name
		}
		if c.source != nil && c.state == idle &&
			(c.source.group.Name == name || m.slotsInUse(c.source.group.Name, netip.Prefix{}) > c.source.group.Reserve) {
			result.evictableLoads[c] = m.weightedLoad(c)
		}
	}
	highest := -1.0
	for _, load := range result.evictableLoads {
		highest = max(highest, load)
	}
	result.pastIdleGrace = true
	for c, load := range result.evictableLoads {
		if load == highest && !c.neverUsed && m.now.Sub(c.since) < idleGrace {
			result.pastIdleGrace = false
		}
	}
	return result
}

// checkVerdict checks a verdict on a connection that needs a slot in a group against the package's rules.
func (m *model) checkVerdict(before snapshot, name string, a netip.Addr, v Verdict) {
	g := m.group(name)
	if v.Evict != nil && before.states[v.Evict] != idle && before.states[v.Evict] != identifying {
		m.t.Fatalf("evicted a connection in state %d, want an idle or identifying one", before.states[v.Evict])
	}
	if v.Evict != nil && before.states[v.Evict] == idle {
		if _, evictable := before.evictableLoads[v.Evict]; !evictable {
			m.t.Fatalf("a connection of group %s evicted one of group %s, which holds no more than its reserve", name, m.expectedGroup(v.Evict))
		}
	}
	atLimit := g.MaxPerSource > 0 && before.sourceInUse >= g.MaxPerSource || g.MaxConns > 0 && before.groupInUse >= g.MaxConns
	switch {
	case v.Rejected && (v.Reason == RateExceeded || v.Reason == Denied):
		return
	case !v.Rejected && !v.MustIdentify && !v.Waiting && v.Evict == nil && atLimit:
		m.t.Fatalf("a connection of group %s was admitted beyond the limit of its group or source", name)
	case !v.Rejected && !v.MustIdentify && !v.Waiting && v.Evict == nil && !m.capacityReduced &&
		before.groupInUse >= g.Reserve && m.policy.FreeFactor > 0 &&
		float64(before.sourceInUse+1)/g.weight() > m.policy.FreeFactor*float64(m.policy.Capacity-m.reservedSlots()-before.unreservedInUse):
		m.t.Fatalf("a source of group %s with %d slots got one more, beyond its share", name, before.sourceInUse)
	case v.Evict != nil && before.states[v.Evict] == idle && !atLimit:
		newLoad := float64(before.sourceInUse+1) / g.weight()
		// A source beyond its share evicts its own connections.
		sameSource := sourcePrefix(v.Evict.addr) == sourcePrefix(a) && before.groupNames[v.Evict] == name
		for c, load := range before.evictableLoads {
			if load > before.evictableLoads[v.Evict] && m.policy.IdleProtection == 0 && !sameSource {
				m.t.Fatalf("evicted a connection of weighted load %v, though one of %v (%v) was idle", before.evictableLoads[v.Evict], load, c.addr)
			}
		}
		if before.evictableLoads[v.Evict] < newLoad && m.policy.IdleProtection > 0 && !sameSource &&
			m.now.Sub(v.Evict.since) < m.policy.IdleProtection && !v.Evict.neverUsed {
			m.t.Fatalf("a source of weighted load %v evicted a connection of load %v within IdleProtection", newLoad, before.evictableLoads[v.Evict])
		}
	case v.Waiting && (before.sourceInUse > 0 || atLimit):
		m.t.Fatalf("a connection of a source of group %s with %d slots may wait, want only sources without a slot and below their limits",
			name, before.sourceInUse)
	case (v.Rejected || v.Waiting) && !atLimit:
		if before.groupInUse < g.Reserve {
			m.t.Fatalf("a connection of group %s was rejected (%v) with %d of %d reserved slots in use", name, v.Reason, before.groupInUse, g.Reserve)
		}
		free, newLoad := m.policy.Capacity-m.reservedSlots()-before.unreservedInUse, float64(before.sourceInUse+1)/g.weight()
		if before.groupInUse >= g.Reserve && free > 0 && m.policy.FreeFactor > 0 && newLoad > m.policy.FreeFactor*float64(free) {
			if v.Reason != SourceFull && v.Reason != Unidentified && !m.capacityReduced {
				m.t.Fatalf("a source beyond its share was rejected with reason %v", v.Reason)
			}
			return
		}
		if m.capacityReduced && m.policy.FreeFactor > 0 && (v.Reason == SourceFull || v.Reason == Unidentified) {
			return // fewer slots are free than by the policy
		}
		if !m.capacityReduced && free > 0 {
			m.t.Fatalf("a connection of group %s was rejected (%v) with %d of %d unreserved slots in use",
				name, v.Reason, before.unreservedInUse, m.policy.Capacity-m.reservedSlots())
		}
		for c, load := range before.evictableLoads {
			if (load >= float64(before.sourceInUse+1)/g.weight() || m.policy.IdleProtection == 0) &&
				(m.policy.IdleProtection == 0 || before.pastIdleGrace) {
				m.t.Fatalf("a connection of group %s was rejected though one from %v of weighted load %v was idle", name, c.addr, load)
			}
		}
	}
}

// checkInvariants compares the counts, lists and heaps of the controller with those computed from the connections.
func (m *model) checkInvariants() {
	controller := m.controller
	if len(controller.conns) != len(m.conns) {
		m.t.Fatalf("the controller has %d connections, want %d", len(controller.conns), len(m.conns))
	}
	if controller.inUse != m.slotsInUse("", netip.Prefix{}) || controller.unreservedInUse != m.unreservedInUse() {
		m.t.Fatalf("slots in use %d, unreserved %d; want %d, %d",
			controller.inUse, controller.unreservedInUse, m.slotsInUse("", netip.Prefix{}), m.unreservedInUse())
	}
	if !m.policyUpdated && (controller.inUse > m.policy.Capacity || m.unreservedInUse() > m.policy.Capacity-m.reservedSlots()) {
		m.t.Fatalf("%d slots in use, %d of them unreserved, exceed the capacity of %d or its unreserved part",
			controller.inUse, m.unreservedInUse(), m.policy.Capacity)
	}
	identifyingCount, waitingCount := 0, 0
	for _, c := range m.conns {
		if c.state == identifying {
			identifyingCount++
			continue
		}
		if c.state == waiting {
			waitingCount++
			if c.source != nil || c.waitingSource == nil ||
				m.slotsInUse(c.waitingSource.group.Name, sourcePrefix(c.addr)) != c.waitingSource.inUse {
				m.t.Fatal("a waiting connection holds a slot, has no source to wait for, or its source's count is wrong")
			}
			continue
		}
		if want := m.expectedGroup(c); c.source.group.Name != want && !(want == "known" && m.groupOfAddress(c.addr) != "known") && want != "bad" {
			m.t.Fatalf("connection from %v with certificate names %v is in the wrong group %s", c.addr, c.certificateNames, c.source.group.Name)
		}
	}
	if identifyingCount != controller.identifyingCount || identifyingCount > m.policy.MaxIdentifying() && !m.policyUpdated {
		m.t.Fatalf("%d connections identifying; the controller counts %d, at most %d allowed",
			identifyingCount, controller.identifyingCount, m.policy.MaxIdentifying())
	}
	if waitingCount != controller.waitingCount || waitingCount > m.policy.MaxWaiting && !m.policyUpdated {
		m.t.Fatalf("%d connections waiting; the controller counts %d, at most %d allowed",
			waitingCount, controller.waitingCount, m.policy.MaxWaiting)
	}
	for k, s := range controller.sources {
		inUse, idleCount := 0, 0
		for _, c := range m.conns {
			if c.source == s {
				inUse++
				if c.state == idle {
					idleCount++
				}
			}
		}
		for _, c := range []*Conn{s.idle.neverUsed.first, s.idle.used.first} {
			for ; c != nil; c = c.links[primaryList].next {
				idleCount--
				if next := c.links[primaryList].next; next != nil && (next.since.Before(c.since) || next.neverUsed != c.neverUsed) {
					m.t.Fatal("idle connections are out of the order of eviction")
				}
			}
		}
		if inUse != s.inUse || idleCount != 0 || (s.heapIndex >= 0) != (s.idle.first() != nil) || inUse == 0 && s.rate == nil && s.waiting == 0 {
			m.t.Fatalf("source %v: the controller counts %d connections, want %d; %d more idle than listed, heap index %d",
				k, s.inUse, inUse, idleCount, s.heapIndex)
		}
	}
	for _, g := range controller.groups {
		for _, s := range g.idleSources {
			if s.weightedLoad() > g.idleSources[0].weightedLoad() {
				m.t.Fatal("the source with the highest weighted load is not first in the heap")
			}
		}
	}
}

// admitWaiting calls AdmitWaiting until it admits no connection. It checks that connections are admitted in their order, and that the first
// one is left waiting only if a new connection in its place would have been rejected.
func (m *model) admitWaiting() {
	for {
		first := m.controller.waiting.first
		if first == nil {
			return
		}
		for _, c := range m.conns {
			if c.state == waiting && c.since.Before(first.since) {
				m.t.Fatal("the list of waiting connections is out of order")
			}
		}
		name := first.waitingSource.group.Name
		before := m.takeSnapshot(name, first.addr)
		inUse := m.controller.inUse
		admitted, evicted := m.controller.AdmitWaiting(m.now)
		for _, c := range evicted {
			if before.states[c] != idle {
				m.t.Fatalf("evicted a connection in state %d for a waiting one, want an idle one", before.states[c])
			}
			m.removeConn(c)
		}
		if m.controller.inUse != inUse+len(admitted)-len(evicted) {
			m.t.Fatal("slots in use do not match the admitted and evicted connections")
		}
		if len(admitted) == 0 {
			if m.group(name).Deny {
				return
			}
			m.checkVerdict(before, name, first.addr, Verdict{Rejected: true, Reason: SourceFull})
			return
		}
		if admitted[0] != first {
			m.t.Fatal("the connection that has waited longest was not admitted first")
		}
	}
}

// Random sequences of connections, requests, certificates, policy updates and capacity reductions must not break the rules of admission, nor
// leave a count, list or heap of the controller wrong. No connection that carries a request may be evicted.
func TestRandomEventsKeepAdmissionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, policy: drawPolicy(t), now: time.Unix(1e9, 0)}
		m.controller = New(m.policy, m.now)
		pick := func(states ...state) *Conn {
			var candidates []*Conn
			for _, c := range m.conns {
				if slices.Contains(states, c.state) {
					candidates = append(candidates, c)
				}
			}
			if len(candidates) == 0 {
				t.Skip("no connection in these states")
			}
			return rapid.SampledFrom(candidates).Draw(t, "conn")
		}
		recordVerdict := func(v Verdict) {
			if v.Evict != nil {
				m.removeConn(v.Evict)
			}
			if v.Conn != nil && !slices.Contains(m.conns, v.Conn) {
				m.conns = append(m.conns, v.Conn)
			}
		}
		admit := func(t *rapid.T) {
			a := rapid.SampledFrom(addrs).Draw(t, "addr")
			name := m.groupOfAddress(a)
			before := m.takeSnapshot(name, a)
			v := m.controller.Admit(m.now, a, rapid.Bool().Draw(t, "TLS"), nil)
			if v.Rejected == (v.Conn != nil) || v.Rejected && v.Reason != Denied && v.RetryAfter <= 0 ||
				m.group(name).Deny != (v.Rejected && v.Reason == Denied) {
				t.Fatalf("inconsistent verdict on a new connection: %+v", v)
			}
			if !v.MustIdentify {
				m.checkVerdict(before, name, a, v)
			}
			recordVerdict(v)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {
				m.admitWaiting()
				m.checkInvariants()
			},
			"expire wait": func(t *rapid.T) {
				c := pick(waiting)
				if v := m.controller.ExpireWait(m.now, c); !v.Rejected || v.RetryAfter <= 0 {
					t.Fatalf("connection after its wait: got %+v, want it rejected with a Retry-After", v)
				}
				m.removeConn(c)
			},
			"admit":  admit,
			"admit2": admit,
			"admit3": admit,
			"identify": func(t *rapid.T) {
				c := pick(identifying, awaitingRequest, handshaking, idle)
				if c.certificateNames != nil {
					t.Skip("has presented its certificate already")
				}
				names := rapid.SampledFrom([][]string{nil, {"other"}, {"known"}, {"x", "A.known"}, {"bad"}}).Draw(t, "names")
				oldState := c.state
				groupName := m.groupOfAddress(c.addr)
				if len(names) > 0 && m.controller.groupIndex != nil {
					if n, ok := m.controller.groupIndex.lookupNames(names); ok {
						groupName = m.policy.Groups[n].Name
					}
				}
				before := m.takeSnapshot(groupName, c.addr)
				v := m.controller.Identify(m.now, c, names)
				if v.Rejected {
					m.removeConn(c)
					if oldState != identifying && v.Reason != Denied {
						t.Fatalf("a connection that held a slot was rejected: %v", v.Reason)
					}
					if !m.group(groupName).Deny {
						m.checkVerdict(before, groupName, c.addr, v)
					}
					return
				}
				if v.Evict == c {
					t.Fatal("a connection was evicted for itself")
				}
				recordVerdict(v)
				if c.state != awaitingRequest && (oldState == handshaking || oldState == identifying) {
					t.Fatalf("connection is in state %d after its handshake, want awaitingRequest", c.state)
				}
			},
			"start request": func(*rapid.T) {
				if c := pick(awaitingRequest, idle); !m.controller.StartRequest(c) {
					t.Fatal("request on an open connection was refused")
				}
			},
			"end request": func(*rapid.T) {
				c := pick(active)
				denied := c.source.group.Deny // by a policy update after its admission
				if open := m.controller.EndRequest(m.now, c); !open {
					m.removeConn(c)
				} else if denied {
					t.Fatal("connection of a denied group stays open after its request")
				}
			},
			"remove": func(*rapid.T) {
				c := pick(awaitingRequest, handshaking, idle, active, identifying, waiting)
				m.controller.Remove(m.now, c)
				m.controller.Remove(m.now, c) // further calls have no effect
				m.removeConn(c)
			},
			"advance time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 100, 400, 3000}).Draw(t, "ms")) * time.Millisecond)
			},
			"reduce capacity": func(*rapid.T) {
				before := m.takeSnapshot("", netip.Addr{})
				for _, c := range m.controller.ReduceCapacity(m.now) {
					if before.states[c] != idle {
						t.Fatal("evicted a connection that was not idle")
					}
					m.removeConn(c)
				}
				m.capacityReduced = true
			},
			"update policy": func(t *rapid.T) {
				m.policy = drawPolicy(t)
				m.controller.expireGrace(m.now)
				before := m.takeSnapshot("", netip.Addr{})
				m.capacityReduced, m.policyUpdated = true, true
				for _, c := range m.controller.Update(m.now, m.policy) {
					if before.states[c] != idle {
						t.Fatal("evicted a connection that was not idle")
					}
					m.removeConn(c)
				}
			},
		})
		for _, c := range slices.Clone(m.conns) { // after this the controller must be empty
			m.controller.Remove(m.now, c)
		}
		m.conns = nil
		m.checkInvariants()
		for _, g := range m.controller.groups {
			if g.inUse+g.active != 0 || g.idle.first() != nil || len(g.idleSources) != 0 {
				t.Fatalf("group %s still has slots, idle connections or sources", g.Name)
			}
		}
	})
}

// A connection has handshakeGrace (1 s) for its handshake, and then RequestGrace for its first request. Only after that may it be evicted for
// a connection of another source.
func TestConnectionIsEvictedOnlyAfterHandshakeAndRequestGrace(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := start.Add
	controller := New(Policy{Capacity: 1, Groups: []Group{{Name: DefaultGroupName}}, IPv4Bits: 32, IPv6Bits: 64, RequestGrace: defaultRequestGrace,
		IdleProtection: time.Second}, start)
	first := controller.Admit(start, addrs[0], true, nil).Conn
	if v := controller.Admit(at(900*time.Millisecond), addrs[1], true, nil); !v.Rejected {
		t.Errorf("new connection during the handshake of the first: got %+v, want it rejected", v)
	}
	if v := controller.Identify(at(950*time.Millisecond), first, nil); v.Conn != first {
		t.Errorf("identification after a slow handshake: got %+v, want the connection to keep its slot", v)
	}
	if v := controller.Admit(at(1200*time.Millisecond), addrs[1], true, nil); !v.Rejected {
		t.Errorf("new connection within the RequestGrace of the first: got %+v, want it rejected", v)
	}
	if v := controller.Admit(at(1300*time.Millisecond), addrs[1], true, nil); v.Evict != first {
		t.Errorf("new connection after the RequestGrace of the first: got %+v, want the first evicted", v)
	}
}

// A rate limit keeps sources without connections in memory. Their number must not exceed maxUnusedSources, and a source must be deleted once
// its rate limiter is full again.
func TestUnusedSourcesAreBoundedAndDeleted(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := Policy{Capacity: 4, Groups: []Group{{Name: DefaultGroupName, Rate: 1, Burst: 2}}, IPv4Bits: 32, IPv6Bits: 64}
	controller := New(p, now)
	for i := range maxUnusedSources + 100 {
		v := controller.Admit(now, netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), false, nil)
		controller.Remove(now, v.Conn)
	}
	if len(controller.sources) != maxUnusedSources {
		t.Errorf("%d sources are kept, want maxUnusedSources", len(controller.sources))
	}
	now = now.Add(2 * time.Second)
	v := controller.Admit(now, netip.MustParseAddr("10.0.0.1"), false, nil)
	controller.Remove(now, v.Conn)
	if len(controller.sources) != 1 || controller.unusedCount != 1 {
		t.Errorf("after the rate limiters are full: %d sources, %d unused; want 1, 1", len(controller.sources), controller.unusedCount)
	}
}

func BenchmarkController(b *testing.B) {
	for _, sources := range []int{1, 1000, 100000} {
		p := Policy{Capacity: sources, Groups: []Group{{Name: DefaultGroupName}}, IPv4Bits: 32, IPv6Bits: 64, IdleProtection: time.Second}
		now := time.Unix(1e9, 0)
		controller := New(p, now)
		var conns []*Conn
		for i := range sources {
			c := controller.Admit(now, netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), false, nil).Conn
			controller.StartRequest(c)
			controller.EndRequest(now, c)
			conns = append(conns, c)
		}
		b.Run(fmt.Sprintf("request/%d", sources), func(b *testing.B) {
			for i := range b.N {
				now = now.Add(time.Microsecond)
				controller.StartRequest(conns[i%sources])
				controller.EndRequest(now, conns[i%sources])
			}
		})
		b.Run(fmt.Sprintf("admit/%d", sources), func(b *testing.B) { // each one evicts an idle connection
			for i := range b.N {
				now = now.Add(2 * idleGrace)
				v := controller.Admit(now, netip.AddrFrom4([4]byte{11, byte(i >> 16), byte(i >> 8), byte(i)}), false, nil)
				if v.Conn == nil {
					b.Fatal(v)
				}
				controller.StartRequest(v.Conn)
				controller.EndRequest(now, v.Conn)
			}
		})
	}
}
