// Package timeout provides timers that detect a peer which sends nothing, and that allow for pauses of this process. While a
// process is paused (a stopped container, a suspended machine, no processor time), its peers keep sending, and their data waits
// in the sockets of the process. When the process resumes, overdue timers fire before that data is read. A plain timer would
// therefore mistake the pause of the process for silence of the peer.
package timeout

import (
	"sync"
	"time"
)

const (
	// CatchUp is the time within which a running process reads the data that has arrived.
	CatchUp = 20 * time.Millisecond
	// maxTimerDelay is the longest delay of a timer or a deadline in a running process.
	maxTimerDelay = 10 * time.Millisecond
	// maxLateStages is the number of late stages accepted before the timer fires anyway. It bounds the delay in a process whose
	// timers are always late.
	maxLateStages = 3
)

// AfterFunc calls f in its own goroutine after d. The last CatchUp of d is a separate stage: after a pause that ends before it,
// the process has that time to read the data that has arrived. If this stage ends late, the process was paused meanwhile, and
// another stage of CatchUp follows, until a stage ends in time or more than maxLateStages have ended late. The returned function
// stops the timer and reports whether it prevented the call of f.
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

// IsLate reports whether due has passed by more than maxTimerDelay, which means that this process was paused.
func IsLate(due time.Time) bool { return time.Since(due) > maxTimerDelay }

type timer struct {
	f func()

	mu         sync.Mutex
	timer      *time.Timer
	due        time.Time
	confirming bool // the current stage is the last one unless it ends late
	lateStages int
	ended      bool // f was called, or the timer was stopped
}

// wait starts a stage that lasts for d. The caller holds mu.
func (t *timer) wait(d time.Duration) {
	t.due = time.Now().Add(d)
	t.timer = time.AfterFunc(d, t.handleStageEnd)
}

func (t *timer) handleStageEnd() {
	if t.endStage() {
		t.f()
	}
}

// endStage ends the current stage. It reports whether that was the last stage, and starts another stage if it was not.
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
