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

func frame(t interface{ Fatal(...any) }, seq uint64, n int) []byte {
	b, err := segment.AppendFrame(nil, seq, &segment.Record{Kind: segment.Received, ID: strings.Repeat("x", n)})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func numbers(frames []byte) (out []uint64) {
	for len(frames) > 0 {
		seq, size := segment.FirstFrame(frames)
		out, frames = append(out, seq), frames[size:]
	}
	return out
}

// part is a segment as a disk has it: what was written to it, and how much of that an fsync has made safe.
type part struct {
	written []uint64
	safe    int
}

// Whatever writes, fsyncs and new segments end in what way and order: what is called durable is safe in some segment, in
// order and without a hole; what is called written is written; nothing is written to a segment after an error in it; each
// segment keeps to its bound; and once the disk is well again all that was added is made durable.
func TestAnyTroubles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		c := Config{Mode: rapid.SampledFrom([]Mode{GroupCommit, EachRecord, OSBuffered}).Draw(t, "mode"), MaxGroupDelay: 3 * time.Millisecond, SlowDiskTime: 10 * time.Millisecond,
			SegmentBytes: int64(rapid.IntRange(64, 400).Draw(t, "segment")), MaxPendingBytes: rapid.IntRange(200, 2000).Draw(t, "held")}
		l := New(c, 1)
		var parts []*part
		var writing []uint64 // what is under way
		var of *part
		opening, inSync := false, false
		syncUpTo := 0
		added := map[uint64]bool{}
		bad := errors.New("bad disk")
		well := false
		step := func(kind string) {
			err := error(nil)
			if !well && rapid.IntRange(0, 4).Draw(t, "trouble") == 0 {
				err = bad
			}
			switch kind {
			case "add":
				seq := l.NextSeq()
				if l.Add(frame(t, seq, rapid.IntRange(1, 40).Draw(t, "size"))) {
					added[seq] = true
				}
			case "work":
				if writing != nil || opening {
					return
				}
				s, frames, _ := l.NextStep(now)
				switch s {
				case OpenSegment:
					if inSync {
						t.Fatal("a segment is opened while the one before is synced")
					}
					opening = true
				case WriteFrames:
					writing = numbers(frames)
				}
			case "worked":
				switch {
				case opening:
					opening = false
					l.SegmentOpened(now, 32, err)
					if err == nil {
						parts = append(parts, &part{})
					}
				case writing != nil:
					p := parts[len(parts)-1]
					if err == nil {
						p.written = append(p.written, writing...)
					} else {
						p.written = append(p.written, writing[:len(writing)/2]...)
					}
					writing = nil
					l.WriteCompleted(now, err)
				}
			case "sync":
				if inSync || opening {
					return
				}
				if due, _ := l.BeginSync(now); due {
					inSync, of = true, parts[len(parts)-1]
					syncUpTo = len(of.written)
				}
			case "synced":
				if !inSync {
					return
				}
				inSync = false
				if err == nil {
					of.safe = max(of.safe, syncUpTo)
				}
				l.SyncCompleted(now, err)
			case "time":
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			}
		}
		check := func() {
			safe, written := map[uint64]bool{}, map[uint64]bool{}
			for _, p := range parts {
				if !slices.IsSorted(p.written) {
					t.Fatalf("out of order: %v", p.written)
				}
				for i, seq := range p.written {
					written[seq] = true
					safe[seq] = safe[seq] || i < p.safe
				}
			}
			for seq := range added {
				if seq <= l.Durable() && (c.Mode != OSBuffered && !safe[seq] || !written[seq]) {
					t.Fatalf("%d is called durable (to %d) and is not", seq, l.Durable())
				}
				if seq <= l.Written() && !written[seq] {
					t.Fatalf("%d is called written and is not", seq)
				}
			}
			if l.Durable() > l.Written() {
				t.Fatalf("durable to %d, written to %d", l.Durable(), l.Written())
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			step(rapid.SampledFrom([]string{"add", "add", "work", "worked", "sync", "synced", "time"}).Draw(t, "step"))
			check()
		}
		well = true
		l.BeginClose()
		for range 400 {
			for _, s := range []string{"work", "worked", "sync", "synced", "time"} {
				step(s)
			}
		}
		check()
		var most uint64
		for seq := range added {
			most = max(most, seq)
		}
		if l.Written() < most || l.Durable() < most || !l.IsDone() && len(parts) > 0 {
			t.Fatalf("well again: durable to %d of %d, done %v", l.Durable(), most, l.IsDone())
		}
		if why, _ := l.Ready(now); why != "" {
			t.Fatalf("well again: %s", why)
		}
	})
}

// The times: an fsync waits a quarter of what the last one took, and for Gather at the most; a disk that takes longer than the
// patience is not counted on; after errors a new segment is tried later and later.
func TestTimes(t *testing.T) {
	ms := time.Millisecond
	now := time.Unix(1000, 0)
	l := New(Config{Mode: GroupCommit, MaxGroupDelay: 3 * ms, SlowDiskTime: 10 * ms, SegmentBytes: 1 << 20, MaxPendingBytes: 1 << 20}, 1)
	open := func() {
		t.Helper()
		if s, _, _ := l.NextStep(now); s != OpenSegment {
			t.Fatal("no segment is wanted")
		}
	}
	write := func() {
		t.Helper()
		l.Add(frame(t, l.NextSeq(), 20))
		if s, _, _ := l.NextStep(now); s != WriteFrames {
			t.Fatal("nothing is written")
		}
		l.WriteCompleted(now, nil)
	}
	open()
	l.SegmentOpened(now, 100, nil)
	write()
	for _, c := range []struct{ took, waits time.Duration }{{4 * ms, ms}, {20 * ms, 3 * ms}, {0, 0}} {
		if due, _ := l.BeginSync(now); !due {
			t.Fatal("an fsync waits on an idle disk")
		}
		now = now.Add(c.took)
		if why, back := l.Ready(now); (why != "") != (c.took > 10*ms) || why != "" && back <= 0 {
			t.Errorf("after %v: %q, %v", c.took, why, back)
		}
		l.SyncCompleted(now, nil)
		write()
		due, until := l.BeginSync(now)
		if c.waits > 0 && (due || until != now.Add(c.waits)) {
			t.Errorf("after %v the next waits until %v", c.took, until.Sub(now))
		}
		if now = now.Add(c.waits); due {
			l.SyncCompleted(now, nil)
			write()
		}
	}
	l.ReportFailure(now, errors.New("gone"))
	last := time.Duration(0)
	for range 10 {
		_, _, until := l.NextStep(now)
		if wait := until.Sub(now); wait < last || wait > maxRetryDelay || wait < minRetryDelay {
			t.Errorf("after %v a new segment is tried after %v", last, wait)
		} else {
			last = wait
		}
		now = until
		open()
		l.SegmentOpened(now, 0, errors.New("still"))
	}
}

func TestKeeping(t *testing.T) {
	now := time.Unix(1e6, 0)
	k := Retention{MaxAge: time.Hour, MaxBytes: 250, MinAge: 10 * time.Minute}
	seg := func(n uint64, age time.Duration) Segment { return Segment{n, 100, now.Add(-age)} }
	for _, c := range []struct {
		all  []Segment
		out  []uint64
		over bool
	}{
		{nil, nil, false},
		{[]Segment{seg(1, 59*time.Minute), seg(2, time.Minute)}, nil, false},
		{[]Segment{seg(1, time.Hour), seg(2, time.Minute)}, []uint64{1}, false},
		{[]Segment{seg(1, 30*time.Minute), seg(2, 20*time.Minute), seg(3, 0)}, []uint64{1}, false},
		{[]Segment{seg(1, 9*time.Minute), seg(2, 2*time.Minute), seg(3, 0)}, nil, true}, // keys need them
		{[]Segment{seg(1, time.Minute), seg(2, 2*time.Hour), seg(3, 0)}, nil, true},     // no holes
	} {
		if out, over := k.Expired(now, c.all); !slices.Equal(out, c.out) || over != c.over {
			t.Errorf("%v: %v, %v", c.all, out, over)
		}
	}
}
