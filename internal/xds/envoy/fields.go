package envoy

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// Support is how a field that a control plane sets is handled.
type Support uint8

// Values of Support. A field that is not in Table is rejected.
const (
	Rejected  Support = iota // the whole resource is rejected
	Warned                   // the field is ignored and a warning is logged
	Supported                // the field has the meaning that Envoy documents
	Ignored                  // the field is ignored without a warning because it does not concern this program
)

// String returns the word that the command "xds fields" prints.
func (s Support) String() string { return [...]string{"refused", "warned", "used", "harmless"}[s] }

// Field is a row of Table.
type Field struct {
	Name    string // full protobuf name without "envoy.config."
	Support Support
	Note    string // reason or restriction; may be empty
}

// fieldNamePrefix is the common prefix of the full protobuf names of all fields in Table.
const fieldNamePrefix = "envoy.config."

// Table lists the fields of the API and how each is handled, grouped by message. Messages that only occur below an unsupported field are
// left out.
var Table = []Field{
	{"cluster.v3.Cluster.name", Supported, ""},
	{"cluster.v3.Cluster.type", Supported, "EDS, STATIC, STRICT_DNS, LOGICAL_DNS; ORIGINAL_DST is refused"},
	{"cluster.v3.Cluster.eds_cluster_config", Supported, ""},
	{"cluster.v3.Cluster.load_assignment", Supported, "of all types but EDS"},
	{"cluster.v3.Cluster.connect_timeout", Supported, "5 s where it is not told, as in Envoy"},
	{"cluster.v3.Cluster.circuit_breakers", Supported, ""},
	{"cluster.v3.Cluster.common_lb_config", Supported, ""},
	{"cluster.v3.Cluster.lb_policy", Supported, "ROUND_ROBIN, LEAST_REQUEST and RANDOM: the decisions rank, by latency and calls in flight; the others are refused"},
	{"cluster.v3.Cluster.load_balancing_policy", Warned, "the decisions rank"},
	{"cluster.v3.Cluster.least_request_lb_config", Warned, "the decisions rank"},
	{"cluster.v3.Cluster.round_robin_lb_config", Warned, "the decisions rank"},
	{"cluster.v3.Cluster.ring_hash_lb_config", Rejected, "no pick by a hash of the request"},
	{"cluster.v3.Cluster.maglev_lb_config", Rejected, "no pick by a hash of the request"},
	{"cluster.v3.Cluster.original_dst_lb_config", Rejected, "no clusters of that type"},
	{"cluster.v3.Cluster.lb_subset_config", Rejected, "no subsets by metadata"},
	{"cluster.v3.Cluster.cluster_type", Rejected, "no clusters of other types"},
	{"cluster.v3.Cluster.transport_socket", Rejected, "no TLS to endpoints: what is meant to be sealed is not sent in the open"},
	{"cluster.v3.Cluster.transport_socket_matches", Rejected, "no TLS to endpoints"},
	{"cluster.v3.Cluster.transport_socket_matcher", Rejected, "no TLS to endpoints"},
	{"cluster.v3.Cluster.typed_extension_protocol_options", Rejected, "HTTP/1.1 to endpoints"},
	{"cluster.v3.Cluster.http2_protocol_options", Rejected, "HTTP/1.1 to endpoints"},
	{"cluster.v3.Cluster.http_protocol_options", Warned, ""},
	{"cluster.v3.Cluster.common_http_protocol_options", Warned, "idle connections end as the cluster block says"},
	{"cluster.v3.Cluster.upstream_http_protocol_options", Rejected, "no TLS to endpoints"},
	{"cluster.v3.Cluster.upstream_bind_config", Rejected, "the system picks the source address"},
	{"cluster.v3.Cluster.upstream_connection_options", Warned, ""},
	{"cluster.v3.Cluster.upstream_config", Rejected, ""},
	{"cluster.v3.Cluster.filters", Rejected, "no network filters"},
	{"cluster.v3.Cluster.connection_pool_per_downstream_connection", Rejected, "connections are shared by all callers"},
	{"cluster.v3.Cluster.queuing_policies", Rejected, "what can't be served is refused at once"},
	{"cluster.v3.Cluster.health_checks", Warned, "endpoints are judged by the answers to calls"},
	{"cluster.v3.Cluster.outlier_detection", Warned, "endpoints are judged by the decisions' own rules"},
	{"cluster.v3.Cluster.max_requests_per_connection", Warned, ""},
	{"cluster.v3.Cluster.per_connection_buffer_limit_bytes", Warned, "bodies are bounded by the process"},
	{"cluster.v3.Cluster.per_connection_buffer_high_watermark_timeout", Warned, ""},
	{"cluster.v3.Cluster.dns_refresh_rate", Warned, "names are asked for anew when their answers' time to live is over"},
	{"cluster.v3.Cluster.dns_jitter", Warned, ""},
	{"cluster.v3.Cluster.dns_failure_refresh_rate", Warned, ""},
	{"cluster.v3.Cluster.respect_dns_ttl", Ignored, "it always is"},
	{"cluster.v3.Cluster.dns_lookup_family", Warned, "IPv4 and IPv6 alike"},
	{"cluster.v3.Cluster.dns_resolvers", Rejected, "the name server is told by the xds block"},
	{"cluster.v3.Cluster.dns_resolution_config", Rejected, "the name server is told by the xds block"},
	{"cluster.v3.Cluster.typed_dns_resolver_config", Rejected, "the name server is told by the xds block"},
	{"cluster.v3.Cluster.use_tcp_for_dns_lookups", Warned, ""},
	{"cluster.v3.Cluster.cleanup_interval", Ignored, ""},
	{"cluster.v3.Cluster.wait_for_warm_on_init", Ignored, "it always is, for two seconds"},
	{"cluster.v3.Cluster.close_connections_on_host_health_failure", Warned, "calls in work end by themselves"},
	{"cluster.v3.Cluster.ignore_health_on_host_removal", Ignored, "what is left out is gone"},
	{"cluster.v3.Cluster.lrs_server", Warned, "no load reports"},
	{"cluster.v3.Cluster.lrs_report_endpoint_metrics", Warned, "no load reports"},
	{"cluster.v3.Cluster.preconnect_policy", Warned, ""},
	{"cluster.v3.Cluster.protocol_selection", Warned, ""},
	{"cluster.v3.Cluster.metadata", Ignored, ""},
	{"cluster.v3.Cluster.alt_stat_name", Ignored, ""},
	{"cluster.v3.Cluster.stats_matcher", Ignored, ""},
	{"cluster.v3.Cluster.track_timeout_budgets", Ignored, ""},
	{"cluster.v3.Cluster.track_cluster_stats", Ignored, ""},

	{"cluster.v3.Cluster.EdsClusterConfig.eds_config", Supported, ""},
	{"cluster.v3.Cluster.EdsClusterConfig.service_name", Supported, "the cluster's name where it is not told"},
	{"cluster.v3.Cluster.CommonLbConfig.healthy_panic_threshold", Supported, "50 % where it is not told; what drains is not used even then"},
	{"cluster.v3.Cluster.CommonLbConfig.locality_weighted_lb_config", Supported, ""},
	{"cluster.v3.Cluster.CommonLbConfig.zone_aware_lb_config", Warned, "the decisions prefer the own zone at the cluster's crossing_price"},
	{"cluster.v3.Cluster.CommonLbConfig.update_merge_window", Ignored, "updates are merged as they come"},
	{"cluster.v3.Cluster.CommonLbConfig.ignore_new_hosts_until_first_hc", Warned, "there are no health checks"},
	{"cluster.v3.Cluster.CommonLbConfig.close_connections_on_host_set_change", Warned, "calls in work end by themselves"},
	{"cluster.v3.Cluster.CommonLbConfig.consistent_hashing_lb_config", Rejected, "no pick by a hash of the request"},
	{"cluster.v3.Cluster.CommonLbConfig.override_host_status", Rejected, "no pick by the request"},
	{"cluster.v3.CircuitBreakers.thresholds", Supported, "of the default priority; those of the high one are warned of"},
	{"cluster.v3.CircuitBreakers.per_host_thresholds", Warned, "the decisions bound what an endpoint has in flight"},
	{"cluster.v3.CircuitBreakers.Thresholds.priority", Supported, ""},
	{"cluster.v3.CircuitBreakers.Thresholds.max_connections", Supported, "within the cluster's \"most\""},
	{"cluster.v3.CircuitBreakers.Thresholds.max_requests", Supported, "within the cluster's \"most\""},
	{"cluster.v3.CircuitBreakers.Thresholds.max_pending_requests", Ignored, "nothing is queued"},
	{"cluster.v3.CircuitBreakers.Thresholds.max_retries", Warned, "the decisions hold a budget of further attempts"},
	{"cluster.v3.CircuitBreakers.Thresholds.retry_budget", Warned, "the decisions hold a budget of further attempts"},
	{"cluster.v3.CircuitBreakers.Thresholds.track_remaining", Ignored, ""},
	{"cluster.v3.CircuitBreakers.Thresholds.max_connection_pools", Ignored, ""},

	{"core.v3.ConfigSource.ads", Supported, ""},
	{"core.v3.ConfigSource.self", Supported, "the aggregated stream"},
	{"core.v3.ConfigSource.path", Supported, "as path_config_source"},
	{"core.v3.ConfigSource.path_config_source", Supported, ""},
	{"core.v3.ConfigSource.api_config_source", Rejected, "one aggregated stream brings all"},
	{"core.v3.ConfigSource.authorities", Rejected, "names without authorities"},
	{"core.v3.ConfigSource.initial_fetch_timeout", Warned, "the xds block's \"missing\" holds"},
	{"core.v3.ConfigSource.resource_api_version", Supported, "V3, or not told"},
	{"core.v3.PathConfigSource.path", Supported, ""},
	{"core.v3.PathConfigSource.watched_directory", Ignored, "the file itself is looked at"},
	{"core.v3.PathConfigSource.poll_interval", Ignored, ""},

	{"endpoint.v3.ClusterLoadAssignment.cluster_name", Supported, ""},
	{"endpoint.v3.ClusterLoadAssignment.endpoints", Supported, ""},
	{"endpoint.v3.ClusterLoadAssignment.named_endpoints", Rejected, ""},
	{"endpoint.v3.ClusterLoadAssignment.policy", Supported, ""},
	{"endpoint.v3.ClusterLoadAssignment.Policy.drop_overloads", Supported, "the least worthy go first"},
	{"endpoint.v3.ClusterLoadAssignment.Policy.overprovisioning_factor", Supported, "140 where it is not told"},
	{"endpoint.v3.ClusterLoadAssignment.Policy.endpoint_stale_after", Supported, "the endpoints count as unhealthy then"},
	{"endpoint.v3.ClusterLoadAssignment.Policy.weighted_priority_health", Supported, ""},
	{"endpoint.v3.ClusterLoadAssignment.Policy.DropOverload.category", Supported, ""},
	{"endpoint.v3.ClusterLoadAssignment.Policy.DropOverload.drop_percentage", Supported, ""},
	{"endpoint.v3.LocalityLbEndpoints.locality", Supported, "which of its parts is the zone, the cluster's xds block tells"},
	{"endpoint.v3.LocalityLbEndpoints.lb_endpoints", Supported, ""},
	{"endpoint.v3.LocalityLbEndpoints.load_balancing_weight", Supported, "with locality_weighted_lb_config"},
	{"endpoint.v3.LocalityLbEndpoints.priority", Supported, "levels of failover without a gap"},
	{"endpoint.v3.LocalityLbEndpoints.proximity", Warned, "the decisions know their own zone"},
	{"endpoint.v3.LocalityLbEndpoints.metadata", Ignored, ""},
	{"endpoint.v3.LocalityLbEndpoints.load_balancer_endpoints", Rejected, ""},
	{"endpoint.v3.LocalityLbEndpoints.leds_cluster_locality_config", Rejected, "no endpoints by a stream of their own"},
	{"endpoint.v3.LbEndpoint.endpoint", Supported, ""},
	{"endpoint.v3.LbEndpoint.endpoint_name", Rejected, ""},
	{"endpoint.v3.LbEndpoint.health_status", Supported, ""},
	{"endpoint.v3.LbEndpoint.load_balancing_weight", Supported, ""},
	{"endpoint.v3.LbEndpoint.metadata", Supported, "group and since_ms of filter_metadata \"silvertrail\"; the rest is for others"},
	{"endpoint.v3.Endpoint.address", Supported, ""},
	{"endpoint.v3.Endpoint.observability_name", Supported, "the endpoint's name; its address where it is not told"},
	{"endpoint.v3.Endpoint.hostname", Warned, "the caller's Host is passed on"},
	{"endpoint.v3.Endpoint.health_check_config", Warned, "there are no health checks"},
	{"endpoint.v3.Endpoint.additional_addresses", Warned, "the first address is used"},
	{"core.v3.Address.socket_address", Supported, ""},
	{"core.v3.Address.pipe", Rejected, "no sockets in the file system"},
	{"core.v3.Address.envoy_internal_address", Rejected, ""},
	{"core.v3.SocketAddress.address", Supported, ""},
	{"core.v3.SocketAddress.port_value", Supported, ""},
	{"core.v3.SocketAddress.protocol", Supported, "TCP"},
	{"core.v3.SocketAddress.named_port", Rejected, ""},
	{"core.v3.SocketAddress.resolver_name", Rejected, ""},
	{"core.v3.SocketAddress.ipv4_compat", Ignored, ""},
	{"core.v3.SocketAddress.network_namespace_filepath", Rejected, ""},
	{"core.v3.Locality.region", Supported, ""},
	{"core.v3.Locality.zone", Supported, ""},
	{"core.v3.Locality.sub_zone", Supported, ""},
	{"core.v3.Metadata.filter_metadata", Supported, ""},
	{"core.v3.Metadata.typed_filter_metadata", Ignored, ""},
}

// fieldsByName indexes Table by full protobuf field name.
var fieldsByName = func() map[protoreflect.FullName]Field {
	out := make(map[protoreflect.FullName]Field, len(Table))
	for _, f := range Table {
		out[protoreflect.FullName(fieldNamePrefix+f.Name)] = f
	}
	return out
}()

// isFullySupported reports whether all fields of a message are supported. These are the messages outside envoy.config: durations,
// percentages, wrapped numbers and structs.
func isFullySupported(name protoreflect.FullName) bool {
	return !strings.HasPrefix(string(name), fieldNamePrefix)
}

// checkFields walks all fields that are set in a message, including nested messages. It returns an error with the path of the first
// rejected field that it finds. It adds a warning for each field with support Warned and for unknown fields.
func checkFields(m protoreflect.Message, path string, warnings map[string]bool) (err error) {
	if n := len(m.GetUnknown()); n > 0 {
		warnings[fmt.Sprintf("%s: %d bytes of fields that are not known here", path, n)] = true
	}
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		fieldPath := path + "." + string(f.Name())
		field := fieldsByName[f.FullName()]
		switch field.Support {
		case Rejected:
			err = fmt.Errorf("%s: not supported%s", fieldPath, noteSuffix(field.Note))
		case Warned:
			warnings[string(f.FullName())+": passed over"+noteSuffix(field.Note)] = true
		case Supported:
			err = checkValue(f, v, fieldPath, warnings)
		case Ignored:
		}
		return err == nil
	})
	return err
}

// checkValue checks the fields of the message, or of each message of the list, that a field holds. Other values need no check.
func checkValue(f protoreflect.FieldDescriptor, v protoreflect.Value, path string, warnings map[string]bool) error {
	if f.Kind() != protoreflect.MessageKind || f.IsMap() || isFullySupported(f.Message().FullName()) {
		return nil
	}
	if !f.IsList() {
		return checkFields(v.Message(), path, warnings)
	}
	for i := range v.List().Len() {
		if err := checkFields(v.List().Get(i).Message(), fmt.Sprintf("%s[%d]", path, i), warnings); err != nil {
			return err
		}
	}
	return nil
}

func noteSuffix(note string) string {
	if note == "" {
		return ""
	}
	return ": " + note
}
