// Package updateorder decides which word of a control plane is newer, where versions tell nothing.
//
// Versions of xDS resources are opaque, and streams break and return to other servers, or to the same one with an older
// state. What can be known is this: within one stream a later word is newer, as the server chose to send it then. Across
// streams, and between servers, nothing orders two contents, but that a content which has been replaced already is, if
// it comes back, most likely old: it is held off, and the newer one stays in force. It is let through when the server
// proves that it means it: by still standing on it when the hold is over (a rollback that somebody wants gets through in
// that time), or by saying so after it has said, on the same stream, what is in force; unless that has been in force,
// replaced and put in force again, as then nobody can tell which of the two times the stream is at. A removal is believed
// even then: to send to what is gone is worse than to send nothing to what is there.
//
// That a resource is not there is a content like any other, so that a removal is not undone by an old word either.
//
// A Book has no clock and does no I/O. It is not safe for concurrent use.
package updateorder

import (
	"maps"
	"slices"
	"time"
)

// Digest stands for a resource's content. Absent is that of one that is not there.
type Digest [16]byte

// Absent is the content of a resource that is not there.
var Absent Digest

// Stream names one stream to one server. Each has a number of its own, also where the server is the same.
type Stream uint64

// Verdict is what becomes of a word.
type Verdict uint8

// The verdicts.
const (
	Apply     Verdict = iota // newer: it is in force from now on
	Unchanged                // what is in force already
	Defer                    // replaced before: held off until its server has proved that it means it
)

func (v Verdict) String() string { return [...]string{"take", "same", "hold"}[v] }

const (
	maxReplaced = 16      // replaced contents of one resource
	maxAbsent   = 100_000 // resources that are gone and remembered; past it the oldest is forgotten
)

// Update is what a server says of one resource.
type Update struct {
	Resource string
	Version  string // of the resource or of its set, as the server calls it; empty: it calls it nothing
	Digest   Digest
}

// content is a word that was in force, or could be.
type content struct {
	version string
	digest  Digest
}

type resource struct {
	current content
	isSet   bool   // now has been set
	source  Stream // that said now, or repeated it last
	// reinstated: now had been replaced before and is in force again. Another stream that says it may be at either time: unsure. It
	// has not proved that it is past what came in between.
	reinstated, ambiguous bool
	replaced              []content // the newest last
	deferred              *deferredUpdate
}

type deferredUpdate struct {
	content
	source Stream
	since  time.Time
}

// Orderer keeps the words in force and those that they replaced.
type Orderer struct {
	holdTime  time.Duration
	resources map[string]*resource
	absent    []string // gone, in the order in which they went; may name some that have come back
}

// New returns a book that holds an old word off for the given time.
func New(hold time.Duration) *Orderer {
	return &Orderer{holdTime: hold, resources: map[string]*resource{}}
}

// Receive takes a word.
func (b *Orderer) Receive(now time.Time, s Stream, w Update) Verdict {
	r := b.resources[w.Resource]
	if r == nil {
		if w.Digest == Absent {
			return Unchanged // it never was there
		}
		r = &resource{}
		b.resources[w.Resource] = r
	}
	c := content{w.Version, w.Digest}
	switch {
	case r.isSet && c.digest == r.current.digest:
		// Whatever its version: it says what is in force. What this stream said before is over.
		r.ambiguous = r.reinstated && (r.source != s || r.ambiguous)
		r.current.version, r.source, r.deferred = c.version, s, nil
		return Unchanged
	case !r.isSet || r.source == s && (!r.ambiguous || c.digest == Absent) || !r.wasReplaced(c):
		b.apply(w.Resource, r, c, s)
		return Apply
	}
	if r.deferred == nil || r.deferred.source != s || r.deferred.digest != c.digest { // a server that catches up goes through several
		r.deferred = &deferredUpdate{content: c, source: s, since: now}
	}
	if now.Sub(r.deferred.since) >= b.holdTime {
		b.apply(w.Resource, r, c, s)
		return Apply
	}
	return Defer
}

// wasReplaced tells of a content that has been replaced, known by itself or by its version: a version that was left behind is
// not made new by other content under it.
func (r *resource) wasReplaced(c content) bool {
	return slices.ContainsFunc(r.replaced, func(o content) bool {
		return o.digest == c.digest || c.version != "" && o.version == c.version && o.version != r.current.version
	})
}

func (b *Orderer) apply(name string, r *resource, c content, s Stream) {
	r.reinstated = slices.ContainsFunc(r.replaced, func(o content) bool { return o.digest == c.digest })
	if r.isSet {
		r.replaced = slices.DeleteFunc(r.replaced, func(o content) bool { return o.digest == c.digest || o.digest == r.current.digest })
		if len(r.replaced) == maxReplaced {
			r.replaced = slices.Delete(r.replaced, 0, 1)
		}
		r.replaced = append(r.replaced, r.current)
	}
	r.current, r.isSet, r.source, r.deferred, r.ambiguous = c, true, s, nil, false
	if c.digest == Absent {
		b.forgetOldestAbsent(name)
	}
}

// forgetOldestAbsent bounds what is remembered of resources that are gone.
func (b *Orderer) forgetOldestAbsent(name string) {
	b.absent = append(b.absent, name)
	for len(b.absent) > maxAbsent {
		oldest := b.absent[0]
		b.absent = b.absent[1:]
		if r := b.resources[oldest]; r != nil && r.current.digest == Absent && !slices.Contains(b.absent, oldest) {
			delete(b.resources, oldest)
		}
	}
}

// ApplyDue lets through the words whose hold is over, and returns them by resource: they are in force from now on.
func (b *Orderer) ApplyDue(now time.Time) (out []Update) {
	for _, name := range slices.Sorted(maps.Keys(b.resources)) {
		r := b.resources[name]
		if r.deferred == nil || now.Sub(r.deferred.since) < b.holdTime {
			continue
		}
		h := r.deferred
		b.apply(name, r, h.content, h.source)
		out = append(out, Update{name, h.version, h.digest})
	}
	return out
}

// NextDue returns the time at which Due has something to tell; zero: none.
func (b *Orderer) NextDue() (at time.Time) {
	for _, r := range b.resources {
		if r.deferred != nil {
			if end := r.deferred.since.Add(b.holdTime); at.IsZero() || end.Before(at) {
				at = end
			}
		}
	}
	return at
}

// StreamEnded tells that a stream has ended. What it said and did not prove is forgotten; what is in force stays.
func (b *Orderer) StreamEnded(s Stream) {
	for _, r := range b.resources {
		if r.deferred != nil && r.deferred.source == s {
			r.deferred = nil
		}
	}
}

// Current returns the content in force; ok is false where nothing is known of the resource.
func (b *Orderer) Current(name string) (version string, d Digest, ok bool) {
	r := b.resources[name]
	if r == nil {
		return "", Absent, false
	}
	return r.current.version, r.current.digest, true
}
