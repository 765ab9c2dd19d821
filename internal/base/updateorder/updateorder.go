// Package updateorder decides which of several updates of an xDS resource is newer.
//
// Versions of xDS resources are opaque. Streams break and reconnect to other servers, or to the same server with an older
// state. Within one stream a later update is newer, because the server chose to send it later. Across streams and servers,
// nothing orders two contents, except that a content that was already replaced is most likely outdated if it is sent again.
// An update with such a content is deferred, and the current content stays in use. The deferred update is applied once its
// server confirms it in one of two ways:
//
//   - The update has not been superseded, and its stream has not ended, when the hold time is over. An intended rollback takes
//     effect then.
//   - The server sends the update after the current content on the same stream. This does not count if the current content was
//     replaced and reinstated, because the stream may then be at either of the two times. A removal is applied even in that
//     case: sending requests to removed endpoints is worse than sending none to existing ones.
//
// The absence of a resource is treated like a content, so that an outdated update does not undo a removal.
//
// The package does no I/O and reads no clock. An Orderer is not safe for concurrent use: its owner serialises all calls.
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

// Stream identifies one stream to one server. Each stream has its own number, even if several go to the same server.
type Stream uint64

// Verdict is the decision on an update.
type Verdict uint8

// The verdicts.
const (
	Apply     Verdict = iota // the update is newer and becomes current
	Unchanged                // the content is already current
	Defer                    // the content was replaced before: deferred until its server confirms it
)

// String returns the verdict's name.
func (v Verdict) String() string { return [...]string{"take", "same", "hold"}[v] }

const (
	maxReplaced = 16      // replaced contents remembered for each resource
	maxAbsent   = 100_000 // removed resources remembered; beyond this number the oldest is forgotten
)

// Update is the state of one resource as a server sent it.
type Update struct {
	Resource string
	Version  string // version of the resource or of its set, as sent by the server; empty: none
	Digest   Digest
}

// content is a version and a digest that were current, or may become current.
type content struct {
	version string
	digest  Digest
}

// resource is the state of one resource.
type resource struct {
	current content
	isSet   bool   // whether current is set
	source  Stream // stream that sent current, or repeated it last
	// reinstated: current was replaced before and is current again. ambiguous: source only repeated the reinstated content, so
	// it may be at either of the two times and may have yet to send the contents in between.
	reinstated, ambiguous bool
	replaced              []content // the most recently replaced last
	deferred              *deferredUpdate
}

// deferredUpdate is an update with a content that was replaced before, and that its server has not confirmed yet.
type deferredUpdate struct {
	content
	source Stream
	since  time.Time
}

// Orderer holds the current content of each resource and the contents that it replaced.
type Orderer struct {
	holdTime  time.Duration
	resources map[string]*resource
	absent    []string // names of removed resources in the order of removal; may include resources that were added again
}

// New returns an Orderer that defers outdated updates for at most holdTime.
func New(holdTime time.Duration) *Orderer {
	return &Orderer{holdTime: holdTime, resources: map[string]*resource{}}
}

// Receive decides on an update that stream s has sent, and applies or defers it accordingly.
func (o *Orderer) Receive(now time.Time, s Stream, u Update) Verdict {
	r := o.resources[u.Resource]
	if r == nil {
		if u.Digest == Absent {
			return Unchanged // removal of an unknown resource
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
	if r.deferred == nil || r.deferred.source != s || r.deferred.digest != c.digest { // a lagging server that catches up sends several outdated contents
		r.deferred = &deferredUpdate{content: c, source: s, since: now}
	}
	if now.Sub(r.deferred.since) >= o.holdTime {
		o.apply(u.Resource, r, c, s)
		return Apply
	}
	return Defer
}

// confirm records that a stream has sent the current content, under any version. It drops the deferred update.
func (r *resource) confirm(s Stream, version string) {
	r.ambiguous = r.reinstated && (r.source != s || r.ambiguous)
	r.current.version = version
	r.source = s
	r.deferred = nil
}

// isNewer reports whether c, which differs from the current content, is applied without being deferred.
func (r *resource) isNewer(s Stream, c content) bool {
	switch {
	case !r.isSet:
		return true
	case r.source == s && (!r.ambiguous || c.digest == Absent):
		return true
	}
	return !r.wasReplaced(c)
}

// wasReplaced reports whether the digest or the version of c belongs to a content that was replaced before. Different content
// under a replaced version is not newer.
func (r *resource) wasReplaced(c content) bool {
	return slices.ContainsFunc(r.replaced, func(old content) bool {
		sameVersion := c.version != "" && old.version == c.version && old.version != r.current.version
		return old.digest == c.digest || sameVersion
	})
}

// apply makes c, which stream s has sent, the current content of the resource.
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

// forgetOldestAbsent remembers that a resource was removed, and forgets the oldest removed resources beyond maxAbsent.
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

// ApplyDue applies the deferred updates whose hold time is over, and returns them sorted by resource name.
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

// NextDue returns the earliest time at which the hold time of a deferred update is over; zero if no update is deferred.
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

// EndStream drops the deferred updates of a stream that has ended. Current contents stay.
func (o *Orderer) EndStream(s Stream) {
	for _, r := range o.resources {
		if r.deferred != nil && r.deferred.source == s {
			r.deferred = nil
		}
	}
}

// Current returns a resource's current content; ok is false if the resource is unknown.
func (o *Orderer) Current(name string) (version string, d Digest, ok bool) {
	r := o.resources[name]
	if r == nil {
		return "", Absent, false
	}
	return r.current.version, r.current.digest, true
}
