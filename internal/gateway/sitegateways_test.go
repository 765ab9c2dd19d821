package gateway

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

// startSecond starts another gateway of a sala under the sala's own name, a member of the fleet that is no voter, and returns it
// with the path on which the first sala reaches it.
func (p *siteFleet) startSecond(i int) (*Gateway, *fake.Path) {
	p.t.Helper()
	text := strings.Replace(p.configText(i), fmt.Sprintf("fleet \"f\" {\n name = %q", siteNames[i]), fmt.Sprintf("fleet \"f\" {\n name = %q", siteNames[i]+"-2"), 1)
	g, _ := p.launch(text, true)
	path, err := fake.NewPath(g.LinkAddr())
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(path.Close)
	return g, path
}

// A sala with two gateways: what crosses to it goes on while one of them drains, is cut off, or is killed and comes back; no
// key takes effect twice, whichever of the two its repeats come through, and both ends count the same.
func TestTwoGatewaysOfASala(t *testing.T) {
	t.Parallel()
	var n atomic.Int64
	p := newSiteFleet(t, fake.EndpointOptions{Work: time.Millisecond}, func(int, int) fake.Fault {
		if n.Add(1)%50 == 0 {
			return fake.NoResponse
		}
		return fake.NoFault
	})
	other, path := p.startSecond(1)
	text := strings.Replace(p.configText(0), fmt.Sprintf("address = %q\n }", p.paths[0][1].Addr), fmt.Sprintf("addresses = [%q, %q]\n }", p.paths[0][1].Addr, path.Addr), 1)
	text = strings.ReplaceAll(text, `cross = ["norte", "sur"]`, `cross = ["norte"]`)
	file, err := conf.Parse([]byte(text), "test.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if err := p.all[0].Reload(file); err != nil {
		t.Fatal(err)
	}
	p.setStatuses(0, "gone", "gone")
	states := func() (first, second string) {
		for _, s := range p.status(0, false) {
			if s.Name == "norte" && len(s.Gateways) == 2 {
				return s.Gateways[0].State, s.Gateways[1].State
			}
		}
		return "", ""
	}
	both := func() {
		t.Helper()
		lbtest.Until(t, "both gateways are up", func() bool { a, b := states(); return a == "open" && b == "open" })
	}
	both()
	lbtest.Until(t, "the sala has lost its nodos", func() bool { return p.all[0].Members()["c"] == 0 })

	crowd := &retryingClients{callers: 16, keys: 40, deadline: 800 * time.Millisecond, patient: true}
	done := make(chan struct{})
	go func() {
		defer close(done)
		crowd.run(func() string { return p.addr(0) })
	}()
	served := func(what string) { // goes on
		t.Helper()
		from := crowd.answers[200].Load()
		lbtest.Until(t, "requests are served while "+what, func() bool {
			select {
			case <-done:
				t.Error("over before " + what)
				return true
			default:
				return crowd.answers[200].Load() >= from+20
			}
		})
	}
	served("both stand")
	drain(t, p.all[1], "in")
	lbtest.Until(t, "the drain is known", func() bool { a, _ := states(); return a == "draining" })
	served("the first drains")
	drain(t, p.all[1], "off")
	both()
	path.Block(fake.ToServer, true)
	path.Block(fake.ToClient, true)
	served("the second is cut off silently")
	path.Block(fake.ToServer, false)
	path.Block(fake.ToClient, false)
	both()
	p.all[1].Close()
	served("the first is killed")
	p.start(1, false)
	both()
	served("it is back")
	path.Reset()
	<-done

	if keys := p.duplicates(); len(keys) > 0 {
		t.Errorf("%d keys took effect twice: %v", len(keys), keys[:min(len(keys), 5)])
	}
	if n := len(p.groups[0].Effects()); n > 0 { // norte may pass on to sur what it refuses
		t.Errorf("%d keys took effect in a sala that has no nodos", n)
	}
	both()
	lbtest.Until(t, "both ends count the same", func() bool {
		for _, s := range p.status(0, true) {
			if s.Name == "norte" && (s.Unsettled > 0 || len(s.Differences) > 0 || s.LastError != "" || s.SessionsCompared == 0) {
				return false
			}
		}
		return true
	})
	if other.transport.Load() == nil {
		t.Error("the second has no link")
	}
	total := int64(crowd.callers * crowd.keys)
	t.Logf("%s; %d keys took effect", crowd.summary(), len(p.groups[1].Effects()))
	keys := int64(0)
	crowd.served.Range(func(any, any) bool { keys++; return true })
	if keys < total*9/10 {
		t.Errorf("%d of %d keys served", keys, total)
	}
}
