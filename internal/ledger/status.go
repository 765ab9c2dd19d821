package ledger

import "time"

// View is the status of a running ledger.
type View struct {
	Dir            string    `json:"dir"`
	Mode           string    `json:"mode"`
	Ready          bool      `json:"ready"`
	Reason         string    `json:"why,omitempty"`
	Records        uint64    `json:"last_record"`
	Durable        uint64    `json:"durable_to"`
	Segments       int       `json:"segments"`
	Bytes          int64     `json:"bytes"`
	Requests       uint64    `json:"requests"`
	Unrecorded     uint64    `json:"served_unrecorded"`
	Dropped        uint64    `json:"records_without_room"`
	LateAnswers    uint64    `json:"answers_before_their_record"`
	Errors         uint64    `json:"disk_errors"`
	Syncs          uint64    `json:"fsyncs"`
	SyncedRecords  uint64    `json:"records_in_fsyncs"`
	Recovered      int       `json:"keys_recovered"`
	UncertainUntil time.Time `json:"doubt_until,omitzero"`
	Losses         int       `json:"losses_found"`
}

// Status returns the status of the ledger.
func (l *Ledger) Status() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.options.Load()
	reason, _ := l.commit.Ready(time.Now())
	v := View{
		Dir:           o.Dir,
		Mode:          o.Commit.Mode.String(),
		Ready:         reason == "",
		Reason:        reason,
		Records:       l.commit.NextSeq() - 1,
		Durable:       l.commit.DurableSeq(),
		Segments:      len(l.segments),
		Requests:      l.requestCount,
		Unrecorded:    l.unrecordedCount,
		Dropped:       l.commit.DroppedCount(),
		LateAnswers:   l.lateResponses,
		Errors:        l.commit.ErrorCount(),
		Syncs:         l.syncCount,
		SyncedRecords: l.syncedRecords,
		Recovered:     l.recovered.Len(),
		Losses:        len(l.report.Losses),
	}
	for _, s := range l.segments {
		v.Bytes += s.Bytes
	}
	if time.Now().Before(l.uncertainUntil) {
		v.UncertainUntil = l.uncertainUntil
	}
	return v
}
