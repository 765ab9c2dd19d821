package crossing

import (
	"slices"
	"strings"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/salas/tally"
	"silvertrail/lbpolicy"
)

// separator stands between a sala and a cluster in the name of a place. No sala's name holds it.
const separator = "/"

// Place names a cluster of a sala, so that clusters of the same name in two salas are two places.
func Place(sala, cluster string) string {
	if sala == "" {
		return cluster
	}
	return sala + separator + cluster
}

// Split returns the sala and the cluster of a place's name.
func Split(place string) (sala, cluster string) {
	sala, cluster, is := strings.Cut(place, separator)
	if !is {
		return "", place
	}
	return sala, cluster
}

// NoSala says that no sala may have a key's repeats: it may have run in several, or nobody can tell where.
const NoSala = "?"

// Holder returns the sala that holds a key, by what is known of it from several sides; empty: none does.
func Holder(pasts ...idempotency.KeyState) (holder string) {
	for _, p := range pasts {
		if !p.Known {
			continue
		}
		sala, _ := Split(p.Place.Cluster)
		if sala == "" {
			sala = NoSala
		}
		switch {
		case p.SeveralGroups && p.Place.Cluster == "":
			return NoSala
		case holder == "":
			holder = sala
		case holder != sala:
			return NoSala
		}
	}
	return holder
}

// Way is one request's way over salas, from the one that took it on.
type Way struct {
	Here   string // this sala
	Effect lbpolicy.Effect
	May    []string // salas that its route names
	Been   []string // salas that it has been to before it came here
	// Attempts that are left to it over all salas; 0: no bound of its own.
	Attempts int

	tried map[string]int
	made  int
}

// again is how often a request with a key goes to the one sala that holds it: a second time after an answer that was lost.
const again = 2

// So is how the request stands.
type So struct {
	Now, Deadline time.Time
	MayHaveRun    bool   // an attempt of it may have run, or may yet, wherever
	Attempts      int    // that were made since the last time
	Holder        string // of its key; empty: none
	Refused       bool   // it was refused for load last
	Passing       bool   // it came from another sala
}

// Next returns where the request may cross to, for Pick to choose from, and why; ok is false where it may not cross:
//
//   - A request never visits a sala twice; but one whose key is held there, whose answer was lost, goes there again, as the
//     endpoints drop it as a repeat, or answer it.
//   - What may have run crosses only if it is safe to repeat, or if its key is held by the sala that it goes to.
//   - No time or no attempts left: no crossing.
func (w *Way) Next(s So) (r Request, why tally.Reason, ok bool) {
	w.made += s.Attempts
	r = Request{Left: s.Deadline.Sub(s.Now), May: w.May, Not: append([]string{w.Here}, w.Been...)}
	if r.Left <= 0 || w.Attempts > 0 && w.made >= w.Attempts {
		return r, 0, false
	}
	why = tally.Failed
	switch {
	case s.Passing:
		why = tally.Passing
	case s.Refused:
		why = tally.Shed
	}
	if w.Effect == lbpolicy.KeyedIdempotent && s.Holder != "" {
		if s.Holder == w.Here || s.Holder == NoSala || slices.Contains(r.Not, s.Holder) || w.tried[s.Holder] >= again ||
			!slices.Contains(w.May, s.Holder) {
			return r, 0, false
		}
		r.Only = s.Holder
		return r, tally.Held, true
	}
	if w.Effect != lbpolicy.Idempotent && s.MayHaveRun {
		return r, 0, false
	}
	for name := range w.tried {
		r.Not = append(r.Not, name)
	}
	return r, why, true
}

// Crossed tells that the request has gone to a sala.
func (w *Way) Crossed(sala string) {
	if w.tried == nil {
		w.tried = map[string]int{}
	}
	w.tried[sala]++
}

// Left returns the attempts that are left to the request; 0: no bound of its own.
func (w *Way) Left() int {
	if w.Attempts == 0 {
		return 0
	}
	return max(w.Attempts-w.made, 1)
}
