package frontend

import (
	"testing"
	"time"

	"silvertrail/internal/edge/admission"
	"silvertrail/internal/testkit/lbtest"
)

// The next request on a connection loses its read deadline when an earlier request's body is stopped a second time, late.
func TestSecondStopOfBodyLeavesConnectionAlone(t *testing.T) {
	l := lbtest.Listen(t)
	lbtest.Dial(t, l.Addr().String())
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c, err := newClientConn(accepted, newAcceptor(l, admission.SingleGroup(1), nil))
	if err != nil {
		t.Fatal(err)
	}
	defer c.socket.Close()
	body := newBodyStream(c, 1, 1)
	body.Stop()
	nextRequest := time.Now().Add(lbtest.Wait)
	c.setReadDeadline(nextRequest)
	body.Stop()
	if !c.readDeadline.Equal(nextRequest) {
		t.Errorf("read deadline %v after the second Stop, want %v", c.readDeadline, nextRequest)
	}
}
