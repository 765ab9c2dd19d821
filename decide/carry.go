package decide

// This file: what a balancer hands to the one that takes its place. It decides nothing about any call.

import (
	"math"
	"time"
)

// Learnt is what a balancer has learnt and another in its place can use. Times count back from the moment it is told.
type Learnt struct {
	Cursor  int            `json:"Cursor"`
	Started time.Duration  `json:"Started"` // ago
	Base    float64        `json:"Base"`    // quiet latency, s; 0: not learnt
	Fast    float64        `json:"Fast"`    // calls a second
	Avg     float64        `json:"Avg"`     // calls a second
	Asking  float64        `json:"Asking"`  // calls a second
	Full    float64        `json:"Full"`    // calls a second
	Answers float64        `json:"Answers"`
	LatSum  float64        `json:"LatSum"`
	Fulls   float64        `json:"Fulls"`
	Errs    float64        `json:"Errs"`
	Hopes   []LearntHope   `json:"Hopes"`
	Servers []LearntServer `json:"Servers"`
}

// LearntHope is the time that a class's calls take.
type LearntHope struct {
	Class string        `json:"Class"`
	In    float64       `json:"In"`
	Seen  float64       `json:"Seen"`
	Ago   time.Duration `json:"Ago"`
}

// LearntServer is what is known of one server.
type LearntServer struct {
	ID        ServerID      `json:"ID"`
	StartedAt time.Duration `json:"StartedAt"` // as listed: it must be the same process
	Lat       float64       `json:"Lat"`
	Bad       float64       `json:"Bad"`
	Rate      float64       `json:"Rate"`
	Util      float64       `json:"Util"`
	Reported  time.Duration `json:"Reported"` // ago; 0: never
	Out       bool          `json:"Out"`
	OutFor    time.Duration `json:"OutFor"` // until a trial
	Outs      int           `json:"Outs"`
	Budget    float64       `json:"Budget"` // while cold
}

// Learnt returns what the balancer has learnt.
func (b *Balancer) Learnt(now time.Duration) Learnt {
	b.advance(now)
	l := Learnt{Cursor: b.cursor, Started: now - b.started, Fast: b.fast, Avg: b.avg, Asking: b.asking, Full: b.full,
		Answers: b.answers, LatSum: b.latSum, Fulls: b.fulls, Errs: b.errs}
	if b.learnt {
		l.Base = b.base
	}
	for i, h := range b.hopes {
		if h.in > 0 && b.cfg.Classes[i].Name != "" {
			l.Hopes = append(l.Hopes, LearntHope{b.cfg.Classes[i].Name, h.in, h.seen, now - h.at})
		}
	}
	for _, s := range b.all {
		e := LearntServer{ID: s.ID, StartedAt: s.StartedAt, Lat: s.lat, Bad: s.bad, Rate: s.rate, Util: s.util,
			Out: s.out, OutFor: max(s.outUntil-now, 0), Outs: s.outs, Budget: s.budget}
		if s.reported > 0 {
			e.Reported = max(now-s.reported, 1)
		}
		l.Servers = append(l.Servers, e)
	}
	return l
}

// Follow takes over what another balancer has learnt; servers and classes that are not known here are passed over, as is
// what no balancer can have learnt. It is for a balancer that has had no calls yet.
func (b *Balancer) Follow(now time.Duration, l Learnt) {
	b.advance(now)
	if !sane(l.Base, l.Fast, l.Avg, l.Asking, l.Full, l.Answers, l.LatSum, l.Fulls, l.Errs) {
		return
	}
	b.cursor = min(max(l.Cursor, 0), len(b.table[0])-1)
	b.started = now - max(l.Started, 0)
	b.fast, b.avg, b.asking, b.full = l.Fast, l.Avg, l.Asking, l.Full
	b.answers, b.latSum, b.fulls, b.errs = l.Answers, l.LatSum, l.Fulls, l.Errs
	if l.Base > 0 {
		b.base, b.learnt = l.Base, true
	}
	for _, h := range l.Hopes {
		for i, c := range b.cfg.Classes {
			if c.Name == h.Class && sane(h.In, h.Seen) {
				*b.hopes[i] = hope{in: h.In, seen: h.Seen, at: now - max(h.Ago, 0)}
			}
		}
	}
	for _, e := range l.Servers {
		s := b.servers[e.ID]
		if s == nil || s.StartedAt != e.StartedAt || !sane(e.Lat, e.Bad, e.Rate, e.Util) || !(e.Budget < 1e6 && e.Budget > -1e6) {
			continue
		}
		s.lat, s.bad, s.rate, s.util = e.Lat, min(e.Bad, 1), e.Rate, e.Util
		if e.Reported > 0 {
			s.reported = now - e.Reported
		}
		s.out, s.outs, s.outUntil = e.Out, min(max(e.Outs, 0), 4), now+max(e.OutFor, 0)
		s.budget, s.filled = e.Budget, now
	}
	b.subset()
}

// sane tells whether figures are numbers that can be measured.
func sane(figures ...float64) bool {
	for _, f := range figures {
		if !(f >= 0 && f < math.MaxFloat32) {
			return false
		}
	}
	return true
}
