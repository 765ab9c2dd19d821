package frontend

import "sync/atomic"

// Rejections counts requests that were rejected before they reached an exchange, for what they or others take of the memory.
type Rejections struct {
	NoHeadMemory, LargeHeads, NoBodyMemory int64
}

// rejectionCounters counts the rejections of a listener.
type rejectionCounters struct {
	noHeadMemory, largeHeads, noBodyMemory atomic.Int64
}

// Rejections returns the counts since the start.
func (s *Server) Rejections() Rejections {
	r := &s.acceptor.rejections
	return Rejections{NoHeadMemory: r.noHeadMemory.Load(), LargeHeads: r.largeHeads.Load(), NoBodyMemory: r.noBodyMemory.Load()}
}
