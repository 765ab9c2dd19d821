package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"

	"silvertrail/internal/controlplane/api"
)

// ControlPlane tells sidecars what is published on it.
type ControlPlane interface {
	Addr() string
	Publish(text []byte, remove []string) (api.Published, error)
	Status() api.Status
	Close()
}

// WithControlPlane has the gateway be a control machine where its configuration says so.
func WithControlPlane(start func(api.Options, *slog.Logger) (ControlPlane, error)) Option {
	return func(g *Gateway) { g.newControlPlane = start }
}

// ErrNoControlPlane says that a configuration needs what this program was built without.
var ErrNoControlPlane = errors.New("gateway: the control_plane block: this program was built without it, for less memory (build it with -tags xds)")

func (g *Gateway) startControlPlane(o api.Options) (err error) {
	if g.newControlPlane == nil {
		return ErrNoControlPlane
	}
	plane, err := g.newControlPlane(o, g.log)
	if err == nil { // else it is no nil to compare with
		g.controlPlane = plane
	}
	return err
}

// ControlPlane returns the address on which sidecars are served; empty: this instance is no control machine.
func (g *Gateway) ControlPlane() string {
	if g.controlPlane == nil {
		return ""
	}
	return g.controlPlane.Addr()
}

// Publication is what is to be published.
type Publication struct {
	Text   string   `json:"text"`   // a response in protobuf JSON; empty: none
	Remove []string `json:"remove"` // "cluster/NAME" or "endpoints/NAME"
}

const maxPublicationBytes = 64 << 20 // bytes

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
