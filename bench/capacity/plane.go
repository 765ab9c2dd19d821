package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
	"google.golang.org/protobuf/proto"

	"silvertrail/internal/testkit/xdsserver"
)

type plane struct {
	common
	Sizes   []string      `default:"5/30,8/46,80/460,800/4600" help:"Clusters and endpoints that the process follows. --bin is a program built with -tags xds."`
	Changes int           `default:"20" help:"Changes of one endpoint, each in a cluster of its own."`
	Calm    time.Duration `default:"3s" help:"For how long the processor time of calm is taken."`
}

// payloads counts what goes over a plane's streams.
type payloads struct{ sent, came, bytesSent, bytesCame, last atomic.Int64 }

func (p *payloads) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.OutPayload:
		p.sent.Add(1)
		p.bytesSent.Add(int64(s.WireLength))
	case *stats.InPayload:
		p.came.Add(1)
		p.bytesCame.Add(int64(s.WireLength))
	}
	p.last.Store(time.Now().UnixNano())
}
func (p *payloads) HandleConn(context.Context, stats.ConnStats)                     {}
func (p *payloads) TagRPC(c context.Context, _ *stats.RPCTagInfo) context.Context   { return c }
func (p *payloads) TagConn(c context.Context, _ *stats.ConnTagInfo) context.Context { return c }
func (p *payloads) quiet() bool {
	return p.sent.Load() > 0 && time.Since(p.at()) > 400*time.Millisecond
}
func (p *payloads) at() time.Time { return time.Unix(0, p.last.Load()) }

func (o *plane) Run() error {
	for _, size := range o.Sizes {
		var n, endpoints int
		if _, err := fmt.Sscanf(size, "%d/%d", &n, &endpoints); err != nil {
			return fmt.Errorf("--sizes: %q is not clusters/endpoints", size)
		}
		r := &row{Part: "plane", Size: size}
		for range o.Rounds {
			if err := o.round(r, n, endpoints); err != nil {
				return fmt.Errorf("%s: %w", size, err)
			}
		}
		if err := r.print(o.JSON); err != nil {
			return err
		}
	}
	return nil
}

func (o *plane) round(r *row, n, endpoints int) error {
	folder, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	counts := &payloads{}
	p, err := xdsserver.Start("127.0.0.1:0", grpc.StatsHandler(counts))
	if err != nil {
		return err
	}
	defer p.Close()
	put := func(version int) error { // from version 1 on one endpoint drains, of another cluster each time
		var all []proto.Message
		for i := range n {
			var set []*endpointv3.LbEndpoint
			for j := i; j < endpoints; j += n {
				health := corev3.HealthStatus_HEALTHY
				if j == i && version > 0 && (version-1)%n == i {
					health = corev3.HealthStatus_DRAINING
				}
				set = append(set, xdsserver.Endpoint(fmt.Sprintf("127.1.%d.%d:9000", j/250, j%250+1), health, 0))
			}
			name := fmt.Sprint("c", i)
			all = append(all, xdsserver.Cluster(name), xdsserver.EndpointSet(name, "", set...))
		}
		return p.Put(fmt.Sprint(version), all...)
	}
	if err := put(0); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "class \"read\" {\n aim = \"2s\"\n deadline = \"5s\"\n effect = \"safe\"\n}\nxds {\n node = \"s1\"\n variant = \"delta\"\n plane \"p\" {\n  address = %q\n  plain = true\n }\n}\nlistener \"l\" {\n address = \"127.0.0.1:0\"\n}\n", p.Addr())
	for i := range n {
		fmt.Fprintf(&b, "cluster \"c%[1]d\" {\n xds {}\n}\nroute \"r%[1]d\" {\n match {\n  hosts = [\"s%[1]d.example\"]\n }\n class = \"read\"\n cluster = \"c%[1]d\"\n}\n", i)
	}
	path := filepath.Join(folder, "product.hcl")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		return err
	}
	began := time.Now()
	x, err := start(nil, o.Bin, "serve", "--config", path)
	if err != nil {
		return err
	}
	defer x.stop()
	if err := until("first state", counts.quiet); err != nil {
		return err
	}
	r.add("first state acknowledged after, ms", ms(counts.at().Sub(began)))
	r.add("processor time until then, ms", ms(x.cpu()))
	r.add("messages to it at the start", float64(counts.sent.Load()))
	r.add("bytes to it at the start", float64(counts.bytesSent.Load()))
	r.add("bytes from it at the start", float64(counts.bytesCame.Load()))
	time.Sleep(2 * time.Second)
	resident, own := x.memory()
	r.add("resident, MB", resident)
	r.add("of it not of files, MB", own)
	sent, came := counts.sent.Load()+counts.came.Load(), counts.bytesSent.Load()+counts.bytesCame.Load()
	calm, wall, _ := x.during(sleep(o.Calm))
	r.add("processor time in calm, ms a second", ms(calm)/wall.Seconds())
	r.add("messages in calm, a second", float64(counts.sent.Load()+counts.came.Load()-sent)/wall.Seconds())
	r.add("bytes in calm, a second", float64(counts.bytesSent.Load()+counts.bytesCame.Load()-came)/wall.Seconds())
	sentBytes, cameBytes, sent := counts.bytesSent.Load(), counts.bytesCame.Load(), counts.sent.Load()
	busy, wall, err := x.during(func() error {
		for i := range o.Changes {
			if err := put(i + 1); err != nil {
				return err
			}
			at, acks := time.Now(), counts.came.Load()
			if err := until("acknowledgement", func() bool { return counts.came.Load() > acks }); err != nil {
				return err
			}
			r.add("a change acknowledged after, ms", ms(counts.at().Sub(at)))
			time.Sleep(50 * time.Millisecond)
		}
		return nil
	})
	if err != nil {
		return err
	}
	changes := float64(o.Changes)
	r.add("messages to it a change", float64(counts.sent.Load()-sent)/changes)
	r.add("bytes to it a change", float64(counts.bytesSent.Load()-sentBytes)/changes)
	r.add("bytes from it a change", float64(counts.bytesCame.Load()-cameBytes)/changes)
	r.add("processor time a change, ms", (ms(busy)-ms(calm)*wall.Seconds()/o.Calm.Seconds())/changes)
	resident, _ = x.memory()
	r.add("resident after changes, MB", resident)
	return nil
}
