package sidecar

import (
	"context"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/edge/admission"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/platform/handover"
	"silvertrail/lbpolicy"
)

// Budget is what a process may use of the machine. Two that replace each other share it: each has half.
type Budget struct {
	ClientConns, EndpointConns int // connections
	HeapBytes, BodyBytes       int64
}

// Half is one process's part while there are two.
func (r Budget) Half() Budget {
	return Budget{max(r.ClientConns/2, 1), max(r.EndpointConns/2, 1), r.HeapBytes / 2, r.BodyBytes / 2}
}

// Takeover is this process as the other one of an upgrade sees it. It implements handover.Self.
type Takeover struct {
	Listen string
	Engine *engine.Engine
	Router *Router
	Client *upstream.Client
	Budget Budget
	Socket syscall.Conn // the clients' listening socket

	mu       sync.Mutex
	frontend *frontend.Server // nil: it takes no clients yet
	isHalved bool
	isAlone  bool // the process before this one has ended
}

// ApplyBudget keeps this process within half of its room, or lets it have all.
func (s *Takeover) ApplyBudget(half bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	room := s.Budget
	if half {
		room = room.Half()
	}
	debug.SetMemoryLimit(room.HeapBytes)
	s.Client.SetMaxConns(room.EndpointConns)
	if s.frontend != nil {
		s.frontend.Admit(admission.Plain(room.ClientConns))
	}
	s.Router.fitBodies(half, s.Budget.BodyBytes)
	s.isHalved = half
}

// SetFrontend tells by whom callers are served, within what the process may have now.
func (s *Takeover) SetFrontend(front *frontend.Server) {
	s.mu.Lock()
	s.frontend = front
	half := s.isHalved && !s.isAlone
	s.mu.Unlock()
	s.ApplyBudget(half)
}

// ClientConns is how many connections callers may have now.
func (s *Takeover) ClientConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isHalved {
		return s.Budget.Half().ClientConns
	}
	return s.Budget.ClientConns
}

// Offer implements handover.Self.
func (s *Takeover) Offer() handover.Offer {
	return handover.Offer{Listen: s.Listen, Endpoints: s.Engine.Endpoints(), ListedHashes: s.Engine.ListedHashes(), Ejected: s.Engine.ManuallyEjected()}
}

// Listener implements handover.Self.
func (s *Takeover) Listener() syscall.Conn { return s.Socket }

// Retire implements handover.Self.
func (s *Takeover) Retire() (keys []idempotency.Record, t handover.State) {
	s.mu.Lock()
	front := s.frontend
	s.mu.Unlock()
	if front != nil {
		front.Retire()
	}
	// Nothing is between its claim and its first byte meanwhile: what has begun is among the keys.
	s.Engine.Synchronize(func() {
		s.Router.keys.Each(time.Now(), func(k idempotency.Record) bool {
			if k.KeyState.Known {
				keys = append(keys, k)
			}
			return true
		})
	})
	t = handover.State{Ejected: s.Engine.ManuallyEjected(), RequestIDs: s.Router.ids.snapshot(), Policy: s.Engine.Snapshot()}
	s.ApplyBudget(true)
	return keys, t
}

// Resume implements handover.Self.
func (s *Takeover) Resume() {
	s.ApplyBudget(false)
	s.mu.Lock()
	front := s.frontend
	s.mu.Unlock()
	if front != nil {
		front.Resume()
	}
}

// AddKeys implements handover.Self.
func (s *Takeover) AddKeys(keys []idempotency.Record) {
	now := time.Now()
	for _, k := range keys {
		s.Router.keys.Merge(now, k)
	}
}

// ClaimKey implements handover.Self.
func (s *Takeover) ClaimKey(a handover.Claim) handover.KeyState {
	now := time.Now()
	id := idempotency.KeyID(a.ID)
	to := a.To.KeyState(now)
	past := s.Router.keys.KeyState(now, id, a.Scope)
	if past.Known && (!past.Allows(to.Place, a.Scope) || !now.Before(past.RetryUntil)) {
		return handover.NewKeyState(now, past)
	}
	s.Router.keys.Merge(now, idempotency.Record{ID: id, KeyState: to, ExpiresAt: now.Add(a.ExpiresIn)})
	return handover.NewKeyState(now, past.Merge(to, a.Scope))
}

// SetEjected implements handover.Self.
func (s *Takeover) SetEjected(id string, on bool) { s.Engine.SetEjectedUnlisted(id, on) }

// PredecessorEnded implements handover.Self.
func (s *Takeover) PredecessorEnded() {
	s.mu.Lock()
	s.isAlone = true
	s.mu.Unlock()
	s.ApplyBudget(false)
}

// ApplyOffer takes up what was offered, before this process has a list of its own.
func (s *Takeover) ApplyOffer(o *handover.Offer) {
	s.Engine.AddListedHashes(o.ListedHashes)
	for _, id := range o.Ejected {
		s.Engine.SetEjectedUnlisted(id, true)
	}
	s.Engine.UpdateEndpoints(lbpolicy.Cached, o.Endpoints)
}

// ApplyState takes up what is in force as the process before this one takes no more clients.
func (s *Takeover) ApplyState(t *handover.State) {
	banned := map[string]bool{}
	for _, id := range t.Ejected {
		banned[id] = true
		s.Engine.SetEjectedUnlisted(id, true)
	}
	for _, id := range s.Engine.ManuallyEjected() {
		if !banned[id] {
			s.Engine.SetEjectedUnlisted(id, false)
		}
	}
	s.Router.ids.restore(t.RequestIDs)
	s.Engine.Restore(t.Policy)
}

// SetHandover lets requests with keys agree with the process that has taken over from this one.
func (s *Router) SetHandover(p *handover.Process) { s.handover.Store(p) }

// keyClaimer agrees with the process that has taken over on where a request's attempts go. It implements engine.Binder.
type keyClaimer struct {
	process *handover.Process
	id      idempotency.KeyID
	terms   idempotency.Terms

	mu    sync.Mutex
	state idempotency.KeyState
}

// IsActive implements engine.Binder.
func (b *keyClaimer) IsActive() bool { return b.process.IsRetired() }

// Claim implements engine.Binder. Where the other process does not answer, nothing is known, and the attempt is held back.
func (b *keyClaimer) Claim(ctx context.Context, to idempotency.Place) {
	now := time.Now()
	p, err := b.process.ClaimKey(ctx, handover.Claim{ID: handover.KeyID(b.id), Scope: b.terms.Scope, ExpiresIn: b.terms.Window + b.terms.Retention,
		To: handover.NewKeyState(now, idempotency.KeyState{Known: true, Place: to, RetryUntil: now.Add(b.terms.RetryWindow())})})
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.state = p.KeyState(now)
	}
}

// KeyState implements engine.Binder.
func (b *keyClaimer) KeyState() idempotency.KeyState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// fitBodies keeps half of the memory for bodies out of use, or gives it back. What is in use comes back first.
func (s *Router) fitBodies(half bool, all int64) {
	s.reserveMu.Lock()
	defer s.reserveMu.Unlock()
	switch {
	case half && s.reserve == nil:
		ctx, cancel := context.WithCancel(context.Background())
		s.reserve = &reserve{cancel: cancel, done: make(chan struct{})}
		go s.reserve.acquire(ctx, s.bodies, all/2)
	case !half && s.reserve != nil:
		s.reserve.cancel()
		<-s.reserve.done
		if s.reserve.acquired {
			s.bodies.Release(all / 2)
		}
		s.reserve = nil
	}
}

// reserve is memory for bodies that the other process of an upgrade has.
type reserve struct {
	cancel   context.CancelFunc
	done     chan struct{}
	acquired bool
}

func (r *reserve) acquire(ctx context.Context, from *semaphore.Weighted, n int64) {
	r.acquired = from.Acquire(ctx, n) == nil
	close(r.done)
}

var _ handover.Host = (*Takeover)(nil)
