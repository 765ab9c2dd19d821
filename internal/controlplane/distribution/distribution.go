// Package distribution decides what a control machine sends to whom, and when. It has no I/O and no clock, and is not safe for
// concurrent use.
//
// A subscriber is one stream of the incremental protocol. Of each type it is owed the names that it has asked for and does
// not have in the version in force. One response of a type is in flight at a time: what changes until it is answered falls
// together, and the subscriber gets the newest state once. So a slow or paused one costs its names and one response, whatever
// has changed. Changes go out at once. First states, which all ask for who come back at once, are paced by bytes, in the order
// in which they were asked for. Nothing goes back: a subscriber that has a newer version than this machine is sent nothing.
package distribution

import (
	"iter"
	"time"

	"silvertrail/internal/controlplane/records"
	"silvertrail/internal/xds/ads"
)

// Kind is a type that is subscribed to.
type Kind uint8

// The kinds, in the order in which they are sent.
const (
	Clusters Kind = iota
	Sets
	Records // what control machines tell one another: clusters and sets, also removed ones, with what is known of their versions
	Kinds
)

func (k Kind) String() string {
	return [...]string{"cluster", "endpoints", "record", "?"}[min(k, Kinds)]
}

// ResourceVersion is a resource as a kind's subscribers would get it.
type ResourceVersion struct {
	Version records.Version
	Bytes   int // bytes
	Removed bool
}

// Catalog tells what there is.
type Catalog interface {
	Find(k Kind, name string) (ResourceVersion, bool)
	All(k Kind) iter.Seq2[string, ResourceVersion]
}

// Limits are the bounds of a distribution.
type Limits struct {
	BytesPerSecond   int64         // bytes a second of first states, for all subscribers together
	MaxResponseBytes int           // bytes of a response, or one resource that is larger
	KeepaliveDelay   time.Duration // after which one that waits for its first state is sent an empty response, as a sign of life
	MaxNames         int           // of a kind that one subscriber may ask for
}

// Distributor is who has subscribed to what, and what they are owed.
type Distributor struct {
	limits      Limits
	catalog     Catalog
	open        bool // receivers are served; control machines always are
	subscribers map[*Subscriber]bool
	byName      [Kinds]map[string]map[*Subscriber]bool // subscribers by name
	wildcards   [Kinds]map[*Subscriber]bool            // those of everything
	bucket      byteBucket
	queue       []*Subscriber // those who wait for a first state, the longest first
	woken       map[*Subscriber]bool
}

// New returns the state before anybody has come.
func New(now time.Time, rules Limits, catalog Catalog) *Distributor {
	d := &Distributor{limits: rules, catalog: catalog, subscribers: map[*Subscriber]bool{}, bucket: newByteBucket(now, rules), woken: map[*Subscriber]bool{}}
	for k := range Kinds {
		d.byName[k], d.wildcards[k] = map[string]map[*Subscriber]bool{}, map[*Subscriber]bool{}
	}
	return d
}

// Open has receivers served from now on. Before, this machine may be behind the others.
func (d *Distributor) Open() {
	if d.open {
		return
	}
	d.open = true
	for s := range d.subscribers {
		d.wake(s)
	}
}

// IsOpen tells whether receivers are served.
func (d *Distributor) IsOpen() bool { return d.open }

// Join takes a stream. A peer is another control machine.
func (d *Distributor) Join(name string, peer bool) *Subscriber {
	s := &Subscriber{Name: name, Peer: peer}
	d.subscribers[s] = true
	return s
}

// Leave ends a stream.
func (d *Distributor) Leave(s *Subscriber) {
	if !d.subscribers[s] {
		return
	}
	delete(d.subscribers, s)
	delete(d.woken, s)
	for k := range Kinds {
		delete(d.wildcards[k], s)
		for name := range s.subscriptions[k].names {
			d.removeFromIndex(k, name, s)
		}
	}
	d.dequeue(s)
}

func (d *Distributor) removeFromIndex(k Kind, name string, s *Subscriber) {
	delete(d.byName[k][name], s)
	if len(d.byName[k][name]) == 0 {
		delete(d.byName[k], name)
	}
}

func (d *Distributor) addToIndex(k Kind, name string, s *Subscriber) {
	if d.byName[k][name] == nil {
		d.byName[k][name] = map[*Subscriber]bool{}
	}
	d.byName[k][name][s] = true
}

// Changed tells that a resource has a new version. Those whom it concerns are woken; nobody else is looked at.
func (d *Distributor) Changed(key records.Key) {
	k := Clusters
	if key.Kind == ads.Sets {
		k = Sets
	}
	d.markChanged(k, key.Name)
	d.markChanged(Records, key.String())
}

func (d *Distributor) markChanged(k Kind, name string) {
	owe := func(s *Subscriber) {
		if sub := &s.subscriptions[k]; !sub.initial[name] { // a first state brings the newest in its turn
			putIn(&sub.changed, name, true)
		}
		d.wake(s)
	}
	for s := range d.byName[k][name] {
		owe(s)
	}
	for s := range d.wildcards[k] {
		if !d.byName[k][name][s] {
			owe(s)
		}
	}
}

func (d *Distributor) wake(s *Subscriber) { d.woken[s] = true }

// Woken returns the subscribers that may have something to send since it was asked last.
func (d *Distributor) Woken() (out []*Subscriber) {
	for s := range d.woken {
		out = append(out, s)
	}
	clear(d.woken)
	return out
}

func putIn[V any](m *map[string]V, name string, v V) {
	if *m == nil {
		*m = map[string]V{}
	}
	(*m)[name] = v
}
