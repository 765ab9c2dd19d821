package cluster

import (
	"context"
	"log/slog"
	"slices"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/xds/cache"
)

// Discovery follows clusters that control planes define.
type Discovery interface {
	// Follow reports a cluster's view, and again after each change, until ctx ends. If several changes occur while report runs, only
	// the last is reported.
	Follow(ctx context.Context, resource string, report func(cache.ClusterView))
}

// XDS is a source that follows a cluster of a control plane.
type XDS struct {
	Resource  string   // name of the cluster resource
	Priority  int      // priority to use; cache.AllPriorities uses all, depending on their health
	Zones     []string // zones of the process
	Zone      string   // zone assigned to endpoints in any other zone
	ZoneField string   // field of a locality that holds the zone: "region", "zone" or "sub_zone"
	Server    string   // name server, for clusters whose endpoints are names
}

// run reports the cluster's endpoints until ctx ends.
func (x *XDS) run(ctx context.Context, report reportFunc, d Discovery, setLimits func(sourceLimits), log *slog.Logger) {
	if d == nil {
		log.Error("xDS source has no control plane")
		report(unreachable, nil)
		return
	}
	resolver := newNameResolver(x, log)
	defer resolver.close()
	d.Follow(ctx, x.Resource, func(v cache.ClusterView) {
		switch v.State {
		case cache.Pending: // the last list stays in use
			return
		case cache.Missing:
			log.Warn("cluster not found at its control plane, the last list is kept", "resource", x.Resource, "reason", v.Reason)
			report(unreachable, nil)
			return
		case cache.Removed:
			resolver.replace(nil, report)
			return
		}
		setLimits(sourceLimits{v.Cluster.ConnectTimeout, v.Cluster.MaxConnections, v.Cluster.MaxRequests, v.Set.DropFraction()})
		endpoints := v.AssignTraffic(x.Priority)
		if v.Cluster.Resolution == cache.NoResolution {
			resolver.replace(x.entries(endpoints), report)
			return
		}
		resolver.follow(ctx, endpoints, v.Cluster.Resolution == cache.LogicalDNS, report)
	})
}

// statusOfUse maps an endpoint's use to the status of its entry.
var statusOfUse = [...]string{cache.Used: ready, cache.Standby: standby, cache.Unused: draining}

// entries returns the entries for assigned endpoints.
func (x *XDS) entries(endpoints []cache.AssignedEndpoint) (out []endpointlist.Endpoint) {
	for i := range endpoints {
		out = append(out, x.entry(&endpoints[i]))
	}
	return out
}

// entry returns the entry for an assigned endpoint. A locality outside Zones is replaced by Zone.
func (x *XDS) entry(e *cache.AssignedEndpoint) endpointlist.Endpoint {
	zone := map[string]string{"region": e.Locality.Region, "zone": e.Locality.Zone, "sub_zone": e.Locality.SubZone}[x.ZoneField]
	if !slices.Contains(x.Zones, zone) {
		zone = x.Zone
	}
	return endpointlist.Endpoint{Name: e.Name, Address: e.Address, Zone: zone, Group: e.Group, Status: statusOfUse[e.Use], SinceMS: e.SinceMS,
		Weight: e.TrafficShare}
}
