package commit

import "time"

// Segment is a segment that is kept.
type Segment struct {
	Number       uint64
	Bytes        int64
	LastRecordAt time.Time // or later
}

// Retention is how long segments are kept.
type Retention struct {
	MaxAge   time.Duration
	MaxBytes int64
	// MinAge is how long a key that may have run must be known: no younger segment is removed, whatever the size.
	MinAge time.Duration
}

// Expired returns the segments to remove, of those that are not written any more, oldest first. Over means that more than
// MaxBytes remain because keys must be known.
func (r Retention) Expired(now time.Time, all []Segment) (expired []uint64, over bool) {
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
