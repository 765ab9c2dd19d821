// Package ledger keeps a record of every keyed request on a disk: that it was taken, to which endpoint an attempt was about
// to go before its first byte went, how it ended, and what the caller was told. After a crash the records tell what is
// true of each request, and which keys may have run where.
//
// It is the host of segment (the format), commit (what is written and made durable when) and account (what is true). It
// decides nothing of its own.
package ledger

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/ledger/commit"
	"silvertrail/internal/ledger/disk"
	"silvertrail/internal/ledger/segment"
)

// Options tell how a ledger is kept.
type Options struct {
	Dir           string
	Commit        commit.Config
	Retention     commit.Retention
	Secret        []byte        // keys and tenants are stored as hashes under it; nil: plain
	IgnoreLosses  bool          // keys are served although records are lost that may have told of them
	MaxClockError time.Duration // how far the time of day may be off between two starts of the machine
	MaxKeys       int           // that are remembered at most

	Disk disk.Disk // nil: the directory
	// BootID names the machine's start, and Since is the time since then; nil: the system's.
	BootID    string
	SinceBoot func() time.Duration
	Log       *slog.Logger
}

const (
	checkInterval   = 250 * time.Millisecond // at the clock
	cleanupInterval = 10 * time.Second       // segments and keys
	minClockShift   = 100 * time.Millisecond // is worth a record
	closeTimeout    = 3 * time.Second        // for the disk, at the end
)

// Ledger is safe for concurrent use.
type Ledger struct {
	log              *slog.Logger
	disk             disk.Disk
	sinceBoot        func() time.Duration
	lock             *disk.Lock // nil: the disk is none of this machine's
	startedAt        time.Time
	startedSinceBoot time.Duration
	slept            atomic.Int64   // nanoseconds that the machine's clock is ahead of the process's, as it slept
	header           segment.Header // of the next segment, but for what is its own
	options          atomic.Pointer[Options]

	mu              sync.Mutex
	commit          *commit.Log
	frameBuffer     []byte
	reportedErrors  uint64        // errors of the disk that those who wait have been told of
	written         waitQueue     // who waits for a record to be written
	durable         waitQueue     // or durable
	flushed         chan struct{} // closed once all is done that is to be done at the end
	segmentNumber   uint64        // of the last segment
	segments        []commit.Segment
	file            disk.File
	salt            uint64
	requestCount    uint64
	unrecorded      segment.Record // what was served and not recorded since the last record of it
	unrecordedCount uint64         // the same, of the whole life
	lateAnswers     uint64         // answers that went out before their record was safe
	syncCount       uint64
	syncedRecords   uint64 // records
	clockShift      time.Duration
	reportedState   string // what was said last of the disk

	recovered      *idempotency.Table // of former processes, by hidden IDs
	fingerprints   map[idempotency.KeyID]idempotency.Fingerprint
	hasRecovered   atomic.Bool // there is something in recovered
	uncertainUntil time.Time
	report         Report

	wakeWriter, wakeSyncer chan struct{}
	closed                 chan struct{}
	goroutines             sync.WaitGroup
}

// UnavailableError says that a request can't be recorded now: nothing of it may go out.
type UnavailableError struct {
	Reason     string
	RetryAfter time.Duration // when it could be otherwise
}

func (e *UnavailableError) Error() string { return "ledger: " + e.Reason }

// Start takes the directory, reads what former processes have left there, and begins a segment of its own. Damage is told
// of and never keeps it from starting; a directory that another process holds, or that can't be written, does.
func Start(o Options) (*Ledger, error) {
	l := &Ledger{log: o.Log, disk: o.Disk, sinceBoot: o.SinceBoot, flushed: make(chan struct{}),
		wakeWriter: make(chan struct{}, 1), wakeSyncer: make(chan struct{}, 1), closed: make(chan struct{})}
	l.options.Store(&o)
	if l.sinceBoot == nil {
		l.sinceBoot = disk.SinceBoot
	}
	boot := o.BootID
	if boot == "" {
		boot = disk.BootID()
	}
	if l.disk == nil {
		d := disk.Dir(o.Dir)
		if err := os.MkdirAll(o.Dir, 0o700); err != nil {
			return nil, fmt.Errorf("ledger: %w", err)
		}
		lock, err := d.Lock()
		if err != nil {
			return nil, fmt.Errorf("ledger: %s: %w", o.Dir, err)
		}
		l.disk, l.lock = d, lock
	}
	l.startedAt = time.Now()
	l.startedSinceBoot = l.sinceBoot()
	if err := l.recoverState(boot); err != nil {
		l.release()
		return nil, fmt.Errorf("ledger: %s: %w", o.Dir, err)
	}
	host, _ := os.Hostname()
	l.header.Process, l.header.Host, l.header.BootID, l.header.Hashed = randomID(), host, boot, o.Secret != nil
	l.header.StartedAt, l.header.StartedSinceBoot = l.startedAt.UnixMicro(), l.startedSinceBoot.Microseconds()
	l.commit = commit.New(o.Commit, l.report.LastSeq>>processSeqBits<<processSeqBits+1<<processSeqBits)
	l.header.PreviousSeq = l.report.LastSeq
	l.commit.NextStep(time.Now())
	size, err := l.openSegment()
	if err != nil {
		l.release()
		return nil, fmt.Errorf("ledger: %s: %w", o.Dir, err)
	}
	l.commit.SegmentOpened(time.Now(), size, nil)
	l.goroutines.Go(l.writeLoop)
	l.goroutines.Go(l.syncLoop)
	l.goroutines.Go(l.waiterLoop)
	l.goroutines.Go(l.maintenanceLoop)
	return l, nil
}

func (l *Ledger) release() {
	if l.lock != nil {
		l.lock.Release()
	}
}

// processSeqBits: each process begins its numbers at a multiple of 2 to the power of this, so that what the process before
// may have written without anybody's knowledge never has a number of its own records.
const processSeqBits = 20

// CheckUpdate tells whether new options can be taken up: the directory, and how names are stored, stay.
func (l *Ledger) CheckUpdate(o Options) error {
	old := l.options.Load()
	switch {
	case o.Dir != old.Dir:
		return errors.New("ledger: its directory is that of the whole process: restart it")
	case string(o.Secret) != string(old.Secret):
		return errors.New("ledger: how names are stored holds for the whole process: restart it")
	}
	return nil
}

// Update takes up new options, which must fit.
func (l *Ledger) Update(o Options) {
	old := l.options.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	o.Log, o.Disk, o.BootID, o.SinceBoot = old.Log, old.Disk, old.BootID, old.SinceBoot
	l.options.Store(&o)
	l.commit.Configure(o.Commit)
}

// elapsed returns the time since the process began, by a clock that nobody sets.
func (l *Ledger) elapsed() time.Duration {
	return time.Since(l.startedAt) + time.Duration(l.slept.Load())
}

// addRecord adds a record. The lock is held. It is written at once, or where nobody waits for it with the next one that somebody
// does, or soon.
func (l *Ledger) addRecord(r *segment.Record, at bool) (seq uint64, ok bool) {
	seq = l.commit.NextSeq()
	if to := l.commit.Durable(); to > 0 && (r.Kind == segment.Intent || r.Kind == segment.Final) {
		r.DurableLag = seq - to
	}
	frame, err := segment.AppendFrame(l.frameBuffer[:0], seq, r)
	if err != nil { // no text of a request is so long, by the bounds of its parts
		l.log.Error("ledger: a record is left out", "error", err)
		return seq, false
	}
	l.frameBuffer = frame
	ok = l.commit.Add(frame)
	if at {
		wake(l.wakeWriter)
	}
	return seq, ok
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// writeLoop is the writer: it alone opens segments and writes to them.
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

// syncLoop makes durable what is written, beside the writer.
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
		err := file.Sync()
		l.mu.Lock()
		before := l.commit.Durable()
		l.commit.SyncCompleted(time.Now(), err)
		l.syncCount++
		if before > 0 {
			l.syncedRecords += l.commit.Durable() - before
		}
		l.notifyWaiters(time.Now())
		if l.commit.IsFull() {
			wake(l.wakeWriter)
		}
		l.mu.Unlock()
	}
}

// awaitSignal waits for a word or a time; false: the ledger is over.
func (l *Ledger) awaitSignal(word chan struct{}, until time.Time) bool {
	var due <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		due = t.C
	}
	select {
	case <-word:
	case <-due:
	case <-l.closed:
		return false
	}
	return true
}

// logState logs how the disk stands where that has changed. The lock is held.
func (l *Ledger) logState(now time.Time) {
	why, _ := l.commit.Ready(now)
	if why == l.reportedState {
		return
	}
	if l.reportedState = why; why == "" {
		l.log.Info("ledger: requests are recorded again")
		return
	}
	l.log.Error("ledger: keyed requests can't be recorded", "why", why)
}

// segmentName is a segment's file.
func segmentName(number uint64) string { return fmt.Sprintf("%016x.seg", number) }

// openSegment makes the next segment. Only the writer calls it.
func (l *Ledger) openSegment() (size int64, err error) {
	if l.file != nil {
		l.file.Close() // it is durable, or not trusted
	}
	o := l.options.Load()
	if l.lock != nil && !l.lock.IsValid() { // another process may have taken what stands there now
		lock, err := disk.Dir(o.Dir).Lock()
		if err != nil {
			return 0, err
		}
		l.lock.Release()
		l.lock = lock
	}
	l.mu.Lock()
	l.segmentNumber++ // also where this fails: the file's name may be taken
	h := l.header
	h.Number, h.FirstSeq, h.Mode = l.segmentNumber, l.commit.FirstPending(), o.Commit.Mode.String()
	l.mu.Unlock()
	h.CreatedAt, h.CreatedSinceStart = time.Now().UnixMicro(), l.elapsed().Microseconds()
	salt := rand.Uint64()
	text := segment.AppendHeader(nil, salt, &h)
	f, err := l.disk.Create(segmentName(h.Number), max(o.Commit.SegmentBytes, int64(len(text))))
	if err != nil {
		return 0, err
	}
	if _, err = f.Write(text); err == nil {
		if err = f.Sync(); err == nil {
			err = l.disk.SyncDir()
		}
	}
	if err != nil { // nothing is in it
		f.Close()
		l.disk.Remove(segmentName(h.Number))
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.segments); n > 0 {
		l.segments[n-1].LastRecordAt = time.Now()
	}
	l.file, l.salt = f, salt
	l.segments = append(l.segments, commit.Segment{Number: h.Number, Bytes: o.Commit.SegmentBytes, LastRecordAt: time.Now()})
	return int64(len(text)), nil
}

// Close has all that was recorded made durable, tells in the log that the process ends by itself, and gives the directory
// back. A disk that hangs is not waited for.
func (l *Ledger) Close() {
	l.mu.Lock()
	select {
	case <-l.closed:
		l.mu.Unlock()
		return
	default:
	}
	if l.unrecorded.Count > 0 {
		l.addRecord(&l.unrecorded, true)
	}
	l.addRecord(&segment.Record{Kind: segment.Shutdown, At: l.elapsed()}, true)
	l.commit.BeginClose()
	l.mu.Unlock()
	wake(l.wakeSyncer)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-l.flushed:
	case <-timer.C:
	}
	close(l.closed)
	over := make(chan struct{})
	go func() { l.goroutines.Wait(); close(over) }()
	select {
	case <-over:
		if l.options.Load().Commit.Mode == commit.OSBuffered {
			l.file.Sync()
		}
		l.file.Close()
	case <-time.After(closeTimeout / 10): // they hang in the disk, and go with the process
		l.log.Error("ledger: the disk hangs; the log's end is not safe")
	}
	l.release()
}
