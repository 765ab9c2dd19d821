// Package distribution decides which resources a control-plane server sends to which subscribers, and when. It does no I/O
// and reads no clock. A Distributor belongs to one server, which serialises all calls.
//
// A subscriber is one stream of the incremental xDS protocol. A name that it has subscribed to is pending while the subscriber
// does not have the current version of the resource. One response of a kind is in flight at a time. Changes until it is answered
// are combined, and the subscriber gets the newest state once. The cost of a slow or paused subscriber is therefore its names
// and one response, however many changes there are.
//
// Changes are sent at once. Initial states are limited in bytes per second, first come, first served, as many subscribers may
// reconnect and request them at the same time. A resource that a subscriber has in a newer version than this server is not sent.
package distribution

import (
	"iter"
	"time"

	"silvertrail/internal/controlplane/records"
	"silvertrail/internal/xds/ads"
)

// Kind is a kind of resource that can be subscribed to.
type Kind uint8

// The kinds, in the order in which they are sent.
const (
	Clusters Kind = iota
	EndpointSets
	Records   // replicated between control-plane servers: clusters and endpoint sets, also removed ones, with their version vectors
	KindCount // the number of kinds
)

func (k Kind) String() string {
	return [...]string{"cluster", "endpoints", "record", "?"}[min(k, KindCount)]
}

// ResourceVersion is the current version of a resource, as the subscribers of a kind receive it.
type ResourceVersion struct {
	Version records.Version
	Bytes   int
	Removed bool
}

// Catalog returns the current resources.
type Catalog interface {
	Find(k Kind, name string) (ResourceVersion, bool)
	All(k Kind) iter.Seq2[string, ResourceVersion]
}

// Limits are the limits of a Distributor.
type Limits struct {
	BytesPerSecond   int64         // of initial states, for all subscribers together
	MaxResponseBytes int           // of a response, unless it holds a single larger resource
	KeepaliveDelay   time.Duration // after which a subscriber that waits for its initial state is sent an empty response
	MaxNames         int           // of a kind, for one subscriber
}

// Distributor holds the subscriptions and their pending resources. It is not safe for concurrent use.
type Distributor struct {
	limits      Limits
	catalog     Catalog
	open        bool // sidecars are served; other control-plane servers always are
	subscribers map[*Subscriber]bool
	byName      [KindCount]map[string]map[*Subscriber]bool // by resource name
	wildcards   [KindCount]map[*Subscriber]bool            // subscribers to all resources of a kind
	bucket      byteBucket
	queue       []*Subscriber // waiting for an initial state, in order of arrival
	woken       map[*Subscriber]bool
}

// New returns a Distributor without subscribers.
func New(now time.Time, limits Limits, catalog Catalog) *Distributor {
	d := &Distributor{
		limits:      limits,
		catalog:     catalog,
		subscribers: map[*Subscriber]bool{},
		bucket:      newByteBucket(now, limits),
		woken:       map[*Subscriber]bool{},
	}
	for k := range KindCount {
		d.byName[k] = map[string]map[*Subscriber]bool{}
		d.wildcards[k] = map[*Subscriber]bool{}
	}
	return d
}

// Open starts to serve sidecars. It is called once this server is up to date with its peers, or has stopped waiting for them.
func (d *Distributor) Open() {
	if d.open {
		return
	}
	d.open = true
	for s := range d.subscribers {
		d.wake(s)
	}
}

// IsOpen reports whether sidecars are served.
func (d *Distributor) IsOpen() bool { return d.open }

// Join adds a stream. A peer is another control-plane server.
func (d *Distributor) Join(name string, peer bool) *Subscriber {
	s := &Subscriber{Name: name, Peer: peer}
	d.subscribers[s] = true
	return s
}

// Leave removes a stream.
func (d *Distributor) Leave(s *Subscriber) {
	if !d.subscribers[s] {
		return
	}
	delete(d.subscribers, s)
	delete(d.woken, s)
	for k := range KindCount {
		delete(d.wildcards[k], s)
		for name := range s.subscriptions[k].names {
			d.removeFromIndex(k, name, s)
		}
	}
	d.dequeue(s)
}

func (d *Distributor) addToIndex(k Kind, name string, s *Subscriber) {
	if d.byName[k][name] == nil {
		d.byName[k][name] = map[*Subscriber]bool{}
	}
	d.byName[k][name][s] = true
}

func (d *Distributor) removeFromIndex(k Kind, name string, s *Subscriber) {
	delete(d.byName[k][name], s)
	if len(d.byName[k][name]) == 0 {
		delete(d.byName[k], name)
	}
}

// NotifyChange marks the new version of a resource as pending for its subscribers, and wakes them.
func (d *Distributor) NotifyChange(key records.Key) {
	k := Clusters
	if key.Kind == ads.Endpoints {
		k = EndpointSets
	}
	d.markChanged(k, key.Name)
	d.markChanged(Records, key.String())
}

func (d *Distributor) markChanged(k Kind, name string) {
	for s := range d.byName[k][name] {
		d.addChanged(s, k, name)
	}
	for s := range d.wildcards[k] {
		if !d.byName[k][name][s] {
			d.addChanged(s, k, name)
		}
	}
}

// addChanged makes a changed resource pending. A resource that is still pending in the initial state stays there: it will be sent
// in its newest version.
func (d *Distributor) addChanged(s *Subscriber, k Kind, name string) {
	sub := &s.subscriptions[k]
	if !sub.initial[name] {
		setEntry(&sub.changed, name, true)
	}
	d.wake(s)
}

func (d *Distributor) wake(s *Subscriber) { d.woken[s] = true }

// TakeWoken returns the subscribers that were woken since the last call: there may be something to send to them.
func (d *Distributor) TakeWoken() []*Subscriber {
	var woken []*Subscriber
	for s := range d.woken {
		woken = append(woken, s)
	}
	clear(d.woken)
	return woken
}

// setEntry sets a value in a map, which it allocates first if the map is nil.
func setEntry[V any](m *map[string]V, name string, value V) {
	if *m == nil {
		*m = map[string]V{}
	}
	(*m)[name] = value
}
