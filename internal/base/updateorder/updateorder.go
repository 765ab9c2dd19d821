// Package updateorder decides which of several updates of an xDS resource is newer.
//
// Versions of xDS resources are opaque, and streams break and come back to other servers, or to the same one with an older
// state. Within one stream a later update is newer, as the server chose to send it then. Across streams and servers
// nothing orders two contents, except that a content that was replaced already is most likely outdated if it comes back.
// Such an update is deferred, and the current content stays in use. It is applied once the server proves that it means it:
//
//   - by still sending it when the hold time is over (an intended rollback takes effect then), or
//   - by sending it after the current content on the same stream, unless the current content was replaced and reinstated:
//     then the stream may be at either of the two times. A removal is applied even then, as sending requests to removed
//     endpoints is worse than sending none to present ones.
//
// That a resource is absent is a content like any other, so that an outdated update does not undo a removal.
//
// The package has no I/O and no clock. An Orderer belongs to one host, which serialises all calls.
package updateorder

import (
	"maps"
	"slices"
	"time"
)

// Digest identifies a resource's content.
type Digest [16]byte

// Absent is the digest of a resource that does not exist.
var Absent Digest

// Stream identifies one stream to one server. Each stream has its own number, also to the same server.
type Stream uint64

// Verdict is what becomes of an update.
type Verdict uint8

// The verdicts.
const (
	Apply     Verdict = iota // newer: current from now on
	Unchanged                // current already
	Defer                    // replaced before: deferred until its server has proved that it means it
)

// String returns the verdict's name.
func (v Verdict) String() string { return [...]string{"take", "same", "hold"}[v] }

const (
	maxReplaced = 16      // replaced contents remembered of one resource
	maxAbsent   = 100_000 // removed resources remembered; above it the oldest is forgotten
)

// Update is what a server says of one resource.
type Update struct {
	Resource string
	Version  string // of the resource or of its set, as the server names it; empty: none
	Digest   Digest
}

// content is a content that was current, or may become current.
type content struct {
	version string
	digest  Digest
}

// resource is what is known of one resource.
type resource struct {
	current content
	isSet   bool   // whether current is set
	source  Stream // that sent current, or repeated it last
	// reinstated: current was replaced before and is current again. ambiguous: another stream that sent it may be at either
	// of the two times, and has not proved that it is past the content in between.
	reinstated, ambiguous bool
	replaced              []content // the newest last
	deferred              *deferredUpdate
}

// deferredUpdate is an update with a content that was replaced before.
type deferredUpdate struct {
	content
	source Stream
	since  time.Time
}

// Orderer holds the current content of all resources, and those that it replaced.
type Orderer struct {
	holdTime  time.Duration
	resources map[string]*resource
	absent    []string // removed, in the order of removal; may name some that have come back
}

// New returns an Orderer that defers outdated updates for holdTime.
func New(holdTime time.Duration) *Orderer {
	return &Orderer{holdTime: holdTime, resources: map[string]*resource{}}
}

// Receive decides on an update.
func (o *Orderer) Receive(now time.Time, s Stream, u Update) Verdict {
	r := o.resources[u.Resource]
	if r == nil {
		if u.Digest == Absent {
			return Unchanged // it never existed
		}
		r = &resource{}
		o.resources[u.Resource] = r
	}
	c := content{u.Version, u.Digest}
	if r.isSet && c.digest == r.current.digest {
		r.confirm(s, c.version)
		return Unchanged
	}
	if r.isNewer(s, c) {
		o.apply(u.Resource, r, c, s)
		return Apply
	}
	if r.deferred == nil || r.deferred.source != s || r.deferred.digest != c.digest { // a server that catches up sends several
		r.deferred = &deferredUpdate{content: c, source: s, since: now}
	}
	if now.Sub(r.deferred.since) >= o.holdTime {
		o.apply(u.Resource, r, c, s)
		return Apply
	}
	return Defer
}

// confirm records that a stream has sent the current content, under any version. What is deferred is dropped.
func (r *resource) confirm(s Stream, version string) {
	r.ambiguous = r.reinstated && (r.source != s || r.ambiguous)
	r.current.version = version
	r.source = s
	r.deferred = nil
}

// isNewer reports whether a content other than the current one is newer for certain.
func (r *resource) isNewer(s Stream, c content) bool {
	switch {
	case !r.isSet:
		return true
	case r.source == s && (!r.ambiguous || c.digest == Absent):
		return true
	}
	return !r.wasReplaced(c)
}

// wasReplaced reports whether a content was replaced before, by its digest or by its version: other content under a version
// that was replaced is not newer.
func (r *resource) wasReplaced(c content) bool {
	return slices.ContainsFunc(r.replaced, func(old content) bool {
		sameVersion := c.version != "" && old.version == c.version && old.version != r.current.version
		return old.digest == c.digest || sameVersion
	})
}

// apply makes a content current.
func (o *Orderer) apply(name string, r *resource, c content, s Stream) {
	r.reinstated = slices.ContainsFunc(r.replaced, func(old content) bool { return old.digest == c.digest })
	if r.isSet {
		r.replaced = slices.DeleteFunc(r.replaced, func(old content) bool {
			return old.digest == c.digest || old.digest == r.current.digest
		})
		if len(r.replaced) == maxReplaced {
			r.replaced = slices.Delete(r.replaced, 0, 1)
		}
		r.replaced = append(r.replaced, r.current)
	}
	r.current, r.isSet = c, true
	r.source, r.ambiguous = s, false
	r.deferred = nil
	if c.digest == Absent {
		o.forgetOldestAbsent(name)
	}
}

// forgetOldestAbsent remembers that a resource was removed, and forgets the oldest ones above maxAbsent.
func (o *Orderer) forgetOldestAbsent(name string) {
	o.absent = append(o.absent, name)
	for len(o.absent) > maxAbsent {
		oldest := o.absent[0]
		o.absent = o.absent[1:]
		if r := o.resources[oldest]; r != nil && r.current.digest == Absent && !slices.Contains(o.absent, oldest) {
			delete(o.resources, oldest)
		}
	}
}

// ApplyDue applies the deferred updates whose hold time is over, and returns them by resource.
func (o *Orderer) ApplyDue(now time.Time) []Update {
	var out []Update
	for _, name := range slices.Sorted(maps.Keys(o.resources)) {
		r := o.resources[name]
		if r.deferred == nil || now.Sub(r.deferred.since) < o.holdTime {
			continue
		}
		d := r.deferred
		o.apply(name, r, d.content, d.source)
		out = append(out, Update{name, d.version, d.digest})
	}
	return out
}

// NextDue returns the time of the next deferred update that ApplyDue applies; zero: there is none.
func (o *Orderer) NextDue() time.Time {
	var next time.Time
	for _, r := range o.resources {
		if r.deferred == nil {
			continue
		}
		if due := r.deferred.since.Add(o.holdTime); next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// StreamEnded drops what a stream has sent and not proved. Current contents stay.
func (o *Orderer) StreamEnded(s Stream) {
	for _, r := range o.resources {
		if r.deferred != nil && r.deferred.source == s {
			r.deferred = nil
		}
	}
}

// Current returns a resource's current content; ok is false if nothing is known of it.
func (o *Orderer) Current(name string) (version string, d Digest, ok bool) {
	r := o.resources[name]
	if r == nil {
		return "", Absent, false
	}
	return r.current.version, r.current.digest, true
}
