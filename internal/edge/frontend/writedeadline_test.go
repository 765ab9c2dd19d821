package frontend

import (
	"bufio"
	"testing"
	"time"

	"silvertrail/internal/edge/admission"
	"silvertrail/internal/testkit/lbtest"
)

// A request with Expect: 100-continue fails on a kept connection when the write deadline of an earlier response has passed.
func TestContinueIsSentAfterEarlierWriteDeadline(t *testing.T) {
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
	defer c.socket.Close()
	c.writeDeadline = time.Now().Add(-time.Second)
	c.Conn.SetWriteDeadline(c.writeDeadline)
	c.expectsContinue = true
	if err := c.sendContinueIfExpected(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(client).ReadString('\n')
	if err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Errorf("client read %q, %v", line, err)
	}
}
