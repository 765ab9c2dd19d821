package gateway

import (
	"bytes"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/fleet"
	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

// gateways runs n instances of one fleet before two salas, all of them voters, with links between them that can be cut.
func gateways(t *testing.T, n int, s *twoZones) (all []*Gateway, links *lbtest.Links) {
	t.Helper()
	links = lbtest.NewLinks()
	t.Cleanup(links.Close)
	var voters, seeds []string
	for i := range n {
		voters = append(voters, fmt.Sprint("i", i))
	}
	for i := range n {
		file := parse(t, keyedClass("500ms", "60s")+twoZonesProcess+listener("l", "127.0.0.1:0")+s.cluster("c", "")+
			"route \"r\" {\n class = \"seat\"\n cluster = \"c\"\n}\nroute \"read\" {\n match {\n methods = [\"GET\"]\n }\n class = \"read\"\n cluster = \"c\"\n}\n")
		sockets, err := fleet.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := sockets.Addr()
		file.Fleet = &fleet.Options{FleetName: "test", Name: voters[i], Listen: addr, Seeds: seeds, Keyring: [][]byte{bytes.Repeat([]byte{1}, 32)},
			Voters: voters, MaxMembers: 16, MaxKeys: 1 << 14, NewFleet: true, MaxDeadline: 500 * time.Millisecond, KeyRetention: 10 * time.Second,
			ProbeInterval: 100 * time.Millisecond, Transport: links.Wrap(i, sockets, addr)}
		seeds = append(seeds, addr)
		g, err := Start(file, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(g.Close)
		all = append(all, g)
	}
	for _, g := range all {
		lbtest.Until(t, "all see all", func() bool { return g.fleet.Quota().Instances == n })
	}
	return all, links
}

// Five instances, the fleet cut in halves, in 4 + 1 and one way, packets doubled, late and out of order; callers repeat
// through another instance each time. No key takes effect twice. Told is what share of the keys was served.
func TestFleetCut(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string][2][]int{
		"in 2 + 3": {{0, 1}, {2, 3, 4}}, "in 4 + 1": {{4}, {0, 1, 2, 3}}, "one way": {{0, 1}, {2, 3, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var n atomic.Int64
			s := newTwoZones(t, time.Minute, func(nodo int) fake.Fault {
				switch n.Add(1) % int64(8+4*nodo) {
				case 0:
					return fake.NoResponse
				case 4:
					return fake.ConnectionReset
				}
				return fake.NoFault
			})
			all, links := gateways(t, 5, s)
			links.Distort()
			links.Sever(cut[0], cut[1])
			if name != "one way" {
				links.Sever(cut[1], cut[0])
			}
			var mu sync.Mutex
			d := rand.New(rand.NewPCG(1, 1))
			crowd := &retryingClients{callers: 24, keys: 12, deadline: 500 * time.Millisecond}
			if *long {
				crowd.keys = 200
			}
			enough := func() bool {
				return crowd.answers[200].Load() >= int64(crowd.callers*crowd.keys/3) && crowd.repeats.Load() >= 10
			}
			for crowd.runs < 10 && !enough() { // a busy machine binds less in time
				crowd.run(func() string {
					mu.Lock()
					defer mu.Unlock()
					return all[d.IntN(5)].Addr("l").String()
				})
			}
			if status, _, _ := askAt(t, all[4].Addr("l").String(), "GET", "/read"); status != 200 {
				t.Errorf("a class that needs no history: %d", status)
			}
			if keys := s.duplicates(); len(keys) > 0 {
				t.Errorf("%d keys took effect twice: %v", len(keys), keys[:min(len(keys), 5)])
			}
			t.Logf("%s; %d keys took effect of %d", crowd.summary(), s.effects(), crowd.runs*crowd.callers*crowd.keys)
			if !enough() {
				t.Errorf("tests little: %s", crowd.summary())
			}
		})
	}
}
