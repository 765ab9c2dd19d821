// Package process runs the platform's sidecar as a process: it reads the file that LB_CONFIG names, divides the process's limits, wires the
// parts, and follows signals until SIGTERM. The parts own their goroutines; one more follows SIGHUP.
package process

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/base/ratelog"
	"silvertrail/internal/edge/admission"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/platform/admin"
	"silvertrail/internal/platform/config"
	"silvertrail/internal/platform/counters"
	"silvertrail/internal/platform/discovery"
	"silvertrail/internal/platform/discoverypoll"
	"silvertrail/internal/platform/handover"
	"silvertrail/internal/platform/sidecar"
	"silvertrail/lbpolicy"
)

const (
	reservedSockets = 32  // listener, discovery, standard streams, the runtime's own
	idleFraction    = 0.6 // of the time after which endpoints close an idle connection

	firstListTimeout = time.Second

	// The platform sends SIGKILL killDelay after the longest deadline, of which at most maxGraceDeadline counts. The process ends
	// killMargin before that.
	maxGraceDeadline = 3 * time.Second
	killDelay        = 700 * time.Millisecond
	killMargin       = 400 * time.Millisecond

	// A process that was replaced has closed its clients' idle connections drainMargin before its end.
	drainMargin = 800 * time.Millisecond

	// settleTime is how long a connection to an endpoint is not used again after a response: a second one may come some
	// milliseconds later (the platform's STANDING page).
	settleTime = 20 * time.Millisecond

	// New connections come for acceptTime after SIGTERM.
	acceptTime = 500 * time.Millisecond
)

// process is the platform's sidecar: one tier, one listener, one engine, configured by the file that LB_CONFIG names.
type process struct {
	path      string
	started   *config.Config                // at the start of the process
	current   atomic.Pointer[config.Config] // in force
	log       *slog.Logger
	counters  *counters.Set
	budget    sidecar.Budget
	client    *upstream.Client
	engine    *engine.Engine
	router    *sidecar.Router
	discovery *discovery.Client
	firstList chan struct{} // holds a token after the first list
	takeover  *sidecar.Takeover
	handover  *handover.Process // nil: no process can replace another
	server    *frontend.Server
	accepts   atomic.Bool // new clients, as the operators' interface reports it
	serveErr  chan error
}

// Run runs the sidecar until SIGTERM. An error means that it could not start or serve.
func Run() error {
	// Both from the first moment: a signal without a handler ends the process.
	stop, hangup := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(stop)
	defer signal.Stop(hangup)
	path := os.Getenv("LB_CONFIG")
	c, err := config.Load(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Ceil(c.Limits.Cores)))
	s, err := newProcess(path, c, ratelog.New(os.Stderr).With("name", c.Name))
	if err != nil {
		return err
	}
	return s.run(stop, hangup)
}

// newProcess makes the parts of the process, without a listener.
func newProcess(path string, c *config.Config, log *slog.Logger) (*process, error) {
	s := &process{path: path, started: c, log: log, counters: &counters.Set{}, firstList: make(chan struct{}, 1), serveErr: make(chan error, 1)}
	s.current.Store(c)
	s.budget = budgetOf(c, log)
	debug.SetMemoryLimit(s.budget.HeapBytes)
	log.Info("memory divided", "limit", c.Limits.MemoryMB<<20, "heap", s.budget.HeapBytes, "bodies", s.budget.BodyBytes,
		"heads", s.budget.HeadBytes, "response", s.budget.ResponseBytes)
	s.client = upstream.NewClient(upstream.Options{
		DialTimeout:     c.DialTimeout,
		IdleTimeout:     idleTimeout(c),
		SettleTime:      settleTime,
		HedgeDials:      true,
		MaxConns:        s.budget.EndpointConns,
		MaxStreamBytes:  sidecar.MaxBodyBytes,
		BufferBytes:     s.budget.ResponseBytes,
		OnSent:          func() { s.counters.AttemptsSent.Add(1) },
		OnInformational: func() { s.counters.Responses.Informational.Add(1) },
		OnEarlyResponse: func() { s.counters.Responses.Early.Add(1) },
	})
	var err error
	s.engine, err = engine.New(engine.Options{Policy: c.Policy, Seed: c.Seed, Zones: c.Zones, ReportFields: c.ReportFields, Client: s.client,
		PollDiscovery: func() { s.discovery.Watch() }, Log: log})
	if err != nil {
		return nil, err
	}
	s.router = sidecar.NewRouter(c, s.engine, s.counters, s.budget, log)
	s.initDiscovery(c)
	s.takeover = &sidecar.Takeover{Listen: c.Listen, Engine: s.engine, Router: s.router, Client: s.client, Budget: s.budget}
	return s, nil
}

// budgetOf divides the process's limits.
func budgetOf(c *config.Config, log *slog.Logger) sidecar.Budget {
	descriptors := sidecar.Descriptors(c.Limits.Sockets)
	if descriptors < c.Limits.Sockets {
		log.Warn("the system grants fewer descriptors than limits.sockets", "configured", c.Limits.Sockets, "used", descriptors)
	}
	return sidecar.NewBudget(sidecar.HeapBytes(c.Limits.MemoryMB), descriptors-reservedSockets)
}

// initDiscovery makes the discovery client, and uses the list that the configuration has cached.
func (s *process) initDiscovery(c *config.Config) {
	cached, err := endpointlist.Parse(c.CachedList)
	if err != nil && c.CachedList != nil {
		s.log.Warn("cached endpoint list ignored", "error", err)
	}
	s.discovery = discovery.New(c.Discovery, maxPollInterval(c.Policy), cached.Index, s.updateEndpoints, s.log)
	s.discovery.SharedBy(c.Policy.Balancers)
	s.engine.UpdateEndpoints(lbpolicy.Cached, cached.Entries)
}

// updateEndpoints takes over a list of the discovery.
func (s *process) updateEndpoints(kind lbpolicy.ListKind, endpoints []endpointlist.Endpoint) {
	s.engine.UpdateEndpoints(kind, endpoints)
	select {
	case s.firstList <- struct{}{}:
	default:
	}
}

// run serves until a signal on stop. Each one on hangup reloads the configuration.
func (s *process) run(stop, hangup <-chan os.Signal) error {
	listener, err := s.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.takeover.Socket = listener.(syscall.Conn)
	s.server = frontend.New(s.router, listener, admission.SingleGroup(s.takeover.ClientConns()),
		slog.NewLogLogger(s.log.Handler(), slog.LevelWarn))
	s.server.SetHeadMemory(s.budget.HeadBytes)
	closeAdmin, err := s.serveAdmin()
	if err != nil {
		return err
	}
	defer closeAdmin()
	go s.discovery.Run(ctx)
	go s.reloadOn(ctx, hangup)
	isSuccessor := s.handover != nil && !s.handover.IsFirst()
	if !isSuccessor {
		go s.serve()
	}
	stopped, err := s.awaitFirstList(stop)
	if err != nil {
		return err
	}
	if stopped && isSuccessor {
		return nil // nothing was taken over yet
	}
	if !stopped {
		s.completeTakeover(isSuccessor)
		if err := s.serveUntil(stop); err != nil {
			return err
		}
	}
	s.shutDown()
	return nil
}

func (s *process) serve() { s.serveErr <- s.server.Serve() }

// awaitFirstList waits until the list is current, if discovery responds in time. It reports a signal on stop.
func (s *process) awaitFirstList(stop <-chan os.Signal) (stopped bool, err error) {
	select {
	case <-s.firstList:
	case <-time.After(firstListTimeout):
	case err := <-s.serveErr:
		return false, err
	case <-stop:
		return true, nil
	}
	return false, nil
}

// completeTakeover takes over from the predecessor, if there is one, and waits for a successor.
func (s *process) completeTakeover(isSuccessor bool) {
	if s.handover == nil {
		return
	}
	if isSuccessor {
		if state := s.handover.TakeOver(); state != nil {
			s.takeover.ApplyState(state)
		}
		go s.serve()
	}
	s.takeover.SetFrontend(s.server)
	if err := s.handover.Listen(); err != nil {
		s.log.Warn("the next process will start without this one's state", "error", err)
	}
}

// serveUntil reports that the process is ready, and waits for a signal. Clients that came before were served, too.
func (s *process) serveUntil(stop <-chan os.Signal) error {
	s.server.SetReady()
	s.accepts.Store(true)
	s.log.Info("ready", "listen", s.started.Listen, "tier", s.started.Policy.Tier)
	select {
	case err := <-s.serveErr:
		return err
	case <-stop:
		return nil
	}
}

// shutDown shuts down gracefully.
func (s *process) shutDown() {
	s.accepts.Store(false)
	grace := gracePeriod(s.started, s.current.Load())
	now := time.Now()
	s.engine.ShutDownBy(now.Add(grace))
	serveUntil := now.Add(max(grace/2, acceptTime))
	if s.handover != nil && s.handover.IsRetired() { // a successor accepts new connections: there is time to drain
		serveUntil = now.Add(grace - drainMargin)
	}
	s.server.Shutdown(serveUntil, now.Add(grace))
	s.log.Info("ended", "held", s.engine.InFlight())
}

// serveAdmin serves the operators' interface where the configuration has one. The result closes it, and the hand-over.
func (s *process) serveAdmin() (closeAdmin func(), err error) {
	if s.started.Admin == "" {
		return func() {}, nil
	}
	l, err := net.Listen("tcp", s.started.Admin)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	operations := &sidecar.Operations{Engine: s.engine, Counters: s.counters, Rejections: s.server.Rejections, AcceptsClients: s.accepts.Load}
	if s.handover != nil {
		s.router.SetHandover(s.handover)
		operations.NotifyEjection = s.handover.NotifyEjection
	}
	server := admin.New(l, operations, slog.NewLogLogger(s.log.Handler(), slog.LevelWarn))
	go func() {
		if err := server.Serve(); err != nil {
			s.log.Error("operators' interface ended", "error", err)
		}
	}()
	return func() {
		_ = server.Close() // the process ends
		if s.handover != nil {
			s.handover.Close()
		}
	}, nil
}

// gracePeriod returns how long a process may work after SIGTERM. The platform's pages do not say whose longest deadline counts where the
// settings have changed since the start: the shorter one is safe. Requests with a later deadline fail then.
func gracePeriod(started, current *config.Config) time.Duration {
	return min(started.MaxDeadline(), current.MaxDeadline(), maxGraceDeadline) + killDelay - killMargin
}

// maxPollInterval returns the longest time between two polls of discovery, zero where lists are pushed.
func maxPollInterval(s lbpolicy.Settings) time.Duration {
	if !s.PollDiscovery {
		return 0
	}
	return cmp.Or(s.MaxPollInterval, discoverypoll.MaxWait) // without an obligation the longest wait bounds nothing
}

// reloadOn reloads the configuration with each signal on hangup.
func (s *process) reloadOn(ctx context.Context, hangup <-chan os.Signal) {
	for {
		select {
		case <-hangup:
			s.reload()
		case <-ctx.Done():
			return
		}
	}
}

// reload puts the configuration of the file in force, as a whole or not at all. Address, name and limits of the process need a restart.
func (s *process) reload() {
	running := s.current.Load()
	next, err := running.Next(s.path)
	if err == nil {
		err = s.router.Configure(next)
	}
	if err != nil {
		s.counters.ConfigsRejected.Add(1)
		s.log.Warn("reload failed, the running configuration is kept", "error", err)
		return
	}
	s.client.SetDialTimeout(next.DialTimeout)
	s.client.SetIdleTimeout(idleTimeout(next))
	s.discovery.SetAddress(next.Discovery)
	s.counters.ConfigsApplied.Add(1)
	needsRestart := next.Listen != running.Listen || next.Name != running.Name || next.Limits != running.Limits ||
		next.Admin != running.Admin || next.Policy.PollDiscovery != running.Policy.PollDiscovery
	s.log.Info("configuration reloaded", "discovery", next.Discovery, "classes", len(next.Classes), "restart_needed_for_the_rest", needsRestart)
	s.current.Store(next)
}

// listen returns the listener for clients: the predecessor's, with its state, or a new one. Without an address for operators, or a
// directory of this deployment, no process can replace another.
func (s *process) listen() (net.Listener, error) {
	dir := os.Getenv("TMPDIR") // of this deployment alone; /tmp is shared
	if s.started.Admin == "" || dir == "" {
		return listenForClients(s.started)
	}
	successor, offer, listener := handover.Start(handover.Path(dir, s.started.Listen), s.takeover, s.log)
	s.handover = successor
	if offer != nil {
		s.takeover.ApplyOffer(offer)
		s.takeover.ApplyBudget(true)
		return listener, nil
	}
	return listenForClients(s.started)
}

// idleTimeout returns how long a connection to an endpoint may have been idle to be used again.
func idleTimeout(c *config.Config) time.Duration {
	return time.Duration(idleFraction * float64(c.Policy.ConnIdleTimeout))
}

// listenForClients listens on the clients' address. With an address for operators another process may listen on it, too, as a successor
// does.
func listenForClients(c *config.Config) (net.Listener, error) {
	var lc net.ListenConfig
	if c.Admin != "" {
		lc.Control = setReusePort
	}
	return lc.Listen(context.Background(), "tcp", c.Listen)
}

func setReusePort(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
