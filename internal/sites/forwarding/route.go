package forwarding

import (
	"slices"
	"strings"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/sites/accounting"
	"silvertrail/lbpolicy"
)

// siteSeparator stands between a sala and a cluster in the name of a place. No sala's name holds it.
const siteSeparator = "/"

// QualifyCluster names a cluster of a sala, so that clusters of the same name in two salas are two places.
func QualifyCluster(sala, cluster string) string {
	if sala == "" {
		return cluster
	}
	return sala + siteSeparator + cluster
}

// SplitCluster returns the sala and the cluster of a place's name.
func SplitCluster(place string) (sala, cluster string) {
	sala, cluster, is := strings.Cut(place, siteSeparator)
	if !is {
		return "", place
	}
	return sala, cluster
}

// NoSite says that no sala may have a key's repeats: it may have run in several, or nobody can tell where.
const NoSite = "?"

// OwnerSite returns the sala that holds a key, by what is known of it from several sides; empty: none does.
func OwnerSite(pasts ...idempotency.KeyState) (holder string) {
	for _, p := range pasts {
		if !p.Known {
			continue
		}
		sala, _ := SplitCluster(p.Place.Cluster)
		if sala == "" {
			sala = NoSite
		}
		switch {
		case p.SeveralGroups && p.Place.Cluster == "":
			return NoSite
		case holder == "":
			holder = sala
		case holder != sala:
			return NoSite
		}
	}
	return holder
}

// Route is one request's way over salas, from the one that took it on.
type Route struct {
	LocalSite    string // this sala
	Effect       lbpolicy.Effect
	AllowedSites []string // salas that its route names
	VisitedSites []string // salas that it has been to before it came here
	// MaxAttempts that are left to it over all salas; 0: no bound of its own.
	MaxAttempts int

	forwards map[string]int
	attempts int
}

// maxForwardsToOwner is how often a request with a key goes to the one sala that holds it: a second time after an answer that was lost.
const maxForwardsToOwner = 2

// Progress is how the request stands.
type Progress struct {
	Now, Deadline time.Time
	MayHaveRun    bool   // an attempt of it may have run, or may yet, wherever
	NewAttempts   int    // that were made since the last time
	OwnerSite     string // of its key; empty: none
	Rejected      bool   // it was refused for load last
	Transit       bool   // it came from another sala
}

// Next returns where the request may cross to, for Pick to choose from, and why; ok is false where it may not cross:
//
//   - A request never visits a sala twice; but one whose key is held there, whose answer was lost, goes there again, as the
//     endpoints drop it as a repeat, or answer it.
//   - What may have run crosses only if it is safe to repeat, or if its key is held by the sala that it goes to.
//   - No time or no attempts left: no crossing.
func (w *Route) Next(s Progress) (r Request, why accounting.Reason, ok bool) {
	w.attempts += s.NewAttempts
	r = Request{TimeLeft: s.Deadline.Sub(s.Now), AllowedSites: w.AllowedSites, ExcludedSites: append([]string{w.LocalSite}, w.VisitedSites...)}
	if r.TimeLeft <= 0 || w.MaxAttempts > 0 && w.attempts >= w.MaxAttempts {
		return r, 0, false
	}
	why = accounting.Failed
	switch {
	case s.Transit:
		why = accounting.Transit
	case s.Rejected:
		why = accounting.Shed
	}
	if w.Effect == lbpolicy.KeyedIdempotent && s.OwnerSite != "" {
		if s.OwnerSite == w.LocalSite || s.OwnerSite == NoSite || slices.Contains(r.ExcludedSites, s.OwnerSite) || w.forwards[s.OwnerSite] >= maxForwardsToOwner ||
			!slices.Contains(w.AllowedSites, s.OwnerSite) {
			return r, 0, false
		}
		r.OwnerSite = s.OwnerSite
		return r, accounting.KeyOwned, true
	}
	if w.Effect != lbpolicy.Idempotent && s.MayHaveRun {
		return r, 0, false
	}
	for name := range w.forwards {
		r.ExcludedSites = append(r.ExcludedSites, name)
	}
	return r, why, true
}

// MarkForwarded tells that the request has gone to a sala.
func (w *Route) MarkForwarded(sala string) {
	if w.forwards == nil {
		w.forwards = map[string]int{}
	}
	w.forwards[sala]++
}

// AttemptsLeft returns the attempts that are left to the request; 0: no bound of its own.
func (w *Route) AttemptsLeft() int {
	if w.MaxAttempts == 0 {
		return 0
	}
	return max(w.MaxAttempts-w.attempts, 1)
}
