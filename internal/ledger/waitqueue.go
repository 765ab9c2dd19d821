package ledger

import (
	"context"
	"slices"
	"sync"
	"time"
)

// waiter is one who waits for a record.
type waiter struct {
	seq      uint64
	deadline time.Time
	done     chan error
}

// waitQueue are those who wait, in the order of their records.
type waitQueue struct{ all []*waiter }

// add adds one who waits. Most come in the order of their records.
func (q *waitQueue) add(w *waiter) {
	i := len(q.all)
	for i > 0 && q.all[i-1].seq > w.seq {
		i--
	}
	q.all = slices.Insert(q.all, i, w)
}

var waiters = sync.Pool{New: func() any { return &waiter{done: make(chan error, 1)} }}

// expire lets those go whose time is over, wherever they stand.
func (q *waitQueue) expire(now time.Time) {
	q.all = slices.DeleteFunc(q.all, func(w *waiter) bool {
		over := !now.Before(w.deadline)
		if over {
			w.done <- &UnavailableError{"the disk is slow", slowRetryAfter}
		}
		return over
	})
}

// release lets those go whose record is as safe as they want, or all where an error has ended the trust in the segment.
func (q *waitQueue) release(to uint64, failed error) {
	n := 0
	for n < len(q.all) && q.all[n].seq <= to {
		q.all[n].done <- nil
		n++
	}
	for failed != nil && n < len(q.all) {
		q.all[n].done <- failed
		n++
	}
	if n > 0 {
		rest := copy(q.all, q.all[n:])
		clear(q.all[rest:])
		q.all = q.all[:rest]
	}
}

// slowRetryAfter is when those are told to come back for whom the disk was too slow.
const slowRetryAfter = 100 * time.Millisecond

// notifyWaiters tells who waits what has changed. The lock is held.
func (l *Ledger) notifyWaiters(now time.Time) {
	var failed error
	if e := l.commit.ErrorCount(); e != l.reportedErrors {
		l.reportedErrors = e
		failed = &UnavailableError{"the disk fails", slowRetryAfter}
	}
	l.written.release(l.commit.Written(), failed)
	l.durable.release(l.commit.Durable(), failed)
	l.logState(now)
	if l.commit.IsDone() {
		select {
		case <-l.flushed:
		default:
			close(l.flushed)
		}
	}
}

// await waits until a record is as safe as told, for the time of the patience and a quarter of it at the most. The lock is
// held, and given up.
func (l *Ledger) await(ctx context.Context, seq uint64, durable bool) error {
	if to := l.commit.Durable(); to >= seq || !durable && l.commit.Written() >= seq {
		l.mu.Unlock()
		return nil
	}
	w := waiters.Get().(*waiter)
	w.seq, w.deadline = seq, time.Now().Add(l.options.Load().Commit.SlowDiskTime)
	q := &l.written
	if durable {
		q = &l.durable
	}
	q.add(w)
	l.mu.Unlock()
	select {
	case err := <-w.done:
		waiters.Put(w)
		return err
	case <-ctx.Done(): // it stays in the line, and is not used again
		return ctx.Err()
	case <-l.closed:
		return &UnavailableError{"the ledger has ended", slowRetryAfter}
	}
}
