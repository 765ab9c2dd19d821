package engine

import "time"

// clock converts between the wall clock and the time of the policy. To the policy, zero means long ago. The policy's time therefore
// begins at clockOrigin, so that an endpoint that started shortly before this process has a positive start time.
type clock struct{ start time.Time }

// clockOrigin is the policy's time when the clock starts.
const clockOrigin = 24 * time.Hour

func (c clock) now() time.Duration { return clockOrigin + time.Since(c.start) }

// fromTime converts a time that was read in this process.
func (c clock) fromTime(t time.Time) time.Duration { return clockOrigin + t.Sub(c.start) }

// fromUnixMilli converts a Unix time in milliseconds. It depends on the start of the clock alone, so that the same start time of an
// endpoint always gives the same result, even if the wall clock has been set meanwhile. It returns zero for a time that is unknown or
// more than clockOrigin before the start.
func (c clock) fromUnixMilli(ms int64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return max(clockOrigin+time.Duration(ms-c.start.UnixMilli())*time.Millisecond, 0)
}
