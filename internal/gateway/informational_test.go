package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

// A request with a body is left without its final answer when its endpoint sends informational responses ahead of the answer, or instead.
func TestInformationalResponsesLeaveNoRequestUnanswered(t *testing.T) {
	t.Parallel()
	const timeout, lateBound = time.Second, 500 * time.Millisecond // STANDING: half a second late at most
	const informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	for name, c := range map[string]struct {
		hasAnswer bool
		status    int
	}{
		"then the answer": {hasAnswer: true, status: http.StatusOK},
		"then nothing":    {status: http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := lbtest.Listen(t)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				io.WriteString(conn, informational) // before the body is read
				n, _ := io.Copy(io.Discard, r.Body)
				io.WriteString(conn, informational)
				if c.hasAnswer {
					io.WriteString(conn, lbtest.OK(fmt.Sprint(n)))
				}
				io.Copy(io.Discard, reader)
			}()
			g := run(t, listener("l", "127.0.0.1:0")+pool("c", "", l.Addr().String())+`
route "all" {
  class   = "write"
  cluster = "c"
}
`)
			body := strings.Repeat("x", 60_000)
			client := lbtest.Dial(t, g.Addr("l").String())
			client.Send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: app.example\r\nIdempotency-Key: k\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
				timeout.Milliseconds(), len(body), body))
			client.SetReadDeadline(time.Now().Add(timeout + lateBound))
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				t.Fatalf("no response in time: %v", err)
			}
			text, _ := io.ReadAll(response.Body)
			if response.StatusCode != c.status || c.hasAnswer && string(text) != fmt.Sprint(len(body)) {
				t.Errorf("status %d, body %q; want %d", response.StatusCode, text, c.status)
			}
		})
	}
}
