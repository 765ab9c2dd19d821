package rig

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// workTime is how long a nodo works on a request.
const workTime = 300 * time.Millisecond

// Nodos are the endpoints of several salas. The nodos of one sala know each other's keys, and drop a repeat of a key for the window.
type Nodos struct {
	Endpoints []Endpoint

	c      *Case
	window time.Duration
	loses  func(run int) bool

	mu    sync.Mutex
	ranAt map[string]time.Time   // the last run, by sala and key
	runs  map[string][]Execution // by key
}

// Execution is one run of a request.
type Execution struct {
	Sala, Nodo string
	At         time.Time
}

// NewNodos starts a number of nodos in each sala. The function loses tells whether the answer to a run of a key is lost, by the number of runs
// that the key had before: the connection is then reset after the run.
func (c *Case) NewNodos(salas []string, each int, window time.Duration, loses func(run int) bool) (*Nodos, error) {
	n := &Nodos{c: c, window: window, loses: loses, ranAt: map[string]time.Time{}, runs: map[string][]Execution{}}
	for _, sala := range salas {
		for i := range each {
			name := fmt.Sprintf("%s-%d", sala, i+1)
			server, err := c.NewServer(name, func(w http.ResponseWriter, a *Arrival) { n.serve(sala, name, w, a) })
			if err != nil {
				return nil, err
			}
			n.Endpoints = append(n.Endpoints, Endpoint{Name: name, Address: server.Address, Zone: sala, Type: "portal-1c", Group: 1, Status: "ready", Weight: 1})
		}
	}
	return n, nil
}

// Runs returns the runs of each key.
func (n *Nodos) Runs() map[string][]Execution {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string][]Execution{}
	for key, runs := range n.runs {
		out[key] = append([]Execution{}, runs...)
	}
	return out
}

// begin reports whether a request with a key runs, and how often the key has run before.
func (n *Nodos) begin(sala, nodo, key string) (runsNow bool, before int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if at, known := n.ranAt[sala+" "+key]; known && now.Sub(at) < n.window {
		return false, 0
	}
	before = len(n.runs[key])
	n.ranAt[sala+" "+key] = now
	n.runs[key] = append(n.runs[key], Execution{sala, nodo, now})
	return true, before
}

func (n *Nodos) serve(sala, nodo string, w http.ResponseWriter, a *Arrival) {
	key := a.Request.Header.Get("Idempotency-Key")
	runsNow, before := n.begin(sala, nodo, key)
	if !runsNow {
		n.c.Logf("server %s drops request %s, a repeat of %s", nodo, a.ID, key)
		Answer(w, a)
		return
	}
	n.c.Logf("server %s runs request %s with %s", nodo, a.ID, key)
	time.Sleep(workTime)
	if !n.loses(before) {
		Answer(w, a)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		n.c.Logf("server %s: %v", nodo, err)
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0) // the close resets the connection
	conn.Close()
	n.c.Logf("server %s resets the connection of request %s", nodo, a.ID)
}

// CheckKeys records the runs of all keys: each must have run once, and so many keys must have run.
func (n *Nodos) CheckKeys(keys int) error {
	runs := n.Runs()
	for key, r := range runs {
		n.c.Logf("%s has run %d times", key, len(r))
		if len(r) > 1 {
			n.c.Broken("%s ran in %s, and again %v later in %s", key, r[0].Sala, r[1].At.Sub(r[0].At).Round(time.Millisecond), r[1].Sala)
		}
	}
	if len(runs) != keys {
		return fmt.Errorf("%d of %d keys have run", len(runs), keys)
	}
	return nil
}
