// Package ledger records every request with an idempotency key on a disk: that it was received, to which endpoint an attempt
// is about to be sent, how the attempt ended, and what the client was told. After a crash the records show what became of
// each request, and where each key may have been executed.
//
// It does the I/O for three packages that decide: segment (the file format), commit (what is written and made durable, and when)
// and requesthistory (what became of each request). A Ledger owns its directory and four goroutines. One writes records, one calls
// fsync, one ends waits that take too long, and one watches the clock and removes expired segments and keys.
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
	Secret        []byte        // if not nil, keys and tenants are stored as HMACs under this secret
	IgnoreLosses  bool          // accepts keys that the log does not contain even if lost records may have contained them
	MaxClockError time.Duration // maximum error of the wall clock between two boots of the machine
	MaxKeys       int           // maximum number of recovered keys that are remembered

	Disk disk.Disk // nil: the directory Dir
	// BootID identifies the boot of the machine, and SinceBoot returns the time since then. Empty or nil: the system's values.
	BootID    string
	SinceBoot func() time.Duration
	Log       *slog.Logger
}

// Ledger is a running ledger. It is safe for concurrent use.
type Ledger struct {
	log              *slog.Logger
	disk             disk.Disk
	sinceBoot        func() time.Duration
	lock             *disk.Lock // nil if Options.Disk is set
	startedAt        time.Time
	startedSinceBoot time.Duration
	suspendedTime    atomic.Int64   // nanoseconds that the machine was suspended
	header           segment.Header // header of the next segment, without the fields that differ between segments
	options          atomic.Pointer[Options]

	mu              sync.Mutex // guards the fields below
	commit          *commit.Log
	frameBuffer     []byte
	reportedErrors  uint64        // disk errors that waiters were notified of
	written         waitQueue     // waiters for a record to be written
	durable         waitQueue     // waiters for a record to be durable
	flushed         chan struct{} // closed during Close, once all records are durable or the disk has failed
	segmentNumber   uint64        // number of the last segment
	segments        []commit.Segment
	file            disk.File
	salt            uint64
	requestCount    uint64
	unrecorded      segment.Record // counts attempts sent without records since the last such record was added
	unrecordedCount uint64         // all attempts sent without records
	lateResponses   uint64         // responses sent before their record was safe
	syncCount       uint64
	syncedRecords   uint64
	clockShift      time.Duration
	reportedState   string             // why requests cannot be recorded, as logged last; empty: they can
	recovered       *idempotency.Table // keys of earlier processes, by masked ID
	fingerprints    map[idempotency.KeyID]idempotency.Fingerprint
	hasRecovered    atomic.Bool
	uncertainUntil  time.Time
	report          Report // result of reading the log at the start

	wakeWriter, wakeSyncer chan struct{}
	closed                 chan struct{}
	goroutines             sync.WaitGroup
}

// UnavailableError means that a request cannot be recorded now. No attempt of it may be sent.
type UnavailableError struct {
	Reason     string
	RetryAfter time.Duration
}

func (e *UnavailableError) Error() string { return "ledger: " + e.Reason }

// Start locks the directory, reads the log of earlier processes, and opens a new segment. Damage in the log is reported and is not
// an error. Start fails if another process has locked the directory, or if the directory cannot be written.
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

// lockDirectory creates the directory, and locks it for this process.
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

// processSeqBits separates the sequence numbers of processes: each process starts at the next multiple of 1<<processSeqBits. So a
// record of the previous process that was not found in the log never has the sequence number of a new record.
const processSeqBits = 20

// open reads the log, and opens the first segment.
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

// CheckUpdate returns an error for options that a running ledger cannot apply: another directory, or another secret.
func (l *Ledger) CheckUpdate(o Options) error {
	current := l.options.Load()
	switch {
	case o.Dir != current.Dir:
		return errors.New("ledger: the directory cannot change while the process runs: restart it")
	case string(o.Secret) != string(current.Secret):
		return errors.New("ledger: the secret cannot change while the process runs: restart it")
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

// elapsed returns the time since the ledger started, by a monotonic clock that includes time while the machine was suspended.
func (l *Ledger) elapsed() time.Duration {
	return time.Since(l.startedAt) + time.Duration(l.suspendedTime.Load())
}

const (
	closeTimeout = 3 * time.Second   // for the last records to be durable
	endTimeout   = closeTimeout / 10 // for the goroutines to return
)

// Close records the clean shutdown, makes all records durable, and unlocks the directory. If the disk hangs, it returns after
// closeTimeout and endTimeout.
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
	go func() { // returns after the goroutines; if the disk hangs, it may run until the process ends
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
		l.log.Error("disk hangs while the ledger closes")
	}
	l.unlock()
}

// logFileError logs an error of the last segment's file during Close.
func (l *Ledger) logFileError(operation string, err error) {
	if err != nil {
		l.log.Error("last segment not synced or closed", "operation", operation, "error", err)
	}
}

// beginClose adds the last records. It returns false if the ledger is closed already.
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
