package forwarding

import (
	"maps"
	"slices"
	"time"
)

// roundTripSmoothing is the part of a new round trip in the moving average: one in this many.
const roundTripSmoothing = 8

// AverageRoundTrip adds a round trip to a moving average, which is zero before the first one.
func AverageRoundTrip(average, roundTrip time.Duration) time.Duration {
	if average == 0 {
		return roundTrip
	}
	return average + (roundTrip-average)/roundTripSmoothing
}

// Table holds what is known of all other sites. It is not safe for concurrent use.
type Table struct {
	weights    []float64 // priority weights of all classes, ascending, each once
	sites      map[string]*candidate
	lastChosen string
}

// New returns a table for classes of these priority weights. Every site is unavailable until its first state arrives.
func New(weights []float64, sites []string) *Table {
	t := &Table{sites: map[string]*candidate{}}
	t.SetPriorityWeights(weights)
	for _, name := range sites {
		t.Add(name)
	}
	return t
}

// SetPriorityWeights replaces the priority weights. If they differ, what was learnt of the limits is forgotten.
func (t *Table) SetPriorityWeights(weights []float64) {
	weights = slices.Clone(weights)
	slices.Sort(weights)
	weights = slices.Compact(weights)
	if len(weights) == 0 {
		weights = []float64{0}
	}
	if slices.Equal(weights, t.weights) {
		return
	}
	t.weights = weights
	for _, c := range t.sites {
		c.resetLimits(len(weights))
	}
}

// Add adds a site. A known one is kept as it is.
func (t *Table) Add(name string) {
	if t.sites[name] == nil {
		c := &candidate{Site: Site{Name: name}}
		c.resetLimits(len(t.weights))
		t.sites[name] = c
	}
}

// Remove forgets a site.
func (t *Table) Remove(name string) { delete(t.sites, name) }

// weightIndex returns the index of a priority weight, from 0 (the lowest). One that no class has counts as the next lower
// one.
func (t *Table) weightIndex(weight float64) int {
	i, found := slices.BinarySearch(t.weights, weight)
	if !found {
		i--
	}
	return max(i, 0)
}

// UpdateState records what a connected site says of itself, and how long the round trip took.
func (t *Table) UpdateState(name string, state State, roundTrip time.Duration) {
	c := t.sites[name]
	if c == nil {
		return
	}
	if !c.connected { // it may be another process, or may have been away: what was learnt of it is outdated
		c.connected = true
		c.resetLimits(len(t.weights))
	}
	c.State = state
	c.RoundTrip = AverageRoundTrip(c.RoundTrip, roundTrip)
}

// MarkDisconnected records that no gateway of a site can be reached.
func (t *Table) MarkDisconnected(name string) {
	if c := t.sites[name]; c != nil {
		c.connected, c.State, c.RoundTrip = false, Unavailable, 0
	}
}

// Request is a request that its own site could not serve.
type Request struct {
	PriorityWeight float64
	TimeLeft       time.Duration
	// OwnerSite is the only site that may have it, as it owns the idempotency key; empty: any of AllowedSites.
	OwnerSite     string
	AllowedSites  []string // that its route names
	ExcludedSites []string // that it has been to
}

// Pick chooses the site that a request is forwarded to, and counts it as in flight there. If ok is false it is not to be
// forwarded now, and retryAfter is when another try may succeed, 0 if that is not known.
func (t *Table) Pick(now time.Time, r Request) (name string, retryAfter time.Duration, ok bool) {
	var best *candidate
	var bestCost float64
	allowed := r.AllowedSites
	if r.OwnerSite != "" {
		allowed = []string{r.OwnerSite}
	}
	weight := t.weightIndex(r.PriorityWeight)
	for _, name := range allowed {
		c := t.sites[name]
		if c == nil || slices.Contains(r.ExcludedSites, name) {
			continue
		}
		wait, admitted := c.admits(now, r, c.limits[weight])
		if !admitted {
			if wait > 0 && (retryAfter == 0 || wait < retryAfter) {
				retryAfter = wait
			}
			continue
		}
		cost := c.cost()
		if t.lastChosen != name {
			cost += switchMargin
		}
		if best == nil || cost < bestCost || cost == bestCost && c.Name < best.Name {
			best, bestCost = c, cost
		}
	}
	if best == nil {
		return "", retryAfter, false
	}
	best.InFlight++
	t.lastChosen = best.Name
	return best.Name, 0, true
}

// Result is how a forwarded request ended.
type Result uint8

// The results.
const (
	Served    Result = iota // an endpoint answered
	Rejected                // rejected for load
	Failed                  // failed in any other way
	Abandoned               // the client left or its deadline passed: says nothing of the site
	NotSent                 // nothing was sent
)

// RecordResult records how a request ended that Pick has counted. RetryAfter is what a rejection says.
func (t *Table) RecordResult(now time.Time, name string, weight float64, result Result, retryAfter time.Duration) {
	c := t.sites[name]
	if c == nil || c.InFlight == 0 {
		return
	}
	inUse := float64(c.InFlight)
	c.InFlight--
	switch result {
	case Served:
		c.served(t.weightIndex(weight), inUse)
	case Rejected:
		c.rejected(now, t.weightIndex(weight), retryAfter)
	case Failed:
		c.failed(now)
	}
}

// Sites returns the status of all other sites, by name.
func (t *Table) Sites() []Site {
	var out []Site
	for _, name := range slices.Sorted(maps.Keys(t.sites)) {
		site := t.sites[name].Site
		site.ConcurrencyLimit = t.sites[name].highestLimit()
		out = append(out, site)
	}
	return out
}
