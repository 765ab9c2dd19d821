// Package commit decides when a ledger's records are written and made durable, when a new segment begins, which segments are
// removed, and when the disk counts as failed or slow. It does no I/O, reads no clock and does not block: its caller passes it the
// time and the results of I/O, and asks for the next step. All calls of a Log must be serialised by its one caller.
//
// A record gets its sequence number when it is added. It is written once the operating system has it: it then survives the end of
// the process. It is durable once it is on the disk: it then survives a crash of the machine. After an error, records of the
// segment that are not known to be durable are not trusted. They are written again, under the same sequence numbers, to a new
// segment. The same holds after a failed fsync: a second fsync may succeed although the first one lost data.
package commit

import (
	"time"

	"silvertrail/internal/ledger/segment"
)

// Mode determines how safe a record must be before the event that it describes may happen.
type Mode uint8

// The modes.
const (
	GroupCommit Mode = iota // durable before an attempt is sent, by an fsync that other records share
	EachRecord              // durable without a delay, before an attempt is sent and before a response is served
	OSBuffered              // written before an attempt is sent, and not made durable
)

func (m Mode) String() string { return [...]string{"group", "each", "os"}[m] }

// Config configures a Log.
type Config struct {
	Mode            Mode
	MaxGroupDelay   time.Duration // maximum delay of an fsync for more records in mode GroupCommit
	SlowDiskTime    time.Duration // duration of one write or fsync beyond which the disk counts as slow
	SegmentBytes    int64
	MaxPendingBytes int // maximum size of the records held in memory because they are not durable yet
}

const (
	// Bounds of the backoff before a new segment is opened after an error.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second

	// groupDelayDivider divides the duration of the last fsync to get the delay of the next one.
	groupDelayDivider = 4
)

// Log is the state of a log that is being written. It is not safe for concurrent use.
type Log struct {
	config  Config
	nextSeq uint64

	// Frames that are not durable yet, in order. The first writtenBytes bytes are in the current segment.
	pending      []byte
	writtenBytes int
	firstPending uint64 // sequence number of the first pending frame
	writeBuffer  []byte // frames of the write in progress

	writtenTo, durableTo uint64 // sequence numbers up to which records are written or durable; 0: none
	syncTo               uint64 // sequence number up to which the fsync in progress makes records durable
	syncBytes            int

	segmentOpen    bool
	opening        bool
	segmentFill    int64
	generation     uint64 // of the current segment; the result of an fsync of an earlier one is ignored
	syncGeneration uint64
	errorCount     uint64

	writing, syncing              bool
	writeStartedAt, syncStartedAt time.Time
	nextSyncAt                    time.Time // earliest time of the next fsync
	failure                       error     // last error; nil: none since the current segment was opened
	retryAt                       time.Time
	retryDelay                    time.Duration
	dropped                       uint64 // records dropped because they did not fit into MaxPendingBytes
	closing                       bool
}

// New returns a log whose first record gets the sequence number firstSeq.
func New(config Config, firstSeq uint64) *Log {
	return &Log{config: config, nextSeq: firstSeq, firstPending: firstSeq}
}

// Configure changes the configuration. The current segment is kept.
func (l *Log) Configure(config Config) { l.config = config }

// NextSeq returns the sequence number of the next record.
func (l *Log) NextSeq() uint64 { return l.nextSeq }

// Add adds a record's frame, which must have the sequence number that NextSeq returned. If the frame does not fit into
// MaxPendingBytes, Add returns false. The sequence number counts as used, so that the log shows that a record is missing.
func (l *Log) Add(frame []byte) bool {
	l.nextSeq++
	if len(l.pending)+len(frame) > l.config.MaxPendingBytes {
		l.dropped++
		return false
	}
	l.pending = append(l.pending, frame...)
	return true
}

// Step is the next action of the writer.
type Step uint8

// The steps, of which one is done at a time. An fsync may run concurrently with WriteFrames, see BeginSync.
const (
	Idle        Step = iota
	OpenSegment      // create a segment with a durable header
	WriteFrames      // append frames to the segment
)

// NextStep returns the next action of the writer. Idle means to wait for an event, or until the returned time if that is not
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

// nextSegment starts a segment once the backoff is over and no fsync of the previous segment is in progress. The writer then closes
// the previous segment's file.
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

// isSegmentFull reports whether the current segment has reached SegmentBytes.
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

// FirstPending returns the sequence number of the first record of a segment that would be opened now.
func (l *Log) FirstPending() uint64 { return l.firstPending }

// WriteCompleted reports the result of a write.
func (l *Log) WriteCompleted(now time.Time, err error) {
	l.writing = false
	if err != nil {
		l.fail(now, err)
		return
	}
	if !l.segmentOpen { // an fsync failed, or ReportFailure was called, during the write
		return
	}
	n := len(l.writeBuffer)
	l.segmentFill += int64(n)
	l.writtenBytes += n
	l.writtenTo = lastSeq(l.writeBuffer, l.writtenTo)
	if l.config.Mode == OSBuffered && !l.isSegmentFull() { // this mode requires no fsync
		l.release(l.writtenTo, l.writtenBytes)
	}
}

// lastSeq returns the sequence number of the last frame, or otherwise if there are no frames.
func lastSeq(frames []byte, otherwise uint64) uint64 {
	for len(frames) > 0 {
		seq, size := segment.FirstFrame(frames)
		otherwise, frames = seq, frames[size:]
	}
	return otherwise
}

// release drops records up to a sequence number from the pending ones, as they need not be written again.
func (l *Log) release(seq uint64, bytes int) {
	l.durableTo = seq
	l.pending = append(l.pending[:0], l.pending[bytes:]...)
	l.writtenBytes -= bytes
	l.firstPending, _ = segment.FirstFrame(l.pending)
	if l.firstPending == 0 {
		l.firstPending = seq + 1
	}
}

// BeginSync reports whether an fsync has to start now. If not, and until is not zero, until is when to ask again.
//
// In mode GroupCommit, the next fsync is delayed by a quarter of the duration of the last one, up to MaxGroupDelay. Records that are
// added during the delay share the fsync with those that were added during the last one. The delay leaves the disk time for other
// work while many requests wait. It is not fixed, since a fixed delay would be added to every request on a fast disk.
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

// ReportFailure reports an error that was not returned by a write or an fsync, such as a removed directory.
func (l *Log) ReportFailure(now time.Time, err error) {
	if l.segmentOpen {
		l.fail(now, err)
	}
}

// fail ends the use of the current segment, and sets the backoff of the next one.
func (l *Log) fail(now time.Time, err error) {
	l.segmentOpen, l.failure = false, err
	l.errorCount++
	l.generation++
	l.retryDelay = min(max(2*l.retryDelay, minRetryDelay), maxRetryDelay)
	l.retryAt = now.Add(l.retryDelay)
	l.writtenBytes, l.writtenTo = 0, l.durableTo
}

// NeedsSync reports whether there are written records that are not durable.
func (l *Log) NeedsSync() bool { return l.durableTo < l.writtenTo }

// IsFull reports whether a new segment is needed: the current one is full, or was closed after an error.
func (l *Log) IsFull() bool { return !l.segmentOpen || l.isSegmentFull() }

// WrittenSeq returns the sequence number up to which records are written.
func (l *Log) WrittenSeq() uint64 { return l.writtenTo }

// DurableSeq returns the sequence number up to which records are durable.
func (l *Log) DurableSeq() uint64 { return l.durableTo }

// ErrorCount returns the number of disk errors. Callers that wait for a record should stop waiting when it changes, as the disk may
// never recover.
func (l *Log) ErrorCount() uint64 { return l.errorCount }

// DroppedCount returns the number of records that did not fit into MaxPendingBytes.
func (l *Log) DroppedCount() uint64 { return l.dropped }

// Ready reports whether a record that is added now can be expected to be safe soon: reason is empty. Otherwise reason describes the
// disk's state, and retryAfter is the time after which it may have changed.
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

// BeginClose ends the delay of fsyncs, so that all pending records are made durable as soon as possible.
func (l *Log) BeginClose() { l.closing = true }

// IsDone reports whether, after BeginClose, all records are durable or the disk has failed.
func (l *Log) IsDone() bool {
	if !l.closing || l.writing || l.syncing || l.opening {
		return false
	}
	return l.failure != nil || l.writtenBytes == len(l.pending) && !l.NeedsSync()
}
