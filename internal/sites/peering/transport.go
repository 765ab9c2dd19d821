package peering

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
)

// Transport connects this gateway to the gateways of all other sites. Its methods may be called concurrently.
type Transport struct {
	options     Options
	log         *slog.Logger
	processID   uint64
	startedAt   time.Time
	credentials *credentials // nil: connections without TLS
	server      *server
	ctx         context.Context
	stop        context.CancelFunc
	goroutines  sync.WaitGroup

	mu       sync.Mutex
	table    *forwarding.Table
	gateways map[string][]*gateway // by site
}

// Start opens the listener and keeps this gateway connected to the gateways of all peers until Close.
func Start(o Options) (*Transport, error) {
	o.Connections = o.connections()
	t := &Transport{
		options:   o,
		log:       o.Logger.With("sala", o.Site),
		processID: rand.Uint64() | 1,
		startedAt: time.Now(),
		table:     forwarding.New(o.PriorityWeights, nil),
		gateways:  map[string][]*gateway{},
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	var err error
	if o.Identity != nil {
		t.credentials, err = newCredentials(*o.Identity, t.log)
	} else {
		err = checkLoopback(o.Listen)
	}
	if err != nil {
		return nil, err
	}
	if t.server, err = t.listen(); err != nil {
		return nil, err
	}
	t.Update(o)
	return t, nil
}

// checkLoopback returns an error for a listen address that is not a loopback address.
func checkLoopback(address string) error {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil || !resolved.IP.IsLoopback() {
		return errors.New("link: connections without TLS are allowed on loopback addresses only")
	}
	return nil
}

// Addr returns the address of the listener.
func (t *Transport) Addr() string { return t.server.listener.Addr().String() }

// clock returns the time since the start of the Transport in microseconds, which messages carry as Clock.
func (t *Transport) clock() int64 { return time.Since(t.startedAt).Microseconds() }

// Update applies new peers and priority weights. Other changes need a restart and are logged.
func (t *Transport) Update(o Options) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.needsRestart(t.options) {
		t.log.Warn("restart needed for the rest of the link block")
	}
	t.table.SetPriorityWeights(o.PriorityWeights)
	configured := map[string]bool{}
	for _, peer := range o.Peers {
		configured[peer.Name] = true
		t.updatePeer(peer)
	}
	for name, gateways := range t.gateways {
		if configured[name] {
			continue
		}
		for _, g := range gateways {
			g.cancel()
		}
		delete(t.gateways, name)
		t.table.Remove(name)
	}
}

// updatePeer starts gateways for new addresses of a site and stops those of removed addresses. The caller holds the lock.
func (t *Transport) updatePeer(peer Peer) {
	t.table.Add(peer.Name)
	current := t.gateways[peer.Name]
	var next []*gateway
	for _, address := range peer.Addresses {
		i := slices.IndexFunc(current, func(g *gateway) bool { return g.address == address })
		if i >= 0 {
			next = append(next, current[i])
			continue
		}
		g := newGateway(t, peer.Name, address)
		next = append(next, g)
		t.goroutines.Go(g.run)
	}
	for _, g := range current {
		if !slices.Contains(next, g) {
			g.cancel()
		}
	}
	t.gateways[peer.Name] = next
	t.updateSite(peer.Name)
}

// gatewaysInOrder returns the gateways of a site in the order in which they are tried for a request. If the site has several
// gateways, disconnected ones are left out.
func (t *Transport) gatewaysInOrder(site string) []*gateway {
	t.mu.Lock()
	all := slices.Clone(t.gateways[site])
	availability := make([]forwarding.Gateway, len(all))
	for i, g := range all {
		availability[i] = g.availability
	}
	t.mu.Unlock()
	if len(all) == 1 {
		return all
	}
	for i, g := range all {
		availability[i].InFlight = g.inFlight()
	}
	var out []*gateway
	for _, i := range forwarding.OrderGateways(availability) {
		out = append(out, all[i])
	}
	return out
}

// gatewayCounts returns the largest number of gateways of one site, and the number of gateways of all sites.
func (t *Transport) gatewayCounts() (most, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, gateways := range t.gateways {
		most = max(most, len(gateways))
		all += len(gateways)
	}
	return most, all
}

// isPeer reports whether a site is configured.
func (t *Transport) isPeer(site string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gateways[site] != nil
}

// markConnected records the state and the round trip from a gateway's response to a heartbeat.
func (t *Transport) markConnected(g *gateway, state forwarding.State, roundTrip time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g.availability.Connected, g.availability.State, g.availability.RoundTrip = true, state, roundTrip
	t.updateSite(g.site)
}

// markDisconnected records that a gateway has no session in use.
func (t *Transport) markDisconnected(g *gateway) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g.availability.Connected = false
	t.updateSite(g.site)
}

// updateSite updates the forwarding table from the states of a site's gateways. The caller holds the lock.
func (t *Transport) updateSite(site string) {
	var gateways []forwarding.Gateway
	for _, g := range t.gateways[site] {
		gateways = append(gateways, g.availability)
	}
	order := forwarding.OrderGateways(gateways)
	if len(order) == 0 {
		t.table.MarkDisconnected(site)
		return
	}
	t.table.UpdateState(site, forwarding.SiteState(gateways), gateways[order[0]].RoundTrip)
}

// Pick chooses the site to which a request is forwarded, as forwarding.Table does. The caller must report the result for the
// returned site to RecordResult.
func (t *Transport) Pick(r forwarding.Request) (site string, retryAfter time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Pick(time.Now(), r)
}

// RecordResult records the result of a request for which Pick returned a site.
func (t *Transport) RecordResult(site string, weight float64, result forwarding.Result, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.RecordResult(time.Now(), site, weight, result, retryAfter)
}

// ForwardResult is the result of forwarding a request, as far as it is known.
type ForwardResult struct {
	Response *Response               // nil if no response arrived
	Outcome  accounting.Outcome      // Pending until the request is settled
	Sent     bool                    // the request was counted; if false, no part of it was sent
	settled  chan accounting.Outcome // receives the outcome if Outcome is Pending
}

// Forward sends a request to a site and waits for its response. It tries the site's gateways in order until the request is
// sent to one.
func (t *Transport) Forward(ctx context.Context, site string, r *Request) ForwardResult {
	for _, g := range t.gatewaysInOrder(site) {
		if result := g.forward(ctx, r); result.Sent {
			return result
		}
	}
	return ForwardResult{Outcome: accounting.NeverRan}
}

// Settle waits until the outcome of a forwarded request is known. If ctx ends first, it returns Pending.
func (t *Transport) Settle(ctx context.Context, result ForwardResult) accounting.Outcome {
	if result.Outcome != accounting.Pending {
		return result.Outcome
	}
	select {
	case outcome := <-result.settled:
		result.settled <- outcome // keeps the outcome for further calls
		return outcome
	case <-ctx.Done():
		return accounting.Pending
	}
}

// Lookup asks all connected gateways of a site what they know about an idempotency key. If several know it, the location with the
// longest retry window is returned. Lookup returns an error if no gateway knows the key and any of them could not be asked.
func (t *Transport) Lookup(ctx context.Context, site string, id idempotency.KeyID) (KeyLocation, error) {
	gateways := t.gatewaysInOrder(site)
	if len(gateways) == 0 {
		return KeyLocation{}, fmt.Errorf("link: no sala named %q within reach", site)
	}
	found := make([]KeyLocation, len(gateways))
	errs := make([]error, len(gateways))
	var lookups sync.WaitGroup
	for i, g := range gateways {
		lookups.Go(func() { found[i], errs[i] = g.lookup(ctx, id) })
	}
	lookups.Wait()
	var latest KeyLocation
	for i, location := range found {
		if errs[i] == nil && location.Known && (!latest.Known || location.RetryWindow > latest.RetryWindow) {
			latest = location
		}
	}
	if latest.Known {
		return latest, nil
	}
	return latest, errors.Join(errs...)
}

// Drain asks the other sites to close their connections and waits until the requests in flight are answered, at most until
// the deadline.
func (t *Transport) Drain(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	t.server.drain(ctx)
}

// Close closes the listener and all connections immediately, and waits for all goroutines.
func (t *Transport) Close() {
	t.stop()
	t.server.close()
	t.goroutines.Wait()
}
