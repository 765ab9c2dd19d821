package gateway

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

const (
	// stopText is the setting of a shutdown that is much shorter than the deadlines of the classes.
	stopText = `stop = "1s"`
	stopTime = time.Second
	// lateResponseBound is how late a response may be (the platform's STANDING page).
	lateResponseBound = 500 * time.Millisecond
)

// ending returns a site's gateway to end it.
func (p *siteFleet) ending(site int) *endingGateway {
	return &endingGateway{p.all[site], make(chan struct{})}
}

// endingGateway is a gateway that is ended as its process is by SIGTERM: what has no response by then is cut off.
type endingGateway struct {
	*Gateway
	done chan struct{} // closed when it has ended
}

func startEnding(t *testing.T, text string) *endingGateway {
	t.Helper()
	return &endingGateway{run(t, text), make(chan struct{})}
}

// end begins the end of the process, and returns the time by which all responses are due.
func (g *endingGateway) end() (due time.Time) {
	due = time.Now().Add(stopTime + lateResponseBound)
	go func() {
		defer close(g.done)
		g.Shutdown()
		g.Close()
	}()
	return due
}

// checkResponse reads the response to a request, which is due by then. It must be that of the exchange: one that a listener gives for an
// exchange that is blocked has no date.
func checkResponse(t *testing.T, c *lbtest.Client, due time.Time) {
	t.Helper()
	c.SetReadDeadline(due)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	switch {
	case err != nil:
		t.Errorf("no final response in time: %v", err)
	case response.Header.Get("Date") == "":
		t.Error("the exchange had no result at the end of the shutdown")
	case response.StatusCode < 500:
		t.Errorf("status %d, want a failure or a rejection", response.StatusCode)
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "":
		t.Error("a rejection without Retry-After")
	}
}

// requestOf returns a request of a class, without a body.
func requestOf(class, id string) string {
	if class == "read" || class == "look" {
		return lbtest.Head("GET", class, id)
	}
	return lbtest.Head("POST", class, id, "Idempotency-Key: k-"+id, "Content-Length: 0")
}

var allClasses = []string{"read", "write", "once"}

// routesTo routes each class to cluster c, with more in the routes' blocks.
func routesTo(more string) string {
	var text strings.Builder
	for _, class := range allClasses {
		fmt.Fprintf(&text, "route %q {\n  match {\n    prefix = \"/%s\"\n  }\n  class   = %q\n  cluster = \"c\"\n%s\n}\n", class, class, class, more)
	}
	return text.String()
}

// hungSites are sites whose deadlines are much longer than their shutdowns. The first one has lost its endpoints, and all others hang.
type hungSites struct {
	*siteFleet
	addr string // of the first site
}

func newHungSites(t *testing.T) *hungSites {
	t.Helper()
	s := &hungSites{siteFleet: newSiteFleetWith(t, "4s", fake.EndpointOptions{}, nil)}
	s.addr = s.siteFleet.addr(0)
	for _, endpoints := range s.nodos {
		for _, endpoint := range endpoints {
			endpoint.Hang(true)
		}
	}
	s.setStatuses(0, "gone", "gone")
	lbtest.Until(t, "the first site has no endpoints", func() bool { return s.all[0].Members()["c"] == 0 })
	return s
}

// send sends a request to the first site and waits until it has come to an endpoint of another one.
func (s *hungSites) send(class, id string) *lbtest.Client {
	s.t.Helper()
	arrived := s.requests()
	c := lbtest.Dial(s.t, s.addr)
	c.Send(requestOf(class, id))
	lbtest.Until(s.t, "the request has come to an endpoint", func() bool { return s.requests() > arrived })
	return c
}

// requests returns how many requests have come to all endpoints.
func (s *hungSites) requests() (n int64) {
	for _, endpoints := range s.nodos {
		for _, endpoint := range endpoints {
			n += endpoint.Requests()
		}
	}
	return n
}

// A request that has crossed to another site is left unanswered when its own gateway ends, whether it crossed before SIGTERM or after.
func TestShutdownAnswersForwardedRequests(t *testing.T) {
	t.Parallel()
	for _, class := range []string{"seat", "look", "note"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			s := newHungSites(t)
			g := s.ending(0)
			before := s.send(class, "before")
			due := g.end()
			lbtest.Until(t, "the shutdown has begun", g.draining.Load)
			after := s.send(class, "after")
			checkResponse(t, before, due)
			checkResponse(t, after, due)
			<-g.done
		})
	}
}
