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

// TestRequestOfDisconnectedClientIsNotSent forwards a request whose client has disconnected before it is sent. The request
// does not reach the other site, and the counters of both ends agree. A request of a connected client is served.
func TestRequestOfDisconnectedClientIsNotSent(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 100 << 10} { // bytes of the body: a message of one HTTP/2 frame, and one of several
		remote := newFakeHandler(nil)
		from, _, _ := connectTwoSites(t, remote)
		ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
		defer cancel()
		var checkCount atomic.Int64
		request := newRequest(size)
		request.IsDisconnected = func() bool {
			checkCount.Add(1)
			return true // the context has not been cancelled yet
		}
		if result := from.Forward(ctx, "b", request); result.Response != nil {
			t.Errorf("request of a disconnected client got the response %+v", result.Response)
		}
		awaitReconciled(t, from)
		if checkCount.Load() == 0 || remote.requestCount.Load() > 0 {
			t.Errorf("IsDisconnected was called %d times and %d requests were received, want some calls and no request", checkCount.Load(), remote.requestCount.Load())
		}
		request = newRequest(size)
		request.IsDisconnected = func() bool { return false }
		connectedCtx, cancelConnected := context.WithTimeout(t.Context(), lbtest.Wait)
		defer cancelConnected()
		if result := from.Forward(connectedCtx, "b", request); result.Outcome != accounting.Served || len(result.Response.Body) != size {
			t.Errorf("request of a connected client: %+v, want served with its own body", result)
		}
	}
}

// TestClientDisconnectCancelsRequestInFlight disconnects a client while its request is in flight. The other site stops serving
// the request, even if the request arrives only after the client has disconnected.
func TestClientDisconnectCancelsRequestInFlight(t *testing.T) {
	t.Parallel()
	for name, delayed := range map[string]bool{"delivered": false, "delayed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received, cancelled := make(chan struct{}, 1), make(chan struct{}, 1)
			remote := newFakeHandler(func(ctx context.Context, request *Request) *Response {
				received <- struct{}{}
				select {
				case <-ctx.Done():
					cancelled <- struct{}{}
				case <-time.After(lbtest.Wait):
				}
				return &Response{Outcome: accounting.NeverRan}
			})
			from, path, _ := connectTwoSites(t, remote)
			path.Block(fake.ToServer, delayed)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			sent, results := make(chan struct{}), make(chan ForwardResult, 1)
			request := newRequest(0)
			var checked atomic.Bool
			request.IsDisconnected = func() bool {
				if checked.CompareAndSwap(false, true) {
					close(sent)
				}
				return false
			}
			go func() { results <- from.Forward(ctx, "b", request) }()
			<-sent
			if !delayed {
				<-received
			}
			cancel()
			if result := <-results; result.Response != nil {
				t.Errorf("cancelled request got the response %+v", result.Response)
			}
			path.Block(fake.ToServer, false)
			lbtest.Until(t, "site b is connected", func() bool { return isConnected(from, "b") })
			awaitReconciled(t, from) // the remote handler has returned
			if remote.requestCount.Load() > 0 && len(cancelled) == 0 {
				t.Error("the request is still served after its client disconnected")
			}
		})
	}
}
