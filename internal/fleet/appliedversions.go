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

// appliedVersions connects the packages version, gossip and versionlag to the network and the clock. It holds the versions
// that this instance applies, the versions that other members report, and the state of each member.
type appliedVersions struct {
	fleet *Fleet

	mu                      sync.Mutex // guards the fields below
	core                    *gossip.Core
	detector                *versionlag.Detector
	vector                  version.Vector // the vector announced last, or to be announced next
	announcedAt             time.Time
	hasReported             bool                        // the gateway has reported the versions that it applies
	configurationUnnumbered bool                        // the configuration has no version number yet
	addresses               map[string]string           // of the members of the view, by name
	states                  map[string]versionlag.State // by member, as logged last
	stateSince              map[string]time.Time        // by member, when the state was logged
}

const (
	// minAnnounceInterval is the shortest time between two announcements. It combines changes: a reload changes several
	// versions, and endpoint lists change often.
	minAnnounceInterval = 200 * time.Millisecond
	// maxReportAge and maxReportAgePerMember bound the age of a report that counts as current. The bound grows with the number
	// of members, because digests are exchanged with one member after the other.
	maxReportAge          = 10 * time.Second
	maxReportAgePerMember = 100 * time.Millisecond
	// evaluationTicks is the number of ticks between two evaluations of all members.
	evaluationTicks = 4
	// maxDescriptionBytes bounds each description in a vector.
	maxDescriptionBytes = 200
	// keyFingerprintBytes is the length of each key's fingerprint in the version of the keyring.
	keyFingerprintBytes = 8
	// keyFingerprintLabel is the message whose HMAC identifies a key.
	keyFingerprintLabel = "silvertrail: which key"
)

func newAppliedVersions(f *Fleet) *appliedVersions {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	a := &appliedVersions{
		fleet:      f,
		core:       gossip.New(f.options.Name, f.process, random),
		detector:   versionlag.New(versionlag.Limits{RolloutTimeout: f.options.RolloutTimeout, MaxAge: maxReportAge}),
		addresses:  map[string]string{},
		states:     map[string]versionlag.State{},
		stateSince: map[string]time.Time{},
	}
	build := buildDescription()
	a.vector = a.vector.With(version.Entry{Kind: version.Build, Hash: version.HashOf([]byte(build)), Description: strings.TrimSpace(build)})
	a.setOwnEntries(f.options)
	return a
}

// buildDescription returns the Go version, the module version, the VCS revision and the build tags of this program.
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

// setOwnEntries sets the entries of this instance's voters and keyring. A key is identified by a fingerprint, which reveals
// nothing about the key.
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

// setEntry sets one entry of the vector. The entry records the version that it replaces. The caller holds the lock.
func (a *appliedVersions) setEntry(e version.Entry) {
	if current, ok := a.vector.Find(e.Kind, e.Name); ok {
		if current.Hash == e.Hash {
			return
		}
		e = current.Successor(e.Hash, e.Description)
	}
	a.vector = a.vector.With(e)
}

// updateEntries sets the entries returned by Options.AppliedVersions. The entries of the build, the voters and the keyring are
// set elsewhere in this file. The caller holds the lock.
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

// setConfiguration sets the entry of the configuration. A changed configuration gets a number at once. The configuration that
// the process started with gets its number later, in assignNumber: other members may already have a number for it.
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

// dropTransient removes the transient entries that are missing from the current entries. The caller holds the lock.
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

// run ticks the core until the instance is closed.
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

// tick updates the versions that this instance applies, ticks the core, and returns the messages to send.
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

// announce announces the vector if it has changed since the last announcement. The caller holds the lock.
func (a *appliedVersions) announce(now time.Time) {
	if !a.hasReported || now.Sub(a.announcedAt) < minAnnounceInterval {
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

// updateMembers sets the members from the installed view. Without a quorum they stay as they are, because no majority is
// reachable that could confirm the view.
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

// confirmedView returns the installed view if a majority has been reachable recently, else nil.
func (h *membershipHost) confirmedView() *membership.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.core.HasQuorum() {
		return nil
	}
	return h.core.View()
}

// assignNumber assigns a number to the configuration that this process started with. It waits until the versions applied by
// a majority of the view are known. The caller holds the lock.
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

// logChanges logs the versions that this instance has started or stopped applying. The caller holds the lock.
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

// receive handles a message from another member.
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
	a.detector.SetLimits(versionlag.Limits{
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
	statuses := a.detector.Evaluate(now, members)
	a.logStates(statuses)
	return statuses
}

// logStates logs the members whose state has changed, and forgets those that have left the view. The caller holds the lock.
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

// describe returns the first finding with the state of the member, or an empty text if there is none.
func describe(s versionlag.Status) string {
	for _, f := range s.Findings {
		if f.State == s.State {
			return f.Kind.String() + " " + f.Name + " has " + f.Has.Hash.String() + " not " + f.Expected.Hash.String()
		}
	}
	return ""
}

// VersionsView describes the versions that all members apply, as far as this instance knows them.
type VersionsView struct {
	AllCurrent bool                 `json:"in_step"` // each member of the view has the state Current
	Self       string               `json:"me"`
	VectorHash version.Hash         `json:"digest"` // of this instance
	Members    []MemberVersionsView `json:"members"`
}

// MemberVersionsView is the version status of one member.
type MemberVersionsView struct {
	versionlag.Status
	Since     time.Time `json:"since"`          // when this instance logged the state
	AppliedAt time.Time `json:"taken,omitzero"` // when the member applied its vector, by the member's clock
}

// Versions returns the versions that all members apply, as far as this instance knows them; ok is false if members do not
// exchange versions.
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
