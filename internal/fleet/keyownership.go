package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"silvertrail/decide"
	"silvertrail/internal/balancer/history"
	"silvertrail/internal/fleet/ownership"
)

const (
	claimTimeout          = 500 * time.Millisecond // for the voters, at the most; half of the time left where that is less
	unresponsiveTimeout   = 80 * time.Millisecond  // where most of them have been mute lately
	proposalRetryInterval = 40 * time.Millisecond  // those that have not answered
	recoveryInterval      = 500 * time.Millisecond // between two looks at whether copies are wanted
	snapshotPartTimeout   = 3 * time.Second        // without a further part a copy is taken for broken off
)

// keyOwnership is the part of a fleet that binds keys: this instance's voter, if it is one, and the asks that are under way.
type keyOwnership struct {
	fleet *Fleet

	voterMu   sync.Mutex
	voter     *ownership.Voter // of every instance: it may become one of the voters by a reload
	snapshots map[string]*incomingSnapshot

	claimsMu   sync.Mutex
	responses  ownership.ResponseTracker
	claims     map[ownership.AttemptID]*claim
	lastNumber uint64
}

// claim is an ask under way.
type claim struct {
	proposer  *ownership.Proposer
	voters    []string
	rounds    int           // of asks
	responded chan struct{} // holds a token when an answer has come
}

// incomingSnapshot is a copy that is being received from one voter.
type incomingSnapshot struct {
	requestID  uint64
	received   map[int]bool
	progressAt time.Time // when it was asked for, or its last part came
	complete   bool
}

func (k *keyOwnership) start(f *Fleet, now time.Time) {
	k.fleet, k.claims, k.snapshots = f, map[ownership.AttemptID]*claim{}, map[string]*incomingSnapshot{}
	silent := f.options.KeyRetention
	if f.options.NewFleet {
		silent = 0
	}
	k.voter = ownership.NewVoter(now, ownership.VoterOptions{MaxKeys: f.options.MaxKeys, AbstainFor: silent, MaxProposalTTL: f.options.MaxDeadline})
}

// NextAttemptID returns a number for a request's asks that no other request of this process has.
func (k *keyOwnership) NextAttemptID() ownership.AttemptID {
	k.claimsMu.Lock()
	defer k.claimsMu.Unlock()
	k.lastNumber++
	return ownership.AttemptID{Process: k.fleet.process, Number: k.lastNumber}
}

func (f *Fleet) voterNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.voters
}

// ClaimKey has the voters agree that a key's attempts go to a place. It returns when that is certain one way or the other,
// or when ctx ends or the time for it is over, which is Unknown.
func (k *keyOwnership) ClaimKey(ctx context.Context, a ownership.Proposal) (ownership.State, history.Past) {
	now := time.Now()
	voters := k.fleet.voterNames()
	if k.fleet.membership != nil && k.fleet.membership.isMinorityPartition(voters) {
		return ownership.Unknown, history.Past{} // nobody could agree: it neither waits nor counts as in flight
	}
	p := &claim{proposer: ownership.NewProposer(now, a, len(voters)), voters: voters, responded: make(chan struct{}, 1)}
	k.claimsMu.Lock()
	k.claims[a.Attempt] = p
	most := k.responses.Timeout(now, voters, min(claimTimeout, a.TTL/2), unresponsiveTimeout)
	k.claimsMu.Unlock()
	defer func() {
		k.claimsMu.Lock()
		defer k.claimsMu.Unlock()
		if k.claims[a.Attempt] == p {
			delete(k.claims, a.Attempt)
		}
	}()
	wait := time.NewTimer(most)
	defer wait.Stop()
	again := time.NewTicker(proposalRetryInterval)
	defer again.Stop()
	for {
		k.sendProposal(p)
		for asked := true; asked; {
			k.claimsMu.Lock()
			state, past := p.proposer.State()
			k.claimsMu.Unlock()
			if state != ownership.Pending {
				return state, past
			}
			select {
			case <-p.responded:
			case <-again.C:
				asked = false
			case <-ctx.Done():
				return ownership.Unknown, history.Past{}
			case <-wait.C:
				return ownership.Unknown, history.Past{}
			case <-k.fleet.closed:
				return ownership.Unknown, history.Past{}
			}
		}
	}
}

// sendProposal puts an ask to the voters that have not answered it.
func (k *keyOwnership) sendProposal(p *claim) {
	last := map[string]bool{} // those that are known not to be heard are asked in the second round
	if k.fleet.membership != nil && p.rounds == 0 {
		last = k.fleet.membership.unreachableVoters(p.voters)
	}
	k.claimsMu.Lock()
	p.rounds++
	a := p.proposer.Proposal()
	var to []int
	for i := range p.voters {
		if p.proposer.IsAwaiting(i) && !last[p.voters[i]] {
			to = append(to, i)
			if p.voters[i] != k.fleet.options.Name {
				k.responses.ProposalSent(time.Now(), p.voters[i])
			}
		}
	}
	k.claimsMu.Unlock()
	for _, i := range to {
		if p.voters[i] != k.fleet.options.Name {
			k.fleet.send(p.voters[i], item{Proposal: &a})
			continue
		}
		if answer, ok := k.castVote(a); ok {
			k.handleResponse(k.fleet.options.Name, &answer)
		}
	}
}

// castVote has this instance's voter answer an ask.
func (k *keyOwnership) castVote(a ownership.Proposal) (ownership.Response, bool) {
	k.voterMu.Lock()
	defer k.voterMu.Unlock()
	return k.voter.Vote(time.Now(), a)
}

// releaseLocally tells this instance's voter of an end.
func (k *keyOwnership) releaseLocally(e ownership.Release) {
	k.voterMu.Lock()
	defer k.voterMu.Unlock()
	k.voter.Release(time.Now(), e, k.fleet.options.MaxDeadline)
}

func (k *keyOwnership) handleResponse(from string, a *ownership.Response) {
	k.claimsMu.Lock()
	defer k.claimsMu.Unlock()
	k.responses.ResponseReceived(from)
	p := k.claims[a.Attempt]
	if p == nil {
		return
	}
	p.proposer.Receive(slices.Index(p.voters, from), *a)
	select {
	case p.responded <- struct{}{}:
	default:
	}
}

// Release tells the voters that a request is over. A word that is lost costs no more than a key that is held for longer.
func (f *Fleet) Release(e ownership.Release) {
	for _, name := range f.voterNames() {
		if name != f.options.Name {
			f.send(name, item{Release: &e})
			continue
		}
		f.releaseLocally(e)
	}
}

// retainVoters forgets what voters owe that are none any more.
func (k *keyOwnership) retainVoters(voters []string) {
	k.claimsMu.Lock()
	defer k.claimsMu.Unlock()
	names := make(map[string]bool, len(voters))
	for _, v := range voters {
		names[v] = true
	}
	k.responses.Retain(names)
}

// handlePacket takes what another instance has said.
func (f *Fleet) handlePacket(text []byte) {
	p, err := decode(text)
	if err != nil {
		f.log.Warn("packet passed over", "error", err)
		return
	}
	var back []item
	for _, i := range p.Items {
		switch {
		case i.Proposal != nil:
			if a, ok := f.castVote(*i.Proposal); ok {
				back = append(back, item{Response: &a})
			}
		case i.Response != nil:
			f.handleResponse(p.From, i.Response)
		case i.Release != nil:
			f.releaseLocally(*i.Release)
		case i.SnapshotRequest != 0:
			f.sendSnapshot(p.From, i.SnapshotRequest)
		case i.SnapshotPart != nil:
			f.handleSnapshotPart(p.From, i.SnapshotPart)
		case i.Membership != nil && f.membership != nil:
			f.membership.receive(i.Membership)
		case i.Gossip != nil && f.applied != nil:
			f.applied.receive(p.From, i.Gossip)
		}
	}
	if len(back) > 0 {
		f.send(p.From, back...)
	}
}

// VoterKeyState tells what the voter of this instance knows of a key; ok is false where it is none.
func (k *keyOwnership) VoterKeyState(key history.ID, scope decide.Scope) (p history.Past, silent time.Duration, ok bool) {
	voting := slices.Contains(k.fleet.voterNames(), k.fleet.options.Name)
	k.voterMu.Lock()
	defer k.voterMu.Unlock()
	now := time.Now()
	return k.voter.KeyState(now, key, scope), max(k.voter.AbstainsUntil().Sub(now), 0), voting
}

// recoverVoter has this instance's voter, where it was started anew, learn from the others what it may have agreed to before.
func (f *Fleet) recoverVoter() {
	for {
		select {
		case <-f.closed:
			return
		case <-time.After(recoveryInterval/2 + rand.N(recoveryInterval)):
		}
		f.voterMu.Lock()
		now := time.Now()
		silent := now.Before(f.voter.AbstainsUntil())
		wants := f.voter.NeedsSnapshots(now)
		f.voterMu.Unlock()
		if !silent {
			return
		}
		if !wants {
			continue
		}
		for _, name := range f.voterNames() {
			if name == f.options.Name {
				continue
			}
			f.voterMu.Lock()
			c := f.snapshots[name]
			var want uint64
			if c == nil || !c.complete && now.Sub(c.progressAt) >= snapshotPartTimeout {
				want = rand.Uint64() | 1
				f.snapshots[name] = &incomingSnapshot{requestID: want, received: map[int]bool{}, progressAt: now}
			}
			f.voterMu.Unlock()
			if want != 0 {
				f.send(name, item{SnapshotRequest: want})
			}
		}
	}
}

// handleSnapshotPart takes a part of a copy that was asked for.
func (f *Fleet) handleSnapshotPart(from string, part *snapshotPart) {
	voters := f.voterNames()
	f.voterMu.Lock()
	defer f.voterMu.Unlock()
	c := f.snapshots[from]
	if !slices.Contains(voters, from) || c == nil || c.complete || c.requestID != part.RequestID || c.received[part.Part] {
		return
	}
	now := time.Now()
	c.received[part.Part], c.progressAt = true, now
	f.voter.MergeSnapshot(now, part.Keys)
	if len(c.received) == part.Parts {
		c.complete = true
		if f.voter.SnapshotCompleted(now, from, len(voters)); !now.Before(f.voter.AbstainsUntil()) {
			f.log.Info("voter speaks again", "keys", f.voter.Len())
		}
	}
}

// sendSnapshot sends all that this instance's voter knows, in parts.
func (f *Fleet) sendSnapshot(to string, want uint64) {
	f.voterMu.Lock()
	all, ok := f.voter.Snapshot(time.Now())
	f.voterMu.Unlock()
	if !ok {
		return
	}
	parts := slices.Collect(slices.Chunk(all, maxPartKeys))
	if len(parts) == 0 {
		parts = [][]ownership.KeyState{nil}
	}
	f.sendSnapshotParts(to, want, parts)
}
