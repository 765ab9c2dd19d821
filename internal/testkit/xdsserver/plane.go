// Package xdsserver is a stand-in control plane that speaks the aggregated discovery service of xDS, version 3, in both
// variants, on loopback: for tests, and for the command that serves a file. It does what is asked of it, sound or not.
package xdsserver

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"silvertrail/internal/xds/envoy"
)

// Request is a request that has come.
type Request struct {
	Type, Version, Nonce, ErrorDetail string
	Names                             []string // state of the world; incremental: those subscribed to with it
	Unsubscribed                      []string
	InitialVersions                   map[string]string
	Node                              string
}

// Stream is a stream as a script has it.
type Stream struct {
	Delta           bool
	stateOfTheWorld discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer
	delta           discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer
	server          *Server
}

const maxRequests = 10_000 // requests that are kept

// Server is a control plane. All its methods may be called from any goroutine.
type Server struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	server *grpc.Server
	addr   string

	mu        sync.Mutex
	version   string
	resources map[string]map[string]*anypb.Any // by type and name
	changed   chan struct{}
	cut       chan struct{}
	hang      bool
	script    func(*Stream) error
	requests  []Request
	streams   int
	nonces    int
}

// Start listens on an address and serves nothing yet.
func Start(address string, options ...grpc.ServerOption) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Server{server: grpc.NewServer(append(options, grpc.WaitForHandlers(true))...), addr: l.Addr().String(), resources: map[string]map[string]*anypb.Any{},
		changed: make(chan struct{}), cut: make(chan struct{})}
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(p.server, p)
	go p.server.Serve(l)
	return p, nil
}

// Addr is where it listens.
func (p *Server) Addr() string { return p.addr }

// Close ends all streams and stops listening.
func (p *Server) Close() { p.server.Stop() }

// Put replaces all that it serves.
func (p *Server) Put(version string, resources ...proto.Message) error {
	all := map[string]map[string]*anypb.Any{}
	for _, m := range resources {
		a, name, err := pack(m)
		if err != nil {
			return err
		}
		if all[a.TypeUrl] == nil {
			all[a.TypeUrl] = map[string]*anypb.Any{}
		}
		all[a.TypeUrl][name] = a
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version, p.resources = version, all
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// ResetStreams ends all streams that there are.
func (p *Server) ResetStreams() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.cut)
	p.cut = make(chan struct{})
}

// Hang has it answer nothing from now on, or again.
func (p *Server) Hang(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hang = on
	close(p.changed)
	p.changed = make(chan struct{})
}

// Script has the streams from now on served by a function; nil: by the plane itself.
func (p *Server) Script(f func(*Stream) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.script = f
}

// Requests returns all requests that have come.
func (p *Server) Requests() []Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.requests)
}

// Streams returns how many streams there have been.
func (p *Server) Streams() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streams
}

// StreamAggregatedResources implements the service.
func (p *Server) StreamAggregatedResources(s discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return p.serve(&Stream{stateOfTheWorld: s, server: p})
}

// DeltaAggregatedResources implements the service.
func (p *Server) DeltaAggregatedResources(s discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return p.serve(&Stream{Delta: true, delta: s, server: p})
}

// Receive waits for a request.
func (s *Stream) Receive() (a Request, err error) {
	if s.Delta {
		r, err := s.delta.Recv()
		if err != nil {
			return a, err
		}
		a = Request{Type: r.TypeUrl, Nonce: r.ResponseNonce, ErrorDetail: r.GetErrorDetail().GetMessage(), Names: r.ResourceNamesSubscribe,
			Unsubscribed: r.ResourceNamesUnsubscribe, InitialVersions: r.InitialResourceVersions, Node: r.GetNode().GetId()}
	} else {
		r, err := s.stateOfTheWorld.Recv()
		if err != nil {
			return a, err
		}
		a = Request{Type: r.TypeUrl, Version: r.VersionInfo, Nonce: r.ResponseNonce, ErrorDetail: r.GetErrorDetail().GetMessage(), Names: r.ResourceNames,
			Node: r.GetNode().GetId()}
	}
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if s.server.requests = append(s.server.requests, a); len(s.server.requests) > maxRequests {
		s.server.requests = slices.Delete(s.server.requests, 0, maxRequests/2)
	}
	return a, nil
}

// Send sends a response as it is told. Gone is for the incremental variant alone. Resources may be of any type.
func (s *Stream) Send(url, version, nonce string, gone []string, resources ...proto.Message) error {
	var all []*anypb.Any
	var names []string
	for _, m := range resources {
		a, is := m.(*anypb.Any)
		name := ""
		if !is {
			var err error
			if a, name, err = pack(m); err != nil {
				return err
			}
		}
		all, names = append(all, a), append(names, name)
	}
	return s.send(url, version, nonce, gone, names, all)
}

func (s *Stream) send(url, version, nonce string, gone, names []string, all []*anypb.Any) error {
	if !s.Delta {
		return s.stateOfTheWorld.Send(&discoveryv3.DiscoveryResponse{TypeUrl: url, VersionInfo: version, Nonce: nonce, Resources: all})
	}
	m := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: url, SystemVersionInfo: version, Nonce: nonce, RemovedResources: gone}
	for i, a := range all {
		m.Resources = append(m.Resources, &discoveryv3.Resource{Name: names[i], Version: digest(a), Resource: a})
	}
	return s.delta.Send(m)
}

// subscription is what a stream has asked for of a type, and what it has been sent.
type subscription struct {
	names     map[string]bool
	wildcard  bool
	nonce     string
	sent      map[string]string // by name; empty: told to be gone
	requested bool
	pending   bool // an answer, whatever has changed
}

func (p *Server) serve(s *Stream) error {
	p.mu.Lock()
	p.streams++
	script, cut := p.script, p.cut
	p.mu.Unlock()
	if script != nil {
		return script(s)
	}
	requests := make(chan Request)
	failed := make(chan error, 1)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			a, err := s.Receive()
			if err != nil {
				failed <- err
				return
			}
			select {
			case requests <- a:
			case <-done:
				return
			}
		}
	}()
	of := map[string]*subscription{}
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		for _, url := range []string{envoy.ClusterType, envoy.EndpointsType} {
			if sub := of[url]; sub != nil {
				if err := p.answer(s, url, sub); err != nil {
					return err
				}
			}
		}
		select {
		case a := <-requests:
			sub := of[a.Type]
			if sub == nil {
				sub = &subscription{names: map[string]bool{}, sent: map[string]string{}}
				of[a.Type] = sub
			}
			sub.apply(a, s.Delta)
		case <-changed:
		case err := <-failed:
			return err
		case <-cut:
			return status.Error(codes.Unavailable, "cut")
		}
	}
}

func (sub *subscription) apply(a Request, delta bool) {
	if a.Nonce != "" && a.Nonce != sub.nonce && !delta {
		return // an answer to an older response: the newer one's is under way
	}
	first := !sub.requested
	sub.requested = true
	if delta {
		for n, v := range a.InitialVersions {
			sub.sent[n] = v
		}
		for _, n := range a.Names {
			if n == "*" {
				sub.wildcard = true
			} else if !sub.names[n] {
				sub.names[n] = true
				if _, told := a.InitialVersions[n]; !told {
					delete(sub.sent, n) // it wants it anew
				}
			}
		}
		for _, n := range a.Unsubscribed {
			delete(sub.names, n)
			delete(sub.sent, n)
		}
		sub.wildcard = sub.wildcard || first && len(a.Names) == 0
		sub.pending = sub.pending || first && sub.wildcard
		return
	}
	next := map[string]bool{}
	for _, n := range a.Names {
		next[n] = true
	}
	sub.wildcard = next["*"] || first && len(next) == 0 || sub.wildcard && len(next) == 0
	sub.pending = sub.pending || first || !maps.Equal(next, sub.names)
	sub.names = next
}

// answer sends a subscription what it is owed.
func (p *Server) answer(s *Stream, url string, sub *subscription) error {
	p.mu.Lock()
	if p.hang {
		p.mu.Unlock()
		return nil
	}
	var names, gone []string
	var all []*anypb.Any
	differs := false
	for _, n := range slices.Sorted(maps.Keys(p.resources[url])) {
		a := p.resources[url][n]
		if !sub.wildcard && !sub.names[n] {
			continue
		}
		same := sub.sent[n] == digest(a)
		differs = differs || !same
		if !same || !s.Delta {
			names, all = append(names, n), append(all, a)
		}
	}
	for n := range sub.names {
		if _, told := sub.sent[n]; p.resources[url][n] == nil && n != "*" && !told {
			gone = append(gone, n)
		}
	}
	for n, v := range sub.sent {
		if v != "" && p.resources[url][n] == nil {
			gone = append(gone, n)
		}
	}
	if !sub.pending && !differs && len(gone) == 0 {
		p.mu.Unlock()
		return nil
	}
	if !s.Delta && !sub.pending && !differs && url == envoy.EndpointsType { // a set that is gone is not told in this variant
		p.mu.Unlock()
		return nil
	}
	sub.pending = false
	p.nonces++
	sub.nonce = fmt.Sprint("n", p.nonces)
	version := p.version
	p.mu.Unlock()
	for i, n := range names {
		sub.sent[n] = digest(all[i])
	}
	for _, n := range gone {
		sub.sent[n] = ""
	}
	return s.send(url, version, sub.nonce, gone, names, all)
}

func digest(a *anypb.Any) string {
	sum := sha256.Sum256(a.Value)
	return hex.EncodeToString(sum[:6])
}
