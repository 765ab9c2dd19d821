package xds

import (
	"errors"
	"os"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/anypb"

	"silvertrail/internal/base/statefile"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/cache"
	"silvertrail/internal/xds/envoy"
)

const (
	stateFormat      = "silvertrail xds state 2"
	firstStateFormat = "silvertrail xds state 1"
	maxStateBytes    = 256 << 20
	writeInterval    = time.Second // minimum time between two writes of the state file
)

// stateWriter holds the path of the state file and the signal that the state has changed.
type stateWriter struct {
	mu      sync.Mutex
	path    string
	pending chan struct{} // holds a token while changes are not written
}

func newStateWriter() *stateWriter { return &stateWriter{pending: make(chan struct{}, 1)} }

func (w *stateWriter) setPath(path string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.path = path
}

func (w *stateWriter) currentPath() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.path
}

// wake signals that the state has changed.
func (w *stateWriter) wake() {
	select {
	case w.pending <- struct{}{}:
	default:
	}
}

// runStateWriter writes the state after changes until the client is closed, and then once more if changes are pending.
func (c *Client) runStateWriter() {
	for {
		select {
		case <-c.ctx.Done():
			select {
			case <-c.stateWriter.pending:
				c.writeState()
			default:
			}
			return
		case <-c.stateWriter.pending:
		}
		c.writeState()
		select {
		case <-c.ctx.Done():
		case <-time.After(writeInterval):
		}
	}
}

// writeState writes a snapshot of the cache to the state file, if one is configured.
func (c *Client) writeState() {
	path := c.stateWriter.currentPath()
	if path == "" {
		return
	}
	c.mu.Lock()
	saved := c.cache.Snapshot()
	c.mu.Unlock()
	if err := statefile.Write(path, stateFormat, saved); err != nil {
		c.log.Error("state file not written", "error", err)
	}
}

// readState reads a state file. A file of the first format holds the resources alone.
func readState(path string) (state cache.SavedState, err error) {
	err = statefile.Read(path, stateFormat, maxStateBytes, &state)
	if err == nil || errors.Is(err, os.ErrNotExist) {
		return state, err
	}
	var resources []cache.SavedResource
	if statefile.Read(path, firstStateFormat, maxStateBytes, &resources) == nil {
		return cache.SavedState{Resources: resources}, nil
	}
	return cache.SavedState{}, err
}

// restore loads the state file into the cache. A file that cannot be read is ignored, as control planes send all resources again. The
// caller holds the lock.
func (c *Client) restore(path string) {
	saved, err := readState(path)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		c.log.Error("file of the last good state ignored", "file", path, "error", err)
		return
	}
	d := &envoy.Decoder{}
	oldest := time.Now()
	restored := 0
	for _, s := range saved.Resources {
		resource, ok := c.decodeSaved(d, s.Kind, s.Version, s.Raw)
		if !ok {
			continue
		}
		c.cache.Restore(s, resource)
		restored++
		if s.ReceivedAt.Before(oldest) {
			oldest = s.ReceivedAt
		}
	}
	for _, history := range saved.Histories {
		c.restoreHistory(d, history)
	}
	c.log.Info("last good state restored", "file", path, "resources", restored, "oldest", time.Since(oldest).Round(time.Second))
}

// decodeSaved decodes a resource of the state file. It returns false for one that cannot be decoded: the file may come from another version of
// this program.
func (c *Client) decodeSaved(d *envoy.Decoder, kind ads.Kind, version string, raw []byte) (cache.Resource, bool) {
	if kind >= ads.KindCount {
		return cache.Resource{}, false
	}
	resource, err := d.Decode(kind, version, &anypb.Any{TypeUrl: envoy.TypeOf(kind), Value: raw})
	if err != nil {
		c.log.Warn("resource of the last good state ignored", "error", err)
		return cache.Resource{}, false
	}
	return resource, true
}

// restoreHistory restores the update order of a resource. The caller holds the lock.
func (c *Client) restoreHistory(d *envoy.Decoder, saved cache.SavedHistory) {
	if saved.Kind >= ads.KindCount {
		return
	}
	var candidates []cache.Resource
	known := saved
	known.Candidates = nil
	for _, content := range saved.Candidates {
		resource := cache.Resource{Name: saved.Name, Version: content.Version}
		if len(content.Raw) > 0 {
			var ok bool
			if resource, ok = c.decodeSaved(d, saved.Kind, content.Version, content.Raw); !ok {
				continue
			}
		}
		known.Candidates = append(known.Candidates, content)
		candidates = append(candidates, resource)
	}
	c.cache.RestoreHistory(known, candidates)
}
