package sidecar

import (
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/edge/admission"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/platform/handover"
	"silvertrail/lbpolicy"
)

// Budget limits the resources of a process. During an upgrade, the old and the new process share it, and each has half.
type Budget struct {
	ClientConns, EndpointConns int
	HeapBytes, BodyBytes       int64
	HeadBytes                  int64 // for large heads of requests
	ResponseBytes              int64 // of one response, before it is streamed
}

// Fractions of the heap. The rest is for connections, goroutines, keys and what the garbage collector has not freed yet.
const (
	bodyFraction     = 0.35 // for request bodies
	headFraction     = 0.08 // for large heads of requests
	responseFraction = 0.25 // for responses, of all connections to endpoints
	minResponseBytes = 8 << 10
)

// NewBudget divides a heap and the sockets for connections.
func NewBudget(heapBytes int64, sockets int) Budget {
	part := func(fraction float64) int64 { return int64(fraction * float64(heapBytes)) }
	conns := max(sockets/2, 1)
	return Budget{
		ClientConns:   conns,
		EndpointConns: conns,
		HeapBytes:     heapBytes,
		BodyBytes:     part(bodyFraction),
		HeadBytes:     part(headFraction),
		ResponseBytes: max(part(responseFraction)/int64(conns), minResponseBytes),
	}
}

// Half returns the budget of each process while there are two.
func (b Budget) Half() Budget {
	return Budget{
		ClientConns:   max(b.ClientConns/2, 1),
		EndpointConns: max(b.EndpointConns/2, 1),
		HeapBytes:     b.HeapBytes / 2,
		BodyBytes:     b.BodyBytes / 2,
		HeadBytes:     b.HeadBytes,
		ResponseBytes: b.ResponseBytes,
	}
}

// Takeover is this process as the other processes of an upgrade see it. It implements handover.Host.
type Takeover struct {
	Listen string
	Engine *engine.Engine
	Router *Router
	Client *upstream.Client
	Budget Budget
	Socket syscall.Conn // the clients' listening socket

	mu       sync.Mutex
	frontend *frontend.Server // nil until this process accepts clients
	isHalved bool             // the current budget is half of Budget
	isAlone  bool             // the predecessor has ended
}

var _ handover.Host = (*Takeover)(nil)

// ApplyBudget limits this process to half of its budget, or to all of it if half is false.
func (t *Takeover) ApplyBudget(half bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	budget := t.Budget
	if half {
		budget = budget.Half()
	}
	debug.SetMemoryLimit(budget.HeapBytes)
	t.Client.SetMaxConns(budget.EndpointConns)
	if t.frontend != nil {
		t.frontend.SetPolicy(admission.SingleGroup(budget.ClientConns))
	}
	t.Router.reserveBodies(half, t.Budget.BodyBytes)
	t.isHalved = half
}

// SetFrontend sets the server that accepts clients, and applies the current budget to it.
func (t *Takeover) SetFrontend(server *frontend.Server) {
	t.mu.Lock()
	t.frontend = server
	half := t.isHalved && !t.isAlone
	t.mu.Unlock()
	t.ApplyBudget(half)
}

// currentFrontend returns the server that accepts clients, or nil if there is none yet.
func (t *Takeover) currentFrontend() *frontend.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.frontend
}

// ClientConns returns the current limit on client connections.
func (t *Takeover) ClientConns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isHalved {
		return t.Budget.Half().ClientConns
	}
	return t.Budget.ClientConns
}

// Offer implements handover.Host.
func (t *Takeover) Offer() handover.Offer {
	return handover.Offer{
		Listen:       t.Listen,
		Endpoints:    t.Engine.Endpoints(),
		ListedHashes: t.Engine.ListedHashes(),
		Ejected:      t.Engine.ManuallyEjected(),
	}
}

// Listener implements handover.Host.
func (t *Takeover) Listener() syscall.Conn { return t.Socket }

// Retire implements handover.Host.
func (t *Takeover) Retire() ([]idempotency.Record, handover.State) {
	if server := t.currentFrontend(); server != nil {
		server.Retire()
	}
	var keys []idempotency.Record
	// While Synchronize calls the function, no attempt is between its key claim and its first byte. The keys of all attempts
	// that have begun are therefore in the table.
	t.Engine.Synchronize(func() {
		t.Router.keys.Each(time.Now(), func(k idempotency.Record) bool {
			if k.KeyState.Known {
				keys = append(keys, k)
			}
			return true
		})
	})
	state := handover.State{
		Ejected:    t.Engine.ManuallyEjected(),
		RequestIDs: t.Router.ids.snapshot(),
		Policy:     t.Engine.Snapshot(),
	}
	t.ApplyBudget(true)
	return keys, state
}

// Resume implements handover.Host.
func (t *Takeover) Resume() {
	t.ApplyBudget(false)
	if server := t.currentFrontend(); server != nil {
		server.Resume()
	}
}

// AddKeys implements handover.Host.
func (t *Takeover) AddKeys(keys []idempotency.Record) {
	now := time.Now()
	for _, k := range keys {
		t.Router.keys.Merge(now, k)
	}
}

// ClaimKey implements handover.Host.
func (t *Takeover) ClaimKey(c handover.Claim) handover.KeyState {
	now := time.Now()
	id := idempotency.KeyID(c.ID)
	to := c.To.KeyState(now)
	state := t.Router.keys.KeyState(now, id, c.Scope)
	if state.Known && (!state.Allows(to.Place, c.Scope) || !now.Before(state.RetryUntil)) {
		return handover.NewKeyState(now, state)
	}
	t.Router.keys.Merge(now, idempotency.Record{ID: id, KeyState: to, ExpiresAt: now.Add(c.ExpiresIn)})
	return handover.NewKeyState(now, state.Merge(to, c.Scope))
}

// ClaimID implements handover.Host.
func (t *Takeover) ClaimID(hash uint64) (isKnown bool) { return t.Router.ids.claim(hash) }

// SetEjected implements handover.Host.
func (t *Takeover) SetEjected(id string, ejected bool) { t.Engine.SetEjectedUnlisted(id, ejected) }

// PredecessorEnded implements handover.Host.
func (t *Takeover) PredecessorEnded() {
	t.mu.Lock()
	t.isAlone = true
	t.mu.Unlock()
	t.ApplyBudget(false)
}

// ApplyOffer applies a predecessor's offer. It is called before this process has an endpoint list of its own.
func (t *Takeover) ApplyOffer(o *handover.Offer) {
	t.Engine.AddListedHashes(o.ListedHashes)
	for _, id := range o.Ejected {
		t.Engine.SetEjectedUnlisted(id, true)
	}
	t.Engine.UpdateEndpoints(lbpolicy.Cached, o.Endpoints)
}

// ApplyState applies the state of a predecessor that has stopped accepting clients. The predecessor's list of manually
// ejected endpoints replaces the list of this process.
func (t *Takeover) ApplyState(state *handover.State) {
	ejected := map[string]bool{}
	for _, id := range state.Ejected {
		ejected[id] = true
		t.Engine.SetEjectedUnlisted(id, true)
	}
	for _, id := range t.Engine.ManuallyEjected() {
		if !ejected[id] {
			t.Engine.SetEjectedUnlisted(id, false)
		}
	}
	t.Router.ids.restore(state.RequestIDs)
	t.Engine.Restore(state.Policy)
}
