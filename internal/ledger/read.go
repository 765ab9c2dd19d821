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
	"silvertrail/internal/ledger/account"
	"silvertrail/internal/ledger/commit"
	"silvertrail/internal/ledger/disk"
	"silvertrail/internal/ledger/segment"
)

// File is what was found of one segment.
type File struct {
	Name    string
	Bytes   int64
	Header  segment.Header
	Records uint64
	Damage  []segment.Damage
	Note    string // why it was passed over, if it was
	// Torn tells that what is damaged is the end of what a process wrote: of records that it was writing as it ended.
	Torn bool

	number uint64        // by its name
	life   *account.Life // that wrote it
	last   time.Duration // of its last record
}

// order is the segment's number, by its name where its header can't be read.
func (f *File) order() uint64 {
	if f.Header.Salt == 0 {
		return f.number
	}
	return f.Header.Number
}

// Report is what reading a log has found.
type Report struct {
	Log     uint64
	Files   []File
	Losses  []account.Loss
	Lives   []*account.Life
	Records uint64
	Last    uint64 // number of the last record
	number  uint64 // of the last segment
}

// Sound tells that nothing is lost or damaged but torn ends.
func (r *Report) Sound() bool {
	for _, f := range r.Files {
		if f.Note != "" && f.Note != unused || len(f.Damage) > 0 && !f.Torn {
			return false
		}
	}
	return !slices.ContainsFunc(r.Losses, func(l account.Loss) bool { return !l.Torn })
}

// held is a record of a segment that was not trusted to its end: what the next one does not have again.
type held struct {
	seq uint64
	r   segment.Record
}

// reading is one pass over a log.
type reading struct {
	book *account.Book
	rest []held
	out  *Report
}

// Read reads a log, gives out each request, and reports. Live tells that a process is writing it. Memory is bounded by the
// requests that were in work at one time, whatever the log's size.
func Read(d disk.Disk, live bool, give func(*account.Request)) (*Report, error) {
	out := &Report{}
	names, err := d.List()
	if err != nil {
		return nil, err
	}
	var files []File
	for _, n := range names {
		base, is := strings.CutSuffix(n, ".seg")
		number, err := strconv.ParseUint(base, 16, 64)
		if !is || err != nil {
			continue
		}
		out.number = max(out.number, number)
		f := File{Name: n, number: number}
		f.Bytes, _ = d.Size(n)
		if f.Header, err = headerOf(d, n); err != nil {
			if f.Note = err.Error(); errors.Is(err, segment.ErrForeign) && blank(d, n) {
				f.Note = unused
			}
		}
		files = append(files, f)
	}
	slices.SortFunc(files, func(a, b File) int {
		if c := cmp.Compare(a.order(), b.order()); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	passed := map[uint64]string{} // by salt
	for i := range files {
		f := &files[i]
		switch first, twice := passed[f.Header.Salt]; {
		case f.Note != "":
		case twice:
			f.Note = "a copy of " + first
		case out.Log != 0 && f.Header.Log != out.Log:
			f.Note = "of another ledger"
		default:
			out.Log = f.Header.Log
			out.number = max(out.number, f.Header.Number)
			passed[f.Header.Salt] = f.Name
		}
	}
	r := &reading{out: out}
	r.book = account.NewBook(give, func(l account.Loss) { out.Losses = append(out.Losses, l) })
	for i := range files {
		f := &files[i]
		if f.Note != "" {
			continue
		}
		next := uint64(0) // the first record of the process's next segment
		isLast := true
		for _, o := range files[i+1:] {
			if o.Note == "" {
				isLast = false
				if o.Header.Process == f.Header.Process {
					next = o.Header.First
				}
				break
			}
		}
		r.file(d, f, next, live && isLast)
	}
	r.flush()
	r.book.End(live)
	for i := range files {
		f := &files[i]
		f.Torn = len(f.Damage) > 0 && !slices.ContainsFunc(f.Damage, func(d segment.Damage) bool {
			if d.Header { // of a segment with no record it was being written
				return f.Records > 0
			}
			return d.Before != 0 && max(d.After+1, f.Header.First) <= f.life.Safe
		})
	}
	out.Files = files
	return out, nil
}

func headerOf(d disk.Disk, name string) (segment.Header, error) {
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

// unused is the note of a segment in which no record was ever written: its process ended, or its disk failed, before its
// header was safe.
const unused = "never used"

// blank tells whether nothing stands behind the place of a file's header.
func blank(d disk.Disk, name string) bool {
	f, err := d.Open(name)
	if err != nil {
		return false
	}
	defer f.Close()
	b := make([]byte, 64<<10)
	for skip := segment.HeaderRoom; ; {
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

// file reads one segment's records. From next on they count only where the next segment does not have them.
func (r *reading) file(d disk.Disk, f *File, next uint64, live bool) {
	in, err := d.Open(f.Name)
	var s *segment.Scanner
	if err == nil {
		defer in.Close()
		s, err = segment.NewScanner(in)
	}
	if err != nil { // it could be read a moment ago
		f.Note = err.Error()
		return
	}
	if l := r.book.Life(); l == nil || l.Process != f.Header.Process {
		r.flush()
	}
	r.book.Segment(&f.Header)
	life := r.book.Life()
	if !slices.Contains(r.out.Lives, life) {
		r.out.Lives = append(r.out.Lives, life)
	}
	for {
		seq, rec, ok := s.Next()
		if !ok {
			break
		}
		f.Records++
		r.out.Last = max(r.out.Last, seq)
		if next != 0 && seq >= next {
			r.rest = append(r.rest, held{seq, *rec})
			continue
		}
		r.before(seq)
		if seq >= r.book.Next() {
			r.out.Records++
		}
		r.book.Record(seq, rec)
	}
	f.life, f.last = life, life.Last
	for _, dam := range s.Damage {
		if next != 0 && dam.After+1 >= next && dam.After != 0 || live && dam.Before == 0 {
			continue // written again in the next segment, or being written
		}
		f.Damage = append(f.Damage, dam)
	}
}

// before takes what an untrusted segment had of the records before one.
func (r *reading) before(seq uint64) {
	for len(r.rest) > 0 && r.rest[0].seq <= seq {
		if h := r.rest[0]; h.seq < seq {
			r.book.Record(h.seq, &h.r)
		}
		r.rest = r.rest[1:]
	}
}

func (r *reading) flush() {
	slices.SortFunc(r.rest, func(a, b held) int { return cmp.Compare(a.seq, b.seq) })
	for _, h := range r.rest {
		r.book.Record(h.seq, &h.r)
	}
	r.rest = nil
}

// recover takes from the log what the rules need to know: where keys may have run, and whether records are lost that could
// have told of more.
func (l *Ledger) recover(boot string) error {
	o := l.options.Load()
	now := account.Now{Time: time.Now(), Boot: boot, Since: l.beganAt, Error: o.ClockOff}
	l.recovered, l.prints = idempotency.New(o.Keys), map[idempotency.KeyID]idempotency.Fingerprint{}
	began := time.Now()
	report, err := Read(l.disk, false, func(r *account.Request) {
		r.Keys(now, func(k idempotency.Record) {
			l.recovered.Merge(now.Time, k)
			if r.Print != (idempotency.Fingerprint{}) {
				l.prints[k.ID] = r.Print
			}
		})
	})
	if err != nil {
		return err
	}
	l.found = *report
	if l.recovered.Len() > 0 {
		l.recalls.Store(true)
	}
	l.number, l.head.Log = report.number, report.Log
	if l.head.Log == 0 {
		l.head.Log = newNumber()
	}
	for _, loss := range report.Losses {
		if until := loss.Doubt(now, o.Keeping.Longest); until.After(l.doubt) {
			l.doubt = until
		}
	}
	for _, f := range report.Files {
		if f.Note != "" && f.Note != unused && f.Header.Salt == 0 { // what it held, and when, is not known
			l.doubt = now.Time.Add(o.Keeping.Longest)
		}
		l.files = append(l.files, commit.Segment{Number: f.number, Bytes: f.Bytes, Last: aged(now, &f)})
		for _, d := range f.Damage {
			l.log.Warn("ledger: damage", "segment", f.Name, "what", d.String(), "torn_end", f.Torn)
		}
		if f.Note != "" {
			l.log.Warn("ledger: a segment is passed over", "segment", f.Name, "why", f.Note)
		}
	}
	if n := len(report.Lives); n > 0 {
		last := report.Lives[n-1]
		if last.Mode == commit.OS.String() && !last.Closed && last.Boot != boot { // what the system had not written is lost with it
			l.doubt = now.Time.Add(o.Keeping.Longest)
		}
	}
	for _, loss := range report.Losses {
		l.log.Warn("ledger: records are missing", "from", loss.From, "to", loss.To, "after", loss.After, "torn_end", loss.Torn)
	}
	if !l.doubt.IsZero() {
		l.log.Error("ledger: records are lost that may have told of keys", "until", l.doubt, "served_all_the_same", o.Trusting)
	}
	l.log.Info("ledger: read", "records", report.Records, "segments", len(report.Files), "keys", l.recovered.Len(), "took", time.Since(began).Round(time.Millisecond))
	return nil
}

// aged returns when a segment's last record was written, as a time of this process's clock. One that can't be placed
// counts as young.
func aged(now account.Now, f *File) time.Time {
	if f.life == nil {
		return now.Time
	}
	least, _, sure := now.Ago(f.life, f.last)
	if !sure {
		return now.Time
	}
	return now.Time.Add(-least)
}

// ErrNone says that a directory holds no ledger.
var ErrNone = errors.New("no segment of a ledger is here")

// ReadDir reads a log's directory, of a process that runs or not, or a copy.
func ReadDir(path string, give func(*account.Request)) (r *Report, live bool, err error) {
	d := disk.Dir(path)
	live = d.Held()
	if r, err = Read(d, live, give); err != nil {
		return nil, live, fmt.Errorf("ledger: %w", err)
	}
	if len(r.Files) == 0 {
		return nil, live, fmt.Errorf("ledger: %s: %w", path, ErrNone)
	}
	return r, live, nil
}
