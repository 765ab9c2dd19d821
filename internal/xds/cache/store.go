package cache

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

// Options are the times that a store goes by.
type Options struct {
	DeferTime       time.Duration // for which an old word is held off (see package age)
	ResourceTimeout time.Duration // after which what was asked for and did not come does not exist
	Wildcard        bool          // all clusters are told, whether or not anybody wants them
}

// entry is a resource.
type entry struct {
	resource       Resource // in force; neither cluster nor set: it is not there
	source         string
	receivedAt     time.Time // when it was said last, or repeated
	requestedAt    time.Time // since when it is wanted and has not come; zero: it has, or is not wanted
	unusedSince    time.Time // since when it is not wanted; zero: it is
	deferred       *Resource // held off: an old word that has not proved itself
	deferredSource string
	rejection      Rejection // of the last word that could not be used, until one can
	rejectedAt     time.Time
}

func (e *entry) isPresent() bool { return e.resource.Cluster != nil || e.resource.Set != nil }

// State is how a cluster stands.
type State uint8

// The states of a cluster.
const (
	Pending State = iota // not told yet, or its endpoints are not
	Missing              // what was asked for did not come in time, or can't be used
	Ready
	Removed // a plane says that there is none
)

func (s State) String() string { return [...]string{"waiting", "missing", "ready", "removed"}[s] }

// ClusterView is a cluster as it is in force. It must not be changed.
type ClusterView struct {
	State   State
	Cluster *Cluster
	Set     *EndpointSet
	Stale   bool // the set is older than it may be
	Reason  string
}

// Cache keeps what is known. It is not safe for concurrent use.
type Cache struct {
	options Options
	order   *updateorder.Orderer
	entries [ads.KindCount]map[string]*entry
	inUse   map[string]bool // clusters
	changed map[string]bool
	streams map[updateorder.Stream]string
}

// New returns a store that knows nothing.
func New(r Options) *Cache {
	s := &Cache{options: r, order: updateorder.New(r.DeferTime), inUse: map[string]bool{}, changed: map[string]bool{}, streams: map[updateorder.Stream]string{}}
	for k := range s.entries {
		s.entries[k] = map[string]*entry{}
	}
	return s
}

// StreamStarted tells that a stream to a server is listened to from now on.
func (s *Cache) StreamStarted(now time.Time, stream updateorder.Stream, server string) {
	s.streams[stream] = server
	for _, of := range s.entries { // the time for an answer begins anew
		for _, e := range of {
			if !e.requestedAt.IsZero() {
				e.requestedAt = now
			}
		}
	}
}

// StreamEnded tells that a stream has ended, or is not listened to any more.
func (s *Cache) StreamEnded(stream updateorder.Stream) {
	s.order.StreamEnded(stream)
	delete(s.streams, stream)
	for _, of := range s.entries {
		for _, e := range of {
			if e.deferred != nil {
				e.deferred = nil
			}
		}
	}
}

// SetClustersInUse sets the clusters that are in use from now on.
func (s *Cache) SetClustersInUse(now time.Time, names []string) {
	next := make(map[string]bool, len(names))
	for _, n := range names {
		next[n] = true
		if !s.inUse[n] {
			s.changed[n] = true
		}
	}
	s.inUse = next
	s.updateSubscriptions(now)
}

// unusedRetention is for how long a resource is kept that is not wanted any more. One that is wanted again at once, as by a reload, may
// never have been unsubscribed from, and its server would not say it again.
const unusedRetention = 30 * time.Second

// updateSubscriptions marks what is wanted and has not come, and lets go of what has not been wanted for some time: what is known of its age
// stays.
func (s *Cache) updateSubscriptions(now time.Time) {
	for k := range ads.KindCount {
		wanted := s.subscribed(k)
		for n := range wanted {
			e := s.entry(k, n)
			if e != nil && e.receivedAt.IsZero() && e.requestedAt.IsZero() && e.deferred == nil && e.rejection.Reason == "" {
				e.requestedAt = now
			}
		}
		for n, e := range s.entries[k] {
			switch {
			case wanted[n]:
				e.unusedSince = time.Time{}
			case e.unusedSince.IsZero():
				e.requestedAt, e.unusedSince = time.Time{}, now
			case now.Sub(e.unusedSince) >= unusedRetention && !(k == ads.Clusters && s.options.Wildcard && e.isPresent()):
				delete(s.entries[k], n)
			}
		}
	}
}

func (s *Cache) subscribed(k ads.Kind) map[string]bool {
	if k == ads.Clusters {
		return s.inUse
	}
	out := map[string]bool{}
	for n := range s.inUse {
		if e := s.entries[ads.Clusters][n]; e != nil && e.resource.Cluster != nil && e.resource.Cluster.ServiceName != "" && e.resource.Cluster.EndpointsFile == "" {
			out[e.resource.Cluster.ServiceName] = true
		}
	}
	return out
}

// Subscriptions returns the names of a kind that are to be subscribed to.
func (s *Cache) Subscriptions(k ads.Kind) []string { return slices.Sorted(maps.Keys(s.subscribed(k))) }

// Versions returns the version of each resource of a kind in force.
func (s *Cache) Versions(k ads.Kind) map[string]string {
	out := map[string]string{}
	for n, e := range s.entries[k] {
		if e.isPresent() {
			out[n] = e.resource.Version
		}
	}
	return out
}

// EndpointsFiles returns the files that hold endpoint sets of clusters in use.
func (s *Cache) EndpointsFiles() []string {
	out := map[string]bool{}
	for n := range s.inUse {
		if e := s.entries[ads.Clusters][n]; e != nil && e.resource.Cluster != nil && e.resource.Cluster.EndpointsFile != "" {
			out[e.resource.Cluster.EndpointsFile] = true
		}
	}
	return slices.Sorted(maps.Keys(out))
}

func (s *Cache) entry(k ads.Kind, name string) *entry {
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

func updateOf(k ads.Kind, i Resource) updateorder.Update {
	return updateorder.Update{Resource: k.String() + "/" + i.Name, Version: i.Version, Digest: i.Digest}
}

// Apply takes what a stream has said. It returns what of it can't be taken for want of room.
func (s *Cache) Apply(now time.Time, stream updateorder.Stream, m Response) (over []Rejection) {
	named := make(map[string]bool, len(m.Resources)+len(m.Rejections))
	for _, i := range m.Resources {
		named[i.Name] = true
		e := s.entry(m.Kind, i.Name)
		if e == nil {
			over = append(over, Rejection{i.Name, i.Version, fmt.Sprintf("over %d resources of a kind", MaxResources)})
			continue
		}
		e.rejection = Rejection{}
		s.applyUpdate(now, stream, m.Kind, e, i)
	}
	for _, f := range m.Rejections {
		named[f.Name] = true
		if e := s.entry(m.Kind, f.Name); e != nil {
			e.rejection, e.rejectedAt, e.requestedAt = f, now, time.Time{}
			s.markChanged(m.Kind, f.Name)
		}
	}
	gone := m.Removed
	if m.Complete {
		for n, e := range s.entries[m.Kind] {
			if !named[n] && (e.isPresent() || e.rejection.Reason != "" || s.inUse[n]) {
				gone = append(gone, n)
			}
		}
	}
	for _, n := range gone {
		if e := s.entries[m.Kind][n]; e != nil && !named[n] {
			e.rejection, e.requestedAt = Rejection{}, time.Time{}
			s.applyUpdate(now, stream, m.Kind, e, Resource{Name: n, Version: m.Version})
		}
	}
	s.updateSubscriptions(now)
	return over
}

// applyUpdate has a word judged, and puts it in force or holds it off.
func (s *Cache) applyUpdate(now time.Time, stream updateorder.Stream, k ads.Kind, e *entry, i Resource) {
	switch s.order.Receive(now, stream, updateOf(k, i)) {
	case updateorder.Apply:
		s.accept(now, k, e, i, s.streams[stream])
	case updateorder.Unchanged:
		if e.deferred != nil || staleAfter(e) > 0 || e.receivedAt.IsZero() { // what was stale is not any more
			s.markChanged(k, i.Name)
		}
		e.deferred, e.receivedAt, e.source = nil, now, s.streams[stream]
		if !e.isPresent() && i.Digest != updateorder.Absent { // it was let go of as nobody wanted it
			s.accept(now, k, e, i, s.streams[stream])
		}
		e.resource.Version = i.Version
	case updateorder.Defer:
		e.requestedAt = time.Time{}
		e.deferred, e.deferredSource = &i, s.streams[stream]
		s.markChanged(k, i.Name)
	}
}

func (s *Cache) accept(now time.Time, k ads.Kind, e *entry, i Resource, from string) {
	e.resource, e.source, e.receivedAt, e.deferred, e.requestedAt = i, from, now, nil, time.Time{}
	s.markChanged(k, i.Name)
	if k == ads.Clusters {
		s.updateSubscriptions(now)
	}
}

// markChanged notes the clusters in use whose view may have changed.
func (s *Cache) markChanged(k ads.Kind, name string) {
	if k == ads.Clusters {
		if s.inUse[name] {
			s.changed[name] = true
		}
		return
	}
	for n := range s.inUse {
		if e := s.entries[ads.Clusters][n]; e != nil && e.resource.Cluster != nil && e.resource.Cluster.ServiceName == name {
			s.changed[n] = true
		}
	}
}

// Advance brings the store up to the time.
func (s *Cache) Advance(now time.Time) {
	if at := s.order.NextDue(); !at.IsZero() && !at.After(now) {
		for _, w := range s.order.ApplyDue(now) {
			for k := range ads.KindCount {
				name, is := strings.CutPrefix(w.Resource, k.String()+"/")
				e := s.entries[k][name]
				if !is || e == nil {
					continue
				}
				if e.deferred != nil && e.deferred.Digest == w.Digest {
					s.accept(now, k, e, *e.deferred, e.deferredSource)
				}
			}
		}
	}
	s.updateSubscriptions(now)
	for k := range ads.KindCount {
		for n, e := range s.entries[k] {
			if !e.requestedAt.IsZero() && now.Sub(e.requestedAt) >= s.options.ResourceTimeout && len(s.streams) > 0 {
				e.requestedAt = time.Time{}
				e.rejection, e.rejectedAt = Rejection{Name: n, Reason: "asked for, and did not come"}, now
				s.markChanged(k, n)
			}
			if after := staleAfter(e); after > 0 && now.Sub(e.receivedAt) >= after {
				s.markChanged(k, n)
			}
		}
	}
}

func staleAfter(e *entry) time.Duration {
	if e.resource.Set == nil {
		return 0
	}
	return e.resource.Set.StaleAfter
}

// NextDeadline returns the time at which Due has something to do; zero: none until something is said.
func (s *Cache) NextDeadline(now time.Time) (at time.Time) {
	at = s.order.NextDue()
	sooner := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	for k := range s.entries {
		for _, e := range s.entries[k] {
			if !e.requestedAt.IsZero() && len(s.streams) > 0 {
				sooner(e.requestedAt.Add(s.options.ResourceTimeout))
			}
			if after := staleAfter(e); after > 0 {
				sooner(e.receivedAt.Add(after))
			}
			if !e.unusedSince.IsZero() {
				sooner(e.unusedSince.Add(unusedRetention))
			}
		}
	}
	return at
}

// TakeChanged returns the clusters in use whose view may have changed since it was asked last.
func (s *Cache) TakeChanged() []string {
	out := slices.Sorted(maps.Keys(s.changed))
	clear(s.changed)
	return out
}

// View returns a cluster as it is in force.
func (s *Cache) View(now time.Time, name string) ClusterView {
	e := s.entries[ads.Clusters][name]
	switch {
	case e == nil || e.isPending():
		return ClusterView{State: Pending, Reason: "the cluster has not been told yet"}
	case e.isRemoved():
		return ClusterView{State: Removed, Reason: "there is no such cluster"}
	case !e.isPresent():
		return ClusterView{State: Missing, Reason: e.reason()}
	}
	c := e.resource.Cluster
	if c.Inline != nil {
		return ClusterView{State: Ready, Cluster: c, Set: c.Inline}
	}
	if c.EndpointsFile != "" {
		return ClusterView{State: Pending, Cluster: c, Reason: "its endpoints are in " + c.EndpointsFile}
	}
	switch set := s.entries[ads.Endpoints][c.ServiceName]; {
	case set == nil || set.isPending():
		return ClusterView{State: Pending, Cluster: c, Reason: "the endpoints have not been told yet"}
	case set.isRemoved():
		return ClusterView{State: Removed, Cluster: c, Reason: "there are no such endpoints"}
	case !set.isPresent():
		return ClusterView{State: Missing, Cluster: c, Reason: "endpoints: " + set.reason()}
	default:
		after := set.resource.Set.StaleAfter
		return ClusterView{State: Ready, Cluster: c, Set: set.resource.Set, Stale: after > 0 && now.Sub(set.receivedAt) >= after}
	}
}

func (e *entry) isPending() bool { return !e.isPresent() && !e.requestedAt.IsZero() }

// isRemoved tells of what a plane has said not to be there, whatever old word of it is held off.
func (e *entry) isRemoved() bool {
	return !e.isPresent() && !e.receivedAt.IsZero() && e.rejection.Reason == ""
}

func (e *entry) reason() string {
	if e.rejection.Reason == "" {
		return "an old word is held off"
	}
	return e.rejection.Reason
}
