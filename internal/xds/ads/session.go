// Package ads implements the client side of one aggregated discovery stream of xDS, version 3, without I/O: in the
// state-of-the-world and in the incremental variant. A Session holds the subscriptions, what was acknowledged, and what is to be
// sent next.
//
// Requests are pulled one at a time with NextRequest. Changes of a subscription and acknowledgements that accumulate behind a
// slow stream are therefore combined, and nothing grows without bound.
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
	KindCount // the number of kinds; also returned where a type is unknown
)

// String returns the kind's name in the control socket's output.
func (k Kind) String() string { return [...]string{"cluster", "endpoints", "?"}[min(k, KindCount)] }

// Variant is the protocol variant of a stream.
type Variant uint8

// The variants of the xDS transport protocol.
const (
	StateOfTheWorld Variant = iota // a response holds all clusters, or all endpoint sets that have changed
	Delta                          // a response holds what has changed and what was removed
)

// Request is a discovery request that is to be sent.
type Request struct {
	Kind        Kind
	Version     string // state of the world: the version accepted last
	Nonce       string // of the response that is answered; empty: none is
	ErrorDetail string // the reason of a NACK; resources that could be used are in force all the same

	Names                  []string          // state of the world: the whole subscription; empty in the first request: everything
	Subscribe, Unsubscribe []string          // incremental
	InitialVersions        map[string]string // incremental, in the first request: cached versions by name
}

// Subscription names the resources of a kind that a client wants.
type Subscription struct {
	Wildcard bool // everything that the server has
	Names    []string
}

// maxPendingReplies bounds the responses of a stream whose acknowledgement has not been sent.
const maxPendingReplies = 256

// Errors of Receive.
var (
	// ErrNotSubscribed reports a response of a kind that was not requested on the stream.
	ErrNotSubscribed = errors.New("ads: response of a type without a subscription")
	// ErrTooManyPending reports a server that goes on sending and does not read acknowledgements.
	ErrTooManyPending = errors.New("ads: too many responses without a sent acknowledgement")
)

// reply is an ACK, or a NACK where errorDetail is set.
type reply struct{ nonce, errorDetail string }

// kindState is the state of one kind on the stream.
type kindState struct {
	requested       bool // the first request was sent
	wanted          Subscription
	subscribed      map[string]bool // as sent last
	wildcard        bool            // as sent last
	accepted        string          // version accepted last
	lastNonce       string
	pending         []reply
	initialVersions map[string]string
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
// A server that has nothing new sends nothing, and cannot be distinguished from one that hangs. One cached cluster is therefore
// left out, so that the server has to send it. In the state of the world, which has one version for all, no version is sent.
func (s *Session) SetInitialVersions(k Kind, versions map[string]string) {
	s.kinds[k].initialVersions = versions
}

// Subscribe sets what is wanted of a kind from now on.
func (s *Session) Subscribe(k Kind, wanted Subscription) { s.kinds[k].wanted = wanted }

// Receive records a response, which must be answered with Answer. An error ends the stream, except ErrNotSubscribed: that
// response has no answer.
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

// Answer acknowledges the response received last, or rejects it where errorDetail is not empty.
func (s *Session) Answer(k Kind, version, errorDetail string) {
	state := &s.kinds[k]
	if errorDetail == "" {
		state.accepted = version
	}
	r := reply{state.lastNonce, errorDetail}
	if s.variant == StateOfTheWorld { // an answer to the newest response answers all before it
		state.pending = append(state.pending[:0], r)
		return
	}
	state.pending = append(state.pending, r)
}

// NextRequest returns the next request to send; ok is false where there is none.
func (s *Session) NextRequest() (r Request, ok bool) {
	for k := range KindCount {
		if r, ok = s.nextOf(k); ok {
			return r, true
		}
	}
	return r, false
}

// nextOf returns the next request of a kind.
func (s *Session) nextOf(k Kind) (r Request, ok bool) {
	state := &s.kinds[k]
	r.Kind = k
	first := !state.requested
	if first && !state.wanted.Wildcard && len(state.wanted.Names) == 0 {
		return r, false // an empty first request would subscribe to everything
	}
	names := state.wantedNames()
	changed := state.wildcard != state.wanted.Wildcard || !maps.Equal(names, state.subscribed)
	if !first && !changed && len(state.pending) == 0 {
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
	return r, true
}

// wantedNames returns the names wanted, none with a wildcard.
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

// addReply adds the oldest pending reply to a request. In the state of the world each request names the last response.
func (s *Session) addReply(r *Request, state *kindState) {
	switch {
	case len(state.pending) > 0:
		r.Nonce, r.ErrorDetail = state.pending[0].nonce, state.pending[0].errorDetail
		state.pending = state.pending[1:]
	case s.variant == StateOfTheWorld:
		r.Nonce = state.lastNonce
	}
}

// addNames adds the whole subscription, for the state of the world.
func (state *kindState) addNames(r *Request, names map[string]bool, first bool) {
	r.Version = state.accepted
	r.Names = slices.Sorted(maps.Keys(names))
	if state.wanted.Wildcard && !first && !state.wildcard { // after names were sent, the wildcard must be explicit
		r.Names = []string{"*"}
	}
}

// addDelta adds what has changed of the subscription, for the incremental variant.
func (state *kindState) addDelta(r *Request, names map[string]bool, first bool) {
	for _, n := range slices.Sorted(maps.Keys(names)) {
		if !state.subscribed[n] {
			r.Subscribe = append(r.Subscribe, n)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(state.subscribed)) {
		if !names[n] {
			r.Unsubscribe = append(r.Unsubscribe, n)
		}
	}
	switch {
	case first:
		r.InitialVersions = state.initialFor(r.Kind, names)
	case state.wanted.Wildcard && !state.wildcard:
		r.Subscribe = append(r.Subscribe, "*")
	case !state.wanted.Wildcard && state.wildcard:
		r.Unsubscribe = append(r.Unsubscribe, "*")
	}
}

// initialFor returns the cached versions to send with the first request: those of wanted resources, without the first cluster
// (see SetInitialVersions).
func (state *kindState) initialFor(k Kind, names map[string]bool) map[string]string {
	out := map[string]string{}
	leaveOut := k == Clusters // a cluster is the smallest resource
	for _, n := range slices.Sorted(maps.Keys(state.initialVersions)) {
		version := state.initialVersions[n]
		if version == "" || !names[n] && !state.wanted.Wildcard {
			continue
		}
		if leaveOut {
			leaveOut = false
			continue
		}
		out[n] = version
	}
	return out
}
