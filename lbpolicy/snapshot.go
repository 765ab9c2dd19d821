package lbpolicy

// This file: what a balancer hands to the one that takes its place. It decides nothing about any call.

import (
	"math"
	"time"
)

// Snapshot is what a balancer has learnt and another in its place can use. Times count back from the moment it is told.
type Snapshot struct {
	Cursor            int              `json:"Cursor"`
	SinceStart        time.Duration    `json:"Started"` // ago
	BaseLatency       float64          `json:"Base"`    // quiet latency, s; 0: not learnt
	FastRate          float64          `json:"Fast"`    // calls a second
	SlowRate          float64          `json:"Avg"`     // calls a second
	ArrivalRate       float64          `json:"Asking"`  // calls a second
	ServerCapacity    float64          `json:"Full"`    // calls a second
	AnswerCount       float64          `json:"Answers"`
	LatencySum        float64          `json:"LatSum"`
	FullCount         float64          `json:"Fulls"`
	ErrorCount        float64          `json:"Errs"`
	ExpectedLatencies []ClassSnapshot  `json:"Hopes"`
	Servers           []ServerSnapshot `json:"Servers"`
}

// ClassSnapshot is the time that a class's calls take.
type ClassSnapshot struct {
	Class   string        `json:"Class"`
	Seconds float64       `json:"In"`
	Samples float64       `json:"Seen"`
	Age     time.Duration `json:"Ago"`
}

// ServerSnapshot is what is known of one server.
type ServerSnapshot struct {
	ID               ServerID      `json:"ID"`
	StartedAt        time.Duration `json:"StartedAt"` // as listed: it must be the same process
	Latency          float64       `json:"Lat"`
	ErrorRatio       float64       `json:"Bad"`
	ReportedCapacity float64       `json:"Rate"`
	Utilization      float64       `json:"Util"`
	ReportAge        time.Duration `json:"Reported"` // ago; 0: never
	Ejected          bool          `json:"Out"`
	EjectedFor       time.Duration `json:"OutFor"` // until a trial
	Ejections        int           `json:"Outs"`
	SlowStartBudget  float64       `json:"Budget"` // while cold
}

// Snapshot returns what the balancer has learnt.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	b.advance(now)
	l := Snapshot{Cursor: b.cursor, SinceStart: now - b.startedAt, FastRate: b.fastRate, SlowRate: b.slowRate, ArrivalRate: b.arrivalRate, ServerCapacity: b.serverCapacity,
		AnswerCount: b.answerCount, LatencySum: b.latencySum, FullCount: b.fullCount, ErrorCount: b.errorCount}
	if b.baseLearned {
		l.BaseLatency = b.baseLatency
	}
	for i, h := range b.expected {
		if h.seconds > 0 && b.settings.Classes[i].Name != "" {
			l.ExpectedLatencies = append(l.ExpectedLatencies, ClassSnapshot{b.settings.Classes[i].Name, h.seconds, h.samples, now - h.updatedAt})
		}
	}
	for _, s := range b.listed {
		e := ServerSnapshot{ID: s.ID, StartedAt: s.StartedAt, Latency: s.latency, ErrorRatio: s.errorRatio, ReportedCapacity: s.reportedCapacity, Utilization: s.utilization,
			Ejected: s.ejected, EjectedFor: max(s.ejectedUntil-now, 0), Ejections: s.ejections, SlowStartBudget: s.slowStartBudget}
		if s.reportedAt > 0 {
			e.ReportAge = max(now-s.reportedAt, 1)
		}
		l.Servers = append(l.Servers, e)
	}
	return l
}

// Restore takes over what another balancer has learnt; servers and classes that are not known here are passed over, as is
// what no balancer can have learnt. It is for a balancer that has had no calls yet.
func (b *Balancer) Restore(now time.Duration, l Snapshot) {
	b.advance(now)
	if !isMeasurable(l.BaseLatency, l.FastRate, l.SlowRate, l.ArrivalRate, l.ServerCapacity, l.AnswerCount, l.LatencySum, l.FullCount, l.ErrorCount) {
		return
	}
	b.cursor = min(max(l.Cursor, 0), len(b.table[0])-1)
	b.startedAt = now - max(l.SinceStart, 0)
	b.fastRate, b.slowRate, b.arrivalRate, b.serverCapacity = l.FastRate, l.SlowRate, l.ArrivalRate, l.ServerCapacity
	b.answerCount, b.latencySum, b.fullCount, b.errorCount = l.AnswerCount, l.LatencySum, l.FullCount, l.ErrorCount
	if l.BaseLatency > 0 {
		b.baseLatency, b.baseLearned = l.BaseLatency, true
	}
	for _, h := range l.ExpectedLatencies {
		for i, c := range b.settings.Classes {
			if c.Name == h.Class && isMeasurable(h.Seconds, h.Samples) {
				*b.expected[i] = expectedLatency{seconds: h.Seconds, samples: h.Samples, updatedAt: now - max(h.Age, 0)}
			}
		}
	}
	for _, e := range l.Servers {
		s := b.servers[e.ID]
		if s == nil || s.StartedAt != e.StartedAt || !isMeasurable(e.Latency, e.ErrorRatio, e.ReportedCapacity, e.Utilization) || !(e.SlowStartBudget < 1e6 && e.SlowStartBudget > -1e6) {
			continue
		}
		s.latency, s.errorRatio, s.reportedCapacity, s.utilization = e.Latency, min(e.ErrorRatio, 1), e.ReportedCapacity, e.Utilization
		if e.ReportAge > 0 {
			s.reportedAt = now - e.ReportAge
		}
		s.ejected, s.ejections, s.ejectedUntil = e.Ejected, min(max(e.Ejections, 0), 4), now+max(e.EjectedFor, 0)
		s.slowStartBudget, s.budgetFilledAt = e.SlowStartBudget, now
	}
	b.updateSubset()
}

// isMeasurable tells whether figures are numbers that can be measured.
func isMeasurable(figures ...float64) bool {
	for _, f := range figures {
		if !(f >= 0 && f < math.MaxFloat32) {
			return false
		}
	}
	return true
}
