// Package xdsserver is a control plane for tests, and for the command that serves a file: the aggregated discovery service of xDS, version
// 3, in both variants, on loopback. A script may have it break the protocol.
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

// Request is a discovery request that was received.
type Request struct {
	Type, Version, Nonce, ErrorDetail string
	Names                             []string // state of the world; incremental: those subscribed to with it
	Unsubscribed                      []string
	InitialVersions                   map[string]string
	Node                              string
}

// Stream is a stream, for a script.
type Stream struct {
	Delta           bool
	stateOfTheWorld discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer
	delta           discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer
	server          *Server
}

const maxRequests = 10_000 // requests that are kept

// Server is the control plane. All its methods may be called from any goroutine.
type Server struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	options []grpc.ServerOption
	addr    string

	mu        sync.Mutex
	server    *grpc.Server
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

// Start listens on an address, and serves no resources yet.
func Start(address string, options ...grpc.ServerOption) (*Server, error) {
	p := &Server{options: append(options, grpc.WaitForHandlers(true)), resources: map[string]map[string]*anypb.Any{}, changed: make(chan struct{}), cut: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p.addr = l.Addr().String()
	p.listen(l)
	return p, nil
}

// listen serves a listener.
func (p *Server) listen(l net.Listener) {
	server := grpc.NewServer(p.options...)
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(server, p)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = server
	go server.Serve(l)
}

// Restart ends all streams and closes all connections, and listens again at the same address, as a control plane that is restarted and has
// kept its state.
func (p *Server) Restart() error {
	p.Close()
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.listen(l)
	return nil
}

// Addr returns the address.
func (p *Server) Addr() string { return p.addr }

// Close ends all streams and stops listening.
func (p *Server) Close() {
	p.mu.Lock()
	server := p.server
	p.mu.Unlock()
	server.Stop()
}

// Put replaces all resources.
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

// ResetStreams ends all open streams.
func (p *Server) ResetStreams() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.cut)
	p.cut = make(chan struct{})
}

// Hang has the server send no responses, or send them again.
func (p *Server) Hang(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hang = on
	close(p.changed)
	p.changed = make(chan struct{})
}

// Script has new streams served by a function; nil: by the server itself.
func (p *Server) Script(f func(*Stream) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.script = f
}

// Requests returns the requests that were received, except the oldest beyond a bound.
func (p *Server) Requests() []Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.requests)
}

// Streams returns the number of streams so far.
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

// Send sends a response. Removed resources are for the incremental variant alone. Resources may be of any type.
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

// subscription is the state of a stream for one type of resource.
type subscription struct {
	names     map[string]bool
	wildcard  bool
	nonce     string
	sent      map[string]string // versions by name; empty: reported as removed
	requested bool
	pending   bool // a response, whatever has changed
}

// serve serves a stream until it ends or is reset.
func (p *Server) serve(s *Stream) error {
	p.mu.Lock()
	p.streams++
	script, cut := p.script, p.cut
	p.mu.Unlock()
	if script != nil {
		return script(s)
	}
	done := make(chan struct{})
	defer close(done)
	requests, failed := receiveRequests(s, done)
	subscriptions := map[string]*subscription{}
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		if err := p.answerAll(s, subscriptions); err != nil {
			return err
		}
		select {
		case request := <-requests:
			sub := subscriptions[request.Type]
			if sub == nil {
				sub = &subscription{names: map[string]bool{}, sent: map[string]string{}}
				subscriptions[request.Type] = sub
			}
			sub.apply(request, s.Delta)
		case <-changed:
		case err := <-failed:
			return err
		case <-cut:
			return status.Error(codes.Unavailable, "cut")
		}
	}
}

// receiveRequests receives a stream's requests until it ends, or done is closed.
func receiveRequests(s *Stream, done <-chan struct{}) (<-chan Request, <-chan error) {
	requests := make(chan Request)
	failed := make(chan error, 1)
	go func() {
		for {
			request, err := s.Receive()
			if err != nil {
				failed <- err
				return
			}
			select {
			case requests <- request:
			case <-done:
				return
			}
		}
	}()
	return requests, failed
}

// answerAll sends what is pending, clusters first.
func (p *Server) answerAll(s *Stream, subscriptions map[string]*subscription) error {
	for _, url := range []string{envoy.ClusterType, envoy.EndpointsType} {
		if sub := subscriptions[url]; sub != nil {
			if err := p.answer(s, url, sub); err != nil {
				return err
			}
		}
	}
	return nil
}

// apply applies a request to the subscription.
func (sub *subscription) apply(request Request, delta bool) {
	if request.Nonce != "" && request.Nonce != sub.nonce && !delta {
		return // answers an older response: the answer to the newer one is on its way
	}
	first := !sub.requested
	sub.requested = true
	if delta {
		sub.applyDelta(request, first)
		return
	}
	next := map[string]bool{}
	for _, n := range request.Names {
		next[n] = true
	}
	sub.wildcard = next["*"] || first && len(next) == 0 || sub.wildcard && len(next) == 0
	sub.pending = sub.pending || first || !maps.Equal(next, sub.names)
	sub.names = next
}

func (sub *subscription) applyDelta(request Request, first bool) {
	maps.Copy(sub.sent, request.InitialVersions)
	for _, n := range request.Names {
		if n == "*" {
			sub.wildcard = true
			continue
		}
		sub.names[n] = true
		if _, cached := request.InitialVersions[n]; !cached {
			delete(sub.sent, n) // the client wants it, perhaps again
		}
	}
	for _, n := range request.Unsubscribed {
		delete(sub.names, n)
		delete(sub.sent, n)
	}
	sub.wildcard = sub.wildcard || first && len(request.Names) == 0
	sub.pending = sub.pending || first && sub.wildcard
}

// answer sends a subscription what has changed, or what is pending.
func (p *Server) answer(s *Stream, url string, sub *subscription) error {
	r, ok := p.responseFor(s, url, sub)
	if !ok {
		return nil
	}
	for i, n := range r.names {
		sub.sent[n] = digest(r.resources[i])
	}
	for _, n := range r.removed {
		sub.sent[n] = ""
	}
	return s.send(url, r.version, sub.nonce, r.removed, r.names, r.resources)
}

// response is a response that is to be sent.
type response struct {
	version   string
	names     []string
	resources []*anypb.Any
	removed   []string
}

// responseFor returns the next response to a subscription; ok is false where there is none.
func (p *Server) responseFor(s *Stream, url string, sub *subscription) (r response, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hang {
		return r, false
	}
	changed := false
	for _, n := range slices.Sorted(maps.Keys(p.resources[url])) {
		a := p.resources[url][n]
		if !sub.wildcard && !sub.names[n] {
			continue
		}
		isSame := sub.sent[n] == digest(a)
		changed = changed || !isSame
		if !isSame || !s.Delta {
			r.names = append(r.names, n)
			r.resources = append(r.resources, a)
		}
	}
	r.removed = p.removedFrom(url, sub)
	if !sub.pending && !changed {
		// In the state of the world a removed endpoint set is not reported.
		if len(r.removed) == 0 || !s.Delta && url == envoy.EndpointsType {
			return r, false
		}
	}
	sub.pending = false
	p.nonces++
	sub.nonce = fmt.Sprint("n", p.nonces)
	r.version = p.version
	return r, true
}

// removedFrom returns what a subscription names, or was sent, and is not served. The caller holds the lock.
func (p *Server) removedFrom(url string, sub *subscription) (removed []string) {
	for n := range sub.names {
		if _, sent := sub.sent[n]; p.resources[url][n] == nil && n != "*" && !sent {
			removed = append(removed, n)
		}
	}
	for n, v := range sub.sent {
		if v != "" && p.resources[url][n] == nil {
			removed = append(removed, n)
		}
	}
	return removed
}

func digest(a *anypb.Any) string {
	sum := sha256.Sum256(a.Value)
	return hex.EncodeToString(sum[:6])
}
