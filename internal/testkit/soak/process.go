package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	pollInterval   = 10 * time.Millisecond
	readyPatience  = readyBound + 2*time.Second // then a process is given up
	sampleInterval = 100 * time.Millisecond
	callTimeout    = time.Second
)

// sidecarProcess is a running process of the sidecar.
type sidecarProcess struct {
	record  *Process
	log     *Log
	command *exec.Cmd
	admin   string
	output  *os.File
	ready   chan struct{} // closed when it is ready
	ended   chan struct{} // closed when it has ended
}

// startProcess starts the program beside whatever runs already.
func (s *Soak) startProcess() (*sidecarProcess, error) {
	admin, err := s.reserveAddress()
	if err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(s.options.Dir, fmt.Sprintf("sidecar-%d.log", len(s.log.Processes))))
	if err != nil {
		return nil, err
	}
	p := &sidecarProcess{record: &Process{StartedAt: time.Now()}, log: s.log, admin: admin, output: output,
		ready: make(chan struct{}), ended: make(chan struct{})}
	p.command = exec.Command(s.options.Program[0], s.options.Program[1:]...)
	p.command.Env = append(os.Environ(), "LB_CONFIG="+s.configPath(), "LB_ADMIN="+admin, "TMPDIR="+s.options.Dir)
	p.command.Env = append(p.command.Env, s.options.Env...)
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	s.log.change(func() { s.log.Processes = append(s.log.Processes, p.record) })
	go p.wait()
	go p.sample()
	return p, nil
}

// wait records the end of the process.
func (p *sidecarProcess) wait() {
	err := p.command.Wait()
	p.output.Close()
	text, _ := os.ReadFile(p.output.Name()) // without it, the exit code tells
	p.log.change(func() {
		p.record.EndedAt = time.Now()
		switch {
		case strings.Contains(string(text), "panic"), strings.Contains(string(text), "fatal error"):
			p.record.Failure = "panic, see " + filepath.Base(p.output.Name())
		case p.record.Killed:
		case err != nil:
			p.record.Failure = err.Error()
		case p.record.TerminatedAt.IsZero():
			p.record.Failure = "ended without SIGTERM"
		}
	})
	close(p.ended)
}

// sample follows what the process uses.
func (p *sidecarProcess) sample() {
	dir := fmt.Sprintf("/proc/%d", p.command.Process.Pid)
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(sampleInterval):
		}
		descriptors, err := os.ReadDir(dir + "/fd")
		if err != nil {
			continue
		}
		memory := residentBytes(dir + "/statm")
		p.log.change(func() {
			p.record.MostDescriptors = max(p.record.MostDescriptors, len(descriptors))
			p.record.MostMemoryBytes = max(p.record.MostMemoryBytes, memory)
		})
	}
}

// residentBytes reads the resident memory of a process (proc(5), statm); 0 if it has ended.
func residentBytes(path string) int64 {
	text, err := os.ReadFile(path)
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64) // the kernel writes a number
	return pages * int64(os.Getpagesize())
}

// awaitReady waits until the process says that it takes clients, and reports whether it did.
func (p *sidecarProcess) awaitReady() bool {
	for end := time.Now().Add(readyPatience); time.Now().Before(end); time.Sleep(pollInterval) {
		select {
		case <-p.ended:
			return false
		default:
		}
		if p.isReady() {
			p.log.change(func() { p.record.ReadyAt = time.Now() })
			close(p.ready)
			return true
		}
	}
	return false
}

func (p *sidecarProcess) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.admin+"/ops/readiness", nil)
	if err != nil {
		return false
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// hangUp sends SIGHUP once the process is ready: no process gets it before (DAYS, "New configurations and restarts").
func (p *sidecarProcess) hangUp() error {
	select {
	case <-p.ready:
		return p.signal(syscall.SIGHUP)
	case <-p.ended: // the next process reads the new configuration at its start
	case <-time.After(readyPatience): // a check reports it
	}
	return nil
}

// signal sends a signal. A process that has ended gets none.
func (p *sidecarProcess) signal(s syscall.Signal) error {
	err := p.command.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// terminate sends SIGTERM, once or more often.
func (p *sidecarProcess) terminate() error {
	p.log.change(func() {
		if p.record.TerminatedAt.IsZero() {
			p.record.TerminatedAt = time.Now()
		}
	})
	return p.signal(syscall.SIGTERM)
}

// awaitEnd waits for the end after SIGTERM, and sends SIGKILL at the earliest that the pages allow.
func (p *sidecarProcess) awaitEnd() error {
	select {
	case <-p.ended:
		return nil
	case <-time.After(time.Until(p.record.TerminatedAt.Add(p.log.Day.killDelay()))):
	}
	p.log.change(func() { p.record.Killed = true })
	err := p.signal(syscall.SIGKILL)
	<-p.ended
	return err
}

// pause stops the process for a time.
func (p *sidecarProcess) pause(length time.Duration) error {
	from := time.Now()
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(length)
	err := p.signal(syscall.SIGCONT)
	p.log.change(func() { p.record.Pauses = append(p.record.Pauses, Span{from, time.Now()}) })
	return err
}
