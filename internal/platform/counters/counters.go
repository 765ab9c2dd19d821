// Package counters counts the outcomes of clients' requests and the attempts sent to endpoints. Each request that was received
// counts under exactly one outcome and under the class that it had on arrival. No counter decreases, except the number of
// requests in flight. The package does no I/O and uses no clock.
package counters

import (
	"encoding/json"
	"sync"
	"sync/atomic"
)

// Outcome is the result of a request as its client sees it.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota // an endpoint's response was delivered
	Rejected                // the response had status 429 or 503
	Errored                 // any other result, including a client that disconnected
	outcomeCount
)

// maxClasses bounds the number of class names. Without it, the number could grow with every reload, because removed classes
// keep their counters. Requests of further classes count under OtherClass.
const maxClasses = 256

// OtherClass is the class name that counts the requests of all classes beyond maxClasses.
const OtherClass = "_other"

// Set holds the counters. The zero Set is ready for use. A Set is safe for concurrent use.
type Set struct {
	AttemptsSent    atomic.Int64 // attempts whose request was written completely
	ConfigsApplied  atomic.Int64 // reloads at SIGHUP that succeeded
	ConfigsRejected atomic.Int64 // reloads at SIGHUP that failed
	Deliveries      Deliveries
	Responses       Responses

	mu       sync.Mutex
	classes  map[string]*counts
	inFlight int64
}

// counts holds the counters of one class, by outcome.
type counts [outcomeCount]int64

// AddClasses adds classes, so that a Snapshot shows them before their first request.
func (s *Set) AddClasses(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		s.countsOf(name)
	}
}

// countsOf returns the counters of a class, and adds the class if it is new. The caller holds the lock.
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

// RequestReceived counts a request as in flight. It is called when the request's last byte has arrived, or its head if the
// body is streamed.
func (s *Set) RequestReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

// RequestEnded counts the outcome of a request. wasReceived states whether RequestReceived was called for the request.
func (s *Set) RequestEnded(class string, o Outcome, wasReceived bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if wasReceived {
		s.inFlight--
	}
	s.countsOf(class)[o]++
}

// InFlight returns the number of requests that have been received and have not ended.
func (s *Set) InFlight() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Snapshot is a copy of the counters of outcomes, attempts and reloads.
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

// Snapshot returns a copy of the counters. The caller sets ClusterSize and ClusterUnhealthy.
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

// JSON returns the snapshot as JSON on a single line, with a newline at the end.
func (s Snapshot) JSON() []byte { return encode(s) }

// Stats are all counters. Their JSON encoding is the response of the administration interface: the fields of the Snapshot, the
// deliveries, and the responses of endpoints.
type Stats struct {
	Snapshot
	Deliveries DeliverySnapshot `json:"deliveries"`
	Responses  ResponseSnapshot `json:"responses"`
	Memory     MemorySnapshot   `json:"memory"`
}

// JSON returns the counters as JSON on a single line, with a newline at the end.
func (s Stats) JSON() []byte { return encode(s) }

// encode encodes counters. That cannot fail, because they are numbers and strings.
func encode(counters any) []byte {
	text, err := json.Marshal(counters)
	if err != nil {
		panic(err)
	}
	return append(text, '\n')
}
