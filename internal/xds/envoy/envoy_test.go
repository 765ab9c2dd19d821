package envoy

import (
	"slices"
	"strings"
	"testing"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/known/anypb"

	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/cache"
)

// Table lists every field of each message that occurs in it, and no field that the API does not have. A new version of the API that adds
// or removes a field fails this test.
func TestTableMatchesAPIFields(t *testing.T) {
	seen := map[protoreflect.FullName]bool{}
	for _, f := range Table {
		if name := protoreflect.FullName(fieldNamePrefix + f.Name); seen[name] {
			t.Errorf("%s is listed twice in the table", name)
		} else {
			seen[name] = true
		}
	}
	for _, m := range messages() {
		d, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(fieldNamePrefix + m))
		if err != nil {
			t.Errorf("message %s not found in the API: %v", m, err)
			continue
		}
		fields := d.(protoreflect.MessageDescriptor).Fields()
		for i := range fields.Len() {
			name := fields.Get(i).FullName()
			if !seen[name] {
				t.Errorf("%s is not in the table", name)
			}
			delete(seen, name)
		}
	}
	for name := range seen {
		t.Errorf("%s is in the table but not in the API", name)
	}
}

// messages returns the names of the messages that occur in Table, in the order of the table.
func messages() (out []string) {
	for _, f := range Table {
		if m := f.Name[:strings.LastIndexByte(f.Name, '.')]; !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// decodeJSON decodes a resource given as JSON. It returns the resource, the text of the warnings, and the error. It also checks that
// decoding a valid resource again gives the same digest and the new version.
func decodeJSON(t *testing.T, k ads.Kind, text string) (cache.Resource, string, error) {
	t.Helper()
	var m protoreflect.ProtoMessage = &clusterv3.Cluster{}
	if k == ads.Endpoints {
		m = &endpointv3.ClusterLoadAssignment{}
	}
	if err := protojson.Unmarshal([]byte(text), m); err != nil {
		t.Fatalf("parse %s: %v", text, err)
	}
	packed, err := anypb.New(m)
	if err != nil {
		t.Fatal(err)
	}
	var warnings strings.Builder
	d := Decoder{Warn: func(text string) { warnings.WriteString(text + "\n") }}
	resource, err := d.Decode(k, "7", packed)
	if again, _ := d.Decode(k, "8", packed); err == nil && (again.Digest != resource.Digest || again.Version != "8") {
		t.Errorf("second decoding: got %+v, want the same digest and version 8", again)
	}
	return resource, warnings.String(), err
}

// edsFields are the fields of a cluster that receives its endpoints over the aggregated stream.
const edsFields = `"type": "EDS", "eds_cluster_config": {"eds_config": {"ads": {}}}`

// A cluster with an unsupported field or value is rejected with an error that names the field. An ignored field is reported as a warning.
func TestUnsupportedClusterFieldsAreRejectedOrWarned(t *testing.T) {
	for _, c := range []struct{ text, wantError, wantWarning string }{
		{`{"name": "c", ` + edsFields + `}`, "", ""},
		{`{"name": "c", ` + edsFields + `, "transport_socket": {"name": "tls"}}`, "Cluster.transport_socket: not supported: no TLS to endpoints", ""},
		{`{"name": "c", ` + edsFields + `, "lb_policy": "MAGLEV"}`, "lb_policy: MAGLEV", ""},
		{`{"name": "c", ` + edsFields + `, "lb_policy": "LEAST_REQUEST", "dns_jitter": "1s"}`, "", "Cluster.dns_jitter: passed over"},
		{`{"name": "c", "type": "EDS", "eds_cluster_config": {"eds_config": {"api_config_source": {"api_type": "GRPC"}}}}`, "eds_cluster_config.eds_config.api_config_source: not supported", ""},
		{`{"name": "c", "type": "EDS"}`, "eds_config: must be", ""},
		{`{"name": "c", "type": "ORIGINAL_DST"}`, "type: ORIGINAL_DST", ""},
		{`{"name": "c", "type": "STATIC"}`, "load_assignment: missing", ""},
		{`{"name": "c", ` + edsFields + `, "connect_timeout": "0s"}`, "ConnectTimeout", ""},
		{`{"name": "c", ` + edsFields + `, "circuit_breakers": {"thresholds": [{"max_requests": 0}]}}`, "would stop the cluster", ""},
		{`{"name": "c", ` + edsFields + `, "circuit_breakers": {"thresholds": [{"max_retries": 3}]}}`, "", "Thresholds.max_retries: passed over"},
		{`{"name": "c", "type": "LOGICAL_DNS", "load_assignment": {"cluster_name": "c"}}`, "LOGICAL_DNS has one endpoint", ""},
		{`{"name": "", ` + edsFields + `}`, "no name", ""},
	} {
		resource, warnings, err := decodeJSON(t, ads.Clusters, c.text)
		if (err == nil) != (c.wantError == "") || err != nil && !strings.Contains(err.Error(), c.wantError) || !strings.Contains(warnings, c.wantWarning) || c.wantWarning == "" && warnings != "" {
			t.Errorf("%s:\ngot %+v, error %v, warnings %q; want error %q, warnings %q", c.text, resource, err, warnings, c.wantError, c.wantWarning)
		}
	}
	resource, _, err := decodeJSON(t, ads.Clusters, `{"name": "c", `+edsFields+`, "connect_timeout": "0.25s", "common_lb_config": {"healthy_panic_threshold": {"value": 20},
		"locality_weighted_lb_config": {}}, "circuit_breakers": {"thresholds": [{"max_connections": 5, "max_requests": 9}]}}`)
	if c := resource.Cluster; err != nil || c.ServiceName != "c" || c.ConnectTimeout.Milliseconds() != 250 || c.PanicThreshold != 0.2 || !c.LocalityWeighted || c.MaxConnections != 5 || c.MaxRequests != 9 {
		t.Errorf("cluster with all limits set: got %+v, error %v", resource.Cluster, err)
	}
}

// An invalid endpoint set is rejected with the path of the field. Valid endpoint fields and all health statuses are translated.
func TestInvalidEndpointSetsAreRejected(t *testing.T) {
	endpointAt := func(address, extraFields string) string {
		return `{"endpoint": {"address": {"socket_address": {"address": "` + address + `", "port_value": 80}}}` + extraFields + `}`
	}
	setOf := func(endpoints string) string {
		return `{"cluster_name": "c", "endpoints": [{"lb_endpoints": [` + endpoints + `]}]}`
	}
	for _, c := range []struct{ text, wantError string }{
		{setOf(endpointAt("10.0.0.1", "")), ""},
		{setOf(endpointAt("10.0.0.1", "") + "," + endpointAt("nodo", "")), `endpoints[0].lb_endpoints[1].endpoint.address: "nodo" is no IP address`},
		{setOf(endpointAt("10.0.0.1", "") + "," + endpointAt("::ffff:10.0.0.1", "")), "10.0.0.1:80 is told twice"},
		{setOf(endpointAt("10.0.0.1", `, "metadata": {"filter_metadata": {"silvertrail": {"group": "x"}}}`)), `"group" is no whole number`},
		{setOf(endpointAt("10.0.0.1", `, "metadata": {"filter_metadata": {"silvertrail": {"grupo": 1}}}`)), `"grupo" is none of`},
		{setOf(endpointAt("10.0.0.1", `, "metadata": {"filter_metadata": {"envoy.lb": {"a": "b"}}}`)), ""},
		{setOf(`{"endpoint": {"address": {"pipe": {"path": "/x"}}}}`), "address.pipe: not supported"},
		{`{"cluster_name": "c", "endpoints": [{"priority": 1}]}`, "priorities have a gap"},
		{`{"cluster_name": "c", "endpoints": [{}, {}]}`, "endpoints[1].locality: told twice"},
		{`{"cluster_name": "c", "policy": {"drop_overloads": [{"category": "x"}]}}`, "drop_overloads[0]"},
		{`{"cluster_name": "c", "policy": {"drop_overloads": [{"category": "x", "drop_percentage": {"numerator": 5}}]}}`, ""},
	} {
		resource, _, err := decodeJSON(t, ads.Endpoints, c.text)
		if (err == nil) != (c.wantError == "") || err != nil && !strings.Contains(err.Error(), c.wantError) {
			t.Errorf("%s:\ngot %+v, error %v; want error %q", c.text, resource.Set, err, c.wantError)
		}
	}
	resource, _, err := decodeJSON(t, ads.Endpoints, setOf(endpointAt("10.0.0.1", `, "health_status": "TIMEOUT", "load_balancing_weight": 7, "metadata": {"filter_metadata": {"silvertrail": {"group": 3, "since_ms": 99}}}`)))
	if want := (cache.Endpoint{Address: "10.0.0.1:80", Health: cache.Unhealthy, Weight: 7, Group: 3, SinceMS: 99}); err != nil || resource.Set.Localities[0].Endpoints[0] != want {
		t.Errorf("endpoint with all fields set: got %+v, error %v", resource.Set, err)
	}
	for status := range corev3.HealthStatus_name {
		if _, known := healthByStatus[corev3.HealthStatus(status)]; !known {
			t.Errorf("health status %d is not in healthByStatus", status)
		}
	}
}

// Decoding arbitrary bytes never panics. It returns an error, or a named resource with a cluster or an endpoint set. Traffic assignment
// of a decoded set does not panic either.
func FuzzDecode(f *testing.F) {
	for _, m := range []protoreflect.ProtoMessage{&clusterv3.Cluster{Name: "c"}, &endpointv3.ClusterLoadAssignment{ClusterName: "c", Endpoints: []*endpointv3.LocalityLbEndpoints{{
		LbEndpoints: []*endpointv3.LbEndpoint{{}}}}}} {
		packed, err := anypb.New(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(packed.Value, m.ProtoReflect().Descriptor().Name() == "Cluster")
	}
	f.Fuzz(func(t *testing.T, raw []byte, cluster bool) {
		k := ads.Endpoints
		if cluster {
			k = ads.Clusters
		}
		var d Decoder
		resource, err := d.Decode(k, "", &anypb.Any{TypeUrl: TypeOf(k), Value: raw})
		if err == nil && (resource.Name == "" || resource.Cluster == nil && resource.Set == nil) {
			t.Errorf("decoded resource lacks a name, or has neither cluster nor endpoint set: %+v", resource)
		}
		if resource.Set != nil {
			cache.AssignTraffic(&cache.Cluster{PanicThreshold: 0.5}, resource.Set, false, cache.AllPriorities)
		}
	})
}
