package requesthistory

import (
	"slices"
	"time"

	"silvertrail/internal/ledger/segment"
)

// DataLoss is a run of missing records.
type DataLoss struct {
	From, To uint64 // their sequence numbers, both included
	// After and Before are the times of the adjacent records.
	After, Before time.Time
	Unrecorded    bool // they were never written: Count requests were served while the log could not be written
	// Torn means that they are from the end of what a process wrote, and nothing tells that they were ever durable. So
	// nobody has waited for them: no attempt was sent under them.
	Torn  bool
	Count uint64
	// The latest of them was written before At of an incarnation.
	Incarnation *Incarnation
	At          time.Duration
}

// Index reconstructs requests from records. It is not safe for concurrent use.
type Index struct {
	onRequest func(*Request)
	onLoss    func(DataLoss)

	incarnation *Incarnation
	open        map[uint64]*Request
	sweptAt     time.Duration // when open requests were last checked for those that should have ended

	// Gaps of which it is not known yet whether they are a torn end, and complete requests that wait for that.
	gaps    []DataLoss
	pending []*Request
	next    uint64 // the expected sequence number
	started bool
}

const (
	// lateRecordTime is how long after its deadline a request may still have records.
	lateRecordTime = 30 * time.Second
	sweepInterval  = lateRecordTime / 4
)

// NewIndex returns an index that reports each request as soon as all is known of it, and each loss as it is found.
func NewIndex(onRequest func(*Request), onLoss func(DataLoss)) *Index {
	return &Index{onRequest: onRequest, onLoss: onLoss, open: map[uint64]*Request{}}
}

// BeginSegment starts a segment. Segments come in the order of their first records.
func (x *Index) BeginSegment(h *segment.Header) {
	if x.incarnation != nil && x.incarnation.Process == h.Process {
		x.confirmDurable(h.FirstSeq - 1) // otherwise the segment would start with an earlier one
	} else {
		x.beginIncarnation(h)
	}
	if !x.started {
		x.started, x.next = true, h.FirstSeq
	}
}

// beginIncarnation ends the previous incarnation and starts another one. If the previous one had written more records than
// remain, they are lost.
func (x *Index) beginIncarnation(h *segment.Header) {
	from := x.next
	isLost := x.started && h.PreviousSeq >= x.next
	if isLost {
		for _, r := range x.open {
			r.RecordsLost = true
		}
	}
	x.endIncarnation()
	previous := x.incarnation
	x.incarnation = &Incarnation{
		Process:          h.Process,
		Host:             h.Host,
		BootID:           h.BootID,
		StartedAt:        time.UnixMicro(h.StartedAt),
		StartedSinceBoot: time.Duration(h.StartedSinceBoot) * time.Microsecond,
		Mode:             h.Mode,
		Hashed:           h.Hashed,
	}
	x.next = h.FirstSeq
	if isLost { // they were written before this incarnation started
		x.onLoss(DataLoss{
			From:        from,
			To:          h.PreviousSeq,
			After:       previous.Time(previous.LastRecord),
			Before:      x.incarnation.StartedAt,
			Incarnation: x.incarnation,
		})
	}
}

// Incarnation returns the present incarnation.
func (x *Index) Incarnation() *Incarnation { return x.incarnation }

// Next returns the sequence number that the next record should have.
func (x *Index) Next() uint64 { return x.next }

// OpenRequests returns the number of requests of which more records may come.
func (x *Index) OpenRequests() int { return len(x.open) }

// AddRecord adds a record.
func (x *Index) AddRecord(seq uint64, r *segment.Record) {
	if seq < x.next {
		return // written again, as the first one was not trusted
	}
	if seq > x.next {
		x.addGap(seq, r)
	}
	if r.DurableLag > 0 && r.DurableLag < seq {
		x.confirmDurable(seq - r.DurableLag)
	}
	x.next = seq + 1
	i := x.incarnation
	i.LastRecord = max(i.LastRecord, r.At)
	switch r.Kind {
	case segment.ClockShift:
		i.ClockShifts = append(i.ClockShifts, ClockShift{At: r.At, Offset: time.UnixMicro(r.WallTime).Sub(i.StartedAt.Add(r.At))})
	case segment.Unrecorded:
		x.onLoss(DataLoss{Unrecorded: true, Count: r.Count, After: i.Time(r.Since), Before: i.Time(r.At), Incarnation: i, At: r.At})
	case segment.Shutdown:
		i.CleanShutdown = true
	case segment.Received, segment.Intent, segment.Outcome, segment.Final:
		x.addRequestRecord(r)
	}
}

// addGap records that records are missing before one.
func (x *Index) addGap(seq uint64, r *segment.Record) {
	for _, request := range x.open {
		if request.firstGap == 0 {
			request.firstGap = x.next
		}
	}
	i := x.incarnation
	x.gaps = append(x.gaps, DataLoss{
		From:        x.next,
		To:          seq - 1,
		After:       i.Time(i.LastRecord),
		Before:      i.Time(r.At),
		Incarnation: i,
		At:          r.At,
	})
}

// addRequestRecord adds a record to its request.
func (x *Index) addRequestRecord(r *segment.Record) {
	request := x.open[r.Request]
	if request == nil {
		request = &Request{Incarnation: x.incarnation, Number: r.Request, ReceivedAt: r.At}
		request.RecordsLost = r.Kind != segment.Received // its first record is
		x.open[r.Request] = request
	}
	request.apply(r)
	if request.isComplete() {
		x.complete(request)
	}
	if r.At-x.sweptAt >= sweepInterval {
		x.sweptAt = r.At
		x.sweep(true, func(request *Request) bool { return r.At-request.ReceivedAt-request.TimeLeft > lateRecordTime })
	}
}

// sweep completes the open requests of which no more records will come, by number.
func (x *Index) sweep(recordsLost bool, isOver func(*Request) bool) {
	var numbers []uint64
	for n, r := range x.open {
		if isOver(r) {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		r := x.open[n]
		r.RecordsLost = r.RecordsLost || recordsLost
		x.complete(r)
	}
}

// complete reports a request, or has it wait until the gaps are resolved.
func (x *Index) complete(r *Request) {
	delete(x.open, r.Number)
	if len(x.gaps) > 0 {
		x.pending = append(x.pending, r)
		return
	}
	x.onRequest(r)
}

// confirmDurable records that all records up to one were durable: those that are missing are lost.
func (x *Index) confirmDurable(seq uint64) {
	if seq <= x.incarnation.DurableTo {
		return
	}
	x.incarnation.DurableTo = seq
	for len(x.gaps) > 0 && x.gaps[0].From <= seq {
		x.onLoss(x.gaps[0])
		x.gaps = x.gaps[1:]
	}
	for _, r := range x.open {
		r.confirmLoss(seq)
	}
	for _, r := range x.pending {
		r.confirmLoss(seq)
	}
	if len(x.gaps) == 0 {
		x.releasePending()
	}
}

// confirmLoss marks a request of which records up to one are missing and were durable.
func (r *Request) confirmLoss(seq uint64) {
	r.RecordsLost = r.RecordsLost || r.firstGap > 0 && r.firstGap <= seq
}

// releasePending reports the requests that waited.
func (x *Index) releasePending() {
	for _, r := range x.pending {
		x.onRequest(r)
	}
	x.pending = nil
}

// endIncarnation ends the present incarnation: no more records of it will come.
func (x *Index) endIncarnation() {
	for _, gap := range x.gaps {
		gap.Torn = true
		x.onLoss(gap)
	}
	x.gaps = nil
	x.releasePending()
	x.sweep(false, func(*Request) bool { return true })
	x.sweptAt = 0
}

// Finish ends the log. Running means that its last process runs, so that open requests are in progress.
func (x *Index) Finish(running bool) {
	if x.incarnation != nil {
		x.incarnation.Running = running
	}
	x.endIncarnation()
}
