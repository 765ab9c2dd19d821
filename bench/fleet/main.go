// Command fleet measures what it costs to hold keys to their group, alone and over a fleet, and what membership costs by
// the number of members. All runs in one process, on loopback; figures are ratios within one run.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/memberlist"

	"silvertrail/internal/fleet"
	"silvertrail/internal/gateway"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/testkit/fake"
)

type options struct {
	Rounds  int           `default:"5" help:"Rounds of all variants, in turn; 0: no keys are measured."`
	Each    time.Duration `default:"1s" help:"How long a variant runs in a round."`
	Callers int           `default:"16" help:"Connections that ask, each waiting for its answer."`
	Profile string        `placeholder:"FILE" help:"Write a CPU profile of the measurement of keys."`
	Members []int         `default:"10,100,500" help:"Sizes of the fleets whose membership is measured; 0: none."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Measure the fleet."))
	if o.Profile != "" {
		f, err := os.Create(o.Profile)
		if err == nil {
			err = pprof.StartCPUProfile(f)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	var err error
	if o.Rounds > 0 {
		err = o.keys()
	}
	pprof.StopCPUProfile()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for _, n := range o.Members {
		if n > 0 {
			for _, views := range []bool{false, true} {
				if err := membership(n, views); err != nil {
					fmt.Fprintln(os.Stderr, err)
					os.Exit(1)
				}
			}
		}
	}
}

// counted is a transport that counts what it sends.
type counted struct {
	*fleet.Transport
	bytes, packets *atomic.Int64
}

func (c *counted) WriteTo(b []byte, addr string) (time.Time, error) {
	c.bytes.Add(int64(len(b)) + 28) // IP and UDP heads
	c.packets.Add(1)
	return c.Transport.WriteTo(b, addr)
}

func (c *counted) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return c.WriteTo(b, a.Addr)
}

var traffic, packets atomic.Int64

// instance returns the options of a fleet's instance on a free port.
func instance(i int, seeds, voters []string) (*fleet.Options, error) {
	t, err := fleet.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &fleet.Options{FleetName: "bench", Name: fmt.Sprint("i", i), Listen: t.Addr(), Seeds: seeds,
		Keyring: [][]byte{bytes.Repeat([]byte{3}, 32)}, Voters: voters, MaxMembers: 1000, MaxKeys: 1 << 18, NewFleet: true, MaxDeadline: 2 * time.Second,
		KeyRetention: 10 * time.Second, Log: slog.New(slog.DiscardHandler), Transport: &counted{t, &traffic, &packets}}, nil
}

const text = `
process {
  sockets = 1024
  keys    = 1000000
}
class "keyed" {
  aim      = "2s"
  deadline = "2s"
  effect   = "keyed"
  scope    = "zone"
  window   = "2s"
  keep     = "1s"
}
class "unsafe" {
  aim      = "2s"
  deadline = "2s"
  effect   = "unsafe"
}
listener "l" {
  address     = "127.0.0.1:0"
  connections = 400
}
cluster "c" {
  endpoint "a" {
    address = "%s"
  }
  endpoint "b" {
    address = "%s"
  }
}
route "keyed" {
  match {
    prefix = "/keyed"
  }
  class   = "keyed"
  cluster = "c"
}
route "unsafe" {
  class   = "unsafe"
  cluster = "c"
}
`

// variant is one way of serving; its fleet stands throughout.
type variant struct {
	name, path string
	addr       string
	latencies  []time.Duration
	throughput []float64
	sent       int64 // bytes between instances
}

// keys measures requests without a key, keyed ones in one process, and in fleets of which all are voters.
func (o *options) keys() error {
	var nodos []any
	for i := range 2 {
		n, err := fake.NewEndpoint(fake.EndpointOptions{Name: fmt.Sprint("n", i)})
		if err != nil {
			return err
		}
		defer n.Close()
		nodos = append(nodos, n.Addr)
	}
	var variants []*variant
	for _, size := range []int{0, 1, 3, 5} {
		var voters, seeds []string
		for i := range max(size, 1) {
			voters = append(voters, fmt.Sprint("i", i))
		}
		var first *gateway.Gateway
		for i := range max(size, 1) {
			file, err := conf.Parse(fmt.Appendf(nil, text, nodos...), "bench.hcl")
			if err != nil {
				return err
			}
			if size > 0 {
				if file.Fleet, err = instance(i, seeds, voters); err != nil {
					return err
				}
				seeds = append(seeds, file.Fleet.Listen)
			}
			g, err := gateway.Start(file, slog.New(slog.DiscardHandler))
			if err != nil {
				return err
			}
			defer g.Close()
			if first == nil {
				first = g
			}
		}
		addr := first.Addr("l").String()
		if size == 0 {
			variants = append(variants, &variant{name: "no key", path: "/", addr: addr}, &variant{name: "key, alone", path: "/keyed", addr: addr})
			continue
		}
		variants = append(variants, &variant{name: fmt.Sprint("key, fleet of ", size), path: "/keyed", addr: addr})
	}
	time.Sleep(2 * time.Second) // for the fleets to have met
	for round := range o.Rounds + 1 {
		for _, v := range variants {
			before := traffic.Load()
			latencies, failed := o.load(v)
			if failed > 0 {
				fmt.Printf("%s: %d failed\n", v.name, failed)
			}
			if round == 0 {
				continue // warm-up
			}
			v.sent += traffic.Load() - before
			v.throughput = append(v.throughput, float64(len(latencies))/o.Each.Seconds())
			v.latencies = append(v.latencies, latencies...)
		}
	}
	base := variants[0]
	fmt.Printf("%-16s %10s %8s %8s %8s %8s %14s %s\n", "", "a second", "ratio", "median", "ratio", "99th", "bytes/request", "spread of the rounds")
	for _, v := range variants {
		slices.Sort(v.latencies)
		mid, high := at(v.latencies, 0.5), at(v.latencies, 0.99)
		bm := at(base.latencies, 0.5)
		fmt.Printf("%-16s %10.0f %8.2f %8v %8.2f %8v %14.0f %.0f to %.0f\n", v.name, mean(v.throughput), mean(v.throughput)/mean(base.throughput),
			mid.Round(time.Microsecond), float64(mid)/float64(bm), high.Round(time.Microsecond), float64(v.sent)/float64(len(v.latencies)),
			slices.Min(v.throughput), slices.Max(v.throughput))
	}
	return nil
}

func at(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

func mean(x []float64) (sum float64) {
	for _, v := range x {
		sum += v / float64(len(x))
	}
	return sum
}

// load asks with all callers for a while.
func (o *options) load(v *variant) (latencies []time.Duration, failed int) {
	var mu sync.Mutex
	var crowd sync.WaitGroup
	end := time.Now().Add(o.Each)
	for range o.Callers {
		crowd.Go(func() {
			c, err := net.Dial("tcp", v.addr)
			if err != nil {
				return
			}
			defer c.Close()
			br := bufio.NewReader(c)
			var own []time.Duration
			bad := 0
			for time.Now().Before(end) {
				began := time.Now()
				fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nIdempotency-Key: %016x\r\n\r\n", v.path, rand.Uint64())
				r, err := http.ReadResponse(br, nil)
				if err != nil {
					bad++
					break
				}
				io.Copy(io.Discard, r.Body)
				r.Body.Close()
				if r.StatusCode != http.StatusOK {
					bad++
					continue
				}
				own = append(own, time.Since(began))
			}
			mu.Lock()
			defer mu.Unlock()
			latencies, failed = append(latencies, own...), failed+bad
		})
	}
	crowd.Wait()
	return latencies, failed
}

// resident returns the process's resident memory in bytes.
func resident() int64 {
	runtime.GC()
	text, _ := os.ReadFile("/proc/self/status")
	var kb int64
	for line := range strings.SplitSeq(string(text), "\n") {
		if strings.HasPrefix(line, "VmRSS:") {
			fmt.Sscanf(line, "VmRSS: %d", &kb)
		}
	}
	return kb << 10
}

// membership measures a fleet of n: memory, traffic when nothing happens, and how long it takes until a member that ends
// without a word is known to be lost everywhere, and until its part is taken over. With views or, as before, by memberlist.
func membership(n int, views bool) error {
	before := resident()
	var all []*fleet.Fleet
	var seeds []string
	began := time.Now()
	for i := range n {
		o, err := instance(i, seeds, nil)
		if err != nil {
			return err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, o.Listen)
		}
		o.Views = views
		f, err := fleet.Start(*o)
		if err != nil {
			return err
		}
		defer f.Close()
		all = append(all, f)
	}
	if !until(2*time.Minute, func() bool { return sees(all, n, "alive") }) {
		return fmt.Errorf("%d members do not see each other after two minutes", n)
	}
	met := time.Since(began)
	time.Sleep(5 * time.Second) // the news has gone round
	bytes, count := traffic.Load(), packets.Load()
	const calm = 10 * time.Second
	time.Sleep(calm)
	bytes, count = traffic.Load()-bytes, packets.Load()-count
	memory := resident() - before
	all[n-1].Close()
	began = time.Now()
	lost := "not within a minute"
	if until(time.Minute, func() bool { return sees(all[:n-1], n-1, "alive") }) {
		lost = time.Since(began).Round(100 * time.Millisecond).String()
	}
	over := "not within a minute"
	if until(time.Minute, func() bool { return all[0].Quota().Instances == len(all)-1 }) {
		over = time.Since(began).Round(100 * time.Millisecond).String()
	}
	fmt.Printf("%d members, views %v: met in %v, %.0f KB each, %.0f bytes and %.1f packets a second each, one lost is known everywhere after %s, taken over after %s\n", n, views,
		met.Round(100*time.Millisecond), float64(memory)/float64(n)/1024, float64(bytes)/float64(n)/calm.Seconds(),
		float64(count)/float64(n)/calm.Seconds(), lost, over)
	return nil
}

func sees(all []*fleet.Fleet, n int, state string) bool {
	for _, f := range all {
		if r, ok := f.Reachability(); ok { // out by a view, not suspected alone
			if len(r.Members) != n {
				return false
			}
			continue
		}
		alive := 0
		for _, m := range f.Members() {
			if m.State == state {
				alive++
			}
		}
		if alive != n {
			return false
		}
	}
	return true
}

func until(most time.Duration, ok func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
