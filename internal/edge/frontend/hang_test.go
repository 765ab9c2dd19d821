package frontend_test

import (
	"fmt"
	"testing"

	"silvertrail/internal/testkit/lbtest"
)

// A request whose endpoint has answered another one after it came, and hangs then, is answered by another endpoint and not given up at its
// deadline (docs/incidents/stopped-after-an-answer.md).
func TestEndpointHangsAfterAnAnswer(t *testing.T) {
	t.Parallel()
	const requests = 4 // two at each endpoint
	arrivals := make(chan *lbtest.Arrival, 2*requests)
	d := startTestServer(t, 64, 1<<20, false, func(a *lbtest.Arrival) { arrivals <- a })
	clients := map[string]*testClient{}
	for n := range requests {
		id := fmt.Sprint("r", n)
		clients[id] = d.connectAndSend(t, lbtest.Get(id))
	}
	byEndpoint := map[string][]*lbtest.Arrival{}
	for range requests {
		a := <-arrivals
		address := a.LocalAddr().String()
		byEndpoint[address] = append(byEndpoint[address], a)
	}
	var left *lbtest.Arrival
	for _, at := range byEndpoint {
		if left == nil && len(at) > 1 {
			left = at[0]
			at = at[1:]
		}
		for _, a := range at {
			a.OK()
		}
	}
	if left == nil {
		t.Fatal("no two requests came to one endpoint")
	}
	leftID := left.Request.Header.Get("X-Request-Id")
	for id, c := range clients {
		if id == leftID {
			continue
		}
		if status, _ := c.Response(); status != 200 {
			t.Errorf("%s: %d", id, status)
		}
	}
	go func() {
		for a := range arrivals {
			a.OK()
		}
	}()
	if status, body := clients[leftID].Response(); status != 200 || body != "answer to "+leftID {
		t.Errorf("the request that was left: %d %q", status, body)
	}
}
