package ledger

import (
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/ledger/commit"
	"silvertrail/internal/ledger/requesthistory"
)

// recoverState reads from the log where keys may have been executed, and whether lost records may have contained more keys.
func (l *Ledger) recoverState(bootID string) error {
	o := l.options.Load()
	now := requesthistory.Clock{Time: time.Now(), BootID: bootID, SinceBoot: l.startedSinceBoot, MaxError: o.MaxClockError}
	l.recovered = idempotency.New(o.MaxKeys)
	l.fingerprints = map[idempotency.KeyID]idempotency.Fingerprint{}
	started := time.Now()
	report, err := Read(l.disk, false, func(r *requesthistory.Request) { l.recoverKeys(now, r) })
	if err != nil {
		return err
	}
	l.report = *report
	l.hasRecovered.Store(l.recovered.Len() > 0)
	l.segmentNumber, l.header.LedgerID = report.lastSegment, report.LedgerID
	if l.header.LedgerID == 0 {
		l.header.LedgerID = randomID()
	}
	for i := range report.Files {
		f := &report.Files[i]
		l.segments = append(l.segments, commit.Segment{Number: f.number, Bytes: f.Bytes, LastRecordAt: lastWritten(now, f)})
	}
	l.uncertainUntil = report.uncertainUntil(now, o.Retention.MinAge)
	l.logReport(report)
	if !l.uncertainUntil.IsZero() {
		l.log.Error("lost records may have contained keys", "until", l.uncertainUntil, "served_all_the_same", o.IgnoreLosses)
	}
	l.log.Info("log read", "records", report.Records, "segments", len(report.Files), "keys", l.recovered.Len(), "took", time.Since(started).Round(time.Millisecond))
	return nil
}

// recoverKeys remembers the key of a request whose attempts may have run, for each place where they may have.
func (l *Ledger) recoverKeys(now requesthistory.Clock, r *requesthistory.Request) {
	r.EachKeyRecord(now, func(record idempotency.Record) {
		l.recovered.Merge(now.Time, record)
		if r.Fingerprint != (idempotency.Fingerprint{}) {
			l.fingerprints[record.ID] = r.Fingerprint
		}
	})
}

// uncertainUntil returns until when endpoints may remember keys whose records are lost. The zero time means that there are none.
func (r *Report) uncertainUntil(now requesthistory.Clock, maxRetention time.Duration) time.Time {
	var until time.Time
	for _, loss := range r.Losses {
		if t := loss.UncertainUntil(now, maxRetention); t.After(until) {
			until = t
		}
	}
	if r.hasUnreadableSegment() || r.lostBufferedRecords(now.BootID) {
		return now.Time.Add(maxRetention)
	}
	return until
}

// hasUnreadableSegment reports whether the header of a segment that may contain records cannot be read.
func (r *Report) hasUnreadableSegment() bool {
	for _, f := range r.Files {
		if f.SkipReason != "" && f.SkipReason != neverUsed && f.Header.Salt == 0 {
			return true
		}
	}
	return false
}

// lostBufferedRecords reports whether the machine was restarted while the operating system may have buffered records that were not
// on the disk.
func (r *Report) lostBufferedRecords(bootID string) bool {
	if len(r.Incarnations) == 0 {
		return false
	}
	last := r.Incarnations[len(r.Incarnations)-1]
	return last.Mode == commit.OSBuffered.String() && !last.CleanShutdown && last.BootID != bootID
}

func (l *Ledger) logReport(report *Report) {
	for _, f := range report.Files {
		for _, d := range f.Damage {
			l.log.Warn("segment damaged", "segment", f.Name, "what", d.String(), "torn_end", f.Torn)
		}
		if f.SkipReason != "" {
			l.log.Warn("segment skipped", "segment", f.Name, "why", f.SkipReason)
		}
	}
	for _, loss := range report.Losses {
		l.log.Warn("records are missing", "from", loss.From, "to", loss.To, "after", loss.After, "torn_end", loss.Torn)
	}
}

// lastWritten returns the latest time at which a segment's last record may have been written, by this process's clock. If that is
// unknown, it returns the present time.
func lastWritten(now requesthistory.Clock, f *SegmentFile) time.Time {
	if f.incarnation == nil {
		return now.Time
	}
	least, _, ok := now.Elapsed(f.incarnation, f.lastRecord)
	if !ok {
		return now.Time
	}
	return now.Time.Add(-least)
}

// RecoveredKey returns the record of earlier processes for a key, if an attempt with the key may have run.
func (l *Ledger) RecoveredKey(now time.Time, id idempotency.KeyID) (record idempotency.Record, fingerprint idempotency.Fingerprint, ok bool) {
	if !l.hasRecovered.Load() {
		return record, fingerprint, false
	}
	masked := l.maskKeyID(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	record, ok = l.recovered.Find(now, masked)
	if ok {
		record.ID, fingerprint = id, l.fingerprints[masked]
	}
	return record, fingerprint, ok
}

// IsUncertain reports whether a key that the log does not contain may have run nevertheless, because records are lost. It always
// returns false with IgnoreLosses.
func (l *Ledger) IsUncertain(now time.Time) bool {
	return !l.uncertainUntil.IsZero() && now.Before(l.uncertainUntil) && !l.options.Load().IgnoreLosses
}
