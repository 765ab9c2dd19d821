package ledger

import (
	"errors"
	"os"
	"time"

	"silvertrail/internal/ledger/commit"
	"silvertrail/internal/ledger/segment"
)

// waiterLoop lets those go who have waited too long, and has what nobody waits for be written. It touches no disk, so that it goes
// on where one hangs.
func (l *Ledger) waiterLoop() {
	tick := time.NewTicker(min(max(l.options.Load().Commit.SlowDiskTime/4, time.Millisecond), checkInterval))
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
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

// maintenanceLoop watches the time of day and the directory, and has old segments and keys go.
func (l *Ledger) maintenanceLoop() {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	var tidied time.Time
	for {
		l.checkClock()
		if now := time.Now(); now.Sub(tidied) >= cleanupInterval {
			tidied = now
			l.removeExpired(now)
		}
		select {
		case <-tick.C:
		case <-l.closed:
			return
		}
	}
}

var errSegmentRemoved = errors.New("the segment in use is not in the directory any more")

// isSegmentRemoved tells whether the segment in use has been removed: writes to it would succeed, and be lost.
func (l *Ledger) isSegmentRemoved() bool {
	l.mu.Lock()
	number := l.segments[len(l.segments)-1].Number
	l.mu.Unlock()
	_, err := l.disk.Size(segmentName(number))
	return errors.Is(err, os.ErrNotExist)
}

// checkClock records that the time of day was set.
func (l *Ledger) checkClock() {
	now := time.Now()
	gone := l.isSegmentRemoved()
	l.slept.Store(int64(max(l.sinceBoot()-l.startedSinceBoot-now.Sub(l.startedAt), 0)))
	at := l.elapsed()
	l.mu.Lock()
	defer l.mu.Unlock()
	if gone {
		l.commit.ReportFailure(now, errSegmentRemoved)
		l.notifyWaiters(now)
		wake(l.wakeWriter)
	}
	shift := now.Round(0).Sub(l.startedAt.Round(0).Add(at))
	if d := shift - l.clockShift; d > minClockShift || d < -minClockShift {
		l.clockShift = shift
		l.addRecord(&segment.Record{Kind: segment.ClockShift, At: at, WallTime: now.UnixMicro()}, true)
		l.log.Warn("ledger: the time of day was set", "by", d)
	}
	if why, _ := l.commit.Ready(now); why == "" && l.unrecorded.Count > 0 {
		r := l.unrecorded
		if _, ok := l.addRecord(&r, true); ok {
			l.unrecorded = segment.Record{}
		}
	}
	l.logState(now)
}

// countUnrecorded counts a request that is served without a record. The lock is held.
func (l *Ledger) countUnrecorded() {
	at := l.elapsed()
	if l.unrecorded.Count == 0 {
		l.unrecorded.Kind, l.unrecorded.Since = segment.Unrecorded, at
	}
	l.unrecorded.At = at
	l.unrecorded.Count++
	l.unrecordedCount++
}

func (l *Ledger) removeExpired(now time.Time) {
	if l.hasRecovered.Load() {
		l.mu.Lock()
		if l.recovered.Expire(now); l.recovered.Len() == 0 {
			l.fingerprints = nil
			l.hasRecovered.Store(false)
		}
		l.mu.Unlock()
	}
	l.mu.Lock()
	files := append([]commit.Segment{}, l.segments[:len(l.segments)-1]...) // the last one is being written
	l.mu.Unlock()
	out, over := l.options.Load().Retention.Expired(now, files)
	if over {
		l.log.Warn("ledger: over its size, as younger segments are needed for keys")
	}
	for _, n := range out {
		if err := l.disk.Remove(segmentName(n)); err != nil && !errors.Is(err, os.ErrNotExist) {
			l.log.Warn("ledger: an old segment stays", "error", err)
			return
		}
		l.mu.Lock()
		l.segments = l.segments[1:]
		l.mu.Unlock()
	}
}
