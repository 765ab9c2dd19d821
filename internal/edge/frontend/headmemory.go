package frontend

import (
	"bytes"
	"net/http"

	"golang.org/x/sync/semaphore"
)

const (
	// Heads up to these sizes are accounted for in the memory of each connection.
	freeHeadBytes  = 2 << 10
	freeHeadFields = 32

	headCopies = 4   // of a head's bytes: its read buffer while that grows, and its text
	fieldBytes = 256 // of each field: its entry and values, as received and as forwarded
)

// headMemory is the memory for large heads, which all connections of a listener share. A nil headMemory is unlimited.
type headMemory struct {
	bytes *semaphore.Weighted
}

// SetHeadMemory limits the memory for heads of more than 2 KiB or 32 fields. A request whose head does not fit gets 503. It must be called
// before Serve.
func (s *Server) SetHeadMemory(bytes int64) {
	s.acceptor.heads = &headMemory{bytes: semaphore.NewWeighted(bytes)}
}

// headCost returns the memory to be reserved for a head.
func headCost(size, fields int) int64 {
	if size <= freeHeadBytes && fields <= freeHeadFields {
		return 0
	}
	return int64(headCopies*size + fieldBytes*fields)
}

// reserveHead reserves the memory for the head that is being read, and reports whether there was enough.
func (c *clientConn) reserveHead(size, fields int) bool {
	heads := c.acceptor.heads
	more := headCost(size, fields) - c.reservedHead
	if heads == nil || more <= 0 {
		return true
	}
	if !heads.bytes.TryAcquire(more) {
		return false
	}
	c.reservedHead += more
	return true
}

// reserveFields reserves the memory for the fields of a complete head.
func (c *clientConn) reserveFields(head []byte) bool {
	return c.reserveHead(len(head), bytes.Count(head, []byte{'\n'}))
}

// releaseHead releases the memory of the last head.
func (c *clientConn) releaseHead() {
	if c.reservedHead > 0 {
		c.acceptor.heads.bytes.Release(c.reservedHead)
		c.reservedHead = 0
	}
}

// rejectHead responds to a request whose head cannot be served. Nothing was forwarded, so that a retry is safe.
func (c *clientConn) rejectHead(status int) {
	reply := &Reply{Status: status}
	switch status {
	case http.StatusServiceUnavailable:
		c.acceptor.rejections.noHeadMemory.Add(1)
		reply.Header = http.Header{"Retry-After": {memoryRetryAfterSeconds}}
	case http.StatusRequestHeaderFieldsTooLarge:
		c.acceptor.rejections.largeHeads.Add(1)
	}
	c.rejectWith(reply)
}
