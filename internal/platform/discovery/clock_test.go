package discovery

import (
	"context"
	"sync"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

// fakeClock is a client's clock that only the test advances. A test can therefore check timeouts and pauses exactly, although
// the client uses real sockets with unknown delays.
type fakeClock struct {
	pauses chan time.Duration // receives the length of each pause of the client
	resume chan struct{}      // ends the current pause

	mu            sync.Mutex
	now           time.Duration
	timers        []*fakeTimer // timeouts of open calls
	timersStarted int
}

type fakeTimer struct {
	at time.Duration // time of the clock
	do func()
}

func useFakeClock(c *Client) *fakeClock {
	f := &fakeClock{pauses: make(chan time.Duration), resume: make(chan struct{})}
	c.now, c.after = f.time, f.after
	c.pause = func(ctx context.Context, d time.Duration) {
		select {
		case f.pauses <- d:
		case <-ctx.Done():
			return
		}
		select {
		case <-f.resume:
		case <-ctx.Done():
		}
	}
	return f
}

func (f *fakeClock) time() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fakeClock) after(d time.Duration, do func()) func() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	timer := &fakeTimer{f.now + d, do}
	f.timers = append(f.timers, timer)
	f.timersStarted++
	return func() bool { return f.removeTimer(timer) }
}

// removeTimer removes a timer and reports whether it had not expired or been removed yet.
func (f *fakeClock) removeTimer(timer *fakeTimer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.timers {
		if other == timer {
			f.timers = append(f.timers[:i], f.timers[i+1:]...)
			return true
		}
	}
	return false
}

// awaitStartedTimers waits until the given number of timers were started in all.
func (f *fakeClock) awaitStartedTimers(t *testing.T, want int) {
	t.Helper()
	lbtest.Until(t, "the timeout of a call is started", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.timersStarted >= want
	})
}

func (f *fakeClock) startedTimers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.timersStarted
}

// firstTimer returns the timer that expires first.
func (f *fakeClock) firstTimer() (timer *fakeTimer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.timers {
		if timer == nil || other.at < timer.at {
			timer = other
		}
	}
	return timer
}

// advanceToJustBeforeExpiry advances the clock to 1 ms before the first timer expires.
func (f *fakeClock) advanceToJustBeforeExpiry() {
	at := f.firstTimer().at - time.Millisecond
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = at
}

// expireFirstTimer advances the clock to the expiry of the first timer and calls its function.
func (f *fakeClock) expireFirstTimer() {
	timer := f.firstTimer()
	f.mu.Lock()
	f.now = timer.at
	f.mu.Unlock()
	if f.removeTimer(timer) {
		timer.do()
	}
}

// nextPause waits for the client's next pause and returns its length. No call may be made before it.
func (f *fakeClock) nextPause(t *testing.T, calls chan *agentCall) time.Duration {
	t.Helper()
	select {
	case d := <-f.pauses:
		return d
	case c := <-calls:
		t.Fatalf("call with query %q was made without a pause", c.query)
	case <-time.After(lbtest.Wait):
		t.Fatal("client did not pause")
	}
	panic("unreachable")
}

// endPause advances the clock by the length of the client's current pause and ends the pause.
func (f *fakeClock) endPause(d time.Duration) {
	f.mu.Lock()
	f.now += d
	f.mu.Unlock()
	f.resume <- struct{}{}
}

// firstPause returns a channel that receives the length of the client's first pause.
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
