package frontend

import (
	"testing"

	"golang.org/x/sync/semaphore"
)

// Large heads, or heads of many fields, take memory without a bound; a connection that has ended keeps its part.
func TestHeadMemoryIsBoundedAndReleased(t *testing.T) {
	const (
		largeBytes  = 8 << 10
		largeFields = 100
	)
	cost := headCost(largeBytes, largeFields)
	a := &acceptor{heads: &headMemory{bytes: semaphore.NewWeighted(2 * cost)}}
	conns := []*clientConn{{acceptor: a}, {acceptor: a}, {acceptor: a}}
	for n, c := range conns {
		if !c.reserveHead(freeHeadBytes, freeHeadFields) {
			t.Errorf("connection %d: a small head was refused", n)
		}
		want := n < 2
		if got := c.reserveHead(largeBytes, 0) && c.reserveHead(largeBytes, largeFields); got != want {
			t.Errorf("connection %d: large head accepted %t, want %t", n, got, want)
		}
	}
	for range 2 { // a second release has no effect
		conns[0].releaseHead()
	}
	if !conns[2].reserveHead(largeBytes, largeFields) {
		t.Error("released memory was not available")
	}
	if conns[0].reserveHead(largeBytes, largeFields) {
		t.Error("memory was released twice")
	}
}
