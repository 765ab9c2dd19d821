package ledger

import "time"

// View is the status of a running ledger.
type View struct {
	Dir                string    `json:"dir"`
	Mode               string    `json:"mode"`
	Ready              bool      `json:"ready"`
	Reason             string    `json:"why,omitempty"`
	LastSeq            uint64    `json:"last_record"`
	DurableSeq         uint64    `json:"durable_to"`
	Segments           int       `json:"segments"`
	Bytes              int64     `json:"bytes"`
	Requests           uint64    `json:"requests"`
	UnrecordedAttempts uint64    `json:"served_unrecorded"`
	DroppedRecords     uint64    `json:"records_without_room"`
	LateResponses      uint64    `json:"answers_before_their_record"`
	DiskErrors         uint64    `json:"disk_errors"`
	Syncs              uint64    `json:"fsyncs"`
	SyncedRecords      uint64    `json:"records_in_fsyncs"`
	RecoveredKeys      int       `json:"keys_recovered"`
	UncertainUntil     time.Time `json:"doubt_until,omitzero"`
	Losses             int       `json:"losses_found"`
}

// Status returns the status of the ledger.
func (l *Ledger) Status() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.options.Load()
	reason, _ := l.commit.Ready(time.Now())
	v := View{
		Dir:                o.Dir,
		Mode:               o.Commit.Mode.String(),
		Ready:              reason == "",
		Reason:             reason,
		LastSeq:            l.commit.NextSeq() - 1,
		DurableSeq:         l.commit.DurableSeq(),
		Segments:           len(l.segments),
		Requests:           l.requestCount,
		UnrecordedAttempts: l.unrecordedCount,
		DroppedRecords:     l.commit.DroppedCount(),
		LateResponses:      l.lateResponses,
		DiskErrors:         l.commit.ErrorCount(),
		Syncs:              l.syncCount,
		SyncedRecords:      l.syncedRecords,
		RecoveredKeys:      l.recovered.Len(),
		Losses:             len(l.report.Losses),
	}
	for _, s := range l.segments {
		v.Bytes += s.Bytes
	}
	if time.Now().Before(l.uncertainUntil) {
		v.UncertainUntil = l.uncertainUntil
	}
	return v
}
