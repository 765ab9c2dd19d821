package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Endpoint is an entry of discovery's list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// Discovery is the platform's discovery: it answers with the whole list, or waits for changes (PROTOCOL, "Discovery").
type Discovery struct {
	Address string

	mu        sync.Mutex
	index     int64
	endpoints []Endpoint
	changedAt map[string]int64 // index of the last change, by name
	changed   chan struct{}    // closed with the next change
}

// NewDiscovery starts a discovery with a list.
func (c *Case) NewDiscovery(endpoints ...Endpoint) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: l.Addr().String(), index: 1, endpoints: endpoints, changedAt: map[string]int64{}, changed: make(chan struct{})}
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(l) }() // ends with the process
	return d, nil
}

// Set adds or changes an entry.
func (d *Discovery) Set(e Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpoints = slices.DeleteFunc(d.endpoints, func(other Endpoint) bool { return other.Name == e.Name })
	d.endpoints = append(d.endpoints, e)
	d.index++
	d.changedAt[e.Name] = d.index
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseInt(query.Get("index"), 10, 64)
	if err != nil {
		d.answer(w, 0)
		return
	}
	wait, _ := strconv.ParseInt(query.Get("wait"), 10, 64) // none: no wait
	d.mu.Lock()
	changed, isCurrent := d.changed, since >= d.index
	d.mu.Unlock()
	if isCurrent {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	d.answer(w, since)
}

// answer writes the whole list where since is 0, and otherwise the entries that have changed since.
func (d *Discovery) answer(w http.ResponseWriter, since int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []Endpoint{}
	for _, e := range d.endpoints {
		if since == 0 && e.Status != "gone" || since > 0 && d.changedAt[e.Name] > since {
			list = append(list, e)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"index": d.index, "snapshot": since == 0, "endpoints": list})
}

// Class is a class of the settings.
type Class struct {
	Name     string  `json:"name"`
	Effect   string  `json:"effect"`    // free, guarded or single_shot
	Deadline float64 `json:"deadline"`  // in seconds
	Aim      float64 `json:"goal_time"` // in seconds
	Worth    float64 `json:"worth"`
	Scope    string  `json:"key_scope"` // all, zone or cell
	Window   float64 `json:"window"`    // in seconds
}

// SidecarConfig returns a sidecar's configuration for a small deployment. Its figures are within those of the site file.
func SidecarConfig(listen, discovery, admin string, zones []string, classes ...Class) (string, error) {
	type object = map[string]any
	config := object{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1, "memory_mb": 128, "sockets": 256},
		"settings": object{
			"balancers": 1, "me": 0, "tier": 0, "zone": 0, "zones": zones, "classes": classes,
			"customers": []object{{"name": "colegio-san-lucas", "quota_per_s": 100}},
			"limits": object{"cancelling": true, "conn_idle": 5, "dial_timeout": 0.25, "max_attempts": 3, "may_duplicate": true,
				"retry_after": true, "max_retry_after": 2},
			"obligations": object{"cold": 20, "fall": 2, "fall_multiple": 2.5, "start_capacity": 0.15, "answer_slack": 0.05, "drain_grace": 0.25},
			"clients":     object{"marks_retry": true}, "registry_mode": "pushed",
			"telemetry": object{"fields": []string{"util", "qps"}, "via": "inline"},
		},
	}
	if admin != "" {
		config["admin"] = admin
	}
	text, err := json.Marshal(config)
	return string(text), err
}
