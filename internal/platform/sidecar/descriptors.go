package sidecar

import "golang.org/x/sys/unix"

// minDescriptors is how many descriptors a configuration must grant at the least.
const minDescriptors = 64

// Descriptors is how many descriptors the process may hold: as many as it was told, or as the system grants where that is fewer.
//
// It guards against callers who fill what is granted before they fill their places: nothing else of the process would find a
// descriptor then, neither discovery's calls nor operators' nor another process that takes over. It could hurt only where
// the system would grant more later.
func Descriptors(told int) int {
	var granted unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &granted); err != nil || granted.Cur >= uint64(told) {
		return told
	}
	return max(int(granted.Cur), minDescriptors)
}
