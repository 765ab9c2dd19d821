package frontend

import (
	"testing"
	"time"

	"silvertrail/internal/edge/admission"
	"silvertrail/internal/testkit/lbtest"
)

// acceptConn returns both ends of a connection: the client's, and the server's as it is when it was accepted.
func acceptConn(t *testing.T) (*lbtest.Client, *clientConn) {
	t.Helper()
	l := lbtest.Listen(t)
	client := lbtest.Dial(t, l.Addr().String())
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c, err := newClientConn(accepted, newAcceptor(l, admission.SingleGroup(1), nil))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.socket.Close() })
	return client, c
}

// The next request on a connection loses its read deadline when an earlier request's body is stopped a second time, late.
func TestSecondStopOfBodyLeavesConnectionAlone(t *testing.T) {
	_, c := acceptConn(t)
	body := newBodyStream(c, 1, 1)
	body.Stop()
	nextRequest := time.Now().Add(lbtest.Wait)
	c.setReadDeadline(nextRequest)
	body.Stop()
	if !c.readDeadline.Equal(nextRequest) {
		t.Errorf("read deadline %v after the second Stop, want %v", c.readDeadline, nextRequest)
	}
}
