package sidecar

import (
	"os"
	"strconv"
	"strings"
)

const (
	// unmanagedBytes is memory that neither the runtime's limit nor the program's files count: data of the C library and the threads' stacks.
	unmanagedBytes = 3 << 20
	// defaultProgramBytes stands for the size of the program where the system does not tell it.
	defaultProgramBytes = 10 << 20
	// minHeapDivider divides the memory limit: the heap gets this part of it at least.
	minHeapDivider = 4
)

// HeapBytes returns how much of a process's memory the Go runtime may use. The pages of the program count as memory of the process, too, and
// all of them may come into use.
func HeapBytes(memoryMB int64) int64 {
	limit := memoryMB << 20
	return max(limit-programBytes()-unmanagedBytes, limit/minHeapDivider)
}

// programBytes returns the size of the files that are mapped into the process: the program and its libraries.
func programBytes() int64 {
	text, err := os.ReadFile("/proc/self/maps")
	if err != nil {
		return defaultProgramBytes
	}
	sum := int64(0)
	for line := range strings.Lines(string(text)) {
		sum += mappedFileBytes(strings.Fields(line))
	}
	if sum == 0 {
		return defaultProgramBytes
	}
	return sum
}

// mappedFileBytes returns the size of a readable mapping of a file; zero for any other mapping. Its fields are those of proc(5), maps: address
// range, permissions, offset, device, inode and path.
func mappedFileBytes(fields []string) int64 {
	if len(fields) < 6 || !strings.HasPrefix(fields[1], "r") || !strings.HasPrefix(fields[5], "/") {
		return 0
	}
	from, to, _ := strings.Cut(fields[0], "-")
	start, startErr := strconv.ParseUint(from, 16, 64)
	end, endErr := strconv.ParseUint(to, 16, 64)
	if startErr != nil || endErr != nil || end < start {
		return 0
	}
	return int64(end - start)
}
