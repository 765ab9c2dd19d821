package forwarding

import (
	"slices"
	"strings"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/sites/accounting"
	"silvertrail/lbpolicy"
)

// siteSeparator separates the site from the cluster in a qualified cluster name. No site name contains it.
const siteSeparator = "/"

// QualifyCluster returns the name of a cluster qualified by its site, so that clusters of the same name in two sites have
// different names.
func QualifyCluster(site, cluster string) string {
	if site == "" {
		return cluster
	}
	return site + siteSeparator + cluster
}

// SplitCluster returns the site and the cluster of a qualified name. The site is empty if the name is not qualified.
func SplitCluster(name string) (site, cluster string) {
	site, cluster, qualified := strings.Cut(name, siteSeparator)
	if !qualified {
		return "", name
	}
	return site, cluster
}

// AmbiguousOwner stands for the owner site of an idempotency key whose request may have run in several sites, or in an
// unknown one. A repeated request with that key is forwarded to no site.
const AmbiguousOwner = "?"

// OwnerSite returns the site that owns an idempotency key, according to the key states of several sources. It is empty if no
// source knows the key, and AmbiguousOwner if the sources name several sites or an unknown one.
func OwnerSite(states ...idempotency.KeyState) string {
	owner := ""
	for _, state := range states {
		if !state.Known {
			continue
		}
		site, _ := SplitCluster(state.Place.Cluster)
		if site == "" {
			site = AmbiguousOwner
		}
		switch {
		case state.SeveralGroups && state.Place.Cluster == "":
			return AmbiguousOwner
		case owner == "":
			owner = site
		case owner != site:
			return AmbiguousOwner
		}
	}
	return owner
}

// maxForwardsToOwner is how often a request with an idempotency key may be forwarded to the site that owns the key: once,
// and once more after a lost response.
const maxForwardsToOwner = 2

// Route tracks the sites that one request is forwarded to from the local site. It is not safe for concurrent use.
type Route struct {
	LocalSite    string
	Effect       lbpolicy.Effect
	AllowedSites []string // sites that the request's routing rule names
	VisitedSites []string // sites that the request visited before the local one
	MaxAttempts  int      // over all sites; 0: no bound per request

	forwards map[string]int // number of forwards by site
	attempts int            // so far, over all sites
}

// Progress is the state of a request when Next is called.
type Progress struct {
	Now, Deadline time.Time
	MayHaveRun    bool   // an attempt may have run in any site, or may still run
	NewAttempts   int    // since the last call of Next
	OwnerSite     string // site that owns the request's idempotency key; empty: none
	Rejected      bool   // the last site rejected the request for load
	Transit       bool   // the request came from another site
}

// Next returns the request to pass to Pick, and the reason why it is forwarded. If ok is false, the request must not be
// forwarded. These rules apply:
//
//   - A request never visits a site twice, unless that site owns its idempotency key and the response was lost. The
//     endpoints there recognise the repeated request.
//   - A request that may have run is forwarded only if it is idempotent, or to the site that owns its idempotency key.
//   - A request without time or attempts left is not forwarded.
func (r *Route) Next(p Progress) (next Request, reason accounting.Reason, ok bool) {
	r.attempts += p.NewAttempts
	next = Request{
		TimeLeft:      p.Deadline.Sub(p.Now),
		AllowedSites:  r.AllowedSites,
		ExcludedSites: append([]string{r.LocalSite}, r.VisitedSites...),
	}
	if next.TimeLeft <= 0 || r.MaxAttempts > 0 && r.attempts >= r.MaxAttempts {
		return next, 0, false
	}
	if r.Effect == lbpolicy.KeyedIdempotent && p.OwnerSite != "" {
		if !r.mayForwardToOwner(p.OwnerSite, next.ExcludedSites) {
			return next, 0, false
		}
		next.OwnerSite = p.OwnerSite
		return next, accounting.KeyOwned, true
	}
	if r.Effect != lbpolicy.Idempotent && p.MayHaveRun {
		return next, 0, false
	}
	for site := range r.forwards {
		next.ExcludedSites = append(next.ExcludedSites, site)
	}
	return next, p.reason(), true
}

// mayForwardToOwner reports whether the request may be forwarded to the site that owns its idempotency key.
func (r *Route) mayForwardToOwner(owner string, excluded []string) bool {
	switch {
	case owner == r.LocalSite, owner == AmbiguousOwner, slices.Contains(excluded, owner):
		return false
	case r.forwards[owner] >= maxForwardsToOwner:
		return false
	}
	return slices.Contains(r.AllowedSites, owner)
}

// reason returns the reason why a request without an owner site is forwarded.
func (p Progress) reason() accounting.Reason {
	switch {
	case p.Transit:
		return accounting.Transit
	case p.Rejected:
		return accounting.Shed
	}
	return accounting.Failed
}

// MarkForwarded records that the request was forwarded to a site.
func (r *Route) MarkForwarded(site string) {
	if r.forwards == nil {
		r.forwards = map[string]int{}
	}
	r.forwards[site]++
}

// AttemptsLeft returns the number of attempts that the request has left, at least 1. It is 0 if the request has no bound.
func (r *Route) AttemptsLeft() int {
	if r.MaxAttempts == 0 {
		return 0
	}
	return max(r.MaxAttempts-r.attempts, 1)
}
