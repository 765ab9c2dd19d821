package discovery

import (
	"context"
	"sync"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

// held is a client's clock that the test advances. So the test knows exactly what a client waits for, over real sockets and
// however long these take.
type held struct {
	paused chan time.Duration // the pauses that it asks for
	resume chan struct{}      // ends one

	mu     sync.Mutex
	now    time.Duration
	bounds []*bound // of calls that are open
	made   int
}

type bound struct {
	at time.Duration
	do func()
}

func hold(c *Client) *held {
	h := &held{paused: make(chan time.Duration), resume: make(chan struct{})}
	c.now, c.after = h.time, h.after
	c.pause = func(ctx context.Context, d time.Duration) {
		select {
		case h.paused <- d:
		case <-ctx.Done():
			return
		}
		select {
		case <-h.resume:
		case <-ctx.Done():
		}
	}
	return h
}

func (h *held) time() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *held) after(d time.Duration, do func()) func() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := &bound{h.now + d, do}
	h.bounds = append(h.bounds, b)
	h.made++
	return func() bool { return h.drop(b) }
}

// drop reports whether the timeout had not expired.
func (h *held) drop(b *bound) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, other := range h.bounds {
		if other == b {
			h.bounds = append(h.bounds[:i], h.bounds[i+1:]...)
			return true
		}
	}
	return false
}

// bounded waits until a number of timeouts were started in all.
func (h *held) bounded(t *testing.T, made int) {
	t.Helper()
	lbtest.Until(t, "the bound of a call", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.made >= made
	})
}

func (h *held) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.made
}

// first returns the timeout that expires first.
func (h *held) first() (b *bound) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, other := range h.bounds {
		if b == nil || other.at < b.at {
			b = other
		}
	}
	return b
}

// almost advances the clock to just before the first timeout.
func (h *held) almost() {
	at := h.first().at - time.Millisecond
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now = at
}

// expire advances the clock to the first timeout, which expires.
func (h *held) expire() {
	b := h.first()
	h.mu.Lock()
	h.now = b.at
	h.mu.Unlock()
	if h.drop(b) {
		b.do()
	}
}

// pausing waits for the client's next pause. No call may be made before it.
func (h *held) pausing(t *testing.T, calls chan *agentCall) time.Duration {
	t.Helper()
	select {
	case d := <-h.paused:
		return d
	case c := <-calls:
		t.Fatalf("%q came without a pause", c.query)
	case <-time.After(lbtest.Wait):
		t.Fatal("no pause")
	}
	panic("unreachable")
}

// pass ends the client's current pause, which must have the given length.
func (h *held) pass(d time.Duration) {
	h.mu.Lock()
	h.now += d
	h.mu.Unlock()
	h.resume <- struct{}{}
}

// firstPause returns the first pause of a client.
func firstPause(c *Client) <-chan time.Duration {
	first := make(chan time.Duration, 1)
	c.pause = func(ctx context.Context, d time.Duration) {
		select {
		case first <- d:
		default:
		}
		pause(ctx, d)
	}
	return first
}
