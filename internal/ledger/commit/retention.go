package commit

import "time"

// Segment describes a segment on the disk.
type Segment struct {
	Number       uint64
	Bytes        int64
	LastRecordAt time.Time // when the last record was written, or later
}

// Retention determines how long segments are kept.
type Retention struct {
	MaxAge   time.Duration
	MaxBytes int64
	// MinAge is how long keys that may have run must be known. No segment younger than MinAge is removed, even beyond MaxBytes.
	MinAge time.Duration
}

// ExpiredSegments returns the numbers of the segments to remove, oldest first, from all segments that are no longer written. Over
// means that more than MaxBytes remain because of MinAge.
func (r Retention) ExpiredSegments(now time.Time, all []Segment) (expired []uint64, over bool) {
	total := int64(0)
	for _, s := range all {
		total += s.Bytes
	}
	for _, s := range all {
		age := now.Sub(s.LastRecordAt)
		if age < r.MinAge || age < r.MaxAge && total <= r.MaxBytes {
			break // the younger ones stay as well, since the log must not have gaps
		}
		expired = append(expired, s.Number)
		total -= s.Bytes
	}
	return expired, total > r.MaxBytes
}
