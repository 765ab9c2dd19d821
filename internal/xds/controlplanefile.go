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

// The message types that a file may hold must be linked.
var (
	_ *clusterv3.Cluster
	_ *endpointv3.ClusterLoadAssignment
)

// filePollInterval is how often a file is checked for changes.
const filePollInterval = 100 * time.Millisecond

// ParseFile reads a discovery response in protobuf JSON, which holds all clusters and all endpoint sets.
func ParseFile(text []byte) (*discoveryv3.DiscoveryResponse, error) {
	m := &discoveryv3.DiscoveryResponse{}
	return m, protojson.Unmarshal(text, m)
}

// responses holds a response of each kind.
type responses [ads.KindCount]*response

// splitByKind makes of a file's response one for each kind. With an error the result is incomplete.
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

// followFile follows a control plane that is a file. Content that cannot be read changes nothing; a file that does not exist is an
// error.
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
			k.client.log.Error("file not applied, its last content stays in force", "file", k.controlPlane.File, "error", err)
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

// applyFile applies a file's content where it has changed, or the subscriptions have.
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
		if r.kind == ads.Endpoints { // the clusters before determine which endpoint sets are subscribed to
			c.advance()
		}
		decoded, errorTexts := r.decode(d)
		decoded.Complete = len(errorTexts) == 0
		k.rejectionDetail(r.version, append(errorTexts, k.apply(decoded)...))
	}
	c.advance()
}
