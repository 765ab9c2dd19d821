package lbpolicy

// This file: what a balancer reports of itself.

// CountEjected returns how many of the listed servers get no requests now except probes, because of operators
// or of outlier ejection. In panic, ejected servers are used all the same.
func (b *Balancer) CountEjected() int {
	manually, outliers := 0, 0
	for _, s := range b.listed {
		if s.manuallyEjected {
			manually++
		} else if s.ejected {
			outliers++
		}
	}
	if b.isInPanic() {
		outliers = 0
	}
	return manually + outliers
}
