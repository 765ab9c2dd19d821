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
	SkipReason string // empty: it was read
	// Torn means that the damage is the end of what a process wrote: records that it was writing as it ended.
	Torn bool

	number      uint64 // by its name
	incarnation *requesthistory.Incarnation
	lastRecord  time.Duration
}

// segmentNumber returns the segment's number, by its name if its header cannot be read.
func (f *SegmentFile) segmentNumber() uint64 {
	if f.Header.Salt == 0 {
		return f.number
	}
	return f.Header.Number
}

// isTorn reports whether all damage is at the end of what the process wrote.
func (f *SegmentFile) isTorn() bool {
	return len(f.Damage) > 0 && !slices.ContainsFunc(f.Damage, func(d segment.Damage) bool {
		if d.IsHeader { // of a segment without records it was being written
			return f.Records > 0
		}
		return d.Before != 0 && max(d.After+1, f.Header.FirstSeq) <= f.incarnation.DurableTo
	})
}

// Report is the result of reading a log.
type Report struct {
	LedgerID     uint64
	Files        []SegmentFile
	Losses       []requesthistory.DataLoss
	Incarnations []*requesthistory.Incarnation
	Records      uint64
	LastSeq      uint64
	lastSegment  uint64 // number
}

// IsSound reports whether nothing is lost or damaged except torn ends.
func (r *Report) IsSound() bool {
	for _, f := range r.Files {
		if f.SkipReason != "" && f.SkipReason != neverUsed || len(f.Damage) > 0 && !f.Torn {
			return false
		}
	}
	return !slices.ContainsFunc(r.Losses, func(l requesthistory.DataLoss) bool { return !l.Torn })
}

// Read reads a log, and calls onRequest for each request. Running means that a process is writing it. Memory is bounded by the
// requests that were in progress at one time, whatever the size of the log.
func Read(d disk.Disk, running bool, onRequest func(*requesthistory.Request)) (*Report, error) {
	report := &Report{}
	files, err := report.listFiles(d)
	if err != nil {
		return nil, err
	}
	report.selectFiles(files)
	r := &reader{disk: d, report: report}
	r.index = requesthistory.NewIndex(onRequest, func(l requesthistory.DataLoss) { report.Losses = append(report.Losses, l) })
	r.readAll(files, running)
	for i := range files {
		files[i].Torn = files[i].isTorn()
	}
	report.Files = files
	return report, nil
}

// listFiles returns the segments of a directory in order, with their headers.
func (r *Report) listFiles(d disk.Disk) ([]SegmentFile, error) {
	names, err := d.List()
	if err != nil {
		return nil, err
	}
	var files []SegmentFile
	for _, name := range names {
		base, isSegment := strings.CutSuffix(name, segmentSuffix)
		number, err := strconv.ParseUint(base, 16, 64)
		if !isSegment || err != nil {
			continue
		}
		r.lastSegment = max(r.lastSegment, number)
		f := SegmentFile{Name: name, number: number}
		f.Bytes, _ = d.Size(name)
		f.Header, err = readHeader(d, name)
		switch {
		case errors.Is(err, segment.ErrForeign) && isBlank(d, name):
			f.SkipReason = neverUsed
		case err != nil:
			f.SkipReason = err.Error()
		}
		files = append(files, f)
	}
	slices.SortFunc(files, func(a, b SegmentFile) int {
		return cmp.Or(cmp.Compare(a.segmentNumber(), b.segmentNumber()), strings.Compare(a.Name, b.Name))
	})
	return files, nil
}

// selectFiles skips copies of segments, and segments of other ledgers.
func (r *Report) selectFiles(files []SegmentFile) {
	nameBySalt := map[uint64]string{}
	for i := range files {
		f := &files[i]
		original, isCopy := nameBySalt[f.Header.Salt]
		switch {
		case f.SkipReason != "":
		case isCopy:
			f.SkipReason = "a copy of " + original
		case r.LedgerID != 0 && f.Header.LedgerID != r.LedgerID:
			f.SkipReason = "of another ledger"
		default:
			r.LedgerID = f.Header.LedgerID
			r.lastSegment = max(r.lastSegment, f.Header.Number)
			nameBySalt[f.Header.Salt] = f.Name
		}
	}
}

func readHeader(d disk.Disk, name string) (segment.Header, error) {
	file, err := d.Open(name)
	if err != nil {
		return segment.Header{}, err
	}
	defer file.Close()
	s, err := segment.NewScanner(file)
	if err != nil {
		return segment.Header{}, err
	}
	return s.Header, nil
}

// neverUsed is the skip reason of a segment in which no record was ever written: its process ended, or its disk failed, before
// its header was durable.
const neverUsed = "never used"

// blankReadBytes is how much of a file is read at once.
const blankReadBytes = 64 << 10

// isBlank reports whether a file holds nothing but zeros after the place of its header.
func isBlank(d disk.Disk, name string) bool {
	file, err := d.Open(name)
	if err != nil {
		return false
	}
	defer file.Close()
	buffer := make([]byte, blankReadBytes)
	for skip := segment.HeaderReserve; ; {
		n, err := io.ReadFull(file, buffer)
		for _, b := range buffer[min(skip, n):n] {
			if b != 0 {
				return false
			}
		}
		skip = max(skip-n, 0)
		if err != nil {
			return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		}
	}
}

// ErrNoLedger means that a directory holds no ledger.
var ErrNoLedger = errors.New("no segment of a ledger is here")

// ReadDir reads a log's directory, or a copy of it. Running means that a process is writing it.
func ReadDir(path string, onRequest func(*requesthistory.Request)) (report *Report, running bool, err error) {
	d := disk.Dir(path)
	running = d.IsLocked()
	if report, err = Read(d, running, onRequest); err != nil {
		return nil, running, fmt.Errorf("ledger: %w", err)
	}
	if len(report.Files) == 0 {
		return nil, running, fmt.Errorf("ledger: %s: %w", path, ErrNoLedger)
	}
	return report, running, nil
}
