// Package lbtest holds what the tests of the socket packages share: a configuration, a discovery and endpoints whose
// every byte the test decides, all on loopback.
package lbtest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"silvertrail/internal/testkit/loopback"
)

// Wait bounds every wait of a test: generous, as it passes only where the test fails.
const Wait = 20 * time.Second

const settings = `{"balancers": 1, "me": 0, "tier": 0, "zone": 0, "zones": ["a", "b"],
	"classes": [
		{"name": "read", "deadline": 10, "goal_time": 5, "effect": "free", "worth": 1},
		{"name": "write", "deadline": 10, "goal_time": 5, "effect": "guarded", "key_scope": "zone", "window": 30, "worth": 2}],
	"customers": [{"name": "acme", "quota_per_s": 1000}],
	"limits": {"cancelling": true, "conn_idle": 5, "dial_timeout": 5, "max_attempts": 3, "may_duplicate": true},
	"obligations": {"cold": 10, "fall": 2, "fall_multiple": 2.5, "start_capacity": 0.2},
	"registry_mode": "pushed", "telemetry": {"fields": ["util"], "via": "inline"}}`

// WriteConfig writes a configuration file and returns its path. An empty path makes one in a folder of the test's.
func WriteConfig(t testing.TB, path, listen, discovery string) string {
	t.Helper()
	if path == "" {
		path = filepath.Join(t.TempDir(), "config.json")
	}
	text := fmt.Sprintf(`{"name": "n0", "listen": %q, "discovery": %q, "seed": "1f",
		"limits": {"cores": 1, "memory_mb": 64, "sockets": 256}, "settings": %s}`, listen, discovery, settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Listen returns a listener on a free loopback port; the test's end closes it.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// ReserveAddress returns a loopback address on which a process that the test starts may listen. It is given to nobody else until the test's
// end.
func ReserveAddress(t testing.TB) string {
	t.Helper()
	address, release, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return address
}

// Discovery responds with the whole list, and holds watches until Set or the end of the test.
type Discovery struct {
	Addr  string
	Zones []string // of the entries in turn; set before Set; none: all are in zone a

	mu      sync.Mutex
	index   int
	entries []map[string]any
	changed chan struct{}
	asked   chan string
}

// NewDiscovery starts a discovery whose versions begin at index.
func NewDiscovery(t testing.TB, index int, endpoints ...string) *Discovery {
	t.Helper()
	l := Listen(t)
	d := &Discovery{Addr: l.Addr().String(), index: index, changed: make(chan struct{}), asked: make(chan string, 1)}
	d.list(endpoints)
	s := &http.Server{Handler: d}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return d
}

func (d *Discovery) list(endpoints []string) {
	d.entries = nil
	for i, addr := range endpoints {
		zone := "a"
		if len(d.Zones) > 0 {
			zone = d.Zones[i%len(d.Zones)]
		}
		d.entries = append(d.entries, map[string]any{"name": fmt.Sprintf("s-%s-%d", d.Addr, i), "address": addr, "zone": zone,
			"group": 1, "status": "ready", "since_ms": 0})
	}
}

// Set replaces the list.
func (d *Discovery) Set(endpoints ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	d.list(endpoints)
	close(d.changed)
	d.changed = make(chan struct{})
}

// Asked returns a channel that receives the query of a call soon after the call has arrived.
func (d *Discovery) Asked() <-chan string { return d.asked }

func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case d.asked <- r.URL.RawQuery:
	default:
	}
	d.mu.Lock()
	changed, index := d.changed, d.index
	d.mu.Unlock()
	if r.URL.Query().Get("index") == fmt.Sprint(index) {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]any{"index": d.index, "snapshot": true, "endpoints": d.entries})
}

// Endpoint is a server that reads complete requests and passes each to a function of the test.
type Endpoint struct {
	Addr     string
	Arrivals chan *Arrival // each request, if NewEndpoint got no function
}

// Arrival is a complete request, and the connection for its response.
type Arrival struct {
	net.Conn
	Request *http.Request
	Body    string
	Index   int // on its connection, from 0
}

// OK writes a response with status 200 and a body that names the request.
func (a *Arrival) OK() { a.Write([]byte(OK("answer to " + a.Request.Header.Get("X-Request-ID")))) }

// OK returns a complete response with status 200.
func OK(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// NewEndpoint starts an endpoint. It calls serve for each request, in the order of its connection. If serve is nil, the requests are sent
// to Arrivals.
func NewEndpoint(t testing.TB, serve func(*Arrival)) *Endpoint {
	t.Helper()
	l := Listen(t)
	e := &Endpoint{Addr: l.Addr().String(), Arrivals: make(chan *Arrival, 64)}
	if serve == nil {
		serve = func(a *Arrival) { e.Arrivals <- a }
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					serve(&Arrival{Conn: c, Request: r, Body: string(body), Index: n})
				}
			}()
		}
	}()
	return e
}

// Head returns a request's head with the given id; further lines go before its end.
func Head(method, class, id string, lines ...string) string {
	h := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tenant-Id: acme\r\n",
		method, class, id, class)
	for _, line := range lines {
		h += line + "\r\n"
	}
	return h + "\r\n"
}

// Get returns a request of the class that is safe to repeat.
func Get(id string, lines ...string) string { return Head("GET", "read", id, lines...) }

// Post returns a keyed request.
func Post(id, body string, lines ...string) string {
	lines = append([]string{"Idempotency-Key: k-" + id, fmt.Sprintf("Content-Length: %d", len(body))}, lines...)
	return Head("POST", "write", id, lines...) + body
}

// Client is a client with one connection.
type Client struct {
	net.Conn
	br *bufio.Reader
	t  testing.TB
}

// Dial connects to a sidecar.
func Dial(t testing.TB, addr string) *Client {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, Wait)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(Wait))
	return &Client{Conn: c, br: bufio.NewReader(c), t: t}
}

// DialFrom connects from an address of the loopback network.
func DialFrom(from, to string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: Wait}
	c, err := d.Dial("tcp", to)
	if err == nil {
		c.SetDeadline(time.Now().Add(2 * Wait))
	}
	return c, err
}

// ReadResponse reads one response and its Retry-After time; zero: it has none. Status 0 means that the connection ended without one.
func ReadResponse(from *bufio.Reader) (status int, after time.Duration) {
	r, err := http.ReadResponse(from, nil)
	if err != nil {
		return 0, 0
	}
	defer r.Body.Close()
	io.Copy(io.Discard, r.Body)
	seconds, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	return r.StatusCode, time.Duration(seconds * float64(time.Second))
}

// Log is a log that can be read while it is written.
type Log struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *Log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Contains reports whether the log contains a text.
func (l *Log) Contains(text string) bool { return strings.Contains(l.String(), text) }

// TryDial connects, or returns nil if nothing listens at the address.
func TryDial(addr string) net.Conn {
	c, err := net.DialTimeout("tcp", addr, Wait)
	if err != nil {
		return nil
	}
	return c
}

// Send writes text unchanged. It ignores errors: the peer may have closed the connection, which Response reports.
func (c *Client) Send(text string) { io.WriteString(c, text) }

// Response reads one response. Status 0 means that the connection ended without one.
func (c *Client) Response() (status int, body string) {
	c.t.Helper()
	r, err := http.ReadResponse(c.br, nil)
	if isTimeout(err) {
		c.t.Fatal("neither an answer nor a close")
	}
	if err != nil {
		return 0, ""
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, string(text)
	}
	return r.StatusCode, string(text)
}

// ResponseClosing is like Response, and also reports whether the response asks the client to close the connection.
func (c *Client) ResponseClosing() (status int, body string, closes bool) {
	c.t.Helper()
	r, err := http.ReadResponse(c.br, nil)
	if isTimeout(err) {
		c.t.Error("neither an answer nor a close")
	}
	if err != nil {
		return 0, "", true
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, string(text), true
	}
	return r.StatusCode, string(text), r.Close
}

// isTimeout reports whether an error is a time-out.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// AwaitClose waits for the end of the connection and returns the text that arrived before it.
func (c *Client) AwaitClose() string {
	c.t.Helper()
	text, err := io.ReadAll(c.br)
	if isTimeout(err) {
		c.t.Fatal("the connection is still open")
	}
	return strings.TrimSpace(string(text))
}

// Until waits for a condition, and fails the test if it does not come true.
func Until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	if !Eventually(ok) {
		t.Fatal("never: " + what)
	}
}

// Eventually waits as Until does, and reports whether the condition came true.
func Eventually(ok func() bool) bool {
	for end := time.Now().Add(Wait); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// NewClient returns a client that uses an existing connection.
func NewClient(t testing.TB, c net.Conn) *Client {
	t.Helper()
	c.SetDeadline(time.Now().Add(Wait))
	return &Client{Conn: c, br: bufio.NewReader(c), t: t}
}
