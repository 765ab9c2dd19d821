package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Under BlockWhenFull the accepting goroutine waits with a connection that gets AskAgain, so connections behind it wait too. That is right
// only if no connection of any source would be admitted at that time.
func TestBlockedConnectionDelaysNoAdmissibleConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		controller := New(SingleGroup(rapid.IntRange(1, 4).Draw(t, "capacity")), now)
		var admitted []*Conn
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if len(admitted) > 0 && rapid.Bool().Draw(t, "changes") {
				changeState(t, controller, now, rapid.SampledFrom(admitted).Draw(t, "conn"))
				continue
			}
			v := controller.Admit(now, rapid.SampledFrom(addrs).Draw(t, "address"), rapid.Bool().Draw(t, "TLS"), nil)
			if v.Conn != nil {
				admitted = append(admitted, v.Conn)
				continue
			}
			for _, address := range addrs {
				if other := controller.Admit(now, address, rapid.Bool().Draw(t, "other TLS"), nil); !other.AskAgain {
					t.Fatalf("verdict %+v while the listener is full, but %+v for a connection from %v", v, other, address)
				}
			}
		}
	})
}

// changeState removes the connection, or starts or ends its request.
func changeState(t *rapid.T, controller *Controller, now time.Time, c *Conn) {
	switch {
	case c.state == closed:
	case rapid.IntRange(0, 3).Draw(t, "change") == 0:
		controller.Remove(now, c)
	case c.state == active:
		controller.EndRequest(now, c)
	default:
		controller.StartRequest(c)
	}
}
