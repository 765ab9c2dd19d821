package ledger

import (
	"errors"
	"os"
	"slices"
	"time"

	"silvertrail/internal/ledger/segment"
)

const (
	checkInterval     = 250 * time.Millisecond // between checks of the clock and the directory
	cleanupInterval   = 10 * time.Second       // between removals of expired segments and keys
	minClockShift     = 100 * time.Millisecond // smaller changes of the wall clock are not recorded
	minWaiterInterval = time.Millisecond       // between checks of the waiters' deadlines
	waiterDivider     = 4                      // deadlines are checked at intervals of SlowDiskTime / waiterDivider
)

// waiterLoop ends waits whose deadline has passed, and wakes the writer for records that no request waits for. It does no I/O, so
// that it keeps running while the disk hangs.
func (l *Ledger) waiterLoop() {
	interval := min(max(l.options.Load().Commit.SlowDiskTime/waiterDivider, minWaiterInterval), checkInterval)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			l.mu.Lock()
			l.written.expire(now)
			l.durable.expire(now)
			l.notifyWaiters(now)
			l.mu.Unlock()
			wake(l.wakeWriter)
		case <-l.closed:
			return
		}
	}
}

// maintenanceLoop watches the wall clock and the directory, and removes expired segments and keys.
func (l *Ledger) maintenanceLoop() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var cleanedAt time.Time
	for {
		l.checkClock()
		if now := time.Now(); now.Sub(cleanedAt) >= cleanupInterval {
			cleanedAt = now
			l.removeExpiredKeys(now)
			l.removeExpiredSegments(now)
		}
		select {
		case <-ticker.C:
		case <-l.closed:
			return
		}
	}
}

var errSegmentRemoved = errors.New("the segment in use is not in the directory any more")

// isSegmentRemoved reports whether the current segment's file was removed. Writes to it would succeed, and be lost.
func (l *Ledger) isSegmentRemoved() bool {
	l.mu.Lock()
	number := l.segments[len(l.segments)-1].Number
	l.mu.Unlock()
	_, err := l.disk.Size(segmentName(number))
	return errors.Is(err, os.ErrNotExist)
}

// checkClock measures how long the machine was suspended, and records changes of the wall clock. It also reports a removed segment as
// a failure of the disk, and records the number of attempts that were sent without records.
func (l *Ledger) checkClock() {
	now := time.Now()
	removed := l.isSegmentRemoved()
	l.suspendedTime.Store(int64(max(l.sinceBoot()-l.startedSinceBoot-now.Sub(l.startedAt), 0)))
	at := l.elapsed()
	l.mu.Lock()
	defer l.mu.Unlock()
	if removed {
		l.commit.ReportFailure(now, errSegmentRemoved)
		l.notifyWaiters(now)
		wake(l.wakeWriter)
	}
	l.recordClockShift(now, at)
	l.recordUnrecorded(now)
	l.logState(now)
}

// recordClockShift records that the wall clock was set, if by more than minClockShift. The caller holds the lock.
func (l *Ledger) recordClockShift(now time.Time, at time.Duration) {
	shift := now.Round(0).Sub(l.startedAt.Round(0).Add(at)) // of the wall clock against the monotonic clock
	change := shift - l.clockShift
	if change.Abs() <= minClockShift {
		return
	}
	l.clockShift = shift
	l.addRecord(&segment.Record{Kind: segment.ClockShift, At: at, WallTime: now.UnixMicro()}, true)
	l.log.Warn("wall clock was set", "by", change)
}

// recordUnrecorded records the number of attempts that were sent without records, once that is possible. The caller holds the lock.
func (l *Ledger) recordUnrecorded(now time.Time) {
	if reason, _ := l.commit.Ready(now); reason != "" || l.unrecorded.Count == 0 {
		return
	}
	r := l.unrecorded
	if _, ok := l.addRecord(&r, true); ok {
		l.unrecorded = segment.Record{}
	}
}

// countUnrecorded counts an attempt that is sent without a record. The caller holds the lock.
func (l *Ledger) countUnrecorded() {
	at := l.elapsed()
	if l.unrecorded.Count == 0 {
		l.unrecorded.Kind, l.unrecorded.Since = segment.Unrecorded, at
	}
	l.unrecorded.At = at
	l.unrecorded.Count++
	l.unrecordedCount++
}

// removeExpiredKeys removes expired keys of earlier processes.
func (l *Ledger) removeExpiredKeys(now time.Time) {
	if !l.hasRecovered.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recovered.Expire(now)
	if l.recovered.Len() == 0 {
		l.fingerprints = nil
		l.hasRecovered.Store(false)
	}
}

// removeExpiredSegments removes segments whose retention is over.
func (l *Ledger) removeExpiredSegments(now time.Time) {
	l.mu.Lock()
	segments := slices.Clone(l.segments[:len(l.segments)-1]) // the last segment is being written
	l.mu.Unlock()
	expired, over := l.options.Load().Retention.ExpiredSegments(now, segments)
	if over {
		l.log.Warn("log exceeds its maximum size: recent segments are kept for their keys")
	}
	for _, number := range expired {
		if err := l.disk.Remove(segmentName(number)); err != nil && !errors.Is(err, os.ErrNotExist) {
			l.log.Warn("segment not removed", "error", err)
			return
		}
		l.mu.Lock()
		l.segments = l.segments[1:]
		l.mu.Unlock()
	}
}
