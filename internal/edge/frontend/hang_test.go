package frontend_test

import (
	"fmt"
	"testing"

	"silvertrail/internal/testkit/lbtest"
)

// A request must be retried at another endpoint if its own endpoint responds to another request and then hangs. The later response must not
// hide the hang until the request's deadline (docs/incidents/stopped-after-an-answer.md).
func TestRequestIsRetriedWhenEndpointHangsAfterResponse(t *testing.T) {
	t.Parallel()
	const requests = 4 // for two endpoints, so that one of them gets at least two
	arrivals := make(chan *lbtest.Arrival, 2*requests)
	server := startTestServer(t, 64, 1<<20, false, func(a *lbtest.Arrival) { arrivals <- a })
	clients := map[string]*testClient{}
	for n := range requests {
		id := fmt.Sprint("r", n)
		clients[id] = server.connectAndSend(t, lbtest.Get(id))
	}
	byEndpoint := map[string][]*lbtest.Arrival{}
	for range requests {
		a := <-arrivals
		address := a.LocalAddr().String()
		byEndpoint[address] = append(byEndpoint[address], a)
	}
	var hanging *lbtest.Arrival
	for _, received := range byEndpoint {
		if hanging == nil && len(received) > 1 {
			hanging = received[0]
			received = received[1:]
		}
		for _, a := range received {
			a.OK()
		}
	}
	if hanging == nil {
		t.Fatal("no endpoint received two requests")
	}
	hangingID := hanging.Request.Header.Get("X-Request-Id")
	for id, c := range clients {
		if id == hangingID {
			continue
		}
		if status, _ := c.Response(); status != 200 {
			t.Errorf("request %s: status %d, want 200", id, status)
		}
	}
	go func() {
		for a := range arrivals {
			a.OK()
		}
	}()
	if status, body := clients[hangingID].Response(); status != 200 || body != "answer to "+hangingID {
		t.Errorf("request on the hanging endpoint: status %d, body %q", status, body)
	}
}
