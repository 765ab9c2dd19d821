package main

import (
	"fmt"
	"hash/fnv"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"silvertrail/internal/testkit/lbtest"
)

const (
	answerDelay     = 10 * time.Millisecond // of a healthy endpoint
	pauseInterval   = 1200 * time.Millisecond
	pausedClients   = 8
	pausedEndpoints = 4
	minSilence      = 2 * answerDelay // a request that waits for longer may have its endpoint ejected
)

// stay is the time that a request has spent at an endpoint.
type stay struct {
	request        string
	arrived, ended time.Time // ended is zero: it is still there
}

// stayLog records the stays at one endpoint.
type stayLog struct {
	mu    sync.Mutex
	stays []stay
}

func (l *stayLog) arrive(request string, at time.Time) (number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stays = append(l.stays, stay{request: request, arrived: at})
	return len(l.stays) - 1
}

// clockTick is the precision of the system's times of a socket.
const clockTick = 4 * time.Millisecond

// receivedAt returns when a request reached the endpoint's socket, or up to a clockTick later: the endpoint, which is part of this
// process, can be late to read it.
func receivedAt(c net.Conn) time.Time {
	now := time.Now()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return now // it is closed
	}
	var age time.Duration
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return now.Add(-max(age-clockTick, 0))
}

func (l *stayLog) end(number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stays[number].ended = time.Now()
}

// isSlow reports whether the endpoint itself owed an answer for longer than minSilence at a time, read or not.
func (l *stayLog) isSlow(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.stays {
		if at.Sub(s.arrived) > minSilence && (s.ended.IsZero() || at.Sub(s.ended) < 0) {
			return true
		}
	}
	return false
}

// around tells of the stays that lasted into the half second before a time, or came shortly after it.
func (l *stayLog) around(at time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := ""
	for _, s := range l.stays {
		ended := s.ended.IsZero() || at.Sub(s.ended) < 500*time.Millisecond
		if ended && s.arrived.Sub(at) < 100*time.Millisecond {
			text += fmt.Sprintf(" %s arrived %v, ended %v;", s.request, s.arrived.Sub(at).Round(time.Millisecond), s.ended.Sub(at).Round(time.Millisecond))
		}
	}
	return text
}

// ejection is a line of a sidecar's log.
type ejection struct {
	at     time.Time
	server uint64
	line   string
}

var ejectionLine = regexp.MustCompile(`time=(\S+) .*msg="(server (\d+) out: silent[^"]*)"`)

// silentEjections returns the ejections for silence that a log tells.
func silentEjections(t *testing.T, log string) (ejections []ejection) {
	t.Helper()
	for _, match := range ejectionLine.FindAllStringSubmatch(log, -1) {
		at, err := time.Parse(time.RFC3339Nano, match[1])
		if err != nil {
			t.Fatal(err)
		}
		server, err := strconv.ParseUint(match[3], 10, 32)
		if err != nil {
			t.Fatal(err)
		}
		ejections = append(ejections, ejection{at, server, match[2]})
	}
	return ejections
}

// A pause of the sidecar's process is not taken for a silence of its endpoints (docs/incidents/pause-taken-for-silence.md).
func TestPauseEjectsNoEndpoint(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		pause  time.Duration
		pauses int
		hangs  bool // one of the endpoints, from the middle on
	}{
		{"0.15 s", 150 * time.Millisecond, 20, false},
		{"0.3 s", 300 * time.Millisecond, 20, false},
		{"2 s", 2 * time.Second, 4, false},
		{"0.15 s, one hangs", 150 * time.Millisecond, 10, true},
		{"0.3 s, one hangs", 300 * time.Millisecond, 10, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			play := newPausePlay(t)
			for n := range c.pauses {
				play.hangs.Store(c.hangs && n >= c.pauses/2)
				time.Sleep(pauseInterval)
				play.sidecar.suspend()
				time.Sleep(c.pause)
				play.sidecar.resume()
			}
			time.Sleep(pauseInterval)
			play.end()
		})
	}
}

// pausePlay is a sidecar between clients, each with one request out at a time, and endpoints that log each stay.
type pausePlay struct {
	t         *testing.T
	sidecar   *running
	endpoints [pausedEndpoints]stayLog
	servers   map[uint64]int // endpoints by the number that the log has
	hangs     atomic.Bool    // the first endpoint
	stop      atomic.Bool
	clients   sync.WaitGroup
	answered  atomic.Int64
}

func newPausePlay(t *testing.T) *pausePlay {
	t.Helper()
	play := &pausePlay{t: t, servers: map[uint64]int{}}
	var addresses []string
	for i := range play.endpoints {
		log := &play.endpoints[i]
		addresses = append(addresses, lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
			number := log.arrive(a.Request.Header.Get("X-Request-Id"), receivedAt(a.Conn))
			if i == 0 && play.hangs.Load() {
				return
			}
			time.Sleep(answerDelay)
			a.OK()
			log.end(number)
		}).Addr)
	}
	discovery := lbtest.NewDiscovery(t, 1, addresses...).Addr
	for i := range play.endpoints {
		name := fnv.New32a()
		fmt.Fprintf(name, "s-%s-%d", discovery, i)
		play.servers[uint64(name.Sum32())] = i
	}
	sidecars := newSidecars(t, discovery)
	play.sidecar = sidecars.start()
	for client := range pausedClients {
		play.clients.Go(func() { play.ask(sidecars.addr, client) })
	}
	return play
}

// ask sends one request after the other on one connection until the play ends.
func (p *pausePlay) ask(address string, client int) {
	c := lbtest.Dial(p.t, address)
	defer c.Close()
	for n := 0; !p.stop.Load(); n++ {
		id := fmt.Sprintf("%d-%d", client, n)
		sentAt := time.Now()
		c.SetDeadline(sentAt.Add(lbtest.Wait))
		c.Send(lbtest.Get(id))
		if status, body := c.Response(); status != 200 || body != "answer to "+id {
			p.t.Errorf("%s, sent at %s: %d %q after %v", id, sentAt.Format("05.000"), status, body, time.Since(sentAt))
			return
		}
		p.answered.Add(1)
	}
}

// end ends the play, and checks that the sidecar has ejected the endpoint that hangs, and none that was not slow.
func (p *pausePlay) end() {
	p.t.Helper()
	p.stop.Store(true)
	p.clients.Wait()
	wrong, found := 0, false
	for _, e := range silentEjections(p.t, p.sidecar.log.String()) {
		endpoint, known := p.servers[e.server]
		if !known || !p.endpoints[endpoint].isSlow(e.at) {
			wrong++
			p.t.Logf("%v %s", e.at.Format("05.000"), e.line)
			if known {
				p.t.Logf("at the endpoint, from the ejection on:%s", p.endpoints[endpoint].around(e.at))
			}
		}
		found = found || endpoint == 0
	}
	if wrong > 0 {
		p.t.Errorf("%d ejections of healthy endpoints", wrong)
	}
	// Discovery answers each watch in time; its calls ended as "silent" where a pause passed their time-out before the answer was read.
	for line := range strings.Lines(p.sidecar.log.String()) {
		if strings.Contains(line, "discovery call failed") {
			p.t.Error(line)
		}
	}
	if p.hangs.Load() && !found {
		p.t.Error("the endpoint that hangs was not found")
	}
	if p.answered.Load() < 100 {
		p.t.Errorf("tests little: %d answers", p.answered.Load())
	}
	p.sidecar.terminate()
}

// What arrives during a pause of the process is read, whatever deadline has passed meanwhile (docs/incidents/bytes-lost-over-a-pause.md).
func TestPauseLosesNoBytes(t *testing.T) {
	t.Parallel()
	const pause = 3 * time.Second // longer than a head, a body or the rest of an answer may take
	held := make(chan *lbtest.Arrival, 1)
	var arrivals atomic.Int64
	endpoint := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		arrivals.Add(1)
		if a.Request.Header.Get("X-Request-Id") == "answer" {
			held <- a
			return
		}
		a.OK()
	})
	sidecars := newSidecars(t, lbtest.NewDiscovery(t, 1, endpoint.Addr).Addr)
	sidecar := sidecars.start()
	clients := map[string]*lbtest.Client{}
	rest := map[string]string{}
	for id, text := range map[string]string{"first": lbtest.Get("first"), "head": lbtest.Get("head"), "body": lbtest.Post("body", "ab"), "answer": lbtest.Post("answer", "ab")} {
		before := map[string]int{"first": 0, "head": len(text) / 2, "body": len(text) - 1, "answer": len(text)}[id]
		clients[id] = lbtest.Dial(t, sidecars.addr)
		clients[id].Send(text[:before])
		rest[id] = text[before:]
	}
	a := <-held
	answer := lbtest.OK("answer to answer")
	a.Write([]byte(answer[:len(answer)/2]))
	time.Sleep(100 * time.Millisecond) // all has been read that was sent
	sidecar.suspend()
	for id, c := range clients {
		c.Send(rest[id])
	}
	a.Write([]byte(answer[len(answer)/2:]))
	time.Sleep(pause)
	sidecar.resume()
	for id, c := range clients {
		if status, body := c.Response(); status != 200 || body != "answer to "+id {
			t.Errorf("%s: %d %q", id, status, body)
		}
	}
	if n := arrivals.Load(); n != int64(len(clients)) {
		t.Errorf("%d attempts for %d requests", n, len(clients))
	}
	sidecar.terminate()
}

// A pause of the process before it reads a request is not added to the request's time (docs/incidents/time-counted-from-read.md).
func TestPauseKeepsTimeouts(t *testing.T) {
	t.Parallel()
	const (
		pause   = 600 * time.Millisecond
		timeout = 3 * time.Second
		slack   = 150 * time.Millisecond // the platform's STANDING page
	)
	var mu sync.Mutex
	told := map[string]time.Duration{}
	arrivedAt := map[string]time.Time{}
	endpoint := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		id := a.Request.Header.Get("X-Request-Id")
		ms, err := strconv.Atoi(a.Request.Header.Get("X-Timeout-Ms"))
		if err != nil {
			t.Error(err)
		}
		mu.Lock()
		told[id] = time.Duration(ms) * time.Millisecond
		arrivedAt[id] = time.Now()
		mu.Unlock()
		a.OK()
	})
	sidecars := newSidecars(t, lbtest.NewDiscovery(t, 1, endpoint.Addr).Addr)
	sidecar := sidecars.start()
	clients := map[string]*lbtest.Client{}
	for _, id := range []string{"kept", "kept body", "kept over", "new", "new over"} {
		clients[id] = lbtest.Dial(t, sidecars.addr)
		if strings.HasPrefix(id, "kept") {
			clients[id].Send(lbtest.Get("first of " + id))
			if status, _ := clients[id].Response(); status != 200 {
				t.Fatalf("first of %s: %d", id, status)
			}
		}
	}
	sidecar.suspend()
	sentAt := map[string]time.Time{}
	for id, c := range clients {
		limit := timeout
		if strings.HasSuffix(id, "over") {
			limit = pause / 2
		}
		header := fmt.Sprintf("X-Timeout-Ms: %d", limit.Milliseconds())
		sentAt[id] = time.Now()
		if strings.HasSuffix(id, "body") {
			c.Send(lbtest.Post(id, "ab", header))
			continue
		}
		c.Send(lbtest.Get(id, header))
	}
	time.Sleep(pause)
	sidecar.resume()
	for id, c := range clients {
		want := 200
		if strings.HasSuffix(id, "over") {
			want = 503
		}
		if status, _ := c.Response(); status != want {
			t.Errorf("%s: %d, not %d", id, status, want)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for id, at := range sentAt {
		left := timeout - arrivedAt[id].Sub(at)
		switch {
		case strings.HasSuffix(id, "over"):
			if _, came := told[id]; came {
				t.Errorf("%s came to the endpoint", id)
			}
		case told[id] > left+slack:
			t.Errorf("%s came with %v where %v were left", id, told[id], left)
		}
	}
	sidecar.terminate()
}
