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

// A call whose response has arrived, and is read late, is not given up as silent; one without a response is
// (docs/incidents/answers-read-late.md).
func TestLateReaderIsNoSilence(t *testing.T) {
	t.Parallel()
	for _, answers := range []bool{true, false} {
		addr, _ := serveResponses(t, `{"index": 1, "snapshot": true, "instances": []}`)
		if !answers {
			addr = lbtest.Listen(t).Addr().String() // takes connections, and answers nothing
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
		if answers {
			lbtest.Until(t, "the response has arrived", func() bool { return socket.Unread(raw) > 0 })
		}
		go (<-expire)()
		if !answers {
			if err := <-ended; outcomeOf(err) != discoverypoll.NoResponse {
				t.Errorf("without a response: %v", err)
			}
		}
		time.AfterFunc(5*time.Millisecond, lock.Unlock) // after the timeout, and any time later
		if answers {
			if err := <-ended; err != nil {
				t.Errorf("a response that has arrived: %v", err)
			}
		}
	}
}

// A request that this process writes late has its whole time from then on.
func TestLateWriteIsNoSilence(t *testing.T) {
	t.Parallel()
	const timeout, late = time.Second, 2 * time.Second
	c := New("127.0.0.1:1", time.Minute, 0, (&updateRecorder{}).record, slog.New(slog.DiscardHandler))
	clock := useFakeClock(c)
	cancelled := make(chan error, 1)
	calls := c.startTimeouts(discoverypoll.Call{FirstByteTimeout: timeout}, func(cause error) { cancelled <- cause })
	clock.mu.Lock()
	clock.now += late
	clock.mu.Unlock()
	calls.wroteRequest(httptrace.WroteRequestInfo{})
	overdue := clock.firstTimer()
	clock.removeTimer(overdue)
	overdue.do()
	if len(cancelled) > 0 {
		t.Fatal("given up as it was written")
	}
	if left := clock.firstTimer().at; left != late+timeout {
		t.Errorf("its time ends at %v", left)
	}
	clock.expireFirstTimer()
	if len(cancelled) == 0 {
		t.Error("not given up after its time")
	}
}
