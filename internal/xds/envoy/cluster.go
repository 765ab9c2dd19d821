package envoy

import (
	"errors"
	"fmt"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"silvertrail/internal/xds/cache"
)

// Of the API's documentation, where a field is not told.
const (
	defaultConnectTimeout = 5 * time.Second
	defaultPanicThreshold = 0.5
)

const maxDNSNames = 256 // of a cluster, looked up one by one

// parseCluster translates a cluster that holds nothing which is not supported.
func parseCluster(c *clusterv3.Cluster, warned map[string]bool) (*cache.Cluster, error) {
	out := &cache.Cluster{ConnectTimeout: defaultConnectTimeout, PanicThreshold: defaultPanicThreshold}
	if t := c.ConnectTimeout; t != nil {
		if out.ConnectTimeout = t.AsDuration(); out.ConnectTimeout <= 0 {
			return nil, errors.New("connect_timeout: must be positive")
		}
	}
	if p := c.LbPolicy; p != clusterv3.Cluster_ROUND_ROBIN && p != clusterv3.Cluster_LEAST_REQUEST && p != clusterv3.Cluster_RANDOM &&
		p != clusterv3.Cluster_LOAD_BALANCING_POLICY_CONFIG {
		return nil, fmt.Errorf("lb_policy: %s is not supported: no pick by the request", p)
	}
	if l := c.CommonLbConfig; l != nil {
		if p := l.HealthyPanicThreshold; p != nil {
			out.PanicThreshold = p.Value / 100
		}
		out.LocalityWeighted = l.GetLocalityWeightedLbConfig() != nil
	}
	for _, t := range c.GetCircuitBreakers().GetThresholds() {
		if t.Priority != corev3.RoutingPriority_DEFAULT {
			warned["circuit_breakers: those of high priority are passed over: requests have their worth"] = true
			continue
		}
		out.MaxConnections, out.MaxRequests = int(t.MaxConnections.GetValue()), int(t.MaxRequests.GetValue())
		if t.MaxConnections != nil && out.MaxConnections == 0 || t.MaxRequests != nil && out.MaxRequests == 0 {
			return nil, errors.New("circuit_breakers: a bound of 0 would stop the cluster: drain its endpoints, or drop its traffic")
		}
	}
	switch c.GetType() {
	case clusterv3.Cluster_EDS:
		if c.LoadAssignment != nil {
			return nil, errors.New("load_assignment: goes with other types than EDS")
		}
		return out, parseEndpointsSource(c, out)
	case clusterv3.Cluster_STRICT_DNS:
		out.Resolution = cache.StrictDNS
	case clusterv3.Cluster_LOGICAL_DNS:
		out.Resolution = cache.LogicalDNS
	case clusterv3.Cluster_STATIC:
	default:
		return nil, fmt.Errorf("type: %s is not supported", c.GetType())
	}
	if c.EdsClusterConfig != nil {
		return nil, errors.New("eds_cluster_config: goes with type EDS alone")
	}
	if c.LoadAssignment == nil {
		return nil, errors.New("load_assignment: missing")
	}
	var err error
	if out.Inline, err = parseEndpointSet(c.LoadAssignment, out.Resolution); err != nil {
		return nil, fmt.Errorf("load_assignment: %w", err)
	}
	if n := countEndpoints(out.Inline); out.Resolution != cache.NoResolution && n > maxDNSNames {
		return nil, fmt.Errorf("load_assignment: %d names, over %d", n, maxDNSNames)
	}
	if n := countEndpoints(out.Inline); out.Resolution == cache.LogicalDNS && n != 1 {
		return nil, fmt.Errorf("load_assignment: LOGICAL_DNS has one endpoint, not %d", n)
	}
	return out, nil
}

// parseEndpointsSource reads where a cluster's endpoint set is found.
func parseEndpointsSource(c *clusterv3.Cluster, out *cache.Cluster) error {
	out.ServiceName = c.GetEdsClusterConfig().GetServiceName()
	if out.ServiceName == "" {
		out.ServiceName = c.Name
	}
	from := c.GetEdsClusterConfig().GetEdsConfig()
	if v := from.GetResourceApiVersion(); v != corev3.ApiVersion_AUTO && v != corev3.ApiVersion_V3 {
		return fmt.Errorf("eds_cluster_config.eds_config.resource_api_version: %s is not supported, V3 is", v)
	}
	switch of := from.GetConfigSourceSpecifier().(type) {
	case *corev3.ConfigSource_Ads, *corev3.ConfigSource_Self:
	case *corev3.ConfigSource_Path:
		out.EndpointsFile = of.Path
	case *corev3.ConfigSource_PathConfigSource:
		out.EndpointsFile = of.PathConfigSource.GetPath()
	default:
		return errors.New("eds_cluster_config.eds_config: must be ads, self or path_config_source")
	}
	return nil
}

func countEndpoints(s *cache.EndpointSet) (n int) {
	for _, l := range s.Localities {
		n += len(l.Endpoints)
	}
	return n
}
