package peering

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"golang.org/x/net/http2"

	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
)

const (
	minConnectionCapacity = 64 // taken at once, of all salas; more where the salas may have more
	// connectionWindowBytes bounds what is under way in one direction: what a small call or a heartbeat waits behind on a narrow link.
	// On a way of 30 ms it lets 17 MB a second pass.
	connectionWindowBytes = 512 << 10
	idleTimeout           = 2 * time.Second
	acceptBackoff         = 20 * time.Millisecond
	overloadRetryAfter    = 100 * time.Millisecond
	settleWait            = 20 * time.Millisecond // what is in work when its session ended has so long to end before it is told as in work
)

// server takes the other salas' connections.
type server struct {
	transport  *Transport
	listener   net.Listener
	h2         *http2.Server
	httpServer *http.Server // which ends the connections
	handlers   sync.WaitGroup

	mu          sync.Mutex
	connections map[net.Conn]bool
	sites       map[string]*siteSessions // by sala
}

// siteSessions is what came from one sala.
type siteSessions struct {
	sessions        []*inboundSession // the newest last
	retiredCounters []accounting.Counter
}

// inboundSession is a session that another sala has opened.
type inboundSession struct {
	site        string
	id          uint64
	receiver    *accounting.Receiver
	delay       forwarding.DelayEstimator
	roundTrip   time.Duration
	inFlight    int
	maxInFlight int
	connected   bool // its connection stands
	mu          sync.Mutex
}

func (l *Transport) listen() (*server, error) {
	nl, err := net.Listen("tcp", l.options.Listen)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	s := &server{transport: l, listener: nl, connections: map[net.Conn]bool{}, sites: map[string]*siteSessions{}}
	// Streams beyond the bound are the sender's fault: it waits. A few more than calls, for heartbeats and the like.
	s.h2 = &http2.Server{MaxConcurrentStreams: uint32(l.options.MaxInFlight + 16), MaxReadFrameSize: 64 << 10, MaxUploadBufferPerStream: maxMessageBytes,
		MaxUploadBufferPerConnection: connectionWindowBytes, ReadIdleTimeout: idleTimeout, PingTimeout: idleTimeout, IdleTimeout: time.Minute, WriteByteTimeout: idleTimeout}
	s.httpServer = &http.Server{MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(l.log.Handler(), slog.LevelDebug)}
	if err := http2.ConfigureServer(s.httpServer, s.h2); err != nil {
		nl.Close()
		return nil, fmt.Errorf("link: %w", err)
	}
	l.goroutines.Go(s.accept)
	return s, nil
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // descriptors are short
			time.Sleep(acceptBackoff)
			continue
		}
		s.mu.Lock()
		full := len(s.connections) >= s.connectionCapacity() || s.transport.ctx.Err() != nil
		if !full {
			s.connections[c] = true
			s.handlers.Add(1)
		}
		s.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		go func() {
			defer s.handlers.Done()
			defer func() {
				c.Close()
				s.mu.Lock()
				defer s.mu.Unlock()
				delete(s.connections, c)
			}()
			if err := s.serveConnection(c); err != nil {
				s.transport.log.Warn("link: connection turned away", "from", c.RemoteAddr().String(), "error", err)
			}
		}()
	}
}

// connectionCapacity is how many connections are taken at once: all that the salas may have, twice, as one ends late where the other
// end has made another already.
func (s *server) connectionCapacity() int {
	_, all := s.transport.gatewayCounts()
	return max(minConnectionCapacity, 2*maxConnections*all)
}

// serveConnection proves who has connected, and serves the connection to its end.
func (s *server) serveConnection(c net.Conn) error {
	k := &connection{server: s}
	conn := c
	if s.transport.credentials != nil {
		t := tls.Server(c, s.transport.credentials.serverConfig())
		ctx, cancel := context.WithTimeout(s.transport.ctx, handshakeTimeout)
		defer cancel()
		if err := t.HandshakeContext(ctx); err != nil {
			return err
		}
		var err error
		if k.site, err = peerSite(t, s.transport.isPeer); err != nil {
			return err
		}
		conn = t
	}
	s.h2.ServeConn(conn, &http2.ServeConnOpts{Context: s.transport.ctx, BaseConfig: s.httpServer, Handler: k})
	k.close()
	return nil
}

// drain asks all connected salas to connect anew, and waits until they have their answers.
func (s *server) drain(ctx context.Context) {
	s.listener.Close()
	s.httpServer.Shutdown(ctx) // GOAWAY on all connections
	for {
		s.mu.Lock()
		n := len(s.connections)
		s.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *server) close() {
	s.listener.Close()
	s.mu.Lock()
	for c := range s.connections {
		c.Close()
	}
	s.mu.Unlock()
	s.handlers.Wait()
}

// counters are the counts of what came from a sala.
func (s *server) counters(sala string) []accounting.Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.sites[sala]
	if r == nil {
		return nil
	}
	all := r.retiredCounters
	for _, i := range r.sessions {
		i.mu.Lock()
		all = accounting.Merge(all, i.receiver.Counters())
		i.mu.Unlock()
	}
	return all
}

// openSession opens a session of a sala. It is false where the sala has as many as are kept, all with something in work.
func (s *server) openSession(from string, id uint64) (*inboundSession, bool) {
	gates, _ := s.transport.gatewayCounts()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.sites[from]
	if r == nil {
		r = &siteSessions{}
		s.sites[from] = r
	}
	if slices.ContainsFunc(r.sessions, func(i *inboundSession) bool { return i.id == id }) {
		return nil, false
	}
	if len(r.sessions) >= maxSessions*max(gates, 1) {
		i := slices.IndexFunc(r.sessions, func(i *inboundSession) bool {
			i.mu.Lock()
			defer i.mu.Unlock()
			return !i.connected && i.receiver.IsIdle()
		})
		if i < 0 {
			return nil, false
		}
		gone := r.sessions[i]
		r.sessions = slices.Delete(r.sessions, i, i+1)
		gone.mu.Lock()
		gone.receiver.Close()
		r.retiredCounters = accounting.Merge(r.retiredCounters, gone.receiver.Counters())
		gone.mu.Unlock()
	}
	n := &inboundSession{site: from, id: id, receiver: accounting.NewReceiver(maxUnsettled), maxInFlight: s.transport.options.MaxInFlight, connected: true}
	r.sessions = append(r.sessions, n)
	return n, true
}

// findSession returns a session of a sala, or nil.
func (s *server) findSession(from string, id uint64) *inboundSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.sites[from]; r != nil {
		for _, i := range r.sessions {
			if i.id == id {
				return i
			}
		}
	}
	return nil
}

// connection is one connection that was taken.
type connection struct {
	server  *server
	site    string // empty: nobody has said yet
	mu      sync.Mutex
	closed  bool
	session *inboundSession
}

// close tells that the connection is over: what its handlers still hold is not taken any more, neither calls nor a greeting.
func (k *connection) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	if s := k.session; s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.connected = false
		s.receiver.Close()
	}
}

func (k *connection) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		if p := recover(); p != nil {
			k.server.transport.log.Error("link: serving failed", "panic", p, "stack", string(debug.Stack()))
			panic(http.ErrAbortHandler) // the stream is reset
		}
	}()
	answer, err := k.dispatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	text, err := encode(answer)
	if err != nil {
		http.Error(w, "unwritable", http.StatusInternalServerError)
		return
	}
	w.Write(text)
}

func (k *connection) dispatch(r *http.Request) (any, error) {
	if r.Method != http.MethodPost {
		return nil, errors.New("link: not a gateway's request")
	}
	if r.URL.Path == pathHello {
		return k.greet(r)
	}
	k.mu.Lock()
	s := k.session
	k.mu.Unlock()
	if s == nil {
		return nil, errors.New("link: not greeted")
	}
	l := k.server.transport
	switch r.URL.Path {
	case pathState:
		var said heartbeat
		if err := decode(r.Body, &said); err != nil {
			return nil, err
		}
		s.mu.Lock()
		s.receiver.Forget(said.SettledTo)
		s.roundTrip = time.Duration(said.RoundTrip) * time.Microsecond
		s.delay.QueueingDelay(time.Duration(said.Clock)*time.Microsecond, time.Duration(l.clock())*time.Microsecond)
		s.mu.Unlock()
		return &heartbeat{Clock: l.clock(), State: l.options.Handler.State()}, nil
	case pathCall:
		var c Request
		if err := decode(r.Body, &c); err != nil {
			return nil, err
		}
		return k.serveRequest(r.Context(), s, &c), nil
	case pathSettle:
		var q settleRequest
		if err := decode(r.Body, &q); err != nil {
			return nil, err
		}
		return k.settle(&q), nil
	case pathLookup:
		var q lookupRequest
		if err := decode(r.Body, &q); err != nil {
			return nil, err
		}
		f := l.options.Handler.Lookup(q.ID)
		return &f, nil
	case pathAccounts:
		var q countersRequest
		if err := decode(r.Body, &q); err != nil {
			return nil, err
		}
		out := &countersResponse{Counters: map[uint64][]accounting.Counter{}}
		for _, id := range q.Sessions {
			if i := k.server.findSession(s.site, id); i != nil {
				i.mu.Lock()
				out.Counters[id] = i.receiver.Counters()
				i.mu.Unlock()
			}
		}
		return out, nil
	}
	return nil, fmt.Errorf("link: %q is not known in version %d", r.URL.Path, newestVersion)
}

// greet opens the connection's session.
func (k *connection) greet(r *http.Request) (any, error) {
	var h helloRequest
	if err := decode(r.Body, &h); err != nil {
		return nil, err
	}
	l := k.server.transport
	k.mu.Lock()
	defer k.mu.Unlock()
	version := min(h.NewestVersion, newestVersion)
	switch {
	case k.closed, k.session != nil:
		return nil, errors.New("link: greeted already")
	case version < max(h.OldestVersion, oldestVersion):
		return &helloResponse{Error: fmt.Sprintf("versions %d to %d are not spoken here, but %d to %d", h.OldestVersion, h.NewestVersion, oldestVersion, newestVersion)}, nil
	case h.ToSite != l.options.Site:
		return &helloResponse{Error: fmt.Sprintf("this is sala %q, not %q", l.options.Site, h.ToSite)}, nil
	case k.site != "" && k.site != h.Site || !l.isPeer(h.Site):
		return &helloResponse{Error: fmt.Sprintf("the certificate is not that of sala %q, or it is not known here", h.Site)}, nil
	}
	k.site = h.Site
	s, ok := k.server.openSession(h.Site, h.SessionID)
	if !ok {
		return &helloResponse{Error: "too many sessions with something in work"}, nil
	}
	k.session = s
	return &helloResponse{Version: version, ProcessID: l.processID}, nil
}

// serveRequest serves a call that has come, in the time that is left of it here.
func (k *connection) serveRequest(ctx context.Context, s *inboundSession, c *Request) (a *Response) {
	l := k.server.transport
	s.mu.Lock()
	late := s.delay.QueueingDelay(time.Duration(c.Clock)*time.Microsecond, time.Duration(l.clock())*time.Microsecond)
	left := forwarding.TimeLeftOnArrival(time.Duration(c.TimeLeft)*time.Microsecond, s.roundTrip, late)
	err := s.receiver.Receive(c.Number, accounting.Kind{Class: c.Class, Tenant: c.Tenant, Reason: c.Reason})
	full := err == nil && s.inFlight >= s.maxInFlight
	if err == nil && !full {
		s.inFlight++
	}
	s.mu.Unlock()
	switch {
	case errors.Is(err, accounting.ErrFull): // not counted: it is not remembered
		return &Response{Number: c.Number, Outcome: accounting.NeverRan, Detail: err.Error()}
	case err != nil:
		return &Response{Number: c.Number, Outcome: accounting.MayHaveRun, Detail: err.Error()}
	}
	defer func() {
		p := recover()
		if p != nil { // the caller hears that it may have run
			l.log.Error("link: serving a call failed", "panic", p, "stack", string(debug.Stack()))
			a = &Response{Outcome: accounting.MayHaveRun, Detail: "failed"}
		}
		a.Number = c.Number
		s.mu.Lock()
		defer s.mu.Unlock()
		s.receiver.Resolve(c.Number, a.Outcome)
		if !full {
			s.inFlight--
		}
	}()
	switch {
	case full:
		return &Response{Outcome: accounting.Rejected, RetryAfter: overloadRetryAfter.Microseconds(), Detail: "as many calls in work as are taken from one sala"}
	case slices.Contains(c.VisitedSites, l.options.Site):
		return &Response{Outcome: accounting.NeverRan, Detail: "it has been here before"}
	case left <= 0:
		return &Response{Outcome: accounting.NeverRan, Detail: "no time left here"}
	}
	c.TimeLeft = left.Microseconds()
	return l.options.Handler.ServeRequest(ctx, s.site, c)
}

// settle tells what became of crossings.
func (k *connection) settle(q *settleRequest) *settleResponse {
	s := k.server.findSession(k.site, q.SessionID)
	if s == nil {
		return &settleResponse{}
	}
	if q.SessionEnded {
		s.mu.Lock()
		s.receiver.Close()
		s.mu.Unlock()
	}
	out := &settleResponse{Known: true}
	wait := time.Now().Add(settleWait)
	for {
		out.Outcomes = out.Outcomes[:0]
		open := false
		s.mu.Lock()
		for _, n := range q.Numbers {
			o := s.receiver.OutcomeOf(n)
			open = open || o == accounting.Pending
			out.Outcomes = append(out.Outcomes, o)
		}
		s.mu.Unlock()
		if !open || time.Now().After(wait) {
			return out
		}
		time.Sleep(time.Millisecond)
	}
}
