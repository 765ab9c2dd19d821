package demo

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/gateway"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/testkit/fake"
)

// RunSalas runs three salas with a gateway each, linked and in one fleet, until ctx ends. The first one loses its nodos
// after a while, and has them back later.
func RunSalas(ctx context.Context, o Options) error {
	folder, lists, stop, err := stage()
	defer stop()
	if err != nil {
		return err
	}
	key, err := conf.NewKey()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "fleet.keys"), []byte(key), 0o600); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	authority, err := fake.NewAuthority(folder, "salas")
	if err != nil {
		return err
	}
	// The gateways learn each other's addresses by a reload, as the system picks the ports.
	var all []*gateway.Gateway
	links := []string{"127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"}
	seeds := ""
	files := make([]string, len(salas))
	for i, sala := range salas {
		if err := authority.Issue(filepath.Join(folder, sala+".pem"), filepath.Join(folder, sala+".key"), sala, time.Now().Add(24*time.Hour)); err != nil {
			return err
		}
		files[i] = filepath.Join(folder, sala+".hcl")
		file, err := writeSala(files[i], i, o.Listen, links, seeds)
		if err != nil {
			return err
		}
		g, err := gateway.Start(file, o.Log.With("gateway", sala))
		if err != nil {
			return err
		}
		defer g.Close()
		all = append(all, g)
		links[i] = g.LinkAddr()
		seeds = fmt.Sprintf("%q", g.FleetAddr())
	}
	for i, g := range all {
		file, err := writeSala(files[i], i, o.Listen, links, seeds)
		if err != nil {
			return err
		}
		if err := g.Reload(file); err != nil {
			return err
		}
	}
	var fronts, status []string
	for i, g := range all {
		fronts = append(fronts, fmt.Sprintf("%-11s  http://%s", salas[i], g.Addr("public")))
		status = append(status, fmt.Sprintf("silvertrail link status --config %s", files[i]))
	}
	fmt.Fprintf(o.Out, guideSalas, strings.Join(fronts, "\n  "), all[0].Addr("public"), strings.Join(status, "\n  "))
	if o.DrainAfter == 0 {
		o.DrainAfter = drainAfter
	}
	lose := time.AfterFunc(o.DrainAfter, func() {
		tellNodos(o, folder, lists, "gone", "sala-centro has lost its nodos: what its callers ask goes to the others")
	})
	defer lose.Stop()
	back := time.AfterFunc(4*o.DrainAfter, func() {
		tellNodos(o, folder, lists, "ready", "sala-centro has its nodos back")
	})
	defer back.Stop()
	<-ctx.Done()
	var ends sync.WaitGroup
	for _, g := range all {
		ends.Go(g.Shutdown)
	}
	ends.Wait()
	fmt.Fprintln(o.Out, "ended")
	return nil
}

func tellNodos(o Options, folder string, lists map[string][]endpointlist.Endpoint, status, line string) {
	list := lists[salas[0]]
	for i := range list {
		list[i].Status = status
	}
	if err := writeList(folder, salas[0], list); err != nil {
		o.Log.Error("demo: nodos", "error", err)
		return
	}
	fmt.Fprintln(o.Out, line)
}

// writeSala writes a sala's configuration and reads it.
func writeSala(path string, i int, listen string, links []string, seeds string) (*conf.File, error) {
	me := salas[i]
	if i > 0 { // only the first front may be where the caller wants it
		listen = "127.0.0.1:0"
	}
	var peers, others []string
	for j, other := range salas {
		if j != i {
			peers = append(peers, fmt.Sprintf("  peer %q {\n    address = %q\n  }", other, links[j]))
			others = append(others, fmt.Sprintf("%q", other))
		}
	}
	text := fmt.Sprintf(configSala, me, listen, strings.Join(peers, "\n"), strings.Join(others, ", "), seeds)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	return conf.Load(path)
}

const guideSalas = `silvertrail demo --salas

  fronts
  %[1]s

Requests to try at sala-centro, whose nodos go after a while and come back:

  curl -i http://%[2]s/consulta/seats
  curl -i -X POST -H 'Idempotency-Key: k1' http://%[2]s/reserva/seat-7     (the same key again, at any front: the same sala)

What crossed, and whether both ends count the same (--reconcile):

  %[3]s

Ctrl-C ends it.

`

const configSala = `
process {
  zones   = [%[1]q]
  zone    = %[1]q
  sockets = 512
  stop    = "2s"
  control = "%[1]s.sock"
}

class "consulta" {
  aim      = "2s"
  deadline = "5s"
  effect   = "safe"
}

class "reserva" {
  aim      = "2s"
  deadline = "5s"
  worth    = 10
  effect   = "keyed"
  scope    = "zone"
  window   = "60s"
}

listener "public" {
  address = %[2]q
}

link %[1]q {
  listen      = "127.0.0.1:0"
  certificate = "%[1]s.pem"
  key         = "%[1]s.key"
  authority   = "salas.pem"
%[3]s
}

fleet "demo" {
  name    = %[1]q
  listen  = "127.0.0.1:0"
  seeds   = [%[5]s]
  keyring = "fleet.keys"
  voters  = ["sala-centro", "sala-norte", "sala-sur"]
  new     = true
}

cluster "portal" {
  empty_hold = "0s"
  file {
    path = "%[1]s.json"
  }
}

route "consulta" {
  match {
    prefix = "/consulta"
  }
  class   = "consulta"
  cluster = "portal"
  cross   = [%[4]s]
}

route "reserva" {
  match {
    prefix  = "/reserva"
    methods = ["POST"]
  }
  class   = "reserva"
  cluster = "portal"
  cross   = [%[4]s]
}
`
