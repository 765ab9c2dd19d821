package xds

import (
	"errors"
	"fmt"
	"os"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"silvertrail/internal/base/watchedfile"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/bootstrap"
	"silvertrail/internal/xds/envoy"
)

// protojson can decode a file's resources only if their message types are linked into the program.
var (
	_ *clusterv3.Cluster
	_ *endpointv3.ClusterLoadAssignment
)

// filePollInterval is how often a file is checked for changes.
const filePollInterval = 100 * time.Millisecond

// ParseFile parses a discovery response in protobuf JSON. A control plane file holds all clusters and endpoint sets in one response.
func ParseFile(text []byte) (*discoveryv3.DiscoveryResponse, error) {
	m := &discoveryv3.DiscoveryResponse{}
	return m, protojson.Unmarshal(text, m)
}

// responses holds one response for each kind of resource.
type responses [ads.KindCount]*response

// splitByKind splits a file's response into one for each kind of resource. If it returns an error, the result is incomplete.
func splitByKind(m *discoveryv3.DiscoveryResponse) (out responses, err error) {
	for k := range ads.KindCount {
		out[k] = &response{kind: k, version: m.VersionInfo, complete: true}
	}
	for i, a := range m.Resources {
		k := envoy.KindOf(a.TypeUrl)
		if k == ads.KindCount {
			return out, fmt.Errorf("resources[%d]: of type %q", i, a.TypeUrl)
		}
		out[k].resources = append(out[k].resources, resource{version: m.VersionInfo, any: a})
	}
	return out, nil
}

// followFile watches a control plane file and applies its changes. Content that cannot be read changes nothing. It returns an error if
// the file does not exist.
func (k *conn) followFile(o bootstrap.Options) error {
	d := &envoy.Decoder{Warn: k.client.warn}
	file := watchedfile.File{Path: k.controlPlane.File, MaxBytes: o.MaxMessageBytes}
	var latest responses
	for {
		text, changed, err := file.Read()
		if errors.Is(err, os.ErrNotExist) {
			return err
		}
		if changed {
			var m *discoveryv3.DiscoveryResponse
			if m, err = ParseFile(text); err == nil {
				latest, err = splitByKind(m)
			}
		}
		if err != nil {
			k.client.log.Error("control plane file not applied; last valid content stays in force", "file", k.controlPlane.File, "error", err)
		}
		k.applyFile(latest, changed, err == nil, d)
		select {
		case <-k.ctx.Done():
			return k.ctx.Err()
		case <-k.wakeups:
		case <-time.After(filePollInterval):
		}
	}
}

// applyFile applies a file's content if the content or the subscriptions have changed.
func (k *conn) applyFile(latest responses, changed, readable bool, d *envoy.Decoder) {
	c := k.client
	c.mu.Lock()
	defer c.mu.Unlock()
	k.cancelStream = k.wake
	again := k.restart
	k.restart = false
	if !changed && !again || !readable || latest[0] == nil || k.ctx.Err() != nil {
		return
	}
	for _, r := range latest {
		if r.kind == ads.Endpoints { // the clusters just applied determine the subscribed endpoint sets
			c.advance()
		}
		decoded, errorTexts := r.decode(d)
		decoded.Complete = len(errorTexts) == 0
		applied := k.apply(decoded)
		k.rejectionDetail(r.version, append(errorTexts, applied.rejected...), applied.withheld)
	}
	c.advance()
}
