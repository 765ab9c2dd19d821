package frontend

import (
	"bufio"
	"testing"
	"time"
)

// A request with Expect: 100-continue fails on a kept connection when the write deadline of an earlier response has passed.
func TestContinueIsSentAfterEarlierWriteDeadline(t *testing.T) {
	client, c := acceptConn(t)
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
