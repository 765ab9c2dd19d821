package discoverypoll

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	dial    = 1 * time.Second        // for a connection to come up, as the host has it
	trip    = 40 * time.Millisecond  // to discovery and back
	slack   = 300 * time.Millisecond // rule 3's 250 ms, and 50 ms for sockets
	mustAsk = 10 * time.Second       // four times that after a failed call; the term's 6 s come first
)

// fate is what the network and discovery do with a call.
type fate int

const (
	served fate = iota // answered as soon as there is news
	short              // the answer begins and then stands still
	broke              // the answer begins and the connection ends
	dead               // nothing comes
	away               // refused, or turned away at once
	hung               // its connection does not come up
	reset              // at the last moment
	fates
)

// script is the fates of calls, the changes, and the random numbers of the Poller.
type script struct {
	fates []fate          // of the calls in turn; the others are served
	news  []time.Duration // after the event before: an answer, a begin of a call
	at    []int           // the call in (or after) which each comes up: 2n in call n, 2n+1 in the pause after it
	whole bool            // until a call is answered the whole list is asked for
	alone bool            // of what counts as told, only what does "whatever else is allowed"
}

// play runs a script and returns an error for the first change that counted as notified, by the platform's pages, longer than
// slack before the host knew it. It models discovery; the Poller is the real one, or one with a fault.
func play(s script, w watcher) error {
	// Discovery could be reached when a call that began then would have been answered: what came up in a call is known to a
	// call from then on, and each call in trouble shows that discovery could not be reached as that one began.
	type item struct{ up, told, reached time.Duration }
	var open []item // news that the host does not know
	now := time.Duration(0)
	next := 0
	up := func(phase int, from, to time.Duration) (times []time.Duration) {
		for next < len(s.at) && s.at[next] <= phase {
			if t := from + s.news[next]; s.at[next] == phase && t < to {
				times = append(times, t)
			}
			next++
		}
		return times
	}
	tell := func(i int, by time.Duration) {
		if !s.alone {
			open[i].told = min(open[i].told, by)
		}
	}
	whole := s.whole
	for n := range len(s.fates) + 6 {
		f := served
		if n < len(s.fates) {
			f = s.fates[n]
		}
		c := w.Begin(now, whole)
		over := now + c.FirstByteTimeout // given up, or past the wait
		for _, it := range open {
			if now+trip > it.reached+NotifiedAfter+slack {
				return fmt.Errorf("call %d, at %v: news of %v, that it could have been told from %v on", n, now, it.up, it.reached)
			}
		}
		if f != served {
			for i := range open {
				open[i].reached = now
			}
		}
		for _, t := range up(2*n, now, now+min(c.FirstByteTimeout, c.Wait)) {
			open = append(open, item{t, never, t})
		}
		begins := now + c.Wait // the time at which discovery answers
		for _, it := range open {
			begins = min(begins, max(it.up, now))
		}
		begins += trip
		var end time.Duration
		var how Outcome
		switch {
		case f == away:
			end, how = now+trip, Failed
		case f == hung:
			end, how = now+min(dial, c.FirstByteTimeout), Failed
		case f == reset:
			end, how = over, Failed
		case f == dead || begins > over:
			end, how = over, NoResponse
			for i := range open { // news of a call without an answer
				tell(i, now+c.Wait+UnansweredGrace)
			}
		case f == served:
			end, how = begins, Complete
			for _, it := range open {
				if written := begins - trip/2; it.up <= written && end > min(it.told, written)+slack {
					return fmt.Errorf("call %d: news of %v told at %v, known at %v", n, it.up, it.told, end)
				}
			}
			open, whole = open[:0], false
		case f == broke:
			end, how = begins, Incomplete
		default:
			end, how = begins+c.BodyTimeout, Incomplete
		}
		if how == Incomplete {
			for i, it := range open {
				tell(i, max(it.up, now)+NotifiedAfter) // what a call before could not tell this one had to
			}
		}
		if how == Failed {
			for i, it := range open {
				tell(i, max(it.up, now)+4*mustAsk)
			}
		}
		for _, it := range open {
			if end > it.told+slack {
				return fmt.Errorf("call %d: news of %v told at %v, not known at %v", n, it.up, it.told, end)
			}
		}
		pause := w.End(end, how)
		for _, t := range up(2*n+1, end, end+pause) {
			told := never
			if !s.alone && how == Complete && t-end <= NotificationGrace && pause+trip/2 > NotificationGrace {
				told = t // the watch has lapsed; where it goes on, its next call brings them as if they came up with it
			}
			open = append(open, item{t, told, t})
		}
		now = end + pause
	}
	for _, it := range open {
		if now > it.told+slack {
			return fmt.Errorf("news of %v told at %v and never known", it.up, it.told)
		}
	}
	return nil
}

const never = time.Duration(1 << 62)

// watcher is a Poller, or one with a fault.
type watcher interface {
	Begin(now time.Duration, whole bool) Call
	End(now time.Duration, how Outcome) time.Duration
}

// walk plays all scripts of a number of calls and two changes, with faults in at most two calls in a row: beyond that no client
// with a bounded number of polls can know what it was not sent. What counts by NotifiedAfter alone is played with any number
// of faults in a row and one change. It returns the error of the first script that fails, and the number of scripts.
func walk(calls int, alone, whole bool, create func(draw float64) watcher) (played int, err error) {
	offsets := []time.Duration{0, 10 * time.Millisecond, 120 * time.Millisecond, 190 * time.Millisecond, 2 * time.Second, 7 * time.Second}
	if alone {
		offsets = []time.Duration{0, 120 * time.Millisecond, 2 * time.Second, 4 * time.Second}
	}
	script := script{alone: alone, whole: whole}
	var fill func(row int) bool
	fill = func(row int) bool {
		if len(script.fates) < calls {
			for f := range fates {
				trouble := 0
				if f != served {
					if trouble = row + 1; trouble > 2 && !alone {
						continue
					}
				}
				script.fates = append(script.fates, f)
				ok := fill(trouble)
				script.fates = script.fates[:len(script.fates)-1]
				if !ok {
					return false
				}
			}
			return true
		}
		for first := range 2 * calls {
			for second := first; second < 2*calls; second++ {
				for _, a := range offsets {
					for _, b := range offsets {
						if alone && (second > first || b > 0) {
							continue
						}
						for _, draw := range []float64{0, 0.5, 0.999} {
							script.at, script.news = []int{first, second}, []time.Duration{a, b}
							played++
							if err = play(script, create(draw)); err != nil {
								err = fmt.Errorf("%+v: %w", script, err)
								return false
							}
						}
					}
				}
			}
		}
		return true
	}
	fill(0)
	return played, err
}

// TestNoGap checks that no change counts as notified and is not known, whatever becomes of calls and whenever it occurs.
func TestNoGap(t *testing.T) {
	t.Parallel()
	played, err := walk(3, false, false, func(draw float64) watcher { return New(func() float64 { return draw }, mustAsk) })
	t.Logf("%d scripts", played)
	if err != nil || played < 100_000 {
		t.Error(err)
	}
}

// TestNotifiedAfter checks that changes are known 6 s after discovery had them and could be reached, whatever becomes of any
// number of calls, also if the whole list is requested, and whatever must_ask_in is.
func TestNotifiedAfter(t *testing.T) {
	t.Parallel()
	for _, in := range []time.Duration{0, time.Second, mustAsk, time.Minute} {
		for _, whole := range []bool{false, true} {
			played, err := walk(4, true, whole, func(draw float64) watcher { return New(func() float64 { return draw }, in) })
			t.Logf("must_ask_in %v, whole %t: %d scripts", in, whole, played)
			if err != nil || played < 100_000 {
				t.Error(err)
			}
		}
	}
}

// wrong is a Poller with one fault.
type wrong struct {
	*Poller
	fault string
	row   int
}

const (
	standsStill = "an answer that stands still is waited for as long as a watch"
	toldLittle  = "discovery is told hardly more than is waited for"
	lapses      = "the watch lapses after an answer"
	waitsLong   = "a watch is given up after half to one and a half of 8 s"
	pausesLong  = "the pause after failures doubles from 1 to 5 s, and is spread by half of it"
	fromEnd     = "the pause after failures is reckoned from the end of the call"
)

func (w *wrong) Begin(now time.Duration, whole bool) Call {
	c := w.Poller.Begin(now, whole)
	switch w.fault {
	case standsStill:
		c.BodyTimeout = c.FirstByteTimeout
	case toldLittle:
		c.Wait = c.FirstByteTimeout + time.Second
	case waitsLong:
		if c.Wait == MaxWait {
			c.FirstByteTimeout = 4*time.Second + time.Duration(w.random()*float64(8*time.Second))
		}
	}
	return c
}

func (w *wrong) End(now time.Duration, how Outcome) time.Duration {
	after := w.Poller.End(now, how)
	switch {
	case w.fault == lapses && how == Complete:
		return 600 * time.Millisecond
	case how == Complete || after <= minInterval:
		w.row = 0
	case w.fault == pausesLong:
		w.row++
		return time.Duration(float64(min(time.Second<<(w.row-1), mustAsk/2)) * (0.5 + w.random()))
	case w.fault == fromEnd:
		w.row++
		return w.jitter(min(time.Second<<w.row, pollInterval))
	}
	return after
}

// TestFaultsFound checks that the model finds each of the faults that the Poller had, or might have.
func TestFaultsFound(t *testing.T) {
	t.Parallel()
	for fault, alone := range map[string]bool{standsStill: false, toldLittle: false, lapses: false, waitsLong: true, pausesLong: true, fromEnd: true} {
		_, err := walk(4, alone, false, func(draw float64) watcher {
			return &wrong{Poller: New(func() float64 { return draw }, mustAsk), fault: fault}
		})
		if err == nil {
			t.Errorf("%s: not found", fault)
		}
		t.Logf("%s: %v", fault, err)
	}
}

// TestLongWalks checks the same over many calls, with waits that depend on the calls before.
func TestLongWalks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4000) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := script{}
		row := 0
		for range 40 {
			f := fate(rng.IntN(int(fates)))
			if f != served {
				row++
			}
			if f == served || row > 2 {
				f, row = served, 0
			}
			s.fates = append(s.fates, f)
		}
		for n := range 80 {
			if rng.IntN(3) == 0 {
				s.at = append(s.at, n)
				s.news = append(s.news, time.Duration(rng.IntN(9000))*time.Millisecond>>rng.IntN(8))
			}
		}
		if err := play(s, New(rng.Float64, mustAsk)); err != nil {
			t.Fatalf("seed %d, %+v: %v", seed, s, err)
		}
	}
}

// TestBackoff checks that polls back off while discovery is down, silent or sends incomplete responses, as far as NotifiedAfter
// allows.
func TestBackoff(t *testing.T) {
	t.Parallel()
	for _, how := range []Outcome{NoResponse, Incomplete, Failed} {
		w := New(func() float64 { return 0.5 }, mustAsk)
		now, calls := time.Duration(0), 0
		for now < 10*time.Minute {
			c := w.Begin(now, false)
			calls++
			if how == NoResponse {
				now += c.FirstByteTimeout
			} else {
				now += trip
			}
			now += w.End(now, how)
		}
		if calls > 600/5*2 {
			t.Errorf("%v: %d calls in ten minutes", how, calls)
		}
		t.Logf("%v: %d calls in ten minutes", how, calls)
	}
}

// TestSharedBy checks that few instances keep the bound, and that many poll at most twice a second for each tier without faults,
// up to the longest mean wait.
func TestSharedBy(t *testing.T) {
	t.Parallel()
	for instances, mean := range map[int]time.Duration{0: pollInterval, 1: pollInterval, 10: pollInterval, 13: 6500 * time.Millisecond, 16: maxSharedWait, 300: maxSharedWait} {
		rng := rand.New(rand.NewPCG(uint64(instances), 3))
		w := New(rng.Float64, mustAsk).SharedBy(instances)
		now, sum, most := time.Duration(0), time.Duration(0), time.Duration(0)
		const calls = 2000
		for range calls {
			c := w.Begin(now, false)
			if c.Wait != MaxWait { // the short call before what has died counts as told: it is answered
				now += trip
				w.End(now, Complete)
				continue
			}
			now, sum, most = now+c.FirstByteTimeout, sum+c.FirstByteTimeout, max(most, c.FirstByteTimeout)
			now += w.End(now, NoResponse)
		}
		if mean == pollInterval && most > pollInterval {
			t.Errorf("%d: waits %v", instances, most)
		}
		if got := sum / calls; got < mean*3/4 || got > mean*11/10 {
			t.Errorf("%d: waits %v in the mean, want some %v", instances, got, mean)
		}
	}
}
