package main

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"silvertrail/internal/testkit/hollow"
	"silvertrail/internal/xds/ads"
)

// hollowProcess holds members.
type hollowProcess struct {
	mu      sync.Mutex
	members map[int]*hollow.Member
	joined  map[int]*hollow.FleetMember
	sent    hollow.Sent
}

// gcPercent is less than the program's: hundreds of members share the process, and half of the machine has to be enough.
const gcPercent = 50

func (h *hollowProcess) Run() error {
	debug.SetGCPercent(gcPercent)
	h.members, h.joined = map[int]*hollow.Member{}, map[int]*hollow.FleetMember{}
	return obey(h.do)
}

func (h *hollowProcess) do(o order) (r reply, err error) {
	switch o.Op {
	case "ready":
		runtime.GC()
		return r, nil
	case "start":
		for i := o.From; i < o.To; i++ {
			if o.Who.has(i) && h.members[i] == nil {
				h.members[i] = startMember(i, o)
			}
		}
		return r, nil
	case "stop":
		var wait sync.WaitGroup
		for i, m := range h.members {
			if o.Who.has(i) {
				wait.Go(m.Close)
				r.Went += went(m)
				delete(h.members, i)
			}
		}
		wait.Wait()
		return r, nil
	case "await":
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(o.WithinMS)*time.Millisecond)
		defer cancel()
		for i, m := range h.members {
			if !o.Who.has(i) {
				continue
			}
			if at, ok := m.AwaitGeneration(ctx, o.Generation); ok {
				r.Times = append(r.Times, at.UnixNano())
			} else {
				r.Missing++
			}
		}
		return r, nil
	case "step": // all clusters of all members, and what they hold beside that
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(o.WithinMS)*time.Millisecond)
		defer cancel()
		for i, m := range h.members {
			needs := needs(i, o)
			if behind := m.AwaitState(ctx, o.State, needs); behind != "" {
				r.Missing++
				r.Behind = fmt.Sprintf("member %d in %s", i, behind)
			}
			r.Went += went(m)
			r.Resources, r.Needs = max(r.Resources, m.Resources()), max(r.Needs, 2*len(needs))
		}
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		r.Heap = int64(m.HeapAlloc)
		return r, nil
	}
	return h.fleet(o)
}

// fleet takes orders to those that are in a fleet.
func (h *hollowProcess) fleet(o order) (r reply, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(o.WithinMS)*time.Millisecond)
	defer cancel()
	each := func(look func(*hollow.FleetMember) (time.Time, bool)) {
		var wait sync.WaitGroup
		for _, j := range h.joined {
			wait.Go(func() {
				at, ok := look(j)
				h.mu.Lock()
				defer h.mu.Unlock()
				if ok {
					r.Times = append(r.Times, at.UnixNano())
				} else {
					r.Missing++
				}
			})
		}
		wait.Wait()
	}
	switch o.Op {
	case "join":
		seeds := o.Planes
		for i := o.From; i < o.To; i++ {
			j, err := hollow.Join(fmt.Sprint("hollow-", i), "127.0.0.1:0", seeds, 2*o.Generation, &h.sent)
			if err != nil {
				return r, err
			}
			h.joined[i] = j
			r.Addrs = append(r.Addrs, j.Addr())
			if len(o.Planes) == 0 { // the first ones are the seeds
				seeds = r.Addrs
			}
		}
	case "met":
		each(func(j *hollow.FleetMember) (time.Time, bool) { return j.AwaitView(ctx, o.Generation) })
	case "act":
		for _, j := range h.joined {
			j.SetGeneration(o.Generation)
		}
	case "known":
		each(func(j *hollow.FleetMember) (time.Time, bool) { return j.AwaitGeneration(ctx, o.To, o.Generation) })
	case "lose":
		for i := o.From; i < o.To; i++ {
			h.joined[i].Close()
			delete(h.joined, i)
		}
	case "sent":
		r.Bytes, r.Packets = h.sent.Bytes.Load(), h.sent.Packets.Load()
	default:
		err = errors.New("no such order")
	}
	return r, err
}

func went(m *hollow.Member) int {
	_, n := m.Generations()
	return n
}

// needs are the clusters that a member follows.
func needs(i int, o order) []string {
	if o.Whole {
		return o.State.All()
	}
	return o.State.Needs(i)
}

func startMember(i int, o order) *hollow.Member {
	ways := o.Planes
	if hollow.Paused(i) {
		ways = o.Held
	}
	return hollow.Start(i, hollow.Options(fmt.Sprint("hollow-", i), variant(o.Whole), turned(ways, i)...), needs(i, o))
}

func variant(whole bool) ads.Variant {
	if whole {
		return ads.StateOfTheWorld
	}
	return ads.Delta
}

// turned returns the ways with another one first for each member, so that the control machines share them.
func turned(ways []string, i int) []string {
	n := i % len(ways)
	return append(append([]string{}, ways[n:]...), ways[:n]...)
}
