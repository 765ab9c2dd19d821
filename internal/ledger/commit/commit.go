// Package commit decides when a ledger's records are written and made durable, when a new segment begins, which segments are
// removed, and when the disk cannot be relied on. It does no I/O, reads no clock and does not block: its host passes it the
// time and the results of what it requested, and asks for the next step. A Log belongs to one host, which serialises all
// calls.
//
// A record gets its sequence number when it is added. It is written once the operating system has it, which the end of the
// process does not undo, and durable once it is on the disk, which a crash of the machine does not undo. After an error
// nothing of the segment that is not known to be durable is trusted: it is written again, under its sequence numbers, to a
// new segment. The same holds for an fsync that failed: a second one that succeeds says nothing about what the first one
// lost.
package commit

import (
	"time"

	"silvertrail/internal/ledger/segment"
)

// Mode is how safe a record must be before its event may happen.
type Mode uint8

// The modes.
const (
	GroupCommit Mode = iota // durable before an attempt, by an fsync that others share
	EachRecord              // durable at once, before an attempt and before an answer
	OSBuffered              // written
)

func (m Mode) String() string { return [...]string{"group", "each", "os"}[m] }

// Config configures a Log.
type Config struct {
	Mode            Mode
	MaxGroupDelay   time.Duration // that an fsync waits for more records in mode GroupCommit
	SlowDiskTime    time.Duration // of one write or fsync, beyond which the disk counts as slow
	SegmentBytes    int64
	MaxPendingBytes int // of records that are held in memory because they are not durable yet
}

const (
	// The backoff of a new segment after an error.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second

	// groupDelayDivider is the last fsync's duration over the delay of the next one.
	groupDelayDivider = 4
)

// Log is the state of a log that is being written. It is not safe for concurrent use.
type Log struct {
	config  Config
	nextSeq uint64

	// Frames that are not durable yet, in order. The first writtenBytes of them are in the present segment.
	pending      []byte
	writtenBytes int
	firstPending uint64 // the sequence number of the first
	writeBuffer  []byte // what is being written

	writtenTo, durableTo uint64 // sequence numbers up to which records are; 0: none
	syncTo               uint64 // what the present fsync makes durable
	syncBytes            int

	segmentOpen    bool
	opening        bool
	segmentFill    int64
	generation     uint64 // of the present segment: an fsync of an earlier one is ignored
	syncGeneration uint64
	errorCount     uint64

	writing, syncing              bool
	writeStartedAt, syncStartedAt time.Time
	nextSyncAt                    time.Time // at the earliest
	failure                       error     // nil: none since the present segment was opened
	retryAt                       time.Time
	retryDelay                    time.Duration
	dropped                       uint64 // records for which there was no room
	closing                       bool
}

// New returns a log whose first record gets a sequence number.
func New(config Config, firstSeq uint64) *Log {
	return &Log{config: config, nextSeq: firstSeq, firstPending: firstSeq}
}

// Configure changes the configuration. The present segment is kept.
func (l *Log) Configure(config Config) { l.config = config }

// NextSeq returns the sequence number of the next record.
func (l *Log) NextSeq() uint64 { return l.nextSeq }

// Add adds a record's frame, which must have the sequence number that NextSeq returned. If there is no room it returns
// false, and the sequence number is lost, so that the log shows that a record is missing.
func (l *Log) Add(frame []byte) bool {
	l.nextSeq++
	if len(l.pending)+len(frame) > l.config.MaxPendingBytes {
		l.dropped++
		return false
	}
	l.pending = append(l.pending, frame...)
	return true
}

// Step is what the writer has to do.
type Step uint8

// The steps, of which one is done at a time. An fsync may be done beside WriteFrames, see BeginSync.
const (
	Idle        Step = iota
	OpenSegment      // make a segment, with a durable header
	WriteFrames      // at the end of the segment
)

// NextStep returns what the writer has to do. Idle means to wait for an event, or until the returned time if that is not
// zero. The frames belong to the writer until it reports the result.
func (l *Log) NextStep(now time.Time) (step Step, frames []byte, until time.Time) {
	switch {
	case l.writing || l.opening:
		return Idle, nil, time.Time{}
	case !l.segmentOpen:
		return l.nextSegment(now)
	case l.writtenBytes == len(l.pending):
		return Idle, nil, time.Time{}
	case l.isSegmentFull():
		if l.durableTo != l.writtenTo || l.syncing {
			return Idle, nil, time.Time{}
		}
		l.segmentOpen = false
		return l.nextSegment(now)
	}
	l.writing, l.writeStartedAt = true, now
	l.writeBuffer = append(l.writeBuffer[:0], l.pending[l.writtenBytes:]...)
	return WriteFrames, l.writeBuffer, time.Time{}
}

// nextSegment starts a segment once the backoff is over and no fsync of the previous one is in progress, whose file is the
// writer's to close.
func (l *Log) nextSegment(now time.Time) (step Step, frames []byte, until time.Time) {
	if now.Before(l.retryAt) {
		return Idle, nil, l.retryAt
	}
	if l.syncing {
		return Idle, nil, time.Time{}
	}
	l.opening, l.writeStartedAt = true, now
	return OpenSegment, nil, time.Time{}
}

func (l *Log) isSegmentFull() bool { return l.segmentFill >= l.config.SegmentBytes }

// SegmentOpened reports the result of opening a segment, and its size.
func (l *Log) SegmentOpened(now time.Time, size int64, err error) {
	l.opening = false
	if err != nil {
		l.fail(now, err)
		return
	}
	l.segmentOpen, l.segmentFill = true, size
	l.failure, l.retryDelay = nil, 0
	l.generation++
	l.writtenBytes = 0
	l.writtenTo = l.durableTo
}

// FirstPending returns the sequence number of the first record in a segment that is opened now.
func (l *Log) FirstPending() uint64 { return l.firstPending }

// WriteCompleted reports the result of a write.
func (l *Log) WriteCompleted(now time.Time, err error) {
	l.writing = false
	if err != nil {
		l.fail(now, err)
		return
	}
	if !l.segmentOpen { // an fsync has failed meanwhile
		return
	}
	n := len(l.writeBuffer)
	l.segmentFill += int64(n)
	l.writtenBytes += n
	l.writtenTo = lastSeq(l.writeBuffer, l.writtenTo)
	if l.config.Mode == OSBuffered && !l.isSegmentFull() { // the records are as safe as the mode requires
		l.release(l.writtenTo, l.writtenBytes)
	}
}

// lastSeq returns the sequence number of the last frame.
func lastSeq(frames []byte, otherwise uint64) uint64 {
	for len(frames) > 0 {
		seq, size := segment.FirstFrame(frames)
		otherwise, frames = seq, frames[size:]
	}
	return otherwise
}

// release drops records that need not be written again.
func (l *Log) release(seq uint64, bytes int) {
	l.durableTo = seq
	l.pending = append(l.pending[:0], l.pending[bytes:]...)
	l.writtenBytes -= bytes
	l.firstPending, _ = segment.FirstFrame(l.pending)
	if l.firstPending == 0 {
		l.firstPending = seq + 1
	}
}

// BeginSync reports whether an fsync has to start now; if not, until is when to ask again, unless it is zero.
//
// In mode GroupCommit, the next fsync waits for a quarter of the duration of the last one, up to MaxGroupDelay: records that
// are added meanwhile share it, beside all those that were added during the last one. That leaves a disk time for others
// where many requests wait; a fixed delay would cost each client of a fast disk that whole time.
func (l *Log) BeginSync(now time.Time) (due bool, until time.Time) {
	if !l.segmentOpen || l.syncing || l.writtenBytes == 0 || !l.NeedsSync() {
		return false, time.Time{}
	}
	mayDelay := l.config.Mode == GroupCommit && !l.isSegmentFull() && !l.closing
	if mayDelay && now.Before(l.nextSyncAt) {
		return false, l.nextSyncAt
	}
	l.syncing, l.syncStartedAt = true, now
	l.syncTo, l.syncBytes, l.syncGeneration = l.writtenTo, l.writtenBytes, l.generation
	return true, time.Time{}
}

// SyncCompleted reports the result of an fsync.
func (l *Log) SyncCompleted(now time.Time, err error) {
	l.syncing = false
	l.nextSyncAt = now.Add(min(now.Sub(l.syncStartedAt)/groupDelayDivider, l.config.MaxGroupDelay))
	switch {
	case l.syncGeneration != l.generation || !l.segmentOpen:
	case err != nil:
		l.fail(now, err)
	default:
		l.release(l.syncTo, l.syncBytes)
	}
}

// ReportFailure reports an error that no write or fsync has returned, such as a removed directory.
func (l *Log) ReportFailure(now time.Time, err error) {
	if l.segmentOpen {
		l.fail(now, err)
	}
}

// fail ends the use of the present segment.
func (l *Log) fail(now time.Time, err error) {
	l.segmentOpen, l.failure = false, err
	l.errorCount++
	l.generation++
	l.retryDelay = min(max(2*l.retryDelay, minRetryDelay), maxRetryDelay)
	l.retryAt = now.Add(l.retryDelay)
	l.writtenBytes, l.writtenTo = 0, l.durableTo
}

// NeedsSync reports whether anything that is written is not durable.
func (l *Log) NeedsSync() bool { return l.durableTo < l.writtenTo }

// IsFull reports whether the present segment takes no more records.
func (l *Log) IsFull() bool { return !l.segmentOpen || l.isSegmentFull() }

// Written returns the sequence number up to which records are written.
func (l *Log) Written() uint64 { return l.writtenTo }

// Durable returns the sequence number up to which records are durable.
func (l *Log) Durable() uint64 { return l.durableTo }

// ErrorCount returns the number of errors. A request that waits for a record across an error waits for a disk that may never
// recover.
func (l *Log) ErrorCount() uint64 { return l.errorCount }

// Dropped returns the number of records for which there was no room.
func (l *Log) Dropped() uint64 { return l.dropped }

// Ready reports whether a record that is added now can be expected to be safe soon. If not, reason says why, and retryAfter
// when that may change.
func (l *Log) Ready(now time.Time) (reason string, retryAfter time.Duration) {
	isWriteSlow := (l.writing || l.opening) && now.Sub(l.writeStartedAt) > l.config.SlowDiskTime
	isSyncSlow := l.syncing && now.Sub(l.syncStartedAt) > l.config.SlowDiskTime
	switch {
	case l.failure != nil:
		return "the disk fails: " + l.failure.Error(), max(l.retryAt.Sub(now), l.retryDelay)
	case isWriteSlow || isSyncSlow:
		return "the disk is slow", max(l.config.SlowDiskTime, minRetryDelay)
	case len(l.pending) > l.config.MaxPendingBytes/2:
		return "the disk does not keep up", max(l.config.SlowDiskTime, minRetryDelay)
	}
	return "", 0
}

// BeginClose has all pending records made durable without a delay.
func (l *Log) BeginClose() { l.closing = true }

// IsDone reports whether all records are durable after BeginClose, or will never be.
func (l *Log) IsDone() bool {
	if !l.closing || l.writing || l.syncing || l.opening {
		return false
	}
	return l.failure != nil || l.writtenBytes == len(l.pending) && !l.NeedsSync()
}
