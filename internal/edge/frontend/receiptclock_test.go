package frontend

import (
	"testing"
	"time"
)

// The time of a body whose client is read late counts from its receipt, and is bounded by what the buffers can hold ahead.
func TestReceiptClock(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	type read struct {
		at      int // seconds
		bytes   int
		isEmpty bool
	}
	const mebibyte = 1 << 20
	for name, c := range map[string]struct {
		reads    []read
		unread   int64
		lastData int // seconds
		want     int
	}{
		"little is unread":                   {unread: 1 << 10, lastData: 3, want: 3},
		"much is unread since the start":     {unread: 100 << 10, lastData: 3, want: 0},
		"much was read, little is unread":    {reads: []read{{1, 60 << 10, false}}, unread: 1 << 10, lastData: 3, want: 0},
		"all was read once":                  {reads: []read{{1, 60 << 10, true}}, unread: 100 << 10, lastData: 3, want: 1},
		"little since all was read":          {reads: []read{{1, 60 << 10, true}}, unread: 1 << 10, lastData: 3, want: 3},
		"more than a client can be ahead":    {reads: []read{{1, 5 * mebibyte, false}, {2, 5 * mebibyte, false}}, unread: 100 << 10, lastData: 3, want: 1},
		"no more than a client can be ahead": {reads: []read{{1, 5 * mebibyte, false}}, unread: 100 << 10, lastData: 3, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			clock := newReceiptClock(start)
			for _, r := range c.reads {
				clock.read(at(r.at), r.bytes, r.isEmpty)
			}
			if got := clock.earliest(c.unread, at(c.lastData)); !got.Equal(at(c.want)) {
				t.Errorf("%v after the start, want %d s", got.Sub(start), c.want)
			}
		})
	}
}
