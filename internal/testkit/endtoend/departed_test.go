package endtoend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

// attemptBound is how long after the close of its connection an attempt for a client may begin (STANDING), with the time that a request
// takes on its way.
const attemptBound = 150 * time.Millisecond

// recorder is an endpoint that records when each request came.
type recorder struct {
	mu       sync.Mutex
	arrivals map[string][]time.Time // by request id
	work     time.Duration
}

func newRecorder(work time.Duration) *recorder {
	return &recorder{arrivals: map[string][]time.Time{}, work: work}
}

func (r *recorder) serve(a *lbtest.Arrival) {
	r.note(a)
	time.Sleep(r.work)
	a.OK()
}

// note records a request.
func (r *recorder) note(a *lbtest.Arrival) {
	id := a.Request.Header.Get("X-Request-Id")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[id] = append(r.arrivals[id], time.Now())
}

// after returns how many requests came after a time.
func (r *recorder) after(at time.Time) (count int, last time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, times := range r.arrivals {
		for _, arrival := range times {
			if arrival.After(at) {
				count++
				last = max(last, arrival.Sub(at))
			}
		}
	}
	return count, last
}

// A client closes its connection with much that is unread, and its requests are forwarded afterwards.
func TestNothingIsForwardedAfterClose(t *testing.T) {
	for _, role := range Roles {
		for _, size := range []int{8 << 10, 100 << 10, 1 << 20, 4 << 20} {
			for _, ending := range []string{"close", "reset"} {
				t.Run(fmt.Sprintf("%s/%d KiB/%s", role, size>>10, ending), func(t *testing.T) {
					t.Parallel()
					testForwardedAfterClose(t, role, size, ending)
				})
			}
		}
	}
}

func testForwardedAfterClose(t *testing.T, role Role, size int, ending string) {
	t.Helper()
	record := newRecorder(30 * time.Millisecond)
	server := lbtest.NewEndpoint(t, record.serve)
	p := Start(t, role, LeastLimits(), server.Addr)
	var text strings.Builder
	for n := 0; text.Len() < size; n++ {
		text.WriteString(lbtest.Get(fmt.Sprint("r-", n)))
	}
	c, err := net.Dial("tcp", p.Addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)) // what the buffers do not take is not sent
	_, _ = io.WriteString(c, text.String())
	time.Sleep(100 * time.Millisecond)
	if ending == "reset" {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
	closed := time.Now()
	time.Sleep(1500 * time.Millisecond)
	if count, last := record.after(closed.Add(attemptBound)); count > 0 {
		t.Errorf("%d requests came later than allowed, the last one %v after the close", count, last+attemptBound)
	}
	if count, _ := record.after(time.Time{}); count == 0 {
		t.Error("nothing came before the close")
	}
}

// heldServer returns an endpoint that records the requests with the id "again" and answers them at the end of the test. It answers all others
// at once.
func heldServer(t *testing.T) (*lbtest.Endpoint, *recorder) {
	t.Helper()
	record := newRecorder(0)
	release := make(chan struct{})
	server := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		if a.Request.Header.Get("X-Request-Id") == "again" {
			record.note(a)
			<-release
		}
		a.OK()
	})
	t.Cleanup(func() { close(release) })
	return server, record
}

// An id of a client that has left is sent again, and takes effect twice.
func TestIDOfDepartedClientRunsOnce(t *testing.T) {
	for _, others := range []int{0, 6000} { // further ids in between
		t.Run(fmt.Sprint(others, " others"), func(t *testing.T) {
			t.Parallel()
			server, record := heldServer(t)
			p := Start(t, Sidecar, LeastLimits(), server.Addr)
			request := lbtest.Head("POST", ClassOnce, "again", "Content-Length: 0")
			first, err := net.Dial("tcp", p.Addr)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(first, request)
			lbtest.Until(t, "the request runs", func() bool { count, _ := record.after(time.Time{}); return count == 1 })
			first.Close()
			if others > 0 {
				c := lbtest.Dial(t, p.Addr)
				go func() {
					for n := range others {
						c.Send(lbtest.Get(fmt.Sprint("o-", n)))
					}
				}()
				for range others {
					if status, _ := c.Response(); status == 0 {
						t.Fatal("the connection has ended")
					}
				}
			}
			c := lbtest.Dial(t, p.Addr)
			c.Send(request)
			if status, _ := c.Response(); status != http.StatusConflict {
				t.Errorf("status %d, want 409", status)
			}
			if count, _ := record.after(time.Time{}); count != 1 {
				t.Errorf("the request ran %d times", count)
			}
		})
	}
}

// A client leaves behind more input than its buffers hold, so that its close does not show, while its request is in work; a further attempt
// of that request begins.
func TestNoFurtherAttemptAfterHiddenClose(t *testing.T) {
	for _, role := range Roles {
		t.Run(string(role), func(t *testing.T) {
			t.Parallel()
			record := newRecorder(0)
			serve := func(a *lbtest.Arrival) {
				record.note(a)
				time.Sleep(600 * time.Millisecond)
				_, _ = io.WriteString(a, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
			}
			p := Start(t, role, LeastLimits(), lbtest.NewEndpoint(t, serve).Addr, lbtest.NewEndpoint(t, serve).Addr)
			c, err := net.Dial("tcp", p.Addr)
			if err != nil {
				t.Fatal(err)
			}
			var text strings.Builder
			for n := 0; text.Len() < 8<<20; n++ {
				text.WriteString(lbtest.Get(fmt.Sprint("r-", n)))
			}
			_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			_, _ = io.WriteString(c, text.String())
			c.Close()
			closed := time.Now()
			time.Sleep(1500 * time.Millisecond)
			if count, last := record.after(closed.Add(attemptBound)); count > 0 {
				t.Errorf("%d attempts began later than allowed, the last one %v after the close", count, last+attemptBound)
			}
			if count, _ := record.after(time.Time{}); count == 0 {
				t.Error("nothing came before the close")
			}
		})
	}
}

// An id that is in use at the process that is replaced comes to its successor, or the other way round, and takes effect twice.
func TestIDRunsOnceWhileProcessIsReplaced(t *testing.T) {
	for _, order := range []string{"first at the old process", "first at the new process"} {
		t.Run(order, func(t *testing.T) {
			t.Parallel()
			server, record := heldServer(t)
			old := Start(t, Sidecar, LeastLimits(), server.Addr)
			kept := lbtest.Dial(t, old.Addr)
			kept.Send(lbtest.Get("before"))
			if status, _ := kept.Response(); status != http.StatusOK {
				t.Fatalf("status %d before the replacement", status)
			}
			old.Replace(t)
			clients := []*lbtest.Client{kept, lbtest.Dial(t, old.Addr)}
			if order == "first at the new process" {
				slices.Reverse(clients)
			}
			request := lbtest.Head("POST", ClassOnce, "again", "Content-Length: 0")
			clients[0].Send(request)
			lbtest.Until(t, "the request runs", func() bool { count, _ := record.after(time.Time{}); return count == 1 })
			clients[1].Send(request)
			if status, _ := clients[1].Response(); status != http.StatusConflict {
				t.Errorf("status %d, want 409", status)
			}
			if count, _ := record.after(time.Time{}); count != 1 {
				t.Errorf("the request ran %d times", count)
			}
		})
	}
}
