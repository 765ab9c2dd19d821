package controlplane

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"

	"silvertrail/internal/base/statefile"
	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/controlplane/distribution"
	"silvertrail/internal/controlplane/records"
	"silvertrail/internal/testkit/golden"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/envoy"
)

// The state file is written in the recorded format, and a file in that format is read back without loss.
func TestStateFileFormat(t *testing.T) {
	var state records.State
	golden.Fill(&state)
	path := filepath.Join(t.TempDir(), "state")
	if err := statefile.Write(path, stateFormat, state); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	recorded := golden.Binary(t, "state.hex", text)
	if err := os.WriteFile(path, recorded, 0o600); err != nil {
		t.Fatal(err)
	}
	var read records.State
	if err := statefile.Read(path, stateFormat, maxStateBytes, &read); err != nil {
		t.Fatal(err)
	}
	for i := range read.Conflicts {
		read.Conflicts[i].At = read.Conflicts[i].At.UTC()
	}
	if !reflect.DeepEqual(read, state) {
		t.Errorf("read as %+v, want %+v", read, state)
	}
}

// A record is sent to other control-plane servers in the recorded format, and a message in that format is parsed as the same record.
func TestRecordFormat(t *testing.T) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(&clusterv3.Cluster{Name: "cluster-a",
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{ServiceName: "set-a",
			EdsConfig: &corev3.ConfigSource{ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}}, ConnectTimeout: durationpb.New(1e9)})
	if err != nil {
		t.Fatal(err)
	}
	present, err := parseContent(ads.Clusters, &anypb.Any{TypeUrl: envoy.TypeOf(ads.Clusters), Value: raw})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]records.Content{
		"present": present,
		"removed": {Key: records.Key{Kind: ads.Endpoints, Name: "set-b"}, Removed: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := records.Record{Content: c, Version: records.Version{Counter: 12, Origin: "north.1"}, Ancestry: records.VersionVector{"south.2": 11}}
			sent, err := encodeResource(distribution.Records, r)
			if err != nil {
				t.Fatal(err)
			}
			text, err := proto.MarshalOptions{Deterministic: true}.Marshal(sent.Resource)
			if err != nil {
				t.Fatal(err)
			}
			recorded := golden.Binary(t, "record-"+name+".hex", text)
			var received anypb.Any
			if err := proto.Unmarshal(recorded, &received); err != nil {
				t.Fatal(err)
			}
			read, err := parseRecord(&received)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(read, r) {
				t.Errorf("read as %+v, want %+v", read, r)
			}
		})
	}
}

// The control socket returns the status of a control-plane server and the result of a publication in the recorded JSON form.
func TestStatusFormat(t *testing.T) {
	for name, value := range map[string]any{"status": &api.Status{}, "published": &api.Published{}} {
		golden.Fill(value)
		text, err := json.MarshalIndent(value, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Text(t, name+".json", text)
	}
}

// The names of kinds are part of commands, error messages and record keys, and do not change.
func TestKindNames(t *testing.T) {
	var names []string
	for k := range distribution.KindCount {
		names = append(names, k.String(), typeOf(k))
	}
	for k := range ads.KindCount {
		names = append(names, k.String())
	}
	text, err := json.MarshalIndent(names, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "kind-names.json", text)
}
