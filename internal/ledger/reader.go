package ledger

import (
	"cmp"
	"slices"

	"silvertrail/internal/ledger/disk"
	"silvertrail/internal/ledger/requesthistory"
	"silvertrail/internal/ledger/segment"
)

// deferredRecord is a record at the end of a segment, from the first sequence number of the process's next segment on. The process
// wrote such records again after an error. A deferred record counts only if the next segment does not contain it.
type deferredRecord struct {
	seq    uint64
	record segment.Record
}

// reader is the state of one pass over a log.
type reader struct {
	disk     disk.Disk
	index    *requesthistory.Index
	deferred []deferredRecord
	report   *Report
}

// readAll reads the segments that are not skipped.
func (r *reader) readAll(files []SegmentFile, running bool) {
	for i := range files {
		if files[i].SkipReason != "" {
			continue
		}
		nextSeq := uint64(0) // first sequence number of the process's next segment; 0: none follows
		next := nextFile(files[i+1:])
		if next != nil && next.Header.Process == files[i].Header.Process {
			nextSeq = next.Header.FirstSeq
		}
		r.readFile(&files[i], nextSeq, running && next == nil)
	}
	r.flushDeferred()
	r.index.Finish(running)
}

// nextFile returns the first file that is not skipped, or nil.
func nextFile(files []SegmentFile) *SegmentFile {
	i := slices.IndexFunc(files, func(f SegmentFile) bool { return f.SkipReason == "" })
	if i < 0 {
		return nil
	}
	return &files[i]
}

// readFile reads one segment's records. Records from nextSeq on count only if the next segment does not contain them.
func (r *reader) readFile(f *SegmentFile, nextSeq uint64, running bool) {
	file, err := r.disk.Open(f.Name)
	var s *segment.Scanner
	if err == nil {
		defer file.Close()
		s, err = segment.NewScanner(file)
	}
	if err != nil { // the header was readable when the files were listed
		f.SkipReason = err.Error()
		return
	}
	if current := r.index.Incarnation(); current == nil || current.Process != f.Header.Process {
		r.flushDeferred()
	}
	r.index.BeginSegment(&f.Header)
	f.incarnation = r.index.Incarnation()
	if !slices.Contains(r.report.Incarnations, f.incarnation) {
		r.report.Incarnations = append(r.report.Incarnations, f.incarnation)
	}
	r.readRecords(s, f, nextSeq)
	f.lastRecord = f.incarnation.LastRecord
	for _, d := range s.Damage {
		isRewritten := nextSeq != 0 && d.After+1 >= nextSeq && d.After != 0
		isBeingWritten := running && d.Before == 0
		if !isRewritten && !isBeingWritten {
			f.Damage = append(f.Damage, d)
		}
	}
}

func (r *reader) readRecords(s *segment.Scanner, f *SegmentFile, nextSeq uint64) {
	for {
		seq, record, ok := s.Next()
		if !ok {
			return
		}
		f.Records++
		r.report.LastSeq = max(r.report.LastSeq, seq)
		if nextSeq != 0 && seq >= nextSeq {
			r.deferred = append(r.deferred, deferredRecord{seq, *record})
			continue
		}
		r.addDeferred(seq)
		if seq >= r.index.NextSeq() {
			r.report.Records++
		}
		r.index.AddRecord(seq, record)
	}
}

// addDeferred adds the deferred records before a record, and drops a deferred record with the same sequence number.
func (r *reader) addDeferred(seq uint64) {
	for len(r.deferred) > 0 && r.deferred[0].seq <= seq {
		first := r.deferred[0]
		if first.seq < seq {
			r.index.AddRecord(first.seq, &first.record)
		}
		r.deferred = r.deferred[1:]
	}
}

// flushDeferred adds all deferred records.
func (r *reader) flushDeferred() {
	slices.SortFunc(r.deferred, func(a, b deferredRecord) int { return cmp.Compare(a.seq, b.seq) })
	for i := range r.deferred {
		r.index.AddRecord(r.deferred[i].seq, &r.deferred[i].record)
	}
	r.deferred = nil
}
