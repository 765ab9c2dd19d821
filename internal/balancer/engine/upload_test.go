package engine

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

var errStopped = errors.New("body stopped")

// stalledBody is a body whose rest does not arrive.
type stalledBody struct {
	stop    chan struct{}
	stopped sync.Once
}

func (b *stalledBody) Length() int64 { return 1 << 20 }
func (b *stalledBody) Acquire() bool { return true }
func (b *stalledBody) Read([]byte) (int, error) {
	<-b.stop
	return 0, errStopped
}
func (b *stalledBody) IsComplete() bool       { return false }
func (b *stalledBody) Stop()                  { b.stopped.Do(func() { close(b.stop) }) }
func (b *stalledBody) Abandon()               { b.Stop() }
func (b *stalledBody) ReceivedAt() time.Time  { return time.Now() }
func (b *stalledBody) EarliestEnd() time.Time { return time.Now() }
func (b *stalledBody) MarkForwarded()         {}

// An upload that begins after SIGTERM is closed without an answer at the end of the process, as its deadline begins with its last byte.
func TestUploadBegunDuringShutdownEndsWithIt(t *testing.T) {
	t.Parallel()
	const shutdownTime = 2 * time.Second // enough for an attempt
	endpoint := lbtest.Listen(t)
	go func() {
		for {
			conn, err := endpoint.Accept()
			if err != nil {
				return
			}
			defer conn.(*net.TCPConn).Close()
		}
	}()
	engine := newEngine(t)
	engine.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(endpoint.Addr().String(), "ready")})
	engine.ShutDownBy(time.Now().Add(shutdownTime))
	body := &stalledBody{stop: make(chan struct{})}
	t.Cleanup(body.Stop)
	request := upstream.Request{Method: "POST", Target: "/write", Host: "x", Header: map[string][]string{"X-Request-Id": {"late"}}, Stream: body}
	call := engine.Begin(request, lbpolicy.Request{Class: 0, TimeLeft: lbtest.Wait}, nil)
	if result := awaitResult(t, call); result.Response != nil || result.Attempts != 1 {
		t.Errorf("result %+v, want the failure of one attempt", result)
	}
}
