package ownership

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/lbpolicy"
)

var searchDepth = flag.Int("deep", 2, "depth of the exhaustive search")

// The model drives the voters and askers that run in service through every order of events up to a depth: three processes,
// each of them a voter, that ask for two keys in two zones, while messages are lost, doubled and overtaken, processes die
// and come back without a memory, and time passes anywhere, which is what a paused process is. A message that was sent
// once can come at any time from then on, any number of times, or never.
const (
	ttl        = 2 * time.Second
	window     = 4 * time.Second
	retention  = 2 * time.Second
	abstainFor = ttl + window + retention // of a voter that has started
)

var (
	startTime = time.Unix(1_800_000_000, 0)
	north     = idempotency.Place{Cluster: "c", Zone: "north"}
	south     = idempotency.Place{Cluster: "c", Zone: "south"}
)

// scriptedRequest is a request of a script.
type scriptedRequest struct {
	process int
	key     string
	place   idempotency.Place
}

// requestRun is one process's request under way.
type requestRun struct {
	proposer  *Proposer
	proposals []Proposal    // of all turns
	responses [3][]Response // that each voter has given
	delivered [3][2]int     // how often each ask has come to each voter
	release   *Release
	place     idempotency.Place
	done      bool
	started   bool
	adopted   bool
}

// startedAttempt is an attempt that has gone out.
type startedAttempt struct {
	key   string
	place idempotency.Place
	at    time.Time
}

type model struct {
	script          []scriptedRequest
	now             time.Time
	voters          [3]*Voter
	incarnations    [3]int // lives of each process
	requests        []*requestRun
	startedAttempts []startedAttempt
	crashes         int
	waits           int
	skipAbstention  bool // processes that start anew are not silent: the fault that the model must find
}

func newModel(script []scriptedRequest) *model {
	w := &model{script: script, now: startTime, requests: make([]*requestRun, len(script))}
	for i := range w.voters {
		w.voters[i] = NewVoter(startTime, VoterOptions{MaxKeys: 16, MaxProposalTTL: ttl})
	}
	return w
}

// possibleEvents lists what can happen now, by names that replay the same.
func (w *model) possibleEvents() (out []string) {
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for i, r := range w.requests {
		if r == nil {
			add("ask %d", i)
			continue
		}
		for v := range w.voters {
			for n := range r.proposals {
				if r.delivered[v][n] < 2 {
					add("vote %d %d %d", i, v, n)
				}
			}
			if r.release != nil {
				add("end %d %d", i, v)
			}
			for n := range r.responses[v] {
				if !r.done {
					add("hear %d %d %d", i, v, n)
				}
			}
		}
		if r.done {
			continue
		}
		switch state, past := r.proposer.State(); {
		case r.started:
			add("ended %d", i)
		case state == Claimed && r.proposer.IsValid(w.now) && w.now.Before(past.RetryUntil):
			add("start %d", i)
		case state == OwnedElsewhere && !r.adopted:
			add("adopt %d", i)
		case state == OwnedElsewhere || state == Unknown:
			add("fail %d", i)
		}
	}
	if w.crashes < 1 {
		for i := range w.voters {
			add("crash %d", i)
		}
	}
	for i, v := range w.voters {
		for from, other := range w.voters {
			if _, speaks := other.Snapshot(w.now); speaks && i != from && v.NeedsSnapshots(w.now) && !v.mergedFrom[fmt.Sprint(from)] {
				add("copy %d %d", i, from)
			}
		}
	}
	if w.waits < 3 {
		add("wait 1")
		add("wait 2")
		add("wait 8")
	}
	return out
}

func (w *model) propose(i int, place idempotency.Place) {
	r := w.requests[i]
	r.place = place
	a := Proposal{Attempt: AttemptID{uint64(10*w.script[i].process + w.incarnations[w.script[i].process]), uint64(i)}, Round: uint32(len(r.proposals)),
		Key: idempotency.KeyIDOf("", w.script[i].key), Place: place, Scope: lbpolicy.ScopeZone, Window: window, Retention: retention, TTL: ttl}
	r.proposer = NewProposer(w.now, a, 3)
	r.proposals = append(r.proposals, a)
}

func (w *model) apply(move string) {
	var what string
	var n, v, k int
	fmt.Sscan(move, &what, &n, &v, &k)
	var r *requestRun
	if what != "crash" && what != "wait" && what != "copy" {
		r = w.requests[n]
	}
	switch what {
	case "ask":
		w.requests[n] = &requestRun{}
		w.propose(n, w.script[n].place)
	case "vote":
		r.delivered[v][k]++
		if a, ok := w.voters[v].Vote(w.now, r.proposals[k]); ok && !slices.Contains(r.responses[v], a) {
			r.responses[v] = append(r.responses[v], a)
		}
	case "hear":
		r.proposer.Receive(v, r.responses[v][k])
	case "end":
		w.voters[v].Release(w.now, *r.release, ttl)
	case "start":
		r.started = true
		w.startedAttempts = append(w.startedAttempts, startedAttempt{w.script[n].key, r.place, w.now})
	case "adopt":
		_, past := r.proposer.State()
		r.adopted = true
		w.propose(n, past.Place)
	case "fail", "ended":
		r.done = true
		r.release = &Release{r.proposer.Proposal().Attempt, what == "fail"}
	case "crash":
		w.crashes++
		w.incarnations[n]++
		silent := abstainFor
		if w.skipAbstention {
			silent = 0
		}
		w.voters[n] = NewVoter(w.now, VoterOptions{MaxKeys: 16, AbstainFor: silent, MaxProposalTTL: ttl})
		for i, r := range w.requests {
			if r != nil && w.script[i].process == n {
				r.done = true
			}
		}
	case "copy":
		all, _ := w.voters[v].Snapshot(w.now)
		w.voters[n].MergeSnapshot(w.now, all)
		w.voters[n].SnapshotCompleted(w.now, fmt.Sprint(v), 3)
	case "wait":
		w.waits++
		w.now = w.now.Add(time.Duration(n) * time.Second)
	}
}

// violation tells where a key has gone to two groups, or again when its window was over, while it was to be known.
func (w *model) violation() string {
	could := slices.Clone(w.startedAttempts) // and each attempt that could go out now
	for i, r := range w.requests {
		if r == nil || r.done || r.started {
			continue
		}
		if state, past := r.proposer.State(); state == Claimed && r.proposer.IsValid(w.now) && w.now.Before(past.RetryUntil) {
			could = append(could, startedAttempt{w.script[i].key, r.place, w.now})
		}
	}
	for i, a := range could {
		for _, b := range could[i+1:] {
			if a.key != b.key || !b.at.Before(a.at.Add(window+retention)) {
				continue
			}
			if a.place != b.place || !b.at.Before(a.at.Add(window)) {
				return fmt.Sprintf("%s in %s after %v and in %s after %v", a.key, a.place.Zone, a.at.Sub(startTime), b.place.Zone, b.at.Sub(startTime))
			}
		}
	}
	return ""
}

// encodeState writes all that decides what can come, with times from now on.
func (w *model) encodeState() string {
	var b strings.Builder
	at := func(t time.Time) int { return max(int(t.Sub(w.now)/(time.Second/8)), -80) }
	for i, v := range w.voters {
		fmt.Fprint(&b, "|", i, w.incarnations[i], max(at(v.abstainUntil), 0), max(at(v.snapshotsUsefulFrom), 0), len(v.mergedFrom))
		var lines []string
		for _, h := range v.grants {
			lines = append(lines, fmt.Sprint(h.attempt, h.round, h.place.Zone, h.ended))
		}
		v.table.Each(w.now, func(k idempotency.Record) bool {
			lines = append(lines, fmt.Sprintf("%x %v %d %d %t %d %d", k.ID[:2], k.KeyState.Place.Zone, at(k.KeyState.RetryUntil), at(k.ExpiresAt), k.SeveralZones, k.Requests, k.InFlight))
			return true
		})
		slices.Sort(lines)
		fmt.Fprint(&b, lines)
		if next, ok := v.expiry.Next(); ok {
			fmt.Fprint(&b, at(next))
		}
	}
	for _, r := range w.requests {
		if r == nil {
			b.WriteString("|-")
			continue
		}
		state, past := r.proposer.State()
		fmt.Fprint(&b, "|", len(r.proposals), r.place.Zone, r.done, r.started, r.adopted, r.release, state, at(past.RetryUntil), at(r.proposer.madeAt), r.proposer.responded)
		for v := range w.voters {
			fmt.Fprint(&b, r.proposer.responses[v].Vote, r.proposer.responses[v].Place.Zone, len(r.responses[v]), r.delivered[v])
			for _, a := range r.responses[v] {
				fmt.Fprint(&b, a.Round, a.Vote, a.Place.Zone, a.Remaining)
			}
		}
	}
	fmt.Fprint(&b, w.crashes, w.waits)
	for _, s := range w.startedAttempts {
		fmt.Fprint(&b, s.key, s.place.Zone, at(s.at))
	}
	return b.String()
}

// explore tries every order of moves up to a depth, from a beginning. It returns the shortest one that breaks the promise.
func explore(script []scriptedRequest, beginning []string, depth int, careless bool) (states int, trace []string, broken string) {
	play := func(moves []string) *model {
		w := newModel(script)
		w.skipAbstention = careless
		for _, m := range moves {
			w.apply(m)
		}
		return w
	}
	seen := map[[16]byte]bool{}
	level := [][]string{beginning}
	for d := 0; d <= depth; d++ {
		var next [][]string
		for _, moves := range level {
			w := play(moves)
			if why := w.violation(); why != "" {
				return len(seen), moves, why
			}
			sum := sha256.Sum256([]byte(w.encodeState()))
			s := [16]byte(sum[:16])
			if seen[s] {
				continue
			}
			seen[s] = true
			for _, m := range w.possibleEvents() {
				next = append(next, append(slices.Clip(slices.Clone(moves)), m))
			}
		}
		level = next
	}
	return len(seen), nil, ""
}

var (
	oneKeyScript = []scriptedRequest{{0, "a", north}, {2, "a", south}}
	twoKeyScript = []scriptedRequest{{0, "a", north}, {1, "a", south}, {2, "b", south}}
)

// Beginnings of the search: what has been done, and how much deeper than the others it is gone into.
var searchPrefixes = []struct {
	name   string
	script []scriptedRequest
	done   []string
	deeper int
}{
	{"nothing has been asked", twoKeyScript, nil, 1},
	{"a vote each, the third is free", oneKeyScript, []string{"ask 0", "ask 1", "vote 0 0 0", "vote 1 2 0", "hear 0 0 0", "hear 1 2 0"}, 1},
	{"north has its majority", oneKeyScript, []string{"ask 0", "vote 0 0 0", "vote 0 1 0", "hear 0 0 0", "hear 0 1 0", "ask 1"}, 1},
	{"north has started", oneKeyScript, []string{"ask 0", "vote 0 0 0", "vote 0 1 0", "hear 0 0 0", "hear 0 1 0", "start 0", "ask 1"}, 1},
	{"a voter of the majority has died", oneKeyScript, []string{"ask 0", "vote 0 0 0", "vote 0 1 0", "hear 0 0 0", "hear 0 1 0", "ask 1", "start 0",
		"vote 1 2 0", "hear 1 2 0", "crash 1", "wait 2"}, 2},
	{"two keys", twoKeyScript, []string{"ask 0", "vote 0 0 0", "ask 2", "vote 2 1 0", "vote 2 2 0", "ask 1"}, 0},
}

// Every order of events up to a depth, from several beginnings: no key is ever in two groups.
func TestExhaustiveSearchFindsNoViolation(t *testing.T) {
	for _, b := range searchPrefixes {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			states, trace, broken := explore(b.script, b.done, *searchDepth+b.deeper, false)
			if broken != "" {
				t.Errorf("%s:\n%s", broken, strings.Join(trace, "\n"))
			}
			t.Logf("%d states", states)
		})
	}
}

// The search finds the fault that the voters' silence guards against: a voter that has lost its memory and agrees anew.
func TestSearchFindsVoteAfterRestartWithoutAbstention(t *testing.T) {
	states, trace, broken := explore(oneKeyScript, append(slices.Clone(searchPrefixes[2].done), "crash 1"), 4, true)
	if broken == "" {
		t.Errorf("not found in %d states", states)
	}
	t.Logf("%s after %d states:\n%s", broken, states, strings.Join(trace, "\n"))
}

// Long walks, drawn at random, through the same model.
func TestRandomEventSequencesCauseNoViolation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel([]scriptedRequest{{0, "a", north}, {1, "a", south}, {2, "a", south}, {1, "b", north}, {2, "b", south}})
		var trace []string
		for range 80 {
			move := rapid.SampledFrom(w.possibleEvents()).Draw(t, "move")
			trace = append(trace, move)
			w.apply(move)
			if why := w.violation(); why != "" {
				t.Fatalf("%s:\n%s", why, strings.Join(trace, "\n"))
			}
		}
	})
}

// What a voter may forget and must not: a try that moved to another place, an end that overtook its ask, a list of voters
// that follows another.
func TestVoterGrantsRoundsReleasesAndCapacity(t *testing.T) {
	ask := func(number uint64, turn uint32, place idempotency.Place) Proposal {
		return Proposal{Attempt: AttemptID{1, number}, Round: turn, Key: idempotency.KeyIDOf("", "a"), Place: place, Scope: lbpolicy.ScopeZone, Window: window, Retention: retention, TTL: ttl}
	}
	v := NewVoter(startTime, VoterOptions{MaxKeys: 4, MaxProposalTTL: ttl})
	vote := func(a Proposal) Vote {
		t.Helper()
		out, _ := v.Vote(startTime, a)
		return out.Vote
	}
	if vote(ask(1, 0, north)) != Grant || vote(ask(2, 0, south)) != HeldElsewhere || vote(ask(1, 1, south)) != Grant || vote(ask(2, 0, south)) != Grant {
		t.Error("a try that moves takes its place with it")
	}
	if _, ok := v.Vote(startTime, ask(1, 0, north)); ok {
		t.Error("an ask of an earlier turn was answered")
	}
	v.Release(startTime, Release{AttemptID{1, 3}, true}, ttl)
	if _, ok := v.Vote(startTime, ask(3, 0, south)); ok {
		t.Error("an ask that its end has overtaken was answered")
	}
	v.Release(startTime, Release{AttemptID{1, 1}, true}, ttl)
	if vote(ask(4, 0, north)) != HeldElsewhere {
		t.Error("free though another try is there")
	}
	v.Release(startTime, Release{AttemptID{1, 2}, true}, ttl)
	if vote(ask(4, 0, north)) != Grant {
		t.Error("held though nothing ran")
	}
	if vote(ask(4, 0, south)) == Grant {
		t.Error("two places under one turn")
	}
	for i := range uint64(4) {
		a := ask(10+i, 0, north)
		a.Key = idempotency.KeyIDOf("", fmt.Sprint(i))
		if got, want := vote(a), []Vote{Grant, Grant, Grant, Abstain}[i]; got != want {
			t.Errorf("key %d: %d", i, got)
		}
	}
	if CanReconfigure([]string{"a", "b", "c"}, []string{"a", "b", "d"}) || !CanReconfigure([]string{"a", "b", "c"}, []string{"a", "b", "c", "d"}) ||
		!CanReconfigure([]string{"a", "b", "c", "d"}, []string{"b", "c", "d"}) || !CanReconfigure(nil, []string{"a"}) {
		t.Error("lists of voters")
	}
}
