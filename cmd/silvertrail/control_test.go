package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/controlplane/records"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/internal/xds/cache"
)

// withXDS builds the program that has control machines in it.
func withXDS(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "silvertrail")
	if out, err := exec.Command("go", "build", "-tags", "xds", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// serverProcess is a process of that program that serves a configuration.
type serverProcess struct {
	t               *testing.T
	program, config string
	log             lbtest.Log
	cmd             *exec.Cmd
}

// run starts it and waits for its address.
func (s *serverProcess) run() {
	s.t.Helper()
	s.cmd = exec.Command(s.program, "serve", "--config", s.config)
	s.cmd.Stderr = &s.log
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		s.t.Fatal(err)
	}
	if err := s.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	if line, err := bufio.NewReader(out).ReadString('\n'); err != nil || !strings.Contains(line, " on ") {
		s.t.Fatalf("%s: %q, %v\n%s", s.config, line, err, s.log.String())
	}
	go io.Copy(io.Discard, out)
}

func (s *serverProcess) kill() {
	s.cmd.Process.Signal(syscall.SIGCONT)
	s.cmd.Process.Kill()
	s.cmd.Wait()
}

func (s *serverProcess) socket() string { return strings.TrimSuffix(s.config, ".hcl") + ".sock" }

// controlFleet is two control machines, whose ways to one another can be cut, and gateways that follow them, under callers.
type controlFleet struct {
	t         *testing.T
	folder    string
	relays    *lbtest.Relays
	machines  []*serverProcess
	gateways  []*serverProcess
	addresses []string // of the gateways
	nodos     [2]*lbtest.Endpoint
	weight    int // makes each content a new one

	stop    atomic.Bool
	resting []atomic.Bool // the callers of a gateway
	done    sync.WaitGroup
	answers atomic.Int64
	mu      sync.Mutex
	newest  []records.Version // that was in force at each gateway
	broken  []string
}

const machinesOf, gatewaysOf = 2, 3

func newControlFleet(t *testing.T) *controlFleet {
	t.Helper()
	x := &controlFleet{t: t, folder: t.TempDir(), resting: make([]atomic.Bool, gatewaysOf), newest: make([]records.Version, gatewaysOf)}
	for i := range x.nodos {
		x.nodos[i] = lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	}
	program := withXDS(t)
	at := ports(t, machinesOf+gatewaysOf)
	var machines []string
	for i := range machinesOf {
		machines = append(machines, fmt.Sprintf("127.0.0.%d:%d", 21+i, at[i]))
	}
	x.relays = lbtest.NewRelays(t, machines)
	for i, address := range machines {
		x.machines = append(x.machines, x.process(program, fmt.Sprintf("c%d", i), fmt.Sprintf(`
process {
  control = "c%d.sock"
}
control_plane {
  name   = "c%d"
  listen = %q
  plain  = true
  state  = "c%d.state"
  peer "c%d" {
    address = %q
    plain   = true
  }
}
`, i, i, address, i, 1-i, x.relays.Addrs()[1-i])))
	}
	for i := range gatewaysOf {
		x.addresses = append(x.addresses, fmt.Sprint("127.0.0.1:", at[machinesOf+i]))
		first, second := machines[i%2], machines[1-i%2]
		x.gateways = append(x.gateways, x.process(program, fmt.Sprintf("g%d", i), fmt.Sprintf(`
process {
  stop    = "200ms"
  control = "g%d.sock"
}
xds {
  node         = "g%d"
  patience     = "1s"
  trial        = "1s"
  backoff      = "20ms"
  backoff_most = "200ms"
  plane "first" {
    address = %q
    plain   = true
  }
  plane "second" {
    address = %q
    plain   = true
  }
}
class "read" {
  aim      = "5s"
  deadline = "10s"
  effect   = "safe"
}
listener "l" {
  address = %q
}
cluster "portal" {
  xds {}
}
route "all" {
  class   = "read"
  cluster = "portal"
}
`, i, i, first, second, x.addresses[i])))
	}
	t.Cleanup(func() {
		x.awaitQuiet()
		for _, s := range append(x.machines, x.gateways...) {
			if s.cmd != nil {
				s.kill()
			}
			if t.Failed() {
				t.Logf("%s:\n%.4000s", s.config, s.log.String())
			}
		}
	})
	return x
}

func (x *controlFleet) process(program, name, text string) *serverProcess {
	path := filepath.Join(x.folder, name+".hcl")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		x.t.Fatal(err)
	}
	return &serverProcess{t: x.t, program: program, config: path}
}

// file writes the cluster with a content that there was not before, and returns the file.
func (x *controlFleet) file() string {
	x.weight++
	set := func(name, address string) string {
		host, port, _ := strings.Cut(address, ":")
		return fmt.Sprintf(`{"@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment", "cluster_name": %q, "endpoints": [{"lb_endpoints": [{
			"endpoint": {"address": {"socket_address": {"address": %q, "port_value": %s}}}, "load_balancing_weight": %d}]}]}`, name, host, port, x.weight)
	}
	cluster := func(name string) string {
		return fmt.Sprintf(`{"@type": "type.googleapis.com/envoy.config.cluster.v3.Cluster", "name": %q, "type": "EDS", "eds_cluster_config": {"eds_config": {"ads": {}}}}`, name)
	}
	path := filepath.Join(x.folder, fmt.Sprintf("portal-%d.json", x.weight))
	text := fmt.Sprintf(`{"resources": [%s, %s, %s, %s]}`, cluster("portal"), set("portal", x.nodos[x.weight%2].Addr), cluster("other"), set("other", "127.0.0.1:1"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		x.t.Fatal(err)
	}
	return path
}

// publish publishes a new content on a machine, and returns its version.
func (x *controlFleet) publish(machine int) records.Version {
	x.t.Helper()
	v, err := x.tryPublish(machine)
	if err != nil {
		x.t.Fatal(err)
	}
	return v
}

func (x *controlFleet) tryPublish(machine int) (records.Version, error) {
	out, err := exec.Command(x.machines[machine].program, "control", "publish", "--json", "--control", x.machines[machine].socket(), x.file()).Output()
	if err != nil {
		return records.Version{}, err
	}
	_, text, _ := strings.Cut(string(out), `"version":"`)
	text, _, _ = strings.Cut(text, `"`)
	return records.ParseVersion(text)
}

func (x *controlFleet) status(machine int) (v api.Status, err error) {
	a := runningInstance{Control: x.machines[machine].socket()}
	return v, a.get("/control-plane", &v)
}

// version returns what a gateway has in force.
func (x *controlFleet) version(gateway int) (v records.Version) {
	a := runningInstance{Control: x.gateways[gateway].socket()}
	var d cache.Dump
	if a.get("/xds", &d) != nil {
		return v
	}
	for _, r := range d.Resources {
		if r.Kind == "endpoints" && r.Name == "portal" {
			v, _ = records.ParseVersion(r.Version)
		}
	}
	return v
}

// isAtHome tells whether a gateway listens to the machine that stands first in its file.
func (x *controlFleet) isAtHome(gateway int) bool {
	a := runningInstance{Control: x.gateways[gateway].socket()}
	var d cache.Dump
	return a.get("/xds", &d) == nil && len(d.ControlPlanes) > 0 && d.ControlPlanes[0].Active
}

// reach waits until a gateway has a version in force, or a newer one.
func (x *controlFleet) reach(what string, v records.Version, gateways ...int) {
	x.t.Helper()
	for _, g := range gateways {
		if !lbtest.Eventually(func() bool { return x.version(g).Compare(v) >= 0 }) {
			x.t.Fatalf("%s: gateway %d has %s, not %s", what, g, x.version(g), v)
		}
	}
}

// step waits until both machines and all gateways have the same, and nobody is behind.
func (x *controlFleet) step(what string) {
	x.t.Helper()
	if !lbtest.Eventually(func() bool {
		var counters []uint64
		for i := range x.machines {
			v, err := x.status(i)
			if err != nil || !v.Ready || len(v.Versions) > 0 || !v.Peers[0].Subscribed || v.Peers[0].Behind > 0 || !v.Peers[0].Synced {
				return false
			}
			counters = append(counters, v.Counter)
		}
		same := x.version(0)
		for i := range x.gateways {
			if x.version(i) != same {
				return false
			}
		}
		return counters[0] == counters[1] && same.Counter > 0
	}) {
		for i := range x.machines {
			v, err := x.status(i)
			x.t.Logf("machine %d: %+v, %v", i, v, err)
		}
		for i := range x.gateways {
			x.t.Logf("gateway %d: %s", i, x.version(i))
		}
		x.t.Fatal(what + ": not in step")
	}
}

// call has each gateway called, and what it has in force looked at, until rest.
func (x *controlFleet) call() {
	for i := range x.gateways {
		x.done.Go(func() {
			c := http.Client{Timeout: lbtest.Wait}
			for !x.stop.Load() {
				if x.resting[i].Load() {
					time.Sleep(time.Millisecond)
					continue
				}
				status := "no answer"
				r, err := c.Get("http://" + x.addresses[i] + "/")
				if err == nil {
					r.Body.Close()
					status = r.Status
				}
				v := x.version(i)
				x.mu.Lock()
				if x.resting[i].Load() {
					x.mu.Unlock()
					continue
				}
				if err != nil || r.StatusCode != http.StatusOK {
					x.broken = append(x.broken, fmt.Sprintf("gateway %d: %s, %v", i, status, err))
				}
				if v.Compare(x.newest[i]) < 0 {
					x.broken = append(x.broken, fmt.Sprintf("gateway %d: back from %s to %s", i, x.newest[i], v))
				}
				x.newest[i] = v
				x.mu.Unlock()
				x.answers.Add(1)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}

// pause has a gateway's callers rest, or go on.
func (x *controlFleet) pause(gateway int, on bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.resting[gateway].Store(on)
}

func (x *controlFleet) awaitQuiet() {
	x.stop.Store(true)
	x.done.Wait()
}

// A configuration is in force at all who follow it, and calls go on, while a change's sender is killed, all senders are killed and
// begin anew, a receiver is paused, another begins anew from nothing, and the senders are cut from one another with changes on
// both sides: nobody goes back, the last good one holds meanwhile, and all are in step in the end.
func TestControlMachines(t *testing.T) {
	x := newControlFleet(t)
	for _, m := range x.machines {
		m.run()
	}
	for i := range x.machines {
		lbtest.Until(t, "the machines hear one another", func() bool { v, err := x.status(i); return err == nil && v.Peers[0].Synced })
	}
	first := x.publish(0)
	for _, g := range x.gateways {
		g.run()
	}
	x.reach("from nothing", first, 0, 1, 2)
	for _, at := range x.addresses { // the endpoints are in force before they are used
		lbtest.Until(t, "it serves", func() bool {
			r, err := http.Get("http://" + at + "/")
			if err == nil {
				r.Body.Close()
			}
			return err == nil && r.StatusCode == http.StatusOK
		})
	}
	x.call()
	x.step("at first")
	x.reach("a change at the first machine", x.publish(0), 0, 1, 2)
	x.reach("a change at the second", x.publish(1), 0, 1, 2)

	// A receiver is paused: the others are in step, it is known to be behind, and gets the newest once.
	x.pause(2, true)
	messages := func() (n int64) {
		v, _ := x.status(0)
		for _, s := range v.Subscribers {
			if s.Node == "g2" {
				n = s.Messages
			}
		}
		return n
	}
	before := messages()
	x.gateways[2].cmd.Process.Signal(syscall.SIGSTOP)
	var last records.Version
	for range 10 {
		last = x.publish(0)
	}
	x.reach("beside one that is paused", last, 0, 1)
	lbtest.Until(t, "the paused one is known to be behind", func() bool {
		v, err := x.status(0)
		return err == nil && len(v.Versions) == 1 && v.Versions[0].Behind == 1
	})
	if out, err := exec.Command(x.machines[0].program, "control", "status", "--config", x.machines[0].config).CombinedOutput(); err == nil || !strings.Contains(string(out), "g2") {
		t.Errorf("%v: %s", err, out)
	}
	x.gateways[2].cmd.Process.Signal(syscall.SIGCONT)
	x.reach("after a pause", last, 2)
	x.pause(2, false)
	x.step("after a pause")
	if n := messages() - before; n > 2 {
		t.Errorf("%d messages to one that was paused for 10 changes", n)
	}

	// The sender is killed in the middle of its changes. What it has answered is not lost.
	answered, killed := make(chan records.Version, 1), make(chan bool)
	go func() {
		var last records.Version
		begun := sync.OnceFunc(func() { close(killed) })
		defer begun()
		for n := range 20 {
			v, err := x.tryPublish(0)
			if err != nil {
				break
			}
			if last = v; n == 2 {
				begun()
			}
		}
		answered <- last
	}()
	<-killed
	x.machines[0].kill()
	last = <-answered
	x.reach("the sender is gone", x.publish(1), 0, 1, 2)
	x.machines[0].run()
	x.step("after the sender was killed")
	x.reach("what a killed sender has answered", last, 0, 1, 2)

	// All senders are killed together.
	for _, m := range x.machines {
		m.kill()
	}
	calls := x.answers.Load()
	lbtest.Until(t, "calls go on without control machines", func() bool { return x.answers.Load() > calls+100 })
	for _, m := range x.machines {
		m.run()
	}
	lbtest.Until(t, "the second machine takes publications", func() bool { v, err := x.status(1); return err == nil && v.Ready })
	x.reach("after all were killed", x.publish(1), 0, 1, 2)
	x.step("after all were killed")

	// A receiver begins anew from nothing.
	x.pause(1, true)
	x.gateways[1].kill()
	last = x.publish(0)
	x.gateways[1].run()
	x.reach("a receiver from nothing", last, 0, 1, 2)
	lbtest.Until(t, "it serves", func() bool {
		r, err := http.Get("http://" + x.addresses[1] + "/")
		if err == nil {
			r.Body.Close()
		}
		return err == nil && r.StatusCode == http.StatusOK
	})
	x.pause(1, false)

	// The machines are cut from one another, and both go on.
	for i := range x.gateways {
		lbtest.Until(t, "each gateway is back at its first machine", func() bool { return x.isAtHome(i) })
	}
	x.relays.Sever([]int{-1}, []int{0, 1}, true)
	lbtest.Until(t, "they have lost one another", func() bool {
		a, err := x.status(0)
		b, other := x.status(1)
		return err == nil && other == nil && a.Peers[0].State != "up" && b.Peers[0].State != "up"
	})
	left, right := x.publish(0), x.publish(1)
	x.reach("one side of a cut", left, 0, 2)
	x.reach("the other side", right, 1)
	x.relays.Heal()
	x.step("after a cut")
	winner, loser := left, right
	if winner.Compare(loser) < 0 {
		winner, loser = loser, winner
	}
	if is := x.version(0); is != winner {
		t.Errorf("%s holds, of %s and %s", is, left, right)
	}
	lost := 0 // the machine on which the lost one held has to tell; the other may have heard of the winner alone
	if loser == right {
		lost = 1
	}
	for i := range x.machines {
		v, _ := x.status(i)
		told := map[string]bool{}
		for _, c := range v.Conflicts {
			told[c.Name+" "+c.Loser] = true
		}
		if i == lost && !told["portal "+loser.String()] || told["portal "+winner.String()] {
			t.Errorf("machine %d tells of %v; %s is lost", i, told, loser)
		}
	}

	// What can't be used is in force nowhere.
	bad := filepath.Join(x.folder, "bad.json")
	text, err := os.ReadFile(x.file())
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(bad, []byte(strings.Replace(string(text), `"EDS"`, `"EDS", "lb_policy": "MAGLEV"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := exec.Command(x.machines[0].program, "control", "publish", "--config", x.machines[0].config, bad).CombinedOutput(); err == nil || !strings.Contains(string(out), "cluster/portal: lb_policy: MAGLEV") {
		t.Errorf("%v: %s", err, out)
	}
	x.step("after a bad one")
	if x.version(0) != winner {
		t.Errorf("%s is in force", x.version(0))
	}
	out, err := exec.Command(x.machines[lost].program, "control", "status", "--all", "--config", x.machines[lost].config).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "made apart") || !strings.Contains(string(out), "serves receivers: 2 clusters, 2 endpoint sets") {
		t.Errorf("%v: %s", err, out)
	}
	x.awaitQuiet()
	if len(x.broken) > 0 || x.answers.Load() < 100 {
		t.Errorf("%d calls; broken: %q", x.answers.Load(), x.broken[:min(len(x.broken), 20)])
	}
}
