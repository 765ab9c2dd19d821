// Package ads implements the client side of one stream of the aggregated discovery service (ADS) of xDS version 3, without I/O. It
// supports the state-of-the-world and the incremental variant. A Session holds the subscriptions, the accepted versions and the
// acknowledgements that have not been sent.
//
// Requests are pulled one at a time with NextRequest. Changes of a subscription and acknowledgements that accumulate behind a
// slow stream are therefore combined, and memory use is bounded.
//
// A Session belongs to one stream and ends with it. It is not safe for concurrent use.
package ads

import (
	"errors"
	"maps"
	"slices"
)

// Kind is a type of resource.
type Kind uint8

// The kinds, in the order in which they are requested: an endpoint set is requested after the cluster that names it
// (make before break, xDS protocol, "Eventual consistency considerations").
const (
	Clusters Kind = iota
	Endpoints
	KindCount // the number of kinds; also stands for an unknown type
)

// String returns the kind's name in the control socket's output.
func (k Kind) String() string { return [...]string{"cluster", "endpoints", "?"}[min(k, KindCount)] }

// Variant is the protocol variant of a stream.
type Variant uint8

// The variants of the xDS transport protocol.
const (
	StateOfTheWorld Variant = iota // a response holds all clusters, or all endpoint sets that have changed
	Delta                          // a response holds the changed and the removed resources
)

// Request is a discovery request to send.
type Request struct {
	Kind        Kind
	Version     string // state of the world: the last accepted version
	Nonce       string // nonce of the response that the request refers to; empty: none
	ErrorDetail string // the reason for a NACK; the valid resources of the response are applied nevertheless

	Names                  []string          // state of the world: the whole subscription; empty in the first request: all resources
	Subscribe, Unsubscribe []string          // incremental
	InitialVersions        map[string]string // incremental, in the first request: cached versions by name
}

// Subscription names the resources of a kind that a client wants.
type Subscription struct {
	Wildcard bool // all resources that the server has
	Names    []string
}

// maxPendingReplies limits how many unsent acknowledgements of a kind a stream may hold.
const maxPendingReplies = 256

// Errors of Receive.
var (
	// ErrNotSubscribed reports a response of a kind that was not requested on the stream.
	ErrNotSubscribed = errors.New("ads: received a response of a resource type that was not requested")
	// ErrTooManyPending reports a server that continues to send responses without reading acknowledgements.
	ErrTooManyPending = errors.New("ads: too many responses have unsent acknowledgements")
)

// reply is an ACK, or a NACK if errorDetail is set.
type reply struct{ nonce, errorDetail string }

// kindState is the state of one kind on the stream.
type kindState struct {
	requested       bool // the first request has been sent
	wanted          Subscription
	subscribed      map[string]bool // names in the last sent subscription
	wildcard        bool            // whether the last sent subscription was a wildcard
	acceptedVersion string          // of the last response that was not rejected
	lastNonce       string
	pending         []reply
	initialVersions map[string]string
	resubscribe     map[string]bool // incremental: subscribed names to subscribe to once more
}

// Session is the state of one stream.
type Session struct {
	variant Variant
	kinds   [KindCount]kindState
}

// NewSession returns the state of a stream that has just been opened.
func NewSession(v Variant) *Session { return &Session{variant: v} }

// SetInitialVersions sets the cached resources of a kind with their versions. It must be called before the kind's first request.
//
// A server without changes sends nothing, and cannot be distinguished from a server that hangs. In the incremental variant the
// first request therefore omits the version of one cached cluster, so that the server has to send that cluster. The
// state-of-the-world variant has one version for all resources, so its first request has no version.
func (s *Session) SetInitialVersions(k Kind, versions map[string]string) {
	s.kinds[k].initialVersions = versions
}

// Subscribe replaces the subscription of a kind.
func (s *Session) Subscribe(k Kind, wanted Subscription) { s.kinds[k].wanted = wanted }

// Resubscribe requests resources once more that the subscription of a kind holds already, so that the server sends them again and they can be
// acknowledged. It has no effect in the state-of-the-world variant: Answer may be called again there.
func (s *Session) Resubscribe(k Kind, names []string) {
	state := &s.kinds[k]
	if state.resubscribe == nil {
		state.resubscribe = map[string]bool{}
	}
	for _, n := range names {
		state.resubscribe[n] = true
	}
}

// Receive records a response, which must be answered with Answer. The caller must end the stream on an error,
// except on ErrNotSubscribed: such a response is not answered.
func (s *Session) Receive(k Kind, nonce string) error {
	if k >= KindCount || !s.kinds[k].requested {
		return ErrNotSubscribed
	}
	state := &s.kinds[k]
	if len(state.pending) >= maxPendingReplies {
		return ErrTooManyPending
	}
	state.lastNonce = nonce
	return nil
}

// Answer acknowledges the last received response, or rejects it if errorDetail is not empty.
func (s *Session) Answer(k Kind, version, errorDetail string) {
	state := &s.kinds[k]
	if errorDetail == "" {
		state.acceptedVersion = version
	}
	r := reply{state.lastNonce, errorDetail}
	if s.variant == StateOfTheWorld { // an answer to the latest response also answers all earlier responses
		state.pending = append(state.pending[:0], r)
		return
	}
	state.pending = append(state.pending, r)
}

// NextRequest returns the next request to send; ok is false if there is none.
func (s *Session) NextRequest() (r Request, ok bool) {
	for k := range KindCount {
		if r, ok = s.nextRequestOf(k); ok {
			return r, true
		}
	}
	return r, false
}

// nextRequestOf returns the next request of a kind.
func (s *Session) nextRequestOf(k Kind) (r Request, ok bool) {
	state := &s.kinds[k]
	r.Kind = k
	first := !state.requested
	if first && !state.wanted.Wildcard && len(state.wanted.Names) == 0 {
		return r, false // an empty first request would subscribe to all resources
	}
	names := state.wantedNames()
	changed := state.wildcard != state.wanted.Wildcard || !maps.Equal(names, state.subscribed)
	if !first && !changed && len(state.pending) == 0 && (len(state.resubscribe) == 0 || s.variant == StateOfTheWorld) {
		return r, false
	}
	s.addReply(&r, state)
	if s.variant == StateOfTheWorld {
		state.addNames(&r, names, first)
	} else {
		state.addDelta(&r, names, first)
	}
	state.requested = true
	state.subscribed = names
	state.wildcard = state.wanted.Wildcard
	state.initialVersions = nil
	state.resubscribe = nil
	return r, true
}

// wantedNames returns the names in the wanted subscription. The result is empty for a wildcard.
func (state *kindState) wantedNames() map[string]bool {
	names := make(map[string]bool, len(state.wanted.Names))
	if state.wanted.Wildcard {
		return names
	}
	for _, n := range state.wanted.Names {
		names[n] = true
	}
	return names
}

// addReply adds the oldest pending reply to a request. In the state-of-the-world variant each request has
// the nonce of the last response.
func (s *Session) addReply(r *Request, state *kindState) {
	switch {
	case len(state.pending) > 0:
		r.Nonce, r.ErrorDetail = state.pending[0].nonce, state.pending[0].errorDetail
		state.pending = state.pending[1:]
	case s.variant == StateOfTheWorld:
		r.Nonce = state.lastNonce
	}
}

// addNames adds the version and the whole subscription, for the state-of-the-world variant.
func (state *kindState) addNames(r *Request, names map[string]bool, first bool) {
	r.Version = state.acceptedVersion
	r.Names = slices.Sorted(maps.Keys(names))
	if state.wanted.Wildcard && !first && !state.wildcard { // once names have been sent, the wildcard must be explicit
		r.Names = []string{"*"}
	}
}

// addDelta adds the changes of the subscription, for the incremental variant.
func (state *kindState) addDelta(r *Request, names map[string]bool, first bool) {
	for _, n := range slices.Sorted(maps.Keys(names)) {
		if !state.subscribed[n] || state.resubscribe[n] {
			r.Subscribe = append(r.Subscribe, n)
		}
	}
	if state.wanted.Wildcard {
		r.Subscribe = append(r.Subscribe, slices.Sorted(maps.Keys(state.resubscribe))...)
	}
	for _, n := range slices.Sorted(maps.Keys(state.subscribed)) {
		if !names[n] {
			r.Unsubscribe = append(r.Unsubscribe, n)
		}
	}
	switch {
	case first:
		r.InitialVersions = state.initialVersionsFor(r.Kind, names)
	case state.wanted.Wildcard && !state.wildcard:
		r.Subscribe = append(r.Subscribe, "*")
	case !state.wanted.Wildcard && state.wildcard:
		r.Unsubscribe = append(r.Unsubscribe, "*")
	}
}

// initialVersionsFor returns the cached versions of wanted resources, for the first request. It omits the first cluster, see
// SetInitialVersions.
func (state *kindState) initialVersionsFor(k Kind, names map[string]bool) map[string]string {
	out := map[string]string{}
	omitNext := k == Clusters // clusters only: a cluster is the smallest resource to receive again
	for _, n := range slices.Sorted(maps.Keys(state.initialVersions)) {
		version := state.initialVersions[n]
		if version == "" || !names[n] && !state.wanted.Wildcard {
			continue
		}
		if omitNext {
			omitNext = false
			continue
		}
		out[n] = version
	}
	return out
}
