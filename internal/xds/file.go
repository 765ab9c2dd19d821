package xds

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"silvertrail/internal/base/watchedfile"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/bootstrap"
	"silvertrail/internal/xds/cache"
	"silvertrail/internal/xds/envoy"
)

// The types that a file may hold; a program that is linked with more knows more of them.
var (
	_ *clusterv3.Cluster
	_ *endpointv3.ClusterLoadAssignment
)

const filePoll = 100 * time.Millisecond

// ParseFile reads a response in protobuf JSON: all its clusters, and all its endpoint sets.
func ParseFile(text []byte) (*discoveryv3.DiscoveryResponse, error) {
	m := &discoveryv3.DiscoveryResponse{}
	return m, protojson.Unmarshal(text, m)
}

// splitByKind makes of a file's response one for each kind.
func splitByKind(m *discoveryv3.DiscoveryResponse) (out [ads.KindCount]*response, err error) {
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

// followFile takes a plane that is a file. A content that can't be read changes nothing; a file that is not there is lost.
func (k *conn) followFile(o bootstrap.Options) error {
	d := &envoy.Decoder{Warn: k.client.warn}
	file := watchedfile.File{Path: k.controlPlane.File, MaxBytes: o.MaxMessageBytes}
	var last [ads.KindCount]*response
	for {
		text, changed, err := file.Read()
		if errors.Is(err, os.ErrNotExist) {
			return err
		}
		var m *discoveryv3.DiscoveryResponse
		if changed {
			if m, err = ParseFile(text); err == nil {
				last, err = splitByKind(m)
			}
		}
		if err != nil {
			k.client.log.Error("xds: what the file said last stands", "file", k.controlPlane.File, "error", err)
		}
		k.client.mu.Lock()
		k.cancelStream = k.wake
		again := k.restart
		k.restart = false
		if (m != nil || again) && err == nil && last[0] != nil && k.ctx.Err() == nil {
			for _, r := range last {
				if r.kind == ads.Endpoints { // a stream sends those that are asked for
					k.client.advance()
				}
				message, faults := r.decode(d)
				message.Complete = len(faults) == 0
				k.rejectionDetail(r.version, append(faults, k.apply(message)...))
			}
			k.client.advance()
		}
		k.client.mu.Unlock()
		select {
		case <-k.ctx.Done():
			return k.ctx.Err()
		case <-k.work:
		case <-time.After(filePoll):
		}
	}
}

// endpointsFile is a file that holds endpoint sets of clusters.
type endpointsFile struct {
	stop      context.CancelFunc
	sets      map[string]*cache.EndpointSet
	readAt    time.Time
	lastError string
}

// fillIn gives a cluster the endpoints that its file holds.
func (f *endpointsFile) fillIn(v *cache.ClusterView) {
	switch {
	case f == nil || f.sets == nil && f.lastError == "":
	case f.sets[v.Cluster.ServiceName] != nil:
		v.State, v.Set, v.Reason = cache.Ready, f.sets[v.Cluster.ServiceName], ""
		v.Stale = v.Set.StaleAfter > 0 && time.Since(f.readAt) >= v.Set.StaleAfter
	case f.sets != nil:
		v.State, v.Reason = cache.Missing, fmt.Sprintf("%s has no endpoints of %q", v.Cluster.EndpointsFile, v.Cluster.ServiceName)
	default:
		v.State, v.Reason = cache.Missing, f.lastError
	}
}

// watchFiles follows the files that hold endpoint sets now. The caller holds the lock.
func (c *Client) watchFiles(paths []string) {
	wanted := map[string]bool{}
	for _, p := range paths {
		wanted[p] = true
		if c.files[p] == nil {
			ctx, stop := context.WithCancel(c.ctx)
			f := &endpointsFile{stop: stop}
			c.files[p] = f
			most := c.options.MaxMessageBytes
			c.tasks.Go(func() { c.followEndpoints(ctx, p, f, most) })
		}
	}
	for p, f := range c.files {
		if !wanted[p] {
			f.stop()
			delete(c.files, p)
		}
	}
}

func (c *Client) followEndpoints(ctx context.Context, path string, f *endpointsFile, most int) {
	d := &envoy.Decoder{Warn: c.warn}
	file := watchedfile.File{Path: path, MaxBytes: most}
	for {
		if text, changed, err := file.Read(); err != nil || changed {
			sets, faults := decodeEndpoints(text, err, d)
			c.mu.Lock()
			if c.files[path] == f {
				if fault := strings.Join(faults, "; "); fault != f.lastError {
					f.lastError = fault
					if fault != "" {
						c.log.Error("xds: what the file said last stands", slog.String("file", path), slog.String("fault", fault))
					}
				}
				if f.sets == nil && sets != nil {
					f.sets = map[string]*cache.EndpointSet{}
				}
				for name, s := range sets {
					f.sets[name] = s
				}
				if sets != nil {
					f.readAt = time.Now()
					if len(faults) == 0 { // it is whole: what it leaves out is gone
						f.sets = sets
					}
				}
				for name := range c.followers {
					c.notify(name)
				}
			}
			c.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(filePoll):
		}
	}
}

func decodeEndpoints(text []byte, err error, d *envoy.Decoder) (map[string]*cache.EndpointSet, []string) {
	var m *discoveryv3.DiscoveryResponse
	if err == nil {
		m, err = ParseFile(text)
	}
	if err != nil {
		return nil, []string{err.Error()}
	}
	r, err := splitByKind(m)
	if err != nil {
		return nil, []string{err.Error()}
	}
	message, faults := r[ads.Endpoints].decode(d)
	sets := map[string]*cache.EndpointSet{}
	for _, i := range message.Resources {
		sets[i.Name] = i.Set
	}
	return sets, faults
}
