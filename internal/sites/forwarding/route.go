package forwarding

import (
	"slices"
	"strings"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/sites/accounting"
	"silvertrail/lbpolicy"
)

// siteSeparator stands between the site and the cluster in the name of a place. No site's name contains it.
const siteSeparator = "/"

// QualifyCluster names a cluster of a site, so that clusters of the same name in two sites are two places.
func QualifyCluster(site, cluster string) string {
	if site == "" {
		return cluster
	}
	return site + siteSeparator + cluster
}

// SplitCluster returns the site and the cluster of a qualified name. The site is empty if the name is not qualified.
func SplitCluster(place string) (site, cluster string) {
	site, cluster, qualified := strings.Cut(place, siteSeparator)
	if !qualified {
		return "", place
	}
	return site, cluster
}

// NoSite stands for the owner of a key that may have run in several sites, or in one that is not known: no site may get
// its repeats.
const NoSite = "?"

// OwnerSite returns the site that owns a key, by the states that several sources know. It is empty if none does, and
// NoSite if they name several sites.
func OwnerSite(states ...idempotency.KeyState) string {
	owner := ""
	for _, state := range states {
		if !state.Known {
			continue
		}
		site, _ := SplitCluster(state.Place.Cluster)
		if site == "" {
			site = NoSite
		}
		switch {
		case state.SeveralGroups && state.Place.Cluster == "":
			return NoSite
		case owner == "":
			owner = site
		case owner != site:
			return NoSite
		}
	}
	return owner
}

// maxForwardsToOwner bounds how often a request with a key is forwarded to the site that owns it: a second time after a
// response that was lost.
const maxForwardsToOwner = 2

// Route is the route of one request over sites, from the one that received it. It is not safe for concurrent use.
type Route struct {
	LocalSite    string
	Effect       lbpolicy.Effect
	AllowedSites []string // that its route names
	VisitedSites []string // before it came here
	MaxAttempts  int      // over all sites; 0: no bound of its own

	forwards map[string]int // by site
	attempts int
}

// Progress is how far a request has come when its next site is asked for.
type Progress struct {
	Now, Deadline time.Time
	MayHaveRun    bool   // an attempt may have run, or may yet, in any site
	NewAttempts   int    // since the last call of Next
	OwnerSite     string // of its key; empty: none
	Rejected      bool   // the last site rejected it for load
	Transit       bool   // it came from another site
}

// Next returns the request for Pick, and why it is forwarded. If ok is false it may not be forwarded:
//
//   - A request never visits a site twice, unless that site owns its key and the response was lost: the endpoints there
//     recognise the repeat.
//   - A request that may have run is forwarded only if it is idempotent, or to the site that owns its key.
//   - Without time or attempts left it is not forwarded.
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

// mayForwardToOwner reports whether the request may be forwarded to the site that owns its key.
func (r *Route) mayForwardToOwner(owner string, excluded []string) bool {
	switch {
	case owner == r.LocalSite, owner == NoSite, slices.Contains(excluded, owner):
		return false
	case r.forwards[owner] >= maxForwardsToOwner:
		return false
	}
	return slices.Contains(r.AllowedSites, owner)
}

// reason returns why a request without an owner site is forwarded.
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

// AttemptsLeft returns the attempts that are left to the request; 0: no bound of its own.
func (r *Route) AttemptsLeft() int {
	if r.MaxAttempts == 0 {
		return 0
	}
	return max(r.MaxAttempts-r.attempts, 1)
}
