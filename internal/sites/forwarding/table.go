// Package forwarding decides which requests cross to another sala, and to which one. It does no I/O and has no clock.
//
// A request crosses only after its own sala could not serve it: decided by package decide there, so that the sala's own
// nodos go first and what they refuse for load is what there is to carry. The other sala's gateway decides as it would for
// its own callers. What is decided here is how much is sent there at all: a sala that takes over must not be pushed over
// by everything that another one has lost in the same moment.
//
//   - Each sala has a window of crossings in flight for each worth. It begins small, grows with what is served while it is in
//     use, and shrinks when the sala refuses or fails: at first by one for each one served, which doubles it each time that
//     a crossing takes, later by one each time. So a loss is taken over within some times that a crossing takes,
//     and given back as the own sala refuses less.
//   - Low worth stops first. What is served of one worth widens the windows of that and all higher ones; what is refused
//     narrows those of that and all lower ones, as the other sala refuses low worth first: its refusal of the least says
//     nothing of the most. So the windows are in the order of the worths, as thresholds of the cursor table are.
//   - A worth that is refused there is held off for a moment, with all lower ones, so that refusals cost little.
//   - Of several salas the one with the most room counts, by the part of its window that is in use, its round trip and its
//     own word on its state; the last one chosen keeps its place until another is better by a margin.
package forwarding

import (
	"maps"
	"slices"
	"time"
)

// State is what a sala's gateway says of itself.
type State uint8

// The states. A closed one gets nothing; a draining one gets only what must go there, as its key is held there.
const (
	Unavailable State = iota
	Draining
	Shedding // it refuses some of its own callers' requests
	Available
)

func (s State) String() string {
	if s > Available {
		return "unknown"
	}
	return [...]string{"closed", "draining", "shedding", "open"}[s]
}

const (
	initialLimit      = 4.0
	minLimit          = 1.0
	maxLimit          = 4096.0
	decreaseFactor    = 0.7
	lowestWeightShare = 0.5                    // of the first window, for the least worth
	switchMargin      = 0.2                    // by which another sala must be better to take the last one's place
	roundTripScale    = 100 * time.Millisecond // a round trip that counts as much as a full window
	// A worth is held off for as long as a refusal says, from leastOff to mostOff: the refusal is for one caller, and says
	// little of when others may come.
	minBackoff          = 20 * time.Millisecond
	maxBackoff          = 100 * time.Millisecond
	minDecreaseInterval = 50 * time.Millisecond // at the least: what was out together is refused together
	sheddingCost        = 0.5                   // what "shedding" counts as
)

// Site is how another sala stands, to those who run this one.
type Site struct {
	Name             string        `json:"name"`
	State            State         `json:"-"`
	ConcurrencyLimit float64       `json:"window"` // of the highest worth
	InFlight         int           `json:"in_flight"`
	RoundTrip        time.Duration `json:"round_trip"`
}

type candidate struct {
	Site
	connected bool
	limits    []weightLimit
}

// weightLimit is what is learnt of one worth, from the least on.
type weightLimit struct {
	limit          float64
	slowGrowthFrom float64 // past it the window grows slowly
	decreasedAt    time.Time
	backoffUntil   time.Time // until when it is held off
}

// Table is what is known of all other salas. It is not safe for concurrent use.
type Table struct {
	weights    []float64 // of all classes, ascending, each once
	sites      map[string]*candidate
	lastChosen string // chosen last
}

// New returns a table for classes of these worths. No sala is open before it is heard of.
func New(worths []float64, salas []string) *Table {
	t := &Table{sites: map[string]*candidate{}}
	t.SetPriorityWeights(worths)
	for _, name := range salas {
		t.Add(name)
	}
	return t
}

// SetPriorityWeights takes other worths. What was learnt of the windows is forgotten.
func (t *Table) SetPriorityWeights(worths []float64) {
	worths = slices.Clone(worths)
	slices.Sort(worths)
	if worths = slices.Compact(worths); len(worths) == 0 {
		worths = []float64{0}
	}
	if slices.Equal(worths, t.weights) {
		return
	}
	t.weights = worths
	for _, s := range t.sites {
		s.resetLimits(len(worths))
	}
}

// resetLimits forgets what was learnt of the windows.
func (s *candidate) resetLimits(ranks int) {
	s.limits = make([]weightLimit, ranks)
	for i := range s.limits {
		share := 1.0
		if ranks > 1 {
			share = lowestWeightShare + (1-lowestWeightShare)*float64(i)/float64(ranks-1)
		}
		s.limits[i] = weightLimit{limit: initialLimit * share, slowGrowthFrom: maxLimit}
	}
}

// Add takes up a sala.
func (t *Table) Add(name string) {
	if t.sites[name] == nil {
		s := &candidate{Site: Site{Name: name}}
		s.resetLimits(len(t.weights))
		t.sites[name] = s
	}
}

// Remove forgets a sala.
func (t *Table) Remove(name string) { delete(t.sites, name) }

// weightIndex returns the place of a worth among all, from 0 (the least) on. One that no class has counts as the next lower one.
func (t *Table) weightIndex(worth float64) int {
	i, is := slices.BinarySearch(t.weights, worth)
	if !is {
		i--
	}
	return max(i, 0)
}

// UpdateState tells what a sala says of itself, over a link that stands, and how long the round trip took.
func (t *Table) UpdateState(name string, is State, trip time.Duration) {
	s := t.sites[name]
	if s == nil {
		return
	}
	if !s.connected { // it may be another process, or have been away: what was learnt of it is old
		s.connected = true
		s.resetLimits(len(t.weights))
	}
	s.State = is
	if s.RoundTrip == 0 {
		s.RoundTrip = trip
	}
	s.RoundTrip += (trip - s.RoundTrip) / 8
}

// MarkDisconnected tells that the link to a sala is down, or silent.
func (t *Table) MarkDisconnected(name string) {
	if s := t.sites[name]; s != nil {
		s.connected, s.State, s.RoundTrip = false, Unavailable, 0
	}
}

// Request is one that its own sala could not serve.
type Request struct {
	PriorityWeight float64
	TimeLeft       time.Duration
	// OwnerSite is the one sala that may have it, as its key is held there; empty: any of May.
	OwnerSite     string
	AllowedSites  []string // salas that its route names
	ExcludedSites []string // salas that it has been to
}

// minTimeLeft is the time that is left at the other end at the least, beyond the round trip.
const minTimeLeft = 2 * time.Millisecond

// Pick chooses the sala that a request crosses to, and counts it as in flight there; ok is false where it is not to cross
// now. Back is then when it may be worth another try, 0 where that can't be said.
func (t *Table) Pick(now time.Time, r Request) (name string, back time.Duration, ok bool) {
	var best *candidate
	var cost float64
	may := r.AllowedSites
	if r.OwnerSite != "" {
		may = []string{r.OwnerSite}
	}
	rank := t.weightIndex(r.PriorityWeight)
	for _, name := range may {
		s := t.sites[name]
		if s == nil || slices.Contains(r.ExcludedSites, name) {
			continue
		}
		wait, fits := s.admits(now, r, s.limits[rank])
		if !fits {
			if wait > 0 && (back == 0 || wait < back) {
				back = wait
			}
			continue
		}
		c := s.cost()
		if t.lastChosen != name {
			c += switchMargin
		}
		if best == nil || c < cost || c == cost && s.Name < best.Name {
			best, cost = s, c
		}
	}
	if best == nil {
		return "", back, false
	}
	best.InFlight++
	t.lastChosen = best.Name
	return best.Name, 0, true
}

// admits tells whether a request may go there now, and if not when it may be worth another try.
func (s *candidate) admits(now time.Time, r Request, is weightLimit) (back time.Duration, ok bool) {
	switch {
	case !s.connected || s.State == Unavailable, s.State == Draining && r.OwnerSite == "", r.TimeLeft < s.RoundTrip+minTimeLeft:
		return 0, false
	case now.Before(is.backoffUntil):
		return is.backoffUntil.Sub(now), false
	case float64(s.InFlight) >= is.limit:
		return max(s.RoundTrip, minBackoff), false
	}
	return 0, true
}

// highestLimit is the window of the highest worth.
func (s *candidate) highestLimit() float64 { return s.limits[len(s.limits)-1].limit }

func (s *candidate) cost() float64 {
	c := float64(s.InFlight)/s.highestLimit() + float64(s.RoundTrip)/float64(roundTripScale)
	if s.State == Shedding {
		c += sheddingCost
	}
	return c
}

// Result is how a crossing ended.
type Result uint8

// The results.
const (
	Served    Result = iota // with an endpoint's answer
	Rejected                // for load
	Failed                  // in any other way
	Abandoned               // its caller has gone, or its time was over: nothing is said of the sala
	NotSent                 // it did not go out
)

// RecordResult tells how a crossing ended that Pick has counted. Back is when a refusal says that another try is worth it.
func (t *Table) RecordResult(now time.Time, name string, worth float64, is Result, back time.Duration) {
	s := t.sites[name]
	if s == nil || s.InFlight == 0 {
		return
	}
	out, at := float64(s.InFlight), t.weightIndex(worth)
	s.InFlight--
	switch is {
	case Served:
		for i := at; i < len(s.limits); i++ {
			s.limits[i].increase(out)
			if i > 0 { // what is served of one worth is served of a higher one
				s.limits[i].limit = max(s.limits[i].limit, s.limits[i-1].limit)
			}
		}
	case Rejected:
		for i := range at + 1 {
			r := &s.limits[i]
			r.backoffUntil = later(r.backoffUntil, now.Add(min(max(back, minBackoff), maxBackoff)))
			r.decrease(now, s.RoundTrip)
		}
		s.alignLimits()
	case Failed:
		for i := range s.limits {
			s.limits[i].decrease(now, s.RoundTrip)
		}
		s.alignLimits()
	}
}

// alignLimits narrows the windows that are wider than a higher worth's: one can have been cut a moment before.
func (s *candidate) alignLimits() {
	for i := len(s.limits) - 2; i >= 0; i-- {
		s.limits[i].limit = min(s.limits[i].limit, s.limits[i+1].limit)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// increase widens a window of which so much was in use as something was served.
func (r *weightLimit) increase(out float64) {
	switch {
	case out < r.limit/3: // it was not the window that kept it from more
	case r.limit < r.slowGrowthFrom:
		r.limit++
	default:
		r.limit += 1 / r.limit
	}
	r.limit = min(r.limit, maxLimit)
}

// decrease narrows a window, once for all crossings that were out together.
func (r *weightLimit) decrease(now time.Time, trip time.Duration) {
	if now.Sub(r.decreasedAt) < max(trip, minDecreaseInterval) {
		return
	}
	r.decreasedAt = now
	r.limit = max(r.limit*decreaseFactor, minLimit)
	r.slowGrowthFrom = r.limit
}

// Sites returns how the other salas stand, by name.
func (t *Table) Sites() (out []Site) {
	for _, name := range slices.Sorted(maps.Keys(t.sites)) {
		s := t.sites[name].Site
		s.ConcurrencyLimit = t.sites[name].highestLimit()
		out = append(out, s)
	}
	return out
}
