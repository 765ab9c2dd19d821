package discovery

import (
	"context"
	"net/http"
	"time"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/platform/discoverypoll"
)

// This file: lists that are pushed, by an agent on the machine of the instance. It answers at once, at no cost, with what
// it has been sent, and that counts as told whether or not a watch is open (the platform's STANDING page). While
// discovery is down it is silent; what it gets at the return counts at once. A call that it took in while it was silent
// is never answered, nor is a watch that was open then.
//
// So an instance that waits on one call hears of the return when that call is given up, and has to know of a drain
// within its grace (250 ms by the settings so far) of the return. It guards against that, and against watches that die
// without a word, by calls that are given up soon. What they cost the agent is nothing; an address that is no agent but
// far away pays for them with some ten calls a second while it is silent.
const (
	agentWait = 1 * time.Second // of a watch: discovery may be down for as long before that shows
	// promptTimeout is how long an agent's first byte, and its last after that, may take past the wait.
	promptTimeout = 100 * time.Millisecond
	retryInterval = 20 * time.Millisecond // between two calls; past 200 ms a watch would lapse

	// One that is slower than prompt, or has a list that takes longer, is heard by a call that waits for this long.
	patientTimeout       = 3 * time.Second
	patientBodyTimeout   = 1 * time.Second // for the rest of its answer
	patientRetryInterval = 1 * time.Second // between two of these
)

// followAgent follows an agent's list until ctx ends.
func (c *Client) followAgent(ctx context.Context, addr string) {
	changes := discoverypoll.Call{Wait: agentWait, FirstByteTimeout: agentWait + promptTimeout, BodyTimeout: promptTimeout}
	for whole := true; ctx.Err() == nil; c.pause(ctx, retryInterval) {
		var list endpointlist.List
		var err error
		if whole {
			list, err = c.fetchSnapshot(ctx, addr)
		} else {
			list, err = c.get(ctx, c.http, c.url(addr, false, changes), changes)
		}
		if err == nil {
			err = c.apply(ctx, list, whole)
		}
		if whole = err != nil; whole && ctx.Err() == nil {
			c.log.Warn("discovery: "+err.Error(), "address", addr)
		}
	}
}

// fetchSnapshot asks for the whole list until an answer has come, or ctx ends: by calls that are given up soon, one after the
// other, and beside them by one that is patient. What comes first counts, and ends the other.
func (c *Client) fetchSnapshot(ctx context.Context, addr string) (endpointlist.List, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	url := c.url(addr, true, discoverypoll.Call{})
	came := make(chan endpointlist.List)
	ask := func(by *http.Client, call discoverypoll.Call, gap time.Duration, failed func(error)) {
		for ctx.Err() == nil {
			list, err := c.get(ctx, by, url, call)
			if err == nil {
				select {
				case came <- list:
				case <-ctx.Done():
				}
				return
			}
			if ctx.Err() == nil {
				failed(err)
			}
			c.pause(ctx, gap)
		}
	}
	go ask(c.http, discoverypoll.Call{FirstByteTimeout: patientTimeout, BodyTimeout: patientBodyTimeout}, patientRetryInterval, func(err error) {
		c.log.Warn("discovery: "+err.Error(), "address", addr)
	})
	go func() {
		c.pause(ctx, promptTimeout) // the other call's, where the agent is well
		ask(c.probeClient, discoverypoll.Call{FirstByteTimeout: promptTimeout, BodyTimeout: promptTimeout}, retryInterval, func(error) {})
	}()
	select {
	case list := <-came:
		return list, nil
	case <-ctx.Done():
		return endpointlist.List{}, ctx.Err()
	}
}
