// Case 8: a request that has crossed to another sala gets no answer where its gateway is told to end.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"silvertrail/review/rig"
)

const (
	workTime = 300 * time.Millisecond
	requests = 4               // as many may cross at once to begin with
	deadline = 5 * time.Second // as of the classes in deploy/silvertrail-salas.hcl
	slack    = time.Second     // a request is lost half a second after its time
)

func main() { rig.Main(run) }

// gatewayFile is deploy/silvertrail-salas.hcl for one sala and one other, on loopback without TLS, with one class, which may not be repeated.
func gatewayFile(site, peer, listen, link, peerLink, control string, endpoints ...string) string {
	var blocks strings.Builder
	for i, address := range endpoints {
		fmt.Fprintf(&blocks, "  endpoint \"portal-%d\" {\n    address = %q\n  }\n", i+1, address)
	}
	return fmt.Sprintf(`
process {
  zones   = [%[1]q]
  zone    = %[1]q
  control = %[6]q
}
link %[1]q {
  listen      = %[4]q
  plain       = true
  heartbeat   = "100ms"
  silence     = "300ms"
  connections = 2
  calls       = 1024
  peer %[2]q {
    address = %[5]q
  }
}
class "turno" {
  aim      = "2s"
  deadline = "5s"
  worth    = 3
  effect   = "unsafe"
}
listener "public" {
  address = %[3]q
}
cluster "portal" {
%[7]s}
route "seats" {
  match {
    prefix = "/seats"
  }
  class   = "turno"
  cluster = "portal"
  cross   = [%[2]q]
}
`, site, peer, listen, link, peerLink, control, blocks.String())
}

func run(c *rig.Case) error {
	var hangs atomic.Bool
	server1, err := c.NewServer("norte-1", func(w http.ResponseWriter, a *rig.Arrival) {
		if hangs.Load() {
			rig.Hang(w, a)
			return
		}
		work(w, a)
	})
	if err != nil {
		return err
	}
	server2, err := c.NewServer("norte-2", work)
	if err != nil {
		return err
	}
	gateway, centro, err := startGateways(c, server1.Address, server2.Address)
	if err != nil {
		return err
	}
	warmUps := 0
	err = rig.Await("requests cross", 10*time.Second, func() bool {
		warmUps++
		return send(c, centro, fmt.Sprintf("warm%04d", warmUps)).Status == http.StatusOK
	})
	if err != nil {
		return err
	}
	hangs.Store(true)
	c.Logf("one of the two nodos of norte hangs from now on")
	if c.Trouble {
		if err := gateway.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	// The requests come in the first half of the time to end, in which clients are served as ever.
	time.Sleep(time.Second)
	var replies sync.WaitGroup
	for i := range requests {
		replies.Go(func() {
			reply := send(c, centro, fmt.Sprintf("req%05d", i))
			if !reply.Sent.IsZero() && !reply.Answered() {
				c.Broken("the request was taken and got no answer: %v", reply)
			}
		})
	}
	replies.Wait()
	for _, a := range server1.Arrivals() {
		if strings.HasPrefix(a.ID, "req") {
			return nil
		}
	}
	return errors.New("no request came to the nodo that hangs")
}

// work answers after the time that a request takes.
func work(w http.ResponseWriter, a *rig.Arrival) {
	time.Sleep(workTime)
	rig.Answer(w, a)
}

func send(c *rig.Case, address, id string) rig.Reply {
	return c.Send(address, id, deadline+slack, 0, rig.Head("POST", "/seats/1", id, "X-Timeout-Ms: 5000", "Content-Length: 0"))
}

// startGateways starts the gateways of both salas, and returns that of centro with its address for clients. The endpoints are the nodos of norte.
func startGateways(c *rig.Case, endpoints ...string) (gateway *rig.Process, address string, err error) {
	// The sala centro has lost its nodos: nobody listens at their address.
	lost, centro, norte, centroLink, norteLink := c.FreeAddress(), c.FreeAddress(), c.FreeAddress(), c.FreeAddress(), c.FreeAddress()
	centroFile, err := c.Write("centro.hcl", gatewayFile("centro", "norte", centro, centroLink, norteLink, c.Dir+"/centro.sock", lost))
	if err != nil {
		return nil, "", err
	}
	norteFile, err := c.Write("norte.hcl", gatewayFile("norte", "centro", norte, norteLink, centroLink, c.Dir+"/norte.sock", endpoints...))
	if err != nil {
		return nil, "", err
	}
	c.Release()
	if _, err := c.Start("norte", "exec bin/silvertrail serve --config "+norteFile); err != nil {
		return nil, "", err
	}
	gateway, err = c.Start("centro", "exec bin/silvertrail serve --config "+centroFile)
	if err != nil {
		return nil, "", err
	}
	err = rig.Await("both gateways serve", 10*time.Second, func() bool { return rig.IsReady(centro) && rig.IsReady(norte) })
	return gateway, centro, err
}
