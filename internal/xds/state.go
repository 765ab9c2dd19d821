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
	stateFormat   = "silvertrail xds state 1"
	maxStateBytes = 256 << 20
	writeInterval = time.Second // minimum time between two writes of the state file
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

// restore loads the state file into the cache. A file that cannot be read is ignored, as control planes send all resources again. The
// caller holds the lock.
func (c *Client) restore(path string) {
	var saved []cache.SavedResource
	err := statefile.Read(path, stateFormat, maxStateBytes, &saved)
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
	for _, s := range saved {
		if s.Kind >= ads.KindCount {
			continue
		}
		resource, err := d.Decode(s.Kind, s.Version, &anypb.Any{TypeUrl: envoy.TypeOf(s.Kind), Value: s.Raw})
		if err != nil { // the file may come from another version of this program
			c.log.Warn("resource of the last good state ignored", "error", err)
			continue
		}
		c.cache.Restore(s, resource)
		restored++
		if s.ReceivedAt.Before(oldest) {
			oldest = s.ReceivedAt
		}
	}
	c.log.Info("last good state restored", "file", path, "resources", restored, "oldest", time.Since(oldest).Round(time.Second))
}
