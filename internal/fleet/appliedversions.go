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

// appliedVersions is the host of packages version, gossip and versionlag: it holds the versions that this instance applies,
// those that the others report, and who is lagging.
type appliedVersions struct {
	fleet *Fleet

	mu                      sync.Mutex // guards the fields below
	core                    *gossip.Core
	lag                     *versionlag.Detector
	vector                  version.Vector // as announced last, or to be announced next
	announcedAt             time.Time
	hasReported             bool                        // the gateway has reported what it applies
	configurationUnnumbered bool                        // the configuration has no number yet
	addresses               map[string]string           // of the members of the view
	states                  map[string]versionlag.State // as logged last
	stateSince              map[string]time.Time
}

const (
	// settleDelay is how long changes are combined before they are announced: a reload changes several things, and lists change
	// often.
	settleDelay = 200 * time.Millisecond
	// maxReportAge and maxReportAgePerMember bound the age of a current report: digests are exchanged in turn.
	maxReportAge          = 10 * time.Second
	maxReportAgePerMember = 100 * time.Millisecond
	// evaluationTicks is how many ticks lie between two evaluations of all members.
	evaluationTicks = 4
	// maxDescriptionBytes bounds the descriptions in a vector.
	maxDescriptionBytes = 200
	// keyFingerprintBytes is how much of a key's fingerprint goes into the version of the keyring.
	keyFingerprintBytes = 8
	// keyFingerprintLabel is the message whose HMAC identifies a key.
	keyFingerprintLabel = "silvertrail: which key"
)

func newAppliedVersions(f *Fleet) *appliedVersions {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	a := &appliedVersions{
		fleet:      f,
		core:       gossip.New(f.options.Name, f.process, random),
		lag:        versionlag.New(versionlag.Limits{RolloutTimeout: f.options.RolloutTimeout, MaxAge: maxReportAge}),
		addresses:  map[string]string{},
		states:     map[string]versionlag.State{},
		stateSince: map[string]time.Time{},
	}
	build := buildDescription()
	a.vector = a.vector.With(version.Entry{Kind: version.Build, Hash: version.HashOf([]byte(build)), Description: strings.TrimSpace(build)})
	a.setOwnEntries(f.options)
	return a
}

// buildDescription identifies the program.
func buildDescription() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	description := info.GoVersion + " " + info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" || s.Key == "-tags" {
			description += " " + s.Value
		}
	}
	return description
}

// setOwnEntries sets the entries of this instance's voters and keyring. A key is identified by a fingerprint, which tells nothing about
// the key.
func (a *appliedVersions) setOwnEntries(o Options) {
	var fingerprints []byte
	for _, key := range o.Keyring {
		mac := hmac.New(sha256.New, key)
		mac.Write([]byte(keyFingerprintLabel))
		fingerprints = append(fingerprints, mac.Sum(nil)[:keyFingerprintBytes]...)
	}
	voters := version.HashOf([]byte(strings.Join(o.Voters, "\n")))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setEntry(version.Entry{Kind: version.Voters, Hash: voters, Description: truncateDescription(strings.Join(o.Voters, " "))})
	a.setEntry(version.Entry{Kind: version.Keyring, Hash: version.HashOf(fingerprints)})
}

func truncateDescription(s string) string { return s[:min(len(s), maxDescriptionBytes)] }

// setEntry changes one entry of the vector, which remembers the version that it replaces. The caller holds the lock.
func (a *appliedVersions) setEntry(e version.Entry) {
	if current, ok := a.vector.Find(e.Kind, e.Name); ok {
		if current.Hash == e.Hash {
			return
		}
		e = current.Successor(e.Hash, e.Description)
	}
	a.vector = a.vector.With(e)
}

// updateEntries sets the entries of what this instance applies, except those that the fleet knows itself. The caller holds the
// lock.
func (a *appliedVersions) updateEntries(entries []version.Entry) {
	if len(entries) == 0 {
		return
	}
	a.hasReported = true
	for _, e := range entries {
		if e.Kind == version.Configuration {
			a.setConfiguration(e)
		} else {
			a.setEntry(e)
		}
	}
	a.dropTransient(entries)
}

// setConfiguration sets the entry of the configuration. It gets a number at once, unless this process has not received the
// entries of enough others yet: the configuration may have a number already.
func (a *appliedVersions) setConfiguration(e version.Entry) {
	current, ok := a.vector.Find(e.Kind, e.Name)
	if ok && current.Hash == e.Hash {
		return
	}
	if ok && !a.configurationUnnumbered {
		e = version.AssignNumber(e.Kind, e.Name, e.Hash, e.Description, a.core.Entries(e.Kind, e.Name))
	} else {
		a.configurationUnnumbered = true
	}
	a.vector = a.vector.With(e)
}

// dropTransient removes the transient entries that are not among the current ones.
func (a *appliedVersions) dropTransient(current []version.Entry) {
	type entryKey struct {
		kind version.Kind
		name string
	}
	isCurrent := map[entryKey]bool{}
	for _, e := range current {
		isCurrent[entryKey{e.Kind, e.Name}] = true
	}
	for _, e := range a.vector {
		if e.Kind.IsTransient() && !isCurrent[entryKey{e.Kind, e.Name}] {
			a.vector = a.vector.Without(e.Kind, e.Name)
		}
	}
}

// run advances the clock of the core until the instance ends.
func (a *appliedVersions) run() {
	ticker := time.NewTicker(gossip.TickInterval)
	defer ticker.Stop()
	for ticks := 0; ; ticks++ {
		select {
		case <-ticker.C:
		case <-a.fleet.closed:
			return
		}
		a.updateMembers()
		a.send(a.tick(ticks))
	}
}

// tick updates what this instance applies, and returns the messages to send.
func (a *appliedVersions) tick(ticks int) []gossip.Envelope {
	var applied []version.Entry
	if a.fleet.options.AppliedVersions != nil {
		applied = a.fleet.options.AppliedVersions()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateEntries(applied)
	a.assignNumber()
	a.announce(time.Now())
	a.core.Tick(a.fleet.membership.now())
	outgoing := a.core.Ready()
	if ticks%evaluationTicks == 0 {
		a.evaluate()
	}
	return outgoing
}

// announce announces the vector where it has changed. The caller holds the lock.
func (a *appliedVersions) announce(now time.Time) {
	if !a.hasReported || now.Sub(a.announcedAt) < settleDelay {
		return
	}
	before := a.core.Self()
	if before.Seq > 0 && a.vector.Digest() == before.VectorHash {
		return
	}
	a.core.Announce(a.fleet.membership.now(), a.vector, now)
	a.announcedAt = now
	a.logChanges(before.Vector)
}

// updateMembers sets the members from the view in force. Without a quorum they stay as they are: there is nobody to ask who
// would know better.
func (a *appliedVersions) updateMembers() {
	view := a.fleet.membership.confirmedView()
	if view == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.addresses)
	for _, m := range view.Members {
		a.addresses[m.Name] = m.Address
	}
	a.core.SetMembers(memberNames(view))
}

// confirmedView returns the view in force if a majority has been reachable lately, else nil.
func (h *membershipHost) confirmedView() *membership.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.core.HasQuorum() {
		return nil
	}
	return h.core.View()
}

// assignNumber gives the configuration that this process started with its number, once the states of a majority of the view
// are known. The caller holds the lock.
func (a *appliedVersions) assignNumber() {
	if !a.configurationUnnumbered || !a.hasReported || len(a.addresses) == 0 {
		return
	}
	known := 1
	for name := range a.addresses {
		if _, ok := a.core.Peer(name); ok && name != a.fleet.options.Name {
			known++
		}
	}
	e, ok := a.vector.Find(version.Configuration, "")
	if !ok || 2*known <= len(a.addresses) {
		return
	}
	a.configurationUnnumbered = false
	a.vector = a.vector.With(version.AssignNumber(e.Kind, e.Name, e.Hash, e.Description, a.core.Entries(e.Kind, e.Name)))
}

// logChanges logs the versions that this instance applies from now on. The caller holds the lock.
func (a *appliedVersions) logChanges(before version.Vector) {
	log := a.fleet.log
	digest := a.core.Self().VectorHash.String()
	for _, e := range a.vector {
		previous, ok := before.Find(e.Kind, e.Name)
		if !ok || previous.Hash != e.Hash || previous.Number != e.Number {
			log.Info("version applied", "kind", e.Kind.String(), "name", e.Name, "is", e.Hash.String(), "number", e.Number, "was", previous.Hash.String(), "vector", digest)
		}
	}
	for _, e := range before {
		if _, ok := a.vector.Find(e.Kind, e.Name); !ok {
			log.Info("version no longer applied", "kind", e.Kind.String(), "name", e.Name, "was", e.Hash.String(), "vector", digest)
		}
	}
}

// receive handles a message of another member.
func (a *appliedVersions) receive(from string, m *gossip.Message) {
	a.mu.Lock()
	a.core.Receive(a.fleet.membership.now(), from, m)
	outgoing := a.core.Ready()
	a.mu.Unlock()
	a.send(outgoing)
}

func (a *appliedVersions) send(outgoing []gossip.Envelope) {
	for _, envelope := range outgoing {
		a.mu.Lock()
		address, ok := a.addresses[envelope.To]
		a.mu.Unlock()
		if ok {
			a.fleet.membership.sendItem(envelope.To, address, item{Gossip: envelope.Message})
		}
	}
}

// evaluate returns the status of all members, and logs those whose state has changed. The caller holds the lock.
func (a *appliedVersions) evaluate() []versionlag.Status {
	names := make([]string, 0, len(a.addresses))
	for name := range a.addresses {
		names = append(names, name)
	}
	slices.Sort(names)
	now := a.fleet.membership.now()
	a.lag.SetLimits(versionlag.Limits{
		RolloutTimeout: a.fleet.options.RolloutTimeout,
		MaxAge:         maxReportAge + time.Duration(len(names))*maxReportAgePerMember,
	})
	members := make([]versionlag.Member, 0, len(names))
	for _, name := range names {
		m := versionlag.Member{Name: name}
		if peer, ok := a.core.Peer(name); ok && peer.Seq > 0 {
			m.Vector, m.VectorHash, m.Age = peer.Vector, peer.VectorHash, max(now-peer.ConfirmedAt, 0)
		}
		members = append(members, m)
	}
	statuses := a.lag.Evaluate(now, members)
	a.logStates(statuses)
	return statuses
}

// logStates logs the members whose state has changed, and forgets those that are out. The caller holds the lock.
func (a *appliedVersions) logStates(statuses []versionlag.Status) {
	for _, s := range statuses {
		if previous, known := a.states[s.Member]; known && previous == s.State {
			continue
		}
		a.states[s.Member], a.stateSince[s.Member] = s.State, time.Now()
		a.fleet.log.Info("version state changed", "name", s.Member, "state", s.State.String(), "why", describe(s))
	}
	for name := range a.states {
		if _, present := a.addresses[name]; !present {
			delete(a.states, name)
			delete(a.stateSince, name)
		}
	}
}

// describe names the first finding that a state comes from.
func describe(s versionlag.Status) string {
	for _, f := range s.Findings {
		if f.State == s.State {
			return f.Kind.String() + " " + f.Name + " has " + f.Has.Hash.String() + " not " + f.Expected.Hash.String()
		}
	}
	return ""
}

// VersionsView is what an instance knows of the versions that all members apply.
type VersionsView struct {
	AllCurrent bool                 `json:"in_step"` // all members of the view
	Self       string               `json:"me"`
	VectorHash version.Hash         `json:"digest"` // of this instance
	Members    []MemberVersionsView `json:"members"`
}

// MemberVersionsView is the state of a member, and since when it is known.
type MemberVersionsView struct {
	versionlag.Status
	Since     time.Time `json:"since"`
	AppliedAt time.Time `json:"taken,omitzero"` // of its vector, by its own clock
}

// Versions returns the versions that all members apply, as far as this instance knows; ok is false where versions are not
// exchanged.
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
		member := MemberVersionsView{Status: s, Since: a.stateSince[s.Member]}
		if peer, known := a.core.Peer(s.Member); known && peer.Seq > 0 {
			member.AppliedAt = time.UnixMilli(peer.AppliedAt)
		}
		v.Members = append(v.Members, member)
	}
	return v, true
}
