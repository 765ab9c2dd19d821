package sidecar

import "golang.org/x/sys/unix"

// minDescriptors is the least number of file descriptors that a configuration may grant.
const minDescriptors = 64

// Descriptors returns the number of file descriptors that the process may use: the configured one, or what the system grants
// if that is less.
//
// Otherwise clients could use up what is granted before they reach their own bound, and nothing would be left for calls to
// discovery, operators or a process that takes over.
func Descriptors(configured int) int {
	var granted unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &granted); err != nil || granted.Cur >= uint64(configured) {
		return configured
	}
	return max(int(granted.Cur), minDescriptors)
}
