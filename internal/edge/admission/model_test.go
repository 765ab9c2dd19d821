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

// A model that counts everything anew from the connections as the test has seen them, and the rules in the words of the
// package's promises, against whatever happens in whatever order.
type model struct {
	t               *rapid.T
	controller      *Controller
	policy          Policy
	now             time.Time
	conns           []*Conn // that hold a place or prove themselves
	capacityReduced bool    // places are fewer than the policy's, or were
	policyUpdated   bool    // by another policy
}

var addrs = []netip.Addr{netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2"), netip.MustParseAddr("::ffff:10.0.0.1"),
	netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.1.0.2"), netip.MustParseAddr("10.2.0.1"), netip.MustParseAddr("2001:db8::1"),
	netip.MustParseAddr("2001:db8::ffff:2"), netip.MustParseAddr("2001:db8:0:1::1"), netip.MustParseAddr("10.9.0.1")}

func drawPolicy(t *rapid.T) Policy {
	p := Policy{IPv4Bits: 32, IPv6Bits: 64, RequestGrace: 300 * time.Millisecond, IdleProtection: time.Duration(rapid.IntRange(0, 2).Draw(t, "guard")) * time.Second,
		Groups: []Group{{Name: Others, MaxPerSource: rapid.SampledFrom([]int{0, 0, 3}).Draw(t, "source")},
			{Name: "known", Networks: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}, CertificateNames: []string{"known", "*.known"},
				Reserve: rapid.IntRange(0, 4).Draw(t, "reserve")},
			{Name: "shared", Networks: []netip.Prefix{netip.MustParsePrefix("10.2.0.1/32")}, Weight: 8, Reserve: rapid.IntRange(0, 2).Draw(t, "shared"),
				MaxConns: rapid.SampledFrom([]int{0, 3}).Draw(t, "most")},
			{Name: "bad", Networks: []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}, CertificateNames: []string{"bad"}, Deny: rapid.Bool().Draw(t, "deny")}}}
	if rapid.IntRange(0, 3).Draw(t, "rated") == 0 {
		p.Groups[0].Rate, p.Groups[0].Burst = 5, 3
	}
	if rapid.Bool().Draw(t, "line") {
		p.MaxWait, p.MaxWaiting = 200*time.Millisecond, 2
	}
	p.FreeFactor = rapid.SampledFrom([]float64{0, 0.5, 2}).Draw(t, "factor")
	p.Capacity = rapid.IntRange(6, 12).Draw(t, "places")
	if p.Groups[2].MaxConns > 0 {
		p.Groups[2].Reserve = min(p.Groups[2].Reserve, p.Groups[2].MaxConns)
	}
	return p
}

// expectedGroup returns a connection's group by the policy's words alone.
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
	return Others
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

// slotsInUse counts the places of a group, and of a source of it, or of all where the name is empty.
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

// removeConn takes one out that the door has told to end.
func (m *model) removeConn(c *Conn) {
	i := slices.Index(m.conns, c)
	if i < 0 {
		m.t.Fatalf("ended twice, or never there: %v", c.addr)
	}
	m.conns = slices.Delete(m.conns, i, i+1)
}

type snapshot struct {
	groupInUse, sourceInUse, unreservedInUse int
	evictableLoads                           map[*Conn]float64 // those that may give way, and their loads
	states                                   map[*Conn]state
	groupNames                               map[*Conn]string
	pastIdleGrace                            bool // false: one of those with the greatest load has rested just now, so that none may give way
}

func (m *model) takeSnapshot(name string, a netip.Addr) snapshot {
	b := snapshot{groupInUse: m.slotsInUse(name, netip.Prefix{}), sourceInUse: m.slotsInUse(name, sourcePrefix(a)), unreservedInUse: m.unreservedInUse(), evictableLoads: map[*Conn]float64{}, states: map[*Conn]state{}, groupNames: map[*Conn]string{}}
	m.controller.expireGrace(m.now)
	for _, c := range m.conns {
		b.states[c] = c.state
		if c.source != nil {
			b.groupNames[c] = c.source.group.Name
		}
		if c.source != nil && c.state == idle && (c.source.group.Name == name || m.slotsInUse(c.source.group.Name, netip.Prefix{}) > c.source.group.Reserve) {
			b.evictableLoads[c] = m.weightedLoad(c)
		}
	}
	most := -1.0
	for _, load := range b.evictableLoads {
		most = max(most, load)
	}
	b.pastIdleGrace = true
	for c, load := range b.evictableLoads {
		if load == most && !c.neverUsed && m.now.Sub(c.since) < idleGrace {
			b.pastIdleGrace = false
		}
	}
	return b
}

// checkVerdict checks a verdict on one who wants a place in a group against the promises.
func (m *model) checkVerdict(b snapshot, name string, a netip.Addr, v Verdict) {
	g := m.group(name)
	if v.Evict != nil && b.states[v.Evict] != idle && b.states[v.Evict] != identifying {
		m.t.Fatalf("ended one that is in state %d", b.states[v.Evict])
	}
	if v.Evict != nil && b.states[v.Evict] == idle {
		if _, may := b.evictableLoads[v.Evict]; !may {
			m.t.Fatalf("group %s ended one of %s, which holds no more than its reserve", name, m.expectedGroup(v.Evict))
		}
	}
	capped := g.MaxPerSource > 0 && b.sourceInUse >= g.MaxPerSource || g.MaxConns > 0 && b.groupInUse >= g.MaxConns
	switch {
	case v.Rejected && (v.Reason == RateExceeded || v.Reason == Denied):
		return
	case !v.Rejected && !v.MustIdentify && !v.Waiting && v.Evict == nil && capped:
		m.t.Fatalf("%s was let in beyond its bound", name)
	case !v.Rejected && !v.MustIdentify && !v.Waiting && v.Evict == nil && !m.capacityReduced && b.groupInUse >= g.Reserve && m.policy.FreeFactor > 0 &&
		float64(b.sourceInUse+1)/g.weight() > m.policy.FreeFactor*float64(m.policy.Capacity-m.reservedSlots()-b.unreservedInUse):
		m.t.Fatalf("a source of %s with %d places had one more, beyond its share", name, b.sourceInUse)
	case v.Evict != nil && b.states[v.Evict] == idle && !capped:
		own := float64(b.sourceInUse+1) / g.weight()
		mine := sourcePrefix(v.Evict.addr) == sourcePrefix(a) && b.groupNames[v.Evict] == name // whose source may be beyond its share
		for c, load := range b.evictableLoads {
			if load > b.evictableLoads[v.Evict] && m.policy.IdleProtection == 0 && !mine {
				m.t.Fatalf("one of load %v ended and one of %v (%v) did not", b.evictableLoads[v.Evict], load, c.addr)
			}
		}
		if b.evictableLoads[v.Evict] < own && m.policy.IdleProtection > 0 && !mine &&
			m.now.Sub(v.Evict.since) < m.policy.IdleProtection && !v.Evict.neverUsed {
			m.t.Fatalf("a source of load %v took from one of %v within its guard", own, b.evictableLoads[v.Evict])
		}
	case v.Waiting && (b.sourceInUse > 0 || capped):
		m.t.Fatalf("a source of %s with %d places got in line", name, b.sourceInUse)
	case (v.Rejected || v.Waiting) && !capped:
		if b.groupInUse < g.Reserve {
			m.t.Fatalf("%s was refused (%v) with %d of %d reserved places in use", name, v.Reason, b.groupInUse, g.Reserve)
		}
		free, own := m.policy.Capacity-m.reservedSlots()-b.unreservedInUse, float64(b.sourceInUse+1)/g.weight()
		if b.groupInUse >= g.Reserve && free > 0 && m.policy.FreeFactor > 0 && own > m.policy.FreeFactor*float64(free) {
			if v.Reason != SourceFull && v.Reason != Unidentified && !m.capacityReduced {
				m.t.Fatalf("a source beyond its share was refused as %v", v.Reason)
			}
			return
		}
		if m.capacityReduced && m.policy.FreeFactor > 0 && (v.Reason == SourceFull || v.Reason == Unidentified) { // fewer are free than the policy says
			return
		}
		if !m.capacityReduced && free > 0 {
			m.t.Fatalf("%s was refused (%v) where %d of %d were in use", name, v.Reason, b.unreservedInUse, m.policy.Capacity-m.reservedSlots())
		}
		for c, load := range b.evictableLoads {
			if (load >= float64(b.sourceInUse+1)/g.weight() || m.policy.IdleProtection == 0) && (m.policy.IdleProtection == 0 || b.pastIdleGrace) {
				m.t.Fatalf("%s was refused though %v of load %v was idle", name, c.addr, load)
			}
		}
	}
}

// checkInvariants counts everything anew.
func (m *model) checkInvariants() {
	d := m.controller
	if len(d.conns) != len(m.conns) {
		m.t.Fatalf("the door knows %d connections, there are %d", len(d.conns), len(m.conns))
	}
	if d.inUse != m.slotsInUse("", netip.Prefix{}) || d.unreservedInUse != m.unreservedInUse() {
		m.t.Fatalf("held %d, common %d; counted %d, %d", d.inUse, d.unreservedInUse, m.slotsInUse("", netip.Prefix{}), m.unreservedInUse())
	}
	if !m.policyUpdated && (d.inUse > m.policy.Capacity || m.unreservedInUse() > m.policy.Capacity-m.reservedSlots()) {
		m.t.Fatalf("%d held, %d common, of %d places", d.inUse, m.unreservedInUse(), m.policy.Capacity)
	}
	provers, inLine := 0, 0
	for _, c := range m.conns {
		if c.state == identifying {
			provers++
			continue
		}
		if c.state == waiting {
			inLine++
			if c.source != nil || c.waitingSource == nil || m.slotsInUse(c.waitingSource.group.Name, sourcePrefix(c.addr)) != c.waitingSource.inUse {
				m.t.Fatal("one in line holds a place, or waits for nobody's")
			}
			continue
		}
		if want := m.expectedGroup(c); c.source.group.Name != want && !(want == "known" && m.groupOfAddress(c.addr) != "known") && want != "bad" {
			m.t.Fatalf("%v with %v is of %s", c.addr, c.certificateNames, c.source.group.Name)
		}
	}
	if provers != d.identifyingCount || provers > m.policy.MaxIdentifying() && !m.policyUpdated {
		m.t.Fatalf("%d prove themselves, %d counted, %d may", provers, d.identifyingCount, m.policy.MaxIdentifying())
	}
	if inLine != d.waitingCount || inLine > m.policy.MaxWaiting && !m.policyUpdated {
		m.t.Fatalf("%d in line, %d counted, %d may", inLine, d.waitingCount, m.policy.MaxWaiting)
	}
	for k, s := range d.sources {
		n, idles := 0, 0
		for _, c := range m.conns {
			if c.source == s {
				n++
				if c.state == idle {
					idles++
				}
			}
		}
		for _, c := range []*Conn{s.idle.neverUsed.first, s.idle.used.first} {
			for ; c != nil; c = c.links[primaryList].next {
				idles--
				if next := c.links[primaryList].next; next != nil && (next.since.Before(c.since) || next.neverUsed != c.neverUsed) {
					m.t.Fatal("idle connections out of order")
				}
			}
		}
		if n != s.inUse || idles != 0 || (s.heapIndex >= 0) != (s.idle.first() != nil) || n == 0 && s.rate == nil && s.waiting == 0 {
			m.t.Fatalf("source %v: held %d, counted %d; %d more idle than listed, in heap at %d", k, s.inUse, n, idles, s.heapIndex)
		}
	}
	for _, g := range d.groups {
		for _, s := range g.idleSources {
			if s.weightedLoad() > g.idleSources[0].weightedLoad() {
				m.t.Fatal("the heaviest source is not the first")
			}
		}
	}
}

// admitWaiting gives places to those waiting, in their order, and only where a newcomer in their stead would have had one.
func (m *model) admitWaiting() {
	for {
		first := m.controller.waiting.first
		if first == nil {
			return
		}
		for _, c := range m.conns {
			if c.state == waiting && c.since.Before(first.since) {
				m.t.Fatal("the line is out of order")
			}
		}
		name := first.waitingSource.group.Name
		b := m.takeSnapshot(name, first.addr)
		held := m.controller.inUse
		taken, evicted := m.controller.AdmitWaiting(m.now)
		for _, c := range evicted {
			if b.states[c] != idle {
				m.t.Fatalf("ended one in state %d for the line", b.states[c])
			}
			m.removeConn(c)
		}
		if m.controller.inUse != held+len(taken)-len(evicted) {
			m.t.Fatal("more was given than there was")
		}
		if len(taken) == 0 {
			if m.group(name).Deny {
				return
			}
			m.checkVerdict(b, name, first.addr, Verdict{Rejected: true, Reason: SourceFull})
			return
		}
		if taken[0] != first {
			m.t.Fatal("the first in line was passed over")
		}
	}
}

func TestRandomEventsKeepAdmissionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, policy: drawPolicy(t), now: time.Unix(1e9, 0)}
		m.controller = New(m.policy, m.now)
		pick := func(states ...state) *Conn {
			var of []*Conn
			for _, c := range m.conns {
				if slices.Contains(states, c.state) {
					of = append(of, c)
				}
			}
			if len(of) == 0 {
				t.Skip("none")
			}
			return rapid.SampledFrom(of).Draw(t, "conn")
		}
		taken := func(v Verdict) {
			if v.Evict != nil {
				m.removeConn(v.Evict)
			}
			if v.Conn != nil && !slices.Contains(m.conns, v.Conn) {
				m.conns = append(m.conns, v.Conn)
			}
		}
		arrive := func(t *rapid.T) {
			a := rapid.SampledFrom(addrs).Draw(t, "addr")
			name := m.groupOfAddress(a)
			b := m.takeSnapshot(name, a)
			v := m.controller.Admit(m.now, a, rapid.Bool().Draw(t, "provable"), nil)
			if v.Rejected == (v.Conn != nil) || v.Rejected && v.Reason != Denied && v.RetryAfter <= 0 || m.group(name).Deny != (v.Rejected && v.Reason == Denied) {
				t.Fatalf("%+v", v)
			}
			if !v.MustIdentify {
				m.checkVerdict(b, name, a, v)
			}
			taken(v)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {
				m.admitWaiting()
				m.checkInvariants()
			},
			"expire": func(t *rapid.T) {
				c := pick(waiting)
				if v := m.controller.ExpireWait(m.now, c); !v.Rejected || v.RetryAfter <= 0 {
					t.Fatalf("%+v", v)
				}
				m.removeConn(c)
			},
			"arrive":  arrive,
			"arrive2": arrive,
			"arrive3": arrive,
			"recognise": func(t *rapid.T) {
				c := pick(identifying, awaitingRequest, handshaking, idle)
				if c.certificateNames != nil {
					t.Skip("shown already")
				}
				names := rapid.SampledFrom([][]string{nil, {"other"}, {"known"}, {"x", "A.known"}, {"bad"}}).Draw(t, "names")
				was := c.state
				to := m.groupOfAddress(c.addr)
				if len(names) > 0 && m.controller.groupIndex != nil {
					if n, ok := m.controller.groupIndex.lookupNames(names); ok {
						to = m.policy.Groups[n].Name
					}
				}
				b := m.takeSnapshot(to, c.addr)
				v := m.controller.Identify(m.now, c, names)
				if v.Rejected {
					m.removeConn(c)
					if was != identifying && v.Reason != Denied {
						t.Fatalf("one that held a place was refused: %v", v.Reason)
					}
					if !m.group(to).Deny {
						m.checkVerdict(b, to, c.addr, v)
					}
					return
				}
				if v.Evict == c {
					t.Fatal("ended itself")
				}
				taken(v)
				if c.state != awaitingRequest && (was == handshaking || was == identifying) {
					t.Fatalf("after its handshake it is in state %d", c.state)
				}
			},
			"work": func(*rapid.T) {
				if c := pick(awaitingRequest, idle); !m.controller.StartRequest(c) {
					t.Fatal("not there")
				}
			},
			"rest": func(*rapid.T) {
				c := pick(active)
				denied := c.source.group.Deny // since it got in
				if stays := m.controller.EndRequest(m.now, c); !stays {
					m.removeConn(c)
				} else if denied {
					t.Fatal("one that is kept out stays")
				}
			},
			"leave": func(*rapid.T) {
				c := pick(awaitingRequest, handshaking, idle, active, identifying, waiting)
				m.controller.Remove(m.now, c)
				m.controller.Remove(m.now, c) // also twice
				m.removeConn(c)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 100, 400, 3000}).Draw(t, "ms")) * time.Millisecond)
			},
			"short": func(*rapid.T) {
				b := m.takeSnapshot("", netip.Addr{})
				for _, c := range m.controller.ReduceCapacity(m.now) {
					if b.states[c] != idle {
						t.Fatal("ended one at work")
					}
					m.removeConn(c)
				}
				m.capacityReduced = true
			},
			"update": func(t *rapid.T) {
				m.policy = drawPolicy(t)
				m.controller.expireGrace(m.now)
				b := m.takeSnapshot("", netip.Addr{})
				m.capacityReduced, m.policyUpdated = true, true
				for _, c := range m.controller.Update(m.now, m.policy) {
					if b.states[c] != idle {
						t.Fatal("ended one at work")
					}
					m.removeConn(c)
				}
			},
		})
		for _, c := range slices.Clone(m.conns) { // nothing is left behind
			m.controller.Remove(m.now, c)
		}
		m.conns = nil
		m.checkInvariants()
		for _, g := range m.controller.groups {
			if g.inUse+g.active != 0 || g.idle.first() != nil || len(g.idleSources) != 0 {
				t.Fatalf("%s holds something", g.Name)
			}
		}
	})
}

// A handshake has a second, and a request its own grace after it, before the connection ends for others.
func TestConnectionIsEvictedOnlyAfterHandshakeAndRequestGrace(t *testing.T) {
	begun := time.Unix(1e9, 0)
	at := begun.Add
	d := New(Policy{Capacity: 1, Groups: []Group{{Name: Others}}, IPv4Bits: 32, IPv6Bits: 64, RequestGrace: defaultRequestGrace, IdleProtection: time.Second}, begun)
	slow := d.Admit(begun, addrs[0], true, nil).Conn
	if v := d.Admit(at(900*time.Millisecond), addrs[1], true, nil); !v.Rejected {
		t.Errorf("it ended in its handshake: %+v", v)
	}
	if v := d.Identify(at(950*time.Millisecond), slow, nil); v.Conn != slow {
		t.Errorf("%+v", v)
	}
	if v := d.Admit(at(1200*time.Millisecond), addrs[1], true, nil); !v.Rejected {
		t.Errorf("it ended in its grace: %+v", v)
	}
	if v := d.Admit(at(1300*time.Millisecond), addrs[1], true, nil); v.Evict != slow {
		t.Errorf("it keeps others out: %+v", v)
	}
}

// What is remembered of sources that hold nothing is bounded, and goes when its rate has nothing more to remember.
func TestUnusedSourcesAreBoundedAndDeleted(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := Policy{Capacity: 4, Groups: []Group{{Name: Others, Rate: 1, Burst: 2}}, IPv4Bits: 32, IPv6Bits: 64}
	d := New(p, now)
	for i := range maxUnusedSources + 100 {
		v := d.Admit(now, netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), false, nil)
		d.Remove(now, v.Conn)
	}
	if len(d.sources) != maxUnusedSources {
		t.Errorf("%d sources", len(d.sources))
	}
	now = now.Add(2 * time.Second)
	v := d.Admit(now, netip.MustParseAddr("10.0.0.1"), false, nil)
	d.Remove(now, v.Conn)
	if len(d.sources) != 1 || d.unusedCount != 1 {
		t.Errorf("%d sources, %d empty", len(d.sources), d.unusedCount)
	}
}

func BenchmarkController(b *testing.B) {
	for _, sources := range []int{1, 1000, 100000} {
		p := Policy{Capacity: sources, Groups: []Group{{Name: Others}}, IPv4Bits: 32, IPv6Bits: 64, IdleProtection: time.Second}
		now := time.Unix(1e9, 0)
		d := New(p, now)
		var conns []*Conn
		for i := range sources {
			c := d.Admit(now, netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), false, nil).Conn
			d.StartRequest(c)
			d.EndRequest(now, c)
			conns = append(conns, c)
		}
		b.Run(fmt.Sprintf("request/%d", sources), func(b *testing.B) {
			for i := range b.N {
				now = now.Add(time.Microsecond)
				d.StartRequest(conns[i%sources])
				d.EndRequest(now, conns[i%sources])
			}
		})
		b.Run(fmt.Sprintf("newcomer/%d", sources), func(b *testing.B) { // each ends an idle one
			for i := range b.N {
				now = now.Add(2 * idleGrace)
				v := d.Admit(now, netip.AddrFrom4([4]byte{11, byte(i >> 16), byte(i >> 8), byte(i)}), false, nil)
				if v.Conn == nil {
					b.Fatal(v)
				}
				d.StartRequest(v.Conn)
				d.EndRequest(now, v.Conn)
			}
		})
	}
}
