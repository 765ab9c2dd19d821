package gateway

import (
	"maps"
	"slices"
	"time"

	"silvertrail/internal/sites/peering"
)

const (
	leaveTimeout  = 2 * time.Second        // for the fleet's members to learn that this one leaves
	linkFlushTime = 200 * time.Millisecond // after the deadline of a shutdown, to write the last responses to other sites
)

// Shutdown shuts down gracefully: clients are served on for half of the shutdown time, then connections are closed after the responses that
// they wait for. When the time is over each request has its response, whichever configuration it began under.
func (g *Gateway) Shutdown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.draining.Store(true) // other sites learn it with the next heartbeat
	s := g.state.Load()
	g.endRequests(s.file.Process.ShutdownTime)
	g.closeTransport()
	if g.fleet != nil { // after the requests, whose keys need its votes
		g.fleet.Leave(leaveTimeout)
	}
	g.closeServices()
	g.release(s)
}

// endRequests waits until all requests have their responses. The deadline goes to whoever may hold one up: the clusters of all states in
// use, the exchanges themselves, the listeners, removed ones included, and the link, whose responses other sites wait for.
func (g *Gateway) endRequests(shutdownTime time.Duration) {
	now := time.Now()
	serveUntil := now.Add(shutdownTime / 2)
	deadline := now.Add(shutdownTime)
	g.shutdown.set(deadline)
	for _, c := range g.clusters.all() {
		c.ShutDownBy(deadline)
	}
	for _, b := range g.listeners {
		g.ending.Go(func() { b.Shutdown(serveUntil, deadline) })
	}
	if transport := g.transport.Load(); transport != nil {
		g.ending.Go(func() { drainTransport(transport, serveUntil, deadline) })
	}
	g.ending.Wait()
}

// drainTransport serves other sites until serveUntil, and then waits for the last responses to them.
func drainTransport(transport *peering.Transport, serveUntil, deadline time.Time) {
	time.Sleep(time.Until(serveUntil))
	transport.Drain(deadline.Add(linkFlushTime))
}

// drainRemoved ends a listener that a reload has removed, after the responses to its requests. A shutdown ends it earlier.
func (g *Gateway) drainRemoved(b *boundListener) {
	g.removed.add(b)
	g.ending.Go(func() {
		defer g.removed.remove(b)
		if !b.Drain(g.shutdown.begun) {
			b.Shutdown(time.Now(), *g.shutdown.at.Load())
		}
	})
}

// Close ends everything at once.
func (g *Gateway) Close() {
	g.mu.Lock()
	listeners := slices.AppendSeq(g.removed.all(), maps.Values(g.listeners))
	g.mu.Unlock()
	for _, b := range listeners {
		_ = b.Server.Close() // closes a listener that may be closed already
	}
	g.closeTransport()
	if g.fleet != nil {
		g.fleet.Close()
	}
	g.closeServices()
}

func (g *Gateway) closeTransport() {
	if transport := g.transport.Load(); transport != nil {
		transport.Close()
	}
}

// closeServices closes what requests need no more: discovery, the control plane, the control socket and the ledger.
func (g *Gateway) closeServices() {
	if g.discovery != nil {
		g.discovery.Close()
	}
	if g.controlPlane != nil {
		g.controlPlane.Close()
	}
	g.closeControl()
	if g.ledger != nil {
		g.ledger.Close()
	}
}
