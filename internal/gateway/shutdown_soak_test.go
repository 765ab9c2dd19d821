package gateway

import (
	"bufio"
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

var (
	shutdownSeeds = flag.Int("shutdownseeds", 3, "seeds of TestShutdownSoak")
	shutdownSeed  = flag.Uint64("shutdownseed", 1, "first seed of TestShutdownSoak")
)

// acceptMargin is how long before a gateway stops to accept requests a client must have sent one for it to be owed a response.
const acceptMargin = 150 * time.Millisecond

// shutdownDay is what a seed draws: three sites under clients, in which gateways are reloaded and then end.
type shutdownDay struct {
	*siteFleet
	t        *testing.T
	deadline time.Duration // of all classes
	stop     time.Duration // the time of a shutdown
	hangs    int           // percentage of requests that get no response from their endpoint
	ends     []int         // sites whose gateways end
	addrs    [3]string

	mu   sync.Mutex
	draw *rand.Rand

	terminated [3]atomic.Pointer[time.Time] // when the shutdown of a site's gateway began
	clients    sync.WaitGroup
	requests   atomic.Int64
	served     atomic.Int64
	ended      atomic.Int64 // requests that got their answers after the shutdown had begun
}

// chance draws a number below n.
func (d *shutdownDay) chance(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draw.IntN(n)
}

// upTo draws a time.
func (d *shutdownDay) upTo(most time.Duration) time.Duration {
	return time.Duration(d.chance(int(most/time.Millisecond))) * time.Millisecond
}

func newShutdownDay(t *testing.T, seed uint64) *shutdownDay {
	t.Helper()
	d := &shutdownDay{t: t, draw: rand.New(rand.NewPCG(seed, 81))}
	d.deadline = []time.Duration{800 * time.Millisecond, 2 * time.Second, 4 * time.Second}[d.chance(3)]
	d.stop = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second}[d.chance(3)]
	d.hangs = d.chance(60)
	d.ends = [][]int{{0}, {1}, {0, 1}}[d.chance(3)]
	d.siteFleet = newSiteFleetWith(t, d.deadline.String(), fake.EndpointOptions{}, d.fault)
	if d.chance(3) > 0 {
		d.setStatuses(0, "gone", "gone")
	}
	for i := range d.addrs {
		d.addrs[i] = d.addr(i)
		d.reload(i, "800ms", "")
	}
	return d
}

// fault draws what becomes of a request at its endpoint.
func (d *shutdownDay) fault(int, int) fake.Fault {
	time.Sleep(d.upTo(200 * time.Millisecond))
	switch n := d.chance(100); {
	case n < d.hangs:
		return fake.NoResponse
	case n < d.hangs+5:
		return fake.ConnectionReset
	}
	return fake.NoFault
}

// reload puts a configuration with the time of a shutdown, a latency objective and more blocks in force.
func (d *shutdownDay) reload(site int, objective, more string) {
	text := strings.ReplaceAll(d.configText(site), stopText, fmt.Sprintf("stop = %q", d.stop))
	text = strings.ReplaceAll(text, `aim = "800ms"`, fmt.Sprintf("aim = %q", objective)) + more
	if err := d.all[site].Reload(parseAll(d.t, text)); err != nil {
		d.t.Error(err)
	}
}

// reloadAtRandom reloads a gateway with other classes, with a listener that the next reload removes, or as it is.
func (d *shutdownDay) reloadAtRandom(site int) {
	switch d.chance(3) {
	case 0:
		d.reload(site, (100*time.Millisecond + d.upTo(600*time.Millisecond)).String(), "")
	case 1:
		d.reload(site, "800ms", listener("removed", "127.0.0.1:0"))
		for range 4 {
			c := &client{day: d, site: site, addr: d.all[site].Addr("removed").String()}
			c.connect() // before the listener is removed
			d.clients.Go(c.request)
		}
		d.reload(site, "800ms", "")
	default:
		d.reload(site, "800ms", "")
	}
}

// client is a client of one gateway, which may keep its connection.
type client struct {
	day   *shutdownDay
	site  int
	addr  string
	keeps bool
	conn  net.Conn // nil: none is open
	from  *bufio.Reader
}

// connect opens a connection unless one is kept. It reports whether there is one.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.addr, lbtest.Wait)
	if err != nil {
		return false
	}
	c.conn, c.from = conn, bufio.NewReader(conn)
	return true
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request sends a request and checks that it gets its answer in time.
func (c *client) request() {
	if !c.connect() {
		return
	}
	d := c.day
	id := fmt.Sprint("r", d.requests.Add(1))
	class := []string{"seat", "look", "note"}[d.chance(3)]
	if sendRequest(c.conn, class, id, d.upTo(400*time.Millisecond)*time.Duration(d.chance(2))) != nil {
		c.close()
		return
	}
	sent := time.Now()
	c.conn.SetReadDeadline(sent.Add(d.deadline + lateResponseBound))
	response, err := http.ReadResponse(c.from, nil)
	answered := time.Now()
	terminated := d.terminated[c.site].Load()
	if err != nil {
		c.close()
		if terminated == nil || sent.Before(terminated.Add(d.stop/2-acceptMargin)) {
			d.t.Errorf("%s of class %s at site %d, sent %v after its SIGTERM: no final answer %v later: %v", id, class, c.site,
				sinceOf(sent, terminated), answered.Sub(sent), err)
		}
		return
	}
	switch {
	case terminated != nil && answered.After(later(sent, terminated.Add(d.stop)).Add(lateResponseBound)):
		d.t.Errorf("%s of class %s at site %d, sent %v after its SIGTERM: status %d %v after it", id, class, c.site, sinceOf(sent, terminated),
			response.StatusCode, answered.Sub(*terminated))
	case response.StatusCode == http.StatusOK:
		d.served.Add(1)
	}
	if terminated != nil {
		d.ended.Add(1)
	}
	if rest, err := io.ReadAll(io.LimitReader(response.Body, 1<<16)); err != nil {
		d.t.Errorf("%s: response cut off after %d bytes: %v", id, len(rest), err)
	}
	if !c.keeps || response.Close {
		c.close()
	}
}

// disturbLinks resets a link between two sites, or holds up what goes one way on it, on half of the days.
func (d *shutdownDay) disturbLinks() {
	path := d.paths[d.chance(2)][d.chance(3)]
	switch d.chance(6) {
	case 0:
		path.Reset()
	case 1:
		path.Block(fake.ToServer, true)
	case 2:
		path.Block(fake.ToClient, true)
	}
}

// later returns the later one of two times. A request's time counts from its last byte (the platform's PROTOCOL page, "Figures"), which a slow
// client may write after it was answered.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sinceOf returns how long after the shutdown began a request was sent; negative: before.
func sinceOf(sent time.Time, terminated *time.Time) time.Duration {
	if terminated == nil {
		return -time.Hour
	}
	return sent.Sub(*terminated)
}

// sendRequest writes a request, whose body takes a while.
func sendRequest(c net.Conn, class, id string, bodyTime time.Duration) error {
	if class == "look" {
		_, err := io.WriteString(c, requestOf(class, id))
		return err
	}
	const half = "half"
	head := lbtest.Head("POST", class, id, "Idempotency-Key: k-"+id, fmt.Sprintf("Content-Length: %d", 2*len(half)))
	if _, err := io.WriteString(c, head+half); err != nil {
		return err
	}
	time.Sleep(bodyTime)
	_, err := io.WriteString(c, half)
	return err
}

// run plays the day.
func (d *shutdownDay) run() {
	stopClients := make(chan struct{})
	for i := range 36 {
		d.clients.Go(func() {
			c := &client{day: d, site: i % 3, addr: d.addrs[i%3], keeps: i%2 == 0}
			defer c.close()
			for {
				select {
				case <-stopClients:
					return
				case <-time.After(d.upTo(80 * time.Millisecond)):
					c.request()
				}
			}
		})
	}
	for range 3 {
		time.Sleep(d.upTo(400 * time.Millisecond))
		d.reloadAtRandom(d.chance(3))
	}
	d.disturbLinks()
	var ending sync.WaitGroup
	for _, site := range d.ends {
		ending.Go(func() {
			time.Sleep(d.upTo(100 * time.Millisecond))
			now := time.Now()
			d.terminated[site].Store(&now)
			g := d.all[site]
			g.Shutdown()
			g.Close()
		})
	}
	ending.Wait()
	close(stopClients)
	d.clients.Wait()
}

// Three sites whose endpoints hang, reset and lose requests, under reloads, some of whose gateways then end: a request that a gateway has taken
// is left unanswered or answered late, or a key takes effect twice.
func TestShutdownSoak(t *testing.T) {
	t.Parallel()
	for i := range uint64(*shutdownSeeds) {
		seed := *shutdownSeed + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			d := newShutdownDay(t, seed)
			d.run()
			if keys := d.duplicates(); len(keys) > 0 {
				t.Errorf("%d keys took effect twice: %v", len(keys), keys)
			}
			t.Logf("deadline %v, stop %v, %d%% hang, sites %v end: %d requests, %d served, %d answered after SIGTERM", d.deadline, d.stop, d.hangs, d.ends,
				d.requests.Load(), d.served.Load(), d.ended.Load())
			if d.ended.Load() == 0 {
				t.Error("tests nothing: no request was answered after SIGTERM")
			}
		})
	}
}
