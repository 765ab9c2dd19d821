package ledger

import (
	"context"
	"slices"
	"sync"
	"time"
)

// waiter is a call that waits for a record to be written or durable.
type waiter struct {
	seq      uint64
	deadline time.Time
	done     chan error
}

// waitQueue holds waiters in the order of their sequence numbers. The ledger's lock guards it.
type waitQueue struct{ all []*waiter }

// add adds a waiter. It searches from the end, as most waiters are added in order.
func (q *waitQueue) add(w *waiter) {
	i := len(q.all)
	for i > 0 && q.all[i-1].seq > w.seq {
		i--
	}
	q.all = slices.Insert(q.all, i, w)
}

var waiters = sync.Pool{New: func() any { return &waiter{done: make(chan error, 1)} }}

// slowRetryAfter is the RetryAfter of requests whose wait for the disk ended with an error.
const slowRetryAfter = 100 * time.Millisecond

// expire ends the waits whose deadline has passed.
func (q *waitQueue) expire(now time.Time) {
	q.all = slices.DeleteFunc(q.all, func(w *waiter) bool {
		expired := !now.Before(w.deadline)
		if expired {
			w.done <- &UnavailableError{Reason: "the disk is slow", RetryAfter: slowRetryAfter}
		}
		return expired
	})
}

// release ends the waits for records up to a sequence number. If failure is not nil, it ends all other waits with that error.
func (q *waitQueue) release(seq uint64, failure error) {
	n := 0
	for n < len(q.all) && q.all[n].seq <= seq {
		q.all[n].done <- nil
		n++
	}
	for failure != nil && n < len(q.all) {
		q.all[n].done <- failure
		n++
	}
	q.all = slices.Delete(q.all, 0, n)
}

// notifyWaiters ends the waits for records that are written or durable now, and all waits after a disk error. The caller holds the
// lock.
func (l *Ledger) notifyWaiters(now time.Time) {
	var failure error
	if count := l.commit.ErrorCount(); count != l.reportedErrors {
		l.reportedErrors = count
		failure = &UnavailableError{Reason: "the disk fails", RetryAfter: slowRetryAfter}
	}
	l.written.release(l.commit.WrittenSeq(), failure)
	l.durable.release(l.commit.DurableSeq(), failure)
	l.logState(now)
	if l.commit.IsDone() {
		l.markFlushed()
	}
}

// markFlushed tells Close that no records are left to be flushed. The caller holds the lock.
func (l *Ledger) markFlushed() {
	select {
	case <-l.flushed:
	default:
		close(l.flushed)
	}
}

// await waits until a record is written or durable, for at most SlowDiskTime and one interval of waiterLoop (a quarter of
// SlowDiskTime). The caller holds the lock, which await releases.
func (l *Ledger) await(ctx context.Context, seq uint64, durable bool) error {
	if l.commit.DurableSeq() >= seq || !durable && l.commit.WrittenSeq() >= seq {
		l.mu.Unlock()
		return nil
	}
	w := waiters.Get().(*waiter)
	w.seq, w.deadline = seq, time.Now().Add(l.options.Load().Commit.SlowDiskTime)
	if durable {
		l.durable.add(w)
	} else {
		l.written.add(w)
	}
	l.mu.Unlock()
	select {
	case err := <-w.done:
		waiters.Put(w)
		return err
	case <-ctx.Done(): // the waiter stays in the queue, and is not reused
		return ctx.Err()
	case <-l.closed:
		return &UnavailableError{Reason: "the ledger has ended", RetryAfter: slowRetryAfter}
	}
}
