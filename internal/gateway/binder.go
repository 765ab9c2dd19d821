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
	over  bool // the request is: no ask of it may follow its end
	state binding.State
	know  sync.Mutex // of past
	past  history.Past
}

func newBinder(f *fleet.Fleet, id history.ID, c *conf.Class, deadline time.Time) *binder {
	return &binder{fleet: f, deadline: deadline, ask: binding.Ask{Try: f.Number(), Key: id, Scope: c.Scope, Window: c.Window, Keep: c.Keep}}
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
	if b.over = true; b.asked {
		b.fleet.End(binding.End{Try: b.ask.Try, NeverRan: !mayHaveRun})
	}
}
