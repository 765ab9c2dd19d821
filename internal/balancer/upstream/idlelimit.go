package upstream

import (
	"math"
	"time"
)

// idleLimit is how long a connection may have been idle to be reused. It starts at the configured time. When a connection
// breaks just as it is reused, connections of all pools that have been idle as long are no longer reused, since the
// endpoints of one tier, and what lies between, are alike. The limit rises again with time.
//
// This protects against idle timeouts that are shorter than configured, and against lost connection state (a middlebox, a
// restart behind one address). Connections that break at any age drive the limit to its minimum, where it costs a handshake
// for most requests: much less than a request that may have run and must not be repeated.
type idleLimit struct {
	configured, learned time.Duration
	learnedAt           time.Time
}

const (
	minIdleLimit     = 50 * time.Millisecond
	idleDoublingTime = 30 * time.Second // in which a learned limit doubles
	// staleBreakTime is how soon a connection breaks that had been lost. A later break is caused by the request.
	staleBreakTime = 100 * time.Millisecond
)

// current returns the limit now.
func (l *idleLimit) current() time.Duration {
	if l.learned >= l.configured {
		return l.configured
	}
	rise := math.Exp2(float64(time.Since(l.learnedAt)) / float64(idleDoublingTime))
	return time.Duration(min(float64(l.learned)*rise, float64(l.configured)))
}

// recordBreak lowers the limit after a connection has broken that was idle for some time.
func (l *idleLimit) recordBreak(idleFor time.Duration) {
	l.learned = min(max(idleFor*3/4, minIdleLimit), l.current())
	l.learnedAt = time.Now()
}

// configure changes the configured limit. A lower limit that was learned stays.
func (l *idleLimit) configure(d time.Duration) {
	switch {
	case l.learned >= l.configured:
		l.configured, l.learned = d, d
	case d != l.configured:
		*l = idleLimit{configured: d, learned: min(l.current(), d), learnedAt: time.Now()}
	}
}
