package timeout

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestAfterFunc(t *testing.T) {
	for _, d := range []time.Duration{0, time.Millisecond, CatchUp, CatchUp + 1, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			called := make(chan time.Duration, 1)
			stop := AfterFunc(d, func() { called <- time.Since(started) })
			if after := <-called; after != d {
				t.Errorf("called after %v, want %v", after, d)
			}
			if stop() {
				t.Error("stopped after the call")
			}
		})
	}
}

func TestStop(t *testing.T) {
	for _, at := range []time.Duration{0, time.Second - CatchUp/2} {
		synctest.Test(t, func(t *testing.T) {
			stop := AfterFunc(time.Second, func() { t.Error("called after the stop") })
			time.Sleep(at)
			if !stop() || stop() {
				t.Error("the first stop counts, and no other")
			}
			time.Sleep(2 * time.Second)
		})
	}
}

// A stage that ends late shows a pause: the function is called once a stage has ended in time, or after maxLateStages.
func TestLateStages(t *testing.T) {
	for _, c := range []struct {
		late  []bool // of each stage that ends
		calls int    // after so many of them
	}{
		{[]bool{false, false}, 2},
		{[]bool{true, false}, 2},
		{[]bool{false, true, false}, 3},
		{[]bool{true, true, true, true}, 4},
	} {
		synctest.Test(t, func(t *testing.T) {
			tm := &timer{timer: time.NewTimer(time.Hour)}
			for i, late := range c.late {
				tm.due = time.Now()
				if late {
					tm.due = time.Now().Add(-maxTimerDelay - 1)
				}
				if over := tm.endStage(); over != (i+1 == c.calls) {
					t.Errorf("%v: over after stage %d: %t", c.late, i+1, over)
				}
				tm.timer.Stop()
			}
			tm.stop()
		})
	}
}
