package xds

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"time"

	"silvertrail/internal/base/watchedfile"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/cache"
	"silvertrail/internal/xds/envoy"
)

// endpointsFile is a watched file that holds endpoint sets of clusters. The client's lock guards its fields.
type endpointsFile struct {
	stop      context.CancelFunc
	sets      map[string]*cache.EndpointSet // by service name; nil: the file has not been read successfully yet
	readAt    time.Time
	lastError string
}

// fillIn sets a cluster view's state and endpoints from the file. It changes nothing if f is nil or no read was attempted yet.
func (f *endpointsFile) fillIn(v *cache.ClusterView) {
	if f == nil || f.sets == nil && f.lastError == "" {
		return
	}
	set := f.sets[v.Cluster.ServiceName]
	switch {
	case set != nil:
		v.State = cache.Ready
		v.Set = set
		v.Reason = ""
		v.Stale = set.StaleAfter > 0 && time.Since(f.readAt) >= set.StaleAfter
	case f.sets != nil:
		v.State = cache.Missing
		v.Reason = fmt.Sprintf("%s has no endpoints of %q", v.Cluster.EndpointsFile, v.Cluster.ServiceName)
	default:
		v.State = cache.Missing
		v.Reason = f.lastError
	}
}

// watchFiles starts watching the given endpoints files and stops watching all others. The caller holds the lock.
func (c *Client) watchFiles(paths []string) {
	wanted := map[string]bool{}
	for _, path := range paths {
		wanted[path] = true
		if c.files[path] != nil {
			continue
		}
		ctx, stop := context.WithCancel(c.ctx)
		f := &endpointsFile{stop: stop}
		c.files[path] = f
		maxBytes := c.options.MaxMessageBytes
		c.tasks.Go(func() { c.followEndpoints(ctx, path, f, maxBytes) })
	}
	for path, f := range c.files {
		if !wanted[path] {
			f.stop()
			delete(c.files, path)
		}
	}
}

// followEndpoints reads a file each time it changes, until the context is cancelled.
func (c *Client) followEndpoints(ctx context.Context, path string, f *endpointsFile, maxBytes int) {
	d := &envoy.Decoder{Warn: c.warn}
	file := watchedfile.File{Path: path, MaxBytes: maxBytes}
	for {
		if text, changed, err := file.Read(); err != nil || changed {
			sets, errorTexts := decodeEndpoints(text, err, d)
			c.updateEndpoints(path, f, sets, errorTexts)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(filePollInterval):
		}
	}
}

// updateEndpoints stores the endpoint sets that were read from a file. If there were errors, the readable sets are merged into the
// earlier ones.
func (c *Client) updateEndpoints(path string, f *endpointsFile, sets map[string]*cache.EndpointSet, errorTexts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.files[path] != f {
		return
	}
	if text := strings.Join(errorTexts, "; "); text != f.lastError {
		f.lastError = text
		if text != "" {
			c.log.Error("endpoints file not fully applied; last valid endpoint sets stay in force", "file", path, "error", text)
		}
	}
	if sets != nil {
		f.readAt = time.Now()
		if len(errorTexts) == 0 {
			f.sets = sets
		} else {
			if f.sets == nil {
				f.sets = map[string]*cache.EndpointSet{}
			}
			maps.Copy(f.sets, sets)
		}
	}
	for name := range c.followers {
		c.notify(name)
	}
}

// decodeEndpoints decodes a file's endpoint sets. The map is nil if the file as a whole cannot be read or parsed.
func decodeEndpoints(text []byte, err error, d *envoy.Decoder) (map[string]*cache.EndpointSet, []string) {
	if err != nil {
		return nil, []string{err.Error()}
	}
	m, err := ParseFile(text)
	if err != nil {
		return nil, []string{err.Error()}
	}
	byKind, err := splitByKind(m)
	if err != nil {
		return nil, []string{err.Error()}
	}
	decoded, errorTexts := byKind[ads.Endpoints].decode(d)
	sets := map[string]*cache.EndpointSet{}
	for _, r := range decoded.Resources {
		sets[r.Name] = r.Set
	}
	return sets, errorTexts
}
