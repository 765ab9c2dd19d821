// Package endtoend runs the real program, as the platform's sidecar or as the gateway, with the limits of a configuration, between clients
// and endpoints of a test on loopback. The program is built without the race detector, which takes several times the memory that the
// settings allow.
package endtoend

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

// builds build the commands once for all tests of a package.
var builds = map[Role]func() (path string, err error){
	Sidecar: sync.OnceValues(func() (string, error) { return build("silvertrail/cmd/sidecar") }),
	Gateway: sync.OnceValues(func() (string, error) { return build("silvertrail/cmd/silvertrail") }),
}

func build(command string) (path string, err error) {
	dir, err := os.MkdirTemp("", "endtoend")
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, "program")
	output, err := exec.Command("go", "build", "-o", path, command).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return path, nil
}

// Role is what the program runs as.
type Role string

// The roles of the program.
const (
	Sidecar Role = "sidecar"
	Gateway Role = "gateway"
)

// Roles are all roles, for tests of what they share.
var Roles = []Role{Sidecar, Gateway}

// Limits are the settings under which a process runs.
type Limits struct {
	MemoryMB int           // the process's memory; the gateway's file has no such setting
	Sockets  int           // file descriptors
	Deadline time.Duration // of each class
}

// LeastLimits are the least memory that the platform's pages name, with the most descriptors (DAYS, "Score").
func LeastLimits() Limits { return Limits{MemoryMB: 32, Sockets: 1024, Deadline: 2 * time.Second} }

// Process is a running process of the program. The test's end ends it.
type Process struct {
	Addr string // for clients

	command *exec.Cmd
	logPath string
	ended   chan struct{} // closed when it has ended

	role        Role
	environment []string // of a sidecar, which another one can replace
	dir         string
}

// Start starts the program with endpoints that stay, and returns once it serves.
func Start(t testing.TB, role Role, limits Limits, endpoints ...string) *Process {
	t.Helper()
	return StartWithDiscovery(t, role, limits, lbtest.NewDiscovery(t, 1, endpoints...).Addr)
}

// StartWithDiscovery starts the program with the endpoints that a discovery lists, and returns once it serves.
func StartWithDiscovery(t testing.TB, role Role, limits Limits, discovery string) *Process {
	t.Helper()
	dir := t.TempDir()
	p := &Process{Addr: lbtest.ReserveAddress(t), role: role, dir: dir}
	if role == Gateway {
		// The gateway's file has no limit on memory: an operator sets the runtime's.
		p.environment = []string{fmt.Sprintf("GOMEMLIMIT=%dMiB", limits.MemoryMB-gatewayProgramMB)}
		p.run(t, "serve", "--config", writeGatewayFile(t, dir, p.Addr, discovery, limits))
	} else {
		p.environment = []string{"LB_CONFIG=" + writeSidecarFile(t, dir, p.Addr, discovery, limits), "TMPDIR=" + dir}
		p.run(t, adminVariable+lbtest.ReserveAddress(t))
	}
	lbtest.Until(t, "the process serves", func() bool { return isReady("http://" + p.Addr + "/health/ready") })
	return p
}

// gatewayProgramMB is the memory of the gateway's program, which the runtime's limit does not count (docs/OPERATING.md).
const gatewayProgramMB = 18

// adminVariable is the beginning of the environment's setting of the operators' address.
const adminVariable = "LB_ADMIN="

// Replace starts another sidecar that takes over from this one, which goes on with its open connections. It returns once the new process
// accepts clients.
func (p *Process) Replace(t testing.TB) *Process {
	t.Helper()
	admin := lbtest.ReserveAddress(t)
	next := &Process{Addr: p.Addr, role: p.role, dir: p.dir, environment: p.environment}
	next.run(t, adminVariable+admin)
	lbtest.Until(t, "the new process takes over", func() bool { return isReady("http://" + admin + "/ops/readiness") })
	return next
}

// run starts the process. An argument that begins with adminVariable is a part of its environment.
func (p *Process) run(t testing.TB, arguments ...string) {
	t.Helper()
	path, err := builds[p.role]()
	if err != nil {
		t.Fatal(err)
	}
	log, err := os.CreateTemp(p.dir, "log")
	if err != nil {
		t.Fatal(err)
	}
	p.logPath, p.ended = log.Name(), make(chan struct{})
	p.command = exec.Command(path)
	p.command.Env = append(os.Environ(), p.environment...)
	for _, argument := range arguments {
		if strings.HasPrefix(argument, adminVariable) {
			p.command.Env = append(p.command.Env, argument)
			continue
		}
		p.command.Args = append(p.command.Args, argument)
	}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // Ended reports the end
		log.Close()
		close(p.ended)
	}()
	t.Cleanup(func() { p.end(t) })
}

// end ends the process, and prints its log if the test has failed.
func (p *Process) end(t testing.TB) {
	t.Helper()
	_ = p.command.Process.Kill() // fails where the process has ended
	<-p.ended
	if text, err := os.ReadFile(p.logPath); err == nil && t.Failed() {
		t.Logf("log of the process:\n%s", text)
	}
}

// isReady reports whether a readiness check passes.
func isReady(url string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Signal sends a signal.
func (p *Process) Signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Error(err)
	}
}

// PeakMemory returns the most bytes that the process has had resident (proc(5), VmHWM).
func (p *Process) PeakMemory(t testing.TB) int64 {
	t.Helper()
	return p.statusBytes(t, "VmHWM")
}

// Memory returns the bytes that the process has resident (proc(5), VmRSS).
func (p *Process) Memory(t testing.TB) int64 {
	t.Helper()
	return p.statusBytes(t, "VmRSS")
}

func (p *Process) statusBytes(t testing.TB, field string) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		if name != field {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return kilobytes << 10
	}
	t.Fatalf("no %s in the status of the process", field)
	return 0
}
