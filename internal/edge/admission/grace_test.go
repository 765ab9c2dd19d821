package admission

import (
	"testing"
	"time"
)

// While all connections have only just become idle, idleGrace protects them, and a new connection is rejected. A client that retries after
// its Retry-After must then be admitted (docs/incidents/full-of-new-idle-connections.md).
func TestRejectedConnectionIsAdmittedAfterRetryAfter(t *testing.T) {
	const capacity = 4
	now := time.Unix(1e9, 0)
	controller := New(Policy{Capacity: capacity, Groups: []Group{{Name: DefaultGroupName}}, IPv4Bits: 32, IPv6Bits: 64, RequestGrace: time.Second,
		IdleProtection: time.Second}, now)
	for range capacity {
		v := controller.Admit(now, addrs[0], false, nil)
		if v.Conn == nil {
			t.Fatalf("connection within the capacity was not admitted: %+v", v)
		}
		controller.StartRequest(v.Conn)
		controller.EndRequest(now, v.Conn)
	}
	v := controller.Admit(now.Add(idleGrace/2), addrs[1], false, nil)
	if !v.Rejected || v.Reason != ListenerFull || v.RetryAfter <= idleGrace {
		t.Errorf("connection within idleGrace: got %+v, want ListenerFull with a Retry-After beyond idleGrace", v)
	}
	if v = controller.Admit(now.Add(idleGrace/2+v.RetryAfter), addrs[1], false, nil); v.Conn == nil || v.Evict == nil {
		t.Errorf("connection after Retry-After: got %+v, want it admitted for an evicted one", v)
	}
}
