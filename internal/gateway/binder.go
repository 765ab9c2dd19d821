package gateway

import (
	"context"
	"sync"
	"time"

	"silvertrail/internal/binding"
	"silvertrail/internal/conf"
	"silvertrail/internal/fleet"
	"silvertrail/internal/history"
)

// binder binds one request's key over the fleet. It implements host.Binder.
type binder struct {
	fleet    *fleet.Fleet
	ask      binding.Ask
	deadline time.Time

	mu    sync.Mutex // one ask at a time
	asked bool
	// resumed: another sala has begun the request and tells the voters of its end.
	resumed bool
	over    bool // the request is: no ask of it may follow its end
	state   binding.State
	know    sync.Mutex // of past
	past    history.Past
}

func newBinder(f *fleet.Fleet, id history.ID, c *conf.Class, deadline time.Time) *binder {
	return &binder{fleet: f, deadline: deadline, ask: binding.Ask{Try: f.Number(), Key: id, Scope: c.Scope, Window: c.Window, Keep: c.Keep}}
}

// resume returns the binder of a request that another sala has begun, under the numbers that the voters know it by. Its end
// is the other sala's to tell.
func resume(f *fleet.Fleet, id history.ID, c *conf.Class, deadline time.Time, try binding.Try, turn uint32) *binder {
	b := newBinder(f, id, c, deadline)
	b.ask.Try, b.ask.Turn, b.asked, b.resumed = try, turn, true, true
	return b
}

// carry returns the numbers under which another sala may go on with the request, all of whose attempts here never ran.
func (b *binder) carry() (binding.Try, uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked, b.state = true, binding.Pending
	return b.ask.Try, b.ask.Turn
}

// turn returns the last turn that voters were asked for.
func (b *binder) turn() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ask.Turn
}

// went takes the last turn of the sala that went on with the request.
func (b *binder) went(turn uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ask.Turn = max(b.ask.Turn, turn)
}

func (b *binder) Past() history.Past {
	b.know.Lock()
	defer b.know.Unlock()
	return b.past
}

// Bind implements host.Binder. An attempt in the group that the key is bound to already needs no further ask. One in
// another group is asked for only where all attempts before it never ran: the history has seen to that.
func (b *binder) Bind(ctx context.Context, to history.Place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over || ctx.Err() != nil || b.state == binding.Bound && b.Past().Allows(to, b.ask.Scope) {
		return
	}
	if b.asked {
		b.ask.Turn++
	}
	b.asked, b.ask.Place, b.ask.Life = true, to, time.Until(b.deadline)
	var past history.Past
	if b.state = binding.Unknown; b.ask.Life > 0 {
		b.state, past = b.fleet.Bind(ctx, b.ask)
	}
	if b.state == binding.Unknown { // it may be bound to any group
		past = nowhere
	}
	b.know.Lock()
	defer b.know.Unlock()
	b.past = past
}

// nowhere is what is known of a key where nothing can be known: nothing can be sent anywhere.
var nowhere = history.Past{Known: true, Split: true}

// end tells the voters that the request is over.
func (b *binder) end(mayHaveRun bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over = true; b.asked && !b.resumed {
		b.fleet.End(binding.End{Try: b.ask.Try, NeverRan: !mayHaveRun})
	}
}
