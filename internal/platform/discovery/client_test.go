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

// The client requests the whole list, then changes. Older lists, invalid responses and errors have no effect on the list. After
// a failure the whole list is requested.
func TestSnapshotIsRequestedAfterFailure(t *testing.T) {
	t.Parallel()
	addr, queries := serveResponses(t, list(5, true, "a", "b"), list(6, false, "b"), list(4, true, "old"), "down", "noise", list(7, true, "c"))
	_, recorder := startAgentClient(t, addr)
	lbtest.Until(t, "the last list", func() bool { return recorder.contains("whole c") })
	if !recorder.contains("whole a b", "changes b", "whole c") {
		t.Errorf("updates %q", recorder.updates)
	}
	received := queries()
	if received[0] != "" || !strings.HasPrefix(received[1], "index=5&") || !strings.HasPrefix(received[2], "index=6&") || received[3] != "" {
		t.Errorf("queries %q", received)
	}
}

// After a restart, discovery may count its versions from the start. Its lists must be applied although their versions are older.
func TestOlderVersionsAfterRestartAreApplied(t *testing.T) {
	t.Parallel()
	addr, _ := serveResponses(t, list(90, true, "a"), list(2, true, "b"))
	_, recorder := startAgentClient(t, addr)
	lbtest.Until(t, "the list with the older version", func() bool { return recorder.contains("whole a", "whole b") })
}

// After a change of address, the whole list of the new address must be requested and applied, even if its version is older.
func TestSnapshotOfNewAddressIsApplied(t *testing.T) {
	t.Parallel()
	first, _ := serveResponses(t, list(90, true, "a"))
	second, queries := serveResponses(t, list(3, true, "b"))
	c, recorder := startAgentClient(t, first)
	lbtest.Until(t, "the first list", func() bool { return recorder.contains("whole a") })
	c.SetAddress(first) // no change
	c.SetAddress(second)
	lbtest.Until(t, "the second list", func() bool { return recorder.contains("whole a", "whole b") })
	if received := queries(); received[0] != "" {
		t.Errorf("queries %q", received)
	}
}

// Discovery must not be polled before Watch. A failure must be followed by a pause and another call.
func TestPollingStartsWithWatchAndBacksOff(t *testing.T) {
	t.Parallel()
	addr, calls := startFakeAgent(t)
	recorder := &updateRecorder{}
	c := New(addr, maxPollInterval, 7, recorder.record, slog.New(slog.DiscardHandler))
	c.watchRequested = make(chan struct{}) // unbuffered: a send succeeds only while Run waits for Watch
	clock := useFakeClock(c)
	runClient(t, c)
	select {
	case c.watchRequested <- struct{}{}:
	case <-calls: // gets no response, so Run cannot reach its wait for Watch
		t.Fatal("polled before Watch")
	case <-time.After(lbtest.Wait):
		t.Fatal("Run does not wait for Watch")
	}
	call := func() *agentCall {
		c := nextCall(t, calls)
		if c.query != "index=7&wait=60000" {
			t.Errorf("query %q", c.query)
		}
		return c
	}
	call().sendUnavailable()
	if d := clock.nextPause(t, calls); d < time.Second {
		t.Errorf("pause of %v after a failure, want 1 s at least", d)
	}
	c.Watch() // does not end the pause
	if n := len(calls); n != 0 {
		t.Errorf("%d calls during the pause, want none", n)
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
		t.Fatal("no value received")
	}
	return next
}

// If the connection of a watch dies without an error, the watch must time out before its wait is over. Discovery must then be
// polled again without a pause, as the timeout is no failure. Instances do not all poll again at the same time.
func TestWatchOnDeadConnectionTimesOut(t *testing.T) {
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
	lbtest.Until(t, "the changes", func() bool { return recorder.contains("changes a") })
	if d := receive(t, first); d != 0 {
		t.Errorf("the next call was delayed by %v", d)
	}
	recorder.expectFirst(t, "changes a")
	for range 2 {
		if q := receive(t, calls); q != "index=7&wait=60000" {
			t.Errorf("query %q, want changes since version 7", q)
		}
	}
}

// A response stalls in its header or in its list. It must time out earlier than a watch, as its changes count as notified long
// before a watch times out. Discovery must be polled again at once, as the first stalled response does not count as a failure.
func TestIncompleteResponseIsPolledAgainAtOnce(t *testing.T) {
	t.Parallel()
	whole := list(8, false, "a")
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole)
	for _, sentBytes := range []int{10, 30, len(text) - 5} {
		t.Run(fmt.Sprint(sentBytes), func(t *testing.T) {
			t.Parallel()
			l := lbtest.Listen(t)
			abandoned := make(chan struct{}) // closed when the client has closed the first connection
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
					default: // only the first two queries are checked
					}
					if n > 0 {
						fmt.Fprint(conn, text)
						continue
					}
					fmt.Fprint(conn, text[:sentBytes])
					go func() {
						conn.Read(make([]byte, 1))
						close(abandoned)
					}()
				}
			}()
			recorder := &updateRecorder{}
			c := New(l.Addr().String(), maxPollInterval, 7, recorder.record, slog.New(slog.DiscardHandler))
			c.poller.WatchTimeout = time.Hour
			first := firstPause(c)
			runClient(t, c)
			c.Watch()
			receive(t, abandoned)
			lbtest.Until(t, "the changes", func() bool { return recorder.contains("changes a") })
			if d := receive(t, first); d >= discoverypoll.NotificationGrace {
				t.Errorf("the next call was delayed by %v", d)
			}
			recorder.expectFirst(t, "changes a")
			for range 2 {
				if q := receive(t, queries); !strings.HasPrefix(q, "index=7&") {
					t.Errorf("query %q, want changes since version 7", q)
				}
			}
		})
	}
}

// A connection that is not established must count as a failure, which is followed by backoff, and not as a watch without a
// response. Otherwise all instances would dial a discovery whose host is down without a pause.
func TestFailedConnectionIsFollowedByBackoff(t *testing.T) {
	t.Parallel()
	c := New("127.0.0.1:1", maxPollInterval, 7, (&updateRecorder{}).record, slog.New(slog.DiscardHandler))
	c.http.Transport.(*http.Transport).DialContext = (&net.Dialer{Timeout: time.Nanosecond}).DialContext
	if err := c.poll(t.Context(), c.addr, false); outcomeOf(err) != discoverypoll.Failed {
		t.Errorf("%v: outcome %d, want Failed, which is followed by a pause", err, outcomeOf(err))
	}
}

func TestListOverSizeLimitIsRejected(t *testing.T) {
	t.Parallel()
	addr, queries := serveResponses(t, `{"index": 1, "snapshot": true, "endpoints": [{"name": "`+strings.Repeat("x", maxListBytes)+`"}]}`, list(2, true, "a"))
	_, recorder := startAgentClient(t, addr)
	lbtest.Until(t, "the list within the limit", func() bool { return recorder.contains("whole a") })
	if recorder.contains("whole "+strings.Repeat("x", maxListBytes)) || len(queries()) < 2 {
		t.Error("a list over maxListBytes was applied")
	}
}
