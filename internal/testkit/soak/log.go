package soak

import (
	"sync"
	"time"
)

// Ending is how a request ended for its client.
type Ending string

// The endings.
const (
	Answered   Ending = "answered"
	Closed     Ending = "closed without an answer"
	Unanswered Ending = "without an answer" // the connection is still open
	Left       Ending = "left"              // by its client
	CutOff     Ending = "cut off"           // within its answer, as the client can tell
)

// Request is a request as its client saw it.
type Request struct {
	ID, Class, Key string
	NewConnection  bool // it was the first one on its connection
	BodyBytes      int
	SentAt         time.Time // its last byte
	Deadline       time.Time
	BegunAt        time.Time // when the head of the answer had come; zero: never
	AnswerBytes    int       // of the answer's body
	EndedAt        time.Time
	Ending         Ending
	Status         int
	WrongAnswer    string // what no endpoint made for it
}

// Arrival is an attempt as its endpoint saw it.
type Arrival struct {
	ID, Class, Key string
	Endpoint       int
	Zone           string
	At             time.Time     // of its first byte
	Timeout        time.Duration // that it was told; 0: none
}

// Span is a time in which something held. A zero end is the end of the day.
type Span struct{ From, To time.Time }

// contains reports whether a time lies in the span.
func (s Span) contains(t time.Time) bool {
	return !t.Before(s.From) && (s.To.IsZero() || t.Before(s.To))
}

// overlaps reports whether the span has a part of the time between two others.
func (s Span) overlaps(from, to time.Time) bool {
	return s.From.Before(to) && (s.To.IsZero() || s.To.After(from))
}

// Start is the start of an endpoint that is cold.
type Start struct {
	Endpoint int
	At       time.Time
}

// Withdrawal is the time in which discovery lists an endpoint as draining or not at all.
type Withdrawal struct {
	Endpoint int
	Span
}

// Process is one process of the sidecar.
type Process struct {
	StartedAt, ReadyAt   time.Time // ReadyAt is zero: it never was
	TerminatedAt         time.Time // SIGTERM; zero: none
	EndedAt              time.Time
	Killed               bool   // it was still there when SIGKILL was due
	Failure              string // of a process that ended by itself, or with an error
	Pauses               []Span
	MostDescriptors      int
	MostMemoryBytes      int64
	replacedWhileRunning bool
}

// Log is all that was seen of a day.
type Log struct {
	Day         Day
	mu          sync.Mutex
	Requests    []Request
	Arrivals    []Arrival
	Starts      []Start
	Withdrawals []Withdrawal
	Silences    []Span // of discovery
	Moves       []time.Time
	Crowds      []Span
	Processes   []*Process
	Partial     map[string]bool      // requests whose answer an endpoint left unfinished
	Abandoned   map[string]time.Time // requests whose answer the sidecar stopped reading while an endpoint wrote it
	Spoilt      []string             // requests that came to an endpoint with another body
	EndedAt     time.Time
}

func (l *Log) addRequest(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Requests = append(l.Requests, r)
}

func (l *Log) addArrival(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Arrivals = append(l.Arrivals, a)
}

// addPartial records that an endpoint leaves its answer to a request unfinished.
func (l *Log) addPartial(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Partial == nil {
		l.Partial = map[string]bool{}
	}
	l.Partial[id] = true
}

// addAbandoned records that the sidecar closed the connection on which an endpoint was writing an answer.
func (l *Log) addAbandoned(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Abandoned == nil {
		l.Abandoned = map[string]time.Time{}
	}
	l.Abandoned[id] = at
}

// addSpoilt records that a request came to an endpoint with another body.
func (l *Log) addSpoilt(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Spoilt = append(l.Spoilt, id)
}

// change changes the log under its lock.
func (l *Log) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}
