package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"

	"silvertrail/internal/controlplane/api"
)

// ControlPlane is a control-plane server, which sends published resources to subscribers.
type ControlPlane interface {
	// Addr returns the address for subscribers.
	Addr() string
	// Publish publishes a response in protobuf JSON, and removes resources.
	Publish(text []byte, remove []string) (api.Published, error)
	// Status returns the state of subscribers and peers.
	Status() api.Status
	Close()
}

// WithControlPlane has the gateway run a control-plane server where its configuration has one.
func WithControlPlane(start func(api.Options, *slog.Logger) (ControlPlane, error)) Option {
	return func(g *Gateway) { g.newControlPlane = start }
}

// ErrNoControlPlane reports a configuration that needs a part which this program was built without.
var ErrNoControlPlane = errors.New("gateway: the control_plane block: this program was built without it, for less memory (build it with -tags xds)")

func (g *Gateway) startControlPlane(o api.Options) (err error) {
	if g.newControlPlane == nil {
		return ErrNoControlPlane
	}
	plane, err := g.newControlPlane(o, g.log)
	if err == nil { // a nil pointer in the interface would not be nil
		g.controlPlane = plane
	}
	return err
}

// ControlPlane returns the address of the control-plane server; empty: there is none.
func (g *Gateway) ControlPlane() string {
	if g.controlPlane == nil {
		return ""
	}
	return g.controlPlane.Addr()
}

// Publication is a request to publish resources, and to remove some.
type Publication struct {
	Text   string   `json:"text"`   // a response in protobuf JSON; empty: none
	Remove []string `json:"remove"` // "cluster/NAME" or "endpoints/NAME"
}

const maxPublicationBytes = 64 << 20

func (g *Gateway) handleControlPlane(w http.ResponseWriter, _ *http.Request) {
	if g.controlPlane == nil {
		http.Error(w, "this instance is no control machine: it has no control_plane block", http.StatusNotFound)
		return
	}
	writeJSON(w, g.controlPlane.Status())
}

func (g *Gateway) handlePublication(w http.ResponseWriter, r *http.Request) {
	if g.controlPlane == nil {
		http.Error(w, "this instance is no control machine: it has no control_plane block", http.StatusNotFound)
		return
	}
	var p Publication
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPublicationBytes)).Decode(&p); err != nil {
		http.Error(w, fmt.Sprintf("publication: %v", err), http.StatusBadRequest)
		return
	}
	done, err := g.controlPlane.Publish([]byte(p.Text), p.Remove)
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	writeJSON(w, done)
}
