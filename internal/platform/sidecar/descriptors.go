package sidecar

import "golang.org/x/sys/unix"

// minDescriptors is the smallest number of file descriptors that a configuration may set.
const minDescriptors = 64

// Descriptors returns the number of file descriptors that the process may use. This is the configured number, or the
// process's soft limit if that is lower, but at least minDescriptors.
//
// If the configured number exceeded the limit, clients could use up all descriptors before they reached their own connection
// limit. None would be left for calls to discovery, for operators or for a process that takes over.
func Descriptors(configured int) int {
	var granted unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &granted); err != nil || granted.Cur >= uint64(configured) {
		return configured
	}
	return max(int(granted.Cur), minDescriptors)
}
