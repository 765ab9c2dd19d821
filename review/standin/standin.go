// Package standin holds what the cases of the review share: the sidecar's process and its configuration, and the record of a run.
// All addresses are on loopback.
package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	ExitHeld    = 0
	ExitBroken  = 1
	ExitNotRun  = 2
	readyBound  = 30 * time.Second // the pages' bound on a sidecar's start
	pollPause   = 20 * time.Millisecond
	stopTimeout = 5 * time.Second
	httpTimeout = time.Second
)

// Record writes what happens in a run, one line for each event.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the record at a path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Printf adds a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the record.
func (r *Record) Close() { r.file.Close() }

// FreeAddress returns a loopback address whose port is free now.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Class is a class of requests, in the words of the settings.
type Class struct {
	Name      string  `json:"name"`
	Deadline  float64 `json:"deadline"`
	GoalTime  float64 `json:"goal_time"`
	Effect    string  `json:"effect"`
	KeyScope  string  `json:"key_scope"`
	Window    float64 `json:"window"`
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late_worth"`
	Stream    bool    `json:"stream"`
}

// Config is a sidecar's configuration.
type Config struct {
	Listen, Discovery string
	Sockets           int
	Zones             []string // the sidecar is in the first one
	Classes           []Class
}

// Write writes the configuration file.
func (c Config) Write(path string) error {
	settings := map[string]any{
		"balancers": 1, "me": 0, "tier": 0, "zone": 0, "zones": c.Zones, "kinds": []string{"one-core"}, "tiers": []string{"front"},
		"classes": c.Classes, "registry_mode": "pushed", "tick": 0.005, "weight_kind": "off", "counted_by": "request",
		"clients":   map[string]any{"marks_retry": true},
		"customers": []any{},
		"limits": map[string]any{"cancelling": true, "conn_idle": 5.0, "dial_timeout": 0.25, "max_attempts": 3, "max_open": 20000,
			"max_retry_after": 2.0, "may_duplicate": true, "peers": false, "probes": true, "retry_after": true, "streams_per_conn": 1,
			"cpu_us_per_request": 0, "cpu_us_per_s": 0},
		"obligations": map[string]any{"answer_slack": 0.02, "cold": 22.0, "drain_grace": 0.25, "fall": 2.0, "fall_multiple": 2.5,
			"must_ask_in": 10.0, "start_capacity": 0.15},
		"tariffs":   map[string]any{"cross_zone": 0.01, "handshake": 0.0},
		"telemetry": map[string]any{"via": "off", "fields": []string{}},
	}
	text, err := json.MarshalIndent(map[string]any{"name": "n0", "listen": c.Listen, "discovery": c.Discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": c.Sockets}, "settings": settings}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// Process is a process of the program under review.
type Process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// Sidecar is the program as a sidecar.
type Sidecar struct {
	*Process
	Admin string
}

// runCommand returns the command of the deploy file that starts a sidecar.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command, nil
		}
	}
	return "", errors.New("the deploy file names no run command")
}

// StartSidecar writes the configuration and starts a sidecar as the deploy file says. Several processes of one run share its folder.
func (c *Case) StartSidecar(config Config, name string) (*Sidecar, error) {
	path := filepath.Join(c.Dir, "config.json")
	if err := config.Write(path); err != nil {
		return nil, err
	}
	admin, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	process, err := c.start(name, "", "LB_CONFIG="+path, "LB_NAME=n0", "LB_LISTEN="+config.Listen,
		"LB_DISCOVERY="+config.Discovery, "LB_ADMIN="+admin, "TMPDIR="+c.Dir)
	if err != nil {
		return nil, err
	}
	return &Sidecar{Process: process, Admin: admin}, nil
}

// StartGateway starts a gateway with a configuration file.
func (c *Case) StartGateway(path, name string) (*Process, error) {
	return c.start(name, " serve --config "+path)
}

// start runs the deploy file's run command with further arguments and variables.
func (c *Case) start(name, arguments string, environment ...string) (*Process, error) {
	command, err := runCommand(c.Root)
	if err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(c.Dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer output.Close()
	p := &Process{command: exec.Command("/bin/sh", "-c", command+arguments), ended: make(chan struct{})}
	p.command.Dir = c.Root
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	c.Record.Printf("%s started, process %d", name, p.command.Process.Pid)
	go func() {
		err := p.command.Wait()
		c.Record.Printf("%s ended: %v", name, err)
		close(p.ended)
	}()
	return p, nil
}

// AwaitReady waits until the process says that it takes clients.
func (s *Sidecar) AwaitReady() error {
	client := &http.Client{Timeout: httpTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyBound); time.Now().Before(end); time.Sleep(pollPause) {
		if s.HasEnded() {
			return errors.New("the sidecar ended at its start")
		}
		response, err := client.Get("http://" + s.Admin + "/ops/readiness")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the sidecar is not ready")
}

// HasEnded reports whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process, unless it has ended.
func (p *Process) Signal(signal syscall.Signal) error {
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Stop ends the process, by SIGKILL if SIGTERM does not.
func (p *Process) Stop() {
	if p == nil || p.HasEnded() {
		return
	}
	_ = p.Signal(syscall.SIGTERM) // the wait below tells
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		_ = p.Signal(syscall.SIGKILL)
		<-p.ended
	}
}
