package frontend

import "time"

const (
	// openWindowBytes is an amount of unread input that leaves the receive window open, so that it holds all that the client has written.
	openWindowBytes = 32 << 10
	// maxSendBuffer is the largest amount that a client can have written ahead of the receive window (tcp(7), tcp_wmem).
	maxSendBuffer = 4 << 20
	// uncertainTime is how much later than the earliest time a deadline may count, where the arrival of the last byte allows it. An answer
	// may be late by more (the platform's STANDING page).
	uncertainTime = 150 * time.Millisecond
)

// receiptClock bounds the time at which a client has written the last byte of a body. While an endpoint reads slowly, the client's bytes
// wait in the buffers of both machines, and arrive long after they were written.
type receiptClock struct {
	caughtUpAt time.Time // when the client was last known not to have written the rest
	backlog    int64     // bytes read since
	// passedAt is when the last multiple of maxSendBuffer was read, and previousAt when the one before was. A byte that is read later was
	// written after previousAt, because the client can be ahead by maxSendBuffer only.
	passedAt, previousAt time.Time
	position             int64
}

// newReceiptClock returns the clock of a body whose first bytes were received at a time.
func newReceiptClock(receivedAt time.Time) receiptClock {
	return receiptClock{caughtUpAt: receivedAt, passedAt: receivedAt, previousAt: receivedAt}
}

// earliest returns the earliest time at which the last byte can have been written, given how many bytes are unread and when the last data
// reached this machine.
func (r *receiptClock) earliest(unread int64, lastDataAt time.Time) time.Time {
	switch {
	case r.backlog+unread <= openWindowBytes:
		return lastDataAt
	case r.previousAt.After(r.caughtUpAt):
		return r.previousAt
	}
	return r.caughtUpAt
}

// read records that bytes were read, and whether the client is known not to have written the rest.
func (r *receiptClock) read(now time.Time, bytes int, isRestMissing bool) {
	before := r.position / maxSendBuffer
	r.position += int64(bytes)
	if r.position/maxSendBuffer > before {
		r.previousAt = r.passedAt
		r.passedAt = now
	}
	r.backlog += int64(bytes)
	if isRestMissing {
		r.caughtUpAt = now
		r.backlog = 0
	}
}

// EarliestEnd returns the earliest time at which the client can have written the last byte of the body; the present time if it has not. The
// request's time counts from then, even if the rest of the body is unread.
func (s *BodyStream) EarliestEnd() time.Time {
	if !s.mu.TryLock() { // a read waits for the client
		return time.Now()
	}
	defer s.mu.Unlock()
	if s.isFullyReceived() {
		return s.receivedAt
	}
	now := time.Now()
	unread := int64(s.conn.unreadBytes())
	if int64(len(s.conn.input))+unread == 0 || s.isRestMissing(unread) {
		return now
	}
	return s.receipt.earliest(unread, now.Add(-s.conn.received.sinceLastData()))
}

// isRestMissing reports whether the client is known not to have written the rest of a body of known length, of which bytes are unread.
func (s *BodyStream) isRestMissing(unread int64) bool {
	missing := s.remaining - int64(len(s.conn.input)) - unread
	isOpen := s.receipt.backlog+unread <= openWindowBytes
	return s.chunkDecoder == nil && (missing > maxSendBuffer || missing > 0 && isOpen)
}

// recordReceipt records when the bytes that were just read were written.
func (s *BodyStream) recordReceipt(bytes int) {
	if bytes == 0 {
		return
	}
	arrivedAt := s.conn.received.receivedAt
	s.receivedAt = s.receipt.earliest(int64(bytes), arrivedAt).Add(uncertainTime)
	if s.receivedAt.After(arrivedAt) {
		s.receivedAt = arrivedAt
	}
	isEmpty := bytes < cap(s.conn.buffer)
	isRestMissing := isEmpty || s.remaining > maxSendBuffer && s.isRestMissing(int64(s.conn.unreadBytes()))
	s.receipt.read(time.Now(), bytes, isRestMissing)
}
