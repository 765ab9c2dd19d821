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

// RunSites runs three sites with a gateway each, linked and in one fleet, until ctx ends. The first site loses its endpoints after a
// while, and has them back later.
func RunSites(ctx context.Context, o Options) error {
	folder, lists, stop, err := prepare()
	defer stop()
	if err != nil {
		return err
	}
	if err := writeCredentials(folder); err != nil {
		return err
	}
	f := &siteFleet{options: o, folder: folder}
	defer f.close()
	if err := f.start(); err != nil {
		return err
	}
	f.printGuide()
	if o.DrainAfter == 0 {
		o.DrainAfter = drainAfter
	}
	lose := time.AfterFunc(o.DrainAfter, func() {
		setStatus(o, folder, lists, "gone", "sala-centro has lost its nodos: what its callers ask goes to the others")
	})
	defer lose.Stop()
	back := time.AfterFunc(4*o.DrainAfter, func() {
		setStatus(o, folder, lists, "ready", "sala-centro has its nodos back")
	})
	defer back.Stop()
	<-ctx.Done()
	f.shutDown()
	fmt.Fprintln(o.Out, "ended")
	return nil
}

// writeCredentials writes the fleet's keyring, an authority, and a certificate for each site.
func writeCredentials(folder string) error {
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
	for _, site := range sites {
		path := filepath.Join(folder, site)
		if err := authority.Issue(path+".pem", path+".key", site, time.Now().Add(24*time.Hour)); err != nil {
			return err
		}
	}
	return nil
}

// siteFleet is the gateways of all sites.
type siteFleet struct {
	options  Options
	folder   string
	gateways []*gateway.Gateway
}

// start starts the gateways. They learn each other's addresses by a reload, as the system picks the ports.
func (f *siteFleet) start() error {
	links := []string{"127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"}
	seeds := ""
	for i, site := range sites {
		file, err := writeSiteConfig(f.configPath(i), i, f.options.Listen, links, seeds)
		if err != nil {
			return err
		}
		g, err := gateway.Start(file, f.options.Log.With("gateway", site))
		if err != nil {
			return err
		}
		f.gateways = append(f.gateways, g)
		links[i] = g.LinkAddr()
		seeds = fmt.Sprintf("%q", g.FleetAddr())
	}
	for i, g := range f.gateways {
		file, err := writeSiteConfig(f.configPath(i), i, f.options.Listen, links, seeds)
		if err != nil {
			return err
		}
		if err := g.Reload(file); err != nil {
			return err
		}
	}
	return nil
}

func (f *siteFleet) configPath(i int) string { return filepath.Join(f.folder, sites[i]+".hcl") }

func (f *siteFleet) printGuide() {
	var listeners, commands []string
	for i, g := range f.gateways {
		listeners = append(listeners, fmt.Sprintf("%-11s  http://%s", sites[i], g.Addr("public")))
		commands = append(commands, fmt.Sprintf("silvertrail link status --config %s", f.configPath(i)))
	}
	fmt.Fprintf(f.options.Out, siteGuide, strings.Join(listeners, "\n  "), f.gateways[0].Addr("public"), strings.Join(commands, "\n  "))
}

// shutDown shuts all gateways down gracefully.
func (f *siteFleet) shutDown() {
	var shutdowns sync.WaitGroup
	for _, g := range f.gateways {
		shutdowns.Go(g.Shutdown)
	}
	shutdowns.Wait()
}

func (f *siteFleet) close() {
	for _, g := range f.gateways {
		g.Close()
	}
}

// setStatus sets the status of the first site's endpoints.
func setStatus(o Options, folder string, lists map[string][]endpointlist.Endpoint, status, line string) {
	list := lists[sites[0]]
	for i := range list {
		list[i].Status = status
	}
	if err := writeList(folder, sites[0], list); err != nil {
		o.Log.Error("demo: nodos", "error", err)
		return
	}
	fmt.Fprintln(o.Out, line)
}

// writeSiteConfig writes and reads a site's configuration.
func writeSiteConfig(path string, i int, listen string, links []string, seeds string) (*conf.File, error) {
	me := sites[i]
	if i > 0 { // the configured address is that of the first site alone
		listen = "127.0.0.1:0"
	}
	var peers, others []string
	for j, other := range sites {
		if j != i {
			peers = append(peers, fmt.Sprintf("  peer %q {\n    address = %q\n  }", other, links[j]))
			others = append(others, fmt.Sprintf("%q", other))
		}
	}
	text := fmt.Sprintf(siteConfig, me, listen, strings.Join(peers, "\n"), strings.Join(others, ", "), seeds)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	return conf.Load(path)
}

const siteGuide = `silvertrail demo --salas

  fronts
  %[1]s

Requests to try at sala-centro, whose nodos go after a while and come back:

  curl -i http://%[2]s/consulta/seats
  curl -i -X POST -H 'Idempotency-Key: k1' http://%[2]s/reserva/seat-7     (the same key again, at any front: the same sala)

What crossed, and whether both ends count the same (--reconcile):

  %[3]s

Ctrl-C ends it.

`

const siteConfig = `
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
