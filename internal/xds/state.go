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
	saveEvery     = time.Second
)

// stateWriter writes the last good state, some time after it has changed.
type stateWriter struct {
	mu   sync.Mutex
	path string
	work chan struct{} // holds a token when there is something to write
}

func (s *stateWriter) setPath(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.path = path
}

func (s *stateWriter) wake() {
	select {
	case s.work <- struct{}{}:
	default:
	}
}

// runStateWriter writes the state until the client ends, and then once more where there is something to write.
func (c *Client) runStateWriter(s *stateWriter) {
	for {
		select {
		case <-c.ctx.Done():
			select {
			case <-s.work:
				c.writeState(s)
			default:
			}
			return
		case <-s.work:
		}
		c.writeState(s)
		select {
		case <-c.ctx.Done():
		case <-time.After(saveEvery):
		}
	}
}

func (c *Client) writeState(s *stateWriter) {
	s.mu.Lock()
	path := s.path
	s.mu.Unlock()
	if path == "" {
		return
	}
	c.mu.Lock()
	all := c.cache.Snapshot()
	c.mu.Unlock()
	if err := statefile.Write(path, stateFormat, all); err != nil {
		c.log.Error("xds: the last good state could not be written", "error", err)
	}
}

// restore takes the last good state from its file: cached knowledge, as old as it is. One that can't be read is passed over:
// the control planes tell all of it anew.
func (c *Client) restore(path string) {
	var all []cache.SavedResource
	err := statefile.Read(path, stateFormat, maxStateBytes, &all)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		c.log.Error("xds: the file of the last good state is passed over", "file", path, "error", err)
		return
	}
	d := &envoy.Decoder{}
	oldest := time.Now()
	n := 0
	for _, s := range all {
		if s.Kind >= ads.KindCount {
			continue
		}
		i, err := d.Decode(s.Kind, s.Version, &anypb.Any{TypeUrl: envoy.TypeOf(s.Kind), Value: s.Raw})
		if err != nil { // of another version of this program
			c.log.Warn("xds: a resource of the last good state is passed over", "error", err)
			continue
		}
		c.cache.Restore(s, i)
		n++
		if s.ReceivedAt.Before(oldest) {
			oldest = s.ReceivedAt
		}
	}
	c.log.Info("xds: last good state", "file", path, "resources", n, "oldest", time.Since(oldest).Round(time.Second))
}
