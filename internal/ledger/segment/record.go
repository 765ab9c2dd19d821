package segment

import (
	"fmt"
	"time"
)

// Kind is the kind of a record. The numbers are part of the format.
type Kind uint8

// The kinds.
const (
	Received   Kind = iota + 1 // a request was received
	Intent                     // an attempt is about to be sent
	Outcome                    // an attempt has ended
	Final                      // the request has its one answer
	ClockShift                 // the wall clock was set
	Unrecorded                 // requests were served without records
	Shutdown                   // the process has ended cleanly
)

func (k Kind) String() string {
	if k < Received || k > Shutdown {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return [...]string{"taken", "intent", "outcome", "final", "clock", "missed", "closed"}[k-1]
}

// Ending is the answer to a request. The numbers are part of the format.
type Ending uint8

// The endings.
const (
	Served       Ending = iota + 1 // the response of an endpoint, or of another site
	Rejected                       // 503, 429: a retry is harmless
	Failed                         // it promises nothing
	Disconnected                   // the client had disconnected
	KeyConflict                    // the key belongs to another request, or one with it is in progress: nothing was sent
)

func (e Ending) String() string {
	if e < Served || e > KeyConflict {
		return fmt.Sprintf("ending %d", uint8(e))
	}
	return [...]string{"served", "refused", "failed", "caller gone", "turned away"}[e-1]
}

// Record is one record. The kind determines which fields are used; the others are zero.
type Record struct {
	Kind    Kind
	At      time.Duration // since the process started, by a monotonic clock
	Request uint64        // the number of the request in its process
	// DurableLag is the number of records between the last one that was known to be durable and this one. Zero: unknown.
	DurableLag uint64

	// Received:
	ID, Class   string
	Key         string   // plain, or its keyed hash
	Tenant      string   // plain, or its keyed hash
	KeyID       [16]byte // of tenant and key, or its keyed hash
	Fingerprint [16]byte // of the request's content, or its keyed hash; zero: it is not checked
	TimeLeft    time.Duration
	FromSite    string // that forwarded it; empty: a client sent it

	// Intent:
	Attempt           int
	Endpoint          string
	Cluster, Zone     string
	Cell              int
	Scope             uint8
	Window, Retention time.Duration

	// Outcome, Final:
	NeverRan  bool   // proof that the attempt was not executed
	Responded bool   // a response was received
	Verdict   string // of the policy
	Status    int
	Ending    Ending

	// ClockShift: the wall clock at At, in Unix microseconds. Unrecorded: how many requests, the last of them at At.
	WallTime int64
	Count    uint64
	Since    time.Duration // the first of them
}

// Header begins a segment.
type Header struct {
	Salt uint64 // stands before the encoded fields

	LedgerID          uint64
	Number            uint64 // of the segment
	FirstSeq          uint64
	PreviousSeq       uint64 // the last record found at the start of the process: numbers up to its own first were never used
	Process           uint64
	Host              string
	BootID            string
	StartedAt         int64 // the process, in Unix microseconds
	StartedSinceBoot  int64 // the process, in microseconds
	CreatedAt         int64 // the segment, in Unix microseconds
	CreatedSinceStart int64 // the segment, in microseconds
	Mode              string
	Hashed            bool // keys and tenants
}
