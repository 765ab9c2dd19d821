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

// control is the socket on which the running process tells of itself to those who run it: a file that its owner alone can
// open. It answers questions, and changes whether this sala takes what others send.
type control struct {
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
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) { // one that a dead process has left
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
	mux.HandleFunc("GET /metrics", g.tellMetrics)
	mux.HandleFunc("GET /fleet/members", g.tellMembers)
	mux.HandleFunc("GET /fleet/reach", g.tellReach)
	mux.HandleFunc("GET /fleet/versions", g.tellVersions)
	mux.HandleFunc("GET /fleet/key", g.tellKey)
	mux.HandleFunc("GET /link/status", g.tellLinks)
	mux.HandleFunc("GET /link/lookup", g.tellLookup)
	mux.HandleFunc("POST /link/drain", g.takeDrain)
	mux.HandleFunc("GET /connections", g.tellDoors)
	mux.HandleFunc("GET /xds", g.tellDiscovery)
	mux.HandleFunc("GET /ledger", g.tellLedger)
	mux.HandleFunc("GET /control-plane", g.tellControlPlane)
	mux.HandleFunc("POST /control-plane/publish", g.takePublication)
	g.control = &control{server: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, IdleTimeout: time.Second, MaxHeaderBytes: 16 << 10}, path: path}
	go g.control.server.Serve(l)
	return nil
}

func (g *Gateway) closeControl() {
	if g.control != nil {
		g.control.server.Close()
	}
}

func tell(w http.ResponseWriter, what any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(what)
}

func (g *Gateway) tellDiscovery(w http.ResponseWriter, _ *http.Request) {
	if g.discovery == nil {
		http.Error(w, "this instance has no control planes", http.StatusNotFound)
		return
	}
	tell(w, g.discovery.Dump())
}

// FleetView is what an instance tells of its fleet.
type FleetView struct {
	Instances int            `json:"instances"`
	Place     int            `json:"place"`
	Members   []fleet.Member `json:"members"`
}

func (g *Gateway) tellMembers(w http.ResponseWriter, _ *http.Request) {
	if g.fleet == nil {
		http.Error(w, "this instance is in no fleet", http.StatusNotFound)
		return
	}
	v := FleetView{Members: g.fleet.Members()}
	quota := g.fleet.Quota()
	v.Instances, v.Place = quota.Instances, quota.Index
	tell(w, v)
}

func (g *Gateway) tellReach(w http.ResponseWriter, _ *http.Request) {
	if g.fleet == nil {
		http.Error(w, "this instance is in no fleet", http.StatusNotFound)
		return
	}
	v, ok := g.fleet.Reachability()
	if !ok {
		http.Error(w, "this fleet does not go by views: set views = true in its block, at all instances", http.StatusNotFound)
		return
	}
	tell(w, v)
}

func (g *Gateway) tellVersions(w http.ResponseWriter, _ *http.Request) {
	if g.fleet == nil {
		http.Error(w, "this instance is in no fleet", http.StatusNotFound)
		return
	}
	v, ok := g.fleet.Versions()
	if !ok {
		http.Error(w, "this fleet does not tell versions: set versions = true in its block, at all instances", http.StatusNotFound)
		return
	}
	tell(w, v)
}

// KeyView is what an instance tells of a key.
type KeyView struct {
	Here  KeyPast  `json:"here"`            // of attempts that this instance has made
	Voter *KeyPast `json:"voter,omitempty"` // of what its voter has agreed to
	// Silent is for how long the voter, which has been started lately, says nothing.
	Silent string `json:"silent,omitempty"`
}

// KeyPast is where a key may have run, or runs.
type KeyPast struct {
	Known   bool      `json:"known"`
	Cluster string    `json:"cluster,omitempty"`
	Zone    string    `json:"zone,omitempty"`
	Cell    int       `json:"cell,omitempty"`
	Split   bool      `json:"split,omitempty"`
	Until   time.Time `json:"until,omitzero"`
	Over    bool      `json:"over,omitempty"` // its window: repeats fail
}

func (k KeyPast) String() string {
	switch {
	case !k.Known:
		return "none known"
	case k.Split:
		return "in several groups, or not known where: repeats fail"
	case k.Over:
		return fmt.Sprintf("cluster %s, zone %s, cell %d; its window is over: repeats fail", k.Cluster, k.Zone, k.Cell)
	}
	return fmt.Sprintf("cluster %s, zone %s, cell %d; repeats are sent there until %s", k.Cluster, k.Zone, k.Cell, k.Until.Format(time.DateTime))
}

func keyPast(p idempotency.KeyState, now time.Time) KeyPast {
	if !p.Known {
		return KeyPast{}
	}
	return KeyPast{true, p.Place.Cluster, p.Place.Zone, p.Place.Cell, p.SeveralGroups, p.RetryUntil, !now.Before(p.RetryUntil)}
}

func (g *Gateway) tellKey(w http.ResponseWriter, r *http.Request) {
	s := g.acquire()
	defer g.release(s)
	q := r.URL.Query()
	number, known := s.classes[q.Get("class")]
	if !known || s.file.Classes[number].Effect != lbpolicy.KeyedIdempotent {
		http.Error(w, fmt.Sprintf("no keyed class named %q", q.Get("class")), http.StatusNotFound)
		return
	}
	scope, id, now := s.file.Classes[number].Scope, idempotency.KeyIDOf(q.Get("tenant"), q.Get("key")), time.Now()
	v := KeyView{Here: keyPast(g.keys.KeyState(now, id, scope), now)}
	if g.fleet != nil {
		if p, silent, ok := g.fleet.VoterKeyState(id, scope); ok {
			k := keyPast(p, now)
			v.Voter = &k
			if silent > 0 {
				v.Silent = silent.Round(time.Millisecond).String()
			}
		}
	}
	tell(w, v)
}
