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
				t.Errorf("function called after %v, want %v", after, d)
			}
			if stop() {
				t.Error("stop = true after the function was called, want false")
			}
		})
	}
}

func TestStoppedTimerDoesNotFire(t *testing.T) {
	for _, at := range []time.Duration{0, time.Second - CatchUp/2} {
		synctest.Test(t, func(t *testing.T) {
			stop := AfterFunc(time.Second, func() { t.Error("function called after the timer was stopped") })
			time.Sleep(at)
			if !stop() || stop() {
				t.Error("want true from the first stop and false from the second")
			}
			time.Sleep(2 * time.Second)
		})
	}
}

// TestLateStageDelaysTimeout checks that a stage that ends late, which shows a pause of the process, delays the call. The function
// is called once a stage of CatchUp has ended in time, or after more than maxLateStages late stages.
func TestLateStageDelaysTimeout(t *testing.T) {
	for _, c := range []struct {
		late      []bool // whether each stage ends late
		lastStage int    // number of the stage after which the function is called
	}{
		{[]bool{false, false}, 2},
		{[]bool{true, false}, 2},
		{[]bool{false, true, false}, 3},
		{[]bool{true, true, true, true}, 4},
	} {
		synctest.Test(t, func(t *testing.T) {
			stagedTimer := &timer{timer: time.NewTimer(time.Hour)}
			for i, late := range c.late {
				stagedTimer.due = time.Now()
				if late {
					stagedTimer.due = time.Now().Add(-maxTimerDelay - 1)
				}
				if isLast := stagedTimer.endStage(); isLast != (i+1 == c.lastStage) {
					t.Errorf("late stages %v: last stage after stage %d: %t, want the opposite", c.late, i+1, isLast)
				}
				stagedTimer.timer.Stop()
			}
			stagedTimer.stop()
		})
	}
}
