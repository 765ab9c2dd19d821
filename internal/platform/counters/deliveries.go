package counters

import "sync/atomic"

// Deliveries counts requests whose response was not simply delivered in time. A request may count under several.
type Deliveries struct {
	TimedOut    atomic.Int64 // no endpoint's response by the deadline
	Late        atomic.Int64 // the response ended after the deadline
	CutOff      atomic.Int64 // the endpoint left a streamed response unfinished
	Overdue     atomic.Int64 // no result in time, so that the server responded with a failure
	NotWritten  atomic.Int64 // the client's connection failed, or the client did not read
	ClientsGone atomic.Int64 // the client disconnected first
}

// DeliverySnapshot is a copy of Deliveries.
type DeliverySnapshot struct {
	TimedOut    int64 `json:"timed_out"`
	Late        int64 `json:"late"`
	CutOff      int64 `json:"cut_off"`
	Overdue     int64 `json:"overdue"`
	NotWritten  int64 `json:"not_written"`
	ClientsGone int64 `json:"clients_gone"`
}

// Snapshot returns a copy of the counters.
func (d *Deliveries) Snapshot() DeliverySnapshot {
	return DeliverySnapshot{
		TimedOut:    d.TimedOut.Load(),
		Late:        d.Late.Load(),
		CutOff:      d.CutOff.Load(),
		Overdue:     d.Overdue.Load(),
		NotWritten:  d.NotWritten.Load(),
		ClientsGone: d.ClientsGone.Load(),
	}
}
