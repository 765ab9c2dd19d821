// Command salas measures links between salas, all on loopback in one process: what a hop costs beside the same hop through
// httputil.ReverseProxy on HTTP/2, a link on a long and lossy way beside a connection for each request, the time until
// a silent cut is noticed, and the worth that is served while a sala fails. Figures are ratios of one run.
package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"

	"silvertrail/internal/gateway"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/testkit/fake"
)

func main() {
	var c struct {
		Hop  hop  `cmd:"" help:"What a hop costs."`
		Loss loss `cmd:"" help:"A long and lossy way: one link, or a connection for each request."`
		Cut  cut  `cmd:"" help:"From a silent cut to the first request that goes elsewhere."`
		Lost lost `cmd:"" help:"Worth served in the seconds after a sala has lost its nodos."`
	}
	if err := kong.Parse(&c).Run(); err != nil {
		log.Fatal(err)
	}
}

var names = []string{"centro", "norte", "sur"}

// salas are three salas with a gateway and nodos each, and paths between the gateways.
type salas struct {
	folder string
	nodos  [3][]*fake.Endpoint
	paths  [3][3]*fake.Path
	all    [3]*gateway.Gateway
}

const classes = `
class "low" {
  aim = "1s"
  deadline = "2s"
  effect = "safe"
  worth = 1
}
class "high" {
  aim = "1s"
  deadline = "2s"
  effect = "unsafe"
  worth = 10
}
`

// start starts them. In a sala that is empty from the start nothing can be served.
func start(o fake.EndpointOptions, nodos int, empty, cross bool) (*salas, error) {
	s := &salas{}
	var err error
	if s.folder, err = os.MkdirTemp("", "silvertrail-salas-"); err != nil {
		return nil, err
	}
	authority, err := fake.NewAuthority(s.folder, "salas")
	if err != nil {
		return nil, err
	}
	for i, sala := range names {
		for j := range nodos {
			o.Name = fmt.Sprintf("%s-%d", sala, j)
			n, err := fake.NewEndpoint(o)
			if err != nil {
				return nil, err
			}
			s.nodos[i] = append(s.nodos[i], n)
		}
		if err := authority.Issue(s.file(sala+".pem"), s.file(sala+".key"), sala, time.Now().Add(time.Hour)); err != nil {
			return nil, err
		}
		for j := range names {
			if s.paths[i][j], err = fake.NewPath("127.0.0.1:1"); err != nil {
				return nil, err
			}
		}
	}
	for i := range names {
		file, err := conf.Parse([]byte(s.text(i, empty && i == 0, cross)), "bench.hcl")
		if err != nil {
			return nil, err
		}
		if s.all[i], err = gateway.Start(file, slog.New(slog.DiscardHandler)); err != nil {
			return nil, err
		}
		for j := range names {
			s.paths[j][i].SetTarget(s.all[i].LinkAddr())
		}
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if s.linked() {
			return s, nil
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("the salas are not linked")
		}
	}
}

func (s *salas) file(name string) string { return filepath.Join(s.folder, name) }

func (s *salas) linked() bool {
	for _, g := range s.all {
		for _, v := range g.Links(context.Background()) {
			if v.State == "closed" {
				return false
			}
		}
	}
	return true
}

func (s *salas) close() {
	for i := range names {
		s.all[i].Close()
		for _, n := range s.nodos[i] {
			n.Close()
		}
		for _, p := range s.paths[i] {
			p.Close()
		}
	}
	os.RemoveAll(s.folder)
}

func (s *salas) text(i int, empty, cross bool) string {
	var b strings.Builder
	me := names[i]
	fmt.Fprintf(&b, "%sprocess {\n zones = [%q]\n zone = %q\n sockets = 4096\n}\nlistener \"l\" {\n address = \"127.0.0.1:0\"\n}\ncluster \"c\" {\n", classes, me, me)
	for j, n := range s.nodos[i] {
		status := "ready"
		if empty {
			status = "draining"
		}
		fmt.Fprintf(&b, " endpoint \"n%d\" {\n  address = %q\n  status = %q\n }\n", j, n.Addr, status)
	}
	fmt.Fprintf(&b, "}\nlink %q {\n listen = \"127.0.0.1:0\"\n certificate = %q\n key = %q\n authority = %q\n", me, s.file(me+".pem"), s.file(me+".key"), s.file("salas.pem"))
	var others []string
	for j, other := range names {
		if j != i {
			fmt.Fprintf(&b, " peer %q {\n  address = %q\n }\n", other, s.paths[i][j].Addr)
			others = append(others, fmt.Sprintf("%q", other))
		}
	}
	b.WriteString("}\n")
	for _, class := range []string{"low", "high"} {
		fmt.Fprintf(&b, "route %q {\n match {\n  prefix = \"/%s\"\n }\n class = %q\n cluster = \"c\"\n", class, class, class)
		if cross {
			fmt.Fprintf(&b, " cross = [%s]\n", strings.Join(others, ", "))
		}
		b.WriteString("}\n")
	}
	return b.String()
}

// direct has the gateways link with no path between them.
func (s *salas) direct() error {
	for i := range names {
		text := s.text(i, i == 0, true)
		for j := range names {
			text = strings.ReplaceAll(text, s.paths[i][j].Addr, s.all[j].LinkAddr())
		}
		file, err := conf.Parse([]byte(text), "bench.hcl")
		if err != nil {
			return err
		}
		if err := s.all[i].Reload(file); err != nil {
			return err
		}
	}
	for !s.linked() {
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

func (s *salas) url(i int) string { return "http://" + s.all[i].Addr("l").String() }

func client(conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns, MaxConnsPerHost: 0, DisableCompression: true}}
}

// ask makes one request and returns its status; 0: none came.
func ask(ctx context.Context, c *http.Client, method, url string) int {
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return 0
	}
	a, err := c.Do(r)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0
	}
	return a.StatusCode
}

// load asks a URL from so many callers that each wait for their answer, for some time, and returns the latencies of what was
// served, in microseconds.
func load(url string, callers int, d time.Duration, c *http.Client) (h *hdrhistogram.Histogram, failed int64) {
	h = hdrhistogram.New(1, 60e6, 3)
	var mu sync.Mutex
	var bad atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(d)
	for range callers {
		wait.Go(func() {
			own := hdrhistogram.New(1, 60e6, 3)
			for time.Now().Before(end) {
				begun := time.Now()
				if ask(context.Background(), c, "GET", url) != 200 {
					bad.Add(1)
					continue
				}
				own.RecordValue(max(time.Since(begun).Microseconds(), 1))
			}
			mu.Lock()
			defer mu.Unlock()
			h.Merge(own)
		})
	}
	wait.Wait()
	return h, bad.Load()
}

func line(what string, h *hdrhistogram.Histogram, d time.Duration, failed int64) {
	fmt.Printf("%-28s %8.0f a second   median %7d us   99th %7d us   failed %d\n", what, float64(h.TotalCount())/d.Seconds(),
		h.ValueAtPercentile(50), h.ValueAtPercentile(99), failed)
}

type hop struct {
	Rounds  int           `default:"5"`
	Each    time.Duration `default:"1s"`
	Callers []int         `default:"1,64"`
}

func (o *hop) Run() error {
	s, err := start(fake.EndpointOptions{}, 2, true, true)
	if err != nil {
		return err
	}
	defer s.close()
	far, near, stop, err := chain("http://"+s.nodos[1][0].Addr, nil)
	if err != nil {
		return err
	}
	defer stop()
	if err := s.direct(); err != nil {
		return err
	}
	ways := []struct{ name, url string }{{"silvertrail, own sala", s.url(1) + "/low"}, {"silvertrail, one hop", s.url(0) + "/low"},
		{"ReverseProxy, one", far + "/low"}, {"ReverseProxy, one hop", near + "/low"}}
	for _, callers := range o.Callers {
		total := make([]*hdrhistogram.Histogram, len(ways))
		failed := make([]int64, len(ways))
		medians, tails := make([][]int64, len(ways)), make([][]int64, len(ways))
		c := client(callers)
		for i, w := range ways {
			total[i] = hdrhistogram.New(1, 60e6, 3)
			load(w.url, callers, o.Each/2, c)
		}
		for range o.Rounds {
			for i, w := range ways {
				h, bad := load(w.url, callers, o.Each, c)
				total[i].Merge(h)
				failed[i] += bad
				medians[i], tails[i] = append(medians[i], h.ValueAtPercentile(50)), append(tails[i], h.ValueAtPercentile(99))
			}
		}
		fmt.Printf("%d callers, %d rounds of %v\n", callers, o.Rounds, o.Each)
		for i, w := range ways {
			line(w.name, total[i], time.Duration(o.Rounds)*o.Each, failed[i])
			fmt.Printf("%28s rounds: median %d to %d, 99th %d to %d\n", "", slices.Min(medians[i]), slices.Max(medians[i]), slices.Min(tails[i]), slices.Max(tails[i]))
		}
	}
	return nil
}

type loss struct {
	Delay   time.Duration `default:"15ms" help:"In each direction."`
	Loss    float64       `default:"0.02"`
	Callers int           `default:"32"`
	Each    time.Duration `default:"5s"`
	Rounds  int           `default:"3"`
}

func (o *loss) Run() error {
	s, err := start(fake.EndpointOptions{}, 2, true, true)
	if err != nil {
		return err
	}
	defer s.close()
	path, err := fake.NewPath("127.0.0.1:1")
	if err != nil {
		return err
	}
	defer path.Close()
	_, near, stop, err := chain("http://"+s.nodos[1][0].Addr, path)
	if err != nil {
		return err
	}
	defer stop()
	for _, part := range []float64{0, o.Loss} {
		for _, p := range append([]*fake.Path{path}, s.paths[0][:]...) {
			p.Shape(o.Delay, part, 0)
		}
		c := client(o.Callers)
		load(s.url(0)+"/low", o.Callers, time.Second, c) // the windows have grown by then
		for range o.Rounds {
			before := s.bytes()
			h, bad := load(s.url(0)+"/low", o.Callers, o.Each, c)
			fmt.Printf("bytes on the wire for each request, both ways: %d\n", (s.bytes()-before)/max(h.TotalCount(), 1))
			line(fmt.Sprintf("one link, loss %.0f%%", part*100), h, o.Each, bad)
			h, bad = load(near+"/low", o.Callers, o.Each, c)
			line("a connection for each", h, o.Each, bad)
		}
		for _, v := range s.all[0].Links(context.Background()) {
			fmt.Printf("  sessions with %s so far: %d\n", v.Name, v.Sessions)
		}
	}
	return nil
}

// bytes are those that have gone over the first sala's links.
func (s *salas) bytes() (n int64) {
	for _, p := range s.paths[0][1:] {
		n += p.Bytes(fake.ToServer) + p.Bytes(fake.ToClient)
	}
	return n
}

type cut struct {
	Times int `default:"20"`
}

func (o *cut) Run() error {
	s, err := start(fake.EndpointOptions{}, 1, true, true)
	if err != nil {
		return err
	}
	defer s.close()
	c := client(16)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	for range 16 {
		wait.Go(func() {
			for ctx.Err() == nil {
				ask(ctx, c, "GET", s.url(0)+"/low")
				time.Sleep(time.Millisecond)
			}
		})
	}
	var took, noticed []time.Duration
	for range o.Times {
		for !s.linked() {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		before := [3]int64{1: s.nodos[1][0].Requests(), 2: s.nodos[2][0].Requests()}
		time.Sleep(100 * time.Millisecond)
		in := 1 // the sala in use
		if s.nodos[2][0].Requests()-before[2] > s.nodos[1][0].Requests()-before[1] {
			in = 2
		}
		other := s.nodos[3-in][0]
		path := s.paths[0][in]
		path.Block(fake.ToServer, true)
		path.Block(fake.ToClient, true)
		begun, n := time.Now(), other.Requests()
		for other.Requests() == n && time.Since(begun) < 10*time.Second {
			time.Sleep(100 * time.Microsecond)
		}
		took = append(took, time.Since(begun))
		for s.all[0].Links(ctx)[in-1].State != "closed" && time.Since(begun) < 10*time.Second {
			time.Sleep(100 * time.Microsecond)
		}
		noticed = append(noticed, time.Since(begun))
		path.Block(fake.ToServer, false)
		path.Block(fake.ToClient, false)
	}
	for what, all := range map[string][]time.Duration{"the first request elsewhere": took, "nothing more is sent there": noticed} {
		slices.Sort(all)
		fmt.Printf("from a silent cut until %s, %d times: median %v, longest %v\n", what, len(all),
			all[len(all)/2].Round(time.Millisecond), all[len(all)-1].Round(time.Millisecond))
	}
	return nil
}
