package gateway

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"silvertrail/internal/gateway/conf"
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
	return &endingGateway{Gateway: p.all[site], done: make(chan struct{})}
}

// endingGateway is a gateway that is ended as its process is by SIGTERM: what has no response by then is cut off.
type endingGateway struct {
	*Gateway
	done chan struct{} // closed when it has ended
	open int           // connections that were still open then
}

func startEnding(t *testing.T, text string) *endingGateway {
	t.Helper()
	return startEndingFile(t, parseAll(t, text))
}

func startEndingFile(t *testing.T, file *conf.File) *endingGateway {
	t.Helper()
	g, err := Start(file, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return &endingGateway{Gateway: g, done: make(chan struct{})}
}

// parseAll parses a configuration with its classes.
func parseAll(t *testing.T, text string) *conf.File {
	t.Helper()
	file, err := conf.Parse([]byte(text), "test.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// end begins the end of the process, and returns the time by which all responses are due. It looks which of the connections of clients are
// still open at the end: a process would close them.
func (g *endingGateway) end(clients ...*lbtest.Client) (due time.Time) {
	due = time.Now().Add(stopTime + lateResponseBound)
	go func() {
		defer close(g.done)
		g.Shutdown()
		g.Close()
		for _, c := range clients {
			if lbtest.IsEstablished(c.RemoteAddr(), c.LocalAddr()) {
				g.open++
			}
		}
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

// endingText is the configuration of a gateway whose endpoints hang. Its classes have the latency objective.
func endingText(objective, listeners string, hung *lbtest.Endpoint) string {
	return strings.ReplaceAll(classes, `aim      = "5s"`, fmt.Sprintf("aim = %q", objective)) + "process {\n  " + stopText + "\n}\n" + listeners +
		pool("c", "", hung.Addr) + routesTo("")
}

// startHung starts a gateway with an endpoint that hangs, and sends it a request of each class.
func startHung(t *testing.T, listeners, name string) (g *endingGateway, hung *lbtest.Endpoint, clients []*lbtest.Client) {
	t.Helper()
	hung = lbtest.NewEndpoint(t, nil)
	g = startEnding(t, endingText("5s", listeners, hung))
	for _, class := range allClasses {
		c := lbtest.Dial(t, g.Addr(name).String())
		c.Send(requestOf(class, class))
		<-hung.Arrivals
		clients = append(clients, c)
	}
	return g, hung, clients
}

// Requests at the site's own endpoints are left unanswered when the gateway ends, or are rejected without a time for their clients to retry.
func TestShutdownAnswersLocalRequests(t *testing.T) {
	t.Parallel()
	g, _, clients := startHung(t, listener("l", "127.0.0.1:0"), "l")
	due := g.end(clients...)
	for _, c := range clients {
		checkResponse(t, c, due)
	}
	<-g.done
}

// reload puts a configuration in force.
func (g *endingGateway) reload(t *testing.T, text string) {
	t.Helper()
	if err := g.Reload(parseAll(t, text)); err != nil {
		t.Fatal(err)
	}
}

// Requests that began before a reload made their clusters anew are left unanswered when the gateway ends.
func TestShutdownAnswersRequestsOfReplacedState(t *testing.T) {
	t.Parallel()
	l := listener("l", "127.0.0.1:0")
	g, hung, clients := startHung(t, l, "l")
	g.reload(t, endingText("4s", l, hung))
	due := g.end()
	for _, c := range clients {
		checkResponse(t, c, due)
	}
	<-g.done
}

// Requests on a listener that a reload removed are left unanswered when the gateway ends, before the listener has ended or after the time
// of a shutdown.
func TestShutdownAnswersRequestsOfRemovedListener(t *testing.T) {
	t.Parallel()
	for name, wait := range map[string]time.Duration{"at once": 0, "after the time of a shutdown": stopTime + lateResponseBound} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := listener("l", "127.0.0.1:0")
			g, hung, clients := startHung(t, l+listener("m", "127.0.0.1:0"), "m")
			g.reload(t, endingText("5s", l, hung))
			time.Sleep(wait)
			due := g.end(clients...)
			for _, c := range clients {
				checkResponse(t, c, due)
			}
			<-g.done
			if g.open > 0 {
				t.Errorf("the gateway ended before %d responses", g.open)
			}
		})
	}
}

// A request that another site has forwarded gets no response when the gateway that serves it ends, so that its own gateway never learns its
// outcome.
func TestShutdownAnswersRequestsOfOtherSites(t *testing.T) {
	t.Parallel()
	for _, class := range []string{"seat", "look", "note"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			s := newHungSites(t)
			var clients []*lbtest.Client
			for i := range 3 {
				clients = append(clients, s.send(class, fmt.Sprint("forwarded-", i)))
			}
			norte, sur := s.ending(1), s.ending(2)
			due := norte.end()
			sur.end()
			for _, c := range clients {
				checkResponse(t, c, due)
			}
			<-norte.done
			<-sur.done
			for _, site := range s.status(0, false) {
				if site.Unsettled > 0 {
					t.Errorf("%d requests without an outcome at %s", site.Unsettled, site.Name)
				}
			}
		})
	}
}

// A request whose key waits for the votes of a majority that is gone is left unanswered when the gateway ends.
func TestShutdownAnswersRequestsThatAwaitVotes(t *testing.T) {
	t.Parallel()
	p := newSiteFleetWith(t, "4s", fake.EndpointOptions{}, nil)
	g := p.ending(0)
	c := lbtest.Dial(t, p.addr(0))
	p.all[1].Close()
	p.all[2].Close()
	c.Send(requestOf("seat", "undecided"))
	lbtest.Until(t, "the request is in flight", func() bool { return g.state.Load().clusters["c"].InFlight() == 1 })
	checkResponse(t, c, g.end())
	<-g.done
}

// hungLedger is a ledger that waits for its disk longer than any request may.
const hungLedger = `patience = "30s"`

// A request whose attempt at an own endpoint waits to be recorded on a disk that hangs is left unanswered when the gateway ends.
func TestShutdownAnswersRequestsThatAwaitLedger(t *testing.T) {
	t.Parallel()
	endpoint, disk := lbtest.NewEndpoint(t, nil), fake.NewDisk(-1)
	file := parseAll(t, endingText("5s", listener("l", "127.0.0.1:0"), endpoint)+ledgerAt("none", hungLedger))
	file.Ledger.Disk = disk
	g := startEndingFile(t, file)
	c := lbtest.Dial(t, g.Addr("l").String())
	t.Cleanup(disk.Hang())
	c.Send(requestOf("write", "unrecorded"))
	lbtest.Until(t, "the request is in flight", func() bool { return g.state.Load().clusters["c"].InFlight() == 1 })
	checkResponse(t, c, g.end())
	<-g.done
	if n := len(endpoint.Arrivals); n > 0 {
		t.Errorf("%d attempts were sent that the ledger does not have", n)
	}
}

// A response that waits to be recorded on a disk that hangs is never given when the gateway ends.
func TestShutdownGivesResponseThatAwaitsLedger(t *testing.T) {
	t.Parallel()
	endpoint, disk := lbtest.NewEndpoint(t, nil), fake.NewDisk(-1)
	file := parseAll(t, endingText("5s", listener("l", "127.0.0.1:0"), endpoint)+ledgerAt("none", hungLedger+"\n mode = \"each\""))
	file.Ledger.Disk = disk
	g := startEndingFile(t, file)
	c := lbtest.Dial(t, g.Addr("l").String())
	c.Send(requestOf("write", "served"))
	arrival := <-endpoint.Arrivals
	t.Cleanup(disk.Hang())
	arrival.OK()
	lbtest.Until(t, "the endpoint has answered", func() bool { return g.state.Load().clusters["c"].InFlight() == 0 })
	c.SetReadDeadline(g.end())
	if status, body := c.Response(); status != 200 || body != "answer to served" {
		t.Errorf("status %d, body %q; want the endpoint's response", status, body)
	}
	<-g.done
}

// A request whose crossing waits to be recorded on a disk that hangs is left unanswered when the gateway ends.
func TestShutdownAnswersForwardedRequestsThatAwaitLedger(t *testing.T) {
	t.Parallel()
	p := newSiteFleetWith(t, "4s", fake.EndpointOptions{}, nil)
	p.all[0].Close()
	p.disk = fake.NewDisk(-1)
	p.setStatuses(0, "gone", "gone")
	g, _ := p.launch(p.configText(0)+ledgerAt("none", hungLedger), false)
	p.all[0] = g
	for from := range p.paths {
		p.paths[from][0].SetTarget(g.LinkAddr())
	}
	p.awaitLinks()
	lbtest.Until(t, "the site has no endpoints", func() bool { return g.Members()["c"] == 0 })
	lbtest.Until(t, "the voters are known", func() bool { return len(g.fleet.Members()) == 3 })
	ending := p.ending(0)
	c := lbtest.Dial(t, p.addr(0))
	t.Cleanup(p.disk.Hang())
	c.Send(requestOf("seat", "unrecorded"))
	lbtest.Until(t, "the request is recorded", func() bool { return g.ledger.Status().Requests > 0 })
	checkResponse(t, c, ending.end())
	<-ending.done
	if n := p.nodos[1][0].Requests() + p.nodos[1][1].Requests() + p.nodos[2][0].Requests() + p.nodos[2][1].Requests(); n > 0 {
		t.Errorf("%d attempts were sent that the ledger does not have", n)
	}
}

// A request that crossed on a link that a reload removed is left unanswered when the gateway ends.
func TestShutdownAnswersRequestsOfRemovedLink(t *testing.T) {
	t.Parallel()
	for _, class := range []string{"seat", "look", "note"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			s := newHungSites(t)
			c := s.send(class, "crossed")
			g := s.ending(0)
			text := s.configText(0)
			for _, peer := range []int{1, 2} { // other addresses
				text = strings.ReplaceAll(text, s.paths[0][peer].Addr, lbtest.ReserveAddress(t))
			}
			g.reload(t, text)
			checkResponse(t, c, g.end())
			<-g.done
		})
	}
}

// A shutdown that has to wait for a reload, whose new cluster has no list yet, answers later than its time.
func TestShutdownInterruptsReload(t *testing.T) {
	t.Parallel()
	g, hung, clients := startHung(t, listener("l", "127.0.0.1:0"), "l")
	silent := fmt.Sprintf("cluster \"silent\" {\n  registry {\n    address = %q\n  }\n}\n", lbtest.ReserveAddress(t))
	path := filepath.Join(t.TempDir(), "gateway.hcl")
	if err := os.WriteFile(path, []byte(endingText("5s", listener("l", "127.0.0.1:0"), hung)+silent), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, terminate := context.WithCancel(t.Context())
	reload := make(chan struct{})
	go func() {
		g.Run(ctx, path, reload)
		close(g.done)
	}()
	reload <- struct{}{}
	lbtest.Until(t, "the reload waits", func() bool { return !g.mu.TryLock() || unlock(&g.mu) })
	terminate()
	due := time.Now().Add(stopTime + lateResponseBound)
	for _, c := range clients {
		checkResponse(t, c, due)
	}
	<-g.done
}

// unlock unlocks a mutex and returns false.
func unlock(mu *sync.Mutex) bool {
	mu.Unlock()
	return false
}
