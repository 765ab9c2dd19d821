// Package timeout has timers for the silence of a peer, which allow for pauses of this process. While a process stands still (a
// stopped container, a suspended machine, no processor time) its peers go on, and what they have sent waits in its sockets. When it
// goes on, the timers that were due expire before that is read: a plain timer measures the pause as a silence of the peer.
package timeout

import (
	"sync"
	"time"
)

const (
	// CatchUp is the time in which a process that runs reads what has arrived.
	CatchUp = 20 * time.Millisecond
	// maxTimerDelay is how late a timer or a deadline may pass in a process that runs.
	maxTimerDelay = 10 * time.Millisecond
	// maxLateStages bounds the delay in a process that always lags.
	maxLateStages = 3
)

// AfterFunc calls f in a goroutine of its own after d. The last CatchUp of that time is waited for as a stage of its own: if one
// of the stages ends late, this process has stood still, and f is called only after another stage. The returned function stops
// the timer, and reports whether f will not be called.
func AfterFunc(d time.Duration, f func()) (stop func() bool) {
	t := &timer{f: f}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirming = d <= CatchUp
	if !t.confirming {
		d -= CatchUp
	}
	t.wait(d)
	return t.stop
}

// IsLate reports whether a time has passed for longer than in a process that runs: it stood still.
func IsLate(due time.Time) bool { return time.Since(due) > maxTimerDelay }

type timer struct {
	f func()

	mu         sync.Mutex
	timer      *time.Timer
	due        time.Time
	confirming bool // the present stage is the last one, if it ends in time
	lateStages int
	ended      bool // f was called, or the timer was stopped
}

// wait starts a stage. The caller holds the lock.
func (t *timer) wait(d time.Duration) {
	t.due = time.Now().Add(d)
	t.timer = time.AfterFunc(d, t.stageOver)
}

func (t *timer) stageOver() {
	if t.endStage() {
		t.f()
	}
}

// endStage reports whether the stage was the last one, and starts another one if not.
func (t *timer) endStage() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return false
	}
	isLate := IsLate(t.due)
	if isLate {
		t.lateStages++
	}
	if t.confirming && !isLate || t.lateStages > maxLateStages {
		t.ended = true
		return true
	}
	t.confirming = true
	t.wait(CatchUp)
	return false
}

func (t *timer) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return false
	}
	t.ended = true
	t.timer.Stop()
	return true
}
