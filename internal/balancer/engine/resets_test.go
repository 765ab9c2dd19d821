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

// zoneServers is the state that the endpoints of a test share. Each endpoint belongs to one of two zones.
type zoneServers struct {
	mu         sync.Mutex
	executedIn []string // zones of the requests, in the order in which complete requests arrived
	resetCount int      // number of requests, the first to arrive, whose connections are reset
}

func (s *zoneServers) serve(zone string) func(*lbtest.Arrival) {
	return func(arrival *lbtest.Arrival) {
		s.mu.Lock()
		s.executedIn = append(s.executedIn, zone)
		reset := len(s.executedIn) <= s.resetCount
		s.mu.Unlock()
		if reset {
			arrival.Conn.(*net.TCPConn).SetLinger(0)
			arrival.Close()
			return
		}
		arrival.OK()
	}
}

// An attempt whose connection is reset after the request was sent may have run. An idempotent request is then retried anywhere, and a
// keyed one within its zone. A non-idempotent request is not retried: its call fails, without a promise that a retry is harmless. An
// attempt whose connection was refused has not run, and a request of any class is retried after it.
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
		refused int // number of endpoints that refuse connections, of three in each zone
		served  bool
		ran     int // number of executions: the exact one if resets < 9, else the largest
		oneZone bool
	}{
		{name: "safe", class: 0, resets: 1, served: true, ran: 2},
		{name: "safe, each time", class: 0, resets: 9, ran: 3},
		{name: "keyed", class: 1, resets: 1, served: true, ran: 2, oneZone: true},
		{name: "keyed, each time", class: 1, resets: 9, ran: 3, oneZone: true},
		{name: "unsafe", class: 2, resets: 1, ran: 1},
		{name: "unsafe, connection refused at first", class: 2, refused: 1, served: true, ran: 1},
		{name: "unsafe, connection refused at first and then reset", class: 2, refused: 1, resets: 1, ran: 1},
	} {
		for _, mayHedge := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, hedging %v", c.name, mayHedge), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(8) { // the seed determines the endpoint of the first attempt
					servers := &zoneServers{resetCount: c.resets}
					conf, err := config.Load(lbtest.WriteConfig(t, "", "127.0.0.1:1", "127.0.0.1:1"))
					if err != nil {
						t.Fatal(err)
					}
					conf.Policy.Classes, conf.Policy.MayHedge = classes, mayHedge
					engine, err := New(Options{Policy: conf.Policy, Seed: seed, Zones: conf.Zones, PollDiscovery: func() {}, Log: slog.New(slog.DiscardHandler),
						Client: upstream.NewClient(upstream.Options{DialTimeout: lbtest.Wait, IdleTimeout: time.Second, MaxConns: 64, HedgeDials: true})})
					if err != nil {
						t.Fatal(err)
					}
					var list []endpointlist.Endpoint
					for i := range 6 {
						zone := []string{"a", "b"}[i%2]
						address := "127.0.0.1:1" // refuses connections
						if i/2 >= c.refused {
							address = lbtest.NewEndpoint(t, servers.serve(zone)).Addr
						}
						list = append(list, endpointlist.Endpoint{Name: fmt.Sprint("s", i), Address: address, Zone: zone, Status: "ready"})
					}
					engine.UpdateEndpoints(lbpolicy.Full, list)
					var key *Key
					if c.class == 1 {
						keyRequest, err := idempotency.New(8).Begin(time.Now(), idempotency.KeyIDOf("acme", "k"), idempotency.Fingerprint{})
						if err != nil {
							t.Fatal(err)
						}
						defer keyRequest.End()
						key = &Key{Request: keyRequest, Terms: idempotency.Terms{Scope: lbpolicy.ScopeZone, Window: time.Minute, Retention: time.Minute}}
					}
					result := awaitResult(t, engine.Begin(upstream.Request{Method: "POST", Target: "/x", Host: "x", Header: map[string][]string{"X-Request-Id": {"one"}}},
						lbpolicy.Request{Class: c.class, TimeLeft: lbtest.Wait}, key))
					lbtest.Until(t, "no call is in flight", func() bool { return engine.InFlight() == 0 })
					servers.mu.Lock()
					switch {
					case c.served != (result.Response != nil), !c.served && c.class > 0 && result.Rejected:
						t.Errorf("seed %d: unexpected result %+v", seed, result)
					case len(servers.executedIn) > c.ran || c.resets < 9 && len(servers.executedIn) != c.ran:
						t.Errorf("seed %d: executed in zones %q, want %d executions", seed, servers.executedIn, c.ran)
					}
					for _, zone := range servers.executedIn {
						if c.oneZone && zone != servers.executedIn[0] {
							t.Errorf("seed %d: executed in zones %q, want a single zone", seed, servers.executedIn)
						}
					}
					servers.mu.Unlock()
				}
			})
		}
	}
}
