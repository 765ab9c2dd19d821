package controlplane

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/anypb"

	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/controlplane/records"
	"silvertrail/internal/xds"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/envoy"
)

// maxResourceBytes leaves room for one in a message of 16 MiB, the most that a receiver takes where nobody tells otherwise.
const maxResourceBytes = 15 << 20

// ErrInitialSync says that a machine that has begun is still hearing the others: what it would publish could be taken for old.
var ErrInitialSync = errors.New("control plane: it has just begun and is still hearing its peers; try again in a moment")

// Publish takes a response in protobuf JSON, nil for none, and the names of what is to be removed ("cluster/NAME", "endpoints/NAME"). All
// of it holds, and is on the disk, when there is no error; with one, which tells all that is wrong, nothing has changed.
func (s *Server) Publish(text []byte, remove []string) (api.Published, error) {
	var all []*anypb.Any
	if len(text) > 0 {
		m, err := xds.ParseFile(text)
		if err != nil {
			return api.Published{}, fmt.Errorf("control plane: %w", err)
		}
		all = m.Resources
	}
	return s.PublishResources(all, remove)
}

// PublishResources is Publish without the JSON.
func (s *Server) PublishResources(all []*anypb.Any, remove []string) (out api.Published, err error) {
	var contents []records.Content
	var faults []error
	for i, a := range all {
		k := envoy.KindOf(a.GetTypeUrl())
		if k == ads.Kinds {
			faults = append(faults, fmt.Errorf("resources[%d]: of type %q; clusters and endpoint sets can be published", i, a.GetTypeUrl()))
			continue
		}
		c, err := parseContent(k, a)
		if err != nil {
			faults = append(faults, fmt.Errorf("resources[%d]: %w", i, err))
			continue
		}
		if size := len(c.Raw); size > maxResourceBytes {
			faults = append(faults, fmt.Errorf("resources[%d]: %s: %d bytes, over %d", i, c.Key, size, maxResourceBytes))
		}
		contents = append(contents, c)
	}
	for _, text := range slices.Compact(slices.Sorted(slices.Values(remove))) {
		key, err := records.ParseKey(text)
		if err != nil {
			faults = append(faults, fmt.Errorf("remove: %w", err))
			continue
		}
		contents = append(contents, records.Content{Key: key, Removed: true})
	}
	if len(contents)+len(faults) == 0 {
		return out, errors.New("control plane: nothing to publish")
	}
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	var p records.Publication
	// It is written before it is sent: a version that was sent and forgotten would be given to another content.
	err = s.writeState(func() (records.Publication, error) {
		if !s.initialSync.IsComplete(time.Now()) {
			return p, ErrInitialSync
		}
		var wrong []error
		p, wrong = s.store.Prepare(contents)
		return p, errors.Join(append(faults, wrong...)...)
	})
	if err != nil {
		return out, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out = api.Published{Version: p.Version.String(), Unchanged: p.Unchanged}
	for _, r := range p.Records {
		s.merge(r)
		if r.Removed {
			out.Removed++
		} else {
			out.Resources++
		}
	}
	s.advance()
	s.log.Info("control plane: published", "version", out.Version, "resources", out.Resources, "removed", out.Removed, "unchanged", out.Unchanged)
	return out, nil
}
