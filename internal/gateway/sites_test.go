package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/fleet"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/peering"
	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

var siteNames = []string{"centro", "norte", "sur"}

// siteFleet is three salas with a gateway, two nodos and a group each, linked by paths that can be troubled.
type siteFleet struct {
	t        *testing.T
	deadline string // of all classes
	folder   string
	groups   [3]*fake.Group
	nodos    [3][2]*fake.Endpoint
	paths    [3][3]*fake.Path // from, to
	all      [3]*Gateway
	seeds    []string
	disk     *fake.Disk // of a gateway with a ledger
	mu       sync.Mutex // of all
}

// forwardClasses are one keyed, one safe and one unsafe class with a deadline.
func forwardClasses(deadline string) string {
	return strings.ReplaceAll(forwardClassesText, "DEADLINE", deadline)
}

const forwardClassesText = `
class "seat" {
  aim = "800ms"
  deadline = "DEADLINE"
  effect = "keyed"
  scope = "zone"
  window = "60s"
  worth = 10
}
class "look" {
  aim = "800ms"
  deadline = "DEADLINE"
  effect = "safe"
}
class "note" {
  aim = "800ms"
  deadline = "DEADLINE"
  effect = "unsafe"
}
`

// newSiteFleet starts it. Trouble is asked for each request that a nodo has worked through.
func newSiteFleet(t *testing.T, o fake.EndpointOptions, trouble func(sala, nodo int) fake.Fault) *siteFleet {
	t.Helper()
	return newSiteFleetWith(t, "800ms", o, trouble)
}

func newSiteFleetWith(t *testing.T, deadline string, o fake.EndpointOptions, trouble func(sala, nodo int) fake.Fault) *siteFleet {
	t.Helper()
	p := &siteFleet{t: t, deadline: deadline, folder: t.TempDir()}
	authority, err := fake.NewAuthority(p.folder, "salas")
	if err != nil {
		t.Fatal(err)
	}
	key, err := conf.NewKey()
	if err != nil {
		t.Fatal(err)
	}
	p.write("fleet.keys", key+"\n")
	for i, sala := range siteNames {
		p.groups[i] = fake.NewGroup(sala, time.Minute)
		if err := authority.Issue(filepath.Join(p.folder, sala+".pem"), filepath.Join(p.folder, sala+".key"), sala, time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		for j := range p.nodos[i] {
			o := o
			o.Name, o.Site, o.Group = fmt.Sprintf("%s-%d", sala, j), sala, p.groups[i]
			if trouble != nil {
				o.Fault = func(*http.Request) fake.Fault { return trouble(i, j) }
			}
			n, err := fake.NewEndpoint(o)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(n.Close)
			p.nodos[i][j] = n
		}
		p.setStatuses(i, "ready", "ready")
	}
	for i := range 3 {
		for j := range 3 {
			path, err := fake.NewPath("127.0.0.1:1")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(path.Close)
			p.paths[i][j] = path
		}
	}
	for i := range 3 {
		p.start(i, true)
	}
	p.awaitLinks()
	for _, g := range p.all {
		lbtest.Until(t, "all voters are members", func() bool { return len(g.fleet.Members()) == 3 })
	}
	return p
}

func (p *siteFleet) write(name, text string) {
	path := filepath.Join(p.folder, name)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		p.t.Error(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		p.t.Error(err)
	}
}

// setStatuses writes a sala's list of nodos.
func (p *siteFleet) setStatuses(i int, status ...string) {
	text := ""
	for j, n := range p.nodos[i] {
		if j > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"name": "%s-%d", "address": %q, "zone": %q, "status": %q}`, siteNames[i], j, n.Addr, siteNames[i], status[j])
	}
	p.write(siteNames[i]+".json", `{"endpoints": [`+text+`]}`)
}

func (p *siteFleet) configText(i int) string {
	me := siteNames[i]
	text := forwardClasses(p.deadline) + fmt.Sprintf("process {\n zones = [%q]\n zone = %q\n sockets = 2048\n stop = \"1s\"\n}\n", me, me) + listener("l", "127.0.0.1:0") +
		fmt.Sprintf("fleet \"f\" {\n name = %q\n listen = \"127.0.0.1:0\"\n keyring = %q\n voters = [\"centro\", \"norte\", \"sur\"]\n}\n", me, filepath.Join(p.folder, "fleet.keys")) +
		fmt.Sprintf("cluster \"c\" {\n empty_hold = \"0s\"\n file {\n path = %q\n poll = \"10ms\"\n }\n}\n", filepath.Join(p.folder, me+".json")) +
		fmt.Sprintf("link %q {\n listen = \"127.0.0.1:0\"\n certificate = %q\n key = %q\n authority = %q\n", me, filepath.Join(p.folder, me+".pem"),
			filepath.Join(p.folder, me+".key"), filepath.Join(p.folder, "salas.pem"))
	var others []string
	for j, other := range siteNames {
		if j != i {
			text += fmt.Sprintf(" peer %q {\n address = %q\n }\n", other, p.paths[i][j].Addr)
			others = append(others, other)
		}
	}
	text += "}\n"
	for _, class := range []string{"seat", "look", "note"} {
		text += fmt.Sprintf("route %q {\n match {\n prefix = \"/%s\"\n }\n class = %q\n cluster = \"c\"\n cross = [%q, %q]\n}\n", class, class, class, others[0], others[1])
	}
	return text
}

// launch starts a gateway, and returns it with its address in the fleet.
func (p *siteFleet) launch(text string, fresh bool) (*Gateway, string) {
	p.t.Helper()
	file, err := conf.Parse([]byte(text), "test.hcl")
	if err != nil {
		p.t.Fatal(err)
	}
	if p.disk != nil {
		file.Ledger.Disk = p.disk
	}
	sockets, err := fleet.Listen("127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	o := file.Fleet
	o.Transport, o.Seeds, o.MaxMembers, o.NewFleet, o.ProbeInterval = sockets, p.seeds, 16, fresh, 100*time.Millisecond
	g, err := Start(file, slog.New(slog.DiscardHandler))
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(g.Close)
	return g, sockets.Addr()
}

// start starts a sala's gateway, the first time or again.
func (p *siteFleet) start(i int, fresh bool) {
	p.t.Helper()
	g, addr := p.launch(p.configText(i), fresh)
	p.seeds = append(p.seeds, addr)
	p.mu.Lock()
	p.all[i] = g
	p.mu.Unlock()
	for j := range 3 {
		p.paths[j][i].SetTarget(g.transport.Load().Addr())
	}
}

func (p *siteFleet) status(i int, reconcile bool) []peering.SiteStatus {
	ctx, cancel := context.WithTimeout(context.Background(), lbtest.Wait)
	defer cancel()
	return p.all[i].transport.Load().Status(ctx, reconcile)
}

// awaitLinks waits until every gateway has all others.
func (p *siteFleet) awaitLinks() {
	p.t.Helper()
	lbtest.Until(p.t, "all salas are linked", func() bool {
		for i := range 3 {
			for _, s := range p.status(i, false) {
				if s.State == "closed" {
					return false
				}
			}
		}
		return true
	})
}

func (p *siteFleet) addr(i int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.all[i].Addr("l").String()
}

// duplicates returns the keys that took effect more than once, in one sala or in several.
func (p *siteFleet) duplicates() (keys []string) {
	sum := map[string]int{}
	for _, g := range p.groups {
		for key, n := range g.Effects() {
			sum[key] += n
		}
	}
	for key, n := range sum {
		if n > 1 {
			keys = append(keys, fmt.Sprint(key, ": ", n))
		}
	}
	return keys
}

// awaitAgreement waits until all crossings are settled and both ends of every link count the same.
func (p *siteFleet) awaitAgreement() {
	p.t.Helper()
	var last []peering.SiteStatus
	lbtest.Until(p.t, "both ends of all links count the same", func() bool {
		for i := range 3 {
			last = p.status(i, true)
			for _, s := range last {
				if s.Unsettled > 0 || len(s.Differences) > 0 || s.LastError != "" || s.SessionsCompared == 0 {
					return false
				}
			}
		}
		return true
	})
}

// sentOutcomes counts a gateway's crossings by outcome.
func (p *siteFleet) sentOutcomes(i int) (out map[accounting.Outcome]uint64) {
	out = map[accounting.Outcome]uint64{}
	for _, s := range p.status(i, false) {
		for _, c := range s.Sent {
			out[c.Outcome] += c.Count
		}
	}
	return out
}

// callsWith returns a request of one of the classes. A safe one has no key: it may be sent again anywhere, and a header of that
// name would be the endpoint's affair alone.
func callsWith(target, key string) (method, there, line string) {
	if target == "/look" {
		return "GET", target, "X-Other: x"
	}
	return "POST", target, "Idempotency-Key: " + key
}

// A sala loses all its nodos: what it can't serve is served by the others, each crossing counted alike at both ends; when
// they are back it serves its own again. The sender counts as served what the other sala has served: its own caller
// may have had no answer in time.
func TestSalaLost(t *testing.T) {
	t.Parallel()
	p := newSiteFleetWith(t, "10s", fake.EndpointOptions{Work: 2 * time.Millisecond}, nil) // a busy machine is no trouble of salas
	for _, target := range []string{"/look", "/seat", "/note"} {
		method, target, line := callsWith(target, "first"+target)
		if status, body, _ := askAt(t, p.addr(0), method, target, line); status != 200 || len(p.sentOutcomes(0)) != 0 {
			t.Fatalf("at home: %d %s, %v", status, body, p.sentOutcomes(0))
		}
	}
	p.setStatuses(0, "gone", "gone")
	lbtest.Until(t, "the sala has no nodos", func() bool { return p.all[0].Members()["c"] == 0 })
	var served, refused, failed atomic.Int64
	var crowd sync.WaitGroup
	for caller := range 8 {
		crowd.Go(func() {
			for i := range 40 {
				target := [2]string{"/seat", "/note"}[i%2]
				if i%4 == 0 {
					target = "/look"
				}
				method, target, line := callsWith(target, fmt.Sprintf("k-%d-%d", caller, i))
				switch status, _, h := askAt(t, p.addr(0), method, target, line); {
				case status == 200:
					served.Add(1)
				case status == 503 && h.Get("Retry-After") != "":
					refused.Add(1)
				case status == 502 || status == 504:
					failed.Add(1)
				default:
					t.Errorf("%s: %d", target, status)
				}
			}
		})
	}
	crowd.Wait()
	p.awaitAgreement()
	t.Logf("%d served, %d refused, %d failed, sent %v", served.Load(), refused.Load(), failed.Load(), p.sentOutcomes(0))
	// More crossings than answers: what was cut off and found to have been served, and a key that was sent once more to the sala
	// that holds it.
	if n := int64(p.sentOutcomes(0)[accounting.Served]); served.Load() < 160 || n < served.Load() || failed.Load() == 0 && n > served.Load() {
		t.Errorf("%d served, %d failed, %v", served.Load(), failed.Load(), p.sentOutcomes(0))
	}
	if keys := p.duplicates(); len(keys) > 0 {
		t.Error(keys)
	}
	// A key that ran at home before is nobody else's, here or through another sala.
	for i := range 3 {
		if status, _, _ := askAt(t, p.addr(i), "POST", "/seat", "Idempotency-Key: first/seat"); status != 502 {
			t.Errorf("a key that is held by a sala without nodos, through sala %d: %d", i, status)
		}
	}
	p.setStatuses(0, "ready", "ready")
	lbtest.Until(t, "the sala has nodos", func() bool { return p.all[0].Members()["c"] == 2 })
	before := p.sentOutcomes(0)[accounting.Served]
	for i := range 10 {
		if status, _, _ := askAt(t, p.addr(0), "GET", "/look"); status != 200 {
			t.Errorf("back at home: %d", status)
		}
		// A key that another sala has served stays there, whichever way its repeat comes.
		if status, _, _ := askAt(t, p.addr(i%3), "POST", "/seat", fmt.Sprintf("Idempotency-Key: k-1-%d", 2+4*i)); status != 200 && status != 502 {
			t.Errorf("a repeat: %d", status)
		}
	}
	if now := p.sentOutcomes(0)[accounting.Served]; now > before+20 {
		t.Errorf("%d crossings more with the own nodos back", now-before)
	}
	if keys := p.duplicates(); len(keys) > 0 {
		t.Error(keys)
	}
}

// What the callers, the sender and the nodos count when an answer does not come back, in one order of events: the request has
// run in the first sala, its answer is held up on the way, and then the link is reset, or the caller's time ends first. What is safe
// may run once more elsewhere, with whatever headers; what is keyed or unsafe runs nowhere else.
func TestAnswerHeldUp(t *testing.T) {
	t.Parallel()
	for _, target := range []string{"/look", "/seat", "/note"} {
		for _, reset := range []bool{true, false} {
			t.Run(fmt.Sprint(target, reset), func(t *testing.T) {
				t.Parallel()
				deadline := "10s"
				if !reset {
					deadline = "800ms"
				}
				p := newSiteFleetWith(t, deadline, fake.EndpointOptions{}, nil)
				p.setStatuses(0, "gone", "gone")
				lbtest.Until(t, "the sala has no nodos", func() bool { return p.all[0].Members()["c"] == 0 })
				hold := func(on bool) {
					for j := 1; j < 3; j++ {
						p.paths[0][j].Block(fake.ToClient, on)
					}
				}
				ran := func() (n int) {
					for _, g := range p.groups {
						n += g.Effects()["held"]
					}
					return n
				}
				answered := make(chan int)
				method := "POST"
				if target == "/look" {
					method = "GET"
				}
				hold(true)
				go func() {
					status, _, _ := askAt(t, p.addr(0), method, target, "Idempotency-Key: held")
					answered <- status
				}()
				lbtest.Until(t, "it has run", func() bool { return ran() > 0 })
				status := 0
				if reset {
					hold(false)
					first := 1
					if p.groups[2].Effects()["held"] > 0 {
						first = 2
					}
					p.paths[0][first].Reset()
					status = <-answered
				} else {
					status = <-answered // its time is up
					hold(false)
				}
				p.awaitLinks()
				p.awaitAgreement()
				t.Logf("%d, %d effects, %v", status, ran(), p.sentOutcomes(0))
				if target != "/look" && ran() != 1 {
					t.Errorf("%s is in effect %d times", target, ran())
				}
				// What is keyed is sent to its sala once more, which remembers it: two crossings, one effect. Of a call that is cut
				// off the other sala may say no more than that it may have run.
				sent := p.sentOutcomes(0)
				most := ran()
				if target == "/seat" && reset {
					most++
				}
				if n := int(sent[accounting.Served]); n > most || n+int(sent[accounting.MayHaveRun]) < ran() {
					t.Errorf("the sender counts %v, in effect %d times", sent, ran())
				}
				if !reset && status == 200 {
					t.Errorf("answered with %d after its time", status)
				}
			})
		}
	}
}

// Callers repeat by the same key through other salas while links are reset, held up in one or both directions, and cut
// in the middle of messages, salas are drained, a gateway is killed and started again, and nodos leave answers out: no key takes effect twice, and when all is settled both ends of
// each link have counted the same.
func TestSalasUnderCuts(t *testing.T) {
	t.Parallel()
	var n atomic.Int64
	p := newSiteFleet(t, fake.EndpointOptions{Work: time.Millisecond}, func(sala, nodo int) fake.Fault {
		switch n.Add(1) % 40 {
		case 0:
			return fake.NoResponse
		case 20:
			return fake.ConnectionReset
		}
		return fake.NoFault
	})
	crowd := &retryingClients{callers: 24, keys: 25, deadline: 800 * time.Millisecond}
	if *long {
		crowd.keys = 250
	}
	done := make(chan struct{}, 1)
	var mu sync.Mutex
	d := rand.New(rand.NewPCG(12, 1))
	draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return d.IntN(n) }
	calls := func() {
		crowd.run(func() string { return p.addr(draw(3)) })
		done <- struct{}{}
	}
	served := func() (n uint64) {
		for i := range 3 {
			n += p.sentOutcomes(i)[accounting.Served]
		}
		return n
	}
	go calls()
	troubles := 0
	for ends := false; !ends; troubles++ {
		select {
		case <-done:
			// On a slow machine more is refused before it crosses, and a gateway that is killed forgets what it counted.
			if ends = served() >= 20 || crowd.runs == 10; !ends {
				go calls()
			}
			continue
		case <-time.After(time.Duration(30+draw(60)) * time.Millisecond):
		}
		sala := troubles / 8 % 3 // whose nodos are all gone for a while
		if troubles == 13 {      // without a word, and another one comes under its name
			i := draw(3)
			p.all[i].Close()
			p.start(i, false)
		}
		if troubles%8 == 0 {
			p.setStatuses(sala, "gone", "gone")
			p.setStatuses((sala+2)%3, "ready", "ready")
		}
		i, j := draw(3), draw(3)
		path := p.paths[i][j]
		switch draw(6) {
		case 0:
			path.Reset()
		case 1:
			path.CutAfter(fake.ToServer, int64(draw(3000)))
		case 2:
			path.CutAfter(fake.ToClient, int64(draw(2000)))
		case 3:
			path.Block(fake.ToServer, true)
			time.AfterFunc(time.Duration(100+draw(500))*time.Millisecond, func() { path.Block(fake.ToServer, false) })
		case 4:
			path.Block(fake.ToClient, true)
			time.AfterFunc(time.Duration(100+draw(500))*time.Millisecond, func() { path.Block(fake.ToClient, false) })
		case 5: // its own go elsewhere first, and come back where that fails
			drain(t, p.all[i], []string{"all", "off"}[draw(2)])
		}
	}
	for i := range 3 {
		drain(t, p.all[i], "off")
		p.setStatuses(i, "ready", "ready")
		for j := range 3 {
			p.paths[i][j].CutAfter(fake.ToServer, -1)
			p.paths[i][j].CutAfter(fake.ToClient, -1)
			p.paths[i][j].Block(fake.ToServer, false)
			p.paths[i][j].Block(fake.ToClient, false)
		}
	}
	if keys := p.duplicates(); len(keys) > 0 {
		t.Errorf("%d keys took effect twice: %v", len(keys), keys[:min(len(keys), 5)])
	}
	p.awaitLinks()
	p.awaitAgreement()
	sent := map[accounting.Outcome]uint64{}
	for i := range 3 {
		for o, n := range p.sentOutcomes(i) {
			sent[o] += n
		}
	}
	t.Logf("%s; %d troubles; crossings %v", crowd.summary(), troubles, sent)
	if crowd.answers[200].Load() < int64(crowd.callers*crowd.keys/2) || sent[accounting.Served] < 20 {
		t.Errorf("tests little")
	}
	crowd.served.Range(func(key, _ any) bool {
		if p.groups[0].Effects()[key.(string)]+p.groups[1].Effects()[key.(string)]+p.groups[2].Effects()[key.(string)] == 0 {
			t.Errorf("%v was served and took no effect", key)
		}
		return !t.Failed()
	})
}

// The link is cut while one request crosses: in its body, after the body before the answer, in the answer; silently and
// with a reset; for each class. Nothing takes effect twice that may not, what is safe is served elsewhere, and both ends
// count the same.
func TestCrossingCut(t *testing.T) {
	t.Parallel()
	p := newSiteFleet(t, fake.EndpointOptions{Work: time.Millisecond}, nil)
	p.setStatuses(0, "gone", "gone")
	lbtest.Until(t, "the sala has no nodos", func() bool { return p.all[0].Members()["c"] == 0 })
	arrivals := func(key string) (n int) {
		for _, sala := range p.nodos {
			for _, nodo := range sala {
				n += nodo.Effects()[key]
			}
		}
		return n
	}
	answers := map[string]map[int]int{}
	used, before := 1, [3]uint64{} // the sala that the last request went to
	for i := range 48 {
		for j, s := range p.status(0, false) {
			var n uint64
			for _, c := range s.Sent {
				n += c.Count
			}
			if n > before[j+1] {
				used = j + 1
			}
			before[j+1] = n
		}
		class := []string{"look", "seat", "note"}[i%3]
		silent, point := i/3%2 == 1, i/6%4
		key := fmt.Sprintf("%s-%d", class, i)
		lbtest.Until(t, "linked", func() bool {
			s := p.status(0, false)
			return s[0].State == "open" && s[1].State == "open"
		})
		path := p.paths[0][used]
		switch {
		case point == 0 && !silent:
			path.CutAfter(fake.ToServer, int64(100+30*i))
		case point == 1 && !silent:
			path.CutAfter(fake.ToClient, 1)
		case point == 2 && !silent:
			path.CutAfter(fake.ToClient, int64(60+7*i))
		case point == 3 && !silent:
			time.AfterFunc(time.Duration(i%7)*time.Millisecond, path.Reset)
		case point == 0:
			path.Block(fake.ToServer, true)
		case point == 1:
			path.Block(fake.ToClient, true)
		default:
			path.Block(fake.ToServer, true)
			path.Block(fake.ToClient, true)
		}
		method, header := "POST", "Idempotency-Key: "+key
		if class == "look" {
			method, header = "GET", "X-Other: x"
		}
		status, _, _ := askAt(t, p.addr(0), method, "/"+class, header)
		path.CutAfter(fake.ToServer, -1)
		path.CutAfter(fake.ToClient, -1)
		path.Block(fake.ToServer, false)
		path.Block(fake.ToClient, false)
		if answers[class] == nil {
			answers[class] = map[int]int{}
		}
		answers[class][status]++
		n := arrivals(key)
		switch {
		case status == 0:
			t.Errorf("%s: no answer", key)
		case class == "note" && n > 1:
			t.Errorf("%s came %d times", key, n)
		case status == 200 && class != "look" && n == 0:
			t.Errorf("%s was served and never came", key)
		case status == 503 && n > 0:
			t.Errorf("%s was refused as harmless and came %d times", key, n)
		}
	}
	if keys := p.duplicates(); len(keys) > 0 {
		t.Error(keys)
	}
	p.awaitLinks()
	p.awaitAgreement()
	t.Logf("answers %v, sent %v", answers, p.sentOutcomes(0))
	if answers["look"][200] < 12 || answers["seat"][200] < 6 || answers["note"][200] < 2 {
		t.Error("tests little")
	}
}

// A request whose caller has left is carried to no other sala once its own has failed it. Here the end stands behind bytes that
// nobody has read, before the own sala's nodos fail.
func TestLeftBeforeCrossing(t *testing.T) {
	t.Parallel()
	arrived, fail := make(chan struct{}, 8), make(chan struct{})
	p := newSiteFleetWith(t, "20s", fake.EndpointOptions{Work: time.Millisecond}, func(sala, _ int) fake.Fault {
		if sala == 0 {
			arrived <- struct{}{}
			<-fail
			return fake.ConnectionReset
		}
		return fake.NoFault
	})
	c := lbtest.Dial(t, p.addr(0))
	c.Send("GET /look HTTP/1.1\r\nHost: x\r\n\r\n")
	<-arrived
	c.Send("GET /look HTTP/1.1\r\nHost: behind\r\n\r\n")
	here, there := c.LocalAddr(), c.RemoteAddr()
	if !lbtest.IsEstablished(there, here) {
		t.Fatal("the connection does not stand at the gateway")
	}
	c.Close()
	lbtest.Until(t, "the end has come to the gateway", func() bool { return !lbtest.IsEstablished(there, here) })
	close(fail)
	g := p.all[0]
	lbtest.Until(t, "nothing is held", func() bool {
		return g.state.Load().clusters["c"].InFlight() == 0 && (*g.openListeners.Load())[0].Conns() == 0
	})
	for _, sala := range p.nodos[1:] {
		for _, n := range sala {
			if n.Requests() > 0 {
				t.Errorf("carried to another sala: %d", n.Requests())
			}
		}
	}
}

// A sala fails while another is nearly full: that one goes on serving its own, what can't be carried is refused at once,
// and worth goes first.
func TestCascade(t *testing.T) {
	t.Parallel()
	p := newSiteFleet(t, fake.EndpointOptions{Work: 80 * time.Millisecond, Slots: 2, Queue: 4}, nil) // 50 requests a second a sala
	p.setStatuses(0, "gone", "gone")
	p.setStatuses(2, "gone", "gone")
	lbtest.Until(t, "only one sala has nodos", func() bool {
		return p.all[0].Members()["c"] == 0 && p.all[2].Members()["c"] == 0
	})
	var counts [3][2]map[int]int // by sala and class
	var mu sync.Mutex
	var crowd sync.WaitGroup
	for sala := range 2 {
		counts[sala] = [2]map[int]int{{}, {}}
		for i := range 120 {
			crowd.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / 30) // a rate, whatever becomes of those before
				class := i % 2
				method, target, line := callsWith([2]string{"/look", "/seat"}[class], fmt.Sprintf("c-%d-%d", sala, i))
				begun := time.Now()
				status, _, h := askAt(t, p.addr(sala), method, target, line)
				if sala == 0 && status == 503 && h.Get("Retry-After") == "" {
					t.Errorf("a refusal that doesn't say when to come back: sala %d, %s, after %v", sala, target, time.Since(begun))
				}
				mu.Lock()
				defer mu.Unlock()
				counts[sala][class][status]++
			})
		}
	}
	crowd.Wait()
	t.Logf("own: look %v, seat %v; crossing: look %v, seat %v; sent %v", counts[1][0], counts[1][1], counts[0][0], counts[0][1], p.sentOutcomes(0))
	if own := counts[1][0][200] + counts[1][1][200]; own < 80 {
		t.Errorf("the sala that took over served %d of its own 120", own)
	}
	if counts[0][1][200] < counts[0][0][200] || counts[0][1][200] < 10 {
		t.Error("worth did not go first over the link")
	}
	if keys := p.duplicates(); len(keys) > 0 {
		t.Error(keys)
	}
	p.awaitAgreement()
}

// A planned evacuation: the sala's own requests go to the others first, theirs don't come, and nothing is lost on the way
// there, back, or when the gateway ends.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	p := newSiteFleet(t, fake.EndpointOptions{Work: time.Millisecond}, nil)
	homes := func(sala int) (n int64) { return p.nodos[sala][0].Requests() + p.nodos[sala][1].Requests() }
	serve := func(n int, what string) {
		t.Helper()
		for i := range n {
			if status, _, _ := askAt(t, p.addr(0), "POST", "/seat", fmt.Sprintf("Idempotency-Key: %s-%d", what, i)); status != 200 {
				t.Errorf("%s: %d", what, status)
			}
		}
	}
	serve(10, "before")
	if homes(0) != 10 {
		t.Fatalf("%d served at home", homes(0))
	}
	drain(t, p.all[0], "all")
	serve(20, "leaving")
	serve(10, "before") // their keys are held at home
	if homes(0) != 20 {
		t.Errorf("%d at home, of 10 new and 10 held there", homes(0))
	}
	p.setStatuses(1, "gone", "gone")
	p.setStatuses(2, "gone", "gone")
	lbtest.Until(t, "the others have none", func() bool { return p.all[1].Members()["c"] == 0 && p.all[2].Members()["c"] == 0 })
	lbtest.Until(t, "the others know that it drains", func() bool { return p.status(1, false)[0].State == "draining" })
	if status, _, _ := askAt(t, p.addr(1), "GET", "/look"); status == 200 {
		t.Error("a draining sala took what is not its own")
	}
	drain(t, p.all[0], "off")
	lbtest.Until(t, "it is open again", func() bool { return p.status(1, false)[0].State == "open" })
	if status, _, _ := askAt(t, p.addr(1), "GET", "/look"); status != 200 {
		t.Errorf("after the drain: %d", status)
	}
	var crowd sync.WaitGroup
	for i := range 30 { // from another sala, while this one's gateway ends
		crowd.Go(func() {
			if status, _, _ := askAt(t, p.addr(1), "POST", "/note", fmt.Sprint("Idempotency-Key: end-", i)); status != 200 && status != 503 && status != 502 {
				t.Errorf("while it ends: %d", status)
			}
		})
	}
	p.all[0].Shutdown()
	crowd.Wait()
	p.start(0, false)
	p.awaitLinks()
	if status, _, _ := askAt(t, p.addr(1), "GET", "/look"); status != 200 {
		t.Errorf("through the one that was started again: %d", status)
	}
	if keys := p.duplicates(); len(keys) > 0 {
		t.Error(keys)
	}
}

// drain drains a sala as the command does.
func drain(t *testing.T, g *Gateway, mode string) {
	t.Helper()
	w := httptest.NewRecorder()
	g.handleDrain(w, httptest.NewRequest(http.MethodPost, "/link/drain?mode="+mode, nil))
	if w.Code != 200 {
		t.Fatal(w.Body)
	}
}
