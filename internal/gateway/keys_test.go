package gateway

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

var long = flag.Bool("long", false, "play the full size of what is scaled down by default")

// twoZones are two groups of two nodos each, which share their memories of keys within a group.
type twoZones struct {
	groups [2]*fake.Group
	nodos  [4]*fake.Endpoint
}

func newTwoZones(t *testing.T, window time.Duration, trouble func(nodo int) fake.Fault) *twoZones {
	t.Helper()
	s := &twoZones{groups: [2]*fake.Group{fake.NewGroup("north", window), fake.NewGroup("south", window)}}
	for i := range s.nodos {
		o := fake.EndpointOptions{Name: fmt.Sprint("n", i), Work: time.Millisecond, Group: s.groups[i/2]}
		if trouble != nil {
			o.Fault = func(*http.Request) fake.Fault { return trouble(i) }
		}
		n, err := fake.NewEndpoint(o)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		s.nodos[i] = n
	}
	return s
}

// cluster writes the nodos as a cluster of two zones.
func (s *twoZones) cluster(name, more string) string {
	text := fmt.Sprintf("cluster %q {\n%s\n", name, more)
	for i, n := range s.nodos {
		text += fmt.Sprintf("endpoint \"n%d\" {\n  address = %q\n  zone = %q\n}\n", i, n.Addr, s.groups[i/2].Name)
	}
	return text + "}\n"
}

// duplicates returns the keys that took effect more than once, in one sala or in two.
func (s *twoZones) duplicates() (keys []string) {
	north, south := s.groups[0].Effects(), s.groups[1].Effects()
	for key, n := range north {
		if n+south[key] > 1 {
			keys = append(keys, fmt.Sprintf("%s: %d north, %d south", key, n, south[key]))
		}
	}
	return keys
}

func (s *twoZones) effects() int { return len(s.groups[0].Effects()) + len(s.groups[1].Effects()) }

const twoZonesProcess = "process {\n zones = [\"north\", \"south\"]\n zone = \"north\"\n sockets = 2048\n}\n"

// keyedClass is a class whose endpoints of one zone drop repeats.
func keyedClass(deadline, window string, more ...string) string {
	return fmt.Sprintf("class \"seat\" {\n aim = %[1]q\n deadline = %[1]q\n effect = \"keyed\"\n scope = \"zone\"\n window = %[2]q\n %[3]s\n}\n",
		deadline, window, strings.Join(more, "\n"))
}

// post makes one request with a key. Status 0: the caller has given up after the time told, or got no whole answer.
func post(addr, key string, giveUp time.Duration) (status int) {
	c, err := net.DialTimeout("tcp", addr, lbtest.Wait)
	if err != nil {
		return -1
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(giveUp))
	fmt.Fprintf(c, "POST /seat HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 2\r\nIdempotency-Key: %s\r\n\r\nok", key)
	text, err := io.ReadAll(c)
	if err != nil {
		return 0
	}
	fmt.Sscanf(string(text), "HTTP/1.1 %d", &status)
	return status
}

// retryingClients is a crowd of callers that repeat with the same key after a failure, and now and then give up early.
type retryingClients struct {
	callers, keys  int
	runs           int // so far: each has keys of its own
	deadline       time.Duration
	patient        bool // callers who are refused come back, a hundred times at the most
	asked, repeats atomic.Int64
	answers        [600]atomic.Int64 // by status; 0: given up
	served         sync.Map
}

func (r *retryingClients) run(addr func() string) {
	r.runs++
	var crowd sync.WaitGroup
	for caller := range r.callers {
		crowd.Go(func() {
			d := rand.New(rand.NewPCG(uint64(caller), 21))
			for i := range r.keys {
				key := fmt.Sprintf("k-%d-%d-%d", r.runs, caller, i)
				for try, refusals := 0, 0; try < 3; try++ {
					patience := lbtest.Wait
					if try == 0 && d.IntN(4) == 0 { // gives up at 50 to 80 % of the deadline
						patience = r.deadline * time.Duration(50+d.IntN(31)) / 100
					}
					r.asked.Add(1)
					if try > 0 {
						r.repeats.Add(1)
					}
					status := post(addr(), key, patience)
					r.answers[max(status, 0)].Add(1)
					if status == 200 {
						r.served.Store(key, true)
					}
					if status == 503 && r.patient && refusals < 100 {
						refusals++
						try--
						time.Sleep(20 * time.Millisecond)
						continue
					}
					if status != 0 && status != 502 && status != 504 {
						break
					}
				}
			}
		})
	}
	crowd.Wait()
}

func (r *retryingClients) summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d asked, %d repeats", r.asked.Load(), r.repeats.Load())
	for status := range r.answers {
		if n := r.answers[status].Load(); n > 0 {
			fmt.Fprintf(&b, ", %d: %d", status, n)
		}
	}
	return b.String()
}

// Callers that repeat by the same key after failures, or after they have given up while the first try still runs, under
// an endpoint that leaves answers out: no key takes effect in two salas, nor twice in one. The reloads bring new
// balancers, other zones' weights and routes meanwhile.
func TestKeysStayInTheirSala(t *testing.T) {
	t.Parallel()
	for name, reloads := range map[string]bool{"calm": false, "reloads": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var n atomic.Int64
			s := newTwoZones(t, time.Minute, func(nodo int) fake.Fault {
				switch n.Add(1) % int64(6+12*nodo) { // of the first nodo a third, of the next ones less
				case 0:
					return fake.NoResponse
				case 3:
					return fake.ConnectionReset
				}
				return fake.NoFault
			})
			const deadline = 500 * time.Millisecond
			text := func(i int) string {
				return keyedClass("500ms", "60s") + twoZonesProcess + listener("l", "127.0.0.1:0") +
					s.cluster("c", fmt.Sprintf("idle = \"%ds\"\nreserve = \"10%%\"", 4+i%3)) +
					s.cluster("d", "reserve = \"10%\"") + fmt.Sprintf("route \"r%d\" {\n class = \"seat\"\n failover = \"d\"\n cluster = \"c\"\n}\n", i)
			}
			g := run(t, text(0))
			addr := g.Addr("l").String()
			crowd := &retryingClients{callers: 48, keys: 50, deadline: deadline}
			if *long {
				crowd.keys = 500
			}
			done := make(chan struct{})
			go func() { crowd.run(func() string { return addr }); close(done) }()
			for i := 1; reloads; i++ {
				select {
				case <-done:
					reloads = false
				case <-time.After(50 * time.Millisecond):
					if err := g.Reload(parse(t, text(i))); err != nil {
						t.Error(err)
					}
				}
			}
			<-done
			if keys := s.duplicates(); len(keys) > 0 {
				t.Errorf("%d keys took effect twice: %v", len(keys), keys[:min(len(keys), 5)])
			}
			if crowd.repeats.Load() < 40 || crowd.answers[200].Load() < int64(crowd.callers*crowd.keys*8/10) {
				t.Errorf("tests little: %s", crowd.summary())
			}
			t.Logf("%s; %d effects", crowd.summary(), s.effects())
			crowd.served.Range(func(key, _ any) bool {
				if s.groups[0].Effects()[key.(string)]+s.groups[1].Effects()[key.(string)] == 0 {
					t.Errorf("%v was served and took no effect", key)
				}
				return !t.Failed()
			})
			lbtest.Until(t, "no key is in work", func() bool { return g.resources.Requests.Used() == 0 })
		})
	}
}

// held runs one sala's nodo whose answers are left out until let go, so that the first try of a key is still in work.
func newSilentZones(t *testing.T, window time.Duration) (s *twoZones, hold *atomic.Bool) {
	t.Helper()
	hold = &atomic.Bool{}
	return newTwoZones(t, window, func(int) fake.Fault {
		if hold.Load() {
			return fake.NoResponse
		}
		return fake.NoFault
	}), hold
}

// Where a key's group has no endpoint left, or its window is over, its repeat gets a failure that promises nothing and is
// sent nowhere; other keys are served.
func TestGroupGone(t *testing.T) {
	t.Parallel()
	s, hold := newSilentZones(t, time.Minute)
	class := keyedClass("300ms", "60s")
	text := func(zones [4]string) string {
		out := class + twoZonesProcess + listener("l", "127.0.0.1:0") + "cluster \"c\" {\n"
		for i, n := range s.nodos {
			status, zone, _ := strings.Cut(zones[i], " ")
			out += fmt.Sprintf("endpoint \"n%d\" {\n address = %q\n status = %q\n zone = %q\n}\n", i, n.Addr, status, zone)
		}
		return out + "}\nroute \"r\" {\n class = \"seat\"\n cluster = \"c\"\n}\n"
	}
	north := [4]string{"ready north", "ready north", "draining south", "draining south"}
	g := run(t, text(north))
	addr := g.Addr("l").String()
	reload := func(zones [4]string) {
		t.Helper()
		if err := g.Reload(parse(t, text(zones))); err != nil {
			t.Fatal(err)
		}
		lbtest.Until(t, "the members are as told", func() bool { // a running cluster hears of its sources after the reload
			is := [4]string{}
			for i, e := range g.state.Load().clusters["c"].Members() {
				is[i] = e.Status + " " + e.Zone
			}
			return is == zones
		})
	}
	hold.Store(true)
	if status := post(addr, "k", 150*time.Millisecond); status != 0 {
		t.Fatalf("answered: %d", status)
	}
	hold.Store(false)
	if status := post(addr, "k", lbtest.Wait); status != 200 {
		t.Errorf("a repeat while its group is there: %d", status)
	}
	// The group's last endpoints drain.
	reload([4]string{"draining north", "draining north", "ready south", "ready south"})
	if status := post(addr, "k", lbtest.Wait); status != 502 {
		t.Errorf("its group drains: %d", status)
	}
	// A busy machine may refuse it at first (503: harmless, come back).
	lbtest.Until(t, "another key is served", func() bool { return post(addr, "other", lbtest.Wait) == 200 })
	// The endpoints are of another zone now: what they have seen is not what that zone's have seen.
	reload([4]string{"ready south", "ready south", "ready south", "ready south"})
	if status := post(addr, "k", lbtest.Wait); status != 502 {
		t.Errorf("its endpoints are of another zone: %d", status)
	}
	if keys := s.duplicates(); len(keys) > 0 {
		t.Errorf("twice: %v", keys)
	}
}

// When the window is over a repeat fails and is not taken for a new request; when the key is no longer kept it is new.
func TestWindowOver(t *testing.T) {
	t.Parallel()
	s := newTwoZones(t, 400*time.Millisecond, nil)
	for keep, want := range map[string]int{"60s": 502, "0s": 200} {
		g := run(t, keyedClass("300ms", "400ms", fmt.Sprintf("keep = %q", keep))+twoZonesProcess+listener("l", "127.0.0.1:0")+s.cluster("c", "")+
			"route \"r\" {\n class = \"seat\"\n cluster = \"c\"\n}\n")
		addr := g.Addr("l").String()
		key := "kept for " + keep
		if status := post(addr, key, lbtest.Wait); status != 200 {
			t.Fatal(status)
		}
		time.Sleep(450 * time.Millisecond) // more does no harm
		if status := post(addr, key, lbtest.Wait); status != want {
			t.Errorf("%s: %d, want %d", key, status, want)
		}
	}
}

// What a repeat gets that comes while the first try is in work, and the same key with another body.
func TestRepeats(t *testing.T) {
	t.Parallel()
	s, hold := newSilentZones(t, time.Minute)
	g := run(t, keyedClass("2s", "60s", "concurrent = \"conflict\"", "check_repeats = true")+twoZonesProcess+listener("l", "127.0.0.1:0")+
		s.cluster("c", "hedge = false")+"route \"r\" {\n class = \"seat\"\n cluster = \"c\"\n}\n")
	hold.Store(true)
	first := make(chan int)
	go func() { first <- post(g.Addr("l").String(), "k", lbtest.Wait) }()
	lbtest.Until(t, "the first try is in work", func() bool { return s.effects() == 1 })
	lines := []string{"Idempotency-Key: k", "Content-Type: text/plain"}
	if status, body, h := ask(t, g, "POST", "/seat", lines...); status != 409 || h.Get("Retry-After") == "" ||
		h.Get("Content-Type") != "application/problem+json" {
		t.Errorf("while the first is in work: %d %s %v", status, body, h)
	}
	if status, _, _ := ask(t, g, "POST", "/other", lines...); status != 422 {
		t.Errorf("another target: %d", status)
	}
	hold.Store(false)
	if status := <-first; status != 504 && status != 200 { // by another endpoint of its sala
		t.Errorf("the first: %d", status)
	}
	if status, _, _ := ask(t, g, "POST", "/seat", lines...); status != 200 {
		t.Errorf("its repeat: %d", status)
	}
	if keys := s.duplicates(); len(keys) > 0 || s.effects() != 1 {
		t.Errorf("effects: %v", keys)
	}
}

// A refusal for want of body memory tells when to come back, but is none for a key that may have run.
func TestMemoryRefusal(t *testing.T) {
	t.Parallel()
	s := newTwoZones(t, time.Minute, nil)
	g := run(t, keyedClass("2s", "60s")+strings.Replace(twoZonesProcess, "sockets", "body_memory = \"64KiB\"\n sockets", 1)+listener("l", "127.0.0.1:0")+
		s.cluster("c", "")+"route \"r\" {\n class = \"seat\"\n cluster = \"c\"\n}\n")
	if status := post(g.Addr("l").String(), "ran", lbtest.Wait); status != 200 {
		t.Fatal(status)
	}
	if err := g.state.Load().clusters["c"].Bodies().Acquire(t.Context(), 64<<10); err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]int{"new": 503, "ran": 502} {
		c := lbtest.Dial(t, g.Addr("l").String())
		c.Send("POST /seat HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\nIdempotency-Key: " + key + "\r\n\r\n" + strings.Repeat("x", 60000))
		text := c.AwaitClose()
		if !strings.HasPrefix(text, fmt.Sprint("HTTP/1.1 ", want)) || strings.Contains(text, "Retry-After: 1") != (want == 503) {
			t.Errorf("%s: %s", key, text)
		}
	}
}
