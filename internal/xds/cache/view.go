package cache

import (
	"maps"
	"slices"
	"time"

	"silvertrail/internal/xds/ads"
)

// State is the state of a cluster.
type State uint8

// The states of a cluster.
const (
	Pending State = iota // it was not received yet, or its endpoints were not
	Missing              // it did not come in time, or cannot be used
	Ready
	Removed // a control plane has removed it, or its endpoints
)

// String returns the state in the words of the log and the tests.
func (s State) String() string { return [...]string{"waiting", "missing", "ready", "removed"}[s] }

// ClusterView is a cluster with its endpoints as they are in force. It must not be changed.
type ClusterView struct {
	State   State
	Cluster *Cluster
	Set     *EndpointSet
	Stale   bool   // the set is older than its control plane allows
	Reason  string // of a state that is not Ready
}

// TakeChanged returns the clusters in use whose view may have changed since the last call, in order.
func (c *Cache) TakeChanged() []string {
	out := slices.Sorted(maps.Keys(c.changed))
	clear(c.changed)
	return out
}

// View returns a cluster as it is in force.
func (c *Cache) View(now time.Time, name string) ClusterView {
	e := c.entries[ads.Clusters][name]
	switch {
	case e == nil || e.isPending():
		return ClusterView{State: Pending, Reason: "the cluster has not been told yet"}
	case e.isRemoved():
		return ClusterView{State: Removed, Reason: "there is no such cluster"}
	case !e.isPresent():
		return ClusterView{State: Missing, Reason: e.missingReason()}
	}
	cluster := e.resource.Cluster
	switch {
	case cluster.Inline != nil:
		return ClusterView{State: Ready, Cluster: cluster, Set: cluster.Inline}
	case cluster.EndpointsFile != "":
		return ClusterView{State: Pending, Cluster: cluster, Reason: "its endpoints are in " + cluster.EndpointsFile}
	}
	return c.viewOfSet(now, cluster)
}

// viewOfSet returns the view of a cluster whose endpoint set a control plane sends.
func (c *Cache) viewOfSet(now time.Time, cluster *Cluster) ClusterView {
	switch e := c.entries[ads.Endpoints][cluster.ServiceName]; {
	case e == nil || e.isPending():
		return ClusterView{State: Pending, Cluster: cluster, Reason: "the endpoints have not been told yet"}
	case e.isRemoved():
		return ClusterView{State: Removed, Cluster: cluster, Reason: "there are no such endpoints"}
	case !e.isPresent():
		return ClusterView{State: Missing, Cluster: cluster, Reason: "endpoints: " + e.missingReason()}
	default:
		after := e.staleAfter()
		return ClusterView{State: Ready, Cluster: cluster, Set: e.resource.Set, Stale: after > 0 && now.Sub(e.receivedAt) >= after}
	}
}

// missingReason says why a resource is not in force.
func (e *entry) missingReason() string {
	if e.rejection.Reason == "" {
		return "an old word is held off"
	}
	return e.rejection.Reason
}
