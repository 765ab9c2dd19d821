package sidecar

import (
	"context"
	"errors"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/platform/admin"
	"silvertrail/internal/platform/counters"
)

// Operations answers the operators' calls for one process.
type Operations struct {
	Engine   *engine.Engine
	Counters *counters.Set
	// AcceptsClients tells whether this process takes clients.
	AcceptsClients func() bool
	// NotifyEjection has the other processes of an upgrade know of a ban before the call is answered; nil: there are none.
	NotifyEjection func(ctx context.Context, id string, on bool)
}

// IsReady implements admin.Operations.
func (o *Operations) IsReady() bool { return o.AcceptsClients() }

// Stats implements admin.Operations.
func (o *Operations) Stats() []byte {
	f := o.Counters.Snapshot()
	f.ClusterSize, f.ClusterUnhealthy = o.Engine.ClusterSize()
	return f.JSON()
}

// SetEjected implements admin.Operations. What it says yes to holds in all processes.
func (o *Operations) SetEjected(ctx context.Context, id string, on bool) error {
	if err := o.Engine.SetManuallyEjected(id, on); errors.Is(err, engine.ErrUnknownEndpoint) {
		return admin.ErrUnknownEndpoint
	} else if err != nil {
		return err
	}
	if o.NotifyEjection != nil {
		o.NotifyEjection(ctx, id, on)
	}
	return nil
}
