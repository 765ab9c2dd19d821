package cluster

import (
	"context"
	"log/slog"
	"slices"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/xds/cache"
)

// Discovery follows clusters of control planes.
type Discovery interface {
	// Follow reports a cluster's view, and again after each change, until ctx ends. Of changes that come faster than report returns
	// only the last is reported.
	Follow(ctx context.Context, resource string, report func(cache.ClusterView))
}

// XDS is a cluster of control planes as a source.
type XDS struct {
	Resource  string
	Priority  int      // that is used; cache.AllPriorities: all, by their health
	Zones     []string // of this process
	Zone      string   // of endpoints in other zones
	ZoneField string   // field of a locality that is the zone: "region", "zone" or "sub_zone"
	Server    string   // name server, for clusters whose endpoints are names
}

// run reports the cluster's endpoints until ctx ends.
func (x *XDS) run(ctx context.Context, report reportFunc, d Discovery, setLimits func(sourceLimits), log *slog.Logger) {
	if d == nil {
		log.Error("no control plane for a source")
		report(unreachable, nil)
		return
	}
	resolver := &nameResolver{source: x, log: log}
	defer resolver.stop()
	d.Follow(ctx, x.Resource, func(v cache.ClusterView) {
		switch v.State {
		case cache.Pending: // the list from before stays
			return
		case cache.Missing:
			log.Warn("cluster missing at its control plane, the last list is kept", "resource", x.Resource, "reason", v.Reason)
			report(unreachable, nil)
			return
		case cache.Removed:
			resolver.stop()
			report(fullList, nil)
			return
		}
		setLimits(sourceLimits{v.Cluster.ConnectTimeout, v.Cluster.MaxConnections, v.Cluster.MaxRequests, v.Set.DropFraction()})
		endpoints := cache.AssignTraffic(v.Cluster, v.Set, v.Stale, x.Priority)
		if v.Cluster.Resolution == cache.NoResolution {
			resolver.stop()
			report(fullList, x.entries(endpoints))
			return
		}
		resolver.follow(ctx, endpoints, v.Cluster.Resolution == cache.LogicalDNS, report)
	})
}

// statusOfUse translates an endpoint's use into the status of an entry.
var statusOfUse = [...]string{cache.Used: ready, cache.Standby: standby, cache.Unused: draining}

func (x *XDS) entries(endpoints []cache.AssignedEndpoint) (out []endpointlist.Endpoint) {
	for i := range endpoints {
		out = append(out, x.entry(&endpoints[i]))
	}
	return out
}

func (x *XDS) entry(e *cache.AssignedEndpoint) endpointlist.Endpoint {
	zone := map[string]string{"region": e.Locality.Region, "zone": e.Locality.Zone, "sub_zone": e.Locality.SubZone}[x.ZoneField]
	if !slices.Contains(x.Zones, zone) {
		zone = x.Zone
	}
	return endpointlist.Endpoint{Name: e.Name, Address: e.Address, Zone: zone, Group: e.Group, Status: statusOfUse[e.Use], SinceMS: e.SinceMS,
		Weight: e.TrafficShare}
}
