// Package commit decides what of a ledger's records is written when, what is made durable together, when a new segment
// begins, which segments go, and when the disk is in no state to be counted on. It does no I/O, has no clock and does not
// block: it is told the time and how what it asked for has ended, and says what is next.
//
// A record is numbered as it is added. It is written when it is with the operating system, which the end of the process
// does not undo, and durable when it is on the disk, which the loss of the machine does not undo. After an error nothing
// of the segment that is not known to be durable is trusted: it is written again, under its numbers, in a new segment.
// The same goes for an fsync that failed: a second one that succeeds says nothing of what the first one lost.
package commit

import (
	"time"

	"silvertrail/internal/ledger/segment"
)

// Mode is what a record must be before what it tells of may happen.
type Mode uint8

// The modes.
const (
	GroupCommit Mode = iota // durable before an attempt, by an fsync that others share
	EachRecord              // durable at once, before an attempt and before an answer
	OSBuffered              // written
)

func (m Mode) String() string { return [...]string{"group", "each", "os"}[m] }

// Config tells the bounds.
type Config struct {
	Mode            Mode
	MaxGroupDelay   time.Duration // that an fsync waits for company, at the most, in mode Group
	SlowDiskTime    time.Duration // of one write or fsync; beyond it the disk counts as slow
	SegmentBytes    int64         // bytes of a segment
	MaxPendingBytes int           // bytes of records that are held in memory, as they are not durable yet
}

// Backoff of a new segment after an error.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Log is the state of a log that is being written. It is not safe for concurrent use.
type Log struct {
	config  Config
	nextSeq uint64

	// pending are frames that are not durable yet, in order. The first written of them are in the segment in hand.
	pending      []byte
	writtenBytes int
	firstPending uint64 // number of the first of them
	writeBuffer  []byte // what is being written

	writtenTo, durableTo uint64 // numbers up to which records are; 0: none
	syncTo               uint64 // what the fsync under way makes durable
	syncBytes            int

	segmentOpen    bool
	opening        bool
	segmentFill    int64
	generation     uint64 // of the segment in hand: an fsync of an earlier one tells nothing
	syncGeneration uint64
	errorCount     uint64 // errors so far

	writing, syncing              bool
	writeStartedAt, syncStartedAt time.Time // the begin of the last ones
	nextSyncAt                    time.Time // the begin of the next one, at the soonest
	failure                       error     // nil: none since the segment in hand was opened
	retryAt                       time.Time
	retryDelay                    time.Duration
	dropped                       uint64 // records for which there was no room
	closing                       bool
}

// New returns a log whose first record gets the number told.
func New(c Config, first uint64) *Log { return &Log{config: c, nextSeq: first, firstPending: first} }

// Configure changes the bounds. A segment that is open stays.
func (l *Log) Configure(c Config) { l.config = c }

// NextSeq returns the number that the next record gets.
func (l *Log) NextSeq() uint64 { return l.nextSeq }

// Add takes a record's frame, which must bear the number that Next returned. False: there is no room, and the number is
// lost, so that the log shows that a record is missing.
func (l *Log) Add(frame []byte) bool {
	l.nextSeq++
	if len(l.pending)+len(frame) > l.config.MaxPendingBytes {
		l.dropped++
		return false
	}
	l.pending = append(l.pending, frame...)
	return true
}

// Step is something to do.
type Step uint8

// The steps, one at a time. An fsync may be done beside a Write (see Due).
const (
	Idle        Step = iota
	OpenSegment      // make a segment, its header durable
	WriteFrames      // frames, at the end of the segment
)

// NextStep returns what the writer is to do: open a segment, or write frames; Nothing has it wait for an event, or until the
// time returned if that is not zero. The frames are the writer's until it tells of their end.
func (l *Log) NextStep(now time.Time) (s Step, frames []byte, until time.Time) {
	switch {
	case l.writing || l.opening:
		return Idle, nil, time.Time{}
	case !l.segmentOpen:
		if now.Before(l.retryAt) {
			return Idle, nil, l.retryAt
		}
		if l.syncing { // of the segment before: its file is the writer's to close
			return Idle, nil, time.Time{}
		}
		l.opening, l.writeStartedAt = true, now
		return OpenSegment, nil, time.Time{}
	case l.writtenBytes == len(l.pending):
		return Idle, nil, time.Time{}
	case l.segmentFill >= l.config.SegmentBytes:
		if l.durableTo == l.writtenTo && !l.syncing { // what is in it is safe: on to the next
			l.segmentOpen = false
			return l.NextStep(now)
		}
		return Idle, nil, time.Time{}
	}
	l.writing, l.writeStartedAt = true, now
	l.writeBuffer = append(l.writeBuffer[:0], l.pending[l.writtenBytes:]...)
	return WriteFrames, l.writeBuffer, time.Time{}
}

// SegmentOpened tells how a segment's opening has ended, and how many bytes stand in it.
func (l *Log) SegmentOpened(now time.Time, size int64, err error) {
	l.opening = false
	if err != nil {
		l.fail(now, err)
		return
	}
	l.segmentOpen, l.segmentFill, l.failure, l.retryDelay = true, size, nil, 0
	l.generation++
	l.writtenBytes = 0
	l.writtenTo = l.durableTo
}

// FirstPending returns the number of the first record that a segment which is opened now will hold.
func (l *Log) FirstPending() uint64 { return l.firstPending }

// WriteCompleted tells how a write has ended.
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
	if l.config.Mode == OSBuffered && l.segmentFill < l.config.SegmentBytes { // its records are as safe as the mode asks for
		l.release(l.writtenTo, l.writtenBytes)
	}
}

// lastSeq returns the number of the last frame.
func lastSeq(frames []byte, otherwise uint64) uint64 {
	for len(frames) > 0 {
		seq, size := segment.FirstFrame(frames)
		otherwise, frames = seq, frames[size:]
	}
	return otherwise
}

// release lets go of records that need not be written again.
func (l *Log) release(to uint64, bytes int) {
	l.durableTo = to
	l.pending = append(l.pending[:0], l.pending[bytes:]...)
	l.writtenBytes -= bytes
	if l.firstPending, _ = segment.FirstFrame(l.pending); l.firstPending == 0 {
		l.firstPending = to + 1
	}
}

// BeginSync tells whether an fsync is to be begun now; where it is not, until is when to ask again, if it is not zero.
//
// In mode Group the next fsync waits for a quarter of what the last one took, and for Gather at the most: what comes
// meanwhile shares it, beside all that came during the last one. That leaves a disk room for others where many ask at
// once; to wait for a fixed time instead would cost each caller of a quick disk that whole time.
func (l *Log) BeginSync(now time.Time) (due bool, until time.Time) {
	if !l.segmentOpen || l.syncing || l.writtenBytes == 0 || l.durableTo >= l.writtenTo {
		return false, time.Time{}
	}
	full := l.segmentFill >= l.config.SegmentBytes
	if l.config.Mode == GroupCommit && !full && !l.closing {
		if now.Before(l.nextSyncAt) {
			return false, l.nextSyncAt
		}
	}
	l.syncing, l.syncStartedAt = true, now
	l.syncTo, l.syncBytes, l.syncGeneration = l.writtenTo, l.writtenBytes, l.generation
	return true, time.Time{}
}

// SyncCompleted tells how an fsync has ended.
func (l *Log) SyncCompleted(now time.Time, err error) {
	l.syncing = false
	l.nextSyncAt = now.Add(min(now.Sub(l.syncStartedAt)/4, l.config.MaxGroupDelay))
	switch {
	case l.syncGeneration != l.generation || !l.segmentOpen:
	case err != nil:
		l.fail(now, err)
	default:
		l.release(l.syncTo, l.syncBytes)
	}
}

// ReportFailure tells of an error that no write or fsync has met, such as a directory that is gone.
func (l *Log) ReportFailure(now time.Time, err error) {
	if l.segmentOpen {
		l.fail(now, err)
	}
}

// fail ends the trust in the segment in hand.
func (l *Log) fail(now time.Time, err error) {
	l.segmentOpen, l.failure = false, err
	l.errorCount++
	l.generation++
	l.retryDelay = min(max(2*l.retryDelay, minRetryDelay), maxRetryDelay)
	l.retryAt = now.Add(l.retryDelay)
	l.writtenBytes, l.writtenTo = 0, l.durableTo
}

// NeedsSync tells whether anything that is written is not durable, and Full that the segment in hand takes no more.
func (l *Log) NeedsSync() bool { return l.durableTo < l.writtenTo }

// IsFull is described at Owes.
func (l *Log) IsFull() bool { return !l.segmentOpen || l.segmentFill >= l.config.SegmentBytes }

// Written and Durable return the numbers up to which records are.
func (l *Log) Written() uint64 { return l.writtenTo }

// Durable is described at Written.
func (l *Log) Durable() uint64 { return l.durableTo }

// ErrorCount counts errors: who waits for a record across one waits for a disk that may never come back.
func (l *Log) ErrorCount() uint64 { return l.errorCount }

// Dropped returns the number of records for which there was no room.
func (l *Log) Dropped() uint64 { return l.dropped }

// Ready tells whether a record that is added now can be counted on to be safe soon. Where it can't, why says what is the
// matter, and back when it could be otherwise.
func (l *Log) Ready(now time.Time) (why string, back time.Duration) {
	switch {
	case l.failure != nil:
		return "the disk fails: " + l.failure.Error(), max(l.retryAt.Sub(now), l.retryDelay)
	case (l.writing || l.opening) && now.Sub(l.writeStartedAt) > l.config.SlowDiskTime, l.syncing && now.Sub(l.syncStartedAt) > l.config.SlowDiskTime:
		return "the disk is slow", max(l.config.SlowDiskTime, minRetryDelay)
	case len(l.pending) > l.config.MaxPendingBytes/2:
		return "the disk does not keep up", max(l.config.SlowDiskTime, minRetryDelay)
	}
	return "", 0
}

// BeginClose has all that is held be made durable without waiting for company. Done tells whether it is, or never will be.
func (l *Log) BeginClose() { l.closing = true }

// IsDone is described at Closing.
func (l *Log) IsDone() bool {
	return l.closing && !l.writing && !l.syncing && !l.opening && (l.failure != nil || l.writtenBytes == len(l.pending) && l.durableTo >= l.writtenTo)
}
