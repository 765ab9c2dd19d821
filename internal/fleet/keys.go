package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"silvertrail/decide"
	"silvertrail/internal/balancer/history"
	"silvertrail/internal/fleet/binding"
)

const (
	bindWait = 500 * time.Millisecond // for the voters, at the most; half of the time left where that is less
	muteWait = 80 * time.Millisecond  // where most of them have been mute lately
	askAgain = 40 * time.Millisecond  // those that have not answered
	wantWait = 500 * time.Millisecond // between two looks at whether copies are wanted
	partWait = 3 * time.Second        // without a further part a copy is taken for broken off
)

// keys is the part of a fleet that binds keys: this instance's voter, if it is one, and the asks that are under way.
type keys struct {
	f *Fleet

	voteMu  sync.Mutex
	voter   *binding.Voter // of every instance: it may become one of the voters by a reload
	catches map[string]*catch

	askMu   sync.Mutex
	hearing binding.ResponseTracker
	asks    map[binding.AttemptID]*asking
	next    uint64
}

// asking is an ask under way.
type asking struct {
	asker  *binding.Proposer
	voters []string
	rounds int           // of asks
	moved  chan struct{} // holds a token when an answer has come
}

// catch is a copy that is being received from one voter.
type catch struct {
	want  uint64
	got   map[int]bool
	moved time.Time // when it was asked for, or its last part came
	done  bool
}

func (k *keys) start(f *Fleet, now time.Time) {
	k.f, k.asks, k.catches = f, map[binding.AttemptID]*asking{}, map[string]*catch{}
	silent := f.o.Silent
	if f.o.New {
		silent = 0
	}
	k.voter = binding.NewVoter(now, binding.VoterOptions{MaxKeys: f.o.Keys, AbstainFor: silent, MaxProposalTTL: f.o.Life})
}

// Number returns a number for a request's asks that no other request of this process has.
func (k *keys) Number() binding.AttemptID {
	k.askMu.Lock()
	defer k.askMu.Unlock()
	k.next++
	return binding.AttemptID{Process: k.f.process, Number: k.next}
}

func (f *Fleet) voterNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.voters
}

// Bind has the voters agree that a key's attempts go to a place. It returns when that is certain one way or the other,
// or when ctx ends or the time for it is over, which is Unknown.
func (k *keys) Bind(ctx context.Context, a binding.Proposal) (binding.State, history.Past) {
	now := time.Now()
	voters := k.f.voterNames()
	if k.f.views != nil && k.f.views.cut(voters) {
		return binding.Unknown, history.Past{} // nobody could agree: it neither waits nor counts as in flight
	}
	p := &asking{asker: binding.NewProposer(now, a, len(voters)), voters: voters, moved: make(chan struct{}, 1)}
	k.askMu.Lock()
	k.asks[a.Attempt] = p
	most := k.hearing.Timeout(now, voters, min(bindWait, a.TTL/2), muteWait)
	k.askMu.Unlock()
	defer func() {
		k.askMu.Lock()
		defer k.askMu.Unlock()
		if k.asks[a.Attempt] == p {
			delete(k.asks, a.Attempt)
		}
	}()
	wait := time.NewTimer(most)
	defer wait.Stop()
	again := time.NewTicker(askAgain)
	defer again.Stop()
	for {
		k.ask(p)
		for asked := true; asked; {
			k.askMu.Lock()
			state, past := p.asker.State()
			k.askMu.Unlock()
			if state != binding.Pending {
				return state, past
			}
			select {
			case <-p.moved:
			case <-again.C:
				asked = false
			case <-ctx.Done():
				return binding.Unknown, history.Past{}
			case <-wait.C:
				return binding.Unknown, history.Past{}
			case <-k.f.done:
				return binding.Unknown, history.Past{}
			}
		}
	}
}

// ask puts an ask to the voters that have not answered it.
func (k *keys) ask(p *asking) {
	last := map[string]bool{} // those that are known not to be heard are asked in the second round
	if k.f.views != nil && p.rounds == 0 {
		last = k.f.views.unheard(p.voters)
	}
	k.askMu.Lock()
	p.rounds++
	a := p.asker.Proposal()
	var to []int
	for i := range p.voters {
		if p.asker.IsAwaiting(i) && !last[p.voters[i]] {
			to = append(to, i)
			if p.voters[i] != k.f.o.Name {
				k.hearing.ProposalSent(time.Now(), p.voters[i])
			}
		}
	}
	k.askMu.Unlock()
	for _, i := range to {
		if p.voters[i] != k.f.o.Name {
			k.f.send(p.voters[i], item{Ask: &a})
			continue
		}
		if answer, ok := k.vote(a); ok {
			k.answer(k.f.o.Name, &answer)
		}
	}
}

// vote has this instance's voter answer an ask.
func (k *keys) vote(a binding.Proposal) (binding.Response, bool) {
	k.voteMu.Lock()
	defer k.voteMu.Unlock()
	return k.voter.Vote(time.Now(), a)
}

// noteEnd tells this instance's voter of an end.
func (k *keys) noteEnd(e binding.Release) {
	k.voteMu.Lock()
	defer k.voteMu.Unlock()
	k.voter.Release(time.Now(), e, k.f.o.Life)
}

func (k *keys) answer(from string, a *binding.Response) {
	k.askMu.Lock()
	defer k.askMu.Unlock()
	k.hearing.ResponseReceived(from)
	p := k.asks[a.Attempt]
	if p == nil {
		return
	}
	p.asker.Receive(slices.Index(p.voters, from), *a)
	select {
	case p.moved <- struct{}{}:
	default:
	}
}

// End tells the voters that a request is over. A word that is lost costs no more than a key that is held for longer.
func (f *Fleet) End(e binding.Release) {
	for _, name := range f.voterNames() {
		if name != f.o.Name {
			f.send(name, item{End: &e})
			continue
		}
		f.noteEnd(e)
	}
}

// keep forgets what voters owe that are none any more.
func (k *keys) keep(voters []string) {
	k.askMu.Lock()
	defer k.askMu.Unlock()
	names := make(map[string]bool, len(voters))
	for _, v := range voters {
		names[v] = true
	}
	k.hearing.Retain(names)
}

// receive takes what another instance has said.
func (f *Fleet) receive(text []byte) {
	p, err := decode(text)
	if err != nil {
		f.log.Warn("packet passed over", "error", err)
		return
	}
	var back []item
	for _, i := range p.Items {
		switch {
		case i.Ask != nil:
			if a, ok := f.vote(*i.Ask); ok {
				back = append(back, item{Answer: &a})
			}
		case i.Answer != nil:
			f.answer(p.From, i.Answer)
		case i.End != nil:
			f.noteEnd(*i.End)
		case i.Want != 0:
			f.sendCopy(p.From, i.Want)
		case i.Copy != nil:
			f.learn(p.From, i.Copy)
		case i.Word != nil && f.views != nil:
			f.views.hear(i.Word)
		case i.Acts != nil && f.acts != nil:
			f.acts.hear(p.From, i.Acts)
		}
	}
	if len(back) > 0 {
		f.send(p.From, back...)
	}
}

// Voter tells what the voter of this instance knows of a key; ok is false where it is none.
func (k *keys) Voter(key history.ID, scope decide.Scope) (p history.Past, silent time.Duration, ok bool) {
	voting := slices.Contains(k.f.voterNames(), k.f.o.Name)
	k.voteMu.Lock()
	defer k.voteMu.Unlock()
	now := time.Now()
	return k.voter.KeyState(now, key, scope), max(k.voter.AbstainsUntil().Sub(now), 0), voting
}

// catchUp has this instance's voter, where it was started anew, learn from the others what it may have agreed to before.
func (f *Fleet) catchUp() {
	for {
		select {
		case <-f.done:
			return
		case <-time.After(wantWait/2 + rand.N(wantWait)):
		}
		f.voteMu.Lock()
		now := time.Now()
		silent := now.Before(f.voter.AbstainsUntil())
		wants := f.voter.NeedsSnapshots(now)
		f.voteMu.Unlock()
		if !silent {
			return
		}
		if !wants {
			continue
		}
		for _, name := range f.voterNames() {
			if name == f.o.Name {
				continue
			}
			f.voteMu.Lock()
			c := f.catches[name]
			var want uint64
			if c == nil || !c.done && now.Sub(c.moved) >= partWait {
				want = rand.Uint64() | 1
				f.catches[name] = &catch{want: want, got: map[int]bool{}, moved: now}
			}
			f.voteMu.Unlock()
			if want != 0 {
				f.send(name, item{Want: want})
			}
		}
	}
}

// learn takes a part of a copy that was asked for.
func (f *Fleet) learn(from string, part *copyPart) {
	voters := f.voterNames()
	f.voteMu.Lock()
	defer f.voteMu.Unlock()
	c := f.catches[from]
	if !slices.Contains(voters, from) || c == nil || c.done || c.want != part.Want || c.got[part.Part] {
		return
	}
	now := time.Now()
	c.got[part.Part], c.moved = true, now
	f.voter.MergeSnapshot(now, part.Keys)
	if len(c.got) == part.Parts {
		c.done = true
		if f.voter.SnapshotCompleted(now, from, len(voters)); !now.Before(f.voter.AbstainsUntil()) {
			f.log.Info("voter speaks again", "keys", f.voter.Len())
		}
	}
}

// sendCopy sends all that this instance's voter knows, in parts.
func (f *Fleet) sendCopy(to string, want uint64) {
	f.voteMu.Lock()
	all, ok := f.voter.Snapshot(time.Now())
	f.voteMu.Unlock()
	if !ok {
		return
	}
	parts := slices.Collect(slices.Chunk(all, partKeys))
	if len(parts) == 0 {
		parts = [][]binding.KeyState{nil}
	}
	f.sendWhole(to, want, parts)
}
