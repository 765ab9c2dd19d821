package discovery

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/platform/discoverypoll"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

// updateRecorder records the updates of a client as text.
type updateRecorder struct {
	mu      sync.Mutex
	updates []string
}

func (r *updateRecorder) record(kind lbpolicy.ListKind, entries []endpointlist.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprint([]string{"changes", "whole", "cached", "failed"}[kind])
	for _, e := range entries {
		text += " " + e.Name
	}
	r.updates = append(r.updates, text)
}

func (r *updateRecorder) contains(want ...string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Contains(strings.Join(r.updates, "|")+"|", strings.Join(want, "|")+"|")
}

// expectFirst checks that the first update was want.
func (r *updateRecorder) expectFirst(t *testing.T, want string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.updates) == 0 || r.updates[0] != want {
		t.Errorf("updates %q, want %q first", r.updates, want)
	}
}

// expectOnly checks that the only update was want.
func (r *updateRecorder) expectOnly(t *testing.T, want string) {
	t.Helper()
	r.expectFirst(t, want)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.updates) > 1 {
		t.Errorf("updates %q, want only %q", r.updates, want)
	}
}

// serveResponses starts a discovery that sends the given responses one after the other, and repeats the last. The response
// "down" stands for status 503.
func serveResponses(t *testing.T, responses ...string) (addr string, queries func() []string) {
	t.Helper()
	l := lbtest.Listen(t)
	var mu sync.Mutex
	var received []string
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		n := len(received)
		received = append(received, r.URL.RawQuery)
		mu.Unlock()
		response := responses[min(n, len(responses)-1)]
		if response == "down" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if n >= len(responses) {
			select {
			case <-time.After(100 * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		fmt.Fprint(w, response)
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String(), func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), received...)
	}
}

func list(index int, snapshot bool, names ...string) string {
	var entries []string
	for _, n := range names {
		entries = append(entries, fmt.Sprintf(`{"name": %q}`, n))
	}
	return fmt.Sprintf(`{"index": %d, "snapshot": %t, "endpoints": [%s]}`, index, snapshot, strings.Join(entries, ","))
}

// maxPollInterval is the settings' bound on the time between polls.
const maxPollInterval = 10 * time.Second

// startAgentClient starts a client that follows an agent.
func startAgentClient(t *testing.T, addr string) (*Client, *updateRecorder) {
	t.Helper()
	recorder := &updateRecorder{}
	c := New(addr, 0, 0, recorder.record, slog.New(slog.DiscardHandler))
	runClient(t, c)
	return c, recorder
}

func runClient(t *testing.T, c *Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
}

// TestFollow receives the whole list, then changes. Older lists, invalid responses and a discovery that is down are ignored, and
// the whole list is requested after a failure.
func TestFollow(t *testing.T) {
	t.Parallel()
	addr, queries := serveResponses(t, list(5, true, "a", "b"), list(6, false, "b"), list(4, true, "old"), "down", "noise", list(7, true, "c"))
	_, recorder := startAgentClient(t, addr)
	lbtest.Until(t, "the last list", func() bool { return recorder.contains("whole c") })
	if !recorder.contains("whole a b", "changes b", "whole c") {
		t.Errorf("told %q", recorder.updates)
	}
	asked := queries()
	if asked[0] != "" || !strings.HasPrefix(asked[1], "index=5&") || !strings.HasPrefix(asked[2], "index=6&") || asked[3] != "" {
		t.Errorf("asked %q", asked)
	}
}

// TestDiscoveryRestarts has a discovery whose versions stay behind, as after a restart.
func TestDiscoveryRestarts(t *testing.T) {
	t.Parallel()
	addr, _ := serveResponses(t, list(90, true, "a"), list(2, true, "b"))
	_, recorder := startAgentClient(t, addr)
	lbtest.Until(t, "the list of the new count", func() bool { return recorder.contains("whole a", "whole b") })
}

// TestSetAddress changes the address: the new one sends its whole list, whatever its version, and the old one is not called.
func TestSetAddress(t *testing.T) {
	t.Parallel()
	first, _ := serveResponses(t, list(90, true, "a"))
	second, queries := serveResponses(t, list(3, true, "b"))
	c, recorder := startAgentClient(t, first)
	lbtest.Until(t, "the first list", func() bool { return recorder.contains("whole a") })
	c.SetAddress(first) // no move
	c.SetAddress(second)
	lbtest.Until(t, "the second list", func() bool { return recorder.contains("whole a", "whole b") })
	if asked := queries(); asked[0] != "" {
		t.Errorf("asked %q", asked)
	}
}

// TestPolling checks that nothing is polled before Watch, and that a failure is followed by a pause and another call.
func TestPolling(t *testing.T) {
	t.Parallel()
	addr, calls := startFakeAgent(t)
	recorder := &updateRecorder{}
	c := New(addr, maxPollInterval, 7, recorder.record, slog.New(slog.DiscardHandler))
	c.watchRequested = make(chan struct{}) // taken only as it is waited for
	clock := useFakeClock(c)
	runClient(t, c)
	select {
	case c.watchRequested <- struct{}{}:
	case <-calls: // unanswered: it does not get to wait to be asked
		t.Fatal("asked before it was time")
	case <-time.After(lbtest.Wait):
		t.Fatal("does not wait to be asked")
	}
	call := func() *agentCall {
		c := nextCall(t, calls)
		if c.query != "index=7&wait=60000" {
			t.Errorf("asked %q", c.query)
		}
		return c
	}
	call().sendUnavailable()
	if d := clock.nextPause(t, calls); d < time.Second {
		t.Errorf("a pause of %v after a failure", d)
	}
	c.Watch() // does not end the pause
	if n := len(calls); n != 0 {
		t.Errorf("%d calls in the pause", n)
	}
	clock.resume <- struct{}{}
	call().sendList(list(8, false, "a"))
	lbtest.Until(t, "changes", func() bool { return recorder.contains("changes a") })
	recorder.expectOnly(t, "changes a")
}

// receive receives the next value.
func receive[T any](t *testing.T, c <-chan T) (next T) {
	t.Helper()
	select {
	case next = <-c:
	case <-time.After(lbtest.Wait):
		t.Fatal("nothing came")
	}
	return next
}

// TestDeadWatch has the connection of a watch die silently: the watch is given up before its wait is over and discovery polled
// again without delay, which is no failure. Instances do not all poll again at once.
func TestDeadWatch(t *testing.T) {
	t.Parallel()
	l := lbtest.Listen(t)
	calls := make(chan string, 100)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := len(calls)
		calls <- r.URL.RawQuery
		if n == 0 {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, list(8+n, false, "a"))
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	recorder := &updateRecorder{}
	c := New(l.Addr().String(), maxPollInterval, 7, recorder.record, slog.New(slog.DiscardHandler))
	c.poller.WatchTimeout = 200 * time.Millisecond
	first := firstPause(c)
	runClient(t, c)
	c.Watch()
	lbtest.Until(t, "the news", func() bool { return recorder.contains("changes a") })
	if d := receive(t, first); d != 0 {
		t.Errorf("the next call was put off by %v", d)
	}
	recorder.expectFirst(t, "changes a")
	for range 2 {
		if q := receive(t, calls); q != "index=7&wait=60000" {
			t.Errorf("asked %q, want what follows the list in hand", q)
		}
	}
}

// TestIncompleteResponse has a response stop in its head or in its list. It is not awaited for as long as a watch, as its changes
// count as notified long before; discovery is polled again at once, and that is no failure yet.
func TestIncompleteResponse(t *testing.T) {
	t.Parallel()
	whole := list(8, false, "a")
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole)
	for _, until := range []int{10, 30, len(text) - 5} {
		t.Run(fmt.Sprint(until), func(t *testing.T) {
			t.Parallel()
			l := lbtest.Listen(t)
			gave := make(chan struct{}) // that its caller has gone
			queries := make(chan string, 2)
			go func() {
				for n := 0; ; n++ {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					t.Cleanup(func() { conn.Close() })
					r, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						continue
					}
					select {
					case queries <- r.URL.RawQuery:
					default: // enough of them
					}
					if n > 0 {
						fmt.Fprint(conn, text)
						continue
					}
					fmt.Fprint(conn, text[:until])
					go func() {
						conn.Read(make([]byte, 1))
						close(gave)
					}()
				}
			}()
			recorder := &updateRecorder{}
			c := New(l.Addr().String(), maxPollInterval, 7, recorder.record, slog.New(slog.DiscardHandler))
			c.poller.WatchTimeout = time.Hour
			first := firstPause(c)
			runClient(t, c)
			c.Watch()
			receive(t, gave)
			lbtest.Until(t, "the news", func() bool { return recorder.contains("changes a") })
			if d := receive(t, first); d >= discoverypoll.NotificationGrace {
				t.Errorf("the next call was put off by %v", d)
			}
			recorder.expectFirst(t, "changes a")
			for range 2 {
				if q := receive(t, queries); !strings.HasPrefix(q, "index=7&") {
					t.Errorf("asked %q, want what follows the list in hand", q)
				}
			}
		})
	}
}

// TestNoConnection checks that a connection that does not come up is a failure with backoff, and not a watch without a response,
// so that a discovery whose host is down is not dialled by all instances without a pause.
func TestNoConnection(t *testing.T) {
	t.Parallel()
	c := New("127.0.0.1:1", maxPollInterval, 7, (&updateRecorder{}).record, slog.New(slog.DiscardHandler))
	c.http.Transport.(*http.Transport).DialContext = (&net.Dialer{Timeout: time.Nanosecond}).DialContext
	if err := c.poll(t.Context(), c.addr, false); outcomeOf(err) != discoverypoll.Failed {
		t.Errorf("%v: end %d, want a failure, which is followed by a pause", err, outcomeOf(err))
	}
}

func TestTooLong(t *testing.T) {
	t.Parallel()
	addr, queries := serveResponses(t, `{"index": 1, "snapshot": true, "endpoints": [{"name": "`+strings.Repeat("x", maxListBytes)+`"}]}`, list(2, true, "a"))
	_, recorder := startAgentClient(t, addr)
	lbtest.Until(t, "a list that fits", func() bool { return recorder.contains("whole a") })
	if recorder.contains("whole "+strings.Repeat("x", maxListBytes)) || len(queries()) < 2 {
		t.Error("a list over the bound was taken")
	}
}
