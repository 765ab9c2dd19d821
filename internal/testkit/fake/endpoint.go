// Package fake holds fakes of the systems around the program, on loopback: endpoints, discovery, name server, network, disk, certificate
// authority. The demo, tests and benchmarks use them.
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

// EndpointOptions configure an endpoint.
type EndpointOptions struct {
	Name, Site string
	Slots      int           // requests in progress at once; 0: without a limit
	Queue      int           // requests that wait; others are rejected
	Work       time.Duration // time for each request
	// Group is the group that the endpoint shares its memory of keys with; nil: each request with a key takes effect.
	Group *Group
	// Fault is asked for each request that has been worked through; nil: none.
	Fault func(*http.Request) Fault
}

// Fault is a fault of the response to a request that has taken effect.
type Fault uint8

// The faults.
const (
	NoFault         Fault = iota
	NoResponse            // it is never sent
	ConnectionReset       // the connection is reset instead
)

// Group is a set of endpoints that deduplicate requests by their idempotency keys.
type Group struct {
	Name   string
	Window time.Duration // for which a key is remembered from its first request on

	mu      sync.Mutex
	seen    map[string]time.Time
	effects map[string]int
}

// NewGroup returns a group without keys.
func NewGroup(name string, window time.Duration) *Group {
	return &Group{Name: name, Window: window, seen: map[string]time.Time{}, effects: map[string]int{}}
}

// record records a request with a key. It takes effect unless the key is remembered.
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

// Endpoint is a server with bounded concurrency. It rejects requests beyond its capacity, and counts effects by key.
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
	requestsWhileDraining int            // since Drain
}

// NewEndpoint starts an endpoint on a free loopback port. Close ends it.
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

// Close ends the endpoint and its requests.
func (n *Endpoint) Close() {
	select {
	case <-n.done:
	default:
		close(n.done)
	}
	n.server.Close()
}

// Drain has the endpoint count and reject further requests.
func (n *Endpoint) Drain() { n.draining.Store(true) }

// Hang has the endpoint accept requests and send no responses.
func (n *Endpoint) Hang(on bool) { n.hanging.Store(on) }

// Requests returns the number of requests that were received.
func (n *Endpoint) Requests() int64 { return n.requests.Load() }

// RequestsWhileDraining returns the number of requests since Drain.
func (n *Endpoint) RequestsWhileDraining() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requestsWhileDraining
}

// Effects returns how often a request with each key was completed.
func (n *Endpoint) Effects() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.effects)
}

func (n *Endpoint) reject(w http.ResponseWriter) {
	w.Header().Set("X-Not-Processed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// holdUntilDisconnect sends no response, and waits for the client's disconnect.
func (n *Endpoint) holdUntilDisconnect(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-n.done:
	}
	panic(http.ErrAbortHandler) // a handler that returns sends 200
}

// ServeHTTP implements http.Handler.
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
			n.slots <- struct{}{} // requests in progress end in their time
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
