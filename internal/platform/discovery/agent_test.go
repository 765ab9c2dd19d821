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

// agentCall is a call that a fake agent has received. The test decides on the response.
type agentCall struct {
	net.Conn
	query  string
	closed chan struct{} // closed when the caller has closed the connection
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

// sendPartialResponse sends a response without the last 5 bytes of its list.
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

// startFakeAgent starts an agent that passes each call to the test.
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
					if _, err := br.Peek(1); err != nil { // waits for the end of the connection, or for the next call
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
		t.Fatal("no call was made")
		panic("unreachable")
	}
}

// While discovery is down, an agent never responds to the calls that it accepts. A change that it receives after the outage
// counts as notified at once, so the client must make new calls while earlier ones still hang. In this test the first call
// never ends.
func TestAgentIsCalledAgainWhileCallHangs(t *testing.T) {
	t.Parallel()
	addr, calls := startFakeAgent(t)
	_, recorder := startAgentClient(t, addr)
	first := nextCall(t, calls) // never gets a response
	var last *agentCall
	for range 3 {
		last = nextCall(t, calls)
		if !first.isOpen() {
			t.Fatal("the next call was made only after the first call had timed out")
		}
	}
	if last.query != "" {
		t.Errorf("query %q, want none, for the whole list", last.query)
	}
	for !recorder.contains("whole a") { // a call may time out while its response is sent
		last.sendList(list(5, true, "a"))
		select {
		case last = <-calls:
		case <-first.closed:
		}
	}
}

// A watch that is open when discovery goes down never gets a response. Its wait must be 1 s at the most, and the whole list
// must be requested after it.
func TestHungAgentWatchIsFollowedBySnapshot(t *testing.T) {
	t.Parallel()
	addr, calls := startFakeAgent(t)
	_, recorder := startAgentClient(t, addr)
	c := nextCall(t, calls)
	c.sendList(list(5, true, "a"))
	hung := nextCall(t, calls)
	var index, wait int
	if _, err := fmt.Sscanf(hung.query, "index=%d&wait=%d", &index, &wait); err != nil || index != 5 || wait > 1000 {
		t.Fatalf("query %q, want a watch after version 5 of 1 s at the most", hung.query)
	}
	c = nextCall(t, calls)
	if hung.isOpen() {
		<-hung.closed
	}
	if c.query != "" {
		t.Errorf("query %q, want none, for the whole list", c.query)
	}
	c.sendList(list(6, true, "b"))
	lbtest.Until(t, "the list of version 6", func() bool { return recorder.contains("whole b") })
}

// The response to a call that was open when the address changed must have no effect, even if its list has been read already.
func TestListFromFormerAgentAddressIsIgnored(t *testing.T) {
	t.Parallel()
	oldAddr, oldCalls := startFakeAgent(t)
	newAddr, calls := startFakeAgent(t)
	recorder := &updateRecorder{}
	c := New(oldAddr, 0, 0, recorder.record, slog.New(slog.DiscardHandler))
	read := make(chan struct{}) // closed when the first list is read and not applied yet
	var once sync.Once
	c.beforeApply = func(ctx context.Context) {
		once.Do(func() {
			close(read)
			<-ctx.Done()
		})
	}
	runClient(t, c)
	nextCall(t, oldCalls).sendList(list(90, true, "old"))
	<-read
	c.SetAddress(newAddr)
	nextCall(t, calls).sendList(list(3, true, "new"))
	lbtest.Until(t, "the new list", func() bool { return recorder.contains("whole new") })
	if recorder.contains("whole old") {
		t.Errorf("updates %q", recorder.updates)
	}
}
