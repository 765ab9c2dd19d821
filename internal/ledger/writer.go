package ledger

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"silvertrail/internal/ledger/commit"
	"silvertrail/internal/ledger/disk"
	"silvertrail/internal/ledger/segment"
)

// addRecord adds a record. An urgent record wakes the writer. Any other is written together with the next urgent one, or when
// waiterLoop wakes the writer. The caller holds the lock.
func (l *Ledger) addRecord(r *segment.Record, urgent bool) (seq uint64, ok bool) {
	seq = l.commit.NextSeq()
	if durable := l.commit.DurableSeq(); durable > 0 && (r.Kind == segment.Intent || r.Kind == segment.Final) {
		r.DurableLag = seq - durable
	}
	frame, err := segment.AppendFrame(l.frameBuffer[:0], seq, r)
	if err != nil { // not expected: the bounds of the fields keep every record short enough
		l.log.Error("record not encoded", "error", err)
		return seq, false
	}
	l.frameBuffer = frame
	ok = l.commit.Add(frame)
	if urgent {
		wake(l.wakeWriter)
	}
	return seq, ok
}

// wake signals a channel with a buffer of one. It does not block.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// writeLoop opens segments and writes frames to them. After Start no other goroutine does.
func (l *Ledger) writeLoop() {
	for {
		l.mu.Lock()
		step, frames, until := l.commit.NextStep(time.Now())
		salt, file := l.salt, l.file
		l.mu.Unlock()
		switch step {
		case commit.OpenSegment:
			size, err := l.openSegment()
			l.mu.Lock()
			l.commit.SegmentOpened(time.Now(), size, err)
		case commit.WriteFrames:
			segment.Seal(frames, salt)
			_, err := file.Write(frames)
			l.mu.Lock()
			l.commit.WriteCompleted(time.Now(), err)
		default:
			if !l.awaitSignal(l.wakeWriter, until) {
				return
			}
			continue
		}
		l.notifyWaiters(time.Now())
		if l.commit.NeedsSync() {
			wake(l.wakeSyncer)
		}
		l.mu.Unlock()
	}
}

// syncLoop makes written records durable.
func (l *Ledger) syncLoop() {
	for {
		l.mu.Lock()
		due, until := l.commit.BeginSync(time.Now())
		file := l.file
		l.mu.Unlock()
		if !due {
			if !l.awaitSignal(l.wakeSyncer, until) {
				return
			}
			continue
		}
		l.completeSync(file.Sync())
	}
}

// completeSync records the result of an fsync.
func (l *Ledger) completeSync(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.commit.DurableSeq()
	l.commit.SyncCompleted(time.Now(), err)
	l.syncCount++
	if before > 0 {
		l.syncedRecords += l.commit.DurableSeq() - before
	}
	l.notifyWaiters(time.Now())
	if l.commit.IsFull() {
		wake(l.wakeWriter)
	}
}

// awaitSignal waits for a signal or a time. It returns false once the ledger is closed.
func (l *Ledger) awaitSignal(signal chan struct{}, until time.Time) bool {
	var due <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-signal:
	case <-due:
	case <-l.closed:
		return false
	}
	return true
}

// logState logs whether requests can be recorded, if that has changed. The caller holds the lock.
func (l *Ledger) logState(now time.Time) {
	reason, _ := l.commit.Ready(now)
	if reason == l.reportedState {
		return
	}
	l.reportedState = reason
	if reason == "" {
		l.log.Info("requests are recorded again")
		return
	}
	l.log.Error("requests cannot be recorded", "why", reason)
}

// segmentName returns the name of a segment's file.
func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentSuffix) }

const segmentSuffix = ".seg"

// openSegment creates the next segment. After Start only writeLoop calls it.
func (l *Ledger) openSegment() (size int64, err error) {
	if l.file != nil {
		_ = l.file.Close() // its records are durable, or are written again to the next segment
	}
	o := l.options.Load()
	if err := l.renewLock(o.Dir); err != nil {
		return 0, err
	}
	header := l.nextHeader(o)
	salt := rand.Uint64()
	text := segment.AppendHeader(nil, salt, &header)
	name := segmentName(header.Number)
	file, err := l.disk.Create(name, max(o.Commit.SegmentBytes, int64(len(text))))
	if err != nil {
		return 0, err
	}
	if err := l.writeHeader(file, text); err != nil {
		return 0, errors.Join(err, file.Close(), l.disk.Remove(name))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.segments); n > 0 {
		l.segments[n-1].LastRecordAt = time.Now()
	}
	l.file, l.salt = file, salt
	l.segments = append(l.segments, commit.Segment{Number: header.Number, Bytes: o.Commit.SegmentBytes, LastRecordAt: time.Now()})
	return int64(len(text)), nil
}

// renewLock locks the directory again if it was replaced. The lock of the old directory does not keep another process from locking
// the new one.
func (l *Ledger) renewLock(path string) error {
	if l.lock == nil || l.lock.IsValid() {
		return nil
	}
	lock, err := disk.Dir(path).Lock()
	if err != nil {
		return err
	}
	l.lock.Release()
	l.lock = lock
	return nil
}

// nextHeader returns the header of the next segment. The segment's number is not used again even if the segment cannot be created,
// since a file of that name may exist.
func (l *Ledger) nextHeader(o *Options) segment.Header {
	l.mu.Lock()
	l.segmentNumber++
	header := l.header
	header.Number = l.segmentNumber
	header.FirstSeq = l.commit.FirstPending()
	l.mu.Unlock()
	header.Mode = o.Commit.Mode.String()
	header.CreatedAt = time.Now().UnixMicro()
	header.CreatedSinceStart = l.elapsed().Microseconds()
	return header
}

// writeHeader writes a segment's header, and makes the header and the file's name durable.
func (l *Ledger) writeHeader(file disk.File, text []byte) error {
	if _, err := file.Write(text); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return l.disk.SyncDir()
}
