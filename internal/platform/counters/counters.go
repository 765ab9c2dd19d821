// Package counters counts what a sidecar has done for its callers and sent to its endpoints. Each request that was taken
// ends in exactly one outcome, under the class that it was taken in; no count goes back. It does no I/O and has no clock.
package counters

import (
	"encoding/json"
	"sync"
	"sync/atomic"
)

// Outcome is how a request ended for its caller.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota // served by an endpoint's answer
	Rejected                // refused: 429 or 503
	Errored                 // anything else, also where the caller has gone
	outcomes
)

// maxClasses bounds the names that are kept: vanished classes keep their counts, and every reload may bring new ones.
// What comes under a further name is counted under Other.
const maxClasses = 256

// OtherClass is the name under which requests of classes beyond mostClasses count.
const OtherClass = "_other"

// Set holds the counts. The zero Board is ready for use; it is safe for concurrent use.
type Set struct {
	AttemptsSent    atomic.Int64 // attempts written whole
	ConfigsApplied  atomic.Int64 // files taken at SIGHUP
	ConfigsRejected atomic.Int64 // and turned down

	mu       sync.Mutex
	classes  map[string]*counts
	inFlight int64
}

type counts [outcomes]int64

// AddClasses has classes shown that have had no request yet.
func (b *Set) AddClasses(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range names {
		b.countsOf(n)
	}
}

func (b *Set) countsOf(class string) *counts {
	if c := b.classes[class]; c != nil {
		return c
	}
	if b.classes == nil {
		b.classes = map[string]*counts{}
	}
	if len(b.classes) >= maxClasses {
		class = OtherClass
	}
	if b.classes[class] == nil {
		b.classes[class] = &counts{}
	}
	return b.classes[class]
}

// RequestReceived counts a request whose last byte has come, or, where its body is passed on as it comes, whose head has.
func (b *Set) RequestReceived() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight++
}

// RequestEnded counts the outcome of a request; taken tells that Taken was called for it.
func (b *Set) RequestEnded(class string, o Outcome, taken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if taken {
		b.inFlight--
	}
	b.countsOf(class)[o]++
}

// InFlight returns the number of requests that were taken and have not ended.
func (b *Set) InFlight() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inFlight
}

// Snapshot is a board at one moment, in the form in which it is told.
type Snapshot struct {
	Answered         map[string]int64 `json:"answered"`
	Rejected         map[string]int64 `json:"deferred"`
	Errored          map[string]int64 `json:"errored"`
	AttemptsSent     int64            `json:"sends"`
	InFlight         int64            `json:"current"`
	ClusterSize      int              `json:"cluster_size"`
	ClusterUnhealthy int              `json:"cluster_unhealthy"`
	ConfigsApplied   int64            `json:"conf_loaded"`
	ConfigsRejected  int64            `json:"conf_invalid"`
}

// Snapshot returns a copy. The size of the cluster and how many of it are avoided are for the caller to set.
func (b *Set) Snapshot() Snapshot {
	f := Snapshot{Answered: map[string]int64{}, Rejected: map[string]int64{}, Errored: map[string]int64{},
		AttemptsSent: b.AttemptsSent.Load(), ConfigsApplied: b.ConfigsApplied.Load(), ConfigsRejected: b.ConfigsRejected.Load()}
	b.mu.Lock()
	defer b.mu.Unlock()
	f.InFlight = b.inFlight
	for name, c := range b.classes {
		f.Answered[name], f.Rejected[name], f.Errored[name] = c[Answered], c[Rejected], c[Errored]
	}
	return f
}

// JSON returns the figures as JSON with a line end.
func (f Snapshot) JSON() []byte {
	text, err := json.Marshal(f)
	if err != nil { // counts and names alone
		panic(err)
	}
	return append(text, '\n')
}
