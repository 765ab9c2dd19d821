package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/fleet"
	"silvertrail/lbpolicy"
)

// controlSocket is the Unix socket for operators, which its owner alone can open. It reports state, drains links, and publishes resources.
type controlSocket struct {
	server *http.Server
	path   string
}

func (g *Gateway) openControl(path string) error {
	if path == "" {
		return nil
	}
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return fmt.Errorf("gateway: control: another process listens on %s", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) { // left by a process that was killed
		return fmt.Errorf("gateway: control: %w", err)
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return fmt.Errorf("gateway: control: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return fmt.Errorf("gateway: control: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", g.handleMetrics)
	mux.HandleFunc("GET /fleet/members", g.handleMembers)
	mux.HandleFunc("GET /fleet/reach", g.handleReachability)
	mux.HandleFunc("GET /fleet/versions", g.handleVersions)
	mux.HandleFunc("GET /fleet/key", g.handleKey)
	mux.HandleFunc("GET /link/status", g.handleLinks)
	mux.HandleFunc("GET /link/lookup", g.handleLookup)
	mux.HandleFunc("POST /link/drain", g.handleDrain)
	mux.HandleFunc("GET /connections", g.handleConnections)
	mux.HandleFunc("GET /xds", g.handleDiscovery)
	mux.HandleFunc("GET /ledger", g.handleLedger)
	mux.HandleFunc("GET /control-plane", g.handleControlPlane)
	mux.HandleFunc("POST /control-plane/publish", g.handlePublication)
	g.control = &controlSocket{server: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, IdleTimeout: time.Second, MaxHeaderBytes: 16 << 10}, path: path}
	go func() { _ = g.control.server.Serve(l) }() // returns when the server is closed
	return nil
}

func (g *Gateway) closeControl() {
	if g.control != nil {
		_ = g.control.server.Close() // the process ends, or the listener is closed already
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

func (g *Gateway) handleDiscovery(w http.ResponseWriter, _ *http.Request) {
	if g.discovery == nil {
		http.Error(w, "this instance has no control planes", http.StatusNotFound)
		return
	}
	writeJSON(w, g.discovery.Dump())
}

// FleetStatus is the state of the fleet, as the control socket reports it.
type FleetStatus struct {
	Instances int            `json:"instances"`
	Place     int            `json:"place"`
	Members   []fleet.Member `json:"members"`
}

func (g *Gateway) handleMembers(w http.ResponseWriter, _ *http.Request) {
	if g.fleet == nil {
		http.Error(w, "this instance is in no fleet", http.StatusNotFound)
		return
	}
	v := FleetStatus{Members: g.fleet.Members()}
	quota := g.fleet.Quota()
	v.Instances, v.Place = quota.Instances, quota.Index
	writeJSON(w, v)
}

func (g *Gateway) handleReachability(w http.ResponseWriter, _ *http.Request) {
	if g.fleet == nil {
		http.Error(w, "this instance is in no fleet", http.StatusNotFound)
		return
	}
	v, ok := g.fleet.Reachability()
	if !ok {
		http.Error(w, "this fleet does not go by views: set views = true in its block, at all instances", http.StatusNotFound)
		return
	}
	writeJSON(w, v)
}

func (g *Gateway) handleVersions(w http.ResponseWriter, _ *http.Request) {
	if g.fleet == nil {
		http.Error(w, "this instance is in no fleet", http.StatusNotFound)
		return
	}
	v, ok := g.fleet.Versions()
	if !ok {
		http.Error(w, "this fleet does not tell versions: set versions = true in its block, at all instances", http.StatusNotFound)
		return
	}
	writeJSON(w, v)
}

// KeyStatus is what an instance knows of a key, as the control socket reports it.
type KeyStatus struct {
	Local KeyLocation  `json:"here"`            // from this instance's own attempts
	Voter *KeyLocation `json:"voter,omitempty"` // from the claims that its voter has accepted
	// VoterAbstains is how long the voter, which was started recently, still abstains.
	VoterAbstains string `json:"silent,omitempty"`
}

// KeyLocation is the group that owns a key.
type KeyLocation struct {
	Known         bool      `json:"known"`
	Cluster       string    `json:"cluster,omitempty"`
	Zone          string    `json:"zone,omitempty"`
	Cell          int       `json:"cell,omitempty"`
	SeveralGroups bool      `json:"split,omitempty"`
	RetryUntil    time.Time `json:"until,omitzero"`
	Expired       bool      `json:"over,omitempty"` // after its window: retries fail
}

// String returns the location in the words of the command "fleet key".
func (k KeyLocation) String() string {
	switch {
	case !k.Known:
		return "none known"
	case k.SeveralGroups:
		return "in several groups, or not known where: repeats fail"
	case k.Expired:
		return fmt.Sprintf("cluster %s, zone %s, cell %d; its window is over: repeats fail", k.Cluster, k.Zone, k.Cell)
	}
	return fmt.Sprintf("cluster %s, zone %s, cell %d; repeats are sent there until %s", k.Cluster, k.Zone, k.Cell, k.RetryUntil.Format(time.DateTime))
}

func keyLocationOf(p idempotency.KeyState, now time.Time) KeyLocation {
	if !p.Known {
		return KeyLocation{}
	}
	return KeyLocation{true, p.Place.Cluster, p.Place.Zone, p.Place.Cell, p.SeveralGroups, p.RetryUntil, !now.Before(p.RetryUntil)}
}

func (g *Gateway) handleKey(w http.ResponseWriter, r *http.Request) {
	s := g.acquire()
	defer g.release(s)
	q := r.URL.Query()
	number, known := s.classes[q.Get("class")]
	if !known || s.file.Classes[number].Effect != lbpolicy.KeyedIdempotent {
		http.Error(w, fmt.Sprintf("no keyed class named %q", q.Get("class")), http.StatusNotFound)
		return
	}
	scope, id, now := s.file.Classes[number].Scope, idempotency.KeyIDOf(q.Get("tenant"), q.Get("key")), time.Now()
	v := KeyStatus{Local: keyLocationOf(g.keys.KeyState(now, id, scope), now)}
	if g.fleet != nil {
		if p, silent, ok := g.fleet.VoterKeyState(id, scope); ok {
			k := keyLocationOf(p, now)
			v.Voter = &k
			if silent > 0 {
				v.VoterAbstains = silent.Round(time.Millisecond).String()
			}
		}
	}
	writeJSON(w, v)
}
