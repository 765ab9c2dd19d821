package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"silvertrail/internal/gateway"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

var long = flag.Bool("long", false, "play the full size of what is scaled down by default")

// runAs makes this test's binary the program, for processes that are killed and paused.
const runAs = "SILVERTRAIL_TEST_RUN"

// runWith is how many descriptors it may have.
const runWith = "SILVERTRAIL_TEST_DESCRIPTORS"

func TestMain(m *testing.M) {
	if os.Getenv(runAs) != "" {
		if n, _ := strconv.Atoi(os.Getenv(runWith)); n > 0 {
			limit := syscall.Rlimit{Cur: uint64(n), Max: uint64(n)}
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
		}
		if err := run(os.Args[1:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// instance is a process of the program.
type instance struct {
	t      *testing.T
	config string
	addr   string // of its listener

	descriptors int // 0: as the system grants
	log         lbtest.Log

	mu  sync.Mutex
	cmd *exec.Cmd
}

// run starts the process and waits for its listener.
func (i *instance) run() {
	cmd := exec.Command(os.Args[0], "serve", "--config", i.config)
	cmd.Env = append(os.Environ(), runAs+"=1")
	cmd.Stderr = &i.log
	if i.descriptors > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d", runWith, i.descriptors))
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		i.t.Error(err)
		return
	}
	if err := cmd.Start(); err != nil {
		i.t.Error(err)
		return
	}
	i.mu.Lock()
	i.cmd = cmd
	i.mu.Unlock()
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "listener") {
		i.t.Errorf("%s: %q %v", i.config, line, err)
	}
	if _, at, ok := strings.Cut(strings.TrimSpace(line), " on "); ok && i.addr == "" {
		i.addr = at
	}
	go io.Copy(io.Discard, out)
}

func (i *instance) signal(s os.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cmd.Process.Signal(s)
}

func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cmd.Wait()
}

// nextPort is where the search for free ports goes on: below those that the system picks for connections, which the callers
// of one test could take from the processes of another before these listen.
var nextPort atomic.Int32

func init() { nextPort.Store(12000 + rand.Int32N(8000)) }

// ports returns ports that are free on all addresses.
func ports(t *testing.T, n int) (out []int) {
	t.Helper()
	for tries := 0; len(out) < n; tries++ {
		if tries > 1000 {
			t.Fatal("no free ports")
		}
		p := int(nextPort.Add(1))
		l, err := net.Listen("tcp", fmt.Sprint(":", p))
		if err != nil {
			continue
		}
		l.Close()
		out = append(out, p)
	}
	return out
}

const fleetOf = 5

// newFleet writes the configurations of a fleet in front of nodos in two salas.
func newFleet(t *testing.T, nodos []*fake.Endpoint) []*instance {
	t.Helper()
	return newFleetBehind(t, nodos, "", nil)
}

// newFleetBehind has each instance reached at an address that reached returns for the one that it listens on, and more in
// its fleet block.
func newFleetBehind(t *testing.T, nodos []*fake.Endpoint, more string, reached func(at []string) []string) (all []*instance) {
	t.Helper()
	dir := t.TempDir()
	key, err := conf.NewKey()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "fleet.keys"), []byte(key+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	free := ports(t, 2*fleetOf)
	endpoints := ""
	for n, nodo := range nodos {
		endpoints += fmt.Sprintf("  endpoint \"n%d\" {\n    address = %q\n    zone = %q\n  }\n", n, nodo.Addr, []string{"north", "south"}[n/2])
	}
	var listens, seeds []string
	for i := range fleetOf {
		listens = append(listens, fmt.Sprintf("127.0.0.%d:%d", 10+i, free[fleetOf+i]))
	}
	if !strings.Contains(more, "voters") {
		more += "\n  voters  = [\"i0\", \"i1\", \"i2\", \"i3\", \"i4\"]"
	}
	advertised := listens
	if reached != nil {
		advertised = reached(listens)
	}
	for _, a := range advertised {
		seeds = append(seeds, fmt.Sprintf("%q", a))
	}
	for i := range fleetOf {
		text := fmt.Sprintf(`
process {
  zones   = ["north", "south"]
  zone    = "north"
  sockets = 512
  stop    = "1s"
  control = "control-%[1]d.sock"
}
fleet "provincia" {
  name    = "i%[1]d"
  listen  = %[2]q
  advertise = %[6]q
  seeds   = [%[3]s]
%[7]s
  keyring = "fleet.keys"
  new     = true
}
class "seat" {
  aim      = "600ms"
  deadline = "600ms"
  effect   = "keyed"
  scope    = "zone"
  window   = "30s"
  keep     = "5s"
}
class "look" {
  aim      = "600ms"
  deadline = "600ms"
  effect   = "safe"
}
listener "l" {
  address = "127.0.0.1:%[4]d"
}
cluster "c" {
%[5]s}
route "seat" {
  match {
    methods = ["POST"]
  }
  class   = "seat"
  cluster = "c"
}
route "look" {
  class   = "look"
  cluster = "c"
}
`, i, listens[i], strings.Join(seeds, ", "), free[i], endpoints, advertised[i], more)
		path := filepath.Join(dir, fmt.Sprintf("i%d.hcl", i))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		in := &instance{t: t, config: path, addr: fmt.Sprintf("127.0.0.1:%d", free[i])}
		in.run()
		// From now on a start is one after others.
		if err := os.WriteFile(path, []byte(strings.Replace(text, "  new     = true\n", "", 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(in.kill)
		all = append(all, in)
	}
	return all
}

// control asks an instance on its control socket.
func (i *instance) control(path string, out any) error {
	text, err := i.query(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, out)
}

// query returns what an instance says on its control socket.
func (i *instance) query(path string) ([]byte, error) {
	file, err := conf.Load(i.config)
	if err != nil {
		return nil, err
	}
	c, err := net.DialTimeout("unix", file.Control, lbtest.Wait)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(lbtest.Wait))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", path)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	return io.ReadAll(r.Body)
}

// members asks an instance for its view of the fleet.
func (i *instance) members() (v gateway.FleetStatus, err error) {
	err = i.control("/fleet/members", &v)
	return v, err
}

func awaitMembers(t *testing.T, all []*instance, n int) {
	t.Helper()
	for _, i := range all {
		lbtest.Until(t, fmt.Sprintf("%s sees %d", i.config, n), func() bool {
			v, err := i.members()
			alive := 0
			for _, m := range v.Members {
				if m.State == "alive" {
					alive++
				}
			}
			return err == nil && alive == n
		})
	}
}

// request makes one request at an instance, with further header lines. Status 0: given up, or no whole answer.
func request(addr, method, key string, patience time.Duration, lines ...string) (status int) {
	c, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(c, "%s /seat HTTP/1.1\r\nHost: x\r\nConnection: close\r\n", method)
	if key != "" {
		fmt.Fprintf(c, "Content-Length: 0\r\nIdempotency-Key: %s\r\n", key)
	}
	io.WriteString(c, strings.Join(append(lines, "", ""), "\r\n"))
	text, err := io.ReadAll(c)
	if err != nil {
		return 0
	}
	fmt.Sscanf(string(text), "HTTP/1.1 %d", &status)
	return status
}

// newZones starts four nodos of two salas, each of which remembers keys in common. trouble is asked what becomes of the
// answer to the n-th request that is worked through with a key.
func newZones(t *testing.T, trouble func(nodo int, n int64) fake.Fault) (nodos []*fake.Endpoint, groups [2]*fake.Group) {
	t.Helper()
	groups = [2]*fake.Group{fake.NewGroup("north", 10*time.Minute), fake.NewGroup("south", 10*time.Minute)}
	var worked atomic.Int64
	for i := range 4 {
		n, err := fake.NewEndpoint(fake.EndpointOptions{Name: fmt.Sprint("n", i), Group: groups[i/2], Work: time.Millisecond,
			Fault: func(r *http.Request) fake.Fault {
				if r.Method != http.MethodPost {
					return fake.NoFault
				}
				return trouble(i, worked.Add(1))
			}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		nodos = append(nodos, n)
	}
	return nodos, groups
}

// countEffects holds that no key took effect in two salas, nor twice in one, and returns how many did.
func countEffects(t *testing.T, groups [2]*fake.Group) int {
	t.Helper()
	keys := groups[0].Effects()
	for key, n := range groups[1].Effects() {
		keys[key] += n
	}
	for key, n := range keys {
		if n > 1 {
			t.Errorf("%s took effect %d times, %d of them north", key, n, groups[0].Effects()[key])
		}
	}
	return len(keys)
}

// Five processes, callers that repeat through another one each time, and give up early, nodos of two salas of which some
// leave answers out; one instance is killed and comes back, another is paused and returns: no key takes effect in two
// salas, nor twice in one, and classes that need no history are served all the time.
func TestFleetUnderTrouble(t *testing.T) {
	nodos, groups := newZones(t, func(nodo int, n int64) fake.Fault {
		switch n % int64(8+4*nodo) {
		case 0:
			return fake.NoResponse
		case 4:
			return fake.ConnectionReset
		}
		return fake.NoFault
	})
	all := newFleet(t, nodos)
	awaitMembers(t, all, fleetOf)
	pause, requests := 2*time.Second, 60
	if *long {
		pause, requests = 10*time.Second, 400
	}
	var answers, looks [600]atomic.Int64
	var repeats atomic.Int64
	var callers sync.WaitGroup
	for caller := range 32 {
		callers.Go(func() {
			d := rand.New(rand.NewPCG(uint64(caller), 11))
			for i := range requests {
				key, at := fmt.Sprintf("k-%d-%d", caller, i), d.IntN(fleetOf)
				for try := range 4 {
					patience := 3 * time.Second
					if try == 0 && d.IntN(4) == 0 {
						patience = time.Duration(300+d.IntN(180)) * time.Millisecond
					}
					status := request(all[(at+try)%fleetOf].addr, "POST", key, patience)
					answers[status].Add(1)
					if try > 0 {
						repeats.Add(1)
					}
					if status == 200 {
						break
					}
					time.Sleep(time.Duration(d.IntN(50)) * time.Millisecond)
				}
				if i%4 == 0 {
					looks[request(all[4].addr, "GET", "", 3*time.Second)].Add(1)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { callers.Wait(); close(done) }()
	time.Sleep(300 * time.Millisecond)
	all[0].kill()
	time.Sleep(500 * time.Millisecond)
	all[1].signal(syscall.SIGSTOP)
	go all[0].run()
	time.Sleep(pause)
	all[1].signal(syscall.SIGCONT)
	<-done
	took := countEffects(t, groups)
	var told strings.Builder
	for status := range answers {
		if n, m := answers[status].Load(), looks[status].Load(); n+m > 0 {
			fmt.Fprintf(&told, " %d: %d and %d;", status, n, m)
		}
	}
	t.Logf("answers to keyed requests and to others:%s %d repeats, %d keys of %d took effect", told.String(), repeats.Load(),
		took, 32*requests)
	if repeats.Load() < 50 || answers[200].Load() < int64(32*requests)/2 || looks[200].Load() < int64(32*requests)/4*95/100 {
		t.Error("tests little, or serves little")
	}
	awaitMembers(t, all, fleetOf)
}
