package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/ledger/commit"
	"silvertrail/internal/ledger/disk"
	"silvertrail/internal/ledger/requesthistory"
	"silvertrail/internal/ledger/segment"
)

// SegmentFile is what was found of one segment.
type SegmentFile struct {
	Name       string
	Bytes      int64
	Header     segment.Header
	Records    uint64
	Damage     []segment.Damage
	SkipReason string // why it was passed over, if it was
	// Torn tells that what is damaged is the end of what a process wrote: of records that it was writing as it ended.
	Torn bool

	number      uint64                      // by its name
	incarnation *requesthistory.Incarnation // that wrote it
	lastRecord  time.Duration               // of its last record
}

// segmentNumber is the segment's number, by its name where its header can't be read.
func (f *SegmentFile) segmentNumber() uint64 {
	if f.Header.Salt == 0 {
		return f.number
	}
	return f.Header.Number
}

// Report is what reading a log has found.
type Report struct {
	LedgerID     uint64
	Files        []SegmentFile
	Losses       []requesthistory.DataLoss
	Incarnations []*requesthistory.Incarnation
	Records      uint64
	LastSeq      uint64 // number of the last record
	lastSegment  uint64 // of the last segment
}

// IsSound tells that nothing is lost or damaged but torn ends.
func (r *Report) IsSound() bool {
	for _, f := range r.Files {
		if f.SkipReason != "" && f.SkipReason != neverUsed || len(f.Damage) > 0 && !f.Torn {
			return false
		}
	}
	return !slices.ContainsFunc(r.Losses, func(l requesthistory.DataLoss) bool { return !l.Torn })
}

// deferredRecord is a record of a segment that was not trusted to its end: what the next one does not have again.
type deferredRecord struct {
	seq uint64
	r   segment.Record
}

// reader is one pass over a log.
type reader struct {
	index    *requesthistory.Index
	deferred []deferredRecord
	report   *Report
}

// Read reads a log, gives out each request, and reports. Live tells that a process is writing it. Memory is bounded by the
// requests that were in work at one time, whatever the log's size.
func Read(d disk.Disk, live bool, give func(*requesthistory.Request)) (*Report, error) {
	out := &Report{}
	names, err := d.List()
	if err != nil {
		return nil, err
	}
	var files []SegmentFile
	for _, n := range names {
		base, is := strings.CutSuffix(n, ".seg")
		number, err := strconv.ParseUint(base, 16, 64)
		if !is || err != nil {
			continue
		}
		out.lastSegment = max(out.lastSegment, number)
		f := SegmentFile{Name: n, number: number}
		f.Bytes, _ = d.Size(n)
		if f.Header, err = readHeader(d, n); err != nil {
			if f.SkipReason = err.Error(); errors.Is(err, segment.ErrForeign) && isBlank(d, n) {
				f.SkipReason = neverUsed
			}
		}
		files = append(files, f)
	}
	slices.SortFunc(files, func(a, b SegmentFile) int {
		if c := cmp.Compare(a.segmentNumber(), b.segmentNumber()); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	passed := map[uint64]string{} // by salt
	for i := range files {
		f := &files[i]
		switch first, twice := passed[f.Header.Salt]; {
		case f.SkipReason != "":
		case twice:
			f.SkipReason = "a copy of " + first
		case out.LedgerID != 0 && f.Header.LedgerID != out.LedgerID:
			f.SkipReason = "of another ledger"
		default:
			out.LedgerID = f.Header.LedgerID
			out.lastSegment = max(out.lastSegment, f.Header.Number)
			passed[f.Header.Salt] = f.Name
		}
	}
	r := &reader{report: out}
	r.index = requesthistory.NewIndex(give, func(l requesthistory.DataLoss) { out.Losses = append(out.Losses, l) })
	for i := range files {
		f := &files[i]
		if f.SkipReason != "" {
			continue
		}
		next := uint64(0) // the first record of the process's next segment
		isLast := true
		for _, o := range files[i+1:] {
			if o.SkipReason == "" {
				isLast = false
				if o.Header.Process == f.Header.Process {
					next = o.Header.FirstSeq
				}
				break
			}
		}
		r.readFile(d, f, next, live && isLast)
	}
	r.flushDeferred()
	r.index.Finish(live)
	for i := range files {
		f := &files[i]
		f.Torn = len(f.Damage) > 0 && !slices.ContainsFunc(f.Damage, func(d segment.Damage) bool {
			if d.IsHeader { // of a segment with no record it was being written
				return f.Records > 0
			}
			return d.Before != 0 && max(d.After+1, f.Header.FirstSeq) <= f.incarnation.DurableTo
		})
	}
	out.Files = files
	return out, nil
}

func readHeader(d disk.Disk, name string) (segment.Header, error) {
	f, err := d.Open(name)
	if err != nil {
		return segment.Header{}, err
	}
	defer f.Close()
	s, err := segment.NewScanner(f)
	if err != nil {
		return segment.Header{}, err
	}
	return s.Header, nil
}

// neverUsed is the note of a segment in which no record was ever written: its process ended, or its disk failed, before its
// header was safe.
const neverUsed = "never used"

// isBlank tells whether nothing stands behind the place of a file's header.
func isBlank(d disk.Disk, name string) bool {
	f, err := d.Open(name)
	if err != nil {
		return false
	}
	defer f.Close()
	b := make([]byte, 64<<10)
	for skip := segment.HeaderReserve; ; {
		n, err := io.ReadFull(f, b)
		for _, c := range b[min(skip, n):n] {
			if c != 0 {
				return false
			}
		}
		skip = max(skip-n, 0)
		if err != nil {
			return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		}
	}
}

// readFile reads one segment's records. From next on they count only where the next segment does not have them.
func (r *reader) readFile(d disk.Disk, f *SegmentFile, next uint64, live bool) {
	in, err := d.Open(f.Name)
	var s *segment.Scanner
	if err == nil {
		defer in.Close()
		s, err = segment.NewScanner(in)
	}
	if err != nil { // it could be read a moment ago
		f.SkipReason = err.Error()
		return
	}
	if l := r.index.Incarnation(); l == nil || l.Process != f.Header.Process {
		r.flushDeferred()
	}
	r.index.BeginSegment(&f.Header)
	life := r.index.Incarnation()
	if !slices.Contains(r.report.Incarnations, life) {
		r.report.Incarnations = append(r.report.Incarnations, life)
	}
	for {
		seq, rec, ok := s.Next()
		if !ok {
			break
		}
		f.Records++
		r.report.LastSeq = max(r.report.LastSeq, seq)
		if next != 0 && seq >= next {
			r.deferred = append(r.deferred, deferredRecord{seq, *rec})
			continue
		}
		r.addDeferred(seq)
		if seq >= r.index.Next() {
			r.report.Records++
		}
		r.index.AddRecord(seq, rec)
	}
	f.incarnation, f.lastRecord = life, life.LastRecord
	for _, dam := range s.Damage {
		if next != 0 && dam.After+1 >= next && dam.After != 0 || live && dam.Before == 0 {
			continue // written again in the next segment, or being written
		}
		f.Damage = append(f.Damage, dam)
	}
}

// addDeferred takes what an untrusted segment had of the records before one.
func (r *reader) addDeferred(seq uint64) {
	for len(r.deferred) > 0 && r.deferred[0].seq <= seq {
		if h := r.deferred[0]; h.seq < seq {
			r.index.AddRecord(h.seq, &h.r)
		}
		r.deferred = r.deferred[1:]
	}
}

func (r *reader) flushDeferred() {
	slices.SortFunc(r.deferred, func(a, b deferredRecord) int { return cmp.Compare(a.seq, b.seq) })
	for _, h := range r.deferred {
		r.index.AddRecord(h.seq, &h.r)
	}
	r.deferred = nil
}

// recoverState takes from the log what the rules need to know: where keys may have run, and whether records are lost that could
// have told of more.
func (l *Ledger) recoverState(boot string) error {
	o := l.options.Load()
	now := requesthistory.Clock{Time: time.Now(), BootID: boot, SinceBoot: l.startedSinceBoot, MaxError: o.MaxClockError}
	l.recovered, l.fingerprints = idempotency.New(o.MaxKeys), map[idempotency.KeyID]idempotency.Fingerprint{}
	began := time.Now()
	report, err := Read(l.disk, false, func(r *requesthistory.Request) {
		r.EachKeyRecord(now, func(k idempotency.Record) {
			l.recovered.Merge(now.Time, k)
			if r.Fingerprint != (idempotency.Fingerprint{}) {
				l.fingerprints[k.ID] = r.Fingerprint
			}
		})
	})
	if err != nil {
		return err
	}
	l.report = *report
	if l.recovered.Len() > 0 {
		l.hasRecovered.Store(true)
	}
	l.segmentNumber, l.header.LedgerID = report.lastSegment, report.LedgerID
	if l.header.LedgerID == 0 {
		l.header.LedgerID = randomID()
	}
	for _, loss := range report.Losses {
		if until := loss.UncertainUntil(now, o.Retention.MinAge); until.After(l.uncertainUntil) {
			l.uncertainUntil = until
		}
	}
	for _, f := range report.Files {
		if f.SkipReason != "" && f.SkipReason != neverUsed && f.Header.Salt == 0 { // what it held, and when, is not known
			l.uncertainUntil = now.Time.Add(o.Retention.MinAge)
		}
		l.segments = append(l.segments, commit.Segment{Number: f.number, Bytes: f.Bytes, LastRecordAt: lastWritten(now, &f)})
		for _, d := range f.Damage {
			l.log.Warn("ledger: damage", "segment", f.Name, "what", d.String(), "torn_end", f.Torn)
		}
		if f.SkipReason != "" {
			l.log.Warn("ledger: a segment is passed over", "segment", f.Name, "why", f.SkipReason)
		}
	}
	if n := len(report.Incarnations); n > 0 {
		last := report.Incarnations[n-1]
		if last.Mode == commit.OSBuffered.String() && !last.CleanShutdown && last.BootID != boot { // what the system had not written is lost with it
			l.uncertainUntil = now.Time.Add(o.Retention.MinAge)
		}
	}
	for _, loss := range report.Losses {
		l.log.Warn("ledger: records are missing", "from", loss.From, "to", loss.To, "after", loss.After, "torn_end", loss.Torn)
	}
	if !l.uncertainUntil.IsZero() {
		l.log.Error("ledger: records are lost that may have told of keys", "until", l.uncertainUntil, "served_all_the_same", o.IgnoreLosses)
	}
	l.log.Info("ledger: read", "records", report.Records, "segments", len(report.Files), "keys", l.recovered.Len(), "took", time.Since(began).Round(time.Millisecond))
	return nil
}

// lastWritten returns when a segment's last record was written, as a time of this process's clock. One that can't be placed
// counts as young.
func lastWritten(now requesthistory.Clock, f *SegmentFile) time.Time {
	if f.incarnation == nil {
		return now.Time
	}
	least, _, sure := now.Ago(f.incarnation, f.lastRecord)
	if !sure {
		return now.Time
	}
	return now.Time.Add(-least)
}

// ErrNoLedger says that a directory holds no ledger.
var ErrNoLedger = errors.New("no segment of a ledger is here")

// ReadDir reads a log's directory, of a process that runs or not, or a copy.
func ReadDir(path string, give func(*requesthistory.Request)) (r *Report, live bool, err error) {
	d := disk.Dir(path)
	live = d.IsLocked()
	if r, err = Read(d, live, give); err != nil {
		return nil, live, fmt.Errorf("ledger: %w", err)
	}
	if len(r.Files) == 0 {
		return nil, live, fmt.Errorf("ledger: %s: %w", path, ErrNoLedger)
	}
	return r, live, nil
}
