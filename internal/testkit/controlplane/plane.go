// Package controlplane is a stand-in control plane that speaks the aggregated discovery service of xDS, version 3, in both
// variants, on loopback: for tests, and for the command that serves a file. It does what is asked of it, sound or not.
package controlplane

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

// Asked is a request that has come.
type Asked struct {
	Type, Version, Nonce, Fault string
	Names                       []string // state of the world; incremental: those subscribed to with it
	Unsubscribed                []string
	Initial                     map[string]string
	Node                        string
}

// Stream is a stream as a script has it.
type Stream struct {
	Delta bool
	world discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer
	delta discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer
	plane *Plane
}

const maxAsked = 10_000 // requests that are kept

// Plane is a control plane. All its methods may be called from any goroutine.
type Plane struct {
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
	asked     []Asked
	streams   int
	nonces    int
}

// Start listens on an address and serves nothing yet.
func Start(address string, options ...grpc.ServerOption) (*Plane, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Plane{server: grpc.NewServer(append(options, grpc.WaitForHandlers(true))...), addr: l.Addr().String(), resources: map[string]map[string]*anypb.Any{},
		changed: make(chan struct{}), cut: make(chan struct{})}
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(p.server, p)
	go p.server.Serve(l)
	return p, nil
}

// Addr is where it listens.
func (p *Plane) Addr() string { return p.addr }

// Close ends all streams and stops listening.
func (p *Plane) Close() { p.server.Stop() }

// Put replaces all that it serves.
func (p *Plane) Put(version string, resources ...proto.Message) error {
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

// Cut ends all streams that there are.
func (p *Plane) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.cut)
	p.cut = make(chan struct{})
}

// Hang has it answer nothing from now on, or again.
func (p *Plane) Hang(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hang = on
	close(p.changed)
	p.changed = make(chan struct{})
}

// Script has the streams from now on served by a function; nil: by the plane itself.
func (p *Plane) Script(f func(*Stream) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.script = f
}

// Asked returns all requests that have come.
func (p *Plane) Asked() []Asked {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.asked)
}

// Streams returns how many streams there have been.
func (p *Plane) Streams() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streams
}

// StreamAggregatedResources implements the service.
func (p *Plane) StreamAggregatedResources(s discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return p.serve(&Stream{world: s, plane: p})
}

// DeltaAggregatedResources implements the service.
func (p *Plane) DeltaAggregatedResources(s discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return p.serve(&Stream{Delta: true, delta: s, plane: p})
}

// Receive waits for a request.
func (s *Stream) Receive() (a Asked, err error) {
	if s.Delta {
		r, err := s.delta.Recv()
		if err != nil {
			return a, err
		}
		a = Asked{Type: r.TypeUrl, Nonce: r.ResponseNonce, Fault: r.GetErrorDetail().GetMessage(), Names: r.ResourceNamesSubscribe,
			Unsubscribed: r.ResourceNamesUnsubscribe, Initial: r.InitialResourceVersions, Node: r.GetNode().GetId()}
	} else {
		r, err := s.world.Recv()
		if err != nil {
			return a, err
		}
		a = Asked{Type: r.TypeUrl, Version: r.VersionInfo, Nonce: r.ResponseNonce, Fault: r.GetErrorDetail().GetMessage(), Names: r.ResourceNames,
			Node: r.GetNode().GetId()}
	}
	s.plane.mu.Lock()
	defer s.plane.mu.Unlock()
	if s.plane.asked = append(s.plane.asked, a); len(s.plane.asked) > maxAsked {
		s.plane.asked = slices.Delete(s.plane.asked, 0, maxAsked/2)
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
		return s.world.Send(&discoveryv3.DiscoveryResponse{TypeUrl: url, VersionInfo: version, Nonce: nonce, Resources: all})
	}
	m := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: url, SystemVersionInfo: version, Nonce: nonce, RemovedResources: gone}
	for i, a := range all {
		m.Resources = append(m.Resources, &discoveryv3.Resource{Name: names[i], Version: digest(a), Resource: a})
	}
	return s.delta.Send(m)
}

// subscription is what a stream has asked for of a type, and what it has been sent.
type subscription struct {
	names map[string]bool
	all   bool
	nonce string
	sent  map[string]string // by name; empty: told to be gone
	begun bool
	owed  bool // an answer, whatever has changed
}

func (p *Plane) serve(s *Stream) error {
	p.mu.Lock()
	p.streams++
	script, cut := p.script, p.cut
	p.mu.Unlock()
	if script != nil {
		return script(s)
	}
	requests := make(chan Asked)
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
			sub.take(a, s.Delta)
		case <-changed:
		case err := <-failed:
			return err
		case <-cut:
			return status.Error(codes.Unavailable, "cut")
		}
	}
}

func (sub *subscription) take(a Asked, delta bool) {
	if a.Nonce != "" && a.Nonce != sub.nonce && !delta {
		return // an answer to an older response: the newer one's is under way
	}
	first := !sub.begun
	sub.begun = true
	if delta {
		for n, v := range a.Initial {
			sub.sent[n] = v
		}
		for _, n := range a.Names {
			if n == "*" {
				sub.all = true
			} else if !sub.names[n] {
				sub.names[n] = true
				if _, told := a.Initial[n]; !told {
					delete(sub.sent, n) // it wants it anew
				}
			}
		}
		for _, n := range a.Unsubscribed {
			delete(sub.names, n)
			delete(sub.sent, n)
		}
		sub.all = sub.all || first && len(a.Names) == 0
		sub.owed = sub.owed || first && sub.all
		return
	}
	next := map[string]bool{}
	for _, n := range a.Names {
		next[n] = true
	}
	sub.all = next["*"] || first && len(next) == 0 || sub.all && len(next) == 0
	sub.owed = sub.owed || first || !maps.Equal(next, sub.names)
	sub.names = next
}

// answer sends a subscription what it is owed.
func (p *Plane) answer(s *Stream, url string, sub *subscription) error {
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
		if !sub.all && !sub.names[n] {
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
	if !sub.owed && !differs && len(gone) == 0 {
		p.mu.Unlock()
		return nil
	}
	if !s.Delta && !sub.owed && !differs && url == envoy.EndpointsType { // a set that is gone is not told in this variant
		p.mu.Unlock()
		return nil
	}
	sub.owed = false
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
