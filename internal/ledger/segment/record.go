package segment

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Kind is what a record tells.
type Kind uint8

// The kinds. Their numbers are the format's.
const (
	Received   Kind = iota + 1 // a request has been taken
	Intent                     // an attempt is about to go out: nothing of it has yet
	Outcome                    // an attempt has ended
	Final                      // the request has its one answer
	ClockShift                 // the time of day was set
	Unrecorded                 // requests were served that no record tells of
	Shutdown                   // the process has ended by itself
)

func (k Kind) String() string {
	if k < Received || k > Shutdown {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return [...]string{"taken", "intent", "outcome", "final", "clock", "missed", "closed"}[k-1]
}

// Ending is what answer a request got.
type Ending uint8

// The endings.
const (
	Served       Ending = iota + 1 // an endpoint's answer, or another sala's
	Rejected                       // 503, 429: a repeat is harmless
	Failed                         // it promises nothing
	Disconnected                   // the caller had left
	KeyConflict                    // the key belongs to another request, or one with it is in work: sent nowhere
)

func (e Ending) String() string {
	if e < Served || e > KeyConflict {
		return fmt.Sprintf("ending %d", uint8(e))
	}
	return [...]string{"served", "refused", "failed", "caller gone", "turned away"}[e-1]
}

// Record is one record. Which fields count goes by its kind; the others are zero.
type Record struct {
	Kind    Kind
	At      time.Duration // since the process began, by a clock that nobody sets
	Request uint64        // number of the request in its process
	// DurableLag is how many records before this one the last one was that was known to be durable as this one was made. 0: not told.
	DurableLag uint64

	// Taken:
	ID, Class   string
	Key         string   // plain, or its keyed hash
	Tenant      string   // likewise
	KeyID       [16]byte // stands for tenant and key: history's, or its keyed hash
	Fingerprint [16]byte // of what the request says, likewise; zero: not held to
	TimeLeft    time.Duration
	FromSite    string // the sala that has sent it; empty: a caller

	// Intent:
	Attempt           int
	Endpoint          string
	Cluster, Zone     string
	Cell              int
	Scope             uint8
	Window, Retention time.Duration

	// Outcome, Final:
	NeverRan  bool   // proof that the attempt was not executed
	Responded bool   // one came whole
	Verdict   string // of the decisions
	Status    int
	Ending    Ending

	// Clock: what the time of day was at At, in microseconds since 1970. Missed: how many, the last of them at At.
	WallTime int64
	Count    uint64
	Since    time.Duration // the first of them
}

// Header begins a segment.
type Header struct {
	Salt uint64 // not of the header's text

	LedgerID          uint64 // the ledger's number
	Number            uint64 // the segment's
	FirstSeq          uint64 // of its first record
	PreviousSeq       uint64 // the last record that the process found when it began: numbers between that and its own first were never used
	Process           uint64 // the process's
	Host              string
	BootID            string // the machine's start
	StartedAt         int64  // the process, microseconds since 1970
	StartedSinceBoot  int64  // the same by the machine's clock since its start
	CreatedAt         int64  // the segment, microseconds since 1970
	CreatedSinceStart int64  // since the process began, in microseconds
	Mode              string
	Hashed            bool // keys and tenants
}

// Fields of messages. A number is never used again for another thing; who does not know one passes over it.
const (
	fKind protowire.Number = iota + 1
	fAt
	fRequest
	fID
	fClass
	fKey
	fTenant
	fKeyID
	fPrint
	fLeft
	fFrom
	fAttempt
	fNodo
	fCluster
	fZone
	fCell
	fScope
	fWindow
	fKeep
	fNever
	fAnswer
	fVerdict
	fStatus
	fEnding
	fWall
	fCount
	fSince
	fLag
)

const (
	hLog protowire.Number = iota + 1
	hNumber
	hFirst
	hPrev
	hProcess
	hHost
	hBoot
	hBegan
	hBeganAt
	hMade
	hMadeAt
	hMode
	hHashed
)

func appendNumber(b []byte, f protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, f, protowire.VarintType), v)
}

func appendDuration(b []byte, f protowire.Number, d time.Duration) []byte {
	return appendNumber(b, f, protowire.EncodeZigZag(d.Microseconds()))
}

func appendText(b []byte, f protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, f, protowire.BytesType), s)
}

func appendHash(b []byte, f protowire.Number, h [16]byte) []byte {
	if h == ([16]byte{}) {
		return b
	}
	return protowire.AppendBytes(protowire.AppendTag(b, f, protowire.BytesType), h[:])
}

func (r *Record) append(b []byte) []byte {
	b = appendNumber(b, fKind, uint64(r.Kind))
	b = appendDuration(b, fAt, r.At)
	b = appendNumber(b, fRequest, r.Request)
	b = appendText(b, fID, r.ID)
	b = appendText(b, fClass, r.Class)
	b = appendText(b, fKey, r.Key)
	b = appendText(b, fTenant, r.Tenant)
	b = appendHash(b, fKeyID, r.KeyID)
	b = appendHash(b, fPrint, r.Fingerprint)
	b = appendDuration(b, fLeft, r.TimeLeft)
	b = appendText(b, fFrom, r.FromSite)
	b = appendNumber(b, fAttempt, uint64(r.Attempt))
	b = appendText(b, fNodo, r.Endpoint)
	b = appendText(b, fCluster, r.Cluster)
	b = appendText(b, fZone, r.Zone)
	b = appendNumber(b, fCell, protowire.EncodeZigZag(int64(r.Cell)))
	b = appendNumber(b, fScope, uint64(r.Scope))
	b = appendDuration(b, fWindow, r.Window)
	b = appendDuration(b, fKeep, r.Retention)
	b = appendNumber(b, fNever, protowire.EncodeBool(r.NeverRan))
	b = appendNumber(b, fAnswer, protowire.EncodeBool(r.Responded))
	b = appendText(b, fVerdict, r.Verdict)
	b = appendNumber(b, fStatus, uint64(r.Status))
	b = appendNumber(b, fEnding, uint64(r.Ending))
	b = appendNumber(b, fWall, uint64(r.WallTime))
	b = appendNumber(b, fCount, r.Count)
	b = appendDuration(b, fSince, r.Since)
	return appendNumber(b, fLag, r.DurableLag)
}

func (h *Header) append(b []byte) []byte {
	b = appendNumber(b, hLog, h.LedgerID)
	b = appendNumber(b, hNumber, h.Number)
	b = appendNumber(b, hFirst, h.FirstSeq)
	b = appendNumber(b, hPrev, h.PreviousSeq)
	b = appendNumber(b, hProcess, h.Process)
	b = appendText(b, hHost, h.Host)
	b = appendText(b, hBoot, h.BootID)
	b = appendNumber(b, hBegan, uint64(h.StartedAt))
	b = appendNumber(b, hBeganAt, uint64(h.StartedSinceBoot))
	b = appendNumber(b, hMade, uint64(h.CreatedAt))
	b = appendNumber(b, hMadeAt, uint64(h.CreatedSinceStart))
	b = appendText(b, hMode, h.Mode)
	return appendNumber(b, hHashed, protowire.EncodeBool(h.Hashed))
}

var errInvalidFields = errors.New("fields that can't be read")

// eachField calls f for each field; those of other types than numbers and texts are passed over.
func eachField(b []byte, f func(n protowire.Number, v uint64, text []byte)) error {
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 {
			return errInvalidFields
		}
		b = b[size:]
		switch t {
		case protowire.VarintType:
			v, size := protowire.ConsumeVarint(b)
			if size < 0 {
				return errInvalidFields
			}
			f(n, v, nil)
			b = b[size:]
		case protowire.BytesType:
			text, size := protowire.ConsumeBytes(b)
			if size < 0 {
				return errInvalidFields
			}
			f(n, 0, text)
			b = b[size:]
		default:
			if size = protowire.ConsumeFieldValue(n, t, b); size < 0 {
				return errInvalidFields
			}
			b = b[size:]
		}
	}
	return nil
}

func duration(v uint64) time.Duration {
	return time.Duration(protowire.DecodeZigZag(v)) * time.Microsecond
}

func (r *Record) parse(b []byte, name func([]byte) string) error {
	*r = Record{}
	err := eachField(b, func(n protowire.Number, v uint64, text []byte) {
		switch n {
		case fKind:
			r.Kind = Kind(min(v, 255))
		case fAt:
			r.At = duration(v)
		case fRequest:
			r.Request = v
		case fID:
			r.ID = string(text)
		case fClass:
			r.Class = name(text)
		case fKey:
			r.Key = string(text)
		case fTenant:
			r.Tenant = name(text)
		case fKeyID:
			copy(r.KeyID[:], text)
		case fPrint:
			copy(r.Fingerprint[:], text)
		case fLeft:
			r.TimeLeft = duration(v)
		case fFrom:
			r.FromSite = name(text)
		case fAttempt:
			r.Attempt = int(min(v, 1<<30))
		case fNodo:
			r.Endpoint = name(text)
		case fCluster:
			r.Cluster = name(text)
		case fZone:
			r.Zone = name(text)
		case fCell:
			r.Cell = int(protowire.DecodeZigZag(v))
		case fScope:
			r.Scope = uint8(min(v, 255))
		case fWindow:
			r.Window = duration(v)
		case fKeep:
			r.Retention = duration(v)
		case fNever:
			r.NeverRan = v != 0
		case fAnswer:
			r.Responded = v != 0
		case fVerdict:
			r.Verdict = name(text)
		case fStatus:
			r.Status = int(min(v, 999))
		case fEnding:
			r.Ending = Ending(min(v, 255))
		case fWall:
			r.WallTime = int64(v)
		case fCount:
			r.Count = v
		case fSince:
			r.Since = duration(v)
		case fLag:
			r.DurableLag = v
		}
	})
	switch {
	case err != nil:
		return err
	case r.Kind == 0:
		return errors.New("a record of no kind")
	case r.Kind == Final && (r.Ending < Served || r.Ending > KeyConflict):
		return fmt.Errorf("a final answer of %v", r.Ending)
	}
	return nil
}

func (h *Header) parse(b []byte) error {
	return eachField(b, func(n protowire.Number, v uint64, text []byte) {
		switch n {
		case hLog:
			h.LedgerID = v
		case hNumber:
			h.Number = v
		case hFirst:
			h.FirstSeq = v
		case hPrev:
			h.PreviousSeq = v
		case hProcess:
			h.Process = v
		case hHost:
			h.Host = string(text)
		case hBoot:
			h.BootID = string(text)
		case hBegan:
			h.StartedAt = int64(v)
		case hBeganAt:
			h.StartedSinceBoot = int64(v)
		case hMade:
			h.CreatedAt = int64(v)
		case hMadeAt:
			h.CreatedSinceStart = int64(v)
		case hMode:
			h.Mode = string(text)
		case hHashed:
			h.Hashed = v != 0
		}
	})
}
