package sidecar

import (
	"fmt"
	"strings"
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

// Only readable mappings of files are pages of the program.
func TestMappedFileBytes(t *testing.T) {
	for line, want := range map[string]int64{
		"00400000-00acb000 r-xp 00000000 fe:00 1234 /usr/bin/sidecar":       0x6cb000,
		"7f0000000000-7f0000010000 ---p 00010000 fe:00 99 /usr/lib/libc.so": 0,
		"c000000000-c004000000 rw-p 00000000 00:00 0":                       0,
		"7ffc1000-7ffc3000 rw-p 00000000 00:00 0 [stack]":                   0,
		"nonsense r-xp 00000000 fe:00 1234 /usr/bin/sidecar":                0,
	} {
		if got := mappedFileBytes(strings.Fields(line)); got != want {
			t.Errorf("%q: %d bytes, want %d", line, got, want)
		}
	}
	if got := programBytes(); got <= 1<<20 {
		t.Errorf("this program has %d bytes", got)
	}
}
