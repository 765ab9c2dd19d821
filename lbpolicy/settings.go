package lbpolicy

// This file: settings, at the start and when they change. It decides nothing about any call.

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// New returns a balancer with no servers; the first list brings them. The error names the setting at fault.
func New(cfg Settings, seed uint64, host Host) (*Balancer, error) {
	if err := validate(&cfg); err != nil {
		return nil, err
	}
	b := &Balancer{host: host, random: rand.New(rand.NewPCG(seed, 1)), servers: map[ServerID]*server{},
		requests: map[RequestID]*request{}, manuallyEjected: map[ServerID]time.Duration{}, retryBudget: 3, nextStep: -1}
	b.apply(cfg)
	return b, nil
}

// Configure puts other settings in force. Classes and tenants are those before that have their name, whatever their
// place; the cursor, what has been learnt of servers and classes, and bans live on. A request in work keeps the class
// that it came with, and takes no more attempts than both the old and the new settings allow. With an error nothing has
// changed.
func (b *Balancer) Configure(now time.Duration, cfg Settings) error {
	if err := validate(&cfg); err != nil {
		return err
	}
	b.advance(now)
	b.apply(cfg)
	b.updateSubset()
	return nil
}

// apply takes over valid settings.
func (b *Balancer) apply(cfg Settings) {
	old := b.settings
	b.settings = cfg
	hopes := make([]*expectedLatency, len(cfg.Classes))
	b.meanObjective = 0
	for i, c := range cfg.Classes {
		b.meanObjective += c.LatencyObjective.Seconds() / float64(len(cfg.Classes))
		hopes[i] = &expectedLatency{}
		if at := slices.IndexFunc(old.Classes, func(o Class) bool { return c.Name != "" && o.Name == c.Name }); at >= 0 {
			hopes[i] = b.expected[at]
		}
	}
	b.expected = hopes
	if !b.baseLearned {
		b.baseLatency = b.meanObjective / 4
	}
	b.period = min(max(time.Duration(b.meanObjective*periodShare*float64(time.Second)), 50*time.Millisecond), time.Second)
	tenants := make([]tenant, 0, len(cfg.Tenants))
	b.totalQuota = 0
	for _, t := range cfg.Tenants {
		rate := t.QuotaPerSecond / float64(cfg.Balancers)
		next := tenant{name: t.Name, quota: t.QuotaPerSecond, tokens: 2*rate + 2}
		if at := slices.IndexFunc(b.tenants, func(o tenant) bool { return t.Name != "" && o.name == t.Name }); at >= 0 {
			next.tokens = min(next.tokens, b.tenants[at].tokens)
		}
		tenants = append(tenants, next)
		b.totalQuota += t.QuotaPerSecond
	}
	b.tenants = tenants
	rows := len(b.table)
	came, rates := b.levelArrivals, b.levelRates
	b.table, b.levels, b.levelObjectives, b.levelArrivals, b.levelRates = nil, nil, nil, nil, nil
	b.buildTable()
	if rows == len(b.table) { // the levels are the same, or near enough for a count of arrivals
		b.levelArrivals, b.levelRates = came, rates
	}
	b.cursor = min(b.cursor, len(b.table[0])-1)
}

func validate(cfg *Settings) error {
	switch {
	case len(cfg.Classes) == 0:
		return errors.New("decide: Classes: none")
	case cfg.Balancers < 1:
		return errors.New("decide: Balancers: must be at least 1")
	case cfg.Index < 0 || cfg.Tier < 0 || cfg.Zone < 0:
		return errors.New("decide: Me, Tier, Zone: must not be negative")
	case cfg.MaxAttempts < 1:
		return errors.New("decide: MaxAttempts: must be at least 1")
	case math.IsNaN(cfg.InitialCapacity + cfg.OverloadMultiple + cfg.CrossZonePrice + cfg.HandshakePrice):
		return errors.New("decide: StartCapacity, FallMultiple or a price is no number")
	case min(cfg.InitialCapacity, cfg.OverloadMultiple, cfg.CrossZonePrice, cfg.HandshakePrice) < 0:
		return errors.New("decide: StartCapacity, FallMultiple and prices: must not be negative")
	case min(cfg.SlowStart, cfg.OverloadWindow, cfg.MaxPollInterval, cfg.MaxRetryAfter, cfg.ConnIdleTimeout) < 0:
		return errors.New("decide: WarmUp, FallWindow, MustAskIn, MaxRetryAfter or ConnIdle is negative")
	}
	for i, c := range cfg.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || min(c.PriorityWeight, c.Window.Seconds()) < 0 ||
			c.Effect > NonIdempotent || c.Scope > ScopeCell {
			return fmt.Errorf("decide: Classes[%d]: aim and deadline must be positive, the rest known", i)
		}
	}
	for i, t := range cfg.Tenants {
		if t.QuotaPerSecond < 0 {
			return fmt.Errorf("decide: Tenants[%d].QuotaPerSecond: negative", i)
		}
	}
	return nil
}
