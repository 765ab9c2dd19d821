package requesthistory

import (
	"slices"
	"time"

	"silvertrail/internal/ledger/segment"
)

// DataLoss is a run of missing records, or of requests that were served without records.
type DataLoss struct {
	From, To uint64 // sequence numbers of the first and the last missing record
	// After and Before are the wall-clock times of the records before and after the missing ones.
	After, Before time.Time
	// Unrecorded means that no records were written: Count requests were served while the log could not be written.
	Unrecorded bool
	// Torn means that the missing records are from the end of an incarnation, and that no other record shows that they were
	// durable. No wait for their durability had completed, so no attempt was sent on the basis of them.
	Torn  bool
	Count uint64
	// Incarnation and At bound the time of the loss: the missing records were written before At of Incarnation.
	Incarnation *Incarnation
	At          time.Duration
}

// Index reconstructs requests from records. It is not safe for concurrent use.
type Index struct {
	onRequest func(*Request)
	onLoss    func(DataLoss)

	incarnation *Incarnation
	open        map[uint64]*Request
	sweptAt     time.Duration // time of the last check for open requests that are long past their deadline

	// gaps are the losses that may still turn out to be the torn end of the incarnation.
	gaps    []DataLoss
	pending []*Request // complete requests that are reported once gaps is empty
	next    uint64     // the expected sequence number
	started bool
}

const (
	// lateRecordTime is how long after the deadline of a request further records of it may follow.
	lateRecordTime = 30 * time.Second
	sweepInterval  = lateRecordTime / 4
)

// NewIndex returns an index that calls onRequest for each request once no more records of it can follow, and onLoss for each
// loss once it is known whether it is the torn end of an incarnation.
func NewIndex(onRequest func(*Request), onLoss func(DataLoss)) *Index {
	return &Index{onRequest: onRequest, onLoss: onLoss, open: map[uint64]*Request{}}
}

// BeginSegment starts a segment. Segments must be added in the order of their first records. A further segment of the same
// process begins with the first record that was not known to be durable, so all records before it are durable.
func (x *Index) BeginSegment(h *segment.Header) {
	if x.incarnation != nil && x.incarnation.Process == h.Process {
		x.confirmDurable(h.FirstSeq - 1)
	} else {
		x.beginIncarnation(h)
	}
	if !x.started {
		x.started, x.next = true, h.FirstSeq
	}
}

// beginIncarnation ends the previous incarnation and starts the next one. Records are lost if the process of the next one found
// records at its start that the log no longer has.
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
	if isLost { // At stays 0: the records were written before this incarnation started
		x.onLoss(DataLoss{
			From:        from,
			To:          h.PreviousSeq,
			After:       previous.Time(previous.LastRecord),
			Before:      x.incarnation.StartedAt,
			Incarnation: x.incarnation,
		})
	}
}

// Incarnation returns the current incarnation, or nil before the first segment.
func (x *Index) Incarnation() *Incarnation { return x.incarnation }

// NextSeq returns the sequence number that the next record should have.
func (x *Index) NextSeq() uint64 { return x.next }

// OpenRequests returns the number of requests of which more records may follow.
func (x *Index) OpenRequests() int { return len(x.open) }

// AddRecord adds the next record of the current segment. A record with a sequence number that was already read is ignored: after
// a failed write or fsync the writer repeats all records that were not durable in a new segment.
func (x *Index) AddRecord(seq uint64, r *segment.Record) {
	if seq < x.next {
		return
	}
	if seq > x.next {
		x.addGap(seq, r)
	}
	if r.DurableLag > 0 && r.DurableLag < seq {
		x.confirmDurable(seq - r.DurableLag)
	}
	x.next = seq + 1
	incarnation := x.incarnation
	incarnation.LastRecord = max(incarnation.LastRecord, r.At)
	switch r.Kind {
	case segment.ClockShift:
		incarnation.ClockShifts = append(incarnation.ClockShifts, ClockShift{At: r.At, Offset: time.UnixMicro(r.WallTime).Sub(incarnation.StartedAt.Add(r.At))})
	case segment.Unrecorded:
		x.onLoss(DataLoss{Unrecorded: true, Count: r.Count, After: incarnation.Time(r.Since), Before: incarnation.Time(r.At), Incarnation: incarnation, At: r.At})
	case segment.Shutdown:
		incarnation.CleanShutdown = true
	case segment.Received, segment.Intent, segment.Outcome, segment.Final:
		x.addRequestRecord(r)
	}
}

// addGap records that the records between the expected sequence number and seq are missing. All open requests may have lost
// records.
func (x *Index) addGap(seq uint64, r *segment.Record) {
	for _, request := range x.open {
		if request.firstGap == 0 {
			request.firstGap = x.next
		}
	}
	incarnation := x.incarnation
	x.gaps = append(x.gaps, DataLoss{
		From:        x.next,
		To:          seq - 1,
		After:       incarnation.Time(incarnation.LastRecord),
		Before:      incarnation.Time(r.At),
		Incarnation: incarnation,
		At:          r.At,
	})
}

// addRequestRecord adds a record to its request. It completes the request if no more records of it can follow, and from time to
// time also the requests that are open for longer than lateRecordTime after their deadline.
func (x *Index) addRequestRecord(r *segment.Record) {
	request := x.open[r.Request]
	if request == nil {
		request = &Request{Incarnation: x.incarnation, Number: r.Request, ReceivedAt: r.At}
		request.RecordsLost = r.Kind != segment.Received // the first record of a request is Received
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

// sweep completes the open requests for which isOver is true, in the order of their numbers.
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

// complete reports a request, or keeps it pending while there are unresolved gaps.
func (x *Index) complete(r *Request) {
	delete(x.open, r.Number)
	if len(x.gaps) > 0 {
		x.pending = append(x.pending, r)
		return
	}
	x.onRequest(r)
}

// confirmDurable records that all records up to seq were durable. Gaps among them are losses, and not the torn end of the
// incarnation.
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

// confirmLoss sets RecordsLost if records that were durable, up to seq, were missing while the request was open.
func (r *Request) confirmLoss(seq uint64) {
	r.RecordsLost = r.RecordsLost || r.firstGap > 0 && r.firstGap <= seq
}

// releasePending reports the pending requests.
func (x *Index) releasePending() {
	for _, r := range x.pending {
		x.onRequest(r)
	}
	x.pending = nil
}

// endIncarnation ends the current incarnation, of which no more records will follow. Its unresolved gaps are its torn end, and
// its open requests are complete.
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

// Finish ends the log and reports the remaining requests. Running means that the last process is still running, so that its open
// requests are in progress.
func (x *Index) Finish(running bool) {
	if x.incarnation != nil {
		x.incarnation.Running = running
	}
	x.endIncarnation()
}
