package discovery

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	"silvertrail/internal/base/socket"
	"silvertrail/internal/platform/discoverypoll"
	"silvertrail/internal/testkit/lbtest"
)

// lateConn is a connection that is read only while the lock is free.
type lateConn struct {
	*net.TCPConn
	lock *sync.RWMutex
}

func (c lateConn) Read(p []byte) (int, error) {
	c.lock.RLock()
	defer c.lock.RUnlock()
	return c.TCPConn.Read(p)
}

// A call must not time out if its response has arrived and this process reads it late. A call without a response must time out
// (docs/incidents/answers-read-late.md).
func TestResponseReadLateIsNotTimedOut(t *testing.T) {
	t.Parallel()
	for _, hasResponse := range []bool{true, false} {
		addr, _ := serveResponses(t, `{"index": 1, "snapshot": true, "instances": []}`)
		if !hasResponse {
			addr = lbtest.Listen(t).Addr().String() // accepts connections and sends no response
		}
		var lock sync.RWMutex
		conns := make(chan *net.TCPConn, 1)
		c := New(addr, time.Minute, 0, (&updateRecorder{}).record, slog.New(slog.DiscardHandler))
		c.http.Transport = &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			conns <- conn.(*net.TCPConn)
			return lateConn{conn.(*net.TCPConn), &lock}, nil
		}}
		expire := make(chan func(), 2)
		c.after = func(_ time.Duration, do func()) func() bool {
			expire <- do
			return func() bool { return true }
		}
		lock.Lock()
		ended := make(chan error, 1)
		go func() {
			_, err := c.get(t.Context(), c.http, c.url(addr, true, discoverypoll.Call{}), discoverypoll.Call{})
			ended <- err
		}()
		raw, err := (<-conns).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		if hasResponse {
			lbtest.Until(t, "the response has arrived", func() bool { return socket.Unread(raw) > 0 })
		}
		go (<-expire)()
		if !hasResponse {
			if err := <-ended; outcomeOf(err) != discoverypoll.NoResponse {
				t.Errorf("call without a response: error %v, want errNoResponse", err)
			}
		}
		time.AfterFunc(5*time.Millisecond, lock.Unlock) // after the timeout; the exact time does not matter
		if hasResponse {
			if err := <-ended; err != nil {
				t.Errorf("call whose response had arrived: %v", err)
			}
		}
	}
}

// If this process writes a request late, the timeout for the response starts when the request was written.
func TestRequestWrittenLateGetsFullTimeout(t *testing.T) {
	t.Parallel()
	const timeout, late = time.Second, 2 * time.Second
	c := New("127.0.0.1:1", time.Minute, 0, (&updateRecorder{}).record, slog.New(slog.DiscardHandler))
	clock := useFakeClock(c)
	cancelled := make(chan error, 1)
	timeouts := c.startTimeouts(discoverypoll.Call{FirstByteTimeout: timeout}, func(cause error) { cancelled <- cause })
	clock.mu.Lock()
	clock.now += late
	clock.mu.Unlock()
	timeouts.wroteRequest(httptrace.WroteRequestInfo{})
	overdue := clock.firstTimer()
	clock.removeTimer(overdue)
	overdue.do()
	if len(cancelled) > 0 {
		t.Fatal("call timed out as its request was written")
	}
	if expiry := clock.firstTimer().at; expiry != late+timeout {
		t.Errorf("timeout expires at %v", expiry)
	}
	clock.expireFirstTimer()
	if len(cancelled) == 0 {
		t.Error("call did not time out")
	}
}
