package admission

import (
	"testing"
	"time"
)

// Where all connections have only just become idle, a new one is told when to come back, and gets in then
// (docs/incidents/full-of-new-idle-connections.md).
func TestRejectedConnectionIsAdmittedAfterRetryAfter(t *testing.T) {
	const capacity = 4
	now := time.Unix(1e9, 0)
	controller := New(Policy{Capacity: capacity, Groups: []Group{{Name: Others}}, IPv4Bits: 32, IPv6Bits: 64, RequestGrace: time.Second,
		IdleProtection: time.Second}, now)
	for range capacity {
		v := controller.Admit(now, addrs[0], false, nil)
		if v.Conn == nil {
			t.Fatalf("%+v", v)
		}
		controller.StartRequest(v.Conn)
		controller.EndRequest(now, v.Conn)
	}
	v := controller.Admit(now.Add(idleGrace/2), addrs[1], false, nil)
	if !v.Rejected || v.Reason != ListenerFull || v.RetryAfter <= idleGrace {
		t.Errorf("within the grace: %+v", v)
	}
	if v = controller.Admit(now.Add(idleGrace/2+v.RetryAfter), addrs[1], false, nil); v.Conn == nil || v.Evict == nil {
		t.Errorf("when it comes back: %+v", v)
	}
}
