// Package demo runs the gateway with fake endpoints in three sites, for a first look and for tests.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/gateway"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/testkit/fake"
)

var sites = []string{"sala-centro", "sala-norte", "sala-sur"}

const (
	endpointsPerSite = 3
	workTime         = 20 * time.Millisecond
	slowWorkTime     = 400 * time.Millisecond
	drainAfter       = 5 * time.Second
)

// Options configure the demo.
type Options struct {
	Listen     string        // address of the first listener
	DrainAfter time.Duration // after which an endpoint drains; 0: some seconds
	Out        io.Writer
	Log        *slog.Logger
}

// Run runs the demo until ctx ends.
func Run(ctx context.Context, o Options) error {
	folder, lists, stop, err := prepare()
	defer stop()
	if err != nil {
		return err
	}
	path := filepath.Join(folder, "silvertrail.hcl")
	if err := os.WriteFile(path, []byte(fmt.Sprintf(config, o.Listen)), 0o600); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	file, err := conf.Load(path)
	if err != nil {
		return err
	}
	g, err := gateway.Start(file, o.Log)
	if err != nil {
		return err
	}
	defer g.Close()
	fmt.Fprintf(o.Out, guide, g.Addr("public"), path, strings.Join(addresses(lists), "\n  "))

	if o.DrainAfter == 0 {
		o.DrainAfter = drainAfter
	}
	drain := time.AfterFunc(o.DrainAfter, func() {
		lists["sala-sur"][0].Status = "draining"
		if err := writeList(folder, "sala-sur", lists["sala-sur"]); err != nil {
			o.Log.Error("demo: drain", "error", err)
			return
		}
		fmt.Fprintf(o.Out, "sur-1 is told to drain: it gets nothing new from now on\n")
	})
	defer drain.Stop()
	g.Run(ctx, path, nil)
	fmt.Fprintln(o.Out, "ended")
	return nil
}

// prepare starts the endpoints, with a folder that holds their lists. Stop ends the endpoints and removes the folder, also after an error.
func prepare() (folder string, lists map[string][]endpointlist.Endpoint, stop func(), err error) {
	if folder, err = os.MkdirTemp("", "silvertrail-demo-"); err != nil {
		return "", nil, func() {}, fmt.Errorf("demo: %w", err)
	}
	lists, end, err := startEndpoints(folder)
	return folder, lists, func() {
		end()
		_ = os.RemoveAll(folder) // a temporary folder that cannot be removed is left to the system
	}, err
}

// startEndpoints starts the endpoints, and writes the lists of each site into the folder. Stop ends the endpoints, also after an error.
func startEndpoints(folder string) (lists map[string][]endpointlist.Endpoint, stop func(), err error) {
	var nodos []*fake.Endpoint
	stop = func() {
		for _, n := range nodos {
			n.Close()
		}
	}
	lists = map[string][]endpointlist.Endpoint{}
	for _, sala := range sites {
		group := fake.NewGroup(sala, time.Minute)
		for i := range endpointsPerSite {
			no := fake.EndpointOptions{Name: fmt.Sprintf("%s-%d", strings.TrimPrefix(sala, "sala-"), i+1), Site: sala, Slots: 8, Queue: 32, Work: workTime,
				Group: group}
			if sala == "sala-norte" && i == 0 {
				no.Work = slowWorkTime
			}
			n, err := fake.NewEndpoint(no)
			if err != nil {
				return nil, stop, err
			}
			nodos = append(nodos, n)
			lists[sala] = append(lists[sala], endpointlist.Endpoint{Name: no.Name, Address: n.Addr, Zone: sala, Status: "ready"})
		}
		if err := writeList(folder, sala, lists[sala]); err != nil {
			return nil, stop, err
		}
	}
	return lists, stop, nil
}

func addresses(lists map[string][]endpointlist.Endpoint) (out []string) {
	for _, sala := range sites {
		for _, e := range lists[sala] {
			out = append(out, fmt.Sprintf("%-9s %s  %s", e.Name, e.Address, sala))
		}
	}
	return out
}

// writeList replaces a site's list atomically.
func writeList(folder, sala string, list []endpointlist.Endpoint) error {
	text, err := json.Marshal(map[string]any{"endpoints": list})
	if err == nil {
		path := filepath.Join(folder, sala+".json")
		if err = os.WriteFile(path+".new", text, 0o600); err == nil {
			err = os.Rename(path+".new", path)
		}
	}
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return nil
}

const guide = `silvertrail demo

  front          http://%[1]s
  configuration  %[2]s

  nodos (norte-1 is slow; sur-1 will drain)
  %[3]s

Requests to try:

  curl -i http://%[1]s/consulta/seats
  curl -i -X POST -H 'Idempotency-Key: k1' http://%[1]s/reserva/seat-7
  curl -i -H 'X-Timeout-Ms: 1' http://%[1]s/consulta/hurry      (refused at once: too little time)
  curl -i http://%[1]s/consulta/..%%2fadmin                      (turned away: a path of two readings)
  curl -i http://%[1]s/old                                      (redirected)
  curl -i -H 'X-Sala: sur' http://%[1]s/consulta/seats           (to the nodos of sala-sur)

Ctrl-C ends it.

`

const config = `
process {
  zones         = ["sala-centro", "sala-norte", "sala-sur"]
  zone          = "sala-centro"
  sockets       = 512
  stop          = "2s"
}

class "consulta" {
  aim      = "2s"
  deadline = "5s"
  worth    = 1
  effect   = "safe"
}

class "reserva" {
  aim      = "2s"
  deadline = "5s"
  worth    = 10
  effect   = "keyed"
  scope    = "zone"
  window   = "7.5s"
}

listener "public" {
  address = %q
}

cluster "portal" {
  file {
    path = "sala-centro.json"
  }
  file {
    path = "sala-norte.json"
  }
}

cluster "portal-sur" {
  file {
    path = "sala-sur.json"
  }
}

route "consulta" {
  match {
    prefix = "/consulta"
  }
  class    = "consulta"
  cluster  = "portal"
  failover = "portal-sur"
}

route "consulta-sur" {
  match {
    prefix  = "/consulta"
    headers = { "X-Sala" = "sur" }
  }
  class   = "consulta"
  cluster = "portal-sur"
}

route "reserva" {
  match {
    prefix  = "/reserva"
    methods = ["POST"]
  }
  class    = "reserva"
  failover = "portal-sur"
  to "portal" {
    weight = 9
  }
  to "portal-sur" {
    weight = 1
  }
}

route "old" {
  match {
    path = "/old"
  }
  redirect {
    path = "/consulta/seats"
  }
}
`
