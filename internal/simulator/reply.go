package simulator

import (
	"encoding/binary"
	"math"
	"time"

	"silvertrail/lbpolicy"
)

// Codes of the actions in a reply.
const (
	actionException = iota + 1
	actionReject
	actionCloseIdle
	actionSend
	actionProbe
	actionLog
	actionCancel
	actionWatch
	actionPeerMessage
	actionSetTimer
	actionFetchList
	actionFail
)

// Reply collects the actions that the balancers take in response to one batch.
type Reply struct {
	buffer []byte
	count  uint32
}

// Reset empties the reply for the next batch.
func (p *Reply) Reset() {
	p.buffer, p.count = append(p.buffer[:0], make([]byte, replyHeaderBytes)...), 0
}

// Bytes writes the length and the number of actions into the header and returns the complete frame.
func (p *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(p.buffer, uint32(len(p.buffer)))
	binary.LittleEndian.PutUint32(p.buffer[4:], p.count)
	return p.buffer
}

func (p *Reply) u32(v uint32) { p.buffer = binary.LittleEndian.AppendUint32(p.buffer, v) }
func (p *Reply) u64(v uint64) { p.buffer = binary.LittleEndian.AppendUint64(p.buffer, v) }
func (p *Reply) time(d time.Duration) {
	p.u64(math.Float64bits(d.Seconds()))
}

func (p *Reply) beginAction(code uint16, instance uint32) {
	p.count++
	p.buffer = binary.LittleEndian.AppendUint16(p.buffer, code)
	p.u32(instance)
}

func (p *Reply) appendText(code uint16, instance uint32, text string) {
	text = text[:min(len(text), math.MaxUint16)]
	p.beginAction(code, instance)
	p.buffer = binary.LittleEndian.AppendUint16(p.buffer, uint16(len(text)))
	p.buffer = append(p.buffer, text...)
}

// Exception reports that the policy of an instance has failed: its settings are invalid, or it panicked.
func (p *Reply) Exception(instance uint32, text string) {
	p.appendText(actionException, instance, text)
}

// Host returns the lbpolicy.Host that writes an instance's actions into the reply.
func (p *Reply) Host(instance uint32) lbpolicy.Host { return host{p, instance} }

type host struct {
	*Reply
	instance uint32
}

func (h host) Send(id lbpolicy.RequestID, s lbpolicy.ServerID) {
	h.beginAction(actionSend, h.instance)
	h.u64(uint64(id))
	h.u32(uint32(s))
	h.time(0) // the attempt has no timeout besides the client's deadline
}

func (h host) Reject(id lbpolicy.RequestID, retryAfter time.Duration) {
	h.beginAction(actionReject, h.instance)
	h.u64(uint64(id))
	h.time(retryAfter)
}

func (h host) Fail(id lbpolicy.RequestID) {
	h.beginAction(actionFail, h.instance)
	h.u64(uint64(id))
}

func (h host) Cancel(id lbpolicy.RequestID, attempt int) {
	h.beginAction(actionCancel, h.instance)
	h.u64(uint64(id))
	h.buffer = append(h.buffer, uint8(attempt))
}

func (h host) CloseIdle(s lbpolicy.ServerID) {
	h.beginAction(actionCloseIdle, h.instance)
	h.u32(uint32(s))
}

func (h host) Watch() {
	h.beginAction(actionWatch, h.instance)
	h.buffer = append(h.buffer, 1)
}

func (h host) SetTimer(at time.Duration, token uint64) {
	h.beginAction(actionSetTimer, h.instance)
	h.time(at)
	h.u64(token)
}

func (h host) Log(text string) { h.appendText(actionLog, h.instance, text) }

// LogServer implements lbpolicy.Host. The lines name the server by its ID.
func (h host) LogServer(_ lbpolicy.ServerID, text string) { h.Log(text) }

// ServerProgress implements lbpolicy.Host. It is always zero, because the simulator reports each outcome as soon as the attempt ends.
func (h host) ServerProgress(lbpolicy.ServerID) lbpolicy.ServerProgress {
	return lbpolicy.ServerProgress{}
}

// WaitingSince implements lbpolicy.Host. It is always zero, because the simulator sends each attempt at the time of the decision.
func (h host) WaitingSince(lbpolicy.RequestID, int) time.Duration { return 0 }

// ResponseProgress implements lbpolicy.Host. The responses of the simulator arrive at once.
func (h host) ResponseProgress(lbpolicy.RequestID, int) lbpolicy.ResponseProgress {
	return lbpolicy.ResponseAwaited
}

// RecordHedge implements lbpolicy.Host. The simulator does not count hedged requests.
func (h host) RecordHedge(lbpolicy.Hedge) {}
