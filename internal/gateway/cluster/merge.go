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

// sourceTraits describes how a source's updates are interpreted.
type sourceTraits struct {
	// partial: an entry missing from a full list may still exist (a name server rotates and truncates its responses). For other sources
	// an entry missing from a full list means that the endpoint has departed.
	partial bool
	// trustsEmpty: an empty list is intended (a configuration that was just loaded).
	trustsEmpty bool
}

const (
	maxMembers          = 10_000         // members of a cluster
	maxEntriesPerSource = 2 * maxMembers // bound on a source's entries, and again on its departures
	// departureRetention is how long a departure reported by one source overrides other sources that still list the endpoint. It is much
	// longer than any cache between the sources. It is limited because the reporting source may merely have lost sight of the endpoint.
	departureRetention = 5 * time.Minute
)

// Status values of an entry.
const (
	ready    = "ready"
	draining = "draining"
	gone     = "gone"
	// standby: listed but not to be used at present. The reports of other sources decide about the endpoint.
	standby = "standby"
)

// merger merges the lists of several sources by these rules:
//
//  1. An endpoint is a member while any source lists it.
//  2. A drain that any source reports holds until that source reports it ready, no longer lists the endpoint, or lists it with a later start.
//  3. A departure that any source reports (explicitly, or by leaving it out of a full list, unless the source is partial) overrides all
//     other sources for departureRetention, until that source lists the endpoint again, or until the endpoint's start is later.
//  4. An unreachable source changes nothing: its last list stays.
//  5. An empty list after one that was not empty is treated as a fault and deferred for emptyHold. This also holds for the
//     first list after a reload that restarts the sources.
//  6. A member is identified by its address: entries with one address and several names are one member. It has the name with the latest
//     start, or the name from the first source in the configuration's order. A drain of a name holds at each address of that name.
//  7. Zone, group and weight are those of the first source that gives them. The start is the latest of all.
//  8. An entry on standby (of a priority that is not in use) does not make the endpoint a member by itself.
//
// A merger has no clock and does no I/O. It is not safe for concurrent use.
type merger struct {
	emptyHold  time.Duration
	sources    []sourceState
	truncated  int  // members over maxMembers at the last merge
	hadMembers bool // the cluster had members before the sources started, so an empty first list follows one that was not empty
}

// sourceState is the state of one source.
type sourceState struct {
	sourceTraits
	hasList     bool // a list has been applied
	hasReported bool // has sent a list, or was reported unreachable
	entries     map[string]endpointlist.Endpoint
	departures  map[string]departure
	emptySince  time.Time // when the deferred empty list arrived; zero: none is deferred
}

// departure is a report that an endpoint has departed.
type departure struct {
	at      time.Time
	address string
}

// newMerger returns a merger with one source for each element of traits.
func newMerger(emptyHold time.Duration, traits ...sourceTraits) *merger {
	m := &merger{emptyHold: emptyHold}
	for _, t := range traits {
		m.sources = append(m.sources, sourceState{sourceTraits: t, entries: map[string]endpointlist.Endpoint{}, departures: map[string]departure{}})
	}
	return m
}

// entryKey identifies an entry within its source.
func entryKey(e endpointlist.Endpoint) string { return cmp.Or(e.Name, e.Address) }

// addressKey returns a key for an address in a map that also has names as keys.
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

// deferEmpty defers an empty list that follows one that was not empty. It returns false if the list has to be applied now.
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

// applyEntry adds, changes or removes one entry, by its status.
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
		case listed && before.Address != e.Address && !s.partial: // the endpoint has another address now
			s.recordDeparture(addressKey(before.Address), departure{now, before.Address})
		case !listed && len(s.entries) >= maxEntriesPerSource:
			return
		}
		s.entries[key] = e
		delete(s.departures, key)
	}
}

// remove removes an entry and, unless the source is partial, records its departure.
func (s *sourceState) remove(key string, now time.Time) {
	if !s.partial {
		s.recordDeparture(key, departure{now, s.entries[key].Address})
	}
	delete(s.entries, key)
}

// recordDeparture records a departure, up to maxEntriesPerSource. A departure beyond that affects its own source alone.
func (s *sourceState) recordDeparture(key string, d departure) {
	if len(s.departures) < maxEntriesPerSource {
		s.departures[key] = d
	}
}

// expire applies empty lists that have been deferred for emptyHold, and removes departures older than departureRetention.
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

// nextDeadline returns the earliest time at which expire changes the state. It is zero if there is none.
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

// allReported reports whether each source has sent a list or was reported unreachable.
func (m *merger) allReported() bool {
	return !slices.ContainsFunc(m.sources, func(s sourceState) bool { return !s.hasReported })
}

// allListed reports whether a list of each source has been applied.
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
		if _, taken := list[e.Name]; taken { // the sources give several addresses for one name
			e.Name += addressKey(address)
		}
		list[e.Name] = e
	}
	out := slices.SortedFunc(maps.Values(list), func(a, b endpointlist.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	m.truncated = max(len(out)-maxMembers, 0)
	return out[:len(out)-m.truncated]
}

// collect returns the entries of all sources, grouped by address in the order of the sources, and the drains that they report.
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

// drainStarts maps the name and the addressKey of each draining endpoint to its latest start time, in ms. A drain applies to endpoints that
// started at that time or before.
type drainStarts map[string]int64

func (d drainStarts) add(key string, sinceMS int64) {
	if sinceMS <= 0 { // a drain without a start time applies whatever the endpoint's start
		sinceMS = math.MaxInt64
	}
	d[key] = max(d[key], sinceMS)
}

// covers reports whether an endpoint with the given start time is draining.
func (d drainStarts) covers(key string, sinceMS int64) bool {
	latest, ok := d[key]
	return ok && latest >= sinceMS
}

// activeDepartures holds the departures of each source.
type activeDepartures []sourceDepartures

// sourceDepartures indexes the departures that one source has reported.
type sourceDepartures struct {
	byName    map[string]departure
	byAddress map[string]departure
	listed    map[string]bool // addresses that the source lists again: another process may use them now
}

// departures returns the departures that each source has reported and that have not expired.
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

// covers reports whether a source has reported an endpoint's departure, does not list its address again, and the endpoint has not started
// since.
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

// mergeEntries returns one member made from all entries with an address.
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
