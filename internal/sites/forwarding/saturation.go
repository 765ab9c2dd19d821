package forwarding

import "time"

// sheddingThreshold is the fraction of rejected requests above which a site reports that it sheds load.
const sheddingThreshold = 0.05

// Saturation measures the fraction of a site's requests that the site rejects for load, over the current and the previous
// second. It is not safe for concurrent use.
type Saturation struct {
	secondStart        time.Time
	requests, rejected [2]int // in the current second, in the previous one
}

// rotate starts a new second if the current one is over.
func (s *Saturation) rotate(now time.Time) {
	elapsed := now.Sub(s.secondStart)
	if elapsed < time.Second {
		return
	}
	s.secondStart = now
	s.requests[1], s.rejected[1] = s.requests[0], s.rejected[0]
	if elapsed >= 2*time.Second {
		s.requests[1], s.rejected[1] = 0, 0
	}
	s.requests[0], s.rejected[0] = 0, 0
}

// Record counts a request that the site's own balancing policy has finished, and whether it was rejected for load.
func (s *Saturation) Record(now time.Time, rejected bool) {
	s.rotate(now)
	s.requests[0]++
	if rejected {
		s.rejected[0]++
	}
}

// IsShedding reports whether the fraction of rejected requests is above sheddingThreshold.
func (s *Saturation) IsShedding(now time.Time) bool {
	s.rotate(now)
	rejected := s.rejected[0] + s.rejected[1]
	requests := s.requests[0] + s.requests[1]
	return float64(rejected) > sheddingThreshold*float64(requests)
}
