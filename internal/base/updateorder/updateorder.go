// Package updateorder decides which of several updates of an xDS resource is newer.
//
// Versions of xDS resources are opaque. Streams break and reconnect to other servers, or to the same server with an older
// state. Within one stream a later update is newer, because the server chose to send it later. Across streams and servers,
// nothing orders two contents, except that a content that was already replaced is most likely outdated if it is sent again.
// An update with such a content is deferred: it does not become current yet. The deferred update is applied once its
// server confirms it in one of two ways:
//
//   - The update has not been superseded, and its stream has not ended, when the hold time is over. An intended rollback takes
//     effect then.
//   - The server sends the update after the current content on the same stream. This does not count if the current content was
//     replaced and reinstated, because the stream may then be at either of the two times, nor while there are candidates.
//
// A deferred update may nevertheless be the newest one. It is a candidate, see Candidates: the caller must not use anything that
// a candidate takes out of use. The last word of a stream that has ended stays a candidate until another update is applied, or until
// a later stream has stood on the current content for the hold time.
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
	maxReplaced   = 16      // replaced contents remembered for each resource
	maxUnresolved = 32      // last words of ended streams remembered for each resource
	maxAbsent     = 100_000 // removed resources remembered; beyond this number the oldest is forgotten
)

// Update is the state of one resource as a server sent it.
type Update struct {
	Resource string
	Version  string // version of the resource or of its set, as sent by the server; empty: none
	Digest   Digest
}

// Content identifies a content of a resource, under the version with which a server sent it.
type Content struct {
	Version string
	Digest  Digest
}

// resource is the state of one resource.
type resource struct {
	current Content
	isSet   bool   // whether current is set
	source  Stream // stream that sent current, or repeated it last
	// reinstated: current was replaced before and is current again. ambiguous: source only repeated current, which was reinstated
	// or has candidates beside it, so source may have yet to send contents that were replaced.
	reinstated, ambiguous bool
	replaced              []Content // the most recently replaced last
	deferred              *deferredUpdate
	unresolved            []Content // deferred when their streams ended, the most recent last; none is current
}

// deferredUpdate is an update that its server has not confirmed yet: a content that was replaced before, or the current content
// while contents are unresolved.
type deferredUpdate struct {
	Content
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
	c := Content{u.Version, u.Digest}
	if r.isSet && c.Digest == r.current.Digest {
		r.confirm(now, s, c, o.holdTime)
		return Unchanged
	}
	if r.isNewer(s, c) {
		o.apply(u.Resource, r, c, s)
		return Apply
	}
	r.hold(now, s, c)
	if now.Sub(r.deferred.since) >= o.holdTime {
		o.apply(u.Resource, r, c, s)
		return Apply
	}
	return Defer
}

// confirm records that a stream has sent the current content, under any version. It drops the stream's deferred update. Unresolved
// contents are dropped only once the stream has stood on the current content for the hold time.
func (r *resource) confirm(now time.Time, s Stream, c Content, holdTime time.Duration) {
	if r.deferred != nil && r.deferred.source != s {
		r.endStream(r.deferred.source)
	}
	r.ambiguous = (r.reinstated || len(r.unresolved) > 0) && (r.source != s || r.ambiguous)
	r.current.Version = c.Version
	r.source = s
	if len(r.unresolved) == 0 {
		r.deferred = nil
		return
	}
	r.hold(now, s, c)
	if now.Sub(r.deferred.since) >= holdTime {
		r.settle()
	}
}

// hold makes c the deferred update. A repetition does not restart the hold time: a lagging server that catches up sends several
// outdated contents.
func (r *resource) hold(now time.Time, s Stream, c Content) {
	if r.deferred != nil && r.deferred.source != s {
		r.endStream(r.deferred.source)
	}
	if r.deferred == nil || r.deferred.Digest != c.Digest {
		r.deferred = &deferredUpdate{Content: c, source: s, since: now}
	}
}

// settle drops all candidates: the current content is the newest.
func (r *resource) settle() {
	r.ambiguous = false
	r.deferred = nil
	r.unresolved = nil
}

// endStream keeps the deferred update of a stream that has ended as unresolved, unless it is the current content.
func (r *resource) endStream(s Stream) {
	if r.deferred == nil || r.deferred.source != s {
		return
	}
	last := r.deferred.Content
	r.deferred = nil
	if last.Digest == r.current.Digest {
		return
	}
	r.unresolved = slices.DeleteFunc(r.unresolved, func(c Content) bool { return c.Digest == last.Digest })
	if len(r.unresolved) == maxUnresolved {
		r.unresolved = slices.Delete(r.unresolved, 0, 1)
	}
	r.unresolved = append(r.unresolved, last)
}

// isNewer reports whether c, which differs from the current content, is applied without being deferred.
func (r *resource) isNewer(s Stream, c Content) bool {
	switch {
	case !r.isSet:
		return true
	case r.source == s && !r.ambiguous:
		return true
	}
	return !r.wasReplaced(c)
}

// wasReplaced reports whether the digest or the version of c belongs to a content that was replaced before. Different content
// under a replaced version is not newer.
func (r *resource) wasReplaced(c Content) bool {
	return slices.ContainsFunc(r.replaced, func(old Content) bool {
		sameVersion := c.Version != "" && old.Version == c.Version && old.Version != r.current.Version
		return old.Digest == c.Digest || sameVersion
	})
}

// apply makes c, which stream s has sent, the current content of the resource.
func (o *Orderer) apply(name string, r *resource, c Content, s Stream) {
	r.reinstated = slices.ContainsFunc(r.replaced, func(old Content) bool { return old.Digest == c.Digest })
	if r.isSet {
		r.replaced = slices.DeleteFunc(r.replaced, func(old Content) bool {
			return old.Digest == c.Digest || old.Digest == r.current.Digest
		})
		if len(r.replaced) == maxReplaced {
			r.replaced = slices.Delete(r.replaced, 0, 1)
		}
		r.replaced = append(r.replaced, r.current)
	}
	r.current, r.isSet = c, true
	r.source = s
	r.settle()
	if c.Digest == Absent {
		o.forgetOldestAbsent(name)
	}
}

// forgetOldestAbsent remembers that a resource was removed, and forgets the oldest removed resources beyond maxAbsent.
func (o *Orderer) forgetOldestAbsent(name string) {
	o.absent = append(o.absent, name)
	for len(o.absent) > maxAbsent {
		oldest := o.absent[0]
		o.absent = o.absent[1:]
		if r := o.resources[oldest]; r != nil && r.current.Digest == Absent && !slices.Contains(o.absent, oldest) {
			delete(o.resources, oldest)
		}
	}
}

// ApplyDue applies the deferred updates whose hold time is over, and returns them sorted by resource name. An update with the
// current content has dropped the candidates of its resource.
func (o *Orderer) ApplyDue(now time.Time) []Update {
	var out []Update
	for _, name := range slices.Sorted(maps.Keys(o.resources)) {
		r := o.resources[name]
		if r.deferred == nil || now.Sub(r.deferred.since) < o.holdTime {
			continue
		}
		d := r.deferred
		if d.Digest == r.current.Digest {
			r.settle()
		} else {
			o.apply(name, r, d.Content, d.source)
		}
		out = append(out, Update{name, d.Version, d.Digest})
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

// EndStream ends the hold time of the updates that a stream has sent, as the stream cannot confirm them any more. They stay
// candidates. Current contents stay.
func (o *Orderer) EndStream(s Stream) {
	for _, r := range o.resources {
		r.endStream(s)
	}
}

// Candidates returns the contents of a resource that may be newer than the current one, without duplicates: the deferred update, and the
// deferred updates of streams that have ended. What any of them takes out of use must not be used.
func (o *Orderer) Candidates(name string) []Digest {
	r := o.resources[name]
	if r == nil {
		return nil
	}
	var out []Digest
	for _, c := range r.candidates() {
		out = append(out, c.Digest)
	}
	return out
}

func (r *resource) candidates() []Content {
	out := slices.Clone(r.unresolved)
	d := r.deferred
	if d == nil || d.Digest == r.current.Digest {
		return out
	}
	out = slices.DeleteFunc(out, func(c Content) bool { return c.Digest == d.Digest })
	return append(out, d.Content)
}

// Current returns a resource's current content; ok is false if the resource is unknown.
func (o *Orderer) Current(name string) (version string, d Digest, ok bool) {
	r := o.resources[name]
	if r == nil {
		return "", Absent, false
	}
	return r.current.Version, r.current.Digest, true
}
