package admission

import (
	"container/heap"
	"net/netip"
	"time"

	"golang.org/x/time/rate"
)

// source is the state of the connections of one prefix in one group. It exists while it holds a connection, or while its rate limiter
// is not full.
type source struct {
	key       sourceKey
	group     *group
	inUse     int
	waiting   int // connections that wait for a slot
	idle      idleQueue
	heapIndex int // in its group's idleSources; -1: it has no idle connection
	rate      *rate.Limiter

	// Position on the controller's list of unused sources.
	prev, next *source
	unused     bool
}

// sourceKey identifies a source.
type sourceKey struct {
	prefix netip.Prefix
	group  string
}

// weightedLoad returns the number of slots that a source holds, divided by the weight of its group.
func (s *source) weightedLoad() float64 { return float64(s.inUse) / s.group.weight() }

// The kinds of list. A connection may be on one list of each kind at a time.
const (
	primaryList   = iota // a list of the controller, or the idle queue of the connection's source
	groupIdleList        // the idle queue of the connection's group
)

// list is a doubly linked list of connections, each of which may be on one list of each kind.
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
	removed := c.links[kind]
	if removed.prev != nil {
		removed.prev.links[kind].next = removed.next
	} else {
		l.first = removed.next
	}
	if removed.next != nil {
		removed.next.links[kind].prev = removed.prev
	} else {
		l.last = removed.prev
	}
	c.links[kind] = link{}
}

type link struct{ prev, next *Conn }

// idleQueue holds idle connections in the order of eviction: those that never carried a request, then the others, each by the time at
// which they became idle.
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

// shouldEvictBefore reports whether one of two idle connections is evicted before the other if their sources have the same load.
func (c *Conn) shouldEvictBefore(other *Conn) bool {
	if c.neverUsed != other.neverUsed {
		return c.neverUsed
	}
	return c.since.Before(other.since)
}

// group is the state of a group of the policy.
type group struct {
	Group
	inUse, active int
	idle          idleQueue
	idleSources   sourceHeap // sources with idle connections
	counts        Counts
}

// unreservedInUse returns how many unreserved slots the group holds.
func (g *group) unreservedInUse() int { return max(g.inUse-g.Reserve, 0) }

// sourceHeap is a heap of sources with idle connections: the highest weighted load first, then the order of eviction.
type sourceHeap []*source

func (h sourceHeap) Len() int { return len(h) }
func (h sourceHeap) Less(i, j int) bool {
	if a, b := h[i].weightedLoad(), h[j].weightedLoad(); a != b {
		return a > b
	}
	return h[i].idle.first().shouldEvictBefore(h[j].idle.first())
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

// updateHeap restores the order of the group's idleSources after a change of the source's load or idle connections.
func (s *source) updateHeap() {
	h := &s.group.idleSources
	switch {
	case s.idle.first() == nil && s.heapIndex >= 0:
		heap.Remove(h, s.heapIndex)
	case s.idle.first() != nil && s.heapIndex < 0:
		heap.Push(h, s)
	case s.heapIndex >= 0:
		heap.Fix(h, s.heapIndex)
	}
}

// prefixOf returns the prefix of an address that identifies its source.
func (ctl *Controller) prefixOf(a netip.Addr) netip.Prefix {
	a = a.Unmap().WithZone("")
	bits := ctl.policy.IPv4Bits
	if a.Is6() {
		bits = ctl.policy.IPv6Bits
	}
	p, _ := a.Prefix(bits)
	return p
}

// source returns the source of an address in a group, and creates it if needed.
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

// keepIfUnused puts a source without connections on the list of unused sources until its rate limiter is full. A source without a rate
// limiter is deleted at once. Beyond maxUnusedSources the longest unused sources are deleted.
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
		s.unused = true
		s.prev = ctl.lastUnused
		s.next = nil
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

// maxUnusedSources bounds the number of sources that are kept only for their rate limiters.
const maxUnusedSources = 1 << 14

// removeUnused removes a source from the list of unused sources, if it is on that list.
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
	s.unused = false
	s.prev = nil
	s.next = nil
	ctl.unusedCount--
}

// takeRateToken takes a token of the source's rate limiter for a new connection. It returns 0 if it took one or the group has no rate
// limit, else the time until a token is available.
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
