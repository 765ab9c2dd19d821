package process

import (
	"testing"
	"time"

	"silvertrail/internal/platform/config"
	"silvertrail/lbpolicy"
)

// The time to end is that of the shorter settings: whose the platform goes by is not said.
func TestGracePeriodFollowsShorterSettings(t *testing.T) {
	of := func(deadline time.Duration) *config.Config {
		return &config.Config{Policy: lbpolicy.Settings{Classes: []lbpolicy.Class{{Deadline: deadline / 2}, {Deadline: deadline}}}}
	}
	const s = time.Second
	for _, c := range []struct{ start, inForce, want time.Duration }{
		{6 * s, 6 * s, 3300 * time.Millisecond},
		{s, s, 1300 * time.Millisecond},
		{5 * s, s, 1300 * time.Millisecond},
		{s, 2 * s, 1300 * time.Millisecond},
	} {
		if got := gracePeriod(of(c.start), of(c.inForce)); got != c.want {
			t.Errorf("%v, then %v: %v, want %v", c.start, c.inForce, got, c.want)
		}
	}
}
