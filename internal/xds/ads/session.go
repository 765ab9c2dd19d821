// Package ads is the protocol of one stream to a control plane, without I/O: the aggregated discovery service of xDS, version
// 3, in its two variants. It keeps what is subscribed to, what was acknowledged and what is to be sent next. Requests are
// asked for one at a time, so that changes of the subscription and acknowledgements that pile up behind a slow stream fall
// together, and nothing grows.
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

// The kinds, in the order in which they are asked for: an endpoint set is asked for after the cluster that names it (the
// protocol's make before break).
const (
	Clusters Kind = iota
	Endpoints
	KindCount // their number
)

func (k Kind) String() string { return [...]string{"cluster", "endpoints", "?"}[min(k, KindCount)] }

// Variant is how a stream tells changes.
type Variant uint8

// The variants.
const (
	StateOfTheWorld Variant = iota // state of the world: each response holds all (clusters), or all that has changed (endpoint sets)
	Delta                          // each response holds what has changed and what is gone
)

// Request is what is to be sent.
type Request struct {
	Kind        Kind
	Version     string // Whole: the last one that was accepted
	Nonce       string // of the response that is answered; empty: none is
	ErrorDetail string // the response is turned away, with the reason; what was good of it is in force all the same

	Names                  []string          // Whole: all that is subscribed to; empty with the first: everything
	Subscribe, Unsubscribe []string          // Delta
	InitialVersions        map[string]string // Delta, with the first: what is known, by name
}

// Subscription is a subscription.
type Subscription struct {
	Wildcard bool // everything that the server has
	Names    []string
}

const maxPendingReplies = 256 // responses of a stream that may be unanswered

// Errors of a stream, which ends with them.
var (
	ErrNotSubscribed  = errors.New("a response of a type that nobody has asked for")
	ErrTooManyPending = errors.New("the server takes no acknowledgements, and goes on sending")
)

type reply struct{ nonce, errorDetail string }

type kindState struct {
	requested       bool
	wanted          Subscription
	subscribed      map[string]bool
	wildcard        bool
	accepted        string // accepted last
	lastNonce       string // received last
	pending         []reply
	initialVersions map[string]string
}

// Session is one stream's state.
type Session struct {
	variant Variant
	kinds   [KindCount]kindState
}

// NewSession returns the state of a stream that has just been opened.
func NewSession(v Variant) *Session { return &Session{variant: v} }

// SetInitialVersions tells what is known of a kind from before, each resource with its version. It must come before the kind's first
// request.
//
// A server that finds nothing new has nothing to say, and can't be told from one that hangs. So one version that is known is not
// told, and the server has to send that resource at least; in the state of the world, which has one version for all, none is.
func (s *Session) SetInitialVersions(k Kind, initial map[string]string) {
	s.kinds[k].initialVersions = initial
}

// Subscribe sets what is wanted of a kind from now on.
func (s *Session) Subscribe(k Kind, w Subscription) { s.kinds[k].wanted = w }

// Receive takes a response. It must be answered by Judge. An error ends the stream, but for ErrUnasked: that response has no
// answer.
func (s *Session) Receive(k Kind, nonce string) error {
	if k >= KindCount || !s.kinds[k].requested {
		return ErrNotSubscribed
	}
	is := &s.kinds[k]
	if len(is.pending) >= maxPendingReplies {
		return ErrTooManyPending
	}
	is.lastNonce = nonce
	return nil
}

// Answer answers the response that was received last: it is accepted, or turned away with a reason.
func (s *Session) Answer(k Kind, version, fault string) {
	is := &s.kinds[k]
	if fault == "" {
		is.accepted = version
	}
	r := reply{is.lastNonce, fault}
	if s.variant == StateOfTheWorld { // one answer, to the newest, says all
		is.pending = append(is.pending[:0], r)
		return
	}
	is.pending = append(is.pending, r)
}

// NextRequest returns what is to be sent next; ok is false where nothing is.
func (s *Session) NextRequest() (r Request, ok bool) {
	for k := range KindCount {
		if r, ok = s.nextOf(k); ok {
			return r, true
		}
	}
	return r, false
}

func (s *Session) nextOf(k Kind) (r Request, ok bool) {
	is := &s.kinds[k]
	r.Kind = k
	first := !is.requested
	if first && !is.wanted.Wildcard && len(is.wanted.Names) == 0 {
		return r, false // an empty first request asks for everything
	}
	wanted := make(map[string]bool, len(is.wanted.Names))
	if !is.wanted.Wildcard {
		for _, n := range is.wanted.Names {
			wanted[n] = true
		}
	}
	changed := is.wildcard != is.wanted.Wildcard || !maps.Equal(wanted, is.subscribed)
	if !first && !changed && len(is.pending) == 0 {
		return r, false
	}
	if len(is.pending) > 0 {
		r.Nonce, r.ErrorDetail = is.pending[0].nonce, is.pending[0].errorDetail
		is.pending = is.pending[1:]
	} else if s.variant == StateOfTheWorld {
		r.Nonce = is.lastNonce
	}
	if s.variant == StateOfTheWorld {
		r.Version = is.accepted
		r.Names = slices.Sorted(maps.Keys(wanted))
		if is.wanted.Wildcard && !first && !is.wildcard { // once names were told, "everything" must be
			r.Names = []string{"*"}
		}
	} else {
		for _, n := range slices.Sorted(maps.Keys(wanted)) {
			if !is.subscribed[n] {
				r.Subscribe = append(r.Subscribe, n)
			}
		}
		for _, n := range slices.Sorted(maps.Keys(is.subscribed)) {
			if !wanted[n] {
				r.Unsubscribe = append(r.Unsubscribe, n)
			}
		}
		switch {
		case first:
			r.InitialVersions = map[string]string{}
			spared := k != Clusters // a cluster says least
			for _, n := range slices.Sorted(maps.Keys(is.initialVersions)) {
				v := is.initialVersions[n]
				switch {
				case v == "" || !wanted[n] && !is.wanted.Wildcard:
				case !spared:
					spared = true
				default:
					r.InitialVersions[n] = v
				}
			}
		case is.wanted.Wildcard && !is.wildcard:
			r.Subscribe = append(r.Subscribe, "*")
		case !is.wanted.Wildcard && is.wildcard:
			r.Unsubscribe = append(r.Unsubscribe, "*")
		}
	}
	is.requested, is.subscribed, is.wildcard, is.initialVersions = true, wanted, is.wanted.Wildcard, nil
	return r, true
}
