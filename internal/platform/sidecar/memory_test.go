package sidecar

import (
	"fmt"
	"testing"
)

// The parts of the heap exceed it, or one part has nothing, at the limits that the platform's pages name.
func TestBudgetPartsFitTheHeap(t *testing.T) {
	for _, memoryMB := range []int64{32, 64, 192} {
		for _, sockets := range []int{256, 1024} {
			t.Run(fmt.Sprintf("%d MB, %d sockets", memoryMB, sockets), func(t *testing.T) {
				heap := HeapBytes(memoryMB)
				if heap <= 0 || heap >= memoryMB<<20 {
					t.Errorf("a heap of %d bytes", heap)
				}
				b := NewBudget(heap, sockets)
				responses := b.ResponseBytes * int64(b.EndpointConns)
				if sum := b.BodyBytes + b.HeadBytes + responses + int64(keysFor(heap))*keyBytes; sum > heap*9/10 {
					t.Errorf("parts of %d bytes of a heap of %d", sum, heap)
				}
				const largeRequest = 96 << 10 // body and buffers
				if b.BodyBytes < 8*largeRequest || b.HeadBytes < largeRequest || keysFor(heap) < 1000 {
					t.Errorf("too little for some requests: %+v, %d keys", b, keysFor(heap))
				}
			})
		}
	}
}
