package lbpolicy

// The state that a balancer passes to its successor. Nothing here decides about requests.

import (
	"math"
	"time"
)

// Snapshot holds the measurements of a balancer that a successor can use. Times are ages at the time of the
// snapshot. The JSON names are part of the handover protocol.
type Snapshot struct {
	Cursor            int              `json:"Cursor"`
	SinceStart        time.Duration    `json:"Started"`
	BaseLatency       float64          `json:"Base"` // in seconds; 0: not measured
	FastRate          float64          `json:"Fast"` // per second
	SlowRate          float64          `json:"Avg"`
	ArrivalRate       float64          `json:"Asking"`
	ServerCapacity    float64          `json:"Full"`
	OutcomeCount      float64          `json:"Answers"`
	LatencySum        float64          `json:"LatSum"`
	FullCount         float64          `json:"Fulls"`
	ErrorCount        float64          `json:"Errs"`
	ExpectedLatencies []ClassSnapshot  `json:"Hopes"`
	Servers           []ServerSnapshot `json:"Servers"`
}

// ClassSnapshot holds the expected latency of a class.
type ClassSnapshot struct {
	Class   string        `json:"Class"`
	Seconds float64       `json:"In"`
	Samples float64       `json:"Seen"`
	Age     time.Duration `json:"Ago"`
}

// ServerSnapshot holds the measurements of one server.
type ServerSnapshot struct {
	ID               ServerID      `json:"ID"`
	StartedAt        time.Duration `json:"StartedAt"` // as listed; another start means another process
	Latency          float64       `json:"Lat"`
	ErrorRatio       float64       `json:"Bad"`
	ReportedCapacity float64       `json:"Rate"`
	Utilization      float64       `json:"Util"`
	ReportAge        time.Duration `json:"Reported"` // 0: no load report yet
	Ejected          bool          `json:"Out"`
	EjectedFor       time.Duration `json:"OutFor"` // time until a probe
	Ejections        int           `json:"Outs"`
	SlowStartBudget  float64       `json:"Budget"`
}

// maxBudgetMagnitude limits the slow-start budgets that are accepted from a snapshot.
const maxBudgetMagnitude = 1e6

// Snapshot returns the measurements of the balancer.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	b.advance(now)
	snapshot := Snapshot{
		Cursor:         b.cursor,
		SinceStart:     now - b.startedAt,
		FastRate:       b.fastRate,
		SlowRate:       b.slowRate,
		ArrivalRate:    b.arrivalRate,
		ServerCapacity: b.serverCapacity,
		OutcomeCount:   b.outcomeCount,
		LatencySum:     b.latencySum,
		FullCount:      b.fullCount,
		ErrorCount:     b.errorCount,
	}
	if b.baseLearned {
		snapshot.BaseLatency = b.baseLatency
	}
	for i, e := range b.expected {
		if name := b.settings.Classes[i].Name; e.seconds > 0 && name != "" {
			class := ClassSnapshot{Class: name, Seconds: e.seconds, Samples: e.samples, Age: now - e.updatedAt}
			snapshot.ExpectedLatencies = append(snapshot.ExpectedLatencies, class)
		}
	}
	for _, s := range b.listed {
		snapshot.Servers = append(snapshot.Servers, s.snapshot(now))
	}
	return snapshot
}

func (s *server) snapshot(now time.Duration) ServerSnapshot {
	snapshot := ServerSnapshot{
		ID:               s.ID,
		StartedAt:        s.StartedAt,
		Latency:          s.latency,
		ErrorRatio:       s.errorRatio,
		ReportedCapacity: s.reportedCapacity,
		Utilization:      s.utilization,
		Ejected:          s.ejected,
		EjectedFor:       max(s.ejectedUntil-now, 0),
		Ejections:        s.ejections,
		SlowStartBudget:  s.slowStartBudget,
	}
	if s.reportedAt > 0 {
		snapshot.ReportAge = max(now-s.reportedAt, 1)
	}
	return snapshot
}

// Restore applies the snapshot of another balancer. Unknown servers and classes are ignored, and so are
// implausible values. It is meant for a balancer that has had no requests yet.
func (b *Balancer) Restore(now time.Duration, snapshot Snapshot) {
	b.advance(now)
	if !snapshot.isValid() {
		return
	}
	b.cursor = min(max(snapshot.Cursor, 0), len(b.table[0])-1)
	b.startedAt = now - max(snapshot.SinceStart, 0)
	b.fastRate, b.slowRate, b.arrivalRate = snapshot.FastRate, snapshot.SlowRate, snapshot.ArrivalRate
	b.serverCapacity = snapshot.ServerCapacity
	b.outcomeCount, b.latencySum = snapshot.OutcomeCount, snapshot.LatencySum
	b.fullCount, b.errorCount = snapshot.FullCount, snapshot.ErrorCount
	if snapshot.BaseLatency > 0 {
		b.baseLatency, b.baseLearned = snapshot.BaseLatency, true
	}
	for _, e := range snapshot.ExpectedLatencies {
		b.restoreClass(now, e)
	}
	for _, e := range snapshot.Servers {
		if s := b.servers[e.ID]; s != nil && s.StartedAt == e.StartedAt && e.isValid() {
			s.restore(now, e)
		}
	}
	b.updateSubset()
}

func (b *Balancer) restoreClass(now time.Duration, e ClassSnapshot) {
	for i, c := range b.settings.Classes {
		if c.Name == e.Class && arePlausible(e.Seconds, e.Samples) {
			*b.expected[i] = expectedLatency{seconds: e.Seconds, samples: e.Samples, updatedAt: now - max(e.Age, 0)}
		}
	}
}

func (s *server) restore(now time.Duration, e ServerSnapshot) {
	s.latency = e.Latency
	s.errorRatio = min(e.ErrorRatio, 1)
	s.reportedCapacity = e.ReportedCapacity
	s.utilization = e.Utilization
	if e.ReportAge > 0 {
		s.reportedAt = now - e.ReportAge
	}
	s.ejected = e.Ejected
	s.ejections = min(max(e.Ejections, 0), maxEjections)
	s.ejectedUntil = now + max(e.EjectedFor, 0)
	s.slowStartBudget, s.budgetFilledAt = e.SlowStartBudget, now
}

func (s *Snapshot) isValid() bool {
	return arePlausible(s.BaseLatency, s.FastRate, s.SlowRate, s.ArrivalRate, s.ServerCapacity,
		s.OutcomeCount, s.LatencySum, s.FullCount, s.ErrorCount)
}

func (s *ServerSnapshot) isValid() bool {
	budgetIsValid := s.SlowStartBudget < maxBudgetMagnitude && s.SlowStartBudget > -maxBudgetMagnitude
	return budgetIsValid && arePlausible(s.Latency, s.ErrorRatio, s.ReportedCapacity, s.Utilization)
}

// arePlausible reports whether all values are finite, non-negative numbers that a balancer can have measured.
func arePlausible(values ...float64) bool {
	for _, v := range values {
		if !(v >= 0 && v < math.MaxFloat32) {
			return false
		}
	}
	return true
}
