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

// Room is what a process may use of the machine. Two that replace each other share it: each has half.
type Room struct {
	Callers, Endpoints int // connections
	Heap, Bodies       int64
}

// Half is one process's part while there are two.
func (r Room) Half() Room {
	return Room{max(r.Callers/2, 1), max(r.Endpoints/2, 1), r.Heap / 2, r.Bodies / 2}
}

// Succession is this process as the other one of an upgrade sees it. It implements handover.Self.
type Succession struct {
	Listen string
	Host   *engine.Engine
	Router *Router
	Client *upstream.Client
	Room   Room
	Socket syscall.Conn // the clients' listening socket

	mu    sync.Mutex
	front *frontend.Server // nil: it takes no clients yet
	half  bool
	alone bool // the process before this one has ended
}

// Fit keeps this process within half of its room, or lets it have all.
func (s *Succession) Fit(half bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	room := s.Room
	if half {
		room = room.Half()
	}
	debug.SetMemoryLimit(room.Heap)
	s.Client.SetMaxConns(room.Endpoints)
	if s.front != nil {
		s.front.Admit(admission.Plain(room.Callers))
	}
	s.Router.fit(half, s.Room.Bodies)
	s.half = half
}

// Serve tells by whom callers are served, within what the process may have now.
func (s *Succession) Serve(front *frontend.Server) {
	s.mu.Lock()
	s.front = front
	half := s.half && !s.alone
	s.mu.Unlock()
	s.Fit(half)
}

// Places is how many connections callers may have now.
func (s *Succession) Places() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.half {
		return s.Room.Half().Callers
	}
	return s.Room.Callers
}

// Offer implements handover.Self.
func (s *Succession) Offer() handover.Offer {
	return handover.Offer{Listen: s.Listen, List: s.Host.Endpoints(), Seen: s.Host.ListedHashes(), Bans: s.Host.ManuallyEjected()}
}

// Listener implements handover.Self.
func (s *Succession) Listener() syscall.Conn { return s.Socket }

// Retire implements handover.Self.
func (s *Succession) Retire() (keys []idempotency.Record, t handover.Taken) {
	s.mu.Lock()
	front := s.front
	s.mu.Unlock()
	if front != nil {
		front.Retire()
	}
	// Nothing is between its claim and its first byte meanwhile: what has begun is among the keys.
	s.Host.Synchronize(func() {
		s.Router.keys.Each(time.Now(), func(k idempotency.Record) bool {
			if k.KeyState.Known {
				keys = append(keys, k)
			}
			return true
		})
	})
	t = handover.Taken{Bans: s.Host.ManuallyEjected(), IDs: s.Router.ids.carry(), Carried: s.Host.Snapshot()}
	s.Fit(true)
	return keys, t
}

// Resume implements handover.Self.
func (s *Succession) Resume() {
	s.Fit(false)
	s.mu.Lock()
	front := s.front
	s.mu.Unlock()
	if front != nil {
		front.Resume()
	}
}

// Learn implements handover.Self.
func (s *Succession) Learn(keys []idempotency.Record) {
	now := time.Now()
	for _, k := range keys {
		s.Router.keys.Merge(now, k)
	}
}

// Bind implements handover.Self.
func (s *Succession) Bind(a handover.Attempt) handover.Past {
	now := time.Now()
	id := idempotency.KeyID(a.ID)
	to := a.To.History(now)
	past := s.Router.keys.KeyState(now, id, a.Scope)
	if past.Known && (!past.Allows(to.Place, a.Scope) || !now.Before(past.RetryUntil)) {
		return handover.PastOf(now, past)
	}
	s.Router.keys.Merge(now, idempotency.Record{ID: id, KeyState: to, ExpiresAt: now.Add(a.Expire)})
	return handover.PastOf(now, past.Merge(to, a.Scope))
}

// Ban implements handover.Self.
func (s *Succession) Ban(id string, on bool) { s.Host.SetEjectedUnlisted(id, on) }

// Alone implements handover.Self.
func (s *Succession) Alone() {
	s.mu.Lock()
	s.alone = true
	s.mu.Unlock()
	s.Fit(false)
}

// Begin takes up what was offered, before this process has a list of its own.
func (s *Succession) Begin(o *handover.Offer) {
	s.Host.AddListedHashes(o.Seen)
	for _, id := range o.Bans {
		s.Host.SetEjectedUnlisted(id, true)
	}
	s.Host.UpdateEndpoints(lbpolicy.Cached, o.List)
}

// Take takes up what is in force as the process before this one takes no more clients.
func (s *Succession) Take(t *handover.Taken) {
	banned := map[string]bool{}
	for _, id := range t.Bans {
		banned[id] = true
		s.Host.SetEjectedUnlisted(id, true)
	}
	for _, id := range s.Host.ManuallyEjected() {
		if !banned[id] {
			s.Host.SetEjectedUnlisted(id, false)
		}
	}
	s.Router.ids.follow(t.IDs)
	s.Host.Restore(t.Carried)
}

// Upgrade lets requests with keys agree with the process that has taken over from this one.
func (s *Router) Upgrade(p *handover.Process) { s.upgrade.Store(p) }

// binder agrees with the process that has taken over on where a request's attempts go. It implements engine.Binder.
type binder struct {
	process *handover.Process
	id      idempotency.KeyID
	terms   idempotency.Terms

	mu   sync.Mutex
	past idempotency.KeyState
}

// IsActive implements engine.Binder.
func (b *binder) IsActive() bool { return b.process.Retired() }

// Claim implements engine.Binder. Where the other process does not answer, nothing is known, and the attempt is held back.
func (b *binder) Claim(ctx context.Context, to idempotency.Place) {
	now := time.Now()
	p, err := b.process.Bind(ctx, handover.Attempt{ID: handover.ID(b.id), Scope: b.terms.Scope, Expire: b.terms.Window + b.terms.Retention,
		To: handover.PastOf(now, idempotency.KeyState{Known: true, Place: to, RetryUntil: now.Add(b.terms.RetryWindow())})})
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.past = p.History(now)
	}
}

// KeyState implements engine.Binder.
func (b *binder) KeyState() idempotency.KeyState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.past
}

// fit keeps half of the memory for bodies out of use, or gives it back. What is in use comes back first.
func (s *Router) fit(half bool, all int64) {
	s.fitting.Lock()
	defer s.fitting.Unlock()
	switch {
	case half && s.reserve == nil:
		ctx, cancel := context.WithCancel(context.Background())
		s.reserve = &reserve{cancel: cancel, done: make(chan struct{})}
		go s.reserve.hold(ctx, s.bodies, all/2)
	case !half && s.reserve != nil:
		s.reserve.cancel()
		<-s.reserve.done
		if s.reserve.held {
			s.bodies.Release(all / 2)
		}
		s.reserve = nil
	}
}

// reserve is memory for bodies that the other process of an upgrade has.
type reserve struct {
	cancel context.CancelFunc
	done   chan struct{}
	held   bool
}

func (r *reserve) hold(ctx context.Context, from *semaphore.Weighted, n int64) {
	r.held = from.Acquire(ctx, n) == nil
	close(r.done)
}

var _ handover.Self = (*Succession)(nil)
