// Package fake holds stand-ins for what stands round the program: nodos and a name server, on loopback, for its demo,
// tests and measurements.
package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// EndpointOptions describe a nodo.
type EndpointOptions struct {
	Name, Site string
	Slots      int           // requests at work at once; 0: any number
	Queue      int           // requests that wait; beyond that they are turned away
	Work       time.Duration // for each request
	// Group is whom the nodo shares its memory of keys with; nil: it has none, and each request with a key takes effect.
	Group *Group
	// Fault is asked for each request that has been worked through; nil: none.
	Fault func(*http.Request) Fault
}

// Fault is what becomes of an answer whose request has taken effect.
type Fault uint8

// The troubles.
const (
	NoFault         Fault = iota
	NoResponse            // it never comes
	ConnectionReset       // the connection is reset in its place
)

// Group is a set of nodos that drop repeats of a key that came to any of them.
type Group struct {
	Name   string
	Window time.Duration // for which a key is remembered, from the first request on

	mu      sync.Mutex
	seen    map[string]time.Time
	effects map[string]int
}

// NewGroup returns a group that remembers nothing yet.
func NewGroup(name string, window time.Duration) *Group {
	return &Group{Name: name, Window: window, seen: map[string]time.Time{}, effects: map[string]int{}}
}

// record notes a request with a key. It takes effect unless the key is remembered.
func (g *Group) record(key string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, seen := g.seen[key]; seen && now.Sub(at) < g.Window {
		return
	}
	g.seen[key] = now
	g.effects[key]++
}

// Effects returns how often each key took effect in the group.
func (g *Group) Effects() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.effects)
}

// Endpoint is a server that works through requests in slots, turns away what it has no room for, and counts effects by key.
type Endpoint struct {
	Addr    string
	options EndpointOptions

	server   *http.Server
	slots    chan struct{}
	waiting  atomic.Int64
	draining atomic.Bool
	hanging  atomic.Bool
	requests atomic.Int64
	done     chan struct{}

	mu                    sync.Mutex
	effects               map[string]int // by idempotency key
	requestsWhileDraining int            // requests that began after it was told to drain
}

// NewEndpoint starts a nodo on a free loopback port. Close ends it.
func NewEndpoint(o EndpointOptions) (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake: %w", err)
	}
	n := &Endpoint{Addr: l.Addr().String(), options: o, effects: map[string]int{}, done: make(chan struct{})}
	if o.Slots > 0 {
		n.slots = make(chan struct{}, o.Slots)
	}
	n.server = &http.Server{Handler: n, ReadHeaderTimeout: 10 * time.Second}
	go n.server.Serve(l)
	return n, nil
}

// Close ends the nodo and all that it holds.
func (n *Endpoint) Close() {
	select {
	case <-n.done:
	default:
		close(n.done)
	}
	n.server.Close()
}

// Drain has the nodo count what still comes, and turn it away.
func (n *Endpoint) Drain() { n.draining.Store(true) }

// Hang has the nodo take requests and answer none.
func (n *Endpoint) Hang(on bool) { n.hanging.Store(on) }

// Requests returns the number of requests that have come.
func (n *Endpoint) Requests() int64 { return n.requests.Load() }

// RequestsWhileDraining returns the number of requests that came after Drain.
func (n *Endpoint) RequestsWhileDraining() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requestsWhileDraining
}

// Effects returns how often each key came to the nodo and was worked through.
func (n *Endpoint) Effects() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.effects)
}

func (n *Endpoint) reject(w http.ResponseWriter) {
	w.Header().Set("X-Not-Processed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// holdUntilDisconnect holds a request until its caller has gone, and answers nothing.
func (n *Endpoint) holdUntilDisconnect(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-n.done:
	}
	panic(http.ErrAbortHandler) // a handler that returns has answered 200
}

func (n *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	n.requests.Add(1)
	if n.hanging.Load() {
		n.holdUntilDisconnect(r)
	}
	if n.draining.Load() {
		n.mu.Lock()
		n.requestsWhileDraining++
		n.mu.Unlock()
		n.reject(w)
		return
	}
	if n.slots != nil {
		select {
		case n.slots <- struct{}{}:
		default:
			if n.waiting.Add(1) > int64(n.options.Queue) {
				n.waiting.Add(-1)
				n.reject(w)
				return
			}
			n.slots <- struct{}{} // those at work end in their time
			n.waiting.Add(-1)
		}
		defer func() { <-n.slots }()
	}
	if n.options.Work > 0 {
		time.Sleep(n.options.Work)
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		if n.options.Group != nil {
			n.options.Group.record(key, time.Now())
		}
		n.mu.Lock()
		n.effects[key]++
		n.mu.Unlock()
	}
	if n.options.Fault != nil {
		switch n.options.Fault(r) {
		case NoResponse:
			n.holdUntilDisconnect(r)
		case ConnectionReset:
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Nodo", n.options.Name)
	json.NewEncoder(w).Encode(map[string]any{"nodo": n.options.Name, "sala": n.options.Site, "method": r.Method, "path": r.URL.RequestURI(),
		"id": r.Header.Get("X-Request-Id"), "body": string(body)})
}
