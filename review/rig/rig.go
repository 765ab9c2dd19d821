// Package rig runs a review case: it starts the project's programs as separate processes, on loopback addresses and the real clock, keeps a
// record of what was sent, answered and run, and ends all processes. A case runs in one process, which hosts the clients and servers.
package rig

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// maxCaseTime ends a case that hangs. A case may take 120 s.
const maxCaseTime = 110 * time.Second

// Case is one run of a review case. Its methods may be called from any goroutine.
type Case struct {
	Trouble bool   // the disruption takes place
	Dir     string // a temporary folder
	Root    string // of the repository

	started time.Time

	mu        sync.Mutex
	record    *os.File
	broken    bool
	processes []*Process
	reserved  []net.Listener
}

// Main runs a case and ends this process with the case's exit status. The variable CASE_DIR names the case's folder. An error means that
// the case could not run.
func Main(run func(c *Case) error) {
	c, err := newCase()
	if err != nil {
		fmt.Fprintln(os.Stderr, "case:", err)
		os.Exit(statusNotRun)
	}
	done := make(chan error, 1)
	go func() { done <- run(c) }()
	select {
	case err = <-done:
	case <-time.After(maxCaseTime):
		err = errors.New("the case takes too long")
	}
	os.Exit(c.end(err))
}

func newCase() (*Case, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(os.Getenv("CASE_DIR"), "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Case{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, Root: root, started: time.Now(), record: record}, nil
}

// end ends all processes and returns the exit status.
func (c *Case) end(err error) int {
	c.mu.Lock()
	processes := c.processes
	c.mu.Unlock()
	for _, p := range processes {
		p.Kill()
	}
	for _, p := range processes {
		c.appendLog(p)
	}
	_ = os.RemoveAll(c.Dir) // a temporary folder
	switch {
	case err != nil:
		c.Logf("the case could not run: %v", err)
		return statusNotRun
	case c.broken:
		c.Logf("verdict: the rule was broken")
		return statusBroken
	}
	c.Logf("verdict: the rule held")
	return statusHeld
}

// appendLog adds a process's log to the record.
func (c *Case) appendLog(p *Process) {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "--- log of %s\n%s", p.name, text)
}

// Logf adds a line to the record, with the seconds since the start, and prints it.
func (c *Case) Logf(format string, args ...any) { fmt.Print(c.Recordf(format, args...)) }

// Recordf adds a line to the record alone, and returns it.
func (c *Case) Recordf(format string, args ...any) string {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...))
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.record.WriteString(line) // a record that cannot be written shows by its absence
	return line
}

// Broken records that the rule was broken.
func (c *Case) Broken(format string, args ...any) {
	c.Logf("BROKEN: "+format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
}

// FreeAddress returns a loopback address on which nobody listens.
func (c *Case) FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	c.mu.Lock()
	c.reserved = append(c.reserved, l) // held until Release, so that no address is returned twice
	c.mu.Unlock()
	return l.Addr().String()
}

// Release frees the addresses that FreeAddress has returned, for the processes that are started next.
func (c *Case) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.reserved {
		l.Close()
	}
	c.reserved = nil
}

// Write replaces a file in the temporary folder atomically, and returns its path.
func (c *Case) Write(name, text string) (string, error) {
	path := filepath.Join(c.Dir, name)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// Process is a process of the project's programs.
type Process struct {
	c       *Case
	name    string
	logPath string
	command *exec.Cmd
	ended   chan struct{}
}

// Start starts a command by /bin/sh from the root of the repository, with further environment variables. The command should begin with
// exec, so that signals reach the program.
func (c *Case) Start(name, command string, environment ...string) (*Process, error) {
	p := &Process{c: c, name: name, logPath: filepath.Join(c.Dir, name+".out"), ended: make(chan struct{})}
	log, err := os.Create(p.logPath)
	if err != nil {
		return nil, err
	}
	p.command = exec.Command("/bin/sh", "-c", command)
	p.command.Dir = c.Root
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	c.Logf("%s started: %s", name, command)
	go func() {
		_ = p.command.Wait() // Logf tells how it ended
		c.Logf("%s ended: %v", name, p.command.ProcessState)
		log.Close()
		close(p.ended)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	p.c.Logf("%s gets signal %v", p.name, s)
	return p.command.Process.Signal(s)
}

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // fails where the process has ended
	<-p.ended
}

// Log returns what the process has written to its standard output and error.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.logPath)
	return string(text)
}

// Await waits until a condition holds, for so long at most.
func Await(what string, timeout time.Duration, holds func() bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: not within %v", what, timeout)
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// Command runs a command of the project to its end, and returns its output.
func (c *Case) Command(command string) (string, error) {
	run := exec.Command("/bin/sh", "-c", command)
	run.Dir = c.Root
	output, err := run.CombinedOutput()
	c.Logf("%s: %v\n%s", command, err, output)
	return string(output), err
}
