// Package controlplane is a control machine: it takes publications, keeps them, tells them to other control machines, and sends each
// sidecar what it has subscribed to, over the incremental aggregated discovery service of xDS, version 3. It is the host of
// records (what holds) and delivery (who is sent what, and when): it translates between them and sockets, files and the clock, and
// decides nothing. docs/CONTROL-PLANE.md tells the rules.
package controlplane

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"silvertrail/internal/base/statefile"
	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/controlplane/distribution"
	"silvertrail/internal/controlplane/records"
	"silvertrail/internal/edge/certs"
)

const (
	stateFormat   = "silvertrail control plane state 1"
	maxStateBytes = 1 << 30
	saveInterval  = time.Second
	// maxResponseBytes is below the least that a receiver may allow for a message, 64 KiB.
	maxResponseBytes = 60 << 10
	// keepaliveDelay is below the time after which a silent control plane counts as failed, 5 s where nobody tells otherwise.
	keepaliveDelay    = 2 * time.Second
	maxNames          = 2*records.MaxResources + records.MaxRemoved // that one subscriber may ask for
	maxRequestBytes   = 8 << 20                                     // bytes: as many names with their versions
	streamBufferBytes = 4 << 10                                     // bytes for each direction of a stream; there are hundreds of streams
	// Who has gone without a word, or is paused, is let go of after these: what it costs ends.
	keepaliveInterval, keepaliveTimeout = 30 * time.Second, 20 * time.Second
	minKeepaliveInterval                = 5 * time.Second // between a client's signs of life
)

// Server is a control machine. All its methods may be called from any goroutine.
type Server struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	log        *slog.Logger
	options    api.Options
	grpcServer *grpc.Server
	listener   net.Listener
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	publishMu   sync.Mutex    // one at a time
	stateFileMu sync.Mutex    // of the state file
	dirty       chan struct{} // holds a token when there is something to write

	mu           sync.Mutex
	store        *records.Store
	initialSync  *records.InitialSync
	distributor  *distribution.Distributor
	streams      map[*distribution.Subscriber]*stream
	streamCount  int // streams, also those that have not said who they are
	peers        map[string]*peer
	messageCount int64
	byteCount    int64
	timer        *time.Timer
	closed       bool
}

// Start takes up what was kept, listens, and connects to the other control machines for as long as it runs.
func Start(o api.Options, log *slog.Logger) (*Server, error) {
	o.BytesPerSecond, o.MaxSubscribers, o.InitialSync = cmp.Or(o.BytesPerSecond, api.DefaultBytesPerSecond), cmp.Or(o.MaxSubscribers, api.DefaultSubscribers), cmp.Or(o.InitialSync, api.DefaultInitialSync)
	s := &Server{log: log, options: o, dirty: make(chan struct{}, 1), streams: map[*distribution.Subscriber]*stream{}, peers: map[string]*peer{}}
	var err error
	if s.store, err = restoreStore(o); err != nil {
		return nil, err
	}
	creds, err := transportCredentials(o, log)
	if err != nil {
		return nil, fmt.Errorf("control plane: %w", err)
	}
	if s.listener, err = net.Listen("tcp", o.Listen); err != nil {
		return nil, fmt.Errorf("control plane: %w", err)
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	now := time.Now()
	var missing []string
	for _, p := range o.Peers {
		s.peers[p.Name] = &peer{Peer: p, server: s, state: down}
		missing = append(missing, p.Name)
	}
	s.initialSync = records.NewInitialSync(now.Add(o.InitialSync), missing)
	s.distributor = distribution.New(now, distribution.Limits{BytesPerSecond: o.BytesPerSecond, MaxResponseBytes: maxResponseBytes, KeepaliveDelay: keepaliveDelay, MaxNames: maxNames}, catalog{s.store})
	s.grpcServer = grpc.NewServer(grpc.Creds(creds), grpc.MaxRecvMsgSize(maxRequestBytes), grpc.ReadBufferSize(streamBufferBytes), grpc.WriteBufferSize(streamBufferBytes),
		grpc.SharedWriteBuffer(true), grpc.WaitForHandlers(true), grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: keepaliveInterval, Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}))
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(s.grpcServer, s)
	there, removed := s.store.Counts()
	log.Info("control plane", "address", s.listener.Addr(), "clusters", there[0], "endpoint_sets", there[1], "removed", removed)
	s.goroutines.Go(func() { s.grpcServer.Serve(s.listener) })
	s.goroutines.Go(s.persistLoop)
	for _, p := range s.peers {
		s.goroutines.Go(p.run)
	}
	s.mu.Lock()
	s.advance()
	s.mu.Unlock()
	return s, nil
}

// restoreStore reads what was kept. What can't be read is an error: to begin without it would lose what nobody else may have.
func restoreStore(o api.Options) (*records.Store, error) {
	var state records.State
	err := os.ErrNotExist
	if o.StateFile != "" {
		err = statefile.Read(o.StateFile, stateFormat, maxStateBytes, &state)
	}
	for i := 0; err == nil && i < len(state.Records); i++ {
		err = state.Records[i].Record.Check()
	}
	switch {
	case errors.Is(err, os.ErrNotExist):
		// A start from nothing is another origin: what was published before and lost is never taken for what is published now.
		var nonce [4]byte
		rand.Read(nonce[:])
		return records.New(o.Name + "." + hex.EncodeToString(nonce[:])), nil
	case err != nil:
		return nil, fmt.Errorf("control plane: state %s: %w (it is kept as it is; without it this machine takes all from its peers)", o.StateFile, err)
	}
	return records.Restore(state), nil
}

func transportCredentials(o api.Options, log *slog.Logger) (credentials.TransportCredentials, error) {
	if o.Insecure {
		return insecure.NewCredentials(), nil
	}
	proof, err := certs.Open(o.TLS, log)
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pair, roots, _ := proof.Current()
		c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}, NextProtos: []string{"h2"}}
		if roots != nil {
			c.ClientCAs, c.ClientAuth = roots, tls.RequireAndVerifyClientCert
		}
		return c, nil
	}}), nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends all streams, and writes what was not written.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	if s.timer != nil {
		s.timer.Stop()
	}
	s.mu.Unlock()
	s.stop()
	s.grpcServer.Stop()
	s.goroutines.Wait()
}

// advance brings all up to the time: receivers are let in, those who may be sent something are woken, the timer set. The caller holds
// the lock.
func (s *Server) advance() {
	if s.closed {
		return
	}
	now := time.Now()
	if !s.distributor.IsOpen() && s.initialSync.IsReady(now, s.store) {
		s.distributor.Open()
		s.log.Info("control plane: receivers are served", "counter", s.store.Counter())
	}
	s.distributor.Step(now)
	for _, sub := range s.distributor.Woken() {
		if st := s.streams[sub]; st != nil {
			st.wake()
		}
	}
	next := s.distributor.NextStep()
	if at := s.initialSync.Deadline(); !s.distributor.IsOpen() && now.Before(at) && (next.IsZero() || at.Before(next)) {
		next = at
	}
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if !next.IsZero() {
		s.timer = time.AfterFunc(max(time.Until(next), time.Millisecond), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.advance()
		})
	}
}

// merge puts a record in force, where it is newer. The caller holds the lock, and steps.
func (s *Server) merge(r records.Record) {
	if s.store.Merge(time.Now(), r) == records.Applied {
		s.distributor.Changed(r.Key)
	}
}

// persistLoop writes the state some time after it has changed, and once more at the end.
func (s *Server) persistLoop() {
	for {
		select {
		case <-s.ctx.Done():
			select {
			case <-s.dirty:
				s.persist()
			default:
			}
			return
		case <-s.dirty:
		}
		s.persist()
		select {
		case <-s.ctx.Done():
		case <-time.After(saveInterval):
		}
	}
}

func (s *Server) persist() {
	if err := s.writeState(func() (records.Publication, error) { return records.Publication{}, nil }); err != nil {
		s.log.Error("control plane: the state could not be written", "error", err)
	}
}

// writeState writes the state as it will be with a publication, which is made under the lock.
func (s *Server) writeState(prepare func() (records.Publication, error)) error {
	s.stateFileMu.Lock()
	defer s.stateFileMu.Unlock()
	s.mu.Lock()
	p, err := prepare()
	if err != nil || s.options.StateFile == "" {
		s.mu.Unlock()
		return err
	}
	state := s.store.Save(p)
	s.mu.Unlock()
	if err := statefile.Write(s.options.StateFile, stateFormat, state); err != nil {
		return fmt.Errorf("state %s: %w", s.options.StateFile, err)
	}
	return nil
}

func (s *Server) markDirty() {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}
