package sidecar

import (
	"context"
	"errors"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/platform/admin"
	"silvertrail/internal/platform/figures"
)

// Operations answers the operators' calls for one process.
type Operations struct {
	Host  *engine.Engine
	Board *figures.Board
	// Takes tells whether this process takes clients.
	Takes func() bool
	// Tell has the other processes of an upgrade know of a ban before the call is answered; nil: there are none.
	Tell func(ctx context.Context, id string, on bool)
}

// Ready implements admin.Operations.
func (o *Operations) Ready() bool { return o.Takes() }

// Figures implements admin.Operations.
func (o *Operations) Figures() []byte {
	f := o.Board.Look()
	f.Size, f.Unhealthy = o.Host.ClusterSize()
	return f.Text()
}

// Ban implements admin.Operations. What it says yes to holds in all processes.
func (o *Operations) Ban(ctx context.Context, id string, on bool) error {
	if err := o.Host.SetManuallyEjected(id, on); errors.Is(err, engine.ErrUnknownEndpoint) {
		return admin.ErrUnknown
	} else if err != nil {
		return err
	}
	if o.Tell != nil {
		o.Tell(ctx, id, on)
	}
	return nil
}
