package sidecar

import (
	"context"
	"errors"
	"runtime/debug"
	"runtime/metrics"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/platform/admin"
	"silvertrail/internal/platform/counters"
)

// Operations implements admin.Operations for one process.
type Operations struct {
	Engine   *engine.Engine
	Counters *counters.Set
	// Rejections returns what the clients' listener has rejected.
	Rejections func() frontend.Rejections
	// AcceptsClients reports whether this process accepts clients.
	AcceptsClients func() bool
	// NotifyEjection notifies the other processes of an upgrade before the operator's call gets its response. It is nil if
	// there are no other processes.
	NotifyEjection func(ctx context.Context, id string, ejected bool)
}

// IsReady implements admin.Operations.
func (o *Operations) IsReady() bool { return o.AcceptsClients() }

// Stats implements admin.Operations.
func (o *Operations) Stats() []byte {
	snapshot := o.Counters.Snapshot()
	snapshot.ClusterSize, snapshot.ClusterUnhealthy = o.Engine.ClusterSize()
	return counters.Stats{
		Snapshot:   snapshot,
		Deliveries: o.Counters.Deliveries.Snapshot(),
		Responses:  o.Counters.Responses.Snapshot(),
		Memory:     o.memory(),
	}.JSON()
}

// Metrics of the runtime: what it has taken of the memory, and the part that it has returned to the system.
const (
	totalMetric    = "/memory/classes/total:bytes"
	releasedMetric = "/memory/classes/heap/released:bytes"
)

func (o *Operations) memory() counters.MemorySnapshot {
	samples := []metrics.Sample{{Name: totalMetric}, {Name: releasedMetric}}
	metrics.Read(samples)
	snapshot := counters.MemorySnapshot{
		HeapLimitBytes: debug.SetMemoryLimit(-1), // a negative limit changes nothing
		HeapBytes:      int64(samples[0].Value.Uint64() - samples[1].Value.Uint64()),
	}
	if o.Rejections != nil {
		r := o.Rejections()
		snapshot.HeadsRejected, snapshot.FieldsRejected, snapshot.BodiesRejected = r.NoHeadMemory, r.LargeHeads, r.NoBodyMemory
	}
	return snapshot
}

// SetEjected implements admin.Operations. It sets the ejection in this process and then notifies the other processes of an
// upgrade. After a nil error, the ejection is in effect in this process and in every process that confirmed the notification.
func (o *Operations) SetEjected(ctx context.Context, id string, ejected bool) error {
	err := o.Engine.SetManuallyEjected(id, ejected)
	switch {
	case errors.Is(err, engine.ErrUnknownEndpoint):
		return admin.ErrUnknownEndpoint
	case err != nil:
		return err
	}
	if o.NotifyEjection != nil {
		o.NotifyEjection(ctx, id, ejected)
	}
	return nil
}
