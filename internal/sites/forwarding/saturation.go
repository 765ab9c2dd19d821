package forwarding

import "time"

// Saturation is how much of what comes to a sala it refuses for load. It is not safe for concurrent use.
type Saturation struct {
	secondStart        time.Time
	requests, rejected [2]int // in this second, and in the one before
}

// sheddingThreshold is the part that is refused from which on a sala says that it sheds.
const sheddingThreshold = 0.05

func (s *Saturation) rotate(now time.Time) {
	if d := now.Sub(s.secondStart); d >= time.Second {
		s.secondStart = now
		s.requests[1], s.rejected[1] = s.requests[0], s.rejected[0]
		if d >= 2*time.Second {
			s.requests[1], s.rejected[1] = 0, 0
		}
		s.requests[0], s.rejected[0] = 0, 0
	}
}

// Record counts a request that the sala's own decisions have ended.
func (s *Saturation) Record(now time.Time, refused bool) {
	s.rotate(now)
	s.requests[0]++
	if refused {
		s.rejected[0]++
	}
}

// IsShedding tells whether the sala should say so.
func (s *Saturation) IsShedding(now time.Time) bool {
	s.rotate(now)
	return float64(s.rejected[0]+s.rejected[1]) > sheddingThreshold*float64(s.requests[0]+s.requests[1])
}
