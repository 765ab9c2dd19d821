package ledger

import (
	"errors"
	"os"
	"slices"
	"time"

	"silvertrail/internal/ledger/segment"
)

const (
	checkInterval     = 250 * time.Millisecond // of the clock and the directory
	cleanupInterval   = 10 * time.Second       // of segments and keys
	minClockShift     = 100 * time.Millisecond // that is recorded
	minWaiterInterval = time.Millisecond
	waiterDivider     = 4 // of SlowDiskTime
)

// waiterLoop ends waits that take too long, and has records written that nobody waits for. It does no I/O, so that it goes on
// while the disk hangs.
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

// maintenanceLoop watches the wall clock and the directory, and removes old segments and keys.
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

// isSegmentRemoved reports whether the present segment was removed: writes to it would succeed, and be lost.
func (l *Ledger) isSegmentRemoved() bool {
	l.mu.Lock()
	number := l.segments[len(l.segments)-1].Number
	l.mu.Unlock()
	_, err := l.disk.Size(segmentName(number))
	return errors.Is(err, os.ErrNotExist)
}

// checkClock records changes of the wall clock, and requests that were served without records.
func (l *Ledger) checkClock() {
	now := time.Now()
	removed := l.isSegmentRemoved()
	l.slept.Store(int64(max(l.sinceBoot()-l.startedSinceBoot-now.Sub(l.startedAt), 0)))
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

// recordClockShift records that the wall clock was set. The caller holds the lock.
func (l *Ledger) recordClockShift(now time.Time, at time.Duration) {
	shift := now.Round(0).Sub(l.startedAt.Round(0).Add(at)) // by the wall clocks
	change := shift - l.clockShift
	if change.Abs() <= minClockShift {
		return
	}
	l.clockShift = shift
	l.addRecord(&segment.Record{Kind: segment.ClockShift, At: at, WallTime: now.UnixMicro()}, true)
	l.log.Warn("wall clock was set", "by", change)
}

// recordUnrecorded records the number of requests that were served without records, once that is possible. The caller holds the
// lock.
func (l *Ledger) recordUnrecorded(now time.Time) {
	if reason, _ := l.commit.Ready(now); reason != "" || l.unrecorded.Count == 0 {
		return
	}
	r := l.unrecorded
	if _, ok := l.addRecord(&r, true); ok {
		l.unrecorded = segment.Record{}
	}
}

// countUnrecorded counts a request that is served without a record. The caller holds the lock.
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

// removeExpiredSegments removes segments that are not kept any longer.
func (l *Ledger) removeExpiredSegments(now time.Time) {
	l.mu.Lock()
	segments := slices.Clone(l.segments[:len(l.segments)-1]) // the last one is being written
	l.mu.Unlock()
	expired, over := l.options.Load().Retention.Expired(now, segments)
	if over {
		l.log.Warn("log over its size, younger segments are needed for keys")
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
