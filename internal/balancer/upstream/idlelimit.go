package upstream

import (
	"math"
	"time"
)

// idleLimit is the longest time that a connection may have been idle and still be reused. It starts at the configured time. When
// a connection breaks just after it is reused, the limit drops below the time that the connection was idle. It applies to the
// connections of all pools, because the endpoints of one tier, and the devices on the path to them, are alike. The limit rises again
// with time.
//
// This protects against idle timeouts that are shorter than configured, and against lost connection state (a middlebox, or a
// restart behind one address). If connections break whatever their idle time, the limit falls to its minimum. Most requests then
// cost a handshake, which is much cheaper than a request that may have run and must not be repeated.
type idleLimit struct {
	configured, learned time.Duration
	learnedAt           time.Time
}

const (
	minIdleLimit     = 50 * time.Millisecond
	idleDoublingTime = 30 * time.Second // time in which a learned limit doubles
	// staleBreakTime is how soon after its reuse a connection breaks that was already lost while idle. A later break is attributed
	// to the request.
	staleBreakTime = 100 * time.Millisecond
)

// current returns the present limit.
func (l *idleLimit) current() time.Duration {
	if l.learned >= l.configured {
		return l.configured
	}
	growth := math.Exp2(float64(time.Since(l.learnedAt)) / float64(idleDoublingTime))
	return time.Duration(min(float64(l.learned)*growth, float64(l.configured)))
}

// recordBreak lowers the limit after a connection has broken on reuse. idleFor is how long the connection was idle.
func (l *idleLimit) recordBreak(idleFor time.Duration) {
	l.learned = min(max(idleFor*3/4, minIdleLimit), l.current())
	l.learnedAt = time.Now()
}

// configure changes the configured limit. A lower learned limit is kept.
func (l *idleLimit) configure(d time.Duration) {
	switch {
	case l.learned >= l.configured:
		l.configured, l.learned = d, d
	case d != l.configured:
		*l = idleLimit{configured: d, learned: min(l.current(), d), learnedAt: time.Now()}
	}
}
