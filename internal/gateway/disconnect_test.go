package gateway

import (
	"net"
	"sync"
	"testing"
	"time"

	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

// Ways in which a caller leaves, with what stands unread before its end.
var waysToDisconnect = map[string]func(*lbtest.Client, *net.TCPConn){
	"closes":                  func(c *lbtest.Client, _ *net.TCPConn) { c.Close() },
	"closes behind a request": func(c *lbtest.Client, _ *net.TCPConn) { c.Send(pipelinedRequest); c.Close() },
	"resets":                  func(_ *lbtest.Client, tcp *net.TCPConn) { tcp.SetLinger(0); tcp.Close() },
	"resets behind a request": func(c *lbtest.Client, tcp *net.TCPConn) { c.Send(pipelinedRequest); tcp.SetLinger(0); tcp.Close() },
	"ends its side":           func(_ *lbtest.Client, tcp *net.TCPConn) { tcp.CloseWrite() },
	"ends it behind a request": func(c *lbtest.Client, tcp *net.TCPConn) {
		c.Send(pipelinedRequest)
		tcp.CloseWrite()
	},
}

const pipelinedRequest = "GET /look HTTP/1.1\r\nHost: behind\r\n\r\n"

// faultySites is a province whose nodos hold each request until it is let go, and then reset its connection.
type faultySites struct {
	*siteFleet
	mu      sync.Mutex
	gate    chan struct{}
	arrived chan int // salas
}

func newFaultySites(t *testing.T) *faultySites {
	t.Helper()
	p := &faultySites{gate: make(chan struct{}), arrived: make(chan int, 64)}
	p.siteFleet = newSiteFleetWith(t, "20s", fake.EndpointOptions{}, func(sala, _ int) fake.Fault {
		p.mu.Lock()
		gate := p.gate
		p.mu.Unlock()
		p.arrived <- sala
		<-gate
		return fake.ConnectionReset
	})
	t.Cleanup(func() { p.failAll() })
	return p
}

// failAll lets go what is held, and holds what comes from now on.
func (p *faultySites) failAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.gate)
	p.gate = make(chan struct{})
}

func (p *faultySites) requests(sala int) (n int64) {
	for _, nodo := range p.nodos[sala] {
		n += nodo.Requests()
	}
	return n
}

func (p *faultySites) inFlight() (n int) {
	for _, g := range p.all {
		n += g.state.Load().clusters["c"].InFlight()
	}
	return n
}

func (p *faultySites) awaitArrival(sala func(int) bool) {
	p.t.Helper()
	for {
		select {
		case s := <-p.arrived:
			if sala(s) {
				return
			}
		case <-time.After(lbtest.Wait):
			p.t.Fatal("nothing came")
		}
	}
}

// A request that another sala serves ends there with its caller: the attempt that is out is given up, and when it fails no
// other one follows, there or elsewhere.
func TestLeftDuringCrossing(t *testing.T) {
	t.Parallel()
	p := newFaultySites(t)
	p.setStatuses(0, "gone", "gone")
	lbtest.Until(t, "the sala has no nodos", func() bool { return p.all[0].Members()["c"] == 0 })
	for how, leave := range waysToDisconnect {
		before := p.requests(1) + p.requests(2)
		c := lbtest.Dial(t, p.addr(0))
		tcp := c.Conn.(*net.TCPConn)
		c.Send("GET /look HTTP/1.1\r\nHost: x\r\n\r\n")
		p.awaitArrival(func(sala int) bool { return sala != 0 })
		leave(c, tcp)
		lbtest.Until(t, how+": nothing is held in any sala", func() bool { return p.inFlight() == 0 && (*p.all[0].openListeners.Load())[0].Conns() == 0 })
		p.failAll()
		if n := p.requests(1) + p.requests(2) - before; n != 1 {
			t.Errorf("%s: %d attempts", how, n)
		}
	}
	p.awaitAgreement()
}

// A request whose caller has left is tried once at home, and goes neither to another nodo nor to another sala once it has
// failed there.
func TestLeftBeforeFurther(t *testing.T) {
	t.Parallel()
	p := newFaultySites(t)
	for how, leave := range waysToDisconnect {
		home, away := p.requests(0), p.requests(1)+p.requests(2)
		c := lbtest.Dial(t, p.addr(0))
		tcp := c.Conn.(*net.TCPConn)
		c.Send("GET /look HTTP/1.1\r\nHost: x\r\n\r\n")
		p.awaitArrival(func(sala int) bool { return sala == 0 })
		here, there := tcp.LocalAddr(), tcp.RemoteAddr()
		if !lbtest.IsEstablished(there, here) {
			t.Fatalf("%s: the connection does not stand at the gateway", how)
		}
		leave(c, tcp)
		lbtest.Until(t, how+": the end has come to the gateway", func() bool { return !lbtest.IsEstablished(there, here) })
		p.failAll()
		lbtest.Until(t, how+": nothing is held in any sala", func() bool { return p.inFlight() == 0 && (*p.all[0].openListeners.Load())[0].Conns() == 0 })
		if n, m := p.requests(0)-home, p.requests(1)+p.requests(2)-away; n != 1 || m != 0 {
			t.Errorf("%s: %d attempts at home, %d elsewhere", how, n, m)
		}
	}
}
