// Case 10: a gateway goes on sending to an endpoint that a control machine has drained, where the machine was restarted before and the endpoint
// had drained once already.
package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"silvertrail/review/rig"
)

const (
	grace     = 250*time.Millisecond + 50*time.Millisecond // after which a drained endpoint gets nothing new
	watchTime = 10 * time.Second                           // for which requests are sent after the second drain
	pollTime  = 50 * time.Millisecond                      // before an operator's command is repeated
	clients   = 6                                          // that send one request after the other
	workTime  = 100 * time.Millisecond                     // of a request

	program = "bin/silvertrail-xds" // built by review/build-2.sh, with the tag xds
)

func main() { rig.Main(run) }

func controlFile(listen, socket, state string) string {
	return fmt.Sprintf(`
process {
  control = %[2]q
}
control_plane {
  name   = "control-1"
  listen = %[1]q
  plain  = true
  state  = %[3]q
}
`, listen, socket, state)
}

// gatewayFile is deploy/silvertrail-xds.hcl with one plane and one cluster.
func gatewayFile(listen, plane, socket string) string {
	return fmt.Sprintf(`
process {
  zones   = ["sala-centro"]
  zone    = "sala-centro"
  control = %[3]q
}
xds {
  node    = "portal-1"
  variant = "delta"
  plane "control-1" {
    address = %[2]q
    plain   = true
  }
}
class "consulta" {
  aim      = "2s"
  deadline = "5s"
  effect   = "safe"
}
listener "public" {
  address = %[1]q
}
cluster "portal" {
  xds {}
}
route "all" {
  class   = "consulta"
  cluster = "portal"
}
`, listen, plane, socket)
}

const clusterJSON = `{"@type": "type.googleapis.com/envoy.config.cluster.v3.Cluster", "name": "portal", "type": "EDS",
  "eds_cluster_config": {"eds_config": {"ads": {}, "resource_api_version": "V3"}}, "connect_timeout": "0.5s"}`

// resources returns a publication of both endpoints, of which the first has a health status.
func resources(status string, servers [2]*rig.Server) string {
	var endpoints []string
	for i, s := range servers {
		_, port, _ := net.SplitHostPort(s.Address)
		health := "HEALTHY"
		if i == 0 {
			health = status
		}
		endpoints = append(endpoints, fmt.Sprintf(`{"endpoint": {"address": {"socket_address": {"address": "127.0.0.1", "port_value": %s}}, "observability_name": %q},
  "health_status": %q}`, port, s.Name, health))
	}
	return fmt.Sprintf(`{"version_info": "1", "resources": [%s, {"@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
  "cluster_name": "portal", "endpoints": [{"locality": {"zone": "sala-centro"}, "lb_endpoints": [%s]}]}]}`, clusterJSON, strings.Join(endpoints, ", "))
}

// publish publishes the status of the first endpoint as an operator does, and waits until the control machine counts nobody as behind.
func publish(c *rig.Case, controlPath, status string, servers [2]*rig.Server) error {
	path, err := c.Write("changes.json", resources(status, servers))
	if err != nil {
		return err
	}
	if _, err := c.Command(program + " control publish --config " + controlPath + " " + path); err != nil {
		return err
	}
	return rig.Await("all receivers acknowledge", 10*time.Second, func() bool {
		time.Sleep(pollTime)
		_, err := c.Command(program + " control status --config " + controlPath)
		return err == nil
	})
}

func run(c *rig.Case) error {
	var servers [2]*rig.Server
	for i := range servers {
		var err error
		if servers[i], err = c.NewServer(fmt.Sprintf("portal-%d", i+1), work); err != nil {
			return err
		}
	}
	d, err := start(c, servers)
	if err != nil {
		return err
	}
	stopClients := startClients(c, d.listen)
	defer stopClients()
	if err := awaitUse(servers[0]); err != nil {
		return err
	}
	c.Logf("maintenance: portal-1 drains, and comes back")
	if err := publish(c, d.controlPath, "DRAINING", servers); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if err := publish(c, d.controlPath, "HEALTHY", servers); err != nil {
		return err
	}
	if err := awaitUse(servers[0]); err != nil {
		return err
	}
	if c.Trouble {
		if err := restart(c, d.control, d.controlPath); err != nil {
			return err
		}
	}
	c.Logf("maintenance again: portal-1 drains")
	if err := publish(c, d.controlPath, "DRAINING", servers); err != nil {
		return err
	}
	told := time.Now()
	c.Logf("the gateway has acknowledged that portal-1 drains")
	time.Sleep(watchTime)
	if _, err := c.Command(program + " xds dump --config " + d.gatewayPath); err != nil {
		return err
	}
	checkDrained(c, servers[0], told)
	return nil
}

// checkDrained checks that a server got nothing after the grace.
func checkDrained(c *rig.Case, s *rig.Server, told time.Time) {
	late := 0
	var last time.Duration
	for _, a := range s.Arrivals() {
		if after := a.At.Sub(told); after > grace {
			late++
			last = after
		}
	}
	if late > 0 {
		c.Broken("portal-1 got %d requests later than %v after the gateway was told that it drains, the last one after %v", late, grace, last.Round(time.Millisecond))
	}
}

// deployment is a control machine and a gateway that follows it.
type deployment struct {
	listen                   string // for the gateway's clients
	controlPath, gatewayPath string // the files of both
	control                  *rig.Process
}

// start starts the control machine, publishes both servers, and starts the gateway.
func start(c *rig.Case, servers [2]*rig.Server) (*deployment, error) {
	d := &deployment{}
	plane := c.FreeAddress()
	d.listen = c.FreeAddress()
	c.Release()
	var err error
	d.controlPath, err = c.Write("control.hcl", controlFile(plane, c.Dir+"/control.sock", c.Dir+"/control.state"))
	if err != nil {
		return nil, err
	}
	d.gatewayPath, err = c.Write("gateway.hcl", gatewayFile(d.listen, plane, c.Dir+"/gateway.sock"))
	if err != nil {
		return nil, err
	}
	d.control, err = c.Start("control", "exec "+program+" serve --config "+d.controlPath)
	if err != nil {
		return nil, err
	}
	path, err := c.Write("changes.json", resources("HEALTHY", servers))
	if err != nil {
		return nil, err
	}
	err = rig.Await("the control machine takes publications", 10*time.Second, func() bool {
		time.Sleep(pollTime)
		_, err := c.Command(program + " control publish --config " + d.controlPath + " " + path)
		return err == nil
	})
	if err != nil {
		return nil, err
	}
	if _, err := c.Start("gateway", "exec "+program+" serve --config "+d.gatewayPath); err != nil {
		return nil, err
	}
	return d, rig.Await("the gateway serves", 10*time.Second, func() bool { return rig.IsReady(d.listen) })
}

// restart ends the control machine as at a planned restart and starts it again, on the same state, and waits until the gateway follows it.
func restart(c *rig.Case, control *rig.Process, controlPath string) error {
	if err := control.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-control.Ended():
	case <-time.After(10 * time.Second):
		return fmt.Errorf("the control machine does not end")
	}
	if _, err := c.Start("control-again", "exec "+program+" serve --config "+controlPath); err != nil {
		return err
	}
	return rig.Await("the gateway follows the control machine", 40*time.Second, func() bool {
		time.Sleep(pollTime)
		output, err := c.Command(program + " control status --config " + controlPath + " --all")
		return err == nil && strings.Contains(output, "portal-1")
	})
}

// awaitUse waits until a server gets requests from now on.
func awaitUse(s *rig.Server) error {
	before := len(s.Arrivals())
	return rig.Await(s.Name+" gets requests", 20*time.Second, func() bool { return len(s.Arrivals()) > before+5 })
}

// work answers after the time that a request takes.
func work(w http.ResponseWriter, a *rig.Arrival) {
	time.Sleep(workTime)
	rig.Answer(w, a)
}

// startClients has clients send one request after the other, until the result is called.
func startClients(c *rig.Case, listen string) (stop func()) {
	var done sync.WaitGroup
	var stopped atomic.Bool
	for client := range clients {
		done.Go(func() {
			for i := 0; !stopped.Load(); i++ {
				id := fmt.Sprintf("client%d-%04d", client, i)
				c.Send(listen, id, 6*time.Second, 0, rig.Head("GET", "/seats/1", id, "X-Timeout-Ms: 5000"))
			}
		})
	}
	return func() {
		stopped.Store(true)
		done.Wait()
	}
}
