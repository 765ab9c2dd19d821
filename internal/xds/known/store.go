package known

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
)

// Bounds of a store.
const (
	MaxResources = 10_000 // of each kind; those beyond it are turned away
	MaxEndpoints = 10_000 // of a set
)

// Rules are the times that a store goes by.
type Rules struct {
	Hold    time.Duration // for which an old word is held off (see package age)
	Missing time.Duration // after which what was asked for and did not come does not exist
	All     bool          // all clusters are told, whether or not anybody wants them
}

// entry is a resource.
type entry struct {
	item     Item // in force; neither cluster nor set: it is not there
	from     string
	heard    time.Time // when it was said last, or repeated
	asked    time.Time // since when it is wanted and has not come; zero: it has, or is not wanted
	idle     time.Time // since when it is not wanted; zero: it is
	held     *Item     // held off: an old word that has not proved itself
	heldFrom string
	fault    Fault // of the last word that could not be used, until one can
	at       time.Time
}

func (e *entry) there() bool { return e.item.Cluster != nil || e.item.Set != nil }

// State is how a cluster stands.
type State uint8

// The states of a cluster.
const (
	Waiting State = iota // not told yet, or its endpoints are not
	Missing              // what was asked for did not come in time, or can't be used
	Ready
	Removed // a plane says that there is none
)

func (s State) String() string { return [...]string{"waiting", "missing", "ready", "removed"}[s] }

// View is a cluster as it is in force. It must not be changed.
type View struct {
	State   State
	Cluster *Cluster
	Set     *Set
	Stale   bool // the set is older than it may be
	Why     string
}

// Store keeps what is known. It is not safe for concurrent use.
type Store struct {
	rules   Rules
	book    *updateorder.Orderer
	entries [ads.Kinds]map[string]*entry
	used    map[string]bool // clusters
	changed map[string]bool
	streams map[updateorder.Stream]string
}

// New returns a store that knows nothing.
func New(r Rules) *Store {
	s := &Store{rules: r, book: updateorder.New(r.Hold), used: map[string]bool{}, changed: map[string]bool{}, streams: map[updateorder.Stream]string{}}
	for k := range s.entries {
		s.entries[k] = map[string]*entry{}
	}
	return s
}

// Begun tells that a stream to a server is listened to from now on.
func (s *Store) Begun(now time.Time, stream updateorder.Stream, server string) {
	s.streams[stream] = server
	for _, of := range s.entries { // the time for an answer begins anew
		for _, e := range of {
			if !e.asked.IsZero() {
				e.asked = now
			}
		}
	}
}

// Ended tells that a stream has ended, or is not listened to any more.
func (s *Store) Ended(stream updateorder.Stream) {
	s.book.StreamEnded(stream)
	delete(s.streams, stream)
	for _, of := range s.entries {
		for _, e := range of {
			if e.held != nil {
				e.held = nil
			}
		}
	}
}

// Use sets the clusters that are in use from now on.
func (s *Store) Use(now time.Time, names []string) {
	next := make(map[string]bool, len(names))
	for _, n := range names {
		next[n] = true
		if !s.used[n] {
			s.changed[n] = true
		}
	}
	s.used = next
	s.want(now)
}

// linger is for how long a resource is kept that is not wanted any more. One that is wanted again at once, as by a reload, may
// never have been unsubscribed from, and its server would not say it again.
const linger = 30 * time.Second

// want marks what is wanted and has not come, and lets go of what has not been wanted for some time: what is known of its age
// stays.
func (s *Store) want(now time.Time) {
	for k := range ads.Kinds {
		wanted := s.wanted(k)
		for n := range wanted {
			e := s.entry(k, n)
			if e != nil && e.heard.IsZero() && e.asked.IsZero() && e.held == nil && e.fault.Why == "" {
				e.asked = now
			}
		}
		for n, e := range s.entries[k] {
			switch {
			case wanted[n]:
				e.idle = time.Time{}
			case e.idle.IsZero():
				e.asked, e.idle = time.Time{}, now
			case now.Sub(e.idle) >= linger && !(k == ads.Clusters && s.rules.All && e.there()):
				delete(s.entries[k], n)
			}
		}
	}
}

func (s *Store) wanted(k ads.Kind) map[string]bool {
	if k == ads.Clusters {
		return s.used
	}
	out := map[string]bool{}
	for n := range s.used {
		if e := s.entries[ads.Clusters][n]; e != nil && e.item.Cluster != nil && e.item.Cluster.Service != "" && e.item.Cluster.File == "" {
			out[e.item.Cluster.Service] = true
		}
	}
	return out
}

// Wanted returns the names of a kind that are to be subscribed to.
func (s *Store) Wanted(k ads.Kind) []string { return slices.Sorted(maps.Keys(s.wanted(k))) }

// Versions returns the version of each resource of a kind in force.
func (s *Store) Versions(k ads.Kind) map[string]string {
	out := map[string]string{}
	for n, e := range s.entries[k] {
		if e.there() {
			out[n] = e.item.Version
		}
	}
	return out
}

// Files returns the files that hold endpoint sets of clusters in use.
func (s *Store) Files() []string {
	out := map[string]bool{}
	for n := range s.used {
		if e := s.entries[ads.Clusters][n]; e != nil && e.item.Cluster != nil && e.item.Cluster.File != "" {
			out[e.item.Cluster.File] = true
		}
	}
	return slices.Sorted(maps.Keys(out))
}

func (s *Store) entry(k ads.Kind, name string) *entry {
	e := s.entries[k][name]
	if e == nil {
		if len(s.entries[k]) >= MaxResources {
			return nil
		}
		e = &entry{}
		s.entries[k][name] = e
	}
	return e
}

func word(k ads.Kind, i Item) updateorder.Update {
	return updateorder.Update{Resource: k.String() + "/" + i.Name, Version: i.Version, Digest: i.Digest}
}

// Take takes what a stream has said. It returns what of it can't be taken for want of room.
func (s *Store) Take(now time.Time, stream updateorder.Stream, m Message) (over []Fault) {
	named := make(map[string]bool, len(m.Items)+len(m.Faults))
	for _, i := range m.Items {
		named[i.Name] = true
		e := s.entry(m.Kind, i.Name)
		if e == nil {
			over = append(over, Fault{i.Name, i.Version, fmt.Sprintf("over %d resources of a kind", MaxResources)})
			continue
		}
		e.fault = Fault{}
		s.say(now, stream, m.Kind, e, i)
	}
	for _, f := range m.Faults {
		named[f.Name] = true
		if e := s.entry(m.Kind, f.Name); e != nil {
			e.fault, e.at, e.asked = f, now, time.Time{}
			s.mark(m.Kind, f.Name)
		}
	}
	gone := m.Gone
	if m.Whole {
		for n, e := range s.entries[m.Kind] {
			if !named[n] && (e.there() || e.fault.Why != "" || s.used[n]) {
				gone = append(gone, n)
			}
		}
	}
	for _, n := range gone {
		if e := s.entries[m.Kind][n]; e != nil && !named[n] {
			e.fault, e.asked = Fault{}, time.Time{}
			s.say(now, stream, m.Kind, e, Item{Name: n, Version: m.Version})
		}
	}
	s.want(now)
	return over
}

// say has a word judged, and puts it in force or holds it off.
func (s *Store) say(now time.Time, stream updateorder.Stream, k ads.Kind, e *entry, i Item) {
	switch s.book.Receive(now, stream, word(k, i)) {
	case updateorder.Apply:
		s.put(now, k, e, i, s.streams[stream])
	case updateorder.Unchanged:
		if e.held != nil || staleAfter(e) > 0 || e.heard.IsZero() { // what was stale is not any more
			s.mark(k, i.Name)
		}
		e.held, e.heard, e.from = nil, now, s.streams[stream]
		if !e.there() && i.Digest != updateorder.Absent { // it was let go of as nobody wanted it
			s.put(now, k, e, i, s.streams[stream])
		}
		e.item.Version = i.Version
	case updateorder.Defer:
		e.asked = time.Time{}
		e.held, e.heldFrom = &i, s.streams[stream]
		s.mark(k, i.Name)
	}
}

func (s *Store) put(now time.Time, k ads.Kind, e *entry, i Item, from string) {
	e.item, e.from, e.heard, e.held, e.asked = i, from, now, nil, time.Time{}
	s.mark(k, i.Name)
	if k == ads.Clusters {
		s.want(now)
	}
}

// mark notes the clusters in use whose view may have changed.
func (s *Store) mark(k ads.Kind, name string) {
	if k == ads.Clusters {
		if s.used[name] {
			s.changed[name] = true
		}
		return
	}
	for n := range s.used {
		if e := s.entries[ads.Clusters][n]; e != nil && e.item.Cluster != nil && e.item.Cluster.Service == name {
			s.changed[n] = true
		}
	}
}

// Due brings the store up to the time.
func (s *Store) Due(now time.Time) {
	if at := s.book.NextDue(); !at.IsZero() && !at.After(now) {
		for _, w := range s.book.ApplyDue(now) {
			for k := range ads.Kinds {
				name, is := strings.CutPrefix(w.Resource, k.String()+"/")
				e := s.entries[k][name]
				if !is || e == nil {
					continue
				}
				if e.held != nil && e.held.Digest == w.Digest {
					s.put(now, k, e, *e.held, e.heldFrom)
				}
			}
		}
	}
	s.want(now)
	for k := range ads.Kinds {
		for n, e := range s.entries[k] {
			if !e.asked.IsZero() && now.Sub(e.asked) >= s.rules.Missing && len(s.streams) > 0 {
				e.asked = time.Time{}
				e.fault, e.at = Fault{Name: n, Why: "asked for, and did not come"}, now
				s.mark(k, n)
			}
			if after := staleAfter(e); after > 0 && now.Sub(e.heard) >= after {
				s.mark(k, n)
			}
		}
	}
}

func staleAfter(e *entry) time.Duration {
	if e.item.Set == nil {
		return 0
	}
	return e.item.Set.StaleAfter
}

// Next returns the time at which Due has something to do; zero: none until something is said.
func (s *Store) Next(now time.Time) (at time.Time) {
	at = s.book.NextDue()
	sooner := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	for k := range s.entries {
		for _, e := range s.entries[k] {
			if !e.asked.IsZero() && len(s.streams) > 0 {
				sooner(e.asked.Add(s.rules.Missing))
			}
			if after := staleAfter(e); after > 0 {
				sooner(e.heard.Add(after))
			}
			if !e.idle.IsZero() {
				sooner(e.idle.Add(linger))
			}
		}
	}
	return at
}

// Changed returns the clusters in use whose view may have changed since it was asked last.
func (s *Store) Changed() []string {
	out := slices.Sorted(maps.Keys(s.changed))
	clear(s.changed)
	return out
}

// View returns a cluster as it is in force.
func (s *Store) View(now time.Time, name string) View {
	e := s.entries[ads.Clusters][name]
	switch {
	case e == nil || e.waits():
		return View{State: Waiting, Why: "the cluster has not been told yet"}
	case e.removed():
		return View{State: Removed, Why: "there is no such cluster"}
	case !e.there():
		return View{State: Missing, Why: e.why()}
	}
	c := e.item.Cluster
	if c.Own != nil {
		return View{State: Ready, Cluster: c, Set: c.Own}
	}
	if c.File != "" {
		return View{State: Waiting, Cluster: c, Why: "its endpoints are in " + c.File}
	}
	switch set := s.entries[ads.Sets][c.Service]; {
	case set == nil || set.waits():
		return View{State: Waiting, Cluster: c, Why: "the endpoints have not been told yet"}
	case set.removed():
		return View{State: Removed, Cluster: c, Why: "there are no such endpoints"}
	case !set.there():
		return View{State: Missing, Cluster: c, Why: "endpoints: " + set.why()}
	default:
		after := set.item.Set.StaleAfter
		return View{State: Ready, Cluster: c, Set: set.item.Set, Stale: after > 0 && now.Sub(set.heard) >= after}
	}
}

func (e *entry) waits() bool { return !e.there() && !e.asked.IsZero() }

// removed tells of what a plane has said not to be there, whatever old word of it is held off.
func (e *entry) removed() bool { return !e.there() && !e.heard.IsZero() && e.fault.Why == "" }

func (e *entry) why() string {
	if e.fault.Why == "" {
		return "an old word is held off"
	}
	return e.fault.Why
}
