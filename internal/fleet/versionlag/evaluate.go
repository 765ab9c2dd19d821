package versionlag

import (
	"slices"
	"time"

	"silvertrail/internal/fleet/version"
)

// evaluation is one run of a Detector.
type evaluation struct {
	*Detector
	now      time.Duration
	members  []Member
	statuses []Status
	// State that the Detector keeps for its next run.
	findingSince map[findingKey]time.Duration
	newestSince  map[newestKey]time.Duration
}

// holders initializes the statuses, and returns for each shared entry the indexes of the members that have the entry.
func (e *evaluation) holders() map[entryKey][]int {
	holders := map[entryKey][]int{}
	for i, m := range e.members {
		e.statuses[i] = Status{Member: m.Name, Age: m.Age, VectorHash: m.VectorHash, Vector: m.Vector}
		if m.Vector == nil || m.Age > e.limits.MaxAge {
			e.statuses[i].State = NotReporting
		}
		for _, entry := range m.Vector {
			if entry.Kind.IsShared() {
				key := entryKey{entry.Kind, entry.Name}
				holders[key] = append(holders[key], i)
			}
		}
	}
	return holders
}

// evaluateEntry adds the findings for one entry.
func (e *evaluation) evaluateEntry(key entryKey, holders []int) {
	versions := versionSet{}
	hashes := make([]version.Hash, len(holders))
	for j, i := range holders {
		entry, _ := e.members[i].Vector.Find(key.kind, key.name)
		hashes[j] = entry.Hash
		versions.add(entry)
	}
	newest := versions.newest()
	for j, i := range holders {
		if finding, found := versions.classify(key, hashes[j], newest); found {
			e.addFinding(i, key, finding)
		}
	}
	if len(newest) == 1 && key.kind.IsUrgent() {
		e.flagUnadoptedNewest(key, newest[0].Entry, holders, hashes)
	}
}

// addFinding adds a finding with its duration. A member that is lagging or divergent for no longer than the rollout timeout is
// updating.
func (e *evaluation) addFinding(i int, key entryKey, finding Finding) {
	member := e.members[i]
	id := findingKey{member.Name, key, finding.Has.Hash, finding.Expected.Hash}
	since, known := e.Detector.findingSince[id]
	if !known {
		since = e.now
	}
	e.findingSince[id] = since
	finding.Duration = max(e.now-member.Age-since, 0) // it is not known which versions the member has applied since its report
	inTime := finding.Duration <= e.limits.RolloutTimeout
	if inTime && (finding.State == Lagging || finding.State == Divergent) {
		finding.State = Updating
	}
	e.statuses[i].Findings = append(e.statuses[i].Findings, finding)
}

// flagUnadoptedNewest replaces the findings for one entry if at least half of the members have not adopted the newest version
// within the rollout timeout. The members that have the newest version are then ahead, and the others do not lag.
func (e *evaluation) flagUnadoptedNewest(key entryKey, newest version.Entry, holders []int, hashes []version.Hash) {
	id := newestKey{key, newest.Hash}
	since, known := e.Detector.newestSince[id]
	if !known {
		since = e.now
	}
	e.newestSince[id] = since
	if 2*e.countStale(newest.Hash, since, holders, hashes) < len(holders) {
		return
	}
	for j, i := range holders {
		status := &e.statuses[i]
		if hashes[j] == newest.Hash {
			status.Findings = append(status.Findings, Finding{
				Kind:     key.kind,
				Name:     key.name,
				State:    Ahead,
				Has:      newest,
				Expected: newest,
				Duration: e.now - since,
			})
			continue
		}
		status.Findings = slices.DeleteFunc(status.Findings, func(f Finding) bool {
			return f.Kind == key.kind && f.Name == key.name && f.State <= Lagging
		})
	}
}

// countStale returns how many members reported a version other than the newest one after the rollout timeout.
func (e *evaluation) countStale(newest version.Hash, since time.Duration, holders []int, hashes []version.Hash) int {
	stale := 0
	for j, i := range holders {
		if hashes[j] != newest && e.now-e.members[i].Age > since+e.limits.RolloutTimeout {
			stale++
		}
	}
	return stale
}

// versionSet is the set of versions of one entry that members apply, by hash. Of several entries with one hash, it prefers the
// one with more ancestors or a higher number.
type versionSet map[version.Hash]*versionCount

// versionCount is a version with the number of members that apply it.
type versionCount struct {
	version.Entry
	members int
}

func (s versionSet) add(e version.Entry) {
	count := s[e.Hash]
	if count == nil {
		count = &versionCount{Entry: e}
		s[e.Hash] = count
	} else if len(e.Ancestors) > len(count.Ancestors) || e.Number > count.Number {
		count.Entry = e
	}
	count.members++
}

// newest returns the versions that no other version has replaced. There are several if they are forked or unrelated.
func (s versionSet) newest() []*versionCount {
	var newest []*versionCount
	for _, v := range s {
		if !s.isReplaced(v.Entry) {
			newest = append(newest, v)
		}
	}
	slices.SortFunc(newest, func(a, b *versionCount) int { return slices.Compare(a.Hash[:], b.Hash[:]) })
	return newest
}

// isReplaced reports whether the set has a version that is newer than e.
func (s versionSet) isReplaced(e version.Entry) bool {
	for _, other := range s {
		if version.Compare(e, other.Entry) == version.Older {
			return true
		}
	}
	return false
}

// classify compares one version with the newest ones. found is false for a version that is current.
func (s versionSet) classify(key entryKey, hash version.Hash, newest []*versionCount) (finding Finding, found bool) {
	v := s[hash]
	finding = Finding{Kind: key.kind, Name: key.name, Has: v.Entry}
	if len(newest) == 1 && newest[0] == v {
		return finding, false
	}
	members := 0 // of several unrelated versions, the one that most members apply is expected
	for _, other := range newest {
		switch version.Compare(v.Entry, other.Entry) {
		case version.Forked:
			if finding.State < Forked {
				finding.State, finding.Expected = Forked, other.Entry
			}
		case version.Older:
			if finding.State < Lagging {
				finding.State, finding.Expected = Lagging, other.Entry
				finding.VersionsBehind = version.VersionsBehind(v.Entry, other.Entry)
			}
		case version.Unknown:
			if finding.State < Divergent || finding.State == Divergent && other.members > members {
				finding.State, finding.Expected = Divergent, other.Entry
				members = other.members
			}
		}
	}
	if finding.State == Divergent && v.members > members {
		return finding, false // more members apply this version, so the others are divergent
	}
	return finding, finding.State != Current
}
