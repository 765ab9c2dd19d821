package fleet

import (
	"crypto/hmac"
	"crypto/sha256"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"silvertrail/internal/fleet/exchange"
	"silvertrail/internal/fleet/membership"
	"silvertrail/internal/fleet/straggler"
	"silvertrail/internal/fleet/version"
)

// acts is the host of packages version, exchange and straggler: what this instance acts on, what the others say that they
// do, and who is behind.
type acts struct {
	f *Fleet

	mu     sync.Mutex
	core   *exchange.Core
	watch  *straggler.Detector
	vector version.Vector             // as said last, or to be said next
	when   time.Time                  // it was said
	given  bool                       // the gateway has told what it acts on
	fresh  bool                       // the configuration has no number yet
	addrs  map[string]string          // of the members of the view
	states map[string]straggler.State // as logged last
	since  map[string]time.Time
}

const (
	// settle is how long what changes is gathered before it is said: a reload changes several things, and lists change often.
	settle = 200 * time.Millisecond
	// silentAfter and silentEach are how old a member's word may be: heads come round in turn.
	silentAfter = 10 * time.Second
	silentEach  = 100 * time.Millisecond
)

func newActs(f *Fleet) *acts {
	a := &acts{f: f, core: exchange.New(f.o.Name, f.process, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), addrs: map[string]string{},
		watch: straggler.New(straggler.Limits{RolloutTimeout: f.o.Taking, MaxAge: silentAfter}), states: map[string]straggler.State{}, since: map[string]time.Time{}}
	build := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		build = info.GoVersion + " " + info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" || s.Key == "vcs.modified" || s.Key == "-tags" {
				build += " " + s.Value
			}
		}
	}
	a.vector = a.vector.With(version.Entry{Kind: version.Build, Hash: version.HashOf([]byte(build)), Description: strings.TrimSpace(build)})
	a.own(f.o)
	return a
}

// own notes the voters and the keyring of this instance. Of a key it tells what only one who has it could know, and nothing
// of the key.
func (a *acts) own(o Options) {
	var ring []byte
	for _, k := range o.Keyring {
		m := hmac.New(sha256.New, k)
		m.Write([]byte("silvertrail: which key"))
		ring = append(ring, m.Sum(nil)[:8]...)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.put(version.Entry{Kind: version.Voters, Hash: version.HashOf([]byte(strings.Join(o.Voters, "\n"))), Description: clip(strings.Join(o.Voters, " "))})
	a.put(version.Entry{Kind: version.Keyring, Hash: version.HashOf(ring)})
}

func clip(s string) string { return s[:min(len(s), 200)] }

// put changes one entry of the vector, keeping what it replaces. The caller holds the lock.
func (a *acts) put(e version.Entry) {
	if was, ok := a.vector.Find(e.Kind, e.Name); ok {
		if was.Hash == e.Hash {
			return
		}
		e = was.Successor(e.Hash, e.Description)
	}
	a.vector = a.vector.With(e)
}

// take takes what this instance acts on beside what the fleet knows itself. The configuration gets its number here. The caller
// holds the lock.
func (a *acts) take(entries []version.Entry) {
	if len(entries) == 0 {
		return
	}
	a.given = true
	for _, e := range entries {
		if e.Kind != version.Configuration {
			a.put(e)
			continue
		}
		was, ok := a.vector.Find(e.Kind, e.Name)
		if ok && was.Hash == e.Hash {
			continue
		}
		if ok && !a.fresh {
			e = version.AssignNumber(e.Kind, e.Name, e.Hash, e.Description, a.core.Entries(e.Kind, e.Name))
		} else {
			a.fresh = true // until enough others have been heard: it may have a number already
		}
		a.vector = a.vector.With(e)
	}
	type thing struct {
		kind version.Kind
		name string
	}
	listed := map[thing]bool{}
	for _, e := range entries {
		listed[thing{e.Kind, e.Name}] = true
	}
	for _, e := range a.vector {
		if e.Kind.IsTransient() && !listed[thing{e.Kind, e.Name}] {
			a.vector = a.vector.Without(e.Kind, e.Name)
		}
	}
}

// run lets time pass.
func (a *acts) run() {
	every := time.NewTicker(exchange.TickInterval)
	defer every.Stop()
	for ticks := 0; ; ticks++ {
		select {
		case <-every.C:
		case <-a.f.done:
			return
		}
		a.members()
		var acting []version.Entry
		if a.f.o.Acting != nil {
			acting = a.f.o.Acting()
		}
		a.mu.Lock()
		a.take(acting)
		a.number()
		if now := time.Now(); a.given && now.Sub(a.when) >= settle {
			if before := a.core.Self(); before.Seq == 0 || a.vector.Digest() != before.VectorHash {
				a.core.Announce(a.f.views.now(), a.vector, now)
				a.when = now
				a.log(before.Vector)
			}
		}
		a.core.Tick(a.f.views.now())
		out := a.core.Ready()
		if ticks%4 == 0 {
			a.look()
		}
		a.mu.Unlock()
		a.send(out)
	}
}

// members takes who is in from the view in force.
func (a *acts) members() {
	v := a.f.views
	v.mu.Lock()
	var view *membership.View
	if v.core.View() != nil && v.core.HasQuorum() {
		view = v.core.View()
	}
	v.mu.Unlock()
	if view == nil {
		return // as before: there is nobody to ask who would know better
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.addrs)
	var names []string
	for _, m := range view.Members {
		a.addrs[m.Name] = m.Address
		names = append(names, m.Name)
	}
	a.core.SetMembers(names)
}

// number gives the configuration that this process began with its place, once a majority of the view has been heard. The
// caller holds the lock.
func (a *acts) number() {
	if !a.fresh || !a.given || len(a.addrs) == 0 {
		return
	}
	heard := 1
	for name := range a.addrs {
		if _, ok := a.core.Peer(name); ok && name != a.f.o.Name {
			heard++
		}
	}
	e, ok := a.vector.Find(version.Configuration, "")
	if !ok || 2*heard <= len(a.addrs) {
		return
	}
	a.fresh = false
	a.vector = a.vector.With(version.AssignNumber(e.Kind, e.Name, e.Hash, e.Description, a.core.Entries(e.Kind, e.Name)))
}

// log tells what this instance acts on from now on, where it is something else than before. The caller holds the lock.
func (a *acts) log(before version.Vector) {
	digest := a.core.Self().VectorHash.String()
	for _, e := range a.vector {
		was, ok := before.Find(e.Kind, e.Name)
		if !ok || was.Hash != e.Hash || was.Number != e.Number {
			a.f.log.Info("acts on", "kind", e.Kind.String(), "name", e.Name, "is", e.Hash.String(), "number", e.Number, "was", was.Hash.String(), "vector", digest)
		}
	}
	for _, e := range before {
		if _, ok := a.vector.Find(e.Kind, e.Name); !ok {
			a.f.log.Info("acts no more on", "kind", e.Kind.String(), "name", e.Name, "was", e.Hash.String(), "vector", digest)
		}
	}
}

func (a *acts) hear(from string, m *exchange.Message) {
	a.mu.Lock()
	a.core.Receive(a.f.views.now(), from, m)
	out := a.core.Ready()
	a.mu.Unlock()
	a.send(out)
}

func (a *acts) send(out []exchange.Envelope) {
	for _, s := range out {
		a.mu.Lock()
		at, ok := a.addrs[s.To]
		a.mu.Unlock()
		if ok {
			a.f.views.carryTo(s.To, at, item{Acts: s.Message})
		}
	}
}

// look judges all members, and logs whose standing has changed. The caller holds the lock.
func (a *acts) look() []straggler.Status {
	names := make([]string, 0, len(a.addrs))
	for n := range a.addrs {
		names = append(names, n)
	}
	slices.Sort(names)
	now := a.f.views.now()
	a.watch.SetLimits(straggler.Limits{RolloutTimeout: a.f.o.Taking, MaxAge: silentAfter + time.Duration(len(names))*silentEach})
	members := make([]straggler.Member, 0, len(names))
	for _, n := range names {
		m := straggler.Member{Name: n}
		if k, ok := a.core.Peer(n); ok && k.Seq > 0 {
			m.Vector, m.VectorHash, m.Age = k.Vector, k.VectorHash, max(now-k.ConfirmedAt, 0)
		}
		members = append(members, m)
	}
	all := a.watch.Evaluate(now, members)
	for _, s := range all {
		if was, known := a.states[s.Member]; was == s.State && known {
			continue
		}
		a.states[s.Member], a.since[s.Member] = s.State, time.Now()
		why := ""
		for _, f := range s.Findings {
			if f.State == s.State {
				why = f.Kind.String() + " " + f.Name + " has " + f.Has.Hash.String() + " not " + f.Expected.Hash.String()
				break
			}
		}
		a.f.log.Info("standing", "name", s.Member, "state", s.State.String(), "why", why)
	}
	for n := range a.states {
		if _, in := a.addrs[n]; !in {
			delete(a.states, n)
			delete(a.since, n)
		}
	}
	return all
}

// VersionsView is what an instance knows of what all act on.
type VersionsView struct {
	InStep  bool           `json:"in_step"` // all members of the view
	Me      string         `json:"me"`
	Digest  version.Hash   `json:"digest"` // of what this instance acts on
	Members []StandingView `json:"members"`
}

// StandingView is how a member stands, and since when it is known to.
type StandingView struct {
	straggler.Status
	Since time.Time `json:"since"`
	Taken time.Time `json:"taken,omitzero"` // its vector, by its own clock
}

// Versions tells what all members act on, as far as this instance knows; ok is false where versions are not told.
func (f *Fleet) Versions() (v VersionsView, ok bool) {
	a := f.acts
	if a == nil {
		return v, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	v = VersionsView{Me: f.o.Name, Digest: a.core.Self().VectorHash, InStep: len(a.addrs) > 0}
	for _, s := range a.look() {
		v.InStep = v.InStep && s.State == straggler.Current
		m := StandingView{Status: s, Since: a.since[s.Member]}
		if k, known := a.core.Peer(s.Member); known && k.Seq > 0 {
			m.Taken = time.UnixMilli(k.AppliedAt)
		}
		v.Members = append(v.Members, m)
	}
	return v, true
}
