package commit

import "time"

// Segment is one that is kept.
type Segment struct {
	Number       uint64
	Bytes        int64
	LastRecordAt time.Time // of its last record, or later
}

// Retention tells how much is kept.
type Retention struct {
	MaxAge   time.Duration
	MaxBytes int64
	// MinAge is for how long a key that may have run must be known: no younger segment goes, whatever the size.
	MinAge time.Duration
}

// Expired returns the segments that are to go, of those that are no longer written, oldest first; over tells that more than Size
// is kept all the same, as keys must be known.
func (k Retention) Expired(now time.Time, all []Segment) (out []uint64, over bool) {
	sum := int64(0)
	for _, s := range all {
		sum += s.Bytes
	}
	for _, s := range all {
		age := now.Sub(s.LastRecordAt)
		if age < k.MinAge || age < k.MaxAge && sum <= k.MaxBytes {
			break // an older one that stays has the younger ones stay: the log has no holes
		}
		out = append(out, s.Number)
		sum -= s.Bytes
	}
	return out, sum > k.MaxBytes
}
