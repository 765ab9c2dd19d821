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

// The table names each field of the messages that it names, and none that does not exist: a new version of the API fails here.
func TestTable(t *testing.T) {
	seen := map[protoreflect.FullName]bool{}
	for _, f := range Table {
		if name := protoreflect.FullName(prefix + f.Name); seen[name] {
			t.Errorf("%s twice", name)
		} else {
			seen[name] = true
		}
	}
	for _, m := range messages() {
		d, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(prefix + m))
		if err != nil {
			t.Errorf("%s: %v", m, err)
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
		t.Errorf("%s is in the table and not in the API", name)
	}
}

// messages returns the messages of the table, in its order.
func messages() (out []string) {
	for _, f := range Table {
		if m := f.Name[:strings.LastIndexByte(f.Name, '.')]; !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

func decode(t *testing.T, k ads.Kind, text string) (cache.Resource, string, error) {
	t.Helper()
	var m protoreflect.ProtoMessage = &clusterv3.Cluster{}
	if k == ads.Endpoints {
		m = &endpointv3.ClusterLoadAssignment{}
	}
	if err := protojson.Unmarshal([]byte(text), m); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	a, err := anypb.New(m)
	if err != nil {
		t.Fatal(err)
	}
	var warned strings.Builder
	d := Decoder{Warn: func(text string) { warned.WriteString(text + "\n") }}
	i, err := d.Decode(k, "7", a)
	if again, _ := d.Decode(k, "8", a); err == nil && (again.Digest != i.Digest || again.Version != "8") {
		t.Errorf("read again: %+v", again)
	}
	return i, warned.String(), err
}

const eds = `"type": "EDS", "eds_cluster_config": {"eds_config": {"ads": {}}}`

// What cannot be used is rejected with the path of the field; what is ignored is logged.
func TestClusters(t *testing.T) {
	for _, c := range []struct{ text, fault, warning string }{
		{`{"name": "c", ` + eds + `}`, "", ""},
		{`{"name": "c", ` + eds + `, "transport_socket": {"name": "tls"}}`, "Cluster.transport_socket: not supported: no TLS to endpoints", ""},
		{`{"name": "c", ` + eds + `, "lb_policy": "MAGLEV"}`, "lb_policy: MAGLEV", ""},
		{`{"name": "c", ` + eds + `, "lb_policy": "LEAST_REQUEST", "dns_jitter": "1s"}`, "", "Cluster.dns_jitter: passed over"},
		{`{"name": "c", "type": "EDS", "eds_cluster_config": {"eds_config": {"api_config_source": {"api_type": "GRPC"}}}}`, "eds_cluster_config.eds_config.api_config_source: not supported", ""},
		{`{"name": "c", "type": "EDS"}`, "eds_config: must be", ""},
		{`{"name": "c", "type": "ORIGINAL_DST"}`, "type: ORIGINAL_DST", ""},
		{`{"name": "c", "type": "STATIC"}`, "load_assignment: missing", ""},
		{`{"name": "c", ` + eds + `, "connect_timeout": "0s"}`, "ConnectTimeout", ""},
		{`{"name": "c", ` + eds + `, "circuit_breakers": {"thresholds": [{"max_requests": 0}]}}`, "would stop the cluster", ""},
		{`{"name": "c", ` + eds + `, "circuit_breakers": {"thresholds": [{"max_retries": 3}]}}`, "", "Thresholds.max_retries: passed over"},
		{`{"name": "c", "type": "LOGICAL_DNS", "load_assignment": {"cluster_name": "c"}}`, "LOGICAL_DNS has one endpoint", ""},
		{`{"name": "", ` + eds + `}`, "no name", ""},
	} {
		i, warned, err := decode(t, ads.Clusters, c.text)
		if (err == nil) != (c.fault == "") || err != nil && !strings.Contains(err.Error(), c.fault) || !strings.Contains(warned, c.warning) || c.warning == "" && warned != "" {
			t.Errorf("%s:\n%+v, %v, warned %q; want %q, %q", c.text, i, err, warned, c.fault, c.warning)
		}
	}
	i, _, err := decode(t, ads.Clusters, `{"name": "c", `+eds+`, "connect_timeout": "0.25s", "common_lb_config": {"healthy_panic_threshold": {"value": 20},
		"locality_weighted_lb_config": {}}, "circuit_breakers": {"thresholds": [{"max_connections": 5, "max_requests": 9}]}}`)
	if c := i.Cluster; err != nil || c.ServiceName != "c" || c.ConnectTimeout.Milliseconds() != 250 || c.PanicThreshold != 0.2 || !c.LocalityWeighted || c.MaxConnections != 5 || c.MaxRequests != 9 {
		t.Errorf("%+v, %v", i.Cluster, err)
	}
}

func TestSets(t *testing.T) {
	at := func(address, more string) string {
		return `{"endpoint": {"address": {"socket_address": {"address": "` + address + `", "port_value": 80}}}` + more + `}`
	}
	one := func(endpoints string) string {
		return `{"cluster_name": "c", "endpoints": [{"lb_endpoints": [` + endpoints + `]}]}`
	}
	for _, c := range []struct{ text, fault string }{
		{one(at("10.0.0.1", "")), ""},
		{one(at("10.0.0.1", "") + "," + at("nodo", "")), `endpoints[0].lb_endpoints[1].endpoint.address: "nodo" is no IP address`},
		{one(at("10.0.0.1", "") + "," + at("::ffff:10.0.0.1", "")), "10.0.0.1:80 is told twice"},
		{one(at("10.0.0.1", `, "metadata": {"filter_metadata": {"silvertrail": {"group": "x"}}}`)), `"group" is no whole number`},
		{one(at("10.0.0.1", `, "metadata": {"filter_metadata": {"silvertrail": {"grupo": 1}}}`)), `"grupo" is none of`},
		{one(at("10.0.0.1", `, "metadata": {"filter_metadata": {"envoy.lb": {"a": "b"}}}`)), ""},
		{one(`{"endpoint": {"address": {"pipe": {"path": "/x"}}}}`), "address.pipe: not supported"},
		{`{"cluster_name": "c", "endpoints": [{"priority": 1}]}`, "priorities have a gap"},
		{`{"cluster_name": "c", "endpoints": [{}, {}]}`, "endpoints[1].locality: told twice"},
		{`{"cluster_name": "c", "policy": {"drop_overloads": [{"category": "x"}]}}`, "drop_overloads[0]"},
		{`{"cluster_name": "c", "policy": {"drop_overloads": [{"category": "x", "drop_percentage": {"numerator": 5}}]}}`, ""},
	} {
		i, _, err := decode(t, ads.Endpoints, c.text)
		if (err == nil) != (c.fault == "") || err != nil && !strings.Contains(err.Error(), c.fault) {
			t.Errorf("%s:\n%+v, %v; want %q", c.text, i.Set, err, c.fault)
		}
	}
	i, _, err := decode(t, ads.Endpoints, one(at("10.0.0.1", `, "health_status": "TIMEOUT", "load_balancing_weight": 7, "metadata": {"filter_metadata": {"silvertrail": {"group": 3, "since_ms": 99}}}`)))
	if want := (cache.Endpoint{Address: "10.0.0.1:80", Health: cache.Unhealthy, Weight: 7, Group: 3, SinceMS: 99}); err != nil || i.Set.Localities[0].Endpoints[0] != want {
		t.Errorf("%+v, %v", i.Set, err)
	}
	for status := range corev3.HealthStatus_name {
		if _, is := healthOf[corev3.HealthStatus(status)]; !is {
			t.Errorf("health status %d has no meaning here", status)
		}
	}
}

// Any bytes give a resource or an error with a name, never a panic.
func FuzzDecode(f *testing.F) {
	for _, m := range []protoreflect.ProtoMessage{&clusterv3.Cluster{Name: "c"}, &endpointv3.ClusterLoadAssignment{ClusterName: "c", Endpoints: []*endpointv3.LocalityLbEndpoints{{
		LbEndpoints: []*endpointv3.LbEndpoint{{}}}}}} {
		a, err := anypb.New(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(a.Value, m.ProtoReflect().Descriptor().Name() == "Cluster")
	}
	f.Fuzz(func(t *testing.T, raw []byte, cluster bool) {
		k := ads.Endpoints
		if cluster {
			k = ads.Clusters
		}
		var d Decoder
		i, err := d.Decode(k, "", &anypb.Any{TypeUrl: TypeOf(k), Value: raw})
		if err == nil && (i.Name == "" || i.Cluster == nil && i.Set == nil) {
			t.Errorf("%+v", i)
		}
		if i.Set != nil {
			cache.AssignTraffic(&cache.Cluster{PanicThreshold: 0.5}, i.Set, false, cache.AllPriorities)
		}
	})
}
