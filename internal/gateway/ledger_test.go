package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/ledger"
	"silvertrail/internal/ledger/requesthistory"
	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

func ledgerAt(dir, more string) string {
	return fmt.Sprintf("ledger {\n path = %q\n segment = \"64KiB\"\n %s\n}\n", dir, more)
}

const seatRoute = "route \"r\" {\n class = \"seat\"\n cluster = \"c\"\n}\n"

// account reads a ledger by its requests' keys, of which each has one request.
func accounts(t *testing.T, dir string) map[string]*requesthistory.Request {
	t.Helper()
	out := map[string]*requesthistory.Request{}
	if _, _, err := ledger.ReadDir(dir, func(q *requesthistory.Request) { out[q.Key] = q }); err != nil {
		t.Fatal(err)
	}
	return out
}

// A process is gone while nothing tells what became of a key: the next one sends its repeat to the key's group alone and
// only in its window, fails it afterwards or where the group has no endpoint left, and turns another request with the key
// away. Where records are lost, keys of which nothing is known fail until all that is lost would be forgotten.
func TestKeysOverRestart(t *testing.T) {
	t.Parallel()
	s, hold := newSilentZones(t, time.Minute)
	dir := filepath.Join(t.TempDir(), "ledger")
	text := func(window, keep, zone, more string) string {
		out := keyedClass("1s", window, fmt.Sprintf("keep = %q", keep), "check_repeats = true") + twoZonesProcess + listener("l", "127.0.0.1:0") + ledgerAt(dir, more)
		if zone == "" {
			return out + s.cluster("c", "") + seatRoute
		}
		out += "cluster \"c\" {\n"
		for i, n := range s.nodos {
			if s.groups[i/2].Name == zone {
				out += fmt.Sprintf("endpoint \"n%d\" {\n address = %q\n zone = %q\n}\n", i, n.Addr, zone)
			}
		}
		return out + "}\n" + seatRoute
	}
	during := func(text string, f func(g *Gateway, addr string)) {
		t.Helper()
		g, err := Start(parse(t, text), slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		defer g.Close()
		f(g, g.Addr("l").String())
	}
	held := ""
	hold.Store(true)
	during(text("60s", "60s", "", ""), func(g *Gateway, addr string) {
		if status := post(addr, "k", lbtest.Wait); status == 200 || status == 503 {
			t.Errorf("held: %d", status)
		}
		for _, group := range s.groups {
			if group.Effects()["k"] > 0 {
				held = group.Name
			}
		}
	})
	hold.Store(false)
	other := map[string]string{"north": "south", "south": "north"}[held]
	during(text("60s", "60s", other, ""), func(g *Gateway, addr string) {
		if status := post(addr, "k", lbtest.Wait); status != 502 {
			t.Errorf("its group is gone: %d", status)
		}
		if status := post(addr, "other", lbtest.Wait); status != 200 {
			t.Errorf("another key: %d", status)
		}
	})
	during(text("60s", "60s", "", ""), func(g *Gateway, addr string) {
		if status, _, _ := ask(t, g, "POST", "/elsewhere", "Idempotency-Key: k"); status != 422 {
			t.Errorf("another request with the key: %d", status)
		}
		for range 4 {
			if status := post(addr, "k", lbtest.Wait); status != 200 {
				t.Errorf("its repeat: %d", status)
			}
		}
	})
	// A window that ends while no process runs.
	hold.Store(true)
	during(text("400ms", "60s", "", ""), func(g *Gateway, addr string) { post(addr, "short", lbtest.Wait) })
	hold.Store(false)
	time.Sleep(450 * time.Millisecond) // more does no harm
	during(text("400ms", "60s", "", ""), func(g *Gateway, addr string) {
		if status := post(addr, "short", lbtest.Wait); status != 502 {
			t.Errorf("past its window: %d", status)
		}
	})
	if keys := s.duplicates(); len(keys) > 0 {
		t.Errorf("twice: %v", keys)
	}
	if is := accounts(t, dir); is["other"].Verdict() != requesthistory.Served {
		t.Errorf("%v", is["other"].Text())
	}
	// A page is spoilt.
	files, _ := filepath.Glob(filepath.Join(dir, "*.seg"))
	b, err := os.ReadFile(files[2])
	if err != nil {
		t.Fatal(err)
	}
	copy(b[len(b)/2:], "nonsense")
	for i := 600; i < 680; i++ {
		b[i] ^= 0x55
	}
	if err := os.WriteFile(files[2], b, 0o600); err != nil {
		t.Fatal(err)
	}
	during(text("60s", "60s", "", ""), func(g *Gateway, addr string) {
		if status := post(addr, "never seen", lbtest.Wait); status != 502 {
			t.Errorf("a key that may stand in what is lost: %d", status)
		}
		if status := post(addr, "k", lbtest.Wait); status != 200 {
			t.Errorf("a key that is known: %d", status)
		}
		if v, _ := g.LedgerStatus(); v.UncertainUntil.Before(time.Now()) || v.Losses == 0 {
			t.Errorf("%+v", v)
		}
	})
	during(text("60s", "60s", "", "lost = \"serve\""), func(g *Gateway, addr string) {
		if status := post(addr, "never seen", lbtest.Wait); status != 200 {
			t.Errorf("served all the same: %d", status)
		}
	})
}

// The disk fills up in mid-burst, and is free again: meanwhile a keyed class is refused at once with a time to come back and
// nothing of it is sent, one that may go unrecorded is served, others never wait; then service returns by itself. No key of
// the burst takes effect that the ledger does not tell of.
func TestDiskFullInABurst(t *testing.T) {
	t.Parallel()
	s := newTwoZones(t, time.Minute, nil)
	d := fake.NewDisk(-1)
	file := parse(t, keyedClass("2s", "60s")+"class \"loose\" {\n aim = \"2s\"\n deadline = \"2s\"\n effect = \"keyed\"\n window = \"60s\"\n unrecorded = \"serve\"\n}\n"+
		twoZonesProcess+listener("l", "127.0.0.1:0")+ledgerAt("none", "patience = \"50ms\"")+s.cluster("c", "")+seatRoute+
		"route \"loose\" {\n match {\n prefix = \"/loose\"\n }\n class = \"loose\"\n cluster = \"c\"\n}\n"+
		"route \"safe\" {\n match {\n prefix = \"/safe\"\n }\n class = \"read\"\n cluster = \"c\"\n}\n")
	file.Ledger.Disk = d
	g, err := Start(file, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	addr := g.Addr("l").String()
	var served, refused, odd atomic.Int64
	var servedKeys sync.Map
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	for caller := range 16 {
		crowd.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				key := fmt.Sprintf("k-%d-%d", caller, i)
				switch status := post(addr, key, lbtest.Wait); status {
				case 200:
					served.Add(1)
					servedKeys.Store(key, true)
				case 503:
					refused.Add(1)
				default:
					odd.Add(1)
				}
			}
		})
	}
	lbtest.Until(t, "a burst", func() bool { return served.Load() > 100 })
	full := errors.New("no space left on device")
	d.Fail(full, nil, full)
	lbtest.Until(t, "refusals", func() bool { return refused.Load() > 100 })
	status, _, h := ask(t, g, "POST", "/seat", "Idempotency-Key: refused")
	if status != 503 || h.Get("Retry-After") == "" {
		t.Errorf("full: %d %v", status, h)
	}
	if status, _, _ := ask(t, g, "GET", "/safe"); status != 200 {
		t.Errorf("a safe class: %d", status)
	}
	if status, _, _ := ask(t, g, "POST", "/loose", "Idempotency-Key: loose"); status != 200 {
		t.Errorf("a class that may go unrecorded: %d", status)
	}
	d.Fail(nil, nil, nil)
	before := served.Load()
	lbtest.Until(t, "service again", func() bool { return served.Load() > before+100 })
	close(stop)
	crowd.Wait()
	if odd.Load() > 0 {
		t.Errorf("%d other answers", odd.Load())
	}
	g.Close()
	is := map[string]*requesthistory.Request{}
	if _, err := ledger.Read(d, false, func(q *requesthistory.Request) { is[q.Key] = q }); err != nil {
		t.Fatal(err)
	}
	effects := s.groups[0].Effects()
	for key, n := range s.groups[1].Effects() {
		effects[key] += n
	}
	for key := range effects {
		if q := is[key]; key != "loose" && (q == nil || len(q.PossiblyExecuted()) == 0) {
			t.Errorf("%s took effect, and the ledger does not tell", key)
		}
	}
	servedKeys.Range(func(key, _ any) bool {
		if q := is[key.(string)]; q == nil || q.Verdict() != requesthistory.Served {
			t.Errorf("%v was served: %+v", key, q)
		}
		return true
	})
	if effects["refused"] > 0 {
		t.Error("what was refused took effect")
	}
}

// What crosses to another sala is told by both ledgers: by the sender as an attempt at that sala, by the other as a request
// from it.
func TestLedgerOverSalas(t *testing.T) {
	t.Parallel()
	p := newSiteFleet(t, fake.EndpointOptions{Work: time.Millisecond}, nil)
	dirs := [3]string{}
	for i := range 3 {
		dirs[i] = filepath.Join(p.folder, "ledger-"+siteNames[i])
		p.all[i].Close()
	}
	p.seeds = nil
	for i := range 3 {
		g, addr := p.launch(p.configText(i)+ledgerAt(dirs[i], ""), true)
		p.seeds = append(p.seeds, addr)
		p.all[i] = g
		for j := range 3 {
			p.paths[j][i].SetTarget(g.transport.Load().Addr())
		}
	}
	p.awaitLinks()
	for _, g := range p.all {
		lbtest.Until(t, "all voters are members", func() bool { return len(g.fleet.Members()) == 3 })
	}
	p.setStatuses(0, "draining", "draining")
	tries := 0
	lbtest.Until(t, "no nodo is left", func() bool {
		tries++
		key := fmt.Sprint("try ", tries)
		return post(p.addr(0), key, lbtest.Wait) == 200 && p.groups[0].Effects()[key] == 0
	})
	for i := range 20 {
		if status := post(p.addr(0), fmt.Sprint("k", i), lbtest.Wait); status != 200 {
			t.Errorf("%d: %d", i, status)
		}
	}
	for i := range 3 {
		p.all[i].Close()
	}
	sent, got := accounts(t, dirs[0]), accounts(t, dirs[1])
	for key, q := range accounts(t, dirs[2]) {
		got[key] = q
	}
	for i := range 20 {
		key := fmt.Sprint("k", i)
		s, r := sent[key], got[key]
		if s == nil || r == nil || s.Verdict() != requesthistory.Served || r.Verdict() != requesthistory.Served || r.FromSite != "centro" || r.ID != s.ID ||
			len(s.PossiblyExecuted()) != 1 || s.PossiblyExecuted()[0].Endpoint != siteEndpointName(s.PossiblyExecuted()[0].Zone) {
			t.Errorf("%s: %+v\n%+v", key, s, r)
		}
	}
	if keys := p.duplicates(); len(keys) > 0 {
		t.Errorf("twice: %v", keys)
	}
}
