// Package counters counts what a sidecar has done for its clients and sent to its endpoints. Each request that was received
// ends in exactly one outcome, under the class that it was received in; no counter decreases. It does no I/O and has no
// clock.
package counters

import (
	"encoding/json"
	"sync"
	"sync/atomic"
)

// Outcome is how a request ended for its client.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota // an endpoint's response was delivered
	Rejected                // 429 or 503
	Errored                 // anything else, also if the client has disconnected
	outcomes
)

// maxClasses bounds the class names: removed classes keep their counters, and every reload may bring new ones. Further
// names count as OtherClass.
const maxClasses = 256

// OtherClass is the name of classes beyond maxClasses.
const OtherClass = "_other"

// Set holds the counters. The zero Set is ready for use; it is safe for concurrent use.
type Set struct {
	AttemptsSent    atomic.Int64 // written completely
	ConfigsApplied  atomic.Int64 // at SIGHUP
	ConfigsRejected atomic.Int64

	mu       sync.Mutex
	classes  map[string]*counts
	inFlight int64
}

type counts [outcomes]int64

// AddClasses adds classes, so that a Snapshot shows them before their first request.
func (s *Set) AddClasses(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		s.countsOf(name)
	}
}

// countsOf returns a class's counters. The caller holds the lock.
func (s *Set) countsOf(class string) *counts {
	if c := s.classes[class]; c != nil {
		return c
	}
	if s.classes == nil {
		s.classes = map[string]*counts{}
	}
	if len(s.classes) >= maxClasses {
		class = OtherClass
	}
	if s.classes[class] == nil {
		s.classes[class] = &counts{}
	}
	return s.classes[class]
}

// RequestReceived counts a request whose last byte has arrived, or whose head has if its body is streamed.
func (s *Set) RequestReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

// RequestEnded counts the outcome of a request; wasReceived says whether RequestReceived was called for it.
func (s *Set) RequestEnded(class string, o Outcome, wasReceived bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if wasReceived {
		s.inFlight--
	}
	s.countsOf(class)[o]++
}

// InFlight returns the number of requests that were received and have not ended.
func (s *Set) InFlight() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Snapshot is a copy of the counters, in the form of the administration interface.
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

// Snapshot returns a copy. The caller sets the size of the cluster and how many of its endpoints are unhealthy.
func (s *Set) Snapshot() Snapshot {
	snapshot := Snapshot{
		Answered:        map[string]int64{},
		Rejected:        map[string]int64{},
		Errored:         map[string]int64{},
		AttemptsSent:    s.AttemptsSent.Load(),
		ConfigsApplied:  s.ConfigsApplied.Load(),
		ConfigsRejected: s.ConfigsRejected.Load(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot.InFlight = s.inFlight
	for name, c := range s.classes {
		snapshot.Answered[name] = c[Answered]
		snapshot.Rejected[name] = c[Rejected]
		snapshot.Errored[name] = c[Errored]
	}
	return snapshot
}

// JSON returns the snapshot as a line of JSON.
func (s Snapshot) JSON() []byte {
	text, err := json.Marshal(s)
	if err != nil { // it holds numbers and names only
		panic(err)
	}
	return append(text, '\n')
}
