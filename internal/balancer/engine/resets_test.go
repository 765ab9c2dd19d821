package engine

import (
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/platform/config"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

// zoneServers are endpoints of two zones that count what runs on them.
type zoneServers struct {
	mu    sync.Mutex
	executedIn   []string // zones, in the order in which requests came whole
	resets int      // so many reset their connection, the first ones
}

func (n *zoneServers) serve(zone string) func(*lbtest.Arrival) {
	return func(a *lbtest.Arrival) {
		n.mu.Lock()
		n.executedIn = append(n.executedIn, zone)
		reset := len(n.executedIn) <= n.resets
		n.mu.Unlock()
		if reset {
			a.Conn.(*net.TCPConn).SetLinger(0)
			a.Close()
			return
		}
		a.OK()
	}
}

// What resets under a request that has begun may have run. A safe request goes again anywhere, a keyed one within its group,
// an unsafe one never, and gets a failure, which promises nothing; what no endpoint took goes again, whatever its class.
func TestRetryAfterResetFollowsEffectOfClass(t *testing.T) {
	t.Parallel()
	safe := lbpolicy.Class{Name: "safe", LatencyObjective: 5 * time.Second, Deadline: 10 * time.Second, PriorityWeight: 1}
	keyedZone, unsafe := safe, safe
	keyedZone.Name, keyedZone.Effect, keyedZone.Scope, keyedZone.Window = "keyed", lbpolicy.KeyedIdempotent, lbpolicy.ScopeZone, time.Minute
	unsafe.Name, unsafe.Effect = "unsafe", lbpolicy.NonIdempotent
	classes := []lbpolicy.Class{safe, keyedZone, unsafe}
	for _, c := range []struct {
		name    string
		class   int
		resets  int
		refused int // endpoints that take no connection, of each zone's three
		served  bool
		ran     int
		oneZone bool
	}{
		{name: "safe", class: 0, resets: 1, served: true, ran: 2},
		{name: "safe, each time", class: 0, resets: 9, ran: 3},
		{name: "keyed", class: 1, resets: 1, served: true, ran: 2, oneZone: true},
		{name: "keyed, each time", class: 1, resets: 9, ran: 3, oneZone: true},
		{name: "unsafe", class: 2, resets: 1, ran: 1},
		{name: "unsafe, not taken at first", class: 2, refused: 1, served: true, ran: 1},
		{name: "unsafe, not taken at first and then reset", class: 2, refused: 1, resets: 1, ran: 1},
	} {
		for _, copies := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, copies %v", c.name, copies), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(8) { // which endpoint is first is drawn
					n := &zoneServers{resets: c.resets}
					conf, err := config.Load(lbtest.WriteConfig(t, "", "127.0.0.1:1", "127.0.0.1:1"))
					if err != nil {
						t.Fatal(err)
					}
					conf.Policy.Classes, conf.Policy.MayHedge = classes, copies
					h, err := New(Options{Policy: conf.Policy, Seed: seed, Zones: conf.Zones, Watch: func() {}, Log: slog.New(slog.DiscardHandler),
						Client: upstream.NewClient(upstream.Options{DialTimeout: lbtest.Wait, IdleTimeout: time.Second, MaxConns: 64, HedgeDials: true})})
					if err != nil {
						t.Fatal(err)
					}
					var list []endpointlist.Endpoint
					for i := range 6 {
						zone := []string{"a", "b"}[i%2]
						address := "127.0.0.1:1" // takes none
						if i/2 >= c.refused {
							address = lbtest.NewEndpoint(t, n.serve(zone)).Addr
						}
						list = append(list, endpointlist.Endpoint{Name: fmt.Sprint("s", i), Address: address, Zone: zone, Status: "ready"})
					}
					h.UpdateEndpoints(lbpolicy.Full, list)
					var key *Key
					if c.class == 1 {
						hold, err := idempotency.New(8).Begin(time.Now(), idempotency.KeyIDOf("acme", "k"), idempotency.Fingerprint{})
						if err != nil {
							t.Fatal(err)
						}
						defer hold.End()
						key = &Key{History: hold, Terms: idempotency.Terms{Scope: lbpolicy.ScopeZone, Window: time.Minute, Retention: time.Minute}}
					}
					a := awaitResult(t, h.Begin(upstream.Request{Method: "POST", Target: "/x", Host: "x", Header: map[string][]string{"X-Request-Id": {"one"}}},
						lbpolicy.Request{Class: c.class, TimeLeft: lbtest.Wait}, key))
					lbtest.Until(t, "nothing is held", func() bool { return h.InFlight() == 0 })
					n.mu.Lock()
					switch {
					case c.served != (a.Response != nil), !c.served && c.class > 0 && a.Rejected:
						t.Errorf("seed %d: answered %+v", seed, a)
					case len(n.executedIn) > c.ran || c.resets < 9 && len(n.executedIn) != c.ran:
						t.Errorf("seed %d: ran %q, want %d", seed, n.executedIn, c.ran)
					}
					for _, zone := range n.executedIn {
						if c.oneZone && zone != n.executedIn[0] {
							t.Errorf("seed %d: ran in %q, out of its group", seed, n.executedIn)
						}
					}
					n.mu.Unlock()
				}
			})
		}
	}
}
