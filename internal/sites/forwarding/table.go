package forwarding

import (
	"maps"
	"slices"
	"time"
)

// roundTripSmoothing is the divisor of the moving average: a new round trip has a weight of 1/roundTripSmoothing.
const roundTripSmoothing = 8

// AverageRoundTrip returns the moving average after a new round trip. An average of zero means that there was none before.
func AverageRoundTrip(average, roundTrip time.Duration) time.Duration {
	if average == 0 {
		return roundTrip
	}
	return average + (roundTrip-average)/roundTripSmoothing
}

// Table holds the states and concurrency limits of all other sites. It is not safe for concurrent use.
type Table struct {
	weights    []float64 // priority weights of all classes, ascending, each once
	sites      map[string]*candidate
	lastChosen string
}

// New returns a table for classes with the given priority weights. Every site is unavailable until its first state arrives.
func New(weights []float64, sites []string) *Table {
	t := &Table{sites: map[string]*candidate{}}
	t.SetPriorityWeights(weights)
	for _, name := range sites {
		t.Add(name)
	}
	return t
}

// SetPriorityWeights replaces the priority weights. If they differ from the previous ones, all limits are reset to their
// initial values.
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

// Add adds a site. A site that is in the table already stays unchanged.
func (t *Table) Add(name string) {
	if t.sites[name] == nil {
		c := &candidate{Site: Site{Name: name}}
		c.resetLimits(len(t.weights))
		t.sites[name] = c
	}
}

// Remove removes a site.
func (t *Table) Remove(name string) { delete(t.sites, name) }

// weightIndex returns the index of a priority weight, from 0 (the lowest). A weight that no class has counts as the next
// lower one, or as the lowest.
func (t *Table) weightIndex(weight float64) int {
	i, found := slices.BinarySearch(t.weights, weight)
	if !found {
		i--
	}
	return max(i, 0)
}

// UpdateState records the state that a connected site reported, and the round trip of that report.
func (t *Table) UpdateState(name string, state State, roundTrip time.Duration) {
	c := t.sites[name]
	if c == nil {
		return
	}
	if !c.connected { // the site may have restarted or been unreachable: its limits are outdated
		c.connected = true
		c.resetLimits(len(t.weights))
	}
	c.State = state
	c.RoundTrip = AverageRoundTrip(c.RoundTrip, roundTrip)
}

// MarkDisconnected records that no gateway of a site is reachable.
func (t *Table) MarkDisconnected(name string) {
	if c := t.sites[name]; c != nil {
		c.connected, c.State, c.RoundTrip = false, Unavailable, 0
	}
}

// Request is a request that the local site could not serve.
type Request struct {
	PriorityWeight float64
	TimeLeft       time.Duration
	// OwnerSite is the only site that the request may be forwarded to, as it owns the idempotency key. If it is empty, the
	// request may be forwarded to any of AllowedSites.
	OwnerSite     string
	AllowedSites  []string // sites that the request's routing rule names
	ExcludedSites []string // sites that the request must not be forwarded to, such as those it has visited
}

// Pick chooses the site that a request is forwarded to, and counts the request as in flight there. If ok is false, the
// request must not be forwarded now. Then retryAfter is the time until a retry may succeed, or 0 if it is unknown.
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
	Abandoned               // the client disconnected or the deadline passed: says nothing about the site
	NotSent                 // the request was not sent
)

// RecordResult records the result of a request that Pick counted as in flight. RetryAfter is the retry delay of a rejection.
func (t *Table) RecordResult(now time.Time, name string, weight float64, result Result, retryAfter time.Duration) {
	c := t.sites[name]
	if c == nil || c.InFlight == 0 {
		return
	}
	inUse := float64(c.InFlight)
	c.InFlight--
	switch result {
	case Served:
		c.recordServed(t.weightIndex(weight), inUse)
	case Rejected:
		c.recordRejected(now, t.weightIndex(weight), retryAfter)
	case Failed:
		c.recordFailed(now)
	}
}

// Sites returns the status of all other sites, sorted by name.
func (t *Table) Sites() []Site {
	var out []Site
	for _, name := range slices.Sorted(maps.Keys(t.sites)) {
		site := t.sites[name].Site
		site.ConcurrencyLimit = t.sites[name].highestLimit()
		out = append(out, site)
	}
	return out
}
