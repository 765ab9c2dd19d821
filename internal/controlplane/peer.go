package controlplane

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"

	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/controlplane/records"
	"silvertrail/internal/xds"
	"silvertrail/internal/xds/ads"
)

const (
	maxMessageBytes = 16 << 20 // of a peer's response
	// The backoff is short: once a peer is reachable again, its changes must be in force everywhere within seconds. The load is
	// low, as there are few peers.
	minBackoff, maxBackoff = 100 * time.Millisecond, 2 * time.Second
	maxBackoffDoublings    = 10
	dialTimeout            = 5 * time.Second
	// peerKeepaliveInterval is longer than the peer's minKeepaliveInterval, so that the peer does not close the connection.
	peerKeepaliveInterval, peerKeepaliveTimeout = 10 * time.Second, 5 * time.Second
	maxReportedFaults                           = 20
)

// peerState is the state of the stream to a peer. The values are shown to operators.
type peerState string

const (
	peerDown       peerState = "down"
	peerConnecting peerState = "connecting"
	peerUp         peerState = "up"
)

// peer is the stream on which another control-plane server's records are received.
type peer struct {
	api.Peer
	server *Server

	// Guarded by the server's lock:

	state       peerState
	lastMessage time.Time
	synced      bool // all records of the peer were received on this stream
	fault       string
}

// run opens the stream, and opens it again whenever it has ended, until the server closes.
func (p *peer) run() {
	s := p.server
	failures := 0
	for s.ctx.Err() == nil {
		err := p.subscribe()
		if p.recordDisconnect(err, failures) {
			failures = 0
		}
		width := min(minBackoff<<min(failures, maxBackoffDoublings), maxBackoff)
		failures++
		select {
		case <-s.ctx.Done():
		case <-time.After(time.Duration(rand.Float64() * float64(width))):
		}
	}
}

// recordDisconnect records that the stream has ended, and reports whether it was up.
func (p *peer) recordDisconnect(err error, failures int) (wasUp bool) {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	wasUp = p.state == peerUp
	if wasUp {
		failures = 0
	}
	p.state, p.synced = peerDown, false
	if s.ctx.Err() == nil && (p.fault == "" || failures == 0) {
		s.log.Warn("peer disconnected, backing off", "peer", p.Name, "error", err)
	}
	p.fault = err.Error()
	return wasUp
}

// subscribe receives a peer's records until the stream ends.
func (p *peer) subscribe() error {
	s := p.server
	conn, err := p.dial()
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	versions := p.recordConnecting()
	stream, err := discoveryv3.NewAggregatedDiscoveryServiceClient(conn).DeltaAggregatedResources(ctx)
	if err != nil {
		return err
	}
	err = stream.Send(&discoveryv3.DeltaDiscoveryRequest{
		Node:                    &corev3.Node{Id: s.options.Name, UserAgentName: "silvertrail"},
		TypeUrl:                 recordType,
		InitialResourceVersions: versions,
	})
	for err == nil {
		err = p.receive(stream)
	}
	return err
}

func (p *peer) dial() (*grpc.ClientConn, error) {
	creds, err := xds.Credentials(p.ControlPlane, p.server.log)
	if err != nil {
		return nil, err
	}
	return grpc.NewClient("passthrough:///"+p.ControlPlane.Address,
		grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: peerKeepaliveInterval, Timeout: peerKeepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: dialTimeout}))
}

// recordConnecting records that the stream is being opened, and returns the versions of all records of this server.
func (p *peer) recordConnecting() map[string]string {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	p.state = peerConnecting
	versions := map[string]string{}
	for k := range ads.KindCount {
		for r := range s.store.All(k) {
			versions[r.Key.String()] = r.Version.String()
		}
	}
	return versions
}

// receive receives and answers one response.
func (p *peer) receive(stream discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient) error {
	m, err := stream.Recv()
	if err != nil {
		return err
	}
	answer := &discoveryv3.DeltaDiscoveryRequest{TypeUrl: recordType, ResponseNonce: m.Nonce}
	if fault := p.mergeResponse(m); fault != "" {
		answer.ErrorDetail = &rpcstatus.Status{Code: int32(codes.InvalidArgument), Message: fault}
	}
	return stream.Send(answer)
}

// mergeResponse merges the valid records of a peer's response, and returns the faults of the invalid ones.
func (p *peer) mergeResponse(m *discoveryv3.DeltaDiscoveryResponse) (fault string) {
	valid, fault := parseRecords(m)
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.state != peerUp {
		s.log.Info("peer connected", "peer", p.Name)
	}
	p.state, p.lastMessage, p.fault = peerUp, time.Now(), fault
	s.mergeAll(valid)
	if m.SystemVersionInfo != "" { // nothing more is pending
		p.synced = true
		s.initialSync.PeerSynced(p.Name)
	}
	if fault != "" {
		s.log.Warn("records rejected", "peer", p.Name, "fault", fault)
	}
	if len(valid) > 0 {
		s.markDirty()
	}
	s.advance()
	return fault
}

// parseRecords returns the valid records of a response, and the faults of the others.
func parseRecords(m *discoveryv3.DeltaDiscoveryResponse) (valid []records.Record, fault string) {
	var faults []string
	if m.TypeUrl != recordType || len(m.RemovedResources) > 0 {
		faults = append(faults, "records alone are asked for, and none is ever gone")
	}
	for i, resource := range m.Resources {
		r, err := parseRecord(resource.Resource)
		if err == nil && r.Version.String() != resource.Version {
			err = errors.New("its version is not that of its record")
		}
		if err != nil {
			faults = append(faults, fmt.Sprintf("resources[%d]: %v", i, err))
			continue
		}
		valid = append(valid, r)
	}
	return valid, strings.Join(faults[:min(len(faults), maxReportedFaults)], "; ")
}

// mergeAll merges records, and logs new conflicts. The caller holds the lock.
func (s *Server) mergeAll(all []records.Record) {
	before := len(s.store.Conflicts())
	for _, r := range all {
		s.merge(r)
	}
	conflicts := s.store.Conflicts()
	for _, c := range conflicts[min(before, len(conflicts)):] {
		s.log.Warn("concurrent versions", "resource", c.Key.String(), "holds", c.Winner.String(), "lost", c.Loser.String())
	}
}
