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

// The model drives real Voters and Proposers through every order of events up to a depth. Three processes, each of them a
// voter, propose places in two zones for two keys. Messages are lost, duplicated and reordered: a message that was sent can
// arrive at any later time, repeatedly, or never. Processes crash and restart without their state. Time may pass between any
// two events, which also covers paused processes.
const (
	ttl        = 2 * time.Second
	window     = 4 * time.Second
	retention  = 2 * time.Second
	abstainFor = ttl + window + retention // how long a restarted voter abstains
)

var (
	startTime = time.Unix(1_800_000_000, 0)
	north     = idempotency.Place{Cluster: "c", Zone: "north"}
	south     = idempotency.Place{Cluster: "c", Zone: "south"}
)

// scriptedRequest is a request that a process makes in the model.
type scriptedRequest struct {
	process int
	key     string
	place   idempotency.Place
}

// requestRun is the progress of a scripted request.
type requestRun struct {
	proposer  *Proposer
	proposals []Proposal    // by round
	responses [3][]Response // by voter
	delivered [3][2]int     // how often each proposal was delivered, by voter and round
	release   *Release
	place     idempotency.Place
	done      bool
	started   bool
	adopted   bool
}

// startedAttempt is an attempt that was sent.
type startedAttempt struct {
	key   string
	place idempotency.Place
	at    time.Time
}

// model is the state of the processes and the messages that they have sent.
type model struct {
	script          []scriptedRequest
	now             time.Time
	voters          [3]*Voter
	incarnations    [3]int // restarts of each process
	requests        []*requestRun
	startedAttempts []startedAttempt
	crashes         int
	waits           int
	skipAbstention  bool // restarted voters do not abstain: the fault that the search has to find
}

func newModel(script []scriptedRequest) *model {
	m := &model{script: script, now: startTime, requests: make([]*requestRun, len(script))}
	for i := range m.voters {
		m.voters[i] = NewVoter(startTime, VoterOptions{MaxKeys: 16, MaxProposalTTL: ttl})
	}
	return m
}

// possibleEvents lists the events that can happen now. Applying the same events in the same order gives the same state. The
// numbers in an event are indexes of requests (R), voters (V), processes (P) and messages (N):
//
//	ask R        request R proposes the place in its script
//	vote R V N   voter V receives proposal N of request R
//	hear R V N   request R receives response N of voter V
//	start R      request R sends its attempt
//	adopt R      request R proposes the place of the group that owns its key
//	ended R      the attempt of request R ends
//	fail R       request R ends without having sent an attempt
//	end R V      voter V receives the release of request R
//	crash P      process P restarts without its state
//	copy V P     voter V merges the snapshot of process P's voter
//	wait S       S seconds pass
func (m *model) possibleEvents() (out []string) {
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for i, r := range m.requests {
		if r == nil {
			add("ask %d", i)
			continue
		}
		for v := range m.voters {
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
		switch state, keyState := r.proposer.State(); {
		case r.started:
			add("ended %d", i)
		case state == Claimed && r.proposer.IsValid(m.now) && m.now.Before(keyState.RetryUntil):
			add("start %d", i)
		case state == OwnedElsewhere && !r.adopted:
			add("adopt %d", i)
		case state == OwnedElsewhere || state == Unknown:
			add("fail %d", i)
		}
	}
	if m.crashes < 1 {
		for i := range m.voters {
			add("crash %d", i)
		}
	}
	for i, v := range m.voters {
		for sender, other := range m.voters {
			if _, available := other.Snapshot(m.now); available && i != sender && v.NeedsSnapshots(m.now) && !v.mergedFrom[fmt.Sprint(sender)] {
				add("copy %d %d", i, sender)
			}
		}
	}
	if m.waits < 3 {
		add("wait 1")
		add("wait 2")
		add("wait 8")
	}
	return out
}

func (m *model) propose(i int, place idempotency.Place) {
	r := m.requests[i]
	r.place = place
	proposal := Proposal{Claim: ClaimID{uint64(10*m.script[i].process + m.incarnations[m.script[i].process]), uint64(i)}, Round: uint32(len(r.proposals)),
		Key: idempotency.KeyIDOf("", m.script[i].key), Place: place, Scope: lbpolicy.ScopeZone, Window: window, Retention: retention, TTL: ttl}
	r.proposer = NewProposer(m.now, proposal, 3)
	r.proposals = append(r.proposals, proposal)
}

func (m *model) apply(event string) {
	var kind string
	var n, v, index int
	fmt.Sscan(event, &kind, &n, &v, &index)
	var r *requestRun
	if kind != "crash" && kind != "wait" && kind != "copy" {
		r = m.requests[n]
	}
	switch kind {
	case "ask":
		m.requests[n] = &requestRun{}
		m.propose(n, m.script[n].place)
	case "vote":
		r.delivered[v][index]++
		if response, ok := m.voters[v].Vote(m.now, r.proposals[index]); ok && !slices.Contains(r.responses[v], response) {
			r.responses[v] = append(r.responses[v], response)
		}
	case "hear":
		r.proposer.Receive(v, r.responses[v][index])
	case "end":
		m.voters[v].Release(m.now, *r.release, ttl)
	case "start":
		r.started = true
		m.startedAttempts = append(m.startedAttempts, startedAttempt{m.script[n].key, r.place, m.now})
	case "adopt":
		_, keyState := r.proposer.State()
		r.adopted = true
		m.propose(n, keyState.Place)
	case "fail", "ended":
		r.done = true
		r.release = &Release{r.proposer.Proposal().Claim, kind == "fail"}
	case "crash":
		m.crashes++
		m.incarnations[n]++
		abstention := abstainFor
		if m.skipAbstention {
			abstention = 0
		}
		m.voters[n] = NewVoter(m.now, VoterOptions{MaxKeys: 16, AbstainFor: abstention, MaxProposalTTL: ttl})
		for i, r := range m.requests {
			if r != nil && m.script[i].process == n {
				r.done = true
			}
		}
	case "copy":
		keys, _ := m.voters[v].Snapshot(m.now)
		m.voters[n].MergeSnapshot(m.now, keys)
		m.voters[n].SnapshotCompleted(m.now, fmt.Sprint(v), 3)
	case "wait":
		m.waits++
		m.now = m.now.Add(time.Duration(n) * time.Second)
	}
}

// violation describes two attempts with one key that went to two groups, or of which the second was sent after the window,
// while the key still had to be remembered. It returns an empty string if there are none.
func (m *model) violation() string {
	attempts := slices.Clone(m.startedAttempts) // with each attempt that could be sent now
	for i, r := range m.requests {
		if r == nil || r.done || r.started {
			continue
		}
		if state, keyState := r.proposer.State(); state == Claimed && r.proposer.IsValid(m.now) && m.now.Before(keyState.RetryUntil) {
			attempts = append(attempts, startedAttempt{m.script[i].key, r.place, m.now})
		}
	}
	for i, a := range attempts {
		for _, b := range attempts[i+1:] {
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

// encodeState encodes everything that determines which events can follow, with times relative to now.
func (m *model) encodeState() string {
	var b strings.Builder
	relative := func(t time.Time) int { return max(int(t.Sub(m.now)/(time.Second/8)), -80) }
	for i, v := range m.voters {
		fmt.Fprint(&b, "|", i, m.incarnations[i], max(relative(v.abstainUntil), 0), max(relative(v.snapshotsUsefulFrom), 0), len(v.mergedFrom))
		var lines []string
		for _, g := range v.grants {
			lines = append(lines, fmt.Sprint(g.claim, g.round, g.place.Zone, g.ended))
		}
		v.table.Each(m.now, func(k idempotency.Record) bool {
			lines = append(lines, fmt.Sprintf("%x %v %d %d %t %d %d", k.ID[:2], k.KeyState.Place.Zone, relative(k.KeyState.RetryUntil), relative(k.ExpiresAt), k.SeveralZones, k.Requests, k.InFlight))
			return true
		})
		slices.Sort(lines)
		fmt.Fprint(&b, lines)
		if next, ok := v.expiry.Next(); ok {
			fmt.Fprint(&b, relative(next))
		}
	}
	for _, r := range m.requests {
		if r == nil {
			b.WriteString("|-")
			continue
		}
		state, keyState := r.proposer.State()
		fmt.Fprint(&b, "|", len(r.proposals), r.place.Zone, r.done, r.started, r.adopted, r.release, state, relative(keyState.RetryUntil), relative(r.proposer.madeAt), r.proposer.responded)
		for v := range m.voters {
			fmt.Fprint(&b, r.proposer.responses[v].Vote, r.proposer.responses[v].Place.Zone, len(r.responses[v]), r.delivered[v])
			for _, response := range r.responses[v] {
				fmt.Fprint(&b, response.Round, response.Vote, response.Place.Zone, response.Remaining)
			}
		}
	}
	fmt.Fprint(&b, m.crashes, m.waits)
	for _, s := range m.startedAttempts {
		fmt.Fprint(&b, s.key, s.place.Zone, relative(s.at))
	}
	return b.String()
}

// explore applies every sequence of events up to a depth after a prefix. It returns the number of different states, and the
// shortest sequence that ends in a violation with a description of it.
func explore(script []scriptedRequest, prefix []string, depth int, skipAbstention bool) (states int, trace []string, violation string) {
	replay := func(events []string) *model {
		m := newModel(script)
		m.skipAbstention = skipAbstention
		for _, event := range events {
			m.apply(event)
		}
		return m
	}
	seen := map[[16]byte]bool{}
	level := [][]string{prefix}
	for d := 0; d <= depth; d++ {
		var next [][]string
		for _, events := range level {
			m := replay(events)
			if violation := m.violation(); violation != "" {
				return len(seen), events, violation
			}
			sum := sha256.Sum256([]byte(m.encodeState()))
			key := [16]byte(sum[:16])
			if seen[key] {
				continue
			}
			seen[key] = true
			for _, event := range m.possibleEvents() {
				next = append(next, append(slices.Clip(slices.Clone(events)), event))
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

// searchPrefixes are the sequences of events that the search begins with. extraDepth is added to the depth of the search.
var searchPrefixes = []struct {
	name       string
	script     []scriptedRequest
	events     []string
	extraDepth int
}{
	{"no proposal was made", twoKeyScript, nil, 1},
	{"one vote for each place and one outstanding", oneKeyScript, []string{"ask 0", "ask 1", "vote 0 0 0", "vote 1 2 0", "hear 0 0 0", "hear 1 2 0"}, 1},
	{"majority granted north", oneKeyScript, []string{"ask 0", "vote 0 0 0", "vote 0 1 0", "hear 0 0 0", "hear 0 1 0", "ask 1"}, 1},
	{"attempt was sent to north", oneKeyScript, []string{"ask 0", "vote 0 0 0", "vote 0 1 0", "hear 0 0 0", "hear 0 1 0", "start 0", "ask 1"}, 1},
	{"voter of the majority restarted", oneKeyScript, []string{"ask 0", "vote 0 0 0", "vote 0 1 0", "hear 0 0 0", "hear 0 1 0", "ask 1", "start 0",
		"vote 1 2 0", "hear 1 2 0", "crash 1", "wait 2"}, 2},
	{"two keys", twoKeyScript, []string{"ask 0", "vote 0 0 0", "ask 2", "vote 2 1 0", "vote 2 2 0", "ask 1"}, 0},
}

// Every order of events up to a depth, after several prefixes: the attempts with one key never go to two groups.
func TestExhaustiveSearchFindsNoViolation(t *testing.T) {
	for _, prefix := range searchPrefixes {
		t.Run(prefix.name, func(t *testing.T) {
			t.Parallel()
			states, trace, violation := explore(prefix.script, prefix.events, *searchDepth+prefix.extraDepth, false)
			if violation != "" {
				t.Errorf("%s:\n%s", violation, strings.Join(trace, "\n"))
			}
			t.Logf("%d states", states)
		})
	}
}

// The search finds the fault that abstention prevents: a voter that lost its grants in a restart grants the key to another
// group.
func TestSearchFindsVoteAfterRestartWithoutAbstention(t *testing.T) {
	states, trace, violation := explore(oneKeyScript, append(slices.Clone(searchPrefixes[2].events), "crash 1"), 4, true)
	if violation == "" {
		t.Errorf("no violation found in %d states", states)
	}
	t.Logf("%s after %d states:\n%s", violation, states, strings.Join(trace, "\n"))
}

// Long random sequences of events never send the attempts with one key to two groups.
func TestRandomEventSequencesCauseNoViolation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel([]scriptedRequest{{0, "a", north}, {1, "a", south}, {2, "a", south}, {1, "b", north}, {2, "b", south}})
		var trace []string
		for range 80 {
			event := rapid.SampledFrom(m.possibleEvents()).Draw(t, "move")
			trace = append(trace, event)
			m.apply(event)
			if violation := m.violation(); violation != "" {
				t.Fatalf("%s:\n%s", violation, strings.Join(trace, "\n"))
			}
		}
	})
}

// A proposal of a later round replaces the earlier place of its request. Proposals of earlier rounds, and those that arrive
// after the release, get no response. A released key is free if no attempt ran, and a voter at its limit of keys abstains.
// The list of voters may change by one voter at a time.
func TestVoterGrantsRoundsReleasesAndCapacity(t *testing.T) {
	proposal := func(number uint64, round uint32, place idempotency.Place) Proposal {
		return Proposal{Claim: ClaimID{1, number}, Round: round, Key: idempotency.KeyIDOf("", "a"), Place: place, Scope: lbpolicy.ScopeZone, Window: window, Retention: retention, TTL: ttl}
	}
	v := NewVoter(startTime, VoterOptions{MaxKeys: 4, MaxProposalTTL: ttl})
	vote := func(p Proposal) Vote {
		t.Helper()
		response, _ := v.Vote(startTime, p)
		return response.Vote
	}
	if vote(proposal(1, 0, north)) != Grant || vote(proposal(2, 0, south)) != HeldElsewhere || vote(proposal(1, 1, south)) != Grant || vote(proposal(2, 0, south)) != Grant {
		t.Error("a proposal of a later round does not replace the earlier place of its request")
	}
	if _, ok := v.Vote(startTime, proposal(1, 0, north)); ok {
		t.Error("a proposal of an earlier round got a response")
	}
	v.Release(startTime, Release{ClaimID{1, 3}, true}, ttl)
	if _, ok := v.Vote(startTime, proposal(3, 0, south)); ok {
		t.Error("a proposal that arrived after its release got a response")
	}
	v.Release(startTime, Release{ClaimID{1, 1}, true}, ttl)
	if vote(proposal(4, 0, north)) != HeldElsewhere {
		t.Error("key granted in north while another request holds it in south")
	}
	v.Release(startTime, Release{ClaimID{1, 2}, true}, ttl)
	if vote(proposal(4, 0, north)) != Grant {
		t.Error("key held elsewhere although no attempt ran")
	}
	if vote(proposal(4, 0, south)) == Grant {
		t.Error("two places granted in one round")
	}
	for i := range uint64(4) {
		p := proposal(10+i, 0, north)
		p.Key = idempotency.KeyIDOf("", fmt.Sprint(i))
		if got, want := vote(p), []Vote{Grant, Grant, Grant, Abstain}[i]; got != want {
			t.Errorf("key %d: got vote %d, want a grant up to MaxKeys and then an abstention", i, got)
		}
	}
	if CanReconfigure([]string{"a", "b", "c"}, []string{"a", "b", "d"}) || !CanReconfigure([]string{"a", "b", "c"}, []string{"a", "b", "c", "d"}) ||
		!CanReconfigure([]string{"a", "b", "c", "d"}, []string{"b", "c", "d"}) || !CanReconfigure(nil, []string{"a"}) {
		t.Error("CanReconfigure does not allow exactly the changes by one voter")
	}
}
