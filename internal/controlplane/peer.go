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
	maxMessageBytes = 16 << 20 // bytes that a peer says at once
	// A peer that is back has to be heard soon: a change must be everywhere within seconds. There are few, so little is spread.
	minBackoff, maxBackoff                      = 100 * time.Millisecond, 2 * time.Second
	dialTimeout                                 = 5 * time.Second
	peerKeepaliveInterval, peerKeepaliveTimeout = 10 * time.Second, 5 * time.Second // leastQuiet allows it
	maxReportedFaults                           = 20
)

const down, connecting, up = "down", "connecting", "up"

// peer is the stream on which another control machine's records are heard.
type peer struct {
	api.Peer
	server *Server

	// Under the server's lock:

	state       string
	lastMessage time.Time
	synced      bool
	fault       string
}

// run keeps the stream up for as long as the server runs.
func (p *peer) run() {
	s, fails := p.server, 0
	for s.ctx.Err() == nil {
		err := p.subscribe()
		s.mu.Lock()
		if p.state == up {
			fails = 0
		}
		p.state, p.synced = down, false
		if s.ctx.Err() == nil && (p.fault == "" || fails == 0) {
			s.log.Warn("control plane: peer lost", "peer", p.Name, "error", err)
		}
		p.fault = err.Error()
		s.mu.Unlock()
		width := min(minBackoff<<min(fails, 10), maxBackoff)
		fails++
		select {
		case <-s.ctx.Done():
		case <-time.After(time.Duration(rand.Float64() * float64(width))):
		}
	}
}

// subscribe hears a peer until the stream ends.
func (p *peer) subscribe() error {
	s := p.server
	creds, err := xds.Credentials(p.Plane, s.log)
	if err != nil {
		return err
	}
	cc, err := grpc.NewClient("passthrough:///"+p.Plane.Address, grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: peerKeepaliveInterval, Timeout: peerKeepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: dialTimeout}))
	if err != nil {
		return err
	}
	defer cc.Close()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	s.mu.Lock()
	p.state = connecting
	has := map[string]string{}
	for k := range ads.Kinds {
		for r := range s.store.All(k) {
			has[r.Key.String()] = r.Version.String()
		}
	}
	s.mu.Unlock()
	stream, err := discoveryv3.NewAggregatedDiscoveryServiceClient(cc).DeltaAggregatedResources(ctx)
	if err != nil {
		return err
	}
	err = stream.Send(&discoveryv3.DeltaDiscoveryRequest{Node: &corev3.Node{Id: s.options.Name, UserAgentName: "silvertrail"}, TypeUrl: recordType,
		InitialResourceVersions: has})
	for err == nil {
		var m *discoveryv3.DeltaDiscoveryResponse
		if m, err = stream.Recv(); err == nil {
			answer := &discoveryv3.DeltaDiscoveryRequest{TypeUrl: recordType, ResponseNonce: m.Nonce}
			if fault := p.mergeResponse(m); fault != "" {
				answer.ErrorDetail = &rpcstatus.Status{Code: int32(codes.InvalidArgument), Message: fault}
			}
			err = stream.Send(answer)
		}
	}
	return err
}

// mergeResponse merges what the peer says. What of it can't be used is returned; the rest holds.
func (p *peer) mergeResponse(m *discoveryv3.DeltaDiscoveryResponse) string {
	var good []records.Record
	var faults []string
	if m.TypeUrl != recordType || len(m.RemovedResources) > 0 {
		faults = append(faults, "records alone are asked for, and none is ever gone")
	}
	for i, one := range m.Resources {
		r, err := parseRecord(one.Resource)
		if err == nil && r.Version.String() != one.Version {
			err = errors.New("its version is not that of its record")
		}
		if err != nil {
			faults = append(faults, fmt.Sprintf("resources[%d]: %v", i, err))
			continue
		}
		good = append(good, r)
	}
	fault := strings.Join(faults[:min(len(faults), maxReportedFaults)], "; ")
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.state != up {
		s.log.Info("control plane: peer heard", "peer", p.Name)
	}
	before := len(s.store.Conflicts())
	p.state, p.lastMessage, p.fault = up, time.Now(), fault
	for _, r := range good {
		s.merge(r)
	}
	for _, c := range s.store.Conflicts()[min(before, len(s.store.Conflicts())):] {
		s.log.Warn("control plane: two versions were made apart", "resource", c.Key.String(), "holds", c.Winner.String(), "lost", c.Loser.String())
	}
	if m.SystemVersionInfo != "" { // it owes nothing more
		p.synced = true
		s.initialSync.PeerSynced(p.Name)
	}
	if fault != "" {
		s.log.Warn("control plane: records turned away", "peer", p.Name, "fault", fault)
	}
	if len(good) > 0 {
		s.markDirty()
	}
	s.advance()
	return fault
}
