package segment

import (
	"fmt"
	"time"
)

// Kind is the kind of a record. The numbers are part of the file format.
type Kind uint8

// The kinds.
const (
	Received   Kind = iota + 1 // a request was received
	Intent                     // an attempt is about to be sent
	Outcome                    // an attempt has ended
	Final                      // the request has ended
	ClockShift                 // the wall clock was set
	Unrecorded                 // a number of requests were served without records
	Shutdown                   // the process has shut down cleanly
)

func (k Kind) String() string {
	if k < Received || k > Shutdown {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return [...]string{"taken", "intent", "outcome", "final", "clock", "missed", "closed"}[k-1]
}

// Ending is how a request ended for the client. The numbers are part of the file format.
type Ending uint8

// The endings.
const (
	Served       Ending = iota + 1 // the client got the response of an endpoint or of another site
	Rejected                       // the client got status 503 or 429: a retry is harmless
	Failed                         // the client got an error that does not promise that the request never ran
	Disconnected                   // the client had disconnected and got no response
	KeyConflict                    // no attempt was sent: the key belongs to another request, or a request with it is in progress
)

func (e Ending) String() string {
	if e < Served || e > KeyConflict {
		return fmt.Sprintf("ending %d", uint8(e))
	}
	return [...]string{"served", "refused", "failed", "caller gone", "turned away"}[e-1]
}

// Record is one record of the ledger. The kind determines which fields are used. The others are zero.
type Record struct {
	Kind    Kind
	At      time.Duration // time since the process started, by a monotonic clock
	Request uint64        // the number of the request in its process
	// DurableLag is the sequence number of this record minus that of the last record known to be durable. Zero: unknown.
	DurableLag uint64

	// Received:
	ID, Class   string
	Key         string   // plain, or its keyed hash
	Tenant      string   // plain, or its keyed hash
	KeyID       [16]byte // the ID of tenant and key, or its keyed hash
	Fingerprint [16]byte // the fingerprint of the request's content, or its keyed hash; zero: the content is not checked
	TimeLeft    time.Duration
	FromSite    string // the site that forwarded the request; empty: a client sent it

	// Intent:
	Attempt           int
	Endpoint          string
	Cluster, Zone     string
	Cell              int
	Scope             uint8
	Window, Retention time.Duration

	// Outcome, Final:
	NeverRan  bool   // the attempt is proven not to have run
	Responded bool   // the endpoint sent a response
	Verdict   string // the policy's verdict on the attempt
	Status    int
	Ending    Ending

	// ClockShift: WallTime is the wall clock at At, in Unix microseconds.
	// Unrecorded: Count requests were served without records, the first at Since and the last at At.
	WallTime int64
	Count    uint64
	Since    time.Duration // since the process started, as At
}

// Header is the header of a segment. It describes the segment and the process that wrote it.
type Header struct {
	Salt uint64 // stored before the encoded fields

	LedgerID          uint64
	Number            uint64 // the number of the segment
	FirstSeq          uint64
	PreviousSeq       uint64 // the last record found when the process started; numbers between it and the first record of the process are unused
	Process           uint64
	Host              string
	BootID            string
	StartedAt         int64 // start of the process, in Unix microseconds
	StartedSinceBoot  int64 // time from the boot of the machine to the start of the process, in microseconds
	CreatedAt         int64 // creation of the segment, in Unix microseconds
	CreatedSinceStart int64 // time from the start of the process to the creation of the segment, in microseconds
	Mode              string
	Hashed            bool // keys and tenants are recorded as keyed hashes
}
