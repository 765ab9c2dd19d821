package main

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
	"silvertrail/internal/edge/admission"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/platform/admin"
	"silvertrail/internal/platform/config"
	"silvertrail/internal/platform/counters"
	"silvertrail/internal/platform/discovery"
	"silvertrail/internal/platform/discoverypoll"
	"silvertrail/internal/platform/handover"
	platform "silvertrail/internal/platform/sidecar"
	"silvertrail/lbpolicy"
)

const (
	ownSockets = 32   // listener, discovery, standard streams, the runtime's own
	heapPart   = 0.75 // of the memory limit, for the runtime's; the rest is headroom
	bodyPart   = 0.35 // for request bodies
	idlePart   = 0.6  // of the time after which endpoints close an idle connection
	firstList  = time.Second

	// SIGKILL comes no sooner than the longest deadline, of which at most longest counts, and killIn after SIGTERM.
	longest = 3 * time.Second
	killIn  = 700 * time.Millisecond
	spare   = 400 * time.Millisecond

	// A process that has been replaced has closed its callers' idle connections this long before its end.
	waneSpare = 800 * time.Millisecond

	// Second answers come some milliseconds behind the first (the platform's STANDING page).
	settle = 20 * time.Millisecond

	acceptOn = 500 * time.Millisecond // new connections go on coming this long after SIGTERM
)

// sidecar is the platform's sidecar: one tier, one listener, one balancer, told all by the file that LB_CONFIG names.
func sidecar() error {
	path := os.Getenv("LB_CONFIG")
	// Both from the first moment: a signal that finds no handler ends the process.
	stop, hangup := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(stop)
	defer signal.Stop(hangup)
	c, err := config.Load(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Ceil(c.Limits.Cores)))
	debug.SetMemoryLimit(int64(heapPart * float64(c.Limits.MemoryMB<<20)))
	log := newLog(os.Stderr).With("name", c.Name)

	descriptors := platform.Descriptors(c.Limits.Sockets)
	if descriptors < c.Limits.Sockets {
		log.Warn("config: limits.sockets: the system grants fewer", "told", c.Limits.Sockets, "used", descriptors)
	}
	sockets := descriptors - ownSockets
	room := platform.Budget{ClientConns: sockets / 2, EndpointConns: sockets / 2,
		HeapBytes: int64(heapPart * float64(c.Limits.MemoryMB<<20)), BodyBytes: int64(bodyPart * float64(c.Limits.MemoryMB<<20))}
	board := &counters.Set{}
	client := upstream.NewClient(upstream.Options{DialTimeout: c.DialTimeout, OnSent: func() { board.AttemptsSent.Add(1) },
		IdleTimeout: idleOf(c), SettleTime: settle, HedgeDials: true, MaxConns: room.EndpointConns, MaxStreamBytes: platform.MaxBodyBytes})
	var discoveryClient *discovery.Client
	h, err := engine.New(engine.Options{Policy: c.Policy, Seed: c.Seed, Zones: c.Zones, ReportFields: c.ReportFields, Client: client,
		Watch: func() { discoveryClient.Watch() }, Log: log})
	if err != nil {
		return err
	}
	router := platform.NewRouter(c, h, board, room.BodyBytes)
	known, err := endpointlist.Parse(c.CachedList)
	if err != nil && c.CachedList != nil {
		log.Warn("config: known: " + err.Error())
	}
	listed := make(chan struct{}, 1)
	discoveryClient = discovery.New(c.Discovery, mustAskIn(c.Policy), known.Index, func(kind lbpolicy.ListKind, e []endpointlist.Endpoint) {
		h.UpdateEndpoints(kind, e)
		select {
		case listed <- struct{}{}:
		default:
		}
	}, log)
	discoveryClient.SharedBy(c.Policy.Balancers)
	h.UpdateEndpoints(lbpolicy.Cached, known.Entries)

	self := &platform.Takeover{Listen: c.Listen, Engine: h, Router: router, Client: client, Budget: room}
	upgrade, listener, err := take(c, self, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	self.Socket = listener.(syscall.Conn)
	server := frontend.New(router, listener, admission.SingleGroup(self.ClientConns()),
		slog.NewLogLogger(log.Handler(), slog.LevelWarn))
	var takes atomic.Bool
	if c.Admin != "" {
		l, err := net.Listen("tcp", c.Admin)
		if err != nil {
			return fmt.Errorf("admin: %w", err)
		}
		calls := &platform.Operations{Engine: h, Counters: board, AcceptsClients: takes.Load}
		if upgrade != nil {
			router.SetHandover(upgrade)
			calls.NotifyEjection = upgrade.NotifyEjection
			defer upgrade.Close()
		}
		ops := admin.New(l, calls, slog.NewLogLogger(log.Handler(), slog.LevelWarn))
		defer ops.Close()
		go func() {
			if err := ops.Serve(); err != nil {
				log.Error("no calls of operators from now on", "error", err)
			}
		}()
	}
	go discoveryClient.Run(ctx)
	var inForce atomic.Pointer[config.Config]
	inForce.Store(c)
	go func() {
		for {
			select {
			case <-hangup:
				inForce.Store(reload(path, inForce.Load(), router, client, discoveryClient, board, log))
			case <-ctx.Done():
				return
			}
		}
	}()
	failed := make(chan error, 1)
	serve := func() { failed <- server.Serve() }
	if upgrade == nil || upgrade.IsFirst() {
		go serve()
	}

	// Ready once the list is that of now and not of some time ago, if discovery answers.
	stopped := false
	select {
	case <-listed:
	case <-time.After(firstList):
	case err := <-failed:
		return err
	case <-stop:
		if stopped = true; upgrade != nil && !upgrade.IsFirst() {
			return nil // it has taken nothing yet
		}
	}
	if upgrade != nil && !stopped {
		if !upgrade.IsFirst() {
			if t := upgrade.TakeOver(); t != nil {
				self.ApplyState(t)
			}
			go serve()
		}
		self.SetFrontend(server)
		if err := upgrade.Listen(); err != nil {
			log.Warn("the next process will start without this one's state", "error", err)
		}
	}
	if !stopped { // callers come before it is ready, too: what it has taken by then is answered like any other
		server.SetReady()
		takes.Store(true)
		log.Info("ready", "listen", c.Listen, "tier", c.Policy.Tier)
		select {
		case err := <-failed:
			return err
		case <-stop:
		}
	}
	takes.Store(false)
	rest := restOf(c, inForce.Load())
	now := time.Now()
	h.ShutDownBy(now.Add(rest))
	serveUntil := now.Add(max(rest/2, acceptOn))
	if upgrade != nil && upgrade.IsRetired() { // others take what comes: there is time to let go
		serveUntil = now.Add(rest - waneSpare)
	}
	server.Shutdown(serveUntil, now.Add(rest))
	log.Info("ended", "held", h.InFlight())
	return nil
}

// restOf is for how long a process that is asked to end may work on. The platform ends it by force some time after the
// longest deadline; whose, where the settings have changed since the start, its pages don't say: the shorter one is safe
// with both. It cuts requests of longer ones, which get a failure then.
func restOf(start, inForce *config.Config) time.Duration {
	return min(start.MaxDeadline(), inForce.MaxDeadline(), longest) + killIn - spare
}

// mustAskIn returns how long discovery may be left unasked, and zero where lists are pushed.
func mustAskIn(s lbpolicy.Settings) time.Duration {
	if !s.PollDiscovery {
		return 0
	}
	return cmp.Or(s.MaxPollInterval, discoverypoll.MaxWait) // without an obligation the longest wait bounds nothing
}

// reload takes up the configuration as the file has it now, whole or not at all: settings and discovery's address are
// read and checked before either is in force. The address, name and limits of the process wait for a restart. It returns
// the configuration in force.
func reload(path string, running *config.Config, router *platform.Router, client *upstream.Client, discoveryClient *discovery.Client,
	board *counters.Set, log *slog.Logger) *config.Config {
	next, err := running.Next(path)
	if err == nil {
		err = router.Configure(next)
	}
	if err != nil {
		board.ConfigsRejected.Add(1)
		log.Warn("reload: the running configuration is kept", "error", err)
		return running
	}
	client.SetDialTimeout(next.DialTimeout)
	client.SetIdleTimeout(idleOf(next))
	discoveryClient.SetAddress(next.Discovery)
	board.ConfigsApplied.Add(1)
	later := next.Listen != running.Listen || next.Name != running.Name || next.Limits != running.Limits ||
		next.Admin != running.Admin || next.Policy.PollDiscovery != running.Policy.PollDiscovery
	log.Info("reload: taken", "discovery", next.Discovery, "classes", len(next.Classes), "restart_needed_for_the_rest", later)
	return next
}

// take takes the clients' address: from the process before this one, with its state, where there is one. Where operators
// have no address of their own nobody replaces processes, and the process is nil.
func take(c *config.Config, self *platform.Takeover, log *slog.Logger) (*handover.Process, net.Listener, error) {
	if c.Admin == "" {
		l, err := listen(c)
		return nil, l, err
	}
	dir := os.Getenv("TMPDIR") // of this deployment alone; /tmp is everybody's
	if dir == "" {
		l, err := listen(c)
		return nil, l, err
	}
	p, offer, l := handover.Start(handover.Path(dir, c.Listen), self, log)
	if offer != nil {
		self.ApplyOffer(offer)
		self.ApplyBudget(true)
		return p, l, nil
	}
	l, err := listen(c)
	return p, l, err
}

// idleOf is for how long a connection to an endpoint may have stood idle to be used again.
func idleOf(c *config.Config) time.Duration {
	return time.Duration(idlePart * float64(c.Policy.ConnIdleTimeout))
}

// listen takes the clients' address. Where operators have an address of their own another process may take it too, as
// one does that is to replace this one.
func listen(c *config.Config) (net.Listener, error) {
	var lc net.ListenConfig
	if c.Admin != "" {
		lc.Control = func(_, _ string, raw syscall.RawConn) error {
			var err error
			if e := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			}); e != nil {
				return e
			}
			return err
		}
	}
	return lc.Listen(context.Background(), "tcp", c.Listen)
}
