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

// SegmentFile is the result of reading one segment's file.
type SegmentFile struct {
	Name       string
	Bytes      int64
	Header     segment.Header
	Records    uint64
	Damage     []segment.Damage
	SkipReason string // why the segment was not read; empty if it was
	// Torn means that all damage is in records that a process was writing when it ended.
	Torn bool

	number      uint64 // from the file's name
	incarnation *requesthistory.Incarnation
	lastRecord  time.Duration
}

// segmentNumber returns the segment's number from its header, or from the file's name if the header cannot be read.
func (f *SegmentFile) segmentNumber() uint64 {
	if f.Header.Salt == 0 {
		return f.number
	}
	return f.Header.Number
}

// isTorn reports whether all damage is at the end of the process's records, after the last one known to be durable.
func (f *SegmentFile) isTorn() bool {
	return len(f.Damage) > 0 && !slices.ContainsFunc(f.Damage, func(d segment.Damage) bool {
		if d.IsHeader { // a segment without records may have ended while its header was written
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
	lastSegment  uint64 // highest segment number
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

// Read reads a log, and calls onRequest for each request. Running means that a process is writing the log. Memory use is bounded by
// the number of requests that were in progress at one time, and does not depend on the size of the log.
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
		case errors.Is(err, segment.ErrInvalidHeader) && isBlank(d, name):
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

// selectFiles marks copies of segments, and segments of other ledgers, as skipped.
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

// neverUsed is the skip reason of a segment without records whose header was never durable, because the process ended or the disk
// failed before.
const neverUsed = "never used"

// blankReadBytes is the size of the buffer with which isBlank reads a file.
const blankReadBytes = 64 << 10

// isBlank reports whether a file contains only zeros after the space reserved for its header.
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

// ErrNoLedger means that a directory contains no ledger.
var ErrNoLedger = errors.New("the directory contains no ledger segments")

// ReadDir reads a log's directory, or a copy of it. Running means that a process is writing the log.
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
