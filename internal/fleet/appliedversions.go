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

	"silvertrail/internal/fleet/gossip"
	"silvertrail/internal/fleet/membership"
	"silvertrail/internal/fleet/version"
	"silvertrail/internal/fleet/versionlag"
)

// appliedVersions is the host of packages version, exchange and straggler: what this instance acts on, what the others say that they
// do, and who is behind.
type appliedVersions struct {
	fleet *Fleet

	mu          sync.Mutex
	core        *gossip.Core
	lag         *versionlag.Detector
	vector      version.Vector              // as said last, or to be said next
	announcedAt time.Time                   // it was said
	reported    bool                        // the gateway has told what it acts on
	unnumbered  bool                        // the configuration has no number yet
	addresses   map[string]string           // of the members of the view
	states      map[string]versionlag.State // as logged last
	stateSince  map[string]time.Time
}

const (
	// settleDelay is how long what changes is gathered before it is said: a reload changes several things, and lists change often.
	settleDelay = 200 * time.Millisecond
	// maxReportAge and silentEach are how old a member's word may be: heads come round in turn.
	maxReportAge          = 10 * time.Second
	maxReportAgePerMember = 100 * time.Millisecond
)

func newAppliedVersions(f *Fleet) *appliedVersions {
	a := &appliedVersions{fleet: f, core: gossip.New(f.options.Name, f.process, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), addresses: map[string]string{},
		lag: versionlag.New(versionlag.Limits{RolloutTimeout: f.options.RolloutTimeout, MaxAge: maxReportAge}), states: map[string]versionlag.State{}, stateSince: map[string]time.Time{}}
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
	a.setOwn(f.options)
	return a
}

// setOwn notes the voters and the keyring of this instance. Of a key it tells what only one who has it could know, and nothing
// of the key.
func (a *appliedVersions) setOwn(o Options) {
	var ring []byte
	for _, k := range o.Keyring {
		m := hmac.New(sha256.New, k)
		m.Write([]byte("silvertrail: which key"))
		ring = append(ring, m.Sum(nil)[:8]...)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setEntry(version.Entry{Kind: version.Voters, Hash: version.HashOf([]byte(strings.Join(o.Voters, "\n"))), Description: clip(strings.Join(o.Voters, " "))})
	a.setEntry(version.Entry{Kind: version.Keyring, Hash: version.HashOf(ring)})
}

func clip(s string) string { return s[:min(len(s), 200)] }

// setEntry changes one entry of the vector, keeping what it replaces. The caller holds the lock.
func (a *appliedVersions) setEntry(e version.Entry) {
	if was, ok := a.vector.Find(e.Kind, e.Name); ok {
		if was.Hash == e.Hash {
			return
		}
		e = was.Successor(e.Hash, e.Description)
	}
	a.vector = a.vector.With(e)
}

// updateEntries takes what this instance acts on beside what the fleet knows itself. The configuration gets its number here. The caller
// holds the lock.
func (a *appliedVersions) updateEntries(entries []version.Entry) {
	if len(entries) == 0 {
		return
	}
	a.reported = true
	for _, e := range entries {
		if e.Kind != version.Configuration {
			a.setEntry(e)
			continue
		}
		was, ok := a.vector.Find(e.Kind, e.Name)
		if ok && was.Hash == e.Hash {
			continue
		}
		if ok && !a.unnumbered {
			e = version.AssignNumber(e.Kind, e.Name, e.Hash, e.Description, a.core.Entries(e.Kind, e.Name))
		} else {
			a.unnumbered = true // until enough others have been heard: it may have a number already
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
func (a *appliedVersions) run() {
	every := time.NewTicker(gossip.TickInterval)
	defer every.Stop()
	for ticks := 0; ; ticks++ {
		select {
		case <-every.C:
		case <-a.fleet.closed:
			return
		}
		a.updateMembers()
		var acting []version.Entry
		if a.fleet.options.AppliedVersions != nil {
			acting = a.fleet.options.AppliedVersions()
		}
		a.mu.Lock()
		a.updateEntries(acting)
		a.assignNumber()
		if now := time.Now(); a.reported && now.Sub(a.announcedAt) >= settleDelay {
			if before := a.core.Self(); before.Seq == 0 || a.vector.Digest() != before.VectorHash {
				a.core.Announce(a.fleet.membership.now(), a.vector, now)
				a.announcedAt = now
				a.logChanges(before.Vector)
			}
		}
		a.core.Tick(a.fleet.membership.now())
		out := a.core.Ready()
		if ticks%4 == 0 {
			a.evaluate()
		}
		a.mu.Unlock()
		a.send(out)
	}
}

// updateMembers takes who is in from the view in force.
func (a *appliedVersions) updateMembers() {
	v := a.fleet.membership
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
	clear(a.addresses)
	var names []string
	for _, m := range view.Members {
		a.addresses[m.Name] = m.Address
		names = append(names, m.Name)
	}
	a.core.SetMembers(names)
}

// assignNumber gives the configuration that this process began with its place, once a majority of the view has been heard. The
// caller holds the lock.
func (a *appliedVersions) assignNumber() {
	if !a.unnumbered || !a.reported || len(a.addresses) == 0 {
		return
	}
	heard := 1
	for name := range a.addresses {
		if _, ok := a.core.Peer(name); ok && name != a.fleet.options.Name {
			heard++
		}
	}
	e, ok := a.vector.Find(version.Configuration, "")
	if !ok || 2*heard <= len(a.addresses) {
		return
	}
	a.unnumbered = false
	a.vector = a.vector.With(version.AssignNumber(e.Kind, e.Name, e.Hash, e.Description, a.core.Entries(e.Kind, e.Name)))
}

// logChanges tells what this instance acts on from now on, where it is something else than before. The caller holds the lock.
func (a *appliedVersions) logChanges(before version.Vector) {
	digest := a.core.Self().VectorHash.String()
	for _, e := range a.vector {
		was, ok := before.Find(e.Kind, e.Name)
		if !ok || was.Hash != e.Hash || was.Number != e.Number {
			a.fleet.log.Info("acts on", "kind", e.Kind.String(), "name", e.Name, "is", e.Hash.String(), "number", e.Number, "was", was.Hash.String(), "vector", digest)
		}
	}
	for _, e := range before {
		if _, ok := a.vector.Find(e.Kind, e.Name); !ok {
			a.fleet.log.Info("acts no more on", "kind", e.Kind.String(), "name", e.Name, "was", e.Hash.String(), "vector", digest)
		}
	}
}

func (a *appliedVersions) receive(from string, m *gossip.Message) {
	a.mu.Lock()
	a.core.Receive(a.fleet.membership.now(), from, m)
	out := a.core.Ready()
	a.mu.Unlock()
	a.send(out)
}

func (a *appliedVersions) send(out []gossip.Envelope) {
	for _, s := range out {
		a.mu.Lock()
		at, ok := a.addresses[s.To]
		a.mu.Unlock()
		if ok {
			a.fleet.membership.sendItem(s.To, at, item{Gossip: s.Message})
		}
	}
}

// evaluate judges all members, and logs whose standing has changed. The caller holds the lock.
func (a *appliedVersions) evaluate() []versionlag.Status {
	names := make([]string, 0, len(a.addresses))
	for n := range a.addresses {
		names = append(names, n)
	}
	slices.Sort(names)
	now := a.fleet.membership.now()
	a.lag.SetLimits(versionlag.Limits{RolloutTimeout: a.fleet.options.RolloutTimeout, MaxAge: maxReportAge + time.Duration(len(names))*maxReportAgePerMember})
	members := make([]versionlag.Member, 0, len(names))
	for _, n := range names {
		m := versionlag.Member{Name: n}
		if k, ok := a.core.Peer(n); ok && k.Seq > 0 {
			m.Vector, m.VectorHash, m.Age = k.Vector, k.VectorHash, max(now-k.ConfirmedAt, 0)
		}
		members = append(members, m)
	}
	all := a.lag.Evaluate(now, members)
	for _, s := range all {
		if was, known := a.states[s.Member]; was == s.State && known {
			continue
		}
		a.states[s.Member], a.stateSince[s.Member] = s.State, time.Now()
		why := ""
		for _, f := range s.Findings {
			if f.State == s.State {
				why = f.Kind.String() + " " + f.Name + " has " + f.Has.Hash.String() + " not " + f.Expected.Hash.String()
				break
			}
		}
		a.fleet.log.Info("standing", "name", s.Member, "state", s.State.String(), "why", why)
	}
	for n := range a.states {
		if _, in := a.addresses[n]; !in {
			delete(a.states, n)
			delete(a.stateSince, n)
		}
	}
	return all
}

// VersionsView is what an instance knows of what all act on.
type VersionsView struct {
	AllCurrent bool                 `json:"in_step"` // all members of the view
	Self       string               `json:"me"`
	VectorHash version.Hash         `json:"digest"` // of what this instance acts on
	Members    []MemberVersionsView `json:"members"`
}

// MemberVersionsView is how a member stands, and since when it is known to.
type MemberVersionsView struct {
	versionlag.Status
	Since     time.Time `json:"since"`
	AppliedAt time.Time `json:"taken,omitzero"` // its vector, by its own clock
}

// Versions tells what all members act on, as far as this instance knows; ok is false where versions are not told.
func (f *Fleet) Versions() (v VersionsView, ok bool) {
	a := f.applied
	if a == nil {
		return v, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	v = VersionsView{Self: f.options.Name, VectorHash: a.core.Self().VectorHash, AllCurrent: len(a.addresses) > 0}
	for _, s := range a.evaluate() {
		v.AllCurrent = v.AllCurrent && s.State == versionlag.Current
		m := MemberVersionsView{Status: s, Since: a.stateSince[s.Member]}
		if k, known := a.core.Peer(s.Member); known && k.Seq > 0 {
			m.AppliedAt = time.UnixMilli(k.AppliedAt)
		}
		v.Members = append(v.Members, m)
	}
	return v, true
}
