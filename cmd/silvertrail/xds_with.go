//go:build xds

package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	plane "silvertrail/internal/controlplane"
	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/gateway"
	"silvertrail/internal/testkit/xdsserver"
	"silvertrail/internal/xds"
	"silvertrail/internal/xds/bootstrap"
	"silvertrail/internal/xds/envoy"
)

// optionalParts returns the parts that not every program has.
func optionalParts() []gateway.Option {
	return []gateway.Option{
		gateway.WithDiscovery(func(o bootstrap.Options, log *slog.Logger) gateway.Discovery { return xds.Start(o, log) }),
		gateway.WithControlPlane(func(o api.Options, log *slog.Logger) (gateway.ControlPlane, error) { return plane.Start(o, log) }),
	}
}

type xdsTaggedCommands struct {
	Fields xdsFields `cmd:"" help:"Print which fields of clusters and endpoint sets are supported."`
	Serve  xdsServe  `cmd:"" help:"Serve a file of clusters and endpoint sets as a control plane, for trials on loopback."`
}

type xdsFields struct{}

func (*xdsFields) Run() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "FIELD\tSUPPORT\tNOTE")
	for _, f := range envoy.Table {
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.Name, f.Support, f.Note)
	}
	return w.Flush()
}

type xdsServe struct {
	File   string `arg:"" type:"existingfile" help:"A DiscoveryResponse in protobuf JSON. It is read again when it has changed."`
	Listen string `default:"127.0.0.1:18000" help:"Address; port 0 takes a free one."`
}

func (c *xdsServe) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	p, err := xdsserver.Start(c.Listen)
	if err != nil {
		return err
	}
	defer p.Close()
	fmt.Printf("control plane on %s\n", p.Addr())
	var last time.Time
	for {
		if info, err := os.Stat(c.File); err == nil && !info.ModTime().Equal(last) {
			last = info.ModTime()
			if err := p.Load(c.File); err != nil {
				fmt.Fprintln(os.Stderr, "silvertrail:", err)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(100 * time.Millisecond):
		}
	}
}
