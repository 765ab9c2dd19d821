// Package soak plays a day of the sidecar: real processes of the program, with endpoints, a discovery and clients of its own on
// loopback, under a schedule that a seed draws. What clients and endpoints saw is merged after the day, and checked against the
// rules and figures of the platform's pages (check.go).
//
// A Soak owns all goroutines and processes that it starts; Run returns when they have ended.
package soak

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"silvertrail/internal/testkit/loopback"
)

// Options configure a play.
type Options struct {
	Program []string // the command of the sidecar
	Env     []string // of its processes, beyond what the platform sets
	Dir     string   // for the configuration, the hand-over and the logs
}

// Soak is one play of a day.
type Soak struct {
	options   Options
	day       Day
	log       *Log
	front     *front
	discovery *discovery
	endpoints []*endpoint
	current   atomic.Pointer[sidecarProcess]
	startedAt time.Time

	configMu         sync.Mutex
	discoveryAddress string

	releaseAddresses []func() // of the goroutine that plays the processes

	errMu sync.Mutex
	err   error
}

const (
	longPause       = 500 * time.Millisecond
	minStepDistance = 300 * time.Millisecond
	hangupCount     = 4
	hangupInterval  = 200 * time.Millisecond
	hangupLead      = 5 * time.Millisecond // of SIGHUP before SIGTERM
	secondSignal    = 100 * time.Millisecond
	newConnections  = 300 * time.Millisecond // after SIGTERM (PROTOCOL: 0.2 to 0.4 s)
	lastAnswersWait = 500 * time.Millisecond
)

// Run plays a day and returns what was seen. An error means that the day could not be played.
func Run(day Day, o Options) (*Log, error) {
	s := &Soak{options: o, day: day, log: &Log{Day: day}, front: &front{}, discovery: newDiscovery()}
	defer s.discovery.close()
	defer func() {
		for _, release := range s.releaseAddresses {
			release()
		}
	}()
	if err := s.prepare(); err != nil {
		return nil, err
	}
	defer func() {
		for _, e := range s.endpoints {
			e.setMode(answers)
			e.stop()
		}
	}()
	s.startedAt = time.Now()
	s.start()
	var clients, lanes sync.WaitGroup
	for n := range clientCount {
		c := &client{number: n, front: s.front, log: s.log, leaves: day.ClientsLeave, maxDeadline: day.MaxDeadline,
			random: rand.New(rand.NewPCG(day.Seed, uint64(n+1))), uploads: day.Uploads, hugeUploads: len(day.Slow) > 0, uploadRandom: rand.New(rand.NewPCG(day.Seed, uint64(clientCount+n+1)))}
		clients.Go(c.run)
	}
	lanes.Go(func() { s.play(day.Process, s.processStep) })
	lanes.Go(func() { s.play(day.Surroundings, s.surroundingsStep) })
	lanes.Go(func() { s.play(day.Answers, s.surroundingsStep) })
	lanes.Go(func() { s.play(day.UploadSteps, s.surroundingsStep) })
	lanes.Go(func() { s.play(day.Slow, s.surroundingsStep) })
	lanes.Wait()
	time.Sleep(time.Until(s.startedAt.Add(day.Length)))
	s.front.stopped.Store(true)
	clients.Wait()
	time.Sleep(lastAnswersWait)
	s.end()
	s.log.EndedAt = time.Now()
	return s.log, s.err
}

// end ends the last process.
func (s *Soak) end() {
	if p := s.current.Load(); p != nil {
		s.check(p.terminate())
		s.check(p.awaitEnd())
	}
}

// check keeps the first error of the play itself.
func (s *Soak) check(err error) {
	s.errMu.Lock()
	defer s.errMu.Unlock()
	if s.err == nil {
		s.err = err
	}
}

// reserveAddress returns an address for a process that lasts until the end of the day.
func (s *Soak) reserveAddress() (string, error) {
	address, release, err := loopback.Reserve()
	if err != nil {
		return "", err
	}
	s.releaseAddresses = append(s.releaseAddresses, release)
	return address, nil
}

func (s *Soak) configPath() string { return filepath.Join(s.options.Dir, "config.json") }

// prepare starts the endpoints and discovery, and writes the configuration.
func (s *Soak) prepare() error {
	for n := range endpointCount {
		e, err := newEndpoint(n, s.log)
		if err != nil {
			return err
		}
		s.endpoints = append(s.endpoints, e)
		s.list(e, "ready")
	}
	var err error
	if s.discoveryAddress, err = s.discovery.listen(); err != nil {
		return err
	}
	if s.front.address, err = s.reserveAddress(); err != nil {
		return err
	}
	return s.writeConfig()
}

func (s *Soak) writeConfig() error {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	return writeConfig(s.configPath(), s.front.address, s.discoveryAddress, s.day)
}

// list lists an endpoint in discovery; without a status it is removed.
func (s *Soak) list(e *endpoint, status string) {
	listed := entry{Name: fmt.Sprintf("s-%d", e.number), Zone: e.zone, Group: 1, Status: status}
	e.mu.Lock()
	if status != "" {
		listed.Address = e.listener.Addr().String()
	}
	if !e.startedAt.IsZero() {
		listed.StartedAt = e.startedAt.UnixMilli()
	}
	e.mu.Unlock()
	s.discovery.set(listed)
}

// play plays the steps of one lane, one after the other. One that is delayed by the step before keeps a distance, as pauses that
// follow each other at once are a longer pause.
func (s *Soak) play(steps []Step, perform func(Step) error) {
	earliest := s.startedAt
	for _, step := range steps {
		at := s.startedAt.Add(step.At)
		if at.Before(earliest) {
			at = earliest
		}
		time.Sleep(time.Until(at))
		s.check(perform(step))
		earliest = time.Now().Add(minStepDistance)
	}
}

// start starts a process where none runs, and lets clients in once it is ready.
func (s *Soak) start() {
	p, err := s.startProcess()
	s.check(err)
	if err != nil {
		return
	}
	s.current.Store(p)
	if p.awaitReady() {
		s.front.open.Store(true)
	}
}

// processStep plays an action on the sidecar's process.
func (s *Soak) processStep(step Step) error {
	current := s.current.Load()
	if current == nil {
		return nil
	}
	switch step.Action {
	case Hangups:
		for range hangupCount {
			if err := current.signal(syscall.SIGHUP); err != nil {
				return err
			}
			time.Sleep(hangupInterval)
		}
		return nil
	case HangupTerminate:
		if err := current.signal(syscall.SIGHUP); err != nil {
			return err
		}
		time.Sleep(hangupLead)
		return s.restart(1)
	case TerminateTwice:
		return s.restart(2)
	case TerminateAtReady:
		if err := s.restart(1); err != nil {
			return err
		}
		return s.restart(1)
	case Replace:
		return s.replace()
	case ShortPause:
		return current.pause(grantedPause)
	case LongPause:
		return current.pause(longPause)
	}
	return fmt.Errorf("soak: unknown action %q", step.Action)
}

// restart ends the process with a number of signals, and starts the next one.
func (s *Soak) restart(signals int) error {
	ending := s.current.Load()
	closed := time.AfterFunc(newConnections, func() { s.front.open.Store(false) })
	for range signals {
		if err := ending.terminate(); err != nil {
			return err
		}
		time.Sleep(secondSignal)
	}
	err := ending.awaitEnd()
	closed.Stop()
	s.front.open.Store(false)
	s.start()
	return err
}

// replace starts a second process beside the first one, which gets SIGTERM once the second one is ready.
func (s *Soak) replace() error {
	next, err := s.startProcess()
	if err != nil {
		return err
	}
	s.log.change(func() { next.record.replacedWhileRunning = true })
	previous := s.current.Load()
	if !next.awaitReady() {
		return nil // the checks tell
	}
	s.current.Store(next)
	if err := previous.terminate(); err != nil {
		return err
	}
	return previous.awaitEnd()
}

// endpointModes are the modes that actions set.
var endpointModes = map[Action]mode{
	EndpointHangs:   hangs,
	EndpointFails:   fails,
	EndpointResets:  resets,
	EndpointStalls:  stalls,
	EndpointTrickle: trickles,
	EndpointInforms: informs,
	EndpointEarly:   precedes,
	EndpointLumps:   lumps,
	EndpointStuck:   stuck,
}

// surroundingsStep plays an action on endpoints, discovery or clients.
func (s *Soak) surroundingsStep(step Step) error {
	switch step.Action {
	case EndpointHangs, EndpointFails, EndpointResets, EndpointStalls, EndpointTrickle, EndpointInforms, EndpointEarly, EndpointLumps, EndpointStuck:
		s.setMode(step.Endpoint, endpointModes[step.Action])
		time.Sleep(step.Length)
		s.setMode(step.Endpoint, answers)
		return nil
	case EndpointDrains:
		return s.drain(s.endpoints[step.Endpoint])
	case DiscoverySlow:
		s.discovery.setSlow(true)
		time.Sleep(step.Length)
		s.discovery.setSlow(false)
		return nil
	case DiscoverySilent:
		s.silence(step.Length)
		return nil
	case DiscoveryMoves:
		return s.moveDiscovery()
	case Crowd:
		s.crowd(step.Length)
		return nil
	case SlowCrowd:
		slowCrowd(s.front, step.Length)
		return nil
	}
	return fmt.Errorf("soak: unknown action %q", step.Action)
}

// setMode sets how an endpoint, or all, treat requests.
func (s *Soak) setMode(endpoint int, m mode) {
	for _, e := range s.endpoints {
		if endpoint == allEndpoints || e.number == endpoint {
			e.setMode(m)
		}
	}
}

// drain has an endpoint drain, end, and come back cold at another address.
func (s *Soak) drain(e *endpoint) error {
	from := time.Now()
	s.list(e, "draining")
	number := 0
	s.log.change(func() {
		number = len(s.log.Withdrawals)
		s.log.Withdrawals = append(s.log.Withdrawals, Withdrawal{e.number, Span{From: from}})
	})
	time.Sleep(drainTime)
	s.list(e, "")
	e.stop()
	time.Sleep(downTime)
	startedAt := time.Now()
	if err := e.start(startedAt); err != nil {
		return err
	}
	s.log.change(func() {
		s.log.Starts = append(s.log.Starts, Start{e.number, startedAt})
		s.log.Withdrawals[number].To = time.Now()
	})
	s.list(e, "ready")
	return nil
}

func (s *Soak) silence(length time.Duration) {
	number := 0
	s.log.change(func() {
		number = len(s.log.Silences)
		s.log.Silences = append(s.log.Silences, Span{From: time.Now()})
	})
	s.discovery.setSilent(true)
	time.Sleep(length)
	s.log.change(func() { s.log.Silences[number].To = time.Now() })
	s.discovery.setSilent(false)
}

// moveDiscovery moves discovery to another address, which a new configuration tells at SIGHUP.
func (s *Soak) moveDiscovery() error {
	address, err := s.discovery.listen()
	if err != nil {
		return err
	}
	s.configMu.Lock()
	s.discoveryAddress = address
	s.configMu.Unlock()
	if err := s.writeConfig(); err != nil {
		return err
	}
	s.log.change(func() { s.log.Moves = append(s.log.Moves, time.Now()) })
	if current := s.current.Load(); current != nil {
		return current.hangUp()
	}
	return nil
}

func (s *Soak) crowd(length time.Duration) {
	number := 0
	s.log.change(func() {
		number = len(s.log.Crowds)
		s.log.Crowds = append(s.log.Crowds, Span{From: time.Now()})
	})
	s.front.crowded.Store(true)
	crowd(s.front, length)
	s.front.crowded.Store(false)
	s.log.change(func() { s.log.Crowds[number].To = time.Now() })
}
