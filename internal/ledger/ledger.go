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
	Dir      string
	Commit   commit.Config
	Keeping  commit.Keeping
	Secret   []byte        // keys and tenants are stored as hashes under it; nil: plain
	Trusting bool          // keys are served although records are lost that may have told of them
	ClockOff time.Duration // how far the time of day may be off between two starts of the machine
	Keys     int           // that are remembered at most

	Disk disk.Disk // nil: the directory
	// Boot names the machine's start, and Since is the time since then; nil: the system's.
	Boot  string
	Since func() time.Duration
	Log   *slog.Logger
}

const (
	lookEvery  = 250 * time.Millisecond // at the clock
	tidyEvery  = 10 * time.Second       // segments and keys
	clockMoved = 100 * time.Millisecond // is worth a record
	closeWait  = 3 * time.Second        // for the disk, at the end
)

// Ledger is safe for concurrent use.
type Ledger struct {
	log     *slog.Logger
	disk    disk.Disk
	since   func() time.Duration
	lock    *disk.Lock // nil: the disk is none of this machine's
	began   time.Time
	beganAt time.Duration
	slept   atomic.Int64   // nanoseconds that the machine's clock is ahead of the process's, as it slept
	head    segment.Header // of the next segment, but for what is its own
	options atomic.Pointer[Options]

	mu       sync.Mutex
	commit   *commit.Log
	frame    []byte
	epoch    uint64        // errors of the disk that those who wait have been told of
	written  line          // who waits for a record to be written
	durable  line          // or durable
	ended    chan struct{} // closed once all is done that is to be done at the end
	number   uint64        // of the last segment
	files    []commit.Segment
	file     disk.File
	salt     uint64
	requests uint64
	missed   segment.Record // what was served and not recorded since the last record of it
	missing  uint64         // the same, of the whole life
	late     uint64         // answers that went out before their record was safe
	syncs    uint64
	synced   uint64 // records
	shift    time.Duration
	state    string // what was said last of the disk

	recovered *idempotency.Table // of former processes, by hidden IDs
	prints    map[idempotency.KeyID]idempotency.Fingerprint
	recalls   atomic.Bool // there is something in recovered
	doubt     time.Time
	found     Report

	wakeWriter, wakeSyncer chan struct{}
	done                   chan struct{}
	goes                   sync.WaitGroup
}

// ErrUnready says that a request can't be recorded now: nothing of it may go out.
type ErrUnready struct {
	Why  string
	Back time.Duration // when it could be otherwise
}

func (e *ErrUnready) Error() string { return "ledger: " + e.Why }

// Start takes the directory, reads what former processes have left there, and begins a segment of its own. Damage is told
// of and never keeps it from starting; a directory that another process holds, or that can't be written, does.
func Start(o Options) (*Ledger, error) {
	l := &Ledger{log: o.Log, disk: o.Disk, since: o.Since, ended: make(chan struct{}),
		wakeWriter: make(chan struct{}, 1), wakeSyncer: make(chan struct{}, 1), done: make(chan struct{})}
	l.options.Store(&o)
	if l.since == nil {
		l.since = disk.Since
	}
	boot := o.Boot
	if boot == "" {
		boot = disk.Boot()
	}
	if l.disk == nil {
		d := disk.Dir(o.Dir)
		if err := os.MkdirAll(o.Dir, 0o700); err != nil {
			return nil, fmt.Errorf("ledger: %w", err)
		}
		lock, err := d.Hold()
		if err != nil {
			return nil, fmt.Errorf("ledger: %s: %w", o.Dir, err)
		}
		l.disk, l.lock = d, lock
	}
	l.began = time.Now()
	l.beganAt = l.since()
	if err := l.recover(boot); err != nil {
		l.release()
		return nil, fmt.Errorf("ledger: %s: %w", o.Dir, err)
	}
	host, _ := os.Hostname()
	l.head.Process, l.head.Host, l.head.Boot, l.head.Hashed = newNumber(), host, boot, o.Secret != nil
	l.head.Began, l.head.BeganAt = l.began.UnixMicro(), l.beganAt.Microseconds()
	l.commit = commit.New(o.Commit, l.found.Last>>numbersApart<<numbersApart+1<<numbersApart)
	l.head.Prev = l.found.Last
	l.commit.Work(time.Now())
	size, err := l.openNext()
	if err != nil {
		l.release()
		return nil, fmt.Errorf("ledger: %s: %w", o.Dir, err)
	}
	l.commit.Opened(time.Now(), size, nil)
	l.goes.Go(l.write)
	l.goes.Go(l.sync)
	l.goes.Go(l.watch)
	l.goes.Go(l.look)
	return l, nil
}

func (l *Ledger) release() {
	if l.lock != nil {
		l.lock.Release()
	}
}

// numbersApart: each process begins its numbers at a multiple of 2 to the power of this, so that what the process before
// may have written without anybody's knowledge never has a number of its own records.
const numbersApart = 20

// Fits tells whether new options can be taken up: the directory, and how names are stored, stay.
func (l *Ledger) Fits(o Options) error {
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
	o.Log, o.Disk, o.Boot, o.Since = old.Log, old.Disk, old.Boot, old.Since
	l.options.Store(&o)
	l.commit.Configure(o.Commit)
}

// at returns the time since the process began, by a clock that nobody sets.
func (l *Ledger) at() time.Duration { return time.Since(l.began) + time.Duration(l.slept.Load()) }

// add adds a record. The lock is held. It is written at once, or where nobody waits for it with the next one that somebody
// does, or soon.
func (l *Ledger) add(r *segment.Record, at bool) (seq uint64, ok bool) {
	seq = l.commit.Next()
	if to := l.commit.Durable(); to > 0 && (r.Kind == segment.Intent || r.Kind == segment.Final) {
		r.Lag = seq - to
	}
	frame, err := segment.AppendFrame(l.frame[:0], seq, r)
	if err != nil { // no text of a request is so long, by the bounds of its parts
		l.log.Error("ledger: a record is left out", "error", err)
		return seq, false
	}
	l.frame = frame
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

// write is the writer: it alone opens segments and writes to them.
func (l *Ledger) write() {
	for {
		l.mu.Lock()
		step, frames, until := l.commit.Work(time.Now())
		salt, file := l.salt, l.file
		l.mu.Unlock()
		switch step {
		case commit.Open:
			size, err := l.openNext()
			l.mu.Lock()
			l.commit.Opened(time.Now(), size, err)
		case commit.Write:
			segment.Seal(frames, salt)
			_, err := file.Write(frames)
			l.mu.Lock()
			l.commit.Wrote(time.Now(), err)
		default:
			if !l.wait(l.wakeWriter, until) {
				return
			}
			continue
		}
		l.moved(time.Now())
		if l.commit.Owes() {
			wake(l.wakeSyncer)
		}
		l.mu.Unlock()
	}
}

// sync makes durable what is written, beside the writer.
func (l *Ledger) sync() {
	for {
		l.mu.Lock()
		due, until := l.commit.Due(time.Now())
		file := l.file
		l.mu.Unlock()
		if !due {
			if !l.wait(l.wakeSyncer, until) {
				return
			}
			continue
		}
		err := file.Sync()
		l.mu.Lock()
		before := l.commit.Durable()
		l.commit.Synced(time.Now(), err)
		l.syncs++
		if before > 0 {
			l.synced += l.commit.Durable() - before
		}
		l.moved(time.Now())
		if l.commit.Full() {
			wake(l.wakeWriter)
		}
		l.mu.Unlock()
	}
}

// wait waits for a word or a time; false: the ledger is over.
func (l *Ledger) wait(word chan struct{}, until time.Time) bool {
	var due <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		due = t.C
	}
	select {
	case <-word:
	case <-due:
	case <-l.done:
		return false
	}
	return true
}

// tell logs how the disk stands where that has changed. The lock is held.
func (l *Ledger) tell(now time.Time) {
	why, _ := l.commit.Ready(now)
	if why == l.state {
		return
	}
	if l.state = why; why == "" {
		l.log.Info("ledger: requests are recorded again")
		return
	}
	l.log.Error("ledger: keyed requests can't be recorded", "why", why)
}

// name is a segment's file.
func name(number uint64) string { return fmt.Sprintf("%016x.seg", number) }

// openNext makes the next segment. Only the writer calls it.
func (l *Ledger) openNext() (size int64, err error) {
	if l.file != nil {
		l.file.Close() // it is durable, or not trusted
	}
	o := l.options.Load()
	if l.lock != nil && !l.lock.Stands() { // another process may have taken what stands there now
		lock, err := disk.Dir(o.Dir).Hold()
		if err != nil {
			return 0, err
		}
		l.lock.Release()
		l.lock = lock
	}
	l.mu.Lock()
	l.number++ // also where this fails: the file's name may be taken
	h := l.head
	h.Number, h.First, h.Mode = l.number, l.commit.First(), o.Commit.Mode.String()
	l.mu.Unlock()
	h.Made, h.MadeAt = time.Now().UnixMicro(), l.at().Microseconds()
	salt := rand.Uint64()
	text := segment.AppendHeader(nil, salt, &h)
	f, err := l.disk.Create(name(h.Number), max(o.Commit.Segment, int64(len(text))))
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
		l.disk.Remove(name(h.Number))
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.files); n > 0 {
		l.files[n-1].Last = time.Now()
	}
	l.file, l.salt = f, salt
	l.files = append(l.files, commit.Segment{Number: h.Number, Bytes: o.Commit.Segment, Last: time.Now()})
	return int64(len(text)), nil
}

// Close has all that was recorded made durable, tells in the log that the process ends by itself, and gives the directory
// back. A disk that hangs is not waited for.
func (l *Ledger) Close() {
	l.mu.Lock()
	select {
	case <-l.done:
		l.mu.Unlock()
		return
	default:
	}
	if l.missed.Count > 0 {
		l.add(&l.missed, true)
	}
	l.add(&segment.Record{Kind: segment.Closed, At: l.at()}, true)
	l.commit.Closing()
	l.mu.Unlock()
	wake(l.wakeSyncer)
	timer := time.NewTimer(closeWait)
	defer timer.Stop()
	select {
	case <-l.ended:
	case <-timer.C:
	}
	close(l.done)
	over := make(chan struct{})
	go func() { l.goes.Wait(); close(over) }()
	select {
	case <-over:
		if l.options.Load().Commit.Mode == commit.OS {
			l.file.Sync()
		}
		l.file.Close()
	case <-time.After(closeWait / 10): // they hang in the disk, and go with the process
		l.log.Error("ledger: the disk hangs; the log's end is not safe")
	}
	l.release()
}
