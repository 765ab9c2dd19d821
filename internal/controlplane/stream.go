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

// deltaStream is the server's side of the gRPC stream.
type deltaStream = discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer

// unknownNackReason is recorded for a rejection without a reason.
const unknownNackReason = "refused, without a reason"

// stream is a subscriber's stream.
type stream struct {
	grpcStream deltaStream
	address    string
	since      time.Time
	ready      chan struct{} // holds a token when there may be something to send

	// Guarded by the server's lock:

	subscriber              *distribution.Subscriber // nil until the first request identifies it
	ended                   bool
	messageCount, byteCount int64
}

func (st *stream) wake() {
	select {
	case st.ready <- struct{}{}:
	default:
	}
}

// DeltaAggregatedResources implements the incremental aggregated discovery service.
func (s *Server) DeltaAggregatedResources(grpcStream deltaStream) error {
	st := &stream{grpcStream: grpcStream, since: time.Now(), ready: make(chan struct{}, 1)}
	if p, ok := grpcpeer.FromContext(grpcStream.Context()); ok {
		st.address = p.Addr.String()
	}
	if err := s.admitStream(); err != nil {
		return err
	}
	defer s.removeStream(st)
	ctx, cancel := context.WithCancelCause(grpcStream.Context())
	defer cancel(nil)
	go s.receiveLoop(st, cancel) // ends with the gRPC stream, which ends when this method returns
	return s.sendLoop(ctx, st)
}

// admitStream counts a new stream, or rejects it if the limit on concurrent streams is reached.
func (s *Server) admitStream() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streamCount >= s.options.MaxSubscribers+len(s.options.Peers) {
		return status.Errorf(codes.ResourceExhausted, "this control machine has its %d subscribers", s.options.MaxSubscribers)
	}
	s.streamCount++
	return nil
}

func (s *Server) removeStream(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamCount--
	st.ended = true
	if st.subscriber != nil {
		s.distributor.Leave(st.subscriber)
		delete(s.streams, st.subscriber)
		s.advance()
	}
}

// receiveLoop handles requests until the stream ends.
func (s *Server) receiveLoop(st *stream, cancel context.CancelCauseFunc) {
	for {
		m, err := st.grpcStream.Recv()
		if err == nil {
			err = s.handleRequest(st, m)
		}
		if err != nil {
			cancel(err)
			return
		}
	}
}

// sendLoop sends responses until the stream ends.
func (s *Server) sendLoop(ctx context.Context, st *stream) error {
	identification := time.NewTimer(keepaliveTimeout)
	defer identification.Stop()
	for {
		m, err := s.nextResponse(st)
		if err != nil {
			return err
		}
		if m != nil {
			if err := st.grpcStream.Send(m); err != nil {
				return err
			}
			continue
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-s.ctx.Done():
			return status.Error(codes.Unavailable, "this control machine ends")
		case <-st.ready:
		case <-identification.C:
			if !s.isIdentified(st) {
				return status.Error(codes.DeadlineExceeded, "a stream that asks for nothing")
			}
		}
	}
}

func (s *Server) isIdentified(st *stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return st.subscriber != nil
}

// handleRequest handles a request. After an error the stream ends.
func (s *Server) handleRequest(st *stream, m *discoveryv3.DeltaDiscoveryRequest) error {
	k := kindOf(m.TypeUrl)
	if k == distribution.KindCount { // ignored: a client may support types that are not served here
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.ended { // the request arrived while the stream was being closed
		return context.Canceled
	}
	s.identify(st, m)
	for _, text := range m.InitialResourceVersions {
		if v, err := records.ParseVersion(text); err == nil {
			s.store.ObserveVersion(v)
		}
	}
	reason := nackReason(m)
	if reason != "" {
		s.log.Warn("response rejected by subscriber", "node", st.subscriber.Name, "type", k.String(), "fault", reason)
	}
	err := s.distributor.HandleRequest(time.Now(), st.subscriber, distribution.Request{
		Kind:            k,
		Subscribe:       m.ResourceNamesSubscribe,
		Unsubscribe:     m.ResourceNamesUnsubscribe,
		InitialVersions: m.InitialResourceVersions,
		Nonce:           m.ResponseNonce,
		NackReason:      reason,
	})
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	s.advance()
	return nil
}

// identify registers the subscriber of a stream on its first request. The caller holds the lock.
func (s *Server) identify(st *stream, m *discoveryv3.DeltaDiscoveryRequest) {
	if st.subscriber != nil {
		return
	}
	node := m.GetNode().GetId()
	st.subscriber = s.distributor.Join(node, s.peers[node] != nil)
	s.streams[st.subscriber] = st
}

// nackReason returns why the subscriber has rejected a response, or "" for a request that rejects none.
func nackReason(m *discoveryv3.DeltaDiscoveryRequest) string {
	if reason := m.GetErrorDetail().GetMessage(); reason != "" || m.ErrorDetail == nil {
		return reason
	}
	return unknownNackReason
}

// nextResponse returns the response to send on a stream now, or nil if there is none.
func (s *Server) nextResponse(st *stream) (*discoveryv3.DeltaDiscoveryResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.subscriber == nil {
		return nil, nil
	}
	r, ok := s.distributor.Next(time.Now(), st.subscriber)
	defer s.advance() // Next may have queued the subscriber
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
		resource, err := encodeResource(r.Kind, record)
		if err != nil {
			return nil, err
		}
		m.Resources = append(m.Resources, resource)
	}
	size := int64(proto.Size(m))
	st.messageCount, st.byteCount = st.messageCount+1, st.byteCount+size
	s.messageCount, s.byteCount = s.messageCount+1, s.byteCount+size
	return m, nil
}
