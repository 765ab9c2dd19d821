// Package simulator adapts the load-balancing policy to the platform's simulator. It reads batches of events from standard input and
// writes one reply with actions for each batch to standard output. The frames are specified on the platform's WIRE page. The package
// only translates between frames and calls of package lbpolicy, which takes all decisions.
package simulator

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"silvertrail/lbpolicy"
)

// Codes of the event records in a batch.
const (
	eventOpen = iota + 1
	eventMembership
	eventRequest
	eventResponseStarted
	eventOutcome
	eventClientDisconnected
	eventTimer
	eventProbeAnswered
	eventPeerMessage
	eventHalt
	eventList
)

// eventNames maps the codes of events to their names on the WIRE page.
var eventNames = [...]string{"", "OPEN_INSTANCE", "MEMBERSHIP", "INBOUND", "ACK_FIRST", "OUTCOME",
	"CLIENT_GONE", "WAKEUP", "PONG", "INBOX", "HALT", "POOL"}

// verdicts maps the outcome codes of the WIRE page to verdicts.
var verdicts = map[uint8]lbpolicy.Verdict{0: lbpolicy.OK, 5: lbpolicy.Error, 11: lbpolicy.ServerFull,
	110: lbpolicy.Timeout, 111: lbpolicy.ConnectFailed, 104: lbpolicy.Reset, 125: lbpolicy.Cancelled, 114: lbpolicy.NotSent}

const (
	headerBytes      = 12
	replyHeaderBytes = 8
	entryBytes       = 21
	maxFrameBytes    = 1 << 28
	maxLists         = 16
)

// Handler receives the events of a batch in the order of their records.
type Handler interface {
	Open(instance uint32, seed uint64, settings []byte)
	Halt(instance uint32)
	UpdateEndpoints(instance uint32, kind lbpolicy.ListKind, entries []lbpolicy.Server)
	Request(instance uint32, r lbpolicy.Request)
	ResponseStarted(instance uint32, id lbpolicy.RequestID)
	Outcome(instance uint32, o lbpolicy.Outcome)
	ClientDisconnected(instance uint32, id lbpolicy.RequestID)
	Timer(instance uint32, token uint64)
}

// Decoder reads batches. It holds the endpoint lists of the POOL records, which all instances share.
type Decoder struct {
	in       io.Reader
	frame    []byte
	position int64 // byte offset of the current frame in the input
	lists    [maxLists][]lbpolicy.Server
}

// NewDecoder returns a decoder that reads from in.
func NewDecoder(in io.Reader) *Decoder { return &Decoder{in: in} }

// Next reads one frame and returns its time and body. It returns io.EOF if the input ends between frames.
func (d *Decoder) Next() (now time.Duration, body []byte, err error) {
	d.position += int64(len(d.frame))
	var header [headerBytes]byte
	if n, err := io.ReadFull(d.in, header[:]); err == io.EOF {
		return 0, nil, io.EOF
	} else if err != nil {
		return 0, nil, fmt.Errorf("batch header at byte %d: cut off after %d bytes", d.position, n)
	}
	size := binary.LittleEndian.Uint32(header[:])
	if size < headerBytes || size > maxFrameBytes {
		return 0, nil, fmt.Errorf("batch header at byte %d: length %d out of range", d.position, size)
	}
	if cap(d.frame) < int(size) {
		d.frame = make([]byte, size)
	}
	d.frame = d.frame[:size]
	copy(d.frame, header[:])
	if n, err := io.ReadFull(d.in, d.frame[headerBytes:]); err != nil {
		return 0, nil, fmt.Errorf("batch at byte %d: %d bytes announced, cut off after %d", d.position, size, n+headerBytes)
	}
	return seconds(math.Float64frombits(binary.LittleEndian.Uint64(header[4:]))), d.frame[headerBytes:], nil
}

// Dispatch decodes the records of a frame's body and calls h for each event. The Load of an Outcome is valid only during the call of
// h.Outcome.
func (d *Decoder) Dispatch(body []byte, h Handler) error {
	r := &reader{buffer: body}
	for r.offset < len(body) {
		start := r.offset
		code := r.u16()
		name := fmt.Sprintf("record code %d", code)
		if code >= eventOpen && code <= eventList {
			name = eventNames[code]
		} else if r.err == nil {
			r.err = fmt.Errorf("unknown event code")
		}
		if r.err == nil {
			d.readRecord(code, r, h)
		}
		if r.err != nil {
			return fmt.Errorf("%s at byte %d: %w", name, d.position+headerBytes+int64(start), r.err)
		}
	}
	return nil
}

// readRecord decodes one record. It calls h only if the record is complete and valid.
func (d *Decoder) readRecord(code uint16, r *reader, h Handler) {
	if code == eventList {
		d.readList(r)
		return
	}
	instance := r.u32()
	switch code {
	case eventOpen:
		seed := r.u64()
		if text := r.bytes(int(r.u32())); r.err == nil {
			h.Open(instance, seed, text)
		}
	case eventHalt:
		if r.err == nil {
			h.Halt(instance)
		}
	case eventMembership:
		d.readMembership(instance, r, h)
	case eventRequest:
		q := lbpolicy.Request{ID: lbpolicy.RequestID(r.u64()), Class: int(r.u8()), Tenant: int(r.u32())}
		r.u64() // the request's key is ignored
		q.TimeLeft = seconds(r.f64())
		r.f64() // the cost hint is ignored
		q.Retry = r.u8()&2 != 0
		if r.err == nil {
			h.Request(instance, q)
		}
	case eventResponseStarted:
		id := lbpolicy.RequestID(r.u64())
		if r.bytes(8 + 1 + 4); r.err == nil {
			h.ResponseStarted(instance, id)
		}
	case eventOutcome:
		readOutcome(instance, r, h)
	case eventClientDisconnected:
		if id := lbpolicy.RequestID(r.u64()); r.err == nil {
			h.ClientDisconnected(instance, id)
		}
	case eventTimer:
		if token := r.u64(); r.err == nil {
			h.Timer(instance, token)
		}
	case eventProbeAnswered: // skipped, because no probes are sent
		r.bytes(4 + 1 + 8)
		r.bytes(4 * int(r.u8()))
	case eventPeerMessage: // skipped, because no messages are sent to peers
		r.bytes(2)
		r.bytes(int(r.u16()))
	}
}

func (d *Decoder) readList(r *reader) {
	number, count := r.u8(), r.u32()
	if r.err == nil && int(number) >= maxLists {
		r.err = fmt.Errorf("list number %d exceeds the maximum %d", number, maxLists-1)
	}
	if r.err == nil && int64(count)*entryBytes > int64(len(r.buffer)-r.offset) {
		r.err = fmt.Errorf("count %d past the frame's end", count)
	}
	if r.err != nil {
		return
	}
	entries := make([]lbpolicy.Server, count)
	for i := range entries {
		entries[i] = lbpolicy.Server{Zone: int(r.u8()), StartedAt: seconds(r.f64()), Cell: int(r.u16()),
			ID: lbpolicy.ServerID(r.u32())}
		r.u8() // the machine type is ignored
		entries[i].State = lbpolicy.State(r.u8())
		r.f32() // the machine size is ignored, as latency is a better measure of capacity
	}
	d.lists[number] = entries
}

func (d *Decoder) readMembership(instance uint32, r *reader, h Handler) {
	kind, listNumber := r.u8(), r.u8()
	r.u64() // the version is ignored, as deltas arrive in order and without gaps
	if r.err == nil && kind > uint8(lbpolicy.Failed) {
		r.err = fmt.Errorf("unknown list kind %d", kind)
	}
	if r.err == nil && lbpolicy.ListKind(kind) != lbpolicy.Failed && int(listNumber) >= maxLists {
		r.err = fmt.Errorf("list number %d exceeds the maximum %d", listNumber, maxLists-1)
	}
	if r.err != nil {
		return
	}
	var entries []lbpolicy.Server
	if lbpolicy.ListKind(kind) != lbpolicy.Failed {
		entries = d.lists[listNumber]
	}
	h.UpdateEndpoints(instance, lbpolicy.ListKind(kind), entries)
}

func readOutcome(instance uint32, r *reader, h Handler) {
	o := lbpolicy.Outcome{ID: lbpolicy.RequestID(r.u64())}
	code := r.u8()
	verdict, known := verdicts[code]
	o.Verdict, o.Latency = verdict, seconds(r.f64())
	o.Attempt, o.Server = int(r.u8()), lbpolicy.ServerID(r.u32())
	o.Final = r.u8() != 0
	loadValues := int(r.u8())
	if r.err == nil && !known {
		r.err = fmt.Errorf("unknown outcome %d", code)
	}
	for i := 0; i < loadValues && r.err == nil; i++ {
		r.load = append(r.load, r.f32())
	}
	if r.err == nil {
		o.Load = r.load
		h.Outcome(instance, o)
	}
	r.load = r.load[:0]
}

// seconds converts seconds to a duration, rounded to microseconds.
func seconds(s float64) time.Duration { return time.Duration(math.Round(s*1e6)) * time.Microsecond }

// reader reads the fields of a frame's body. After a truncated field or another error, every field that it reads is zero.
type reader struct {
	buffer []byte
	offset int
	err    error
	load   []float32 // buffer for the load report of an outcome
}

func (r *reader) bytes(n int) []byte {
	if r.err == nil && n > len(r.buffer)-r.offset {
		r.err = fmt.Errorf("needs %d bytes, %d left in the frame", n, len(r.buffer)-r.offset)
	}
	if r.err != nil {
		return make([]byte, min(n, 8))
	}
	r.offset += n
	return r.buffer[r.offset-n : r.offset]
}

func (r *reader) u8() uint8    { return r.bytes(1)[0] }
func (r *reader) u16() uint16  { return binary.LittleEndian.Uint16(r.bytes(2)) }
func (r *reader) u32() uint32  { return binary.LittleEndian.Uint32(r.bytes(4)) }
func (r *reader) u64() uint64  { return binary.LittleEndian.Uint64(r.bytes(8)) }
func (r *reader) f32() float32 { return math.Float32frombits(r.u32()) }
func (r *reader) f64() float64 { return math.Float64frombits(r.u64()) }
