// Package wire reads and writes the simulator's frames and settings. It
// translates into the types of package lbpolicy and decides nothing.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"silvertrail/lbpolicy"
)

// Event codes.
const (
	evOpen = iota + 1
	evMembers
	evRequest
	evFirst
	evOutcome
	evGone
	evTimer
	evProbed
	evPeer
	evHalt
	evList
)

// Action codes.
const (
	acFault = iota + 1
	acRefuse
	acClose
	acSend
	acProbe
	acLog
	acCancel
	acWatch
	acTell
	acTimer
	acFetch
	acFail
)

var eventNames = [...]string{"", "OPEN_INSTANCE", "MEMBERSHIP", "INBOUND", "ACK_FIRST", "OUTCOME",
	"CLIENT_GONE", "WAKEUP", "PONG", "INBOX", "HALT", "POOL"}

var verdicts = map[uint8]lbpolicy.Verdict{0: lbpolicy.OK, 5: lbpolicy.Error, 11: lbpolicy.ServerFull,
	110: lbpolicy.Timeout, 111: lbpolicy.ConnectFailed, 104: lbpolicy.Reset, 125: lbpolicy.Cancelled, 114: lbpolicy.NotSent}

const (
	headerSize = 12
	replyHead  = 8
	entrySize  = 21
	maxFrame   = 1 << 28
	lists      = 16
)

// Handler receives the events of a batch in order.
type Handler interface {
	Open(inst uint32, seed uint64, settings []byte)
	Halt(inst uint32)
	Members(inst uint32, kind lbpolicy.ListKind, entries []lbpolicy.Server)
	Request(inst uint32, r lbpolicy.Request)
	Started(inst uint32, id lbpolicy.RequestID)
	Outcome(inst uint32, o lbpolicy.Outcome)
	Gone(inst uint32, id lbpolicy.RequestID)
	Timer(inst uint32, token uint64)
}

// Decoder reads batches. Lists named by POOL records live in it, as they belong to the process.
type Decoder struct {
	in    io.Reader
	frame []byte
	pos   int64 // stream position of the frame in hand
	lists [lists][]lbpolicy.Server
}

// NewDecoder returns a decoder that reads from in.
func NewDecoder(in io.Reader) *Decoder { return &Decoder{in: in} }

// Next reads one frame. It returns io.EOF where input ends between frames.
func (d *Decoder) Next() (now time.Duration, body []byte, err error) {
	d.pos += int64(len(d.frame))
	var head [headerSize]byte
	if n, err := io.ReadFull(d.in, head[:]); err == io.EOF {
		return 0, nil, io.EOF
	} else if err != nil {
		return 0, nil, fmt.Errorf("batch header at byte %d: cut off after %d bytes", d.pos, n)
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size < headerSize || size > maxFrame {
		return 0, nil, fmt.Errorf("batch header at byte %d: length %d out of range", d.pos, size)
	}
	if cap(d.frame) < int(size) {
		d.frame = make([]byte, size)
	}
	d.frame = d.frame[:size]
	copy(d.frame, head[:])
	if n, err := io.ReadFull(d.in, d.frame[headerSize:]); err != nil {
		return 0, nil, fmt.Errorf("batch at byte %d: %d bytes announced, cut off after %d", d.pos, size, n+headerSize)
	}
	return seconds(math.Float64frombits(binary.LittleEndian.Uint64(head[4:]))), d.frame[headerSize:], nil
}

// Dispatch hands the records of a frame's body to h. The Load of an Outcome is valid only during the call.
func (d *Decoder) Dispatch(body []byte, h Handler) error {
	r := &reader{b: body}
	for r.off < len(body) {
		start := r.off
		code := r.u16()
		name := fmt.Sprintf("record code %d", code)
		if code >= evOpen && code <= evList {
			name = eventNames[code]
		} else if r.err == nil {
			r.err = fmt.Errorf("unknown event code")
		}
		if r.err == nil {
			d.record(code, r, h)
		}
		if r.err != nil {
			return fmt.Errorf("%s at byte %d: %w", name, d.pos+headerSize+int64(start), r.err)
		}
	}
	return nil
}

// record decodes one record; it calls h only when the record is whole.
func (d *Decoder) record(code uint16, r *reader, h Handler) {
	if code == evList {
		d.list(r)
		return
	}
	inst := r.u32()
	switch code {
	case evOpen:
		seed := r.u64()
		if text := r.bytes(int(r.u32())); r.err == nil {
			h.Open(inst, seed, text)
		}
	case evHalt:
		if r.err == nil {
			h.Halt(inst)
		}
	case evMembers:
		d.members(inst, r, h)
	case evRequest:
		q := lbpolicy.Request{ID: lbpolicy.RequestID(r.u64()), Class: int(r.u8()), Tenant: int(r.u32())}
		r.u64() // the key of the request decides nothing
		q.TimeLeft = seconds(r.f64())
		r.f64() // neither does the cost hint
		q.Retry = r.u8()&2 != 0
		if r.err == nil {
			h.Request(inst, q)
		}
	case evFirst:
		id := lbpolicy.RequestID(r.u64())
		if r.bytes(8 + 1 + 4); r.err == nil {
			h.Started(inst, id)
		}
	case evOutcome:
		outcome(inst, r, h)
	case evGone:
		if id := lbpolicy.RequestID(r.u64()); r.err == nil {
			h.Gone(inst, id)
		}
	case evTimer:
		if token := r.u64(); r.err == nil {
			h.Timer(inst, token)
		}
	case evProbed: // no probes are sent; the record is only read
		r.bytes(4 + 1 + 8)
		r.bytes(4 * int(r.u8()))
	case evPeer: // nothing is told to peers; the record is only read
		r.bytes(2)
		r.bytes(int(r.u16()))
	}
}

func (d *Decoder) list(r *reader) {
	n, count := r.u8(), r.u32()
	if r.err == nil && int(n) >= lists {
		r.err = fmt.Errorf("list number %d over %d", n, lists-1)
	}
	if r.err == nil && int64(count)*entrySize > int64(len(r.b)-r.off) {
		r.err = fmt.Errorf("count %d past the frame's end", count)
	}
	if r.err != nil {
		return
	}
	entries := make([]lbpolicy.Server, count)
	for i := range entries {
		entries[i] = lbpolicy.Server{Zone: int(r.u8()), StartedAt: seconds(r.f64()), Cell: int(r.u16()),
			ID: lbpolicy.ServerID(r.u32())}
		r.u8() // the kind of machine decides nothing
		entries[i].State = lbpolicy.State(r.u8())
		r.f32() // nor does its size: latency tells more
	}
	d.lists[n] = entries
}

func (d *Decoder) members(inst uint32, r *reader, h Handler) {
	kind, buf := r.u8(), r.u8()
	r.u64() // deltas come in order and without gaps: the version decides nothing
	if r.err == nil && kind > uint8(lbpolicy.Failed) {
		r.err = fmt.Errorf("unknown list kind %d", kind)
	}
	if r.err == nil && lbpolicy.ListKind(kind) != lbpolicy.Failed && int(buf) >= lists {
		r.err = fmt.Errorf("list number %d over %d", buf, lists-1)
	}
	if r.err != nil {
		return
	}
	var entries []lbpolicy.Server
	if lbpolicy.ListKind(kind) != lbpolicy.Failed {
		entries = d.lists[buf]
	}
	h.Members(inst, lbpolicy.ListKind(kind), entries)
}

func outcome(inst uint32, r *reader, h Handler) {
	o := lbpolicy.Outcome{ID: lbpolicy.RequestID(r.u64())}
	code := r.u8()
	verdict, known := verdicts[code]
	o.Verdict, o.Latency = verdict, seconds(r.f64())
	o.Attempt, o.Server = int(r.u8()), lbpolicy.ServerID(r.u32())
	o.Final = r.u8() != 0
	n := int(r.u8())
	if r.err == nil && !known {
		r.err = fmt.Errorf("unknown outcome %d", code)
	}
	for i := 0; i < n && r.err == nil; i++ {
		r.load = append(r.load, r.f32())
	}
	if r.err == nil {
		o.Load = r.load
		h.Outcome(inst, o)
	}
	r.load = r.load[:0]
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s*1e6)) * time.Microsecond }

// reader takes fields off a body; after the first that is cut off every field is zero.
type reader struct {
	b    []byte
	off  int
	err  error
	load []float32
}

func (r *reader) bytes(n int) []byte {
	if r.err == nil && n > len(r.b)-r.off {
		r.err = fmt.Errorf("needs %d bytes, %d left in the frame", n, len(r.b)-r.off)
	}
	if r.err != nil {
		return make([]byte, min(n, 8))
	}
	r.off += n
	return r.b[r.off-n : r.off]
}

func (r *reader) u8() uint8    { return r.bytes(1)[0] }
func (r *reader) u16() uint16  { return binary.LittleEndian.Uint16(r.bytes(2)) }
func (r *reader) u32() uint32  { return binary.LittleEndian.Uint32(r.bytes(4)) }
func (r *reader) u64() uint64  { return binary.LittleEndian.Uint64(r.bytes(8)) }
func (r *reader) f32() float32 { return math.Float32frombits(r.u32()) }
func (r *reader) f64() float64 { return math.Float64frombits(r.u64()) }

// Reply collects the actions that answer one batch.
type Reply struct {
	b     []byte
	count uint32
}

// Reset empties the reply for the next batch.
func (p *Reply) Reset() { p.b, p.count = append(p.b[:0], make([]byte, replyHead)...), 0 }

// Bytes returns the finished frame.
func (p *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(p.b, uint32(len(p.b)))
	binary.LittleEndian.PutUint32(p.b[4:], p.count)
	return p.b
}

func (p *Reply) u32(v uint32) { p.b = binary.LittleEndian.AppendUint32(p.b, v) }
func (p *Reply) u64(v uint64) { p.b = binary.LittleEndian.AppendUint64(p.b, v) }
func (p *Reply) time(d time.Duration) {
	p.u64(math.Float64bits(d.Seconds()))
}

func (p *Reply) begin(code uint16, inst uint32) {
	p.count++
	p.b = binary.LittleEndian.AppendUint16(p.b, code)
	p.u32(inst)
}

func (p *Reply) text(code uint16, inst uint32, text string) {
	text = text[:min(len(text), math.MaxUint16)]
	p.begin(code, inst)
	p.b = binary.LittleEndian.AppendUint16(p.b, uint16(len(text)))
	p.b = append(p.b, text...)
}

// Exception reports that an instance's decisions have failed.
func (p *Reply) Exception(inst uint32, text string) { p.text(acFault, inst, text) }

// Host returns the lbpolicy.Host that writes an instance's actions into the reply.
func (p *Reply) Host(inst uint32) lbpolicy.Host { return host{p, inst} }

type host struct {
	*Reply
	inst uint32
}

func (h host) Send(id lbpolicy.RequestID, s lbpolicy.ServerID) {
	h.begin(acSend, h.inst)
	h.u64(uint64(id))
	h.u32(uint32(s))
	h.time(0) // until the client gives up
}

func (h host) Reject(id lbpolicy.RequestID, retryAfter time.Duration) {
	h.begin(acRefuse, h.inst)
	h.u64(uint64(id))
	h.time(retryAfter)
}

func (h host) Fail(id lbpolicy.RequestID) {
	h.begin(acFail, h.inst)
	h.u64(uint64(id))
}

func (h host) Cancel(id lbpolicy.RequestID, attempt int) {
	h.begin(acCancel, h.inst)
	h.u64(uint64(id))
	h.b = append(h.b, uint8(attempt))
}

func (h host) CloseIdle(s lbpolicy.ServerID) {
	h.begin(acClose, h.inst)
	h.u32(uint32(s))
}

func (h host) Watch() {
	h.begin(acWatch, h.inst)
	h.b = append(h.b, 1)
}

func (h host) SetTimer(at time.Duration, token uint64) {
	h.begin(acTimer, h.inst)
	h.time(at)
	h.u64(token)
}

func (h host) Log(text string) { h.text(acLog, h.inst, text) }
