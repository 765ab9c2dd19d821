package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/fleet/ownership"
	"silvertrail/lbpolicy"
)

const (
	claimTimeout          = 500 * time.Millisecond // for the voters' responses, but at most half of the proposal's TTL
	unresponsiveTimeout   = 80 * time.Millisecond  // for the voters' responses, if no majority of the voters has responded recently
	proposalRetryInterval = 40 * time.Millisecond  // between two sends to voters that have not responded
)

// keyOwnership connects package ownership to the network. It holds this instance's voter and the claims in progress.
type keyOwnership struct {
	fleet *Fleet

	voterMu   sync.Mutex                   // guards voter and snapshots
	voter     *ownership.Voter             // present on every instance, because a reload may make the instance a voter
	snapshots map[string]*incomingSnapshot // by the voter that sends them

	claimsMu        sync.Mutex // guards the fields below
	responses       ownership.ResponseTracker
	claims          map[ownership.ClaimID]*claim
	lastClaimNumber uint64
}

// claim is a proposal in progress.
type claim struct {
	proposer        *ownership.Proposer
	voters          []string
	rounds          int           // number of times that the proposal was sent
	responseArrived chan struct{} // holds a token when a response has arrived
}

func (k *keyOwnership) start(f *Fleet, now time.Time) {
	k.fleet = f
	k.claims = map[ownership.ClaimID]*claim{}
	k.snapshots = map[string]*incomingSnapshot{}
	o := &f.options
	abstainFor := o.KeyRetention
	if o.NewFleet {
		abstainFor = 0
	}
	k.voter = ownership.NewVoter(now, ownership.VoterOptions{MaxKeys: o.MaxKeys, AbstainFor: abstainFor, MaxProposalTTL: o.MaxDeadline})
}

// NextClaimID returns a unique ID for the proposals of one request.
func (k *keyOwnership) NextClaimID() ownership.ClaimID {
	k.claimsMu.Lock()
	defer k.claimsMu.Unlock()
	k.lastClaimNumber++
	return ownership.ClaimID{Process: k.fleet.process, Number: k.lastClaimNumber}
}

// ClaimKey asks the voters to agree that the attempts of a key go to one place. It returns once the result is final, or Unknown
// if ctx ends, the claim times out or the instance is closed before that.
func (k *keyOwnership) ClaimKey(ctx context.Context, p ownership.Proposal) (ownership.State, idempotency.KeyState) {
	now := time.Now()
	voters := k.fleet.voterNames()
	if k.fleet.membership != nil && k.fleet.membership.isMinorityPartition(voters) {
		return ownership.Unknown, idempotency.KeyState{} // no majority is reachable: the request neither waits nor counts as in flight
	}
	c := &claim{proposer: ownership.NewProposer(now, p, len(voters)), voters: voters, responseArrived: make(chan struct{}, 1)}
	timeout := k.addClaim(now, p, c)
	defer k.removeClaim(p.Claim, c)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	retry := time.NewTicker(proposalRetryInterval)
	defer retry.Stop()
	for {
		k.sendProposal(c)
		state, keyState := k.awaitResponses(ctx, c, retry.C)
		if state != ownership.Pending {
			return state, keyState
		}
	}
}

// awaitResponses returns the state of a claim once it is final, or Pending when the proposal is due to be sent again.
func (k *keyOwnership) awaitResponses(ctx context.Context, c *claim, retry <-chan time.Time) (ownership.State, idempotency.KeyState) {
	for {
		if state, keyState := k.claimState(c); state != ownership.Pending {
			return state, keyState
		}
		select {
		case <-c.responseArrived:
		case <-retry:
			return ownership.Pending, idempotency.KeyState{}
		case <-ctx.Done():
			return ownership.Unknown, idempotency.KeyState{}
		case <-k.fleet.closed:
			return ownership.Unknown, idempotency.KeyState{}
		}
	}
}

func (k *keyOwnership) claimState(c *claim) (ownership.State, idempotency.KeyState) {
	k.claimsMu.Lock()
	defer k.claimsMu.Unlock()
	return c.proposer.State()
}

// addClaim records a claim, and returns how long it may take.
func (k *keyOwnership) addClaim(now time.Time, p ownership.Proposal, c *claim) time.Duration {
	k.claimsMu.Lock()
	defer k.claimsMu.Unlock()
	k.claims[p.Claim] = c
	return k.responses.Timeout(now, c.voters, min(claimTimeout, p.TTL/2), unresponsiveTimeout)
}

// removeClaim forgets a claim, unless a later claim with the same ID has replaced it.
func (k *keyOwnership) removeClaim(id ownership.ClaimID, c *claim) {
	k.claimsMu.Lock()
	defer k.claimsMu.Unlock()
	if k.claims[id] == c {
		delete(k.claims, id)
	}
}

// sendProposal sends a proposal to the voters that have not responded. Voters that are known to be unreachable receive it from
// the second round on.
func (k *keyOwnership) sendProposal(c *claim) {
	var deferred map[string]bool
	if k.fleet.membership != nil && c.rounds == 0 {
		deferred = k.fleet.membership.unreachableVoters(c.voters)
	}
	proposal, recipients := k.nextRound(c, deferred)
	self := k.fleet.options.Name
	for _, name := range recipients {
		if name != self {
			k.fleet.send(name, item{Proposal: &proposal})
			continue
		}
		if response, ok := k.castVote(proposal); ok {
			k.handleResponse(self, &response)
		}
	}
}

// nextRound returns the proposal and its recipients, and records that it is sent to them.
func (k *keyOwnership) nextRound(c *claim, deferred map[string]bool) (proposal ownership.Proposal, recipients []string) {
	k.claimsMu.Lock()
	defer k.claimsMu.Unlock()
	c.rounds++
	for i, name := range c.voters {
		if !c.proposer.IsAwaiting(i) || deferred[name] {
			continue
		}
		recipients = append(recipients, name)
		if name != k.fleet.options.Name {
			k.responses.ProposalSent(time.Now(), name)
		}
	}
	return c.proposer.Proposal(), recipients
}

// castVote has this instance's voter vote on a proposal.
func (k *keyOwnership) castVote(p ownership.Proposal) (ownership.Response, bool) {
	k.voterMu.Lock()
	defer k.voterMu.Unlock()
	return k.voter.Vote(time.Now(), p)
}

// releaseLocally tells this instance's voter that a request has ended.
func (k *keyOwnership) releaseLocally(r ownership.Release) {
	k.voterMu.Lock()
	defer k.voterMu.Unlock()
	k.voter.Release(time.Now(), r, k.fleet.options.MaxDeadline)
}

// handleResponse records a voter's response.
func (k *keyOwnership) handleResponse(from string, r *ownership.Response) {
	k.claimsMu.Lock()
	defer k.claimsMu.Unlock()
	k.responses.ResponseReceived(from)
	c := k.claims[r.Claim]
	if c == nil {
		return
	}
	c.proposer.Receive(slices.Index(c.voters, from), *r)
	select {
	case c.responseArrived <- struct{}{}:
	default:
	}
}

// Release tells the voters that a request has ended. If a message is lost, the voter only holds the key for longer.
func (f *Fleet) Release(r ownership.Release) {
	for _, name := range f.voterNames() {
		if name != f.options.Name {
			f.send(name, item{Release: &r})
			continue
		}
		f.releaseLocally(r)
	}
}

// VoterKeyState returns the state of a key in this instance's voter, and for how long the voter still abstains; ok is false if
// the instance is not a voter.
func (k *keyOwnership) VoterKeyState(key idempotency.KeyID, scope lbpolicy.Scope) (keyState idempotency.KeyState, abstainsFor time.Duration, ok bool) {
	isVoter := slices.Contains(k.fleet.voterNames(), k.fleet.options.Name)
	k.voterMu.Lock()
	defer k.voterMu.Unlock()
	now := time.Now()
	return k.voter.KeyState(now, key, scope), max(k.voter.AbstainsUntil().Sub(now), 0), isVoter
}

// HasVoters reports whether voters are configured, so that key ownership holds across the fleet.
func (f *Fleet) HasVoters() bool { return len(f.voterNames()) > 0 }

func (f *Fleet) voterNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.voters
}

// ReconfigureVoters sets a new list of voters. The change is rejected if some majority of the old list shares no voter with some
// majority of the new list. It is also rejected until KeyRetention has passed since the last change: keys that were granted
// under the list before that may still be held.
func (f *Fleet) ReconfigureVoters(voters []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	retention := f.options.KeyRetention
	switch {
	case slices.Equal(voters, f.voters):
		return nil
	case !ownership.CanReconfigure(f.voters, voters):
		return fmt.Errorf("fleet: voters %q cannot replace %q in one step: add or remove one voter at a time", voters, f.voters)
	case now.Before(f.votersChangedAt.Add(retention)):
		return fmt.Errorf("fleet: voters were last changed %v ago: the next change is allowed %v after the last one",
			now.Sub(f.votersChangedAt).Round(time.Second), retention)
	}
	f.voters, f.votersChangedAt = voters, now
	f.retainVoters(voters)
	f.log.Info("voters changed", "voters", voters)
	return nil
}

// retainVoters forgets the responses that are pending from instances that are no longer voters.
func (k *keyOwnership) retainVoters(voters []string) {
	names := make(map[string]bool, len(voters))
	for _, name := range voters {
		names[name] = true
	}
	k.claimsMu.Lock()
	defer k.claimsMu.Unlock()
	k.responses.Retain(names)
}
