package discoverypoll

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// This file: the load of many instances on one discovery, which serves calls in turn.

const (
	service = 4 * time.Millisecond // for a call, and for an answer to a watch
	queue   = 1 * time.Second      // a call that would wait longer for its turn is turned away
)

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// trouble is a fault of discovery.
type trouble int

const (
	well   trouble = iota
	down           // 503 to each
	silent         // takes calls in and never answers
)

// fleet is one discovery and its instances, in simulated time.
type fleet struct {
	now   time.Duration
	queue events

	trouble trouble
	version int
	busy    time.Duration // until then, with the calls before
	all     []*instance
	calls   map[int]int // by second
	away    int         // calls turned away though discovery was well
}

// instance is an instance that polls, with its open call.
type instance struct {
	watcher
	fleet *fleet
	known int
	at    time.Duration // when it knew that
	call  int           // number of the call that is open
	waits bool          // it is at discovery, which has nothing new
	in    Call
}

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.queue, event{f.now + d, do}) }

func (f *fleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// turn serves one more call, after those before.
func (f *fleet) turn(do func()) {
	f.busy = max(f.busy, f.now) + service
	f.after(f.busy-f.now, do)
}

func (i *instance) ask() {
	f := i.fleet
	i.call++
	n := i.call
	i.in = i.Begin(f.now, false)
	f.calls[int(f.now/time.Second)]++
	f.after(i.in.FirstByteTimeout, func() { i.end(n, NoResponse) })
	f.after(trip/2, func() {
		switch {
		case f.trouble == down:
			f.after(trip/2, func() { i.end(n, Failed) })
		case f.trouble == silent:
		case f.busy-f.now > queue:
			f.away++
			f.after(trip/2, func() { i.end(n, Failed) })
		default:
			f.turn(func() {
				if i.known < f.version {
					i.answer(n)
				} else if i.call == n {
					i.waits = true
					f.after(i.in.Wait, func() { // its wait is over
						if i.call == n && i.waits {
							i.waits = false
							f.turn(func() { i.answer(n) })
						}
					})
				}
			})
		}
	})
}

func (i *instance) answer(n int) {
	version := i.fleet.version
	i.fleet.after(trip/2, func() {
		if i.call == n && i.known < version {
			i.known, i.at = version, i.fleet.now
		}
		i.end(n, Complete)
	})
}

func (i *instance) end(n int, how Outcome) {
	if i.call != n {
		return // it has been given up, or has ended
	}
	i.call++
	i.waits = false
	i.fleet.after(i.End(i.fleet.now, how), i.ask)
}

// news makes a change: open watches are answered, in turn.
func (f *fleet) news() {
	f.version++
	for _, i := range f.all {
		if n := i.call; i.waits {
			i.waits = false
			f.turn(func() { i.answer(n) })
		}
	}
}

// last returns how long after t the last instance knew the newest list; an hour if one does not.
func (f *fleet) last(t time.Duration) (last time.Duration) {
	for _, i := range f.all {
		if i.known < f.version {
			return time.Hour
		}
		last = max(last, i.at-t)
	}
	return last
}

// peak returns the most calls in one second.
func (f *fleet) peak(from, to int) (peak int) {
	for s := from; s < to; s++ {
		peak = max(peak, f.calls[s])
	}
	return peak
}

// load is the result of a fleet's day: the most calls in a second and the last instance to know, for each fault.
type load struct {
	steady float64 // calls a second, in calm
	peaks  [5]int  // begin, calm, all watches lost after news to all, down, silent
	lasts  [3]time.Duration
	away   int
}

// day simulates a day of size instances, which all start, lose their watches and are rejected together.
func day(size int, seed uint64, create func(draw func() float64) watcher) load {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := &fleet{calls: map[int]int{}}
	for range size {
		i := &instance{watcher: create(rng.Float64), fleet: f}
		f.all = append(f.all, i)
		f.after(time.Duration((0.5+rng.Float64())*float64(mustAsk/8)), i.ask) // as lbpolicy does
	}
	var l load
	f.run(200 * time.Second)
	for s := 100; s < 200; s++ {
		l.steady += float64(f.calls[s]) / 100
	}
	l.peaks[0], l.peaks[1] = f.peak(0, 10), f.peak(20, 200)
	f.news()
	f.run(202 * time.Second)
	for _, i := range f.all {
		i.waits = false // all watches are dead from here on
	}
	f.news()
	f.run(300 * time.Second)
	l.lasts[0], l.peaks[2] = f.last(202*time.Second), f.peak(200, 300)
	for n, t := range []trouble{down, silent} {
		begin := time.Duration(300+100*n) * time.Second
		f.trouble = t
		for _, i := range f.all {
			i.waits = false
			if t == down {
				i.end(i.call, Failed)
			}
		}
		f.run(begin + 13*time.Second)
		f.trouble = well
		f.news()
		f.run(begin + 100*time.Second)
		l.lasts[1+n], l.peaks[3+n] = f.last(begin+13*time.Second), f.peak(300+100*n, 400+100*n)
	}
	l.away = f.away
	return l
}

// variant is a Poller that waits differently.
type variant struct {
	*Poller
	name  string
	fails int
}

const (
	asItWas    = "given up after 4 to 12 s, pauses from decide"
	ownEnd     = "waits of 4.5 s that discovery ends"
	halfSpread = "given up after 5 s, the first after news from 2.5 s on"
	asItIs     = "given up after 5 s, the first after news from 0.5 s on"
)

func (v *variant) Begin(now time.Duration, whole bool) Call {
	first := v.synchronized
	c := v.Poller.Begin(now, whole)
	if c.Wait == MaxWait {
		switch v.name {
		case halfSpread:
			if first {
				c.FirstByteTimeout = pollInterval/2 + (c.FirstByteTimeout-pollInterval/10)*5/9
			}
		case asItWas:
			c.FirstByteTimeout = time.Duration((0.5 + v.random()) * float64(8*time.Second))
		case ownEnd:
			c.Wait = c.FirstByteTimeout - time.Second/2
		}
	}
	return c
}

func (v *variant) End(now time.Duration, how Outcome) time.Duration {
	calm := v.name == ownEnd && how == Complete && now-v.startedAt >= pollInterval-time.Second
	after := v.Poller.End(now, how)
	if calm {
		v.synchronized = false
	}
	if v.name == asItWas {
		if how == Failed {
			v.fails = min(v.fails+1, 5)
			return time.Duration((0.5 + v.random()) * float64(min(time.Second/2<<v.fails, mustAsk/2)))
		}
		if how == Complete {
			v.fails = 0
		}
	}
	return after
}

// TestLoad has all instances of a fleet start, lose their watches and be rejected together. No more calls are rejected than with
// longer waits, all know what changed within the bound, and without faults their polls do not stay bunched. Other ways to
// wait are logged for comparison.
func TestLoad(t *testing.T) {
	t.Parallel()
	before := map[int]int{} // calls turned away with the waits as they were, which are played first
	for _, name := range []string{asItWas, ownEnd, halfSpread, asItIs} {
		for _, size := range []int{1, 12, 80, 300} {
			var most load
			for seed := range uint64(5) {
				l := day(size, seed, func(draw func() float64) watcher { return &variant{Poller: New(draw, mustAsk), name: name} })
				most.steady = max(most.steady, l.steady)
				for n := range l.peaks {
					most.peaks[n] = max(most.peaks[n], l.peaks[n])
				}
				for n := range l.lasts {
					most.lasts[n] = max(most.lasts[n], l.lasts[n])
				}
				most.away = max(most.away, l.away)
			}
			t.Logf("%-55s %3d: calm %5.1f a second, peaks: begin %3d, calm %3d, lost %3d, down %3d, silent %3d; known after %.2f, %.2f, %.2f s; turned away %d",
				name, size, most.steady, most.peaks[0], most.peaks[1], most.peaks[2], most.peaks[3], most.peaks[4],
				most.lasts[0].Seconds(), most.lasts[1].Seconds(), most.lasts[2].Seconds(), most.away)
			if name == asItWas {
				before[size] = most.away
			}
			if name != asItIs {
				continue
			}
			for _, last := range most.lasts {
				if last > NotifiedAfter+slack {
					t.Errorf("%d: known after %v", size, last)
				}
			}
			if most.away > before[size] || most.steady > 0.23*float64(size)+0.02 { // one call more or less of one instance in that time
				t.Errorf("%d: %d turned away, %.2f calls a second in calm", size, most.away, most.steady)
			}
			if size >= 80 && most.peaks[1] > size*6/10 {
				t.Errorf("%d: up to %d calls a second in calm: they stay bunched as they began", size, most.peaks[1])
			}
		}
	}
}
