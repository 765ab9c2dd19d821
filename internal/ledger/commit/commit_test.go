package commit

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvertrail/internal/ledger/segment"
)

// newFrame returns the frame of a record with an ID of idLength bytes.
func newFrame(t interface{ Fatal(...any) }, seq uint64, idLength int) []byte {
	encoded, err := segment.AppendFrame(nil, seq, &segment.Record{Kind: segment.Received, ID: strings.Repeat("x", idLength)})
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// sequenceNumbers returns the sequence numbers of consecutive frames.
func sequenceNumbers(frames []byte) (seqs []uint64) {
	for len(frames) > 0 {
		seq, size := segment.FirstFrame(frames)
		seqs, frames = append(seqs, seq), frames[size:]
	}
	return seqs
}

// diskSegmentState is the state of a segment on a simulated disk: the records written to it, and how many of them are durable.
type diskSegmentState struct {
	written []uint64
	durable int
}

// Writes, fsyncs and openings of segments succeed or fail in any order. Each segment has its records in order, and no segment is opened
// during an fsync of the previous one. Every record up to the reported durable one is durable in some segment, without gaps; in mode
// OSBuffered it is written. Every record up to the reported written one is written. Once the disk has recovered, all records that were
// added become durable.
func TestRecordsStayDurableAfterAnyDiskErrors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		config := Config{Mode: rapid.SampledFrom([]Mode{GroupCommit, EachRecord, OSBuffered}).Draw(t, "mode"), MaxGroupDelay: 3 * time.Millisecond, SlowDiskTime: 10 * time.Millisecond,
			SegmentBytes: int64(rapid.IntRange(64, 400).Draw(t, "segment")), MaxPendingBytes: rapid.IntRange(200, 2000).Draw(t, "held")}
		l := New(config, 1)
		var segments []*diskSegmentState
		var writingSeqs []uint64 // sequence numbers of the write in progress
		var syncedSegment *diskSegmentState
		opening, syncing := false, false
		syncedRecords := 0
		added := map[uint64]bool{}
		diskError := errors.New("bad disk")
		diskRecovered := false
		step := func(kind string) {
			err := error(nil)
			if !diskRecovered && rapid.IntRange(0, 4).Draw(t, "trouble") == 0 {
				err = diskError
			}
			switch kind {
			case "add":
				seq := l.NextSeq()
				if l.Add(newFrame(t, seq, rapid.IntRange(1, 40).Draw(t, "size"))) {
					added[seq] = true
				}
			case "work":
				if writingSeqs != nil || opening {
					return
				}
				nextStep, frames, _ := l.NextStep(now)
				switch nextStep {
				case OpenSegment:
					if syncing {
						t.Fatal("a segment is opened during an fsync of the previous one")
					}
					opening = true
				case WriteFrames:
					writingSeqs = sequenceNumbers(frames)
				}
			case "worked":
				switch {
				case opening:
					opening = false
					l.SegmentOpened(now, 32, err)
					if err == nil {
						segments = append(segments, &diskSegmentState{})
					}
				case writingSeqs != nil:
					diskSegment := segments[len(segments)-1]
					if err == nil {
						diskSegment.written = append(diskSegment.written, writingSeqs...)
					} else {
						diskSegment.written = append(diskSegment.written, writingSeqs[:len(writingSeqs)/2]...)
					}
					writingSeqs = nil
					l.WriteCompleted(now, err)
				}
			case "sync":
				if syncing || opening {
					return
				}
				if due, _ := l.BeginSync(now); due {
					syncing, syncedSegment = true, segments[len(segments)-1]
					syncedRecords = len(syncedSegment.written)
				}
			case "synced":
				if !syncing {
					return
				}
				syncing = false
				if err == nil {
					syncedSegment.durable = max(syncedSegment.durable, syncedRecords)
				}
				l.SyncCompleted(now, err)
			case "time":
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			}
		}
		check := func() {
			durable, written := map[uint64]bool{}, map[uint64]bool{}
			for _, diskSegment := range segments {
				if !slices.IsSorted(diskSegment.written) {
					t.Fatalf("records written out of order: %v", diskSegment.written)
				}
				for i, seq := range diskSegment.written {
					written[seq] = true
					durable[seq] = durable[seq] || i < diskSegment.durable
				}
			}
			for seq := range added {
				if seq <= l.DurableSeq() && (config.Mode != OSBuffered && !durable[seq] || !written[seq]) {
					t.Fatalf("record %d is reported durable (up to %d), but is not", seq, l.DurableSeq())
				}
				if seq <= l.WrittenSeq() && !written[seq] {
					t.Fatalf("record %d is reported written, but is not", seq)
				}
			}
			if l.DurableSeq() > l.WrittenSeq() {
				t.Fatalf("durable up to %d, but written only up to %d", l.DurableSeq(), l.WrittenSeq())
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			step(rapid.SampledFrom([]string{"add", "add", "work", "worked", "sync", "synced", "time"}).Draw(t, "step"))
			check()
		}
		diskRecovered = true
		l.BeginClose()
		for range 400 {
			for _, kind := range []string{"work", "worked", "sync", "synced", "time"} {
				step(kind)
			}
		}
		check()
		var lastAdded uint64
		for seq := range added {
			lastAdded = max(lastAdded, seq)
		}
		if l.WrittenSeq() < lastAdded || l.DurableSeq() < lastAdded || !l.IsDone() && len(segments) > 0 {
			t.Fatalf("after the disk recovered: durable up to %d, want %d; done: %v", l.DurableSeq(), lastAdded, l.IsDone())
		}
		if reason, _ := l.Ready(now); reason != "" {
			t.Fatalf("after the disk recovered: not ready: %s", reason)
		}
	})
}

// An fsync is delayed by a quarter of the duration of the last one, up to MaxGroupDelay. During an operation that takes longer than
// SlowDiskTime, the log is not ready. After repeated errors, a new segment is opened after increasing delays.
func TestSyncDelayAndSegmentRetryBackoff(t *testing.T) {
	ms := time.Millisecond
	now := time.Unix(1000, 0)
	l := New(Config{Mode: GroupCommit, MaxGroupDelay: 3 * ms, SlowDiskTime: 10 * ms, SegmentBytes: 1 << 20, MaxPendingBytes: 1 << 20}, 1)
	open := func() {
		t.Helper()
		if step, _, _ := l.NextStep(now); step != OpenSegment {
			t.Fatal("NextStep: want OpenSegment")
		}
	}
	write := func() {
		t.Helper()
		l.Add(newFrame(t, l.NextSeq(), 20))
		if step, _, _ := l.NextStep(now); step != WriteFrames {
			t.Fatal("NextStep: want WriteFrames")
		}
		l.WriteCompleted(now, nil)
	}
	open()
	l.SegmentOpened(now, 100, nil)
	write()
	for _, c := range []struct{ took, waits time.Duration }{{4 * ms, ms}, {20 * ms, 3 * ms}, {0, 0}} {
		if due, _ := l.BeginSync(now); !due {
			t.Fatal("BeginSync: want an fsync without a delay on an idle disk")
		}
		now = now.Add(c.took)
		if reason, retryAfter := l.Ready(now); (reason != "") != (c.took > 10*ms) || reason != "" && retryAfter <= 0 {
			t.Errorf("after %v of an fsync: unexpected readiness: reason %q, retry after %v", c.took, reason, retryAfter)
		}
		l.SyncCompleted(now, nil)
		write()
		due, until := l.BeginSync(now)
		if c.waits > 0 && (due || until != now.Add(c.waits)) {
			t.Errorf("after an fsync of %v the next one is delayed by %v", c.took, until.Sub(now))
		}
		if now = now.Add(c.waits); due {
			l.SyncCompleted(now, nil)
			write()
		}
	}
	l.ReportFailure(now, errors.New("gone"))
	lastWait := time.Duration(0)
	for range 10 {
		_, _, until := l.NextStep(now)
		if wait := until.Sub(now); wait < lastWait || wait > maxRetryDelay || wait < minRetryDelay {
			t.Errorf("after a delay of %v the next segment is opened after %v", lastWait, wait)
		} else {
			lastWait = wait
		}
		now = until
		open()
		l.SegmentOpened(now, 0, errors.New("still"))
	}
}

func TestExpiredSegmentsByAgeSizeAndMinAge(t *testing.T) {
	now := time.Unix(1e6, 0)
	retention := Retention{MaxAge: time.Hour, MaxBytes: 250, MinAge: 10 * time.Minute}
	segmentOfAge := func(number uint64, age time.Duration) Segment { return Segment{number, 100, now.Add(-age)} }
	for _, c := range []struct {
		all     []Segment
		expired []uint64
		over    bool
	}{
		{nil, nil, false},
		{[]Segment{segmentOfAge(1, 59*time.Minute), segmentOfAge(2, time.Minute)}, nil, false},
		{[]Segment{segmentOfAge(1, time.Hour), segmentOfAge(2, time.Minute)}, []uint64{1}, false},
		{[]Segment{segmentOfAge(1, 30*time.Minute), segmentOfAge(2, 20*time.Minute), segmentOfAge(3, 0)}, []uint64{1}, false},
		{[]Segment{segmentOfAge(1, 9*time.Minute), segmentOfAge(2, 2*time.Minute), segmentOfAge(3, 0)}, nil, true}, // younger than MinAge
		{[]Segment{segmentOfAge(1, time.Minute), segmentOfAge(2, 2*time.Hour), segmentOfAge(3, 0)}, nil, true},     // the log must not have gaps
	} {
		if expired, over := retention.ExpiredSegments(now, c.all); !slices.Equal(expired, c.expired) || over != c.over {
			t.Errorf("segments %v: expired %v, over the maximum size: %v", c.all, expired, over)
		}
	}
}
