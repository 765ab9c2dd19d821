package controlplane

import (
	"context"
	"fmt"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/codes"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"silvertrail/internal/controlplane/distribution"
	"silvertrail/internal/controlplane/records"
)

// stream is a subscriber's stream.
type stream struct {
	grpcStream discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer
	address    string
	since      time.Time
	ready      chan struct{} // holds a token when there may be something to send

	// Under the server's lock:

	subscriber              *distribution.Subscriber // nil: it has not said who it is
	ended                   bool
	messageCount, byteCount int64
}

func (st *stream) wake() {
	select {
	case st.ready <- struct{}{}:
	default:
	}
}

// DeltaAggregatedResources implements the service.
func (s *Server) DeltaAggregatedResources(of discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	st := &stream{grpcStream: of, since: time.Now(), ready: make(chan struct{}, 1)}
	if p, ok := grpcpeer.FromContext(of.Context()); ok {
		st.address = p.Addr.String()
	}
	s.mu.Lock()
	if s.streamCount >= s.options.MaxSubscribers+len(s.options.Peers) {
		s.mu.Unlock()
		return status.Errorf(codes.ResourceExhausted, "this control machine has its %d subscribers", s.options.MaxSubscribers)
	}
	s.streamCount++
	s.mu.Unlock()
	ctx, cancel := context.WithCancelCause(of.Context())
	defer func() {
		cancel(nil)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.streamCount--
		st.ended = true
		if st.subscriber != nil {
			s.distributor.Leave(st.subscriber)
			delete(s.streams, st.subscriber)
			s.advance()
		}
	}()
	go func() { // ends with the stream, which ends when this method returns
		for {
			m, err := of.Recv()
			if err == nil {
				err = s.handleRequest(st, m)
			}
			if err != nil {
				cancel(err)
				return
			}
		}
	}()
	silent := time.NewTimer(keepaliveTimeout)
	defer silent.Stop()
	for {
		m, err := s.nextResponse(st)
		if err != nil {
			return err
		}
		if m == nil {
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-s.ctx.Done():
				return status.Error(codes.Unavailable, "this control machine ends")
			case <-st.ready:
			case <-silent.C:
				s.mu.Lock()
				nobody := st.subscriber == nil
				s.mu.Unlock()
				if nobody {
					return status.Error(codes.DeadlineExceeded, "a stream that asks for nothing")
				}
			}
			continue
		}
		if err := of.Send(m); err != nil {
			return err
		}
	}
}

// handleRequest takes a request. An error ends the stream.
func (s *Server) handleRequest(st *stream, m *discoveryv3.DeltaDiscoveryRequest) error {
	k := kindOf(m.TypeUrl)
	if k == distribution.Kinds { // of a client that wants more than there is here
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.ended { // its last request has come late
		return context.Canceled
	}
	if st.subscriber == nil {
		node := m.GetNode().GetId()
		st.subscriber = s.distributor.Join(node, s.peers[node] != nil)
		s.streams[st.subscriber] = st
	}
	for _, text := range m.InitialResourceVersions {
		if v, err := records.ParseVersion(text); err == nil {
			s.store.ObserveVersion(v)
		}
	}
	fault := m.GetErrorDetail().GetMessage()
	if m.ErrorDetail != nil && fault == "" {
		fault = "refused, without a reason"
	}
	if fault != "" {
		s.log.Warn("control plane: a response was refused", "node", st.subscriber.Name, "type", k.String(), "fault", fault)
	}
	err := s.distributor.HandleRequest(time.Now(), st.subscriber, distribution.Request{Kind: k, Subscribe: m.ResourceNamesSubscribe, Unsubscribe: m.ResourceNamesUnsubscribe,
		InitialVersions: m.InitialResourceVersions, Nonce: m.ResponseNonce, NackReason: fault})
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	s.advance()
	return nil
}

// nextResponse returns what is to be sent on a stream now, or nil.
func (s *Server) nextResponse(st *stream) (*discoveryv3.DeltaDiscoveryResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.subscriber == nil {
		return nil, nil
	}
	r, ok := s.distributor.Next(time.Now(), st.subscriber)
	defer s.advance() // it may have begun to wait
	if !ok {
		return nil, nil
	}
	m := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: typeOf(r.Kind), Nonce: r.Nonce, RemovedResources: r.Removed}
	if r.Complete {
		m.SystemVersionInfo = fmt.Sprint(s.store.Counter())
	}
	for _, name := range r.Names {
		key, _ := keyOf(r.Kind, name)
		record, _ := s.store.Find(key)
		one, err := encodeResource(r.Kind, record)
		if err != nil {
			return nil, err
		}
		m.Resources = append(m.Resources, one)
	}
	size := int64(proto.Size(m))
	st.messageCount, st.byteCount = st.messageCount+1, st.byteCount+size
	s.messageCount, s.byteCount = s.messageCount+1, s.byteCount+size
	return m, nil
}
