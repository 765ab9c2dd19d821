package lbpolicy

// This file: what a balancer tells of itself.

// CountEjected tells how many of the listed servers get no calls now but for trials: by hand, or because they are
// out. Where most are out they are used all the same.
func (b *Balancer) CountEjected() int {
	hand, out := 0, 0
	for _, s := range b.listed {
		if s.manuallyEjected {
			hand++
		} else if s.ejected {
			out++
		}
	}
	if float64(b.ejectedCount) > panicThreshold*float64(len(b.subset)) {
		out = 0
	}
	return hand + out
}
