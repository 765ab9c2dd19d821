package fleet

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"silvertrail/decide"
	"silvertrail/internal/binding"
	"silvertrail/internal/history"
	"silvertrail/internal/lbtest"
)

// A probe of memberlist's that is under way when it ends runs out its own time.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/hashicorp/memberlist.(*Memberlist).probeNode"))
}

// crew is a fleet in one process.
type crew struct {
	t      *testing.T
	links  *lbtest.Links
	all    []*Fleet
	change func(*Options)
}

var key = bytes.Repeat([]byte{7}, 32)

func name(i int) string { return fmt.Sprint("i", i) }

func (c *crew) start(i int, fresh bool, voters ...string) *Fleet {
	c.t.Helper()
	net, addr := c.links.Transport(c.t, i)
	o := Options{Fleet: "test", Name: name(i), Listen: addr, Keyring: [][]byte{key}, Voters: voters, Members: 32, Keys: 1 << 14, New: fresh,
		Life: 600 * time.Millisecond, Silent: 3 * time.Second, Probe: 100 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
		Transport: net}
	for _, f := range c.all {
		if f != nil && f.o.Name != o.Name {
			o.Seeds = append(o.Seeds, f.o.Listen)
		}
	}
	if c.change != nil {
		c.change(&o)
	}
	f, err := Start(o)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(f.Close)
	return f
}

// newCrew starts n instances, the first of which vote, and waits until each sees all.
func newCrew(t *testing.T, n, voters int) *crew {
	t.Helper()
	c := &crew{t: t, links: lbtest.NewLinks()}
	t.Cleanup(c.links.End)
	var names []string
	for i := range voters {
		names = append(names, name(i))
	}
	for i := range n {
		c.all = append(c.all, c.start(i, true, names...))
	}
	c.sees(n)
	return c
}

func (c *crew) sees(n int) {
	c.t.Helper()
	for _, f := range c.all {
		lbtest.Until(c.t, fmt.Sprintf("%s sees %d", f.o.Name, n), func() bool {
			got, _ := f.Shares()
			return got == n && f.count("alive") == n
		})
	}
}

func (f *Fleet) count(state string) (n int) {
	for _, m := range f.Members() {
		if m.State == state {
			n++
		}
	}
	return n
}

func (f *Fleet) asks(key string, zone string, life time.Duration) binding.Ask {
	return binding.Ask{Try: f.Number(), Key: history.IDOf("", key), Place: history.Place{Cluster: "c", Zone: zone}, Scope: decide.ScopeZone,
		Window: time.Second, Keep: time.Second, Life: life}
}

// A repeat through another instance learns where the first try went, whatever the way; what never ran is free again.
func TestBind(t *testing.T) {
	c := newCrew(t, 4, 3)
	for i := range 24 {
		first, second := c.all[i%4], c.all[(i+1+i/4%3)%4]
		k := fmt.Sprint("k", i)
		a := first.asks(k, "north", 600*time.Millisecond)
		if state, past := first.Bind(t.Context(), a); state != binding.Bound || !past.Known {
			t.Fatalf("%s: %v %+v", k, state, past)
		}
		b := second.asks(k, "south", 600*time.Millisecond)
		if state, past := second.Bind(t.Context(), b); state != binding.Elsewhere || past.Place.Zone != "north" {
			t.Errorf("%s by another way: %v %+v", k, state, past)
		}
		b.Turn, b.Place.Zone = 1, "north"
		if state, _ := second.Bind(t.Context(), b); state != binding.Bound {
			t.Errorf("%s in its group: %v", k, state)
		}
		first.End(binding.End{Try: a.Try, NeverRan: true})
		second.End(binding.End{Try: b.Try, NeverRan: true})
		lbtest.Until(t, "a key with which nothing ran is free", func() bool {
			state, _ := second.Bind(t.Context(), second.asks(k, "south", 600*time.Millisecond))
			return state == binding.Bound
		})
	}
}

// Through cuts, one-way cuts, late, doubled and overtaken packets and instances that die and come back, callers ask for the
// same keys through all instances for one zone or the other: of what each instance may send at one time no key is in two
// zones.
func TestNoKeyInTwoGroups(t *testing.T) {
	c := newCrew(t, 5, 5)
	c.links.Unsound()
	type bound struct {
		zone       string
		from, till time.Time
	}
	var mu sync.Mutex
	went := map[string][]bound{}
	counts := map[binding.State]int{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers sync.WaitGroup
	var instances sync.Mutex // of c.all
	const rounds = 40
	for caller := range 24 {
		callers.Go(func() {
			d := rand.New(rand.NewPCG(uint64(caller), 5))
			for i := range rounds {
				k := fmt.Sprintf("k-%d-%d", i, caller/6) // six callers for each key, at about the same time
				instances.Lock()
				f := c.all[d.IntN(5)]
				instances.Unlock()
				zone := []string{"north", "south"}[d.IntN(2)]
				made := time.Now()
				a := f.asks(k, zone, 600*time.Millisecond)
				state, past := f.Bind(ctx, a)
				now := time.Now()
				sends := state == binding.Bound && now.Before(past.Until) && now.Before(made.Add(a.Life))
				mu.Lock()
				counts[state]++
				if sends {
					went[k] = append(went[k], bound{zone, now, now.Add(a.Window + a.Keep)})
				}
				mu.Unlock()
				f.End(binding.End{Try: a.Try, NeverRan: !sends})
			}
		})
	}
	done := make(chan struct{})
	go func() { callers.Wait(); close(done) }()
	sets := [][2][]int{{{0, 1}, {2, 3, 4}}, {{4}, {0, 1, 2, 3}}, {{0, 1, 2}, {3, 4}}}
	for i, over := 0, false; !over; i++ {
		select {
		case <-done:
			over = true
		case <-time.After(150 * time.Millisecond):
		}
		s := sets[i%len(sets)]
		switch i % 4 {
		case 0:
			c.links.Sever(s[0], s[1])
			c.links.Sever(s[1], s[0])
		case 1:
			c.links.Heal()
		case 2:
			c.links.Sever(s[0], s[1]) // one way
		case 3:
			c.links.Heal()
			if i > 12 || over {
				continue
			}
			dies := i / 4 % 5
			instances.Lock()
			old := c.all[dies]
			instances.Unlock()
			old.Close()
			fresh := c.start(dies, false, old.o.Voters...)
			instances.Lock()
			c.all[dies] = fresh
			instances.Unlock()
		}
	}
	for k, all := range went {
		for i, a := range all {
			for _, b := range all[i+1:] {
				if a.zone != b.zone && a.from.Before(b.till) && b.from.Before(a.till) {
					t.Errorf("%s went to %s at %v and to %s at %v", k, a.zone, a.from, b.zone, b.from)
				}
			}
		}
	}
	t.Logf("%v, %d keys went out", counts, len(went))
	if counts[binding.Bound] < 50 || counts[binding.Elsewhere] < 50 {
		t.Errorf("tests little: %v", counts)
	}
}
