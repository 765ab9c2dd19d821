package discovery

import (
	"context"
	"net/http"
	"time"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/platform/discoverypoll"
)

// This file follows lists that an agent on the instance's host pushes. The agent responds at once and at no cost with the
// updates that it has received. An instance counts as notified of these updates whether or not a watch is open (the
// platform's STANDING page). While discovery is down the agent does not respond. An update that it receives afterwards
// counts as notified at once. A call that the agent accepted during the outage never gets a response, and neither does a
// watch that was open when the outage began.
//
// An instance with a single open call would therefore detect the end of an outage only when that call times out. It has to
// know of a draining endpoint within the endpoint's grace (250 ms in the settings so far) after the outage. Short timeouts
// meet this bound, and also detect watches whose connection died without an error. They cost the agent nothing. If the
// address belongs to a remote server instead of an agent, the server gets some ten calls a second while it does not respond.
const (
	agentWait = 1 * time.Second // wait of a watch; an outage of discovery is detected after this time at the latest
	// promptTimeout bounds the time from the end of the wait to the response's first byte, and from there to its last.
	promptTimeout = 100 * time.Millisecond
	retryInterval = 20 * time.Millisecond // pause between two calls; well within discoverypoll.NotificationGrace

	// Timeouts of the call that reads a list from a slow agent, or a long list.
	patientTimeout       = 3 * time.Second
	patientBodyTimeout   = 1 * time.Second // from the first byte to the last
	patientRetryInterval = 1 * time.Second // pause between two of these calls
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

// fetchSnapshot requests the whole list until a response arrives or ctx ends. It repeats calls with short timeouts, and
// repeats calls with long timeouts concurrently. The first response cancels the other call.
func (c *Client) fetchSnapshot(ctx context.Context, addr string) (endpointlist.List, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	url := c.url(addr, true, discoverypoll.Call{})
	received := make(chan endpointlist.List)
	retry := func(httpClient *http.Client, call discoverypoll.Call, interval time.Duration, onFailure func(error)) {
		for ctx.Err() == nil {
			list, err := c.get(ctx, httpClient, url, call)
			if err == nil {
				select {
				case received <- list:
				case <-ctx.Done():
				}
				return
			}
			if ctx.Err() == nil {
				onFailure(err)
			}
			c.pause(ctx, interval)
		}
	}
	go retry(c.http, discoverypoll.Call{FirstByteTimeout: patientTimeout, BodyTimeout: patientBodyTimeout}, patientRetryInterval, func(err error) {
		c.logFailure(err, addr)
	})
	go func() {
		c.pause(ctx, promptTimeout) // a working agent responds to the first call in this time
		retry(c.probeClient, discoverypoll.Call{FirstByteTimeout: promptTimeout, BodyTimeout: promptTimeout}, retryInterval, func(error) {})
	}()
	select {
	case list := <-received:
		return list, nil
	case <-ctx.Done():
		return endpointlist.List{}, ctx.Err()
	}
}
