// Package ledger records every request with an idempotency key on a disk: that it was received, to which endpoint an attempt
// is about to be sent, how the attempt ended, and what the client was told. After a crash the records tell what became of
// each request, and which keys may have run where.
//
// It is the host of the packages segment (the format), commit (what is written and made durable, and when) and
// requesthistory (what became of each request), and decides nothing itself. A Ledger owns its directory and four goroutines:
// one writes, one makes durable, one ends waits that take too long, and one watches the clock and removes old segments.
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

// Options configure a ledger.
type Options struct {
	Dir           string
	Commit        commit.Config
	Retention     commit.Retention
	Secret        []byte        // keys and tenants are stored as hashes under it; nil: plain
	IgnoreLosses  bool          // keys are served although records are lost that may have told of them
	MaxClockError time.Duration // of the wall clock, between two boots of the machine
	MaxKeys       int           // that are remembered

	Disk disk.Disk // nil: the directory
	// BootID identifies the boot of the machine, and SinceBoot is the time since then; nil: the system's.
	BootID    string
	SinceBoot func() time.Duration
	Log       *slog.Logger
}

// Ledger is a running ledger. It is safe for concurrent use.
type Ledger struct {
	log              *slog.Logger
	disk             disk.Disk
	sinceBoot        func() time.Duration
	lock             *disk.Lock // nil: the disk is simulated
	startedAt        time.Time
	startedSinceBoot time.Duration
	slept            atomic.Int64   // nanoseconds that the machine was suspended
	header           segment.Header // of the next segment, except what is specific to it
	options          atomic.Pointer[Options]

	mu              sync.Mutex // guards the fields below
	commit          *commit.Log
	frameBuffer     []byte
	reportedErrors  uint64        // errors of the disk that waiters were notified of
	written         waitQueue     // for a record to be written
	durable         waitQueue     // for a record to be durable
	flushed         chan struct{} // closed once all records are durable at the end
	segmentNumber   uint64        // of the last segment
	segments        []commit.Segment
	file            disk.File
	salt            uint64
	requestCount    uint64
	unrecorded      segment.Record // requests that were served without records, since the last record of them
	unrecordedCount uint64         // all of them
	lateAnswers     uint64         // that were sent before their record was safe
	syncCount       uint64
	syncedRecords   uint64
	clockShift      time.Duration
	reportedState   string             // of the disk, as logged last
	recovered       *idempotency.Table // of earlier processes, by masked IDs
	fingerprints    map[idempotency.KeyID]idempotency.Fingerprint
	hasRecovered    atomic.Bool
	uncertainUntil  time.Time
	report          Report // of the log at the start

	wakeWriter, wakeSyncer chan struct{}
	closed                 chan struct{}
	goroutines             sync.WaitGroup
}

// UnavailableError means that a request cannot be recorded now: nothing of it may be sent.
type UnavailableError struct {
	Reason     string
	RetryAfter time.Duration
}

func (e *UnavailableError) Error() string { return "ledger: " + e.Reason }

// Start locks the directory, reads what earlier processes have left there, and starts a new segment. Damage is reported and
// does not prevent it from starting; a directory that another process has locked, or that cannot be written, does.
func Start(o Options) (*Ledger, error) {
	l := &Ledger{
		log:        o.Log.With("component", "ledger"),
		disk:       o.Disk,
		sinceBoot:  o.SinceBoot,
		flushed:    make(chan struct{}),
		wakeWriter: make(chan struct{}, 1),
		wakeSyncer: make(chan struct{}, 1),
		closed:     make(chan struct{}),
	}
	l.options.Store(&o)
	if l.sinceBoot == nil {
		l.sinceBoot = disk.SinceBoot
	}
	if l.disk == nil {
		if err := l.lockDirectory(o.Dir); err != nil {
			return nil, err
		}
	}
	if err := l.open(o); err != nil {
		l.unlock()
		return nil, fmt.Errorf("ledger: %s: %w", o.Dir, err)
	}
	l.goroutines.Go(l.writeLoop)
	l.goroutines.Go(l.syncLoop)
	l.goroutines.Go(l.waiterLoop)
	l.goroutines.Go(l.maintenanceLoop)
	return l, nil
}

// lockDirectory makes the directory, and locks it for this process.
func (l *Ledger) lockDirectory(path string) error {
	d := disk.Dir(path)
	if err := os.MkdirAll(path, 0o700); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	lock, err := d.Lock()
	if err != nil {
		return fmt.Errorf("ledger: %s: %w", path, err)
	}
	l.disk, l.lock = d, lock
	return nil
}

func (l *Ledger) unlock() {
	if l.lock != nil {
		l.lock.Release()
	}
}

// processSeqBits separates the sequence numbers of processes: each starts at a multiple of 2 to the power of it, so that what
// the previous process may have written unnoticed never has the sequence number of one of its own records.
const processSeqBits = 20

// open reads the log, and opens a segment.
func (l *Ledger) open(o Options) error {
	bootID := o.BootID
	if bootID == "" {
		bootID = disk.BootID()
	}
	l.startedAt = time.Now()
	l.startedSinceBoot = l.sinceBoot()
	if err := l.recoverState(bootID); err != nil {
		return err
	}
	host, _ := os.Hostname()
	l.header.Process = randomID()
	l.header.Host, l.header.BootID = host, bootID
	l.header.Hashed = o.Secret != nil
	l.header.StartedAt = l.startedAt.UnixMicro()
	l.header.StartedSinceBoot = l.startedSinceBoot.Microseconds()
	l.header.PreviousSeq = l.report.LastSeq
	firstSeq := l.report.LastSeq>>processSeqBits<<processSeqBits + 1<<processSeqBits
	l.commit = commit.New(o.Commit, firstSeq)
	l.commit.NextStep(time.Now())
	size, err := l.openSegment()
	if err != nil {
		return err
	}
	l.commit.SegmentOpened(time.Now(), size, nil)
	return nil
}

func randomID() uint64 { return rand.Uint64() | 1 }

// CheckUpdate returns an error for options that a running ledger cannot apply: the directory, and how names are stored.
func (l *Ledger) CheckUpdate(o Options) error {
	current := l.options.Load()
	switch {
	case o.Dir != current.Dir:
		return errors.New("ledger: its directory is that of the whole process: restart it")
	case string(o.Secret) != string(current.Secret):
		return errors.New("ledger: how names are stored holds for the whole process: restart it")
	}
	return nil
}

// Update applies new options, which must have passed CheckUpdate.
func (l *Ledger) Update(o Options) {
	current := l.options.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	o.Log, o.Disk, o.BootID, o.SinceBoot = current.Log, current.Disk, current.BootID, current.SinceBoot
	l.options.Store(&o)
	l.commit.Configure(o.Commit)
}

// elapsed returns the time since the process started, by a monotonic clock.
func (l *Ledger) elapsed() time.Duration {
	return time.Since(l.startedAt) + time.Duration(l.slept.Load())
}

const (
	closeTimeout = 3 * time.Second   // for the disk
	endTimeout   = closeTimeout / 10 // for the goroutines
)

// Close makes all records durable, records the clean shutdown, and unlocks the directory. It does not wait for a disk that
// hangs.
func (l *Ledger) Close() {
	if !l.beginClose() {
		return
	}
	wake(l.wakeSyncer)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-l.flushed:
	case <-timer.C:
	}
	close(l.closed)
	ended := make(chan struct{})
	go func() { // ends with the goroutines, or with the process if the disk hangs
		l.goroutines.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		if l.options.Load().Commit.Mode == commit.OSBuffered {
			l.logFileError("sync", l.file.Sync())
		}
		l.logFileError("close", l.file.Close())
	case <-time.After(endTimeout):
		l.log.Error("disk hangs at the end of the log")
	}
	l.unlock()
}

// logFileError logs an error at the end of the log.
func (l *Ledger) logFileError(operation string, err error) {
	if err != nil {
		l.log.Error("end of the log not safe", "operation", operation, "error", err)
	}
}

// beginClose adds the last records; false: Close was called before.
func (l *Ledger) beginClose() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return false
	default:
	}
	if l.unrecorded.Count > 0 {
		l.addRecord(&l.unrecorded, true)
	}
	l.addRecord(&segment.Record{Kind: segment.Shutdown, At: l.elapsed()}, true)
	l.commit.BeginClose()
	return true
}
