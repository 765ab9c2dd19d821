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
	t       *rapid.T
	d       *Controller
	p       Policy
	now     time.Time
	conns   []*Conn // that hold a place or prove themselves
	short   bool    // places are fewer than the policy's, or were
	lowered bool    // by another policy
}

var addrs = []netip.Addr{netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2"), netip.MustParseAddr("::ffff:10.0.0.1"),
	netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.1.0.2"), netip.MustParseAddr("10.2.0.1"), netip.MustParseAddr("2001:db8::1"),
	netip.MustParseAddr("2001:db8::ffff:2"), netip.MustParseAddr("2001:db8:0:1::1"), netip.MustParseAddr("10.9.0.1")}

func policy(t *rapid.T) Policy {
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

// of returns a connection's group by the policy's words alone.
func (m *model) of(c *Conn) string {
	for _, n := range c.certificateNames {
		switch strings.ToLower(n) {
		case "known", "a.known":
			return "known"
		case "bad":
			return "bad"
		}
	}
	return m.byAddr(c.addr)
}

func (m *model) byAddr(a netip.Addr) string {
	a = a.Unmap()
	for _, g := range m.p.Groups[1:] {
		for _, n := range g.Networks {
			if n.Contains(a) {
				return g.Name
			}
		}
	}
	return Others
}

func src(a netip.Addr) netip.Prefix {
	a = a.Unmap()
	if a.Is4() {
		return netip.PrefixFrom(a, 32)
	}
	p, _ := a.Prefix(64)
	return p
}

func (m *model) group(name string) Group {
	return m.p.Groups[slices.IndexFunc(m.p.Groups, func(g Group) bool { return g.Name == name })]
}

// held counts the places of a group, and of a source of it, or of all where the name is empty.
func (m *model) held(name string, s netip.Prefix) (n int) {
	for _, c := range m.conns {
		if c.source != nil && (name == "" || c.source.group.Name == name) && (!s.IsValid() || src(c.addr) == s) {
			n++
		}
	}
	return n
}

func (m *model) common() (n int) {
	for _, g := range m.p.Groups {
		n += max(m.held(g.Name, netip.Prefix{})-g.Reserve, 0)
	}
	return n
}

func (m *model) reserved() (n int) {
	for _, g := range m.p.Groups {
		n += g.Reserve
	}
	return n
}

func (m *model) load(c *Conn) float64 {
	g := c.source.group
	return float64(m.held(g.Name, src(c.addr))) / g.weight()
}

// ended takes one out that the door has told to end.
func (m *model) ended(c *Conn) {
	i := slices.Index(m.conns, c)
	if i < 0 {
		m.t.Fatalf("ended twice, or never there: %v", c.addr)
	}
	m.conns = slices.Delete(m.conns, i, i+1)
}

type before struct {
	held, source, common int
	idle                 map[*Conn]float64 // those that may give way, and their loads
	state                map[*Conn]state
	group                map[*Conn]string
	young                bool // false: one of those with the greatest load has rested just now, so that none may give way
}

func (m *model) look(name string, a netip.Addr) before {
	b := before{held: m.held(name, netip.Prefix{}), source: m.held(name, src(a)), common: m.common(), idle: map[*Conn]float64{}, state: map[*Conn]state{}, group: map[*Conn]string{}}
	m.d.expireGrace(m.now)
	for _, c := range m.conns {
		b.state[c] = c.state
		if c.source != nil {
			b.group[c] = c.source.group.Name
		}
		if c.source != nil && c.state == idle && (c.source.group.Name == name || m.held(c.source.group.Name, netip.Prefix{}) > c.source.group.Reserve) {
			b.idle[c] = m.load(c)
		}
	}
	most := -1.0
	for _, load := range b.idle {
		most = max(most, load)
	}
	b.young = true
	for c, load := range b.idle {
		if load == most && !c.neverUsed && m.now.Sub(c.since) < idleGrace {
			b.young = false
		}
	}
	return b
}

// judge checks a verdict on one who wants a place in a group against the promises.
func (m *model) judge(b before, name string, a netip.Addr, v Verdict) {
	g := m.group(name)
	if v.Evict != nil && b.state[v.Evict] != idle && b.state[v.Evict] != identifying {
		m.t.Fatalf("ended one that is in state %d", b.state[v.Evict])
	}
	if v.Evict != nil && b.state[v.Evict] == idle {
		if _, may := b.idle[v.Evict]; !may {
			m.t.Fatalf("group %s ended one of %s, which holds no more than its reserve", name, m.of(v.Evict))
		}
	}
	capped := g.MaxPerSource > 0 && b.source >= g.MaxPerSource || g.MaxConns > 0 && b.held >= g.MaxConns
	switch {
	case v.Rejected && (v.Reason == RateExceeded || v.Reason == Denied):
		return
	case !v.Rejected && !v.MustIdentify && !v.Waiting && v.Evict == nil && capped:
		m.t.Fatalf("%s was let in beyond its bound", name)
	case !v.Rejected && !v.MustIdentify && !v.Waiting && v.Evict == nil && !m.short && b.held >= g.Reserve && m.p.FreeFactor > 0 &&
		float64(b.source+1)/g.weight() > m.p.FreeFactor*float64(m.p.Capacity-m.reserved()-b.common):
		m.t.Fatalf("a source of %s with %d places had one more, beyond its share", name, b.source)
	case v.Evict != nil && b.state[v.Evict] == idle && !capped:
		own := float64(b.source+1) / g.weight()
		mine := src(v.Evict.addr) == src(a) && b.group[v.Evict] == name // whose source may be beyond its share
		for c, load := range b.idle {
			if load > b.idle[v.Evict] && m.p.IdleProtection == 0 && !mine {
				m.t.Fatalf("one of load %v ended and one of %v (%v) did not", b.idle[v.Evict], load, c.addr)
			}
		}
		if b.idle[v.Evict] < own && m.p.IdleProtection > 0 && !mine &&
			m.now.Sub(v.Evict.since) < m.p.IdleProtection && !v.Evict.neverUsed {
			m.t.Fatalf("a source of load %v took from one of %v within its guard", own, b.idle[v.Evict])
		}
	case v.Waiting && (b.source > 0 || capped):
		m.t.Fatalf("a source of %s with %d places got in line", name, b.source)
	case (v.Rejected || v.Waiting) && !capped:
		if b.held < g.Reserve {
			m.t.Fatalf("%s was refused (%v) with %d of %d reserved places in use", name, v.Reason, b.held, g.Reserve)
		}
		free, own := m.p.Capacity-m.reserved()-b.common, float64(b.source+1)/g.weight()
		if b.held >= g.Reserve && free > 0 && m.p.FreeFactor > 0 && own > m.p.FreeFactor*float64(free) {
			if v.Reason != SourceFull && v.Reason != Unidentified && !m.short {
				m.t.Fatalf("a source beyond its share was refused as %v", v.Reason)
			}
			return
		}
		if m.short && m.p.FreeFactor > 0 && (v.Reason == SourceFull || v.Reason == Unidentified) { // fewer are free than the policy says
			return
		}
		if !m.short && free > 0 {
			m.t.Fatalf("%s was refused (%v) where %d of %d were in use", name, v.Reason, b.common, m.p.Capacity-m.reserved())
		}
		for c, load := range b.idle {
			if (load >= float64(b.source+1)/g.weight() || m.p.IdleProtection == 0) && (m.p.IdleProtection == 0 || b.young) {
				m.t.Fatalf("%s was refused though %v of load %v was idle", name, c.addr, load)
			}
		}
	}
}

// check counts everything anew.
func (m *model) check() {
	d := m.d
	if len(d.conns) != len(m.conns) {
		m.t.Fatalf("the door knows %d connections, there are %d", len(d.conns), len(m.conns))
	}
	if d.inUse != m.held("", netip.Prefix{}) || d.unreservedInUse != m.common() {
		m.t.Fatalf("held %d, common %d; counted %d, %d", d.inUse, d.unreservedInUse, m.held("", netip.Prefix{}), m.common())
	}
	if !m.lowered && (d.inUse > m.p.Capacity || m.common() > m.p.Capacity-m.reserved()) {
		m.t.Fatalf("%d held, %d common, of %d places", d.inUse, m.common(), m.p.Capacity)
	}
	provers, inLine := 0, 0
	for _, c := range m.conns {
		if c.state == identifying {
			provers++
			continue
		}
		if c.state == waiting {
			inLine++
			if c.source != nil || c.waitingSource == nil || m.held(c.waitingSource.group.Name, src(c.addr)) != c.waitingSource.inUse {
				m.t.Fatal("one in line holds a place, or waits for nobody's")
			}
			continue
		}
		if want := m.of(c); c.source.group.Name != want && !(want == "known" && m.byAddr(c.addr) != "known") && want != "bad" {
			m.t.Fatalf("%v with %v is of %s", c.addr, c.certificateNames, c.source.group.Name)
		}
	}
	if provers != d.identifyingCount || provers > m.p.MaxIdentifying() && !m.lowered {
		m.t.Fatalf("%d prove themselves, %d counted, %d may", provers, d.identifyingCount, m.p.MaxIdentifying())
	}
	if inLine != d.waitingCount || inLine > m.p.MaxWaiting && !m.lowered {
		m.t.Fatalf("%d in line, %d counted, %d may", inLine, d.waitingCount, m.p.MaxWaiting)
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
			for ; c != nil; c = c.links[ofSource].next {
				idles--
				if next := c.links[ofSource].next; next != nil && (next.since.Before(c.since) || next.neverUsed != c.neverUsed) {
					m.t.Fatal("idle connections out of order")
				}
			}
		}
		if n != s.inUse || idles != 0 || (s.heapIndex >= 0) != (s.idle.first() != nil) || n == 0 && s.rate == nil && s.waiting == 0 {
			m.t.Fatalf("source %v: held %d, counted %d; %d more idle than listed, in heap at %d", k, s.inUse, n, idles, s.heapIndex)
		}
	}
	for _, g := range d.groups {
		for _, s := range g.heaviest {
			if s.weightedLoad() > g.heaviest[0].weightedLoad() {
				m.t.Fatal("the heaviest source is not the first")
			}
		}
	}
}

// next gives places to those waiting, in their order, and only where a newcomer in their stead would have had one.
func (m *model) next() {
	for {
		first := m.d.waiting.first
		if first == nil {
			return
		}
		for _, c := range m.conns {
			if c.state == waiting && c.since.Before(first.since) {
				m.t.Fatal("the line is out of order")
			}
		}
		name := first.waitingSource.group.Name
		b := m.look(name, first.addr)
		held := m.d.inUse
		taken, evicted := m.d.AdmitWaiting(m.now)
		for _, c := range evicted {
			if b.state[c] != idle {
				m.t.Fatalf("ended one in state %d for the line", b.state[c])
			}
			m.ended(c)
		}
		if m.d.inUse != held+len(taken)-len(evicted) {
			m.t.Fatal("more was given than there was")
		}
		if len(taken) == 0 {
			if m.group(name).Deny {
				return
			}
			m.judge(b, name, first.addr, Verdict{Rejected: true, Reason: SourceFull})
			return
		}
		if taken[0] != first {
			m.t.Fatal("the first in line was passed over")
		}
	}
}

func TestDoor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, p: policy(t), now: time.Unix(1e9, 0)}
		m.d = New(m.p, m.now)
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
				m.ended(v.Evict)
			}
			if v.Conn != nil && !slices.Contains(m.conns, v.Conn) {
				m.conns = append(m.conns, v.Conn)
			}
		}
		arrive := func(t *rapid.T) {
			a := rapid.SampledFrom(addrs).Draw(t, "addr")
			name := m.byAddr(a)
			b := m.look(name, a)
			v := m.d.Admit(m.now, a, rapid.Bool().Draw(t, "provable"), nil)
			if v.Rejected == (v.Conn != nil) || v.Rejected && v.Reason != Denied && v.RetryAfter <= 0 || m.group(name).Deny != (v.Rejected && v.Reason == Denied) {
				t.Fatalf("%+v", v)
			}
			if !v.MustIdentify {
				m.judge(b, name, a, v)
			}
			taken(v)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {
				m.next()
				m.check()
			},
			"expire": func(t *rapid.T) {
				c := pick(waiting)
				if v := m.d.ExpireWait(m.now, c); !v.Rejected || v.RetryAfter <= 0 {
					t.Fatalf("%+v", v)
				}
				m.ended(c)
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
				to := m.byAddr(c.addr)
				if len(names) > 0 && m.d.groupIndex != nil {
					if n, ok := m.d.groupIndex.ofNames(names); ok {
						to = m.p.Groups[n].Name
					}
				}
				b := m.look(to, c.addr)
				v := m.d.Identify(m.now, c, names)
				if v.Rejected {
					m.ended(c)
					if was != identifying && v.Reason != Denied {
						t.Fatalf("one that held a place was refused: %v", v.Reason)
					}
					if !m.group(to).Deny {
						m.judge(b, to, c.addr, v)
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
				if c := pick(awaitingRequest, idle); !m.d.StartRequest(c) {
					t.Fatal("not there")
				}
			},
			"rest": func(*rapid.T) {
				c := pick(active)
				denied := c.source.group.Deny // since it got in
				if stays := m.d.EndRequest(m.now, c); !stays {
					m.ended(c)
				} else if denied {
					t.Fatal("one that is kept out stays")
				}
			},
			"leave": func(*rapid.T) {
				c := pick(awaitingRequest, handshaking, idle, active, identifying, waiting)
				m.d.Remove(m.now, c)
				m.d.Remove(m.now, c) // also twice
				m.ended(c)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 100, 400, 3000}).Draw(t, "ms")) * time.Millisecond)
			},
			"short": func(*rapid.T) {
				b := m.look("", netip.Addr{})
				for _, c := range m.d.ReduceCapacity(m.now) {
					if b.state[c] != idle {
						t.Fatal("ended one at work")
					}
					m.ended(c)
				}
				m.short = true
			},
			"update": func(t *rapid.T) {
				m.p = policy(t)
				m.d.expireGrace(m.now)
				b := m.look("", netip.Addr{})
				m.short, m.lowered = true, true
				for _, c := range m.d.Update(m.now, m.p) {
					if b.state[c] != idle {
						t.Fatal("ended one at work")
					}
					m.ended(c)
				}
			},
		})
		for _, c := range slices.Clone(m.conns) { // nothing is left behind
			m.d.Remove(m.now, c)
		}
		m.conns = nil
		m.check()
		for _, g := range m.d.groups {
			if g.inUse+g.active != 0 || g.idle.first() != nil || len(g.heaviest) != 0 {
				t.Fatalf("%s holds something", g.Name)
			}
		}
	})
}

// A handshake has a second, and a request its own grace after it, before the connection ends for others.
func TestHandshakeGrace(t *testing.T) {
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
func TestSourcesForgotten(t *testing.T) {
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

func BenchmarkDoor(b *testing.B) {
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
