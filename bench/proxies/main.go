// Command proxies measures the product, the platform's sidecar and net/http/httputil.ReverseProxy on the same
// endpoints: throughput, median and 99th percentile, in rounds taken in turn, as ratios to ReverseProxy. Each proxy has
// one core, the endpoints one and the callers what is left.
//
//	go build -o bin/ ./cmd/... && go run ./bench/proxies -rounds 7
//	go run ./bench/proxies -role scale
//
// It is no test: machines are noisy, so that ratios of one run alone mean something.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

var (
	role    = flag.String("role", "", "empty: compare proxies; scale: memory and reloads of the product; endpoint, reverse: a process of the measurement")
	target  = flag.String("target", "", "for -role reverse: the endpoint")
	address = flag.String("listen", "", "for -role endpoint and reverse: the address")
	rounds  = flag.Int("rounds", 5, "rounds")
	seconds = flag.Float64("seconds", 2, "of each round and proxy")
	conns   = flag.Int("conns", 16, "callers, each on a connection that is kept")
	routes  = flag.Int("routes", 100, "routes of the product")
	binary  = flag.String("bin", "bin/silvertrail", "the program")
	only    = flag.String("only", "", "names of the proxies to measure, with commas between; empty: all")
	profile = flag.Bool("wait", false, "keep the proxies up until Enter is pressed, for profiles")
)

func main() {
	flag.Parse()
	log.SetFlags(0)
	var err error
	switch *role {
	case "endpoint":
		err = endpoint()
	case "reverse":
		err = reverse()
	default:
		err = measure()
	}
	if err != nil {
		log.Fatal("proxies: ", err)
	}
}

func endpoint() error {
	body := bytes.Repeat([]byte("x"), 512)
	return http.ListenAndServe(*address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/plain")
		w.Header().Set("Content-Length", "512")
		w.Write(body)
	}))
}

func reverse() error {
	to := &url.URL{Scheme: "http", Host: *target}
	p := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(to); r.SetXForwarded() },
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxIdleConns: 64}}
	return http.ListenAndServe(*address, p)
}

// child starts a process on one core.
func child(core string, env []string, name string, args ...string) (cmd *exec.Cmd, stop func(), err error) {
	if set, err := exec.LookPath("taskset"); err == nil {
		args = append([]string{"-c", core, name}, args...)
		name = set
	}
	cmd = exec.Command(name, args...)
	cmd.Env = append(append(os.Environ(), "GOMAXPROCS=1"), env...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	return cmd, func() { cmd.Process.Kill(); cmd.Wait() }, nil
}

// own starts this program in another role, on an address that it returns.
func own(core string, args ...string) (addr string, stop func(), err error) {
	self, err := os.Executable()
	if err != nil {
		return "", nil, err
	}
	addr = free()
	_, stop, err = child(core, nil, self, append(args, "-listen", addr)...)
	return addr, stop, err
}

type proxy struct {
	name, addr string
	throughput []float64
	p50, p99   []float64
	longest    []float64
}

func measure() error {
	folder, err := os.MkdirTemp("", "proxies-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	back, stop, err := own("1", "-role", "endpoint")
	if err != nil {
		return err
	}
	defer stop()
	if err := up(back); err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	if *role == "scale" {
		return scale(folder, back)
	}
	proxies := []*proxy{{name: "reverse"}, {name: "sidecar"}, {name: "product"}}
	if *only != "" {
		proxies = slices.DeleteFunc(proxies, func(p *proxy) bool { return !slices.Contains(strings.Split(*only, ","), p.name) })
	}
	for _, p := range proxies {
		var stop func()
		switch p.name {
		case "reverse":
			p.addr, stop, err = own("0", "-role", "reverse", "-target", back)
		case "sidecar":
			p.addr, stop, err = sidecar(folder, back)
		default:
			p.addr, stop, err = product(folder, back)
		}
		if err != nil {
			return err
		}
		defer stop()
		if err := up(p.addr); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	for range *rounds {
		for _, p := range proxies {
			if err := p.round(); err != nil {
				return fmt.Errorf("%s: %w", p.name, err)
			}
		}
	}
	base := proxies[0]
	fmt.Printf("%-9s %10s %9s %9s   ratios to %s\n", "", "requests/s", "p50 µs", "p99 µs", base.name)
	for _, p := range proxies {
		fmt.Printf("%-9s %10.0f %9.0f %9.0f   %.2f %.2f %.2f\n", p.name, median(p.throughput), median(p.p50), median(p.p99),
			median(p.throughput)/median(base.throughput), median(p.p50)/median(base.p50), median(p.p99)/median(base.p99))
	}
	if *profile {
		bufio.NewReader(os.Stdin).ReadString('\n')
	}
	return nil
}

func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2]
}

func free() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer l.Close()
	return l.Addr().String()
}

func up(addr string) error {
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			return c.Close()
		}
		if time.Now().After(end) {
			return err
		}
	}
}

const settings = `{"balancers": 1, "me": 0, "tier": 0, "zone": 0, "zones": ["a"],
	"classes": [{"name": "read", "deadline": 5, "goal_time": 2, "effect": "free", "worth": 1}],
	"customers": [], "limits": {"cancelling": true, "conn_idle": 5, "dial_timeout": 1, "max_attempts": 3, "may_duplicate": true},
	"obligations": {"cold": 10, "fall": 2, "fall_multiple": 2.5, "start_capacity": 0.2},
	"registry_mode": "pushed", "telemetry": {"fields": [], "via": "none"}}`

func sidecar(folder, back string) (string, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("index") {
			select {
			case <-time.After(2 * time.Second):
			case <-r.Context().Done():
			}
		}
		json.NewEncoder(w).Encode(map[string]any{"index": 1, "snapshot": true, "endpoints": []map[string]any{
			{"name": "s", "address": back, "zone": "a", "group": 1, "status": "ready", "since_ms": 0}}})
	}))
	addr := free()
	path := filepath.Join(folder, "config.json")
	text := fmt.Sprintf(`{"name": "n0", "listen": %q, "discovery": %q, "seed": "1f",
		"limits": {"cores": 1, "memory_mb": 128, "sockets": 512}, "settings": %s}`, addr, l.Addr().String(), settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", nil, err
	}
	_, stop, err := child("0", []string{"LB_CONFIG=" + path}, *binary)
	return addr, stop, err
}

func product(folder, back string) (string, func(), error) {
	addr := free()
	var b strings.Builder
	fmt.Fprintf(&b, "class \"read\" {\n aim = \"2s\"\n deadline = \"5s\"\n effect = \"safe\"\n}\nlistener \"l\" {\n address = %q\n}\n"+
		"cluster \"c\" {\n endpoint \"s\" {\n address = %q\n }\n}\nroute \"read\" {\n match {\n prefix = \"/read\"\n }\n class = \"read\"\n cluster = \"c\"\n}\n", addr, back)
	for i := range *routes {
		fmt.Fprintf(&b, "route \"r%d\" {\n match {\n prefix = \"/p%d/x\"\n }\n class = \"read\"\n cluster = \"c\"\n}\n", i, i)
	}
	path := filepath.Join(folder, "silvertrail.hcl")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		return "", nil, err
	}
	_, stop, err := child("0", nil, *binary, "serve", "--config", path)
	return addr, stop, err
}

// round has all callers ask one after the other for a time.
func (p *proxy) round() error {
	end := time.Now().Add(time.Duration(*seconds * float64(time.Second)))
	var all sync.WaitGroup
	var mu sync.Mutex
	var took []time.Duration
	var failed error
	for range *conns {
		all.Go(func() {
			mine, err := caller(p.addr, end)
			mu.Lock()
			defer mu.Unlock()
			took = append(took, mine...)
			if err != nil {
				failed = err
			}
		})
	}
	all.Wait()
	if failed != nil || len(took) == 0 {
		return fmt.Errorf("%d answers: %w", len(took), failed)
	}
	slices.Sort(took)
	at := func(q float64) float64 { return float64(took[int(q*float64(len(took)-1))]) / float64(time.Microsecond) }
	p.throughput = append(p.throughput, float64(len(took)) / *seconds)
	p.p50, p.p99 = append(p.p50, at(0.5)), append(p.p99, at(0.99))
	p.longest = append(p.longest, at(1))
	return nil
}

var ids = struct {
	sync.Mutex
	n uint64
}{n: uint64(time.Now().UnixNano())}

func caller(addr string, end time.Time) (took []time.Duration, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	br := bufio.NewReaderSize(c, 8<<10)
	ids.Lock()
	ids.n += 1 << 24
	id := ids.n
	ids.Unlock()
	var text []byte
	for time.Now().Before(end) {
		id++
		text = append(text[:0], "GET /read/seats HTTP/1.1\r\nHost: app.example\r\nUser-Agent: bench\r\nAccept: */*\r\nX-Priority-Class: read\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 4000\r\nX-Request-ID: "...)
		text = strconv.AppendUint(text, id, 16)
		text = append(text, "\r\n\r\n"...)
		began := time.Now()
		if _, err := c.Write(text); err != nil {
			return took, err
		}
		if err := answer(br); err != nil {
			return took, err
		}
		took = append(took, time.Since(began))
	}
	return took, nil
}

func answer(br *bufio.Reader) error {
	line, err := br.ReadSlice('\n')
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(line, []byte("HTTP/1.1 200 ")) {
		return fmt.Errorf("answer %q", line)
	}
	length := 0
	for {
		if line, err = br.ReadSlice('\n'); err != nil {
			return err
		}
		if len(line) <= 2 {
			break
		}
		if rest, is := bytes.CutPrefix(line, []byte("Content-Length: ")); is {
			if length, err = strconv.Atoi(string(bytes.TrimSpace(rest))); err != nil {
				return err
			}
		}
	}
	_, err = br.Discard(length)
	return err
}
