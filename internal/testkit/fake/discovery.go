package fake

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// DiscoveryState is how a discovery takes calls.
type DiscoveryState uint8

// The states.
const (
	Answers   DiscoveryState = iota
	Mute                     // it takes calls in and answers none, also not later; open watches stay open, and are never answered
	Refuses                  // calls end with no answer, open watches too
	TurnsAway                // 503 to each call
)

// DiscoveryOptions describe a discovery. The zero value is an agent: it answers at once whoever asks.
type DiscoveryOptions struct {
	Work  time.Duration // for each call, one after the other; 0: none, and all at once
	Queue int           // calls that wait for their turn; beyond that they are turned away
	Delay time.Duration // before an answer, of each call by itself
}

// DiscoveryEntry is an endpoint of a list, in the platform's form.
type DiscoveryEntry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// Entries returns so many endpoints that are ready, all at one address.
func Entries(n int, address string) []DiscoveryEntry {
	out := make([]DiscoveryEntry, n)
	for i := range out {
		out[i] = DiscoveryEntry{Name: fmt.Sprintf("s-%08x", i), Address: address, Zone: "a", Type: "m2", Group: 1, Status: "ready", Weight: 1}
	}
	return out
}

// Discovery is a stand-in for the platform's discovery, or for the agent that it pushes lists to: it tells whole lists, and
// holds a call that names the version in hand until there is another or its wait is over.
type Discovery struct {
	Addr string

	o        DiscoveryOptions
	server   *http.Server
	turn     chan struct{} // whose turn it is
	line     atomic.Int64  // those that wait for it, and the one whose it is
	calls    atomic.Int64
	rejected atomic.Int64

	mu      sync.Mutex
	state   DiscoveryState
	index   int64
	list    []byte
	changed chan struct{} // closed when list or state change
}

// NewDiscovery starts a discovery on a free loopback port whose first list has version 1. Close ends it.
func NewDiscovery(o DiscoveryOptions, entries []DiscoveryEntry) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake: %w", err)
	}
	d := &Discovery{Addr: l.Addr().String(), o: o, turn: make(chan struct{}, 1), changed: make(chan struct{})}
	d.Set(entries)
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: 10 * time.Second}
	go d.server.Serve(l)
	return d, nil
}

// Close ends the discovery and all calls.
func (d *Discovery) Close() { d.server.Close() }

// Set replaces the list.
func (d *Discovery) Set(entries []DiscoveryEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	d.list = ListText(d.index, entries)
	d.wake()
}

// ListText returns a whole list in the platform's form.
func ListText(index int64, entries []DiscoveryEntry) []byte {
	text, err := json.Marshal(map[string]any{"index": index, "snapshot": true, "endpoints": entries})
	if err != nil {
		panic(err) // of plain fields alone
	}
	return text
}

// SetState changes how calls are taken. One that was taken in while it was mute is never answered.
func (d *Discovery) SetState(s DiscoveryState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state = s
	d.wake()
}

func (d *Discovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Calls returns how many calls have come, and how many of them were turned away for want of room.
func (d *Discovery) Calls() (all, turnedAway int64) { return d.calls.Load(), d.rejected.Load() }

func (d *Discovery) now() (DiscoveryState, int64, []byte, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state, d.index, d.list, d.changed
}

func (d *Discovery) reject(w http.ResponseWriter) {
	d.rejected.Add(1)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ServeHTTP takes one call.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.calls.Add(1)
	if state, _, _, _ := d.now(); state == Answers && d.o.Work > 0 {
		if d.line.Add(1) > int64(d.o.Queue)+1 {
			d.line.Add(-1)
			d.reject(w)
			return
		}
		d.turn <- struct{}{} // each ends in its time
		time.Sleep(d.o.Work)
		<-d.turn
		d.line.Add(-1)
	}
	late := time.After(d.o.Delay)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	waited := false
	for {
		state, index, list, changed := d.now()
		switch {
		case state == Mute:
			<-r.Context().Done()
			panic(http.ErrAbortHandler) // a handler that returns has answered 200
		case state == Refuses:
			panic(http.ErrAbortHandler)
		case state == TurnsAway:
			d.reject(w)
			return
		case late != nil:
			select {
			case <-late:
				late = nil
			case <-changed:
			case <-r.Context().Done():
				return
			}
			continue
		case !waited && wait > 0 && r.URL.Query().Get("index") == fmt.Sprint(index):
			select {
			case <-over:
				waited = true
			case <-changed:
			case <-r.Context().Done():
				return
			}
			continue
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(list)
		return
	}
}
