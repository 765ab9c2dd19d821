package cluster

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"silvertrail/internal/base/endpointlist"
)

// updateKind is a kind of update from a source.
type updateKind uint8

const (
	fullList       updateKind = iota // all entries of the source
	changedEntries                   // entries that have changed
	unreachable                      // the source cannot be reached
)

// sourceTraits say how a source's updates are interpreted.
type sourceTraits struct {
	// partial: an entry that it leaves out may still exist (a name server rotates and truncates its responses). Otherwise leaving out an
	// entry that was listed means that the endpoint has departed.
	partial bool
	// trustsEmpty: an empty list is intended (a configuration that was just loaded).
	trustsEmpty bool
}

const (
	maxMembers          = 10_000         // of a cluster
	maxEntriesPerSource = 2 * maxMembers // entries, and departures
	// departureRetention is how long a departure that one source reports counts against another that still lists the endpoint: much
	// longer than any cache between the two, but not for ever, as the source may just have lost sight of the endpoint.
	departureRetention = 5 * time.Minute
)

// The states of an entry.
const (
	ready    = "ready"
	draining = "draining"
	gone     = "gone"
	// standby: listed and not to be used now; what other sources say of the endpoint counts.
	standby = "standby"
)

// merger merges the lists of several sources by these rules:
//
//  1. An endpoint is a member while any source lists it.
//  2. A drain that any source reports holds until that source says ready, no longer lists the endpoint, or lists it with a later start.
//  3. A departure that any source reports (explicitly, or by leaving out what it listed, unless it is partial) counts against all others
//     for departureRetention, until that source lists the endpoint again, or until the endpoint's start is later.
//  4. An unreachable source changes nothing: its last list stays.
//  5. An empty list after one that was not empty is taken for a fault and deferred for the empty hold, also over a reload that follows
//     the sources anew.
//  6. A member is identified by its address: entries with several names and one address are one member, under the name with the latest
//     start, else that of the first source in the configuration's order. A drain that names an endpoint holds at each of its addresses.
//  7. Zone, group and weight are those of the first source that gives them; the start is the latest.
//  8. An entry on standby (of a priority that is not in use) does not make a member by itself.
//
// A merger has no clock and does no I/O. It is not safe for concurrent use.
type merger struct {
	emptyHold  time.Duration
	sources    []sourceState
	truncated  int  // members over maxMembers at the last merge
	hadMembers bool // before the sources were followed: an empty first list follows one that was not empty
}

// sourceState is the state of one source.
type sourceState struct {
	sourceTraits
	hasList     bool
	hasReported bool // a list, or that it is unreachable
	entries     map[string]endpointlist.Endpoint
	departures  map[string]departure
	emptySince  time.Time // since when an empty list is deferred; zero: none is
}

// departure is a report that an endpoint has departed.
type departure struct {
	at      time.Time
	address string
}

func newMerger(emptyHold time.Duration, traits ...sourceTraits) *merger {
	m := &merger{emptyHold: emptyHold}
	for _, t := range traits {
		m.sources = append(m.sources, sourceState{sourceTraits: t, entries: map[string]endpointlist.Endpoint{}, departures: map[string]departure{}})
	}
	return m
}

// entryKey identifies an entry within its source.
func entryKey(e endpointlist.Endpoint) string { return cmp.Or(e.Name, e.Address) }

// addressKey identifies an address among names.
func addressKey(address string) string { return "@" + address }

// apply applies a source's update.
func (m *merger) apply(now time.Time, source int, kind updateKind, entries []endpointlist.Endpoint) {
	s := &m.sources[source]
	s.hasReported = true
	m.expire(now)
	switch kind {
	case unreachable:
		return
	case fullList:
		if len(entries) == 0 && m.deferEmpty(now, s) {
			return
		}
		s.hasList = true
		s.removeUnlisted(now, entries)
	}
	for _, e := range entries {
		s.applyEntry(now, e)
	}
	if len(s.entries) > 0 {
		s.emptySince = time.Time{}
	}
}

// deferEmpty defers an empty list that follows one that was not empty. It returns false where the list is to be applied.
func (m *merger) deferEmpty(now time.Time, s *sourceState) bool {
	followsMembers := len(s.entries) > 0 || !s.hasList && m.hadMembers
	if s.trustsEmpty || !followsMembers {
		return false
	}
	if s.emptySince.IsZero() {
		s.emptySince = now
	}
	m.expire(now)
	return true
}

// removeUnlisted removes the entries that a full list leaves out.
func (s *sourceState) removeUnlisted(now time.Time, entries []endpointlist.Endpoint) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[entryKey(e)] = true
	}
	for key := range s.entries {
		if !listed[key] {
			s.remove(key, now)
		}
	}
}

func (s *sourceState) applyEntry(now time.Time, e endpointlist.Endpoint) {
	key := entryKey(e)
	switch e.Status {
	case gone:
		if key != "" {
			s.recordDeparture(key, departure{now, cmp.Or(s.entries[key].Address, e.Address)})
		}
		delete(s.entries, key)
	case ready, draining, standby:
		if key == "" {
			return
		}
		before, listed := s.entries[key]
		switch {
		case listed && before.Address != e.Address && !s.partial: // it has moved
			s.recordDeparture(addressKey(before.Address), departure{now, before.Address})
		case !listed && len(s.entries) >= maxEntriesPerSource:
			return
		}
		s.entries[key] = e
		delete(s.departures, key)
	}
}

func (s *sourceState) remove(key string, now time.Time) {
	if !s.partial {
		s.recordDeparture(key, departure{now, s.entries[key].Address})
	}
	delete(s.entries, key)
}

// recordDeparture keeps a departure within the bound. Beyond it the departure affects its own source alone.
func (s *sourceState) recordDeparture(key string, d departure) {
	if len(s.departures) < maxEntriesPerSource {
		s.departures[key] = d
	}
}

// expire applies empty lists that were deferred for long enough, and forgets departures after their retention.
func (m *merger) expire(now time.Time) {
	for i := range m.sources {
		s := &m.sources[i]
		if !s.emptySince.IsZero() && now.Sub(s.emptySince) >= m.emptyHold {
			for key := range s.entries {
				s.remove(key, now)
			}
			s.emptySince = time.Time{}
			s.hasList = true
		}
		maps.DeleteFunc(s.departures, func(_ string, d departure) bool { return now.Sub(d.at) >= departureRetention })
	}
}

// nextDeadline returns the time at which expire has something to do; zero: none.
func (m *merger) nextDeadline() (next time.Time) {
	for i := range m.sources {
		s := &m.sources[i]
		if !s.emptySince.IsZero() {
			next = earlier(next, s.emptySince.Add(m.emptyHold))
		}
		for _, d := range s.departures {
			next = earlier(next, d.at.Add(departureRetention))
		}
	}
	return next
}

// earlier returns the earlier of two times, of which the first may be zero.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// allReported reports whether each source has sent a list, or was unreachable.
func (m *merger) allReported() bool {
	return !slices.ContainsFunc(m.sources, func(s sourceState) bool { return !s.hasReported })
}

// allListed reports whether each source has sent a list.
func (m *merger) allListed() bool {
	return !slices.ContainsFunc(m.sources, func(s sourceState) bool { return !s.hasList })
}

// members returns the merged list, ordered by name.
func (m *merger) members(now time.Time) []endpointlist.Endpoint {
	m.expire(now)
	byAddress, drained := m.collect()
	list := make(map[string]endpointlist.Endpoint, len(byAddress))
	departed := m.departures()
	for _, address := range slices.Sorted(maps.Keys(byAddress)) {
		e := mergeEntries(address, byAddress[address])
		if departed.covers(e) {
			continue
		}
		if drained.covers(addressKey(e.Address), e.SinceMS) || drained.covers(e.Name, e.SinceMS) {
			e.Status = draining
		}
		if _, taken := list[e.Name]; taken { // sources disagree on the address of a name
			e.Name += addressKey(address)
		}
		list[e.Name] = e
	}
	out := slices.SortedFunc(maps.Values(list), func(a, b endpointlist.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	m.truncated = max(len(out)-maxMembers, 0)
	return out[:len(out)-m.truncated]
}

// collect returns the entries of all sources by address, in the order of the sources, and their drains.
func (m *merger) collect() (map[string][]endpointlist.Endpoint, drainStarts) {
	byAddress := map[string][]endpointlist.Endpoint{}
	drained := drainStarts{}
	for i := range m.sources {
		entries := m.sources[i].entries
		for _, key := range slices.Sorted(maps.Keys(entries)) {
			e := entries[key]
			if e.Address != "" && e.Status != standby {
				byAddress[e.Address] = append(byAddress[e.Address], e)
			}
			if e.Status == draining {
				drained.add(addressKey(e.Address), e.SinceMS)
				if e.Name != "" {
					drained.add(e.Name, e.SinceMS)
				}
			}
		}
	}
	return byAddress, drained
}

// drainStarts holds what drainStarts, by name and by addressKey, with the latest start that does.
type drainStarts map[string]int64

func (d drainStarts) add(key string, sinceMS int64) {
	if sinceMS <= 0 { // without a start any start drains
		sinceMS = math.MaxInt64
	}
	d[key] = max(d[key], sinceMS)
}

// covers reports whether an endpoint with a start drains.
func (d drainStarts) covers(key string, sinceMS int64) bool {
	latest, ok := d[key]
	return ok && latest >= sinceMS
}

// activeDepartures holds the departures of each source.
type activeDepartures []sourceDepartures

type sourceDepartures struct {
	byName    map[string]departure
	byAddress map[string]departure
	listed    map[string]bool // addresses that the source lists: another process may be there now
}

func (m *merger) departures() activeDepartures {
	out := make(activeDepartures, len(m.sources))
	for i := range m.sources {
		s := &m.sources[i]
		if len(s.departures) == 0 {
			continue
		}
		d := sourceDepartures{
			byName:    s.departures,
			byAddress: make(map[string]departure, len(s.departures)),
			listed:    make(map[string]bool, len(s.entries)),
		}
		for _, reported := range s.departures {
			if reported.at.After(d.byAddress[reported.address].at) {
				d.byAddress[reported.address] = reported
			}
		}
		for _, e := range s.entries {
			d.listed[e.Address] = true
		}
		out[i] = d
	}
	return out
}

// covers reports whether a source has reported that an endpoint has departed, and does not list it again.
func (d activeDepartures) covers(e endpointlist.Endpoint) bool {
	for i := range d {
		if d[i].listed[e.Address] {
			continue
		}
		for _, reported := range []departure{d[i].byName[e.Name], d[i].byAddress[e.Address]} {
			if !reported.at.IsZero() && e.SinceMS < reported.at.UnixMilli() {
				return true
			}
		}
	}
	return false
}

// mergeEntries makes one member of all entries with an address.
func mergeEntries(address string, entries []endpointlist.Endpoint) endpointlist.Endpoint {
	out := endpointlist.Endpoint{Address: address, Status: ready}
	for _, e := range entries {
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
