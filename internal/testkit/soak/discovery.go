package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// entry is an endpoint in discovery's list (PROTOCOL, "Discovery").
type entry struct {
	Name      string `json:"name"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	Group     int    `json:"group"`
	Status    string `json:"status"`
	StartedAt int64  `json:"since_ms"`
}

// list is an answer of discovery.
type list struct {
	Index     int     `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

const (
	slowAnswer    = 60 * time.Millisecond // of a slow discovery
	maxHeldMillis = 60_000                // of a watch
)

// discovery is an agent that pushes lists, at an address that can change. All addresses tell the same list.
type discovery struct {
	mu      sync.Mutex
	index   int
	entries []entry
	changed chan struct{} // closed at each change
	slow    bool
	silent  bool
	agents  []*agent
}

// agent is the discovery at one address.
type agent struct {
	discovery *discovery
	listener  net.Listener
	server    *http.Server
	moved     bool // it is silent for good
}

func newDiscovery() *discovery {
	return &discovery{index: 1, changed: make(chan struct{})}
}

// listen starts an agent at another address, and returns that. The earlier ones fall silent.
func (d *discovery) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	a := &agent{discovery: d, listener: l}
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: time.Minute}
	d.mu.Lock()
	for _, earlier := range d.agents {
		earlier.moved = true
	}
	d.agents = append(d.agents, a)
	d.notify()
	d.mu.Unlock()
	go a.server.Serve(l)
	return l.Addr().String(), nil
}

func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.agents {
		a.server.Close()
	}
}

// set changes an entry. One without an address is removed.
func (d *discovery) set(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = slices.DeleteFunc(d.entries, func(other entry) bool { return other.Name == e.Name })
	if e.Address != "" {
		d.entries = append(d.entries, e)
	}
	d.index++
	d.notify()
}

func (d *discovery) setSlow(slow bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slow = slow
}

// setSilent has the agent answer nothing; calls and watches that come meanwhile are never answered.
func (d *discovery) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	d.notify()
}

// notify wakes all watches. The caller holds the lock.
func (d *discovery) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// state returns what a call sees.
func (a *agent) state() (answer list, changed chan struct{}, silent, slow bool) {
	d := a.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{d.index, true, slices.Clone(d.entries)}, d.changed, d.silent || a.moved, d.slow
}

// ServeHTTP answers a call: a watch as soon as there is something newer, or its wait is over.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("index")) // without one, the whole list is asked for
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	until := time.NewTimer(time.Duration(min(wait, maxHeldMillis)) * time.Millisecond)
	defer until.Stop()
	over := index == 0
	for {
		answer, changed, silent, slow := a.state()
		if silent {
			<-r.Context().Done()
			return
		}
		if answer.Index > index || over {
			if slow {
				time.Sleep(slowAnswer)
			}
			_ = json.NewEncoder(w).Encode(answer) // a caller that has gone needs none
			return
		}
		select {
		case <-changed:
		case <-until.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
