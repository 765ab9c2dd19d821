// Package cluster keeps the members of a cluster from several sources, and runs the cluster's balancer over them.
//
// What the sources say is merged by rules that merge.go states; who of the members gets a request is for package
// decide alone.
package cluster

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"silvertrail/internal/base/endpointlist"
)

// The kinds of word that a source has.
type updateKind uint8

const (
	fullList       updateKind = iota // all that the source lists
	changedEntries                   // entries that changed
	unreachable                      // it is out of reach
)

// sourceTraits is how a source's words are to be taken.
type sourceTraits struct {
	// partial: what it leaves out may still be there (a name server rotates and cuts its answers). Else leaving out
	// what it listed means gone.
	partial bool
	// trustsEmpty: an empty list is meant (a configuration that was just loaded).
	trustsEmpty bool
}

const (
	maxMembers = 10_000 // of a cluster; a source may hold twice as many entries, and as many departures
	// departureRetention is how long "gone" from one source stands against another that goes on listing the endpoint: long past
	// any cache between the two, and not for ever, as the teller may have lost sight of it only.
	departureRetention = 5 * time.Minute
)

const (
	ready    = "ready"
	draining = "draining"
	gone     = "gone"
	// standby is listed and not to be used now: what other sources say of it counts.
	standby = "standby"
)

// merger makes one list out of what several sources say. The rules:
//
//  1. A member is there while any source lists it.
//  2. A drain told by any source holds until that source says ready, no longer lists the member, or lists it with a
//     later start.
//  3. Gone told by any source (in so many words, or by leaving out what it listed, where it is no name server) holds
//     against all others for goneFor, until that source lists it again, or until the member's start is later.
//  4. A source out of reach changes nothing: its last words stand.
//  5. An empty list after one that was not is taken for a fault and held back until it has stood for the hold; also over a
//     reload that follows the sources anew.
//  6. A member is known by its address: what sources call by several names at one address is one member, under the name
//     of the latest start, else of the first source in the configuration's order that names it. A drain told of a name
//     holds at every address of that name.
//  7. Zone, group and weight are those of the first source that tells them; the start is the latest told.
//  8. What a source lists as standby (a level of failover that has its time later) is there for the others' words alone.
//
// A merger has no clock and does no I/O. It is not safe for concurrent use.
type merger struct {
	emptyHold  time.Duration
	sources    []sourceState
	truncated  int  // members over maxMembers at the last merge
	hadMembers bool // there were members before the sources were followed: a first list that is empty is one after one that was not
}

// sourceState is what one source has said last.
type sourceState struct {
	sourceTraits
	hasList     bool // has told a list
	hasReported bool // or that it is out of reach
	entries     map[string]endpointlist.Endpoint
	departures  map[string]departure
	emptySince  time.Time // since when it lists nothing, held back; zero: not
}

// departure is a word of "gone".
type departure struct {
	at      time.Time
	address string
}

func newMerger(hold time.Duration, traits ...sourceTraits) *merger {
	m := &merger{emptyHold: hold}
	for _, t := range traits {
		m.sources = append(m.sources, sourceState{sourceTraits: t, entries: map[string]endpointlist.Endpoint{}, departures: map[string]departure{}})
	}
	return m
}

// entryKey is what a source knows an entry by.
func entryKey(e endpointlist.Endpoint) string { return cmp.Or(e.Name, e.Address) }

// apply takes a source's word.
func (m *merger) apply(now time.Time, source int, w updateKind, entries []endpointlist.Endpoint) {
	s := &m.sources[source]
	s.hasReported = true
	m.expire(now)
	switch w {
	case unreachable:
		return
	case fullList:
		if len(entries) == 0 && !s.trustsEmpty && (len(s.entries) > 0 || !s.hasList && m.hadMembers) {
			if s.emptySince.IsZero() {
				s.emptySince = now
			}
			m.expire(now)
			return
		}
		s.hasList = true
		named := make(map[string]bool, len(entries))
		for _, e := range entries {
			named[entryKey(e)] = true
		}
		for k := range s.entries {
			if !named[k] {
				s.remove(k, now)
			}
		}
	}
	for _, e := range entries {
		k := entryKey(e)
		switch e.Status {
		case gone:
			if k != "" {
				s.recordDeparture(k, departure{now, cmp.Or(s.entries[k].Address, e.Address)})
			}
			delete(s.entries, k)
		case ready, draining, standby:
			if k == "" {
				continue
			}
			if was, listed := s.entries[k]; listed && was.Address != e.Address && !s.partial {
				s.recordDeparture("@"+was.Address, departure{now, was.Address}) // it has moved
			} else if !listed && len(s.entries) >= 2*maxMembers {
				continue
			}
			s.entries[k] = e
			delete(s.departures, k)
		}
	}
	if len(s.entries) > 0 {
		s.emptySince = time.Time{}
	}
}

func (s *sourceState) remove(k string, now time.Time) {
	if !s.partial {
		s.recordDeparture(k, departure{now, s.entries[k].Address})
	}
	delete(s.entries, k)
}

// recordDeparture keeps a word of "gone", within the bound: past it the word counts for its own source alone.
func (s *sourceState) recordDeparture(k string, d departure) {
	if len(s.departures) < 2*maxMembers {
		s.departures[k] = d
	}
}

// expire lets what was held back take effect, and forgets what is over.
func (m *merger) expire(now time.Time) {
	for i := range m.sources {
		s := &m.sources[i]
		if !s.emptySince.IsZero() && now.Sub(s.emptySince) >= m.emptyHold {
			for k := range s.entries {
				s.remove(k, now)
			}
			s.emptySince, s.hasList = time.Time{}, true
		}
		maps.DeleteFunc(s.departures, func(_ string, g departure) bool { return now.Sub(g.at) >= departureRetention })
	}
}

// nextDeadline returns the time at which expire has something to do; zero: none.
func (m *merger) nextDeadline() (at time.Time) {
	for i := range m.sources {
		s := &m.sources[i]
		if !s.emptySince.IsZero() {
			at = sooner(at, s.emptySince.Add(m.emptyHold))
		}
		for _, g := range s.departures {
			at = sooner(at, g.at.Add(departureRetention))
		}
	}
	return at
}

func sooner(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// allReported tells whether each source has had a word, if only that it is out of reach.
func (m *merger) allReported() bool {
	return !slices.ContainsFunc(m.sources, func(s sourceState) bool { return !s.hasReported })
}

// allListed tells whether each source has told a list.
func (m *merger) allListed() bool {
	return !slices.ContainsFunc(m.sources, func(s sourceState) bool { return !s.hasList })
}

// members returns the merged list, by name.
func (m *merger) members(now time.Time) []endpointlist.Endpoint {
	m.expire(now)
	words := map[string][]endpointlist.Endpoint{} // by address, in the order of the sources
	drained := drains{}
	for i := range m.sources {
		entries := m.sources[i].entries
		for _, k := range slices.Sorted(maps.Keys(entries)) {
			e := entries[k]
			if e.Address != "" && e.Status != standby {
				words[e.Address] = append(words[e.Address], e)
			}
			if e.Status == draining {
				drained.add("@"+e.Address, e.SinceMS)
				if e.Name != "" {
					drained.add(e.Name, e.SinceMS)
				}
			}
		}
	}
	list := make(map[string]endpointlist.Endpoint, len(words))
	departed := m.departures()
	for _, address := range slices.Sorted(maps.Keys(words)) {
		e := mergeEntries(address, words[address])
		if departed.covers(e) {
			continue
		}
		if drained.covers("@"+e.Address, e.SinceMS) || drained.covers(e.Name, e.SinceMS) {
			e.Status = draining
		}
		if _, taken := list[e.Name]; taken { // sources that differ in where it is
			e.Name += "@" + address
		}
		list[e.Name] = e
	}
	out := slices.SortedFunc(maps.Values(list), func(a, b endpointlist.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	over := max(len(out)-maxMembers, 0)
	m.truncated = over
	return out[:len(out)-over]
}

// drains are the words of "draining", by name and by address with "@" before it: the latest start of which it was told.
type drains map[string]int64

func (d drains) add(of string, since int64) {
	if since <= 0 { // of whatever start
		since = math.MaxInt64
	}
	d[of] = max(d[of], since)
}

func (d drains) covers(of string, since int64) bool {
	until, told := d[of]
	return told && until >= since
}

// activeDepartures are the words of "gone" that hold, of each source: by name and by address.
type activeDepartures []struct {
	names, addresses map[string]departure
	listed           map[string]bool // addresses that the source lists: another process may stand there now
}

func (m *merger) departures() activeDepartures {
	out := make(activeDepartures, len(m.sources))
	for i := range m.sources {
		s, d := &m.sources[i], &out[i]
		if len(s.departures) == 0 {
			continue
		}
		d.names, d.addresses, d.listed = s.departures, make(map[string]departure, len(s.departures)), make(map[string]bool, len(s.entries))
		for _, g := range s.departures {
			if g.at.After(d.addresses[g.address].at) {
				d.addresses[g.address] = g
			}
		}
		for _, e := range s.entries {
			d.listed[e.Address] = true
		}
	}
	return out
}

// covers tells of a member that a source has said to be gone, and does not list again.
func (d activeDepartures) covers(e endpointlist.Endpoint) bool {
	for i := range d {
		if d[i].listed[e.Address] {
			continue
		}
		for _, g := range []departure{d[i].names[e.Name], d[i].addresses[e.Address]} {
			if !g.at.IsZero() && e.SinceMS < g.at.UnixMilli() {
				return true
			}
		}
	}
	return false
}

// mergeEntries makes one member of all that is said of an address.
func mergeEntries(address string, words []endpointlist.Endpoint) endpointlist.Endpoint {
	out := endpointlist.Endpoint{Address: address, Status: ready}
	for _, e := range words {
		out.Zone = cmp.Or(out.Zone, e.Zone)
		out.Group = cmp.Or(out.Group, e.Group)
		out.Weight = cmp.Or(out.Weight, e.Weight)
		if e.Name != "" && (out.Name == "" || e.SinceMS > out.SinceMS) {
			out.Name = e.Name
		}
		out.SinceMS = max(out.SinceMS, e.SinceMS)
	}
	out.Name = cmp.Or(out.Name, address)
	return out
}
