// Package controlplane is a control-plane server: it accepts publications, stores them, replicates them to other
// control-plane servers, and sends each sidecar the resources that it has subscribed to, over the incremental aggregated
// discovery service of xDS version 3 (docs/CONTROL-PLANE.md).
//
// Package records decides which versions are in force. Package distribution decides which resources are sent to which
// subscriber, and when. Neither does I/O or reads the clock: this package connects them to sockets, files and the clock. A
// Server owns its listener, one goroutine for the state file, one for each peer and two for each stream. Close ends them all.
package controlplane

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/controlplane/distribution"
	"silvertrail/internal/controlplane/records"
	"silvertrail/internal/edge/certs"
)

const (
	stateFormat   = "silvertrail control plane state 1"
	maxStateBytes = 1 << 30
	saveInterval  = time.Second

	// maxResponseBytes is below 64 KiB, the smallest limit on messages that a sidecar may have.
	maxResponseBytes = 60 << 10
	// keepaliveDelay is below 5 s, the default time after which a sidecar considers a silent control plane failed.
	keepaliveDelay    = 2 * time.Second
	maxNames          = 2*records.MaxResources + records.MaxRemoved // of a kind, for one subscriber
	maxRequestBytes   = 8 << 20                                     // enough for maxNames names with their versions
	streamBufferBytes = 4 << 10                                     // for each direction of a stream; small, as there are hundreds of streams

	// A client that has failed or is paused is disconnected after keepaliveInterval and keepaliveTimeout.
	keepaliveInterval    = 30 * time.Second
	keepaliveTimeout     = 20 * time.Second
	minKeepaliveInterval = 5 * time.Second // the shortest that a client may use

	originNonceBytes = 4
	minAdvanceDelay  = time.Millisecond
)

// Server is a control-plane server. All its methods may be called from any goroutine.
type Server struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	log        *slog.Logger
	options    api.Options
	grpcServer *grpc.Server
	listener   net.Listener
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	publishMu   sync.Mutex    // serializes publications
	stateFileMu sync.Mutex    // held while the state file is written
	dirty       chan struct{} // holds a token when there are changes to write

	mu           sync.Mutex // guards the fields below
	store        *records.Store
	initialSync  *records.InitialSync
	distributor  *distribution.Distributor
	streams      map[*distribution.Subscriber]*stream
	streamCount  int // includes streams that have not identified themselves
	peers        map[string]*peer
	messageCount int64
	byteCount    int64
	timer        *time.Timer
	closed       bool
}

// Start restores the stored state, listens, and connects to the peers for as long as the server runs.
func Start(o api.Options, log *slog.Logger) (*Server, error) {
	o.BytesPerSecond = cmp.Or(o.BytesPerSecond, api.DefaultBytesPerSecond)
	o.MaxSubscribers = cmp.Or(o.MaxSubscribers, api.DefaultSubscribers)
	o.InitialSync = cmp.Or(o.InitialSync, api.DefaultInitialSync)
	log = log.With("component", "control_plane")
	store, err := restoreStore(o)
	if err != nil {
		return nil, err
	}
	creds, err := transportCredentials(o, log)
	if err != nil {
		return nil, fmt.Errorf("control plane: %w", err)
	}
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("control plane: %w", err)
	}
	s := newServer(o, log, store, listener)
	s.grpcServer = grpc.NewServer(serverOptions(creds)...)
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(s.grpcServer, s)
	present, removed := store.Counts()
	log.Info("control-plane server started", "address", listener.Addr(), "clusters", present[0], "endpoint_sets", present[1], "removed", removed)
	s.startGoroutines()
	return s, nil
}

func newServer(o api.Options, log *slog.Logger, store *records.Store, listener net.Listener) *Server {
	now := time.Now()
	s := &Server{
		log:      log,
		options:  o,
		listener: listener,
		dirty:    make(chan struct{}, 1),
		store:    store,
		streams:  map[*distribution.Subscriber]*stream{},
		peers:    map[string]*peer{},
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	var names []string
	for _, p := range o.Peers {
		s.peers[p.Name] = &peer{Peer: p, server: s, state: peerDown}
		names = append(names, p.Name)
	}
	s.initialSync = records.NewInitialSync(now.Add(o.InitialSync), names)
	limits := distribution.Limits{
		BytesPerSecond:   o.BytesPerSecond,
		MaxResponseBytes: maxResponseBytes,
		KeepaliveDelay:   keepaliveDelay,
		MaxNames:         maxNames,
	}
	s.distributor = distribution.New(now, limits, catalog{store})
	return s
}

func (s *Server) startGoroutines() {
	s.goroutines.Go(func() {
		if err := s.grpcServer.Serve(s.listener); err != nil {
			s.log.Error("listener failed", "error", err)
		}
	})
	s.goroutines.Go(s.persistLoop)
	for _, p := range s.peers {
		s.goroutines.Go(p.run)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
}

func serverOptions(creds credentials.TransportCredentials) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxRequestBytes),
		grpc.ReadBufferSize(streamBufferBytes),
		grpc.WriteBufferSize(streamBufferBytes),
		grpc.SharedWriteBuffer(true), //nolint:staticcheck // the memory of hundreds of streams depends on it until it is the default
		grpc.WaitForHandlers(true),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: keepaliveInterval, Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}),
	}
}

func transportCredentials(o api.Options, log *slog.Logger) (credentials.TransportCredentials, error) {
	if o.Insecure {
		return insecure.NewCredentials(), nil
	}
	source, err := certs.Open(o.TLS, log)
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pair, roots, _ := source.Current()
		c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}, NextProtos: []string{"h2"}}
		if roots != nil {
			c.ClientCAs, c.ClientAuth = roots, tls.RequireAndVerifyClientCert
		}
		return c, nil
	}}), nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends all streams, and writes unsaved changes to the state file.
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

// advance brings the distributor up to the current time. It opens the distributor when the initial sync is complete, wakes the
// streams that may have something to send, and sets the timer. The caller holds the lock.
func (s *Server) advance() {
	if s.closed {
		return
	}
	now := time.Now()
	if !s.distributor.IsOpen() && s.initialSync.IsReady(now, s.store) {
		s.distributor.Open()
		s.log.Info("initial sync complete, serving sidecars", "counter", s.store.Counter())
	}
	s.distributor.Step(now)
	for _, subscriber := range s.distributor.TakeWoken() {
		if st := s.streams[subscriber]; st != nil {
			st.wake()
		}
	}
	s.setTimer(now)
}

// setTimer schedules the next call of advance, if one is needed. The caller holds the lock.
func (s *Server) setTimer(now time.Time) {
	next := s.distributor.NextStep()
	deadline := s.initialSync.Deadline()
	if !s.distributor.IsOpen() && now.Before(deadline) && (next.IsZero() || deadline.Before(next)) {
		next = deadline
	}
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if next.IsZero() {
		return
	}
	s.timer = time.AfterFunc(max(time.Until(next), minAdvanceDelay), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advance()
	})
}

// merge merges a record, and notifies the subscribers if it was applied. The caller holds the lock, and calls advance afterwards.
func (s *Server) merge(r records.Record) {
	if s.store.Merge(time.Now(), r) == records.Applied {
		s.distributor.NotifyChange(r.Key)
	}
}
