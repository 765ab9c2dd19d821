package peering

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

// TestClientDisconnectsBeforeSending has a client disconnect before its request is sent: it does not arrive at the other
// site, and both ends agree that it never ran. A request whose client stays is served.
func TestClientDisconnectsBeforeSending(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 100 << 10} { // in one piece, and in several
		far := newFakeHandler(nil)
		from, _, _ := connectTwoSites(t, far)
		ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
		defer cancel()
		var asked atomic.Int64
		c := newRequest(size)
		c.IsDisconnected = func() bool {
			asked.Add(1)
			return true // and nobody has noticed yet: the context stands
		}
		if x := from.Forward(ctx, "b", c); x.Response != nil {
			t.Errorf("answered %+v", x.Response)
		}
		awaitReconciled(t, from)
		if asked.Load() == 0 || far.requestCount.Load() > 0 {
			t.Errorf("asked %d times, %d came", asked.Load(), far.requestCount.Load())
		}
		c = newRequest(size)
		c.IsDisconnected = func() bool { return false }
		stays, end := context.WithTimeout(t.Context(), lbtest.Wait)
		defer end()
		if x := from.Forward(stays, "b", c); x.Outcome != accounting.Served || len(x.Response.Body) != size {
			t.Errorf("connected client: %+v", x)
		}
	}
}

// TestClientDisconnectsInFlight has a client disconnect while its request is in flight: the other site stops serving it,
// also if the request arrives only after the client has left.
func TestClientDisconnectsInFlight(t *testing.T) {
	t.Parallel()
	for name, heldUp := range map[string]bool{"delivered": false, "delayed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			came, ended := make(chan struct{}, 1), make(chan struct{}, 1)
			far := newFakeHandler(func(ctx context.Context, c *Request) *Response {
				came <- struct{}{}
				select {
				case <-ctx.Done():
					ended <- struct{}{}
				case <-time.After(lbtest.Wait):
				}
				return &Response{Outcome: accounting.NeverRan}
			})
			from, path, _ := connectTwoSites(t, far)
			path.Block(fake.ToServer, heldUp)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			sent, over := make(chan struct{}), make(chan ForwardResult, 1)
			c := newRequest(0)
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
			path.Block(fake.ToServer, false)
			lbtest.Until(t, "site b is connected", func() bool { return isConnected(from, "b") })
			awaitReconciled(t, from) // the request is not served any more
			if far.requestCount.Load() > 0 && len(ended) == 0 {
				t.Error("it is still served")
			}
		})
	}
}
