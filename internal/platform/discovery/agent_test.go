package discovery

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

// agentCall is a call that an agent has received and not answered.
type agentCall struct {
	net.Conn
	query  string
	closed chan struct{} // closed when the caller has closed the connection or sent another call
}

func (c *agentCall) sendList(list string) {
	fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
}

func (c *agentCall) sendUnavailable() {
	fmt.Fprint(c.Conn, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

func (c *agentCall) reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// sendPartialResponse responds with all but the end of a list.
func (c *agentCall) sendPartialResponse() {
	text := list(9, true, "half")
	fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)-5])
}

func (c *agentCall) isOpen() bool {
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}

// startFakeAgent passes each call, one to a connection, to the test.
func startFakeAgent(t *testing.T) (addr string, calls chan *agentCall) {
	t.Helper()
	l := lbtest.Listen(t)
	calls = make(chan *agentCall, 64)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				br := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					c := &agentCall{Conn: conn, query: r.URL.RawQuery, closed: make(chan struct{})}
					calls <- c
					if _, err := br.Peek(1); err != nil { // its end, or the next call
						close(c.closed)
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), calls
}

func nextCall(t *testing.T, calls chan *agentCall) *agentCall {
	t.Helper()
	select {
	case c := <-calls:
		return c
	case <-time.After(lbtest.Wait):
		t.Fatal("no call")
		panic("unreachable")
	}
}

// TestAgentRecovers has an agent that is silent while discovery is down, and never answers calls of that time. What it receives
// afterwards counts as notified at once, so an instance must call again while its calls still hang. Here they never end,
// and the calls after them have to be made while they are open.
func TestAgentRecovers(t *testing.T) {
	t.Parallel()
	addr, calls := startFakeAgent(t)
	_, recorder := startAgentClient(t, addr)
	first := nextCall(t, calls) // hangs for good
	var last *agentCall
	for range 3 {
		last = nextCall(t, calls)
		if !first.isOpen() {
			t.Fatal("the next call came only when the first one had been given up")
		}
	}
	if last.query != "" {
		t.Errorf("asked %q, want the whole list", last.query)
	}
	for !recorder.contains("whole a") { // one may have been given up as it is answered
		last.sendList(list(5, true, "a"))
		select {
		case last = <-calls:
		case <-first.closed:
		}
	}
}

// TestAgentWatchHangs has a watch that is open when discovery goes down and is never answered: it is short, and the whole list
// is requested after it.
func TestAgentWatchHangs(t *testing.T) {
	t.Parallel()
	addr, calls := startFakeAgent(t)
	_, recorder := startAgentClient(t, addr)
	c := nextCall(t, calls)
	c.sendList(list(5, true, "a"))
	hung := nextCall(t, calls)
	var index, wait int
	if _, err := fmt.Sscanf(hung.query, "index=%d&wait=%d", &index, &wait); err != nil || index != 5 || wait > 1000 {
		t.Fatalf("asked %q, want a watch of a second at the most", hung.query)
	}
	c = nextCall(t, calls)
	if hung.isOpen() {
		<-hung.closed
	}
	if c.query != "" {
		t.Errorf("asked %q, want the whole list", c.query)
	}
	c.sendList(list(6, true, "b"))
	lbtest.Until(t, "the news", func() bool { return recorder.contains("whole b") })
}

// TestAgentAddressChanges answers a call that was open when the address changed: it has no effect, whenever the response
// arrives.
func TestAgentAddressChanges(t *testing.T) {
	t.Parallel()
	from, old := startFakeAgent(t)
	to, calls := startFakeAgent(t)
	recorder := &updateRecorder{}
	c := New(from, 0, 0, recorder.record, slog.New(slog.DiscardHandler))
	read := make(chan struct{}) // the answer is read, and not taken yet
	var once sync.Once
	c.beforeApply = func(ctx context.Context) {
		once.Do(func() {
			close(read)
			<-ctx.Done()
		})
	}
	runClient(t, c)
	nextCall(t, old).sendList(list(90, true, "old"))
	<-read
	c.SetAddress(to)
	nextCall(t, calls).sendList(list(3, true, "new"))
	lbtest.Until(t, "the new list", func() bool { return recorder.contains("whole new") })
	if recorder.contains("whole old") {
		t.Errorf("told %q", recorder.updates)
	}
}
