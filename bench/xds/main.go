// Command xds measures clusters and endpoints in xDS form, on loopback: how soon a request follows an update, with traffic; and what
// large updates cost in CPU and memory, in both variants. The control plane is a process of its own, so that the costs are the client's.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"silvertrail/internal/gateway"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/xdsserver"
	"silvertrail/internal/xds"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/bootstrap"
	"silvertrail/internal/xds/cache"
	"silvertrail/internal/xds/selection"
)

type commands struct {
	Follow follow `cmd:"" help:"Time from an update to the first request that follows it, with traffic."`
	Large  large  `cmd:"" help:"CPU and memory while 1 % of the endpoints change each second."`
	Plane  serve  `cmd:"" hidden:"" help:"The control plane of \"large\"."`
}

func main() {
	k := kong.Parse(&commands{})
	if err := k.Run(); err != nil {
		log.Fatal(err)
	}
}

const maxMessage = 64 << 20

type follow struct {
	Updates int   `default:"300" help:"Updates for each line."`
	Callers int   `default:"16"`
	Sizes   []int `default:"2,1000,10000" help:"Endpoints of the set."`
}

// Run moves all traffic from one nodo to the other and back, by updates of sets of several sizes; the other endpoints drain.
func (f *follow) Run() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "VARIANT\tENDPOINTS\tUPDATES\tFIRST REQUEST AT THE NEW ONE p50\tp99\tMOST\tLAST AT THE OLD ONE p50\tp99\tMOST\tFAILED")
	for _, variant := range []string{"delta", "whole"} {
		for _, size := range f.Sizes {
			first, last, failed, err := f.play(variant, size)
			if err != nil {
				return err
			}
			ms := func(h *hdrhistogram.Histogram, q float64) string {
				return fmt.Sprintf("%.1f ms", float64(h.ValueAtQuantile(q))/1000)
			}
			fmt.Fprintf(os.Stderr, "%s, %d endpoints: done\n", variant, size)
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n", variant, size, f.Updates, ms(first, 50), ms(first, 99), ms(first, 100), ms(last, 50), ms(last, 99), ms(last, 100), failed)
		}
	}
	return w.Flush()
}

func (f *follow) play(variant string, size int) (first, last *hdrhistogram.Histogram, failed int64, err error) {
	first, last = hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	plane, err := xdsserver.Start("127.0.0.1:0", grpc.MaxSendMsgSize(maxMessage))
	if err != nil {
		return nil, nil, 0, err
	}
	defer plane.Close()
	var nodos [2]*fake.Endpoint
	var came [2]atomic.Int64 // when the last request came, in microseconds
	begun := time.Now()
	for i := range nodos {
		if nodos[i], err = fake.NewEndpoint(fake.EndpointOptions{Name: fmt.Sprint("n", i), Fault: func(*http.Request) fake.Fault {
			came[i].Store(time.Since(begun).Microseconds())
			return fake.NoFault
		}}); err != nil {
			return nil, nil, 0, err
		}
		defer nodos[i].Close()
	}
	health := func(on bool) corev3.HealthStatus {
		if on {
			return corev3.HealthStatus_HEALTHY
		}
		return corev3.HealthStatus_DRAINING
	}
	var rest []*endpointv3.LbEndpoint
	for i := range size - 2 {
		rest = append(rest, xdsserver.Endpoint(fmt.Sprintf("127.1.%d.%d:9", i/250, i%250+1), corev3.HealthStatus_DRAINING, 0))
	}
	put := func(on int) error {
		return plane.Put(fmt.Sprint(time.Now().UnixNano()), xdsserver.Cluster("c"), xdsserver.EndpointSet("c", "", append([]*endpointv3.LbEndpoint{
			xdsserver.Endpoint(nodos[0].Addr, health(on == 0), 0), xdsserver.Endpoint(nodos[1].Addr, health(on == 1), 0)}, rest...)...))
	}
	if err := put(0); err != nil {
		return nil, nil, 0, err
	}
	file, err := conf.Parse([]byte(fmt.Sprintf(`
class "read" {
  aim = "1s"
  deadline = "5s"
  effect = "safe"
}
xds {
  variant = %q
  max_message = "%dMiB"
  plane "p" {
    address = %q
    plain = true
  }
}
listener "l" {
  address = "127.0.0.1:0"
}
cluster "c" {
  xds {}
}
route "r" {
  class = "read"
  cluster = "c"
}
`, variant, maxMessage>>20, plane.Addr())), "bench.hcl")
	if err != nil {
		return nil, nil, 0, err
	}
	g, err := gateway.Start(file, slog.New(slog.DiscardHandler), gateway.WithDiscovery(func(o bootstrap.Options, l *slog.Logger) gateway.Discovery { return xds.Start(o, l) }))
	if err != nil {
		return nil, nil, 0, err
	}
	defer g.Close()
	url := "http://" + g.Addr("l").String() + "/"
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: f.Callers}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	var bad, good atomic.Int64
	var over atomic.Bool
	var all sync.WaitGroup
	defer all.Wait()
	defer over.Store(true)
	for range f.Callers {
		all.Go(func() {
			for !over.Load() {
				r, err := client.Get(url)
				if err == nil {
					io.Copy(io.Discard, r.Body)
					r.Body.Close()
				}
				if err != nil || r.StatusCode != http.StatusOK {
					if bad.Add(1) == 1 {
						log.Print("the first that failed: ", r, err)
					}
				} else {
					good.Add(1)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	for end := time.Now().Add(20 * time.Second); good.Load() < 100; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return nil, nil, 0, errors.New("no traffic")
		}
	}
	bad.Store(0)
	for n := range f.Updates {
		to, from := (n+1)%2, n%2
		if err := put(to); err != nil { // the time to build the message is not the client's
			return nil, nil, 0, err
		}
		at := time.Since(begun).Microseconds()
		for end := time.Now().Add(20 * time.Second); came[to].Load() < at; time.Sleep(50 * time.Microsecond) {
			if time.Now().After(end) {
				return nil, nil, 0, fmt.Errorf("update %d was not followed", n)
			}
		}
		first.RecordValue(came[to].Load() - at)
		time.Sleep(60 * time.Millisecond) // what is late at the old one
		last.RecordValue(max(came[from].Load()-at, 1))
	}
	return first, last, bad.Load(), nil
}

type serve struct {
	Clusters int
	Each     int
}

// Run serves clusters of as many endpoints each, of which 1 % change each second, until its input ends.
func (s *serve) Run() error {
	p, err := xdsserver.Start("127.0.0.1:0", grpc.MaxSendMsgSize(maxMessage))
	if err != nil {
		return err
	}
	defer p.Close()
	sets := make([]*endpointv3.ClusterLoadAssignment, s.Clusters)
	var all []proto.Message
	port := 1
	change := func(i int) {
		var es []*endpointv3.LbEndpoint
		if sets[i] != nil {
			es = sets[i].Endpoints[0].LbEndpoints
		}
		changed := max(s.Each/100, 1)
		for j := range s.Each {
			e := xdsserver.Endpoint(fmt.Sprintf("127.%d.%d.%d:%d", 1+i/250, i%250, j%250+1, 1000+j/250), corev3.HealthStatus_HEALTHY, 0)
			if j < len(es) {
				e = es[j]
			} else {
				es = append(es, e)
			}
			if j < changed {
				es[j] = xdsserver.Endpoint(fmt.Sprintf("127.%d.%d.%d:%d", 1+i/250, i%250, j%250+1, 20000+port%40000), corev3.HealthStatus_HEALTHY, 0)
			}
		}
		port++
		sets[i] = xdsserver.EndpointSet(fmt.Sprint("c", i), "", es...)
	}
	for i := range sets {
		change(i)
	}
	put := func() error {
		all = all[:0]
		for i := range sets {
			all = append(all, xdsserver.Cluster(fmt.Sprint("c", i)), sets[i])
		}
		return p.Put(fmt.Sprint(port), all...)
	}
	if err := put(); err != nil {
		return err
	}
	fmt.Println(p.Addr())
	ended := make(chan struct{})
	go func() {
		bufio.NewReader(os.Stdin).ReadString('\n')
		close(ended)
	}()
	for n := 0; ; n++ {
		select {
		case <-ended:
			return nil
		case <-time.After(time.Second):
		}
		for k := range max(s.Clusters/100, 1) {
			change((n*max(s.Clusters/100, 1) + k) % s.Clusters)
		}
		if err := put(); err != nil {
			return err
		}
	}
}

type large struct {
	For time.Duration `default:"12s" help:"For each line."`
}

func (l *large) Run() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "CLUSTERS\tENDPOINTS EACH\tVARIANT\tFIRST STATE IN\tCPU A SECOND\tHEAP AFTER A THIRD\tAFTER TWO\tAT THE END\tUPDATES HEARD")
	for _, size := range [][2]int{{1, 10000}, {1000, 10}} {
		for _, v := range []ads.Variant{ads.Delta, ads.StateOfTheWorld} {
			if err := l.play(w, size[0], size[1], v); err != nil {
				return err
			}
		}
	}
	return w.Flush()
}

func (l *large) play(w *tabwriter.Writer, clusters, each int, v ads.Variant) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	child := exec.Command(self, "plane", fmt.Sprintf("--clusters=%d", clusters), fmt.Sprintf("--each=%d", each))
	child.Stderr = os.Stderr
	in, err := child.StdinPipe()
	if err != nil {
		return err
	}
	out, err := child.StdoutPipe()
	if err != nil {
		return err
	}
	if err := child.Start(); err != nil {
		return err
	}
	defer child.Wait()
	defer in.Close()
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return err
	}
	begun := time.Now()
	c := xds.Start(bootstrap.Options{Variant: v, ControlPlanes: []bootstrap.ControlPlane{{Name: "p", Address: strings.TrimSpace(addr), Insecure: true}}, DeferTime: 30 * time.Second, ResourceTimeout: 15 * time.Second,
		KeepaliveTime: 30 * time.Second, MaxMessageBytes: maxMessage, Selection: selection.Timing{ResponseTimeout: 5 * time.Second, Probation: 10 * time.Second, MinBackoff: time.Second, MaxBackoff: 30 * time.Second}},
		slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn})))
	defer c.Close()
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer stop()
	var heard, ready atomic.Int64
	for i := range clusters {
		all.Go(func() {
			was := false
			c.Follow(ctx, fmt.Sprint("c", i), func(v cache.ClusterView) {
				if v.State == cache.Ready {
					v.AssignTraffic(cache.AllPriorities)
					heard.Add(1)
					if !was {
						was = true
						ready.Add(1)
					}
				}
			})
		})
	}
	for end := time.Now().Add(30 * time.Second); ready.Load() < int64(clusters); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d clusters are there", ready.Load(), clusters)
		}
	}
	first := time.Since(begun)
	heard.Store(0)
	before := cpu()
	var heaps []string
	for range 3 {
		time.Sleep(l.For / 3)
		spent := cpu()
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		before += cpu() - spent // the measurement's own
		heaps = append(heaps, fmt.Sprintf("%.1f MB", float64(m.HeapAlloc)/1e6))
	}
	used := cpu() - before
	fmt.Fprintf(w, "%d\t%d\t%s\t%v\t%.1f ms\t%s\t%d\n", clusters, each, [...]string{"whole", "delta"}[v], first.Round(time.Millisecond), used.Seconds()*1000/l.For.Seconds(),
		strings.Join(heaps, "\t"), heard.Load())
	return nil
}

// cpu is the time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
