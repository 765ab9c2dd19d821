// Command admission measures who gets in while one address floods a listener, all on loopback in one process: the product
// with groups of clients, the same with places that all wait for, and httputil.ReverseProxy behind a listener of as many
// places. Callers come back when they are told to. Figures are of one run each, in turns.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"
	"golang.org/x/net/netutil"

	"silvertrail/internal/edge/admission"
	"silvertrail/internal/gateway"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/testkit/fake"
)

type bench struct {
	Places  int           `default:"200" help:"Connections that a listener takes."`
	Reserve int           `default:"20" help:"Of them for known clients."`
	Flood   int           `default:"400" help:"Connections that the flood tries to hold: a half with halves of heads, the others with requests."`
	Parents int           `default:"40" help:"Callers from addresses of their own."`
	Known   int           `default:"4" help:"Known clients."`
	For     time.Duration `default:"6s" help:"How long each is played."`
	Rounds  int           `default:"2" help:"How often each is played."`
}

func main() {
	var b bench
	kong.Parse(&b)
	if err := b.run(); err != nil {
		log.Fatal(err)
	}
}

const config = `
class "read" {
  aim = "1s"
  deadline = "2s"
  effect = "safe"
}
clients "known" {
  networks = ["127.0.0.3"]
}
listener "l" {
  address = "127.0.0.1:0"
  connections = %d
  guard = "500ms"
  reserve "known" {
    places = %d
  }
}
process {
  sockets = 4096
}
cluster "c" {
  endpoint "e" {
    address = %q
  }
}
route "r" {
  class = "read"
  cluster = "c"
}
`

func (b *bench) run() error {
	n, err := fake.NewEndpoint(fake.EndpointOptions{Name: "n", Slots: 64, Queue: 1024, Work: 2 * time.Millisecond})
	if err != nil {
		return err
	}
	defer n.Close()
	product := func(change func(*conf.File)) func() (string, func(), error) {
		return func() (string, func(), error) {
			file, err := conf.Parse(fmt.Appendf(nil, config, b.Places, b.Reserve, n.Addr), "bench.hcl")
			if err != nil {
				return "", nil, err
			}
			change(file)
			g, err := gateway.Start(file, slog.New(slog.DiscardHandler))
			if err != nil {
				return "", nil, err
			}
			return g.Addr("l").String(), g.Close, nil
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "FRONT\tWHO\tASKED\tSERVED IN 2 S\tMEDIAN MS\t99TH MS\tREFUSALS MET\tFLOOD SERVED\tGOROUTINES")
	for range b.Rounds {
		for _, f := range []struct {
			name  string
			start func() (string, func(), error)
		}{
			{"groups", product(func(*conf.File) {})},
			{"places alone", product(func(f *conf.File) { f.Listeners[0].Admission = admission.SingleGroup(b.Places) })},
			{"ReverseProxy", func() (string, func(), error) { return b.reverse(n.Addr) }},
		} {
			addr, stop, err := f.start()
			if err != nil {
				return err
			}
			b.play(w, f.name, addr)
			stop()
		}
	}
	return w.Flush()
}

func (b *bench) reverse(to string) (string, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	at, err := url.Parse("http://" + to)
	if err != nil {
		return "", nil, err
	}
	p := httputil.NewSingleHostReverseProxy(at)
	p.ErrorLog = log.New(io.Discard, "", 0)
	p.Transport = &http.Transport{MaxIdleConnsPerHost: 256}
	s := &http.Server{Handler: p, ReadHeaderTimeout: 2600 * time.Millisecond, IdleTimeout: 8 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go s.Serve(netutil.LimitListener(l, b.Places))
	return l.Addr().String(), func() { s.Close() }, nil
}

func dial(ctx context.Context, from, to string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.DialContext(ctx, "tcp", to)
	if err == nil {
		by, _ := ctx.Deadline()
		c.SetDeadline(by)
	}
	return c, err
}

const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// ask makes one request; it returns when to come back where it was refused.
func ask(c net.Conn, from *bufio.Reader) (status int, after time.Duration) {
	if _, err := io.WriteString(c, request); err != nil {
		return 0, 0
	}
	r, err := http.ReadResponse(from, nil)
	if err != nil {
		return 0, 0
	}
	defer r.Body.Close()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	return r.StatusCode, time.Duration(seconds * float64(time.Second))
}

// visits makes one request after the other, each on a new connection, with the patience of two seconds.
type visits struct {
	mu       sync.Mutex
	times    *hdrhistogram.Histogram
	asked    int
	refusals int
}

func (v *visits) make(ctx context.Context, from, to string) {
	for ctx.Err() == nil {
		began := time.Now()
		patience, cancel := context.WithDeadline(context.Background(), began.Add(2*time.Second))
		served, refusals := false, 0
		for patience.Err() == nil && !served {
			after := 20 * time.Millisecond
			if c, err := dial(patience, from, to); err == nil {
				status, told := ask(c, bufio.NewReader(c))
				c.Close()
				served = status == 200
				if !served && told > 0 {
					refusals++
					after = told
				}
			}
			if !served {
				select {
				case <-time.After(after):
				case <-patience.Done():
				}
			}
		}
		cancel()
		v.mu.Lock()
		v.asked++
		v.refusals += refusals
		if served {
			v.times.RecordValue(time.Since(began).Microseconds())
		}
		v.mu.Unlock()
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (b *bench) play(w io.Writer, name, addr string) {
	ctx, stop := context.WithTimeout(context.Background(), b.For+time.Second)
	defer stop()
	var all sync.WaitGroup
	var floodServed atomic.Int64
	for i := range b.Flood {
		all.Go(func() {
			for ctx.Err() == nil {
				c, err := dial(ctx, "127.0.0.2", addr)
				if err != nil {
					continue
				}
				if i%2 == 0 {
					io.WriteString(c, request[:10])
					io.Copy(io.Discard, c)
				} else {
					from := bufio.NewReader(c)
					for {
						status, _ := ask(c, from)
						if status != 200 {
							break
						}
						floodServed.Add(1)
					}
				}
				c.Close()
				select {
				case <-time.After(10 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
	}
	time.Sleep(time.Second) // the flood stands
	known, parents := &visits{times: hdrhistogram.New(1, 10e6, 3)}, &visits{times: hdrhistogram.New(1, 10e6, 3)}
	for range b.Known {
		all.Go(func() { known.make(ctx, "127.0.0.3", addr) })
	}
	for i := range b.Parents {
		all.Go(func() { parents.make(ctx, fmt.Sprintf("127.0.1.%d", i+1), addr) })
	}
	<-ctx.Done()
	goroutines := runtime.NumGoroutine()
	all.Wait()
	for who, v := range map[string]*visits{"known": known, "parents": parents} {
		ms := func(q float64) float64 { return float64(v.times.ValueAtQuantile(q)) / 1000 }
		fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%.1f\t%.1f\t%d\t%d\t%d\n", name, who, v.asked, float64(v.times.TotalCount())/float64(max(v.asked, 1)), ms(50), ms(99), v.refusals,
			floodServed.Load(), goroutines)
	}
}
