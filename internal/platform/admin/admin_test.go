package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"silvertrail/internal/testkit/lbtest"
)

func TestMain(m *testing.M) {
	// net/http waits for 0.5 s before it closes a connection whose request it has not read completely.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

// fakeOperations is a fake implementation of Operations that records ejections.
type fakeOperations struct {
	mu      sync.Mutex
	ready   bool
	ejected map[string]bool // by endpoint ID
}

func (o *fakeOperations) IsReady() bool { o.mu.Lock(); defer o.mu.Unlock(); return o.ready }
func (o *fakeOperations) Stats() []byte { return []byte(`{"current":3}` + "\n") }

func (o *fakeOperations) SetEjected(_ context.Context, id string, ejected bool) error {
	if strings.HasPrefix(id, "unknown") {
		return ErrUnknownEndpoint
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ejected[id] = ejected
	return nil
}

// startServer starts a server, which the test's cleanup closes, and returns its operations and its address.
func startServer(t *testing.T) (*fakeOperations, string) {
	t.Helper()
	l := lbtest.Listen(t)
	o := &fakeOperations{ejected: map[string]bool{}}
	s := New(l, o, log.New(io.Discard, "", 0))
	done := make(chan error)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return o, l.Addr().String()
}

// call sends the text of a request on a new connection, and returns the response and its body.
func call(t *testing.T, addr, text string) (*http.Response, string) {
	t.Helper()
	c := lbtest.Dial(t, addr)
	defer c.Close()
	c.Send(text)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("reading the response to request %.40q: %v", text, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

func TestCallsGetExpectedStatusAndBody(t *testing.T) {
	o, addr := startServer(t)
	for _, c := range []struct {
		method, path string
		status       int
		wantBody     string // part of the body
	}{
		{"GET", "/ops/readiness", 503, "takes no clients"},
		{"GET", "/ops/stats", 200, `{"current":3}`},
		{"PUT", "/ops/endpoints/down/s-1", 200, `"s-1" gets nothing more`},
		{"PUT", "/ops/endpoints/down/s-1", 200, ""},
		{"PUT", "/ops/endpoints/up/s-1", 200, "may serve again"},
		{"PUT", "/ops/endpoints/down/s%2F2%20x", 200, `"s/2 x"`},
		{"PUT", "/ops/endpoints/down/unknown-7", 404, `"unknown-7" was never listed`},
		{"PUT", "/ops/endpoints/up/unknown-7", 404, ""},
		{"PUT", "/ops/endpoints/down/", 400, "one endpoint's id"},
		{"PUT", "/ops/endpoints/down/a/b", 400, ""},
		{"PUT", "/ops/endpoints/down/" + strings.Repeat("x", maxIDBytes+1), 400, ""},
		{"PUT", "/ops/endpoints/sideways/s-1", 404, "no such call"},
		{"GET", "/", 404, "there are GET /ops/readiness"},
		{"GET", "/ops/endpoints/down/s-1", 405, "PUT is"},
		{"PUT", "/ops/stats", 405, "GET is"},
		{"POST", "/ops/readiness", 405, ""},
		{"GET", "/ops/readiness?verbose=1", 503, ""},
	} {
		r, body := call(t, addr, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", c.method, c.path))
		if r.StatusCode != c.status || !strings.Contains(body, c.wantBody) || strings.Count(body, "\n") != 1 || !r.Close {
			t.Errorf("%s %s: unexpected response with status %d, body %q, close %t", c.method, c.path, r.StatusCode, body, r.Close)
		}
		if allow := r.Header.Get("Allow"); (allow != "") != (c.status == 405) {
			t.Errorf("%s %s: unexpected header Allow %q", c.method, c.path, allow)
		}
	}
	if len(o.ejected) != 2 || o.ejected["s-1"] || !o.ejected["s/2 x"] {
		t.Error(o.ejected)
	}
	o.mu.Lock()
	o.ready = true
	o.mu.Unlock()
	if r, _ := call(t, addr, "GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n"); r.StatusCode != http.StatusOK {
		t.Error("readiness call did not return status 200 although the process accepts clients")
	}
	if r, _ := call(t, addr, "GET /ops/stats HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("y", 4*maxHeadBytes)+"\r\n\r\n"); r.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("oversized request head: got status %d, want 431", r.StatusCode)
	}
}

// TestOldestIncompleteCallsAreClosed has many clients connect without completing a call. The server must close the oldest
// connections, so that it can still serve complete calls.
func TestOldestIncompleteCallsAreClosed(t *testing.T) {
	_, addr := startServer(t)
	var open []*lbtest.Client
	for i := range 5 * MaxConnections {
		c := lbtest.Dial(t, addr)
		if i%2 == 0 {
			c.Send("PUT /ops/endpoints/down/s-1 HTT")
		}
		open = append(open, c)
		if i%8 == 0 {
			if r, _ := call(t, addr, "GET /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n"); r.StatusCode != http.StatusOK {
				t.Errorf("complete call after incomplete call %d: got status %d, want 200", i, r.StatusCode)
			}
		}
	}
	for _, c := range open[:3*MaxConnections] {
		var timeout net.Error
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("incomplete call got a response")
		} else if errors.As(err, &timeout) && timeout.Timeout() {
			t.Error("connection of an old incomplete call is still open")
		}
	}
}
