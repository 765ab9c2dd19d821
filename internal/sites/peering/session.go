package peering

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/net/http2"

	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
)

// gateway is the way to one gateway of another sala: the sessions in use, and those before them that may not be settled.
type gateway struct {
	transport    *Transport
	site         string
	address      string
	cancel       context.CancelFunc
	ctx          context.Context
	availability forwarding.Gateway // under the link's lock

	mu              sync.Mutex
	sessions        []*session
	endedSessions   []*session // ended ones, the newest last
	retiredCounters []accounting.Counter
	sessionCount    int
	since           time.Time
	lastError       string
}

func newGateway(l *Transport, sala, address string) *gateway {
	n := &gateway{transport: l, site: sala, address: address, since: time.Now()}
	n.ctx, n.cancel = context.WithCancel(l.ctx)
	return n
}

// session is one connection to a sala, and the account of what crossed on it.
type session struct {
	gateway       *gateway
	id            uint64
	remoteProcess uint64 // the other end's
	conn          net.Conn
	client        *http2.ClientConn

	mu           sync.Mutex
	sender       *accounting.Sender
	waiters      map[uint64]chan accounting.Outcome // for what is not known
	roundTrip    time.Duration
	lastResponse time.Time // when something was answered last
	ended        bool
	wakeups      chan struct{} // holds a token when something is to be settled
}

// run keeps as many sessions to the sala as are wanted, until the peer is ended. Several of them keep one that TCP holds up
// for a lost packet from holding up all that crosses.
func (p *gateway) run() {
	defer p.cancel()
	var all sync.WaitGroup
	for range p.transport.options.Connections {
		all.Go(p.maintainSession)
	}
	all.Wait()
}

// maintainSession keeps one session.
func (p *gateway) maintainSession() {
	backoff := minBackoff
	for p.ctx.Err() == nil {
		s, err := p.connect()
		if err == nil {
			p.transport.log.Info("link up", "to", p.site, "address", p.address)
			err = s.run()
			p.retire(s)
		}
		if p.ctx.Err() != nil {
			break
		}
		p.mu.Lock()
		if p.lastError != err.Error() || s != nil {
			p.transport.log.Warn("link down", "to", p.site, "address", p.address, "error", err)
		}
		p.lastError = err.Error()
		p.mu.Unlock()
		if s != nil { // it stood: what has broken it is not what keeps one from coming up
			backoff = minBackoff
		}
		select {
		case <-p.ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// connect dials and greets.
func (p *gateway) connect() (s *session, err error) {
	ctx, cancel := context.WithTimeout(p.ctx, handshakeTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			conn.Close()
		}
	}()
	if p.transport.credentials != nil {
		t := tls.Client(conn, p.transport.credentials.clientConfig(p.site))
		if err := t.HandshakeContext(ctx); err != nil {
			return nil, fmt.Errorf("handshake: %w", err)
		}
		conn = t
	}
	s = &session{gateway: p, id: rand.Uint64() | 1, conn: conn, sender: accounting.NewSender(), waiters: map[uint64]chan accounting.Outcome{}, wakeups: make(chan struct{}, 1)}
	t, err := http2.ConfigureTransports(&http.Transport{DisableCompression: true, HTTP2: &http.HTTP2Config{StrictMaxConcurrentRequests: true,
		MaxReceiveBufferPerConnection: connectionWindowBytes, MaxReceiveBufferPerStream: maxMessageBytes}})
	if err != nil {
		return nil, err
	}
	t.AllowHTTP = true
	if s.client, err = t.NewClientConn(conn); err != nil {
		return nil, err
	}
	var w helloResponse
	err = s.request(ctx, pathHello, &helloRequest{OldestVersion: oldestVersion, NewestVersion: newestVersion, Site: p.transport.options.Site, ToSite: p.site, ProcessID: p.transport.processID, SessionID: s.id}, &w)
	switch {
	case err != nil:
	case w.Error != "":
		err = fmt.Errorf("greeted with: %s", w.Error)
	case w.Version < oldestVersion || w.Version > newestVersion:
		err = fmt.Errorf("the other end speaks version %d", w.Version)
	}
	if err != nil {
		return nil, err
	}
	s.remoteProcess = w.ProcessID
	if err := s.exchangeHeartbeat(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sessions) == 0 {
		p.since = time.Now()
	}
	p.sessions, p.lastError = append(p.sessions, s), ""
	p.sessionCount++
	return s, nil
}

// pickSession returns the session in use that has the least out, or nil.
func (p *gateway) pickSession() (best *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	least := 0
	for _, s := range p.sessions {
		if !s.client.CanTakeNewRequest() {
			s.wake() // it has broken, and its heartbeat has not noticed yet
			continue
		}
		s.mu.Lock()
		open := s.sender.Pending()
		s.mu.Unlock()
		if best == nil || open < least {
			best, least = s, open
		}
	}
	return best
}

// retire ends a session. What is in work on it and not answered is lost, to be settled over the next one: all of it at once,
// as the connection is closed. Where the other end has only asked for a new connection, what is in work is answered still.
func (p *gateway) retire(s *session) {
	p.mu.Lock()
	p.sessions = slices.DeleteFunc(p.sessions, func(o *session) bool { return o == s })
	if len(p.sessions) == 0 {
		p.since = time.Now()
		p.transport.markDisconnected(p)
	}
	p.endedSessions = append(p.endedSessions, s)
	if len(p.endedSessions) > maxSessions {
		gone := p.endedSessions[0]
		p.endedSessions = p.endedSessions[1:]
		gone.mu.Lock()
		p.retiredCounters = accounting.Merge(p.retiredCounters, gone.sender.Counters())
		gone.mu.Unlock()
	}
	p.mu.Unlock()
	if s.client.State().Closing && !s.client.State().Closed && p.ctx.Err() == nil {
		p.transport.goroutines.Go(func() {
			ctx, cancel := context.WithTimeout(p.ctx, time.Minute)
			defer cancel()
			s.client.Shutdown(ctx)
			s.end()
		})
		return
	}
	s.end()
}

func (s *session) end() {
	s.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

var errConnectionBroken = errors.New("the connection has broken")
var errHeartbeatTimeout = errors.New("no answer to a heartbeat in time")
var errPeerDraining = errors.New("the other end asks for a new connection")

// run sends heartbeats, and settles what is not known, until the session ends.
func (s *session) run() error {
	tick := time.NewTicker(s.gateway.transport.options.HeartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.gateway.ctx.Done():
			return s.gateway.ctx.Err()
		case <-tick.C:
			if err := s.exchangeHeartbeat(); err != nil {
				return err
			}
		case <-s.wakeups:
		}
		switch is := s.client.State(); {
		case is.Closed:
			return errConnectionBroken
		case is.Closing:
			return errPeerDraining
		}
		if err := s.settleAll(); err != nil {
			return err
		}
	}
}

// exchangeHeartbeat tells the other end how things are here and hears how they are there.
func (s *session) exchangeHeartbeat() error {
	l := s.gateway.transport
	ctx, cancel := context.WithTimeout(s.gateway.ctx, l.options.HeartbeatTimeout)
	defer cancel()
	s.mu.Lock()
	done, trip := s.sender.SettledTo(), s.roundTrip
	s.mu.Unlock()
	begun := time.Now()
	var said heartbeat
	err := s.request(ctx, pathState, &heartbeat{Clock: l.clock(), State: l.options.Handler.State(), SettledTo: done, RoundTrip: trip.Microseconds()}, &said)
	switch {
	case errors.Is(err, context.DeadlineExceeded) && s.isSilent():
		return errHeartbeatTimeout
	case errors.Is(err, context.DeadlineExceeded): // it is busy with calls, and answers those
		return nil
	case err != nil:
		return err
	}
	trip = time.Since(begun)
	s.mu.Lock()
	if s.roundTrip == 0 {
		s.roundTrip = trip
	}
	s.roundTrip += (trip - s.roundTrip) / 8
	s.mu.Unlock()
	l.markConnected(s.gateway, said.State, trip)
	return nil
}

// isSilent tells that nothing at all was answered for the time of silence.
func (s *session) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastResponse) >= s.gateway.transport.options.HeartbeatTimeout
}

// request makes one request on the session's connection.
func (s *session) request(ctx context.Context, path string, message, answer any) error {
	return s.requestWhileConnected(ctx, path, message, answer, nil)
}

// requestWhileConnected is ask for somebody who may leave: where away says so nothing more of the message goes out, and what there is of it
// at the other end is no message. Nil: nobody can tell.
func (s *session) requestWhileConnected(ctx context.Context, path string, message, answer any, away func() bool) error {
	text, err := encode(message)
	if err != nil {
		return err
	}
	if len(text) > maxMessageBytes {
		return fmt.Errorf("link: a message of %d bytes, over %d", len(text), maxMessageBytes)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+s.gateway.site+path, &abortableReader{bytes.NewReader(text), away})
	if err != nil {
		return err
	}
	r.ContentLength = int64(len(text))
	a, err := s.client.RoundTrip(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	s.mu.Lock()
	s.lastResponse = time.Now()
	s.mu.Unlock()
	if a.StatusCode != http.StatusOK {
		why, _ := io.ReadAll(io.LimitReader(a.Body, 1024))
		return fmt.Errorf("link: answered with %d %s", a.StatusCode, bytes.TrimSpace(why))
	}
	return decode(a.Body, answer)
}

// abortableReader reads a message for as long as who sends it is there. It is read once the connection takes it: whatever the message
// waited for before, the look comes after it.
type abortableReader struct {
	message        io.Reader
	isDisconnected func() bool
}

var errClientDisconnected = errors.New("link: who sends it has left")

func (p *abortableReader) Read(b []byte) (int, error) {
	if p.isDisconnected != nil && p.isDisconnected() {
		return 0, errClientDisconnected
	}
	return p.message.Read(b)
}

// forward sends a call over the session in use.
func (p *gateway) forward(ctx context.Context, c *Request) ForwardResult {
	s := p.pickSession()
	if s == nil || !s.client.ReserveNewRequest() { // no link, or it carries as much as the other end takes
		return ForwardResult{Outcome: accounting.NeverRan}
	}
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return ForwardResult{Outcome: accounting.NeverRan}
	}
	c.Number = s.sender.Send(accounting.Kind{Class: c.Class, Tenant: c.Tenant, Reason: c.Reason})
	s.mu.Unlock()
	c.Clock = p.transport.clock()
	x := ForwardResult{Sent: true}
	a := &Response{}
	err := s.requestWhileConnected(ctx, pathCall, c, a, c.IsDisconnected)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && a.Number == c.Number {
		s.sender.Resolve(c.Number, a.Outcome)
		x.Response, x.Outcome = a, a.Outcome
		return x
	}
	s.sender.Abandon(c.Number)
	x.settled = make(chan accounting.Outcome, 1)
	s.waiters[c.Number] = x.settled
	s.wake()
	return x
}

// wake has the session looked at now and not with its next heartbeat.
func (s *session) wake() {
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
}

// settleAll asks the other end, over this session, what became of all crossings that nobody has an answer to: those of this
// session, and of the ones before it that have ended.
func (s *session) settleAll() error {
	s.gateway.mu.Lock()
	of := append(slices.Clone(s.gateway.endedSessions), s)
	s.gateway.mu.Unlock()
	for _, o := range of {
		for {
			more, err := s.settleSession(o)
			if err != nil {
				return err
			}
			if !more {
				break
			}
		}
	}
	return nil
}

// settleSession asks about one session's crossings; more tells that there are others to ask about that may be known by now.
func (s *session) settleSession(of *session) (more bool, err error) {
	of.mu.Lock()
	numbers := of.sender.Unsettled(maxSettledAtOnce)
	over := of.ended
	of.mu.Unlock()
	if len(numbers) == 0 {
		return false, nil
	}
	var told settleResponse
	if of.remoteProcess == s.remoteProcess {
		ctx, cancel := context.WithTimeout(s.gateway.ctx, s.gateway.transport.options.HeartbeatTimeout)
		defer cancel()
		if err := s.request(ctx, pathSettle, &settleRequest{SessionID: of.id, SessionEnded: over, Numbers: numbers}, &told); err != nil {
			return false, fmt.Errorf("settling: %w", err)
		}
	}
	of.mu.Lock()
	defer of.mu.Unlock()
	some := false
	for i, n := range numbers {
		o := accounting.MayHaveRun // whoever knew it is gone
		if told.Known && i < len(told.Outcomes) {
			o = told.Outcomes[i]
		}
		if o == accounting.Pending {
			continue
		}
		some = true
		of.sender.Resolve(n, o)
		if wait := of.waiters[n]; wait != nil {
			wait <- o
			delete(of.waiters, n)
		}
	}
	return some && len(numbers) == maxSettledAtOnce, nil
}

// inFlight returns how many crossings are out and not answered.
func (p *gateway) inFlight() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sessions {
		s.mu.Lock()
		n += s.sender.Pending()
		s.mu.Unlock()
	}
	return n
}

// status tells how the peer stands, and what was sent to it.
func (p *gateway) status() (v GatewayStatus, sent []accounting.Counter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, sent = GatewayStatus{Address: p.address, Since: p.since, Sessions: p.sessionCount, LastError: p.lastError}, p.retiredCounters
	for _, s := range append(slices.Clone(p.endedSessions), p.sessions...) {
		s.mu.Lock()
		sent = accounting.Merge(sent, s.sender.Counters())
		v.Unsettled += s.sender.Pending()
		s.mu.Unlock()
	}
	return v, sent
}

// reconcile asks the other end for its counts of the sessions that are still known, and names the differences.
func (p *gateway) reconcile(ctx context.Context) (out []SessionDifference, compared int, err error) {
	p.mu.Lock()
	of := append(slices.Clone(p.endedSessions), p.sessions...)
	p.mu.Unlock()
	now := p.pickSession()
	if now == nil {
		return nil, 0, fmt.Errorf("link: %s is out of reach: nothing could be compared", p.site)
	}
	var q countersRequest
	for _, s := range of {
		q.Sessions = append(q.Sessions, s.id)
	}
	var told countersResponse
	if err := now.request(ctx, pathAccounts, &q, &told); err != nil {
		return nil, 0, err
	}
	for _, s := range of {
		theirs, known := told.Counters[s.id]
		if !known {
			continue // of a process that is gone
		}
		compared++
		s.mu.Lock()
		ours := s.sender.Counters()
		s.mu.Unlock()
		for _, d := range accounting.Reconcile(ours, theirs) {
			out = append(out, SessionDifference{s.id, d})
		}
	}
	return out, compared, nil
}
