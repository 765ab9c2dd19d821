package envoy

import (
	"errors"
	"fmt"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"silvertrail/internal/xds/cache"
)

// Defaults that Envoy's API documents for fields that are not set.
const (
	defaultConnectTimeout = 5 * time.Second
	defaultPanicThreshold = 0.5
)

// maxDNSNames is the maximum number of DNS names in a cluster. Each name is resolved separately.
const maxDNSNames = 256

// parseCluster translates a cluster that has passed validate. It still rejects unsupported values of supported fields.
func parseCluster(c *clusterv3.Cluster, warnings map[string]bool) (*cache.Cluster, error) {
	out := &cache.Cluster{ConnectTimeout: defaultConnectTimeout, PanicThreshold: defaultPanicThreshold}
	if t := c.ConnectTimeout; t != nil {
		if out.ConnectTimeout = t.AsDuration(); out.ConnectTimeout <= 0 {
			return nil, errors.New("connect_timeout: must be positive")
		}
	}
	if !isSupportedPolicy(c.LbPolicy) {
		return nil, fmt.Errorf("lb_policy: %s is not supported: no pick by the request", c.LbPolicy)
	}
	if l := c.CommonLbConfig; l != nil {
		if p := l.HealthyPanicThreshold; p != nil {
			out.PanicThreshold = p.Value / 100
		}
		out.LocalityWeighted = l.GetLocalityWeightedLbConfig() != nil
	}
	if err := parseCircuitBreakers(c, out, warnings); err != nil {
		return nil, err
	}
	if c.GetType() == clusterv3.Cluster_EDS {
		if c.LoadAssignment != nil {
			return nil, errors.New("load_assignment: goes with other types than EDS")
		}
		return out, parseEndpointsSource(c, out)
	}
	return out, parseInlineEndpoints(c, out)
}

// isSupportedPolicy reports whether a load-balancing policy is accepted. Policies that choose an endpoint by the content of the request
// are not. An accepted policy is not applied: silvertrail's own balancing policy ranks the endpoints instead.
func isSupportedPolicy(p clusterv3.Cluster_LbPolicy) bool {
	switch p {
	case clusterv3.Cluster_ROUND_ROBIN, clusterv3.Cluster_LEAST_REQUEST, clusterv3.Cluster_RANDOM, clusterv3.Cluster_LOAD_BALANCING_POLICY_CONFIG:
		return true
	}
	return false
}

// parseCircuitBreakers reads the limits on connections and requests of the default priority. A limit of 0 is rejected. Thresholds of
// other priorities are ignored with a warning.
func parseCircuitBreakers(c *clusterv3.Cluster, out *cache.Cluster, warnings map[string]bool) error {
	for _, t := range c.GetCircuitBreakers().GetThresholds() {
		if t.Priority != corev3.RoutingPriority_DEFAULT {
			warnings["circuit_breakers: those of high priority are passed over: requests have their worth"] = true
			continue
		}
		out.MaxConnections = int(t.MaxConnections.GetValue())
		out.MaxRequests = int(t.MaxRequests.GetValue())
		if t.MaxConnections != nil && out.MaxConnections == 0 || t.MaxRequests != nil && out.MaxRequests == 0 {
			return errors.New("circuit_breakers: a bound of 0 would stop the cluster: drain its endpoints, or drop its traffic")
		}
	}
	return nil
}

// parseInlineEndpoints reads the endpoints that a cluster of type STATIC, STRICT_DNS or LOGICAL_DNS carries in load_assignment.
func parseInlineEndpoints(c *clusterv3.Cluster, out *cache.Cluster) error {
	switch c.GetType() {
	case clusterv3.Cluster_STRICT_DNS:
		out.Resolution = cache.StrictDNS
	case clusterv3.Cluster_LOGICAL_DNS:
		out.Resolution = cache.LogicalDNS
	case clusterv3.Cluster_STATIC:
	default:
		return fmt.Errorf("type: %s is not supported", c.GetType())
	}
	if c.EdsClusterConfig != nil {
		return errors.New("eds_cluster_config: goes with type EDS alone")
	}
	if c.LoadAssignment == nil {
		return errors.New("load_assignment: missing")
	}
	var err error
	if out.Inline, err = parseEndpointSet(c.LoadAssignment, out.Resolution); err != nil {
		return fmt.Errorf("load_assignment: %w", err)
	}
	count := countEndpoints(out.Inline)
	if out.Resolution != cache.NoResolution && count > maxDNSNames {
		return fmt.Errorf("load_assignment: %d names, over %d", count, maxDNSNames)
	}
	if out.Resolution == cache.LogicalDNS && count != 1 {
		return fmt.Errorf("load_assignment: LOGICAL_DNS has one endpoint, not %d", count)
	}
	return nil
}

// parseEndpointsSource reads the source of an EDS cluster's endpoint set: the xDS stream or a file. The service name defaults to the name
// of the cluster.
func parseEndpointsSource(c *clusterv3.Cluster, out *cache.Cluster) error {
	out.ServiceName = c.GetEdsClusterConfig().GetServiceName()
	if out.ServiceName == "" {
		out.ServiceName = c.Name
	}
	source := c.GetEdsClusterConfig().GetEdsConfig()
	if v := source.GetResourceApiVersion(); v != corev3.ApiVersion_AUTO && v != corev3.ApiVersion_V3 {
		return fmt.Errorf("eds_cluster_config.eds_config.resource_api_version: %s is not supported, V3 is", v)
	}
	switch specifier := source.GetConfigSourceSpecifier().(type) {
	case *corev3.ConfigSource_Ads, *corev3.ConfigSource_Self:
	case *corev3.ConfigSource_Path:
		out.EndpointsFile = specifier.Path //nolint:staticcheck // control planes may still send the deprecated field
	case *corev3.ConfigSource_PathConfigSource:
		out.EndpointsFile = specifier.PathConfigSource.GetPath()
	default:
		return errors.New("eds_cluster_config.eds_config: must be ads, self or path_config_source")
	}
	return nil
}

func countEndpoints(s *cache.EndpointSet) int {
	count := 0
	for _, locality := range s.Localities {
		count += len(locality.Endpoints)
	}
	return count
}
