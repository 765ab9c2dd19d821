package engine

import "time"

// clock converts between the wall clock and the time of the policy. It starts far enough in the past that what started
// recently has a positive time: to the policy zero means long ago.
type clock struct{ start time.Time }

// clockOrigin is the policy's time at the start.
const clockOrigin = 24 * time.Hour

func (c clock) now() time.Duration { return clockOrigin + time.Since(c.start) }

// fromTime converts a time of this process.
func (c clock) fromTime(t time.Time) time.Duration { return clockOrigin + t.Sub(c.start) }

// fromUnixMilli converts a Unix time in milliseconds. It uses the start of the clock only: the same start of an endpoint
// gives the same time whenever it is received, also if the wall clock is set meanwhile.
func (c clock) fromUnixMilli(ms int64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return max(clockOrigin+time.Duration(ms-c.start.UnixMilli())*time.Millisecond, 0)
}
