package sidecar

import (
	"os"
	"strconv"
	"strings"
)

const (
	// unmanagedBytes is memory that the runtime's limit does not count: its threads' stacks, the C library, and pages of the program that
	// are not in use at the start.
	unmanagedBytes = 3 << 20
	// defaultProgramBytes stands for the size of the program's own pages where the system does not tell it.
	defaultProgramBytes = 16 << 20
	// minHeapDivider divides the memory limit: the heap gets this part of it at least.
	minHeapDivider = 4
)

// HeapBytes returns how much of a process's memory the Go runtime may use. The pages of the program count as memory of the process, too.
func HeapBytes(memoryMB int64) int64 {
	limit := memoryMB << 20
	return max(limit-programBytes()-unmanagedBytes, limit/minHeapDivider)
}

// programBytes returns the size of the program's resident pages (proc(5), statm).
func programBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return defaultProgramBytes
	}
	pages, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return defaultProgramBytes
	}
	return pages * int64(os.Getpagesize())
}
