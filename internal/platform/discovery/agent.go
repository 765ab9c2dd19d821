package discovery

import (
	"context"
	"net/http"
	"time"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/platform/discoverypoll"
)

// This file follows lists that an agent on the instance's host pushes. It answers at once, at no cost, with what it was
// sent, and that counts as notified whether or not a watch is open (the platform's STANDING page). While discovery is down
// the agent is silent; what it receives afterwards counts at once. A call that it accepted while it was silent is never
// answered, nor is a watch that was open then.
//
// So an instance that waits for one call learns of the return only when that call times out, and has to know of a draining
// endpoint within its grace (250 ms by the settings so far) of the return. Short timeouts guard against that, and against
// watches that die silently. They cost the agent nothing; an address that is no agent but a remote server gets some ten
// calls a second while it is silent.
const (
	agentWait = 1 * time.Second // of a watch: discovery may be down for as long before it is noticed
	// promptTimeout bounds an agent's first byte beyond the wait, and its last byte after the first.
	promptTimeout = 100 * time.Millisecond
	retryInterval = 20 * time.Millisecond // between two calls; well within discoverypoll.NotificationGrace

	// A slower agent, or a longer list, is read by a call with longer timeouts.
	patientTimeout       = 3 * time.Second
	patientBodyTimeout   = 1 * time.Second // from the first byte
	patientRetryInterval = 1 * time.Second // between two of these calls
)

// followAgent follows an agent's list until ctx ends.
func (c *Client) followAgent(ctx context.Context, addr string) {
	changes := discoverypoll.Call{Wait: agentWait, FirstByteTimeout: agentWait + promptTimeout, BodyTimeout: promptTimeout}
	for snapshot := true; ctx.Err() == nil; c.pause(ctx, retryInterval) {
		var list endpointlist.List
		var err error
		if snapshot {
			list, err = c.fetchSnapshot(ctx, addr)
		} else {
			list, err = c.get(ctx, c.http, c.url(addr, false, changes), changes)
		}
		if err == nil {
			err = c.apply(ctx, list, snapshot)
		}
		snapshot = err != nil
		if snapshot && ctx.Err() == nil {
			c.logFailure(err, addr)
		}
	}
}

// fetchSnapshot requests the whole list until a response arrives or ctx ends: by calls with short timeouts, one after the
// other, and beside them by one with long timeouts. The first response ends the others.
func (c *Client) fetchSnapshot(ctx context.Context, addr string) (endpointlist.List, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	url := c.url(addr, true, discoverypoll.Call{})
	received := make(chan endpointlist.List)
	retry := func(by *http.Client, call discoverypoll.Call, gap time.Duration, failed func(error)) {
		for ctx.Err() == nil {
			list, err := c.get(ctx, by, url, call)
			if err == nil {
				select {
				case received <- list:
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
	go retry(c.http, discoverypoll.Call{FirstByteTimeout: patientTimeout, BodyTimeout: patientBodyTimeout}, patientRetryInterval, func(err error) {
		c.logFailure(err, addr)
	})
	go func() {
		c.pause(ctx, promptTimeout) // of the other call, which an agent without faults answers
		retry(c.probeClient, discoverypoll.Call{FirstByteTimeout: promptTimeout, BodyTimeout: promptTimeout}, retryInterval, func(error) {})
	}()
	select {
	case list := <-received:
		return list, nil
	case <-ctx.Done():
		return endpointlist.List{}, ctx.Err()
	}
}
