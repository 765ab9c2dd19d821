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
	Pending State = iota // the cluster or its endpoint set has not been received yet
	Missing              // the cluster or its endpoint set did not arrive in time, or was rejected
	Ready
	Removed // a control plane has removed the cluster or its endpoint set
)

// String returns the state's name in the log.
func (s State) String() string { return [...]string{"waiting", "missing", "ready", "removed"}[s] }

// ClusterView is the current state of a cluster with its endpoint set. It must not be modified.
type ClusterView struct {
	State   State
	Cluster *Cluster
	Set     *EndpointSet
	Stale   bool // the age of the set has reached the limit that its control plane set
	// Candidates may be newer than Cluster and Set. AssignTraffic uses only what they use too.
	Candidates []Source
	Reason     string // why the state is not Ready
}

// TakeChanged returns the clusters in use whose view may have changed since the last call, sorted.
func (c *Cache) TakeChanged() []string {
	out := slices.Sorted(maps.Keys(c.changed))
	clear(c.changed)
	return out
}

// View returns the current view of a cluster.
func (c *Cache) View(now time.Time, name string) ClusterView {
	e := c.entries[ads.Clusters][name]
	switch {
	case e == nil || e.isPending():
		return ClusterView{State: Pending, Reason: "the cluster has not been received yet"}
	case e.isRemoved():
		return ClusterView{State: Removed, Reason: "the control plane has removed the cluster"}
	case !e.isPresent():
		return ClusterView{State: Missing, Reason: e.missingReason()}
	}
	return c.restrictedView(c.currentView(now, e.resource.Cluster), e)
}

// currentView returns the view of a current cluster, without its candidates.
func (c *Cache) currentView(now time.Time, cluster *Cluster) ClusterView {
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
		return ClusterView{State: Pending, Cluster: cluster, Reason: "the endpoint set has not been received yet"}
	case e.isRemoved():
		return ClusterView{State: Removed, Cluster: cluster, Reason: "the control plane has removed the endpoint set"}
	case !e.isPresent():
		return ClusterView{State: Missing, Cluster: cluster, Reason: "endpoints: " + e.missingReason()}
	default:
		after := e.staleAfter()
		return ClusterView{State: Ready, Cluster: cluster, Set: e.resource.Set, Stale: after > 0 && now.Sub(e.receivedAt) >= after}
	}
}

// missingReason returns the reason why an entry has no current resource.
func (e *entry) missingReason() string {
	if e.rejection.Reason == "" {
		return "an outdated update is deferred"
	}
	return e.rejection.Reason
}
