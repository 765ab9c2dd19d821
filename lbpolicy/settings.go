package lbpolicy

// Settings, at the start and when they change. Nothing here decides about requests.

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	randomStream              = 1 // second part of the generator's seed
	initialRetryBudget        = 3 // attempts
	initialBaseLatencyDivisor = 4 // the mean objective divided by this is the first base latency
	minPeriod                 = 50 * time.Millisecond
	maxPeriod                 = time.Second
)

// New returns a balancer without servers. An error names the invalid setting.
func New(settings Settings, seed uint64, host Host) (*Balancer, error) {
	if err := validate(&settings); err != nil {
		return nil, err
	}
	b := &Balancer{
		host:            host,
		random:          rand.New(rand.NewPCG(seed, randomStream)),
		servers:         map[ServerID]*server{},
		requests:        map[RequestID]*request{},
		manuallyEjected: map[ServerID]time.Duration{},
		retryBudget:     initialRetryBudget,
		nextStep:        -1,
	}
	b.apply(settings)
	return b, nil
}

// Configure applies new settings. Classes and tenants are matched to the old ones by name. The cursor, the
// measurements of servers and classes, and manual ejections are kept. A request in progress keeps the class
// with which it arrived. It gets no more attempts than both the old and the new settings allow. After an
// error, the old settings remain unchanged.
func (b *Balancer) Configure(now time.Duration, settings Settings) error {
	if err := validate(&settings); err != nil {
		return err
	}
	b.advance(now)
	b.apply(settings)
	b.updateSubset()
	return nil
}

// SetDropFraction sets the fraction of the requests to reject at any load. The value comes from a component
// that sees more of the system than this balancer.
func (b *Balancer) SetDropFraction(now time.Duration, fraction float64) {
	b.advance(now)
	b.dropFraction = min(max(fraction, 0), 1)
}

// apply applies settings that have been validated.
func (b *Balancer) apply(settings Settings) {
	old := b.settings
	b.settings = settings
	b.applyClasses(old.Classes)
	if !b.baseLearned {
		b.baseLatency = b.meanObjective / initialBaseLatencyDivisor
	}
	period := duration(b.meanObjective * periodShare)
	b.period = min(max(period, minPeriod), maxPeriod)
	b.applyTenants()
	b.rebuildTable()
}

// duration converts seconds to a time.Duration.
func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// applyClasses keeps the expected latencies of classes whose names occur in the old settings.
func (b *Balancer) applyClasses(old []Class) {
	classes := b.settings.Classes
	expected := make([]*expectedLatency, len(classes))
	b.meanObjective = 0
	for i, c := range classes {
		b.meanObjective += c.LatencyObjective.Seconds() / float64(len(classes))
		expected[i] = &expectedLatency{}
		at := slices.IndexFunc(old, func(o Class) bool { return c.Name != "" && o.Name == c.Name })
		if at >= 0 {
			expected[i] = b.expected[at]
		}
	}
	b.expected = expected
}

// applyTenants keeps the tokens of tenants whose names occur in the old settings.
func (b *Balancer) applyTenants() {
	tenants := make([]tenant, 0, len(b.settings.Tenants))
	b.totalQuota = 0
	for _, t := range b.settings.Tenants {
		rate := t.QuotaPerSecond / float64(b.settings.Balancers)
		next := tenant{name: t.Name, quota: t.QuotaPerSecond, tokens: 2*rate + 2}
		at := slices.IndexFunc(b.tenants, func(o tenant) bool { return t.Name != "" && o.name == t.Name })
		if at >= 0 {
			next.tokens = min(next.tokens, b.tenants[at].tokens)
		}
		tenants = append(tenants, next)
		b.totalQuota += t.QuotaPerSecond
	}
	b.tenants = tenants
}

// rebuildTable builds the cursor table for the new settings. It keeps the rates by level if the number of
// levels is the same.
func (b *Balancer) rebuildTable() {
	rows := len(b.table)
	arrivals, rates := b.levelArrivals, b.levelRates
	b.table, b.levels, b.levelObjectives, b.levelArrivals, b.levelRates = nil, nil, nil, nil, nil
	b.buildTable()
	if rows == len(b.table) {
		b.levelArrivals, b.levelRates = arrivals, rates
	}
	b.cursor = min(b.cursor, len(b.table[0])-1)
}

func validate(s *Settings) error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("lbpolicy: Classes: none")
	case s.Balancers < 1:
		return errors.New("lbpolicy: Balancers: must be at least 1")
	case s.Index < 0 || s.Tier < 0 || s.Zone < 0:
		return errors.New("lbpolicy: Index, Tier, Zone: must not be negative")
	case s.MaxAttempts < 1:
		return errors.New("lbpolicy: MaxAttempts: must be at least 1")
	case math.IsNaN(s.InitialCapacity + s.OverloadMultiple + s.CrossZonePrice + s.HandshakePrice):
		return errors.New("lbpolicy: InitialCapacity, OverloadMultiple or a price is no number")
	case min(s.InitialCapacity, s.OverloadMultiple, s.CrossZonePrice, s.HandshakePrice) < 0:
		return errors.New("lbpolicy: InitialCapacity, OverloadMultiple and prices: must not be negative")
	case min(s.SlowStart, s.OverloadWindow, s.MaxPollInterval, s.MaxRetryAfter, s.ConnIdleTimeout) < 0:
		return errors.New("lbpolicy: SlowStart, OverloadWindow, MaxPollInterval, MaxRetryAfter or " +
			"ConnIdleTimeout is negative")
	}
	return errors.Join(validateClasses(s.Classes), validateTenants(s.Tenants))
}

func validateClasses(classes []Class) error {
	for i, c := range classes {
		unknown := c.Effect > NonIdempotent || c.Scope > ScopeCell
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || min(c.PriorityWeight, c.Window.Seconds()) < 0 || unknown {
			return fmt.Errorf("lbpolicy: Classes[%d]: objective and deadline must be positive, the rest known", i)
		}
	}
	return nil
}

func validateTenants(tenants []Tenant) error {
	for i, t := range tenants {
		if t.QuotaPerSecond < 0 {
			return fmt.Errorf("lbpolicy: Tenants[%d].QuotaPerSecond: negative", i)
		}
	}
	return nil
}
