package peering

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/internal/testkit/standin"
)

// A call whose caller is found to have left as the connection takes its message does not come to the other sala, and both
// ends agree that it never ran. One whose caller stays is served.
func TestLeftAtSending(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 100 << 10} { // in one piece, and in several
		far := newScript(nil)
		from, _, _ := two(t, far)
		ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
		defer cancel()
		var asked atomic.Int64
		c := newCall(size)
		c.IsDisconnected = func() bool {
			asked.Add(1)
			return true // and nobody has noticed yet: the context stands
		}
		if x := from.Forward(ctx, "b", c); x.Response != nil {
			t.Errorf("answered %+v", x.Response)
		}
		agree(t, from)
		if asked.Load() == 0 || far.came.Load() > 0 {
			t.Errorf("asked %d times, %d came", asked.Load(), far.came.Load())
		}
		c = newCall(size)
		c.IsDisconnected = func() bool { return false }
		stays, end := context.WithTimeout(t.Context(), lbtest.Wait)
		defer end()
		if x := from.Forward(stays, "b", c); x.Outcome != accounting.Served || len(x.Response.Body) != size {
			t.Errorf("one that stays: %+v", x)
		}
	}
}

// A caller that leaves has what serves its call in the other sala end, whether the link carries the call at once or holds it up
// until after the caller's end.
func TestLeftOverLink(t *testing.T) {
	t.Parallel()
	for name, heldUp := range map[string]bool{"at once": false, "held up": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			came, ended := make(chan struct{}, 1), make(chan struct{}, 1)
			far := newScript(func(ctx context.Context, c *Request) *Response {
				came <- struct{}{}
				select {
				case <-ctx.Done():
					ended <- struct{}{}
				case <-time.After(lbtest.Wait):
				}
				return &Response{Outcome: accounting.NeverRan}
			})
			from, path, _ := two(t, far)
			path.Hold(standin.There, heldUp)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			sent, over := make(chan struct{}), make(chan ForwardResult, 1)
			c := newCall(0)
			var once atomic.Bool
			c.IsDisconnected = func() bool {
				if once.CompareAndSwap(false, true) {
					close(sent)
				}
				return false
			}
			go func() { over <- from.Forward(ctx, "b", c) }()
			<-sent
			if !heldUp {
				<-came
			}
			cancel()
			if x := <-over; x.Response != nil {
				t.Errorf("answered %+v", x.Response)
			}
			path.Hold(standin.There, false)
			lbtest.Until(t, "the link stands", func() bool { return stands(from, "b") })
			agree(t, from) // what serves the call has ended
			if far.came.Load() > 0 && len(ended) == 0 {
				t.Error("it went on for nobody")
			}
		})
	}
}
