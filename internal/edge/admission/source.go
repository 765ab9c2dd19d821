package admission

import (
	"container/heap"
	"net/netip"
	"time"

	"golang.org/x/time/rate"
)

// source is what the connections of one address, or prefix, in one group have in common. It is kept while it holds a
// connection or its rate has something to remember.
type source struct {
	key       sourceKey
	group     *group
	inUse     int
	waiting   int // wait in line
	idle      idleQueue
	heapIndex int // in its group's heap of sources with idle connections; -1: in none
	rate      *rate.Limiter

	// Of sources that hold nothing, in the order in which that came to be.
	prev, next *source
	unused     bool
}

type sourceKey struct {
	prefix netip.Prefix
	group  string
}

// weightedLoad is what a source holds, as its group weighs it.
func (s *source) weightedLoad() float64 { return float64(s.inUse) / s.group.weight() }

// The lists that a connection is on while it is idle.
const (
	ofSource = iota
	ofGroup
)

// list is a list of connections, each of which may be on one list of each kind.
type list struct{ first, last *Conn }

func (l *list) push(c *Conn, kind int) {
	c.links[kind] = link{prev: l.last}
	if l.last != nil {
		l.last.links[kind].next = c
	} else {
		l.first = c
	}
	l.last = c
}

func (l *list) remove(c *Conn, kind int) {
	is := c.links[kind]
	if is.prev != nil {
		is.prev.links[kind].next = is.next
	} else {
		l.first = is.next
	}
	if is.next != nil {
		is.next.links[kind].prev = is.prev
	} else {
		l.last = is.prev
	}
	c.links[kind] = link{}
}

type link struct{ prev, next *Conn }

// idleQueue are idle connections in the order in which they end: those that have never brought a request, then the others,
// each by when they became idle.
type idleQueue struct{ neverUsed, used list }

func (q *idleQueue) first() *Conn {
	if q.neverUsed.first != nil {
		return q.neverUsed.first
	}
	return q.used.first
}

func (q *idleQueue) listOf(c *Conn) *list {
	if c.neverUsed {
		return &q.neverUsed
	}
	return &q.used
}

// endsBefore tells whether one of two connections ends before the other, where nothing else tells them apart.
func (c *Conn) endsBefore(than *Conn) bool {
	if c.neverUsed != than.neverUsed {
		return c.neverUsed
	}
	return c.since.Before(than.since)
}

// group is a group and what it holds.
type group struct {
	Group
	inUse, active int
	idle          idleQueue
	heaviest      sourceHeap // sources with idle connections
	counts        Counts
}

// unreservedInUse is how many of the places that are nobody's the group holds.
func (g *group) unreservedInUse() int { return max(g.inUse-g.Reserve, 0) }

// sourceHeap is a heap of sources, the one that holds most first, then the one whose connection ends sooner.
type sourceHeap []*source

func (h sourceHeap) Len() int { return len(h) }
func (h sourceHeap) Less(i, j int) bool {
	if a, b := h[i].weightedLoad(), h[j].weightedLoad(); a != b {
		return a > b
	}
	return h[i].idle.first().endsBefore(h[j].idle.first())
}
func (h sourceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *sourceHeap) Push(x any) {
	s := x.(*source)
	s.heapIndex = len(*h)
	*h = append(*h, s)
}
func (h *sourceHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	s.heapIndex = -1
	return s
}

// updateHeap puts a source in its place among those of its group, after what it holds has changed.
func (s *source) updateHeap() {
	h := &s.group.heaviest
	switch {
	case s.idle.first() == nil && s.heapIndex >= 0:
		heap.Remove(h, s.heapIndex)
	case s.idle.first() != nil && s.heapIndex < 0:
		heap.Push(h, s)
	case s.heapIndex >= 0:
		heap.Fix(h, s.heapIndex)
	}
}

// prefixOf returns an address's source.
func (ctl *Controller) prefixOf(a netip.Addr) netip.Prefix {
	a = a.Unmap().WithZone("")
	bits := ctl.policy.IPv4Bits
	if a.Is6() {
		bits = ctl.policy.IPv6Bits
	}
	p, _ := a.Prefix(bits)
	return p
}

// source finds the source of an address in a group, or begins it.
func (ctl *Controller) source(a netip.Addr, g *group) *source {
	k := sourceKey{ctl.prefixOf(a), g.Name}
	s := ctl.sources[k]
	if s == nil {
		s = &source{key: k, group: g, heapIndex: -1}
		ctl.sources[k] = s
	}
	s.group = g
	return s
}

// keepIfUnused keeps a source that holds nothing for as long as its rate remembers something, and within a bound: those that have
// been so longest go first.
func (ctl *Controller) keepIfUnused(s *source, now time.Time) {
	if s.inUse+s.waiting > 0 {
		ctl.removeUnused(s)
		return
	}
	if s.rate == nil {
		ctl.removeUnused(s)
		delete(ctl.sources, s.key)
		return
	}
	if !s.unused {
		s.unused, s.prev, s.next = true, ctl.lastUnused, nil
		if ctl.lastUnused != nil {
			ctl.lastUnused.next = s
		} else {
			ctl.firstUnused = s
		}
		ctl.lastUnused = s
		ctl.unusedCount++
	}
	for o := ctl.firstUnused; o != nil && (ctl.unusedCount > maxUnusedSources || o.rate.TokensAt(now) >= float64(o.rate.Burst())); o = ctl.firstUnused {
		ctl.removeUnused(o)
		delete(ctl.sources, o.key)
	}
}

// maxUnusedSources bounds the sources that are remembered for their rate alone.
const maxUnusedSources = 1 << 14

func (ctl *Controller) removeUnused(s *source) {
	if !s.unused {
		return
	}
	if s.prev != nil {
		s.prev.next = s.next
	} else {
		ctl.firstUnused = s.next
	}
	if s.next != nil {
		s.next.prev = s.prev
	} else {
		ctl.lastUnused = s.prev
	}
	s.unused, s.prev, s.next = false, nil, nil
	ctl.unusedCount--
}

// takeRateToken takes one of the source's new connections a second; it returns how long it has none to give.
func (s *source) takeRateToken(now time.Time) time.Duration {
	g := s.group
	if g.Rate <= 0 {
		return 0
	}
	if s.rate == nil {
		s.rate = rate.NewLimiter(rate.Limit(g.Rate), max(g.Burst, 1))
	} else if s.rate.Limit() != rate.Limit(g.Rate) || s.rate.Burst() != max(g.Burst, 1) {
		s.rate.SetLimitAt(now, rate.Limit(g.Rate))
		s.rate.SetBurstAt(now, max(g.Burst, 1))
	}
	r := s.rate.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}
