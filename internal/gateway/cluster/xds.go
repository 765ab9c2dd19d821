package cluster

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/xds/cache"
)

// Discovery tells of clusters in xDS form.
type Discovery interface {
	// Follow tells how a cluster stands, and again with each change, until ctx ends. Of changes that come faster than say
	// returns only the last is told.
	Follow(ctx context.Context, resource string, say func(cache.ClusterView))
}

// XDS is a cluster in xDS form.
type XDS struct {
	Resource  string
	Priority  int      // of failover; cache.AllLevels: all, as the health of each has it
	Zones     []string // that there are
	Zone      string   // of endpoints in another one
	ZoneField string   // of a locality, that names its zone: "region", "zone" or "sub_zone"
	Server    string   // name server, for clusters whose endpoints are names
}

// run says what the control plane tells, until ctx ends.
func (x *XDS) run(ctx context.Context, say reportFunc, d Discovery, bound func(sourceLimits), log *slog.Logger) {
	if d == nil {
		log.Error("cluster: there is no control plane")
		say(unreachable, nil)
		return
	}
	names := &nameResolver{source: x, log: log}
	defer names.stop()
	d.Follow(ctx, x.Resource, func(v cache.ClusterView) {
		switch v.State {
		case cache.Pending: // what was said before stands
			return
		case cache.Missing:
			log.Warn("xds: what it said last stands", "resource", x.Resource, "why", v.Reason)
			say(unreachable, nil)
			return
		case cache.Removed:
			names.stop()
			say(fullList, nil)
			return
		}
		bound(sourceLimits{v.Cluster.ConnectTimeout, v.Cluster.MaxConnections, v.Cluster.MaxRequests, v.Set.DropFraction()})
		members := cache.AssignTraffic(v.Cluster, v.Set, v.Stale, x.Priority)
		if v.Cluster.Resolution == cache.NoResolution {
			names.stop()
			say(fullList, x.entries(members))
			return
		}
		names.follow(ctx, members, v.Cluster.Resolution == cache.LogicalDNS, say)
	})
}

// statusOfUse are a member's use in the words of a list.
var statusOfUse = [...]string{cache.Used: ready, cache.Standby: standby, cache.Unused: draining}

func (x *XDS) entries(members []cache.AssignedEndpoint) (out []endpointlist.Endpoint) {
	for i := range members {
		out = append(out, x.entry(&members[i]))
	}
	return out
}

func (x *XDS) entry(m *cache.AssignedEndpoint) endpointlist.Endpoint {
	zone := map[string]string{"region": m.Locality.Region, "zone": m.Locality.Zone, "sub_zone": m.Locality.SubZone}[x.ZoneField]
	if !slices.Contains(x.Zones, zone) {
		zone = x.Zone
	}
	return endpointlist.Endpoint{Name: m.Name, Address: m.Address, Zone: zone, Group: m.Group, Status: statusOfUse[m.Use], SinceMS: m.SinceMS,
		Weight: m.TrafficShare}
}

// nameResolver follow the names of endpoints that are no addresses. What they find together is the source's list.
type nameResolver struct {
	source *XDS
	log    *slog.Logger

	mu         sync.Mutex
	names      []cache.AssignedEndpoint // that are followed
	cancel     context.CancelFunc
	generation int
	resolved   map[string][]endpointlist.Endpoint // by name and port; nil: nothing found yet
	tasks      sync.WaitGroup
}

// follow starts to look the members' names up, in place of those before. A change of their weights or states alone asks no name server.
func (l *nameResolver) follow(ctx context.Context, members []cache.AssignedEndpoint, one bool, say reportFunc) {
	l.mu.Lock()
	same := l.cancel != nil && slices.EqualFunc(l.names, members, func(a, b cache.AssignedEndpoint) bool { return a.Address == b.Address })
	l.mu.Unlock()
	if !same {
		l.stop()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names = members
	if same {
		l.report(say)
		return
	}
	ctx, l.cancel = context.WithCancel(ctx)
	l.generation++
	turn := l.generation
	l.resolved = map[string][]endpointlist.Endpoint{}
	if len(members) == 0 {
		l.report(say)
	}
	for _, m := range members {
		host, port, _ := net.SplitHostPort(m.Address)
		n, _ := strconv.Atoi(port)
		if net.ParseIP(host) != nil {
			l.resolved[m.Address] = []endpointlist.Endpoint{{Address: m.Address}}
			l.report(say)
			continue
		}
		d := &DNS{Name: host, Port: uint16(n), Server: l.source.Server}
		l.tasks.Go(func() {
			d.run(ctx, func(w updateKind, entries []endpointlist.Endpoint) {
				l.mu.Lock()
				defer l.mu.Unlock()
				if l.generation != turn {
					return
				}
				if w == unreachable {
					if l.resolved[m.Address] == nil {
						say(unreachable, nil)
					}
					return
				}
				if one && len(entries) > 1 {
					entries = entries[:1]
				}
				l.resolved[m.Address] = append([]endpointlist.Endpoint{}, entries...)
				l.report(say)
			}, l.log)
		})
	}
}

// report says what has been found, once each name has been. The caller holds the lock.
func (l *nameResolver) report(say reportFunc) {
	var out []endpointlist.Endpoint
	for i := range l.names {
		m := &l.names[i]
		found := l.resolved[m.Address]
		if found == nil {
			return
		}
		for _, f := range found {
			e := l.source.entry(m)
			e.Address = f.Address
			if len(found) > 1 {
				e.Name = "" // one name for several would make them one
				e.Weight /= float64(len(found))
			}
			out = append(out, e)
		}
	}
	say(fullList, out)
}

// stop ends all lookups and waits until they have.
func (l *nameResolver) stop() {
	l.mu.Lock()
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
	}
	l.generation++
	l.mu.Unlock()
	l.tasks.Wait()
}
