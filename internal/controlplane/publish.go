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

// maxResourceBytes is the largest resource that can be published: a message of 16 MiB, the default limit of a sidecar, has room for
// one such resource.
const maxResourceBytes = 15 << 20

// ErrInitialSync is returned while a server that has just started waits for the records of its peers. A publication made before
// that could be ordered before versions that the peers have, and would then not be applied.
var ErrInitialSync = errors.New("control plane: it has just begun and is still hearing its peers; try again in a moment")

// Publish publishes the resources of a discovery response in protobuf JSON, unless text is empty, and removes resources by key
// ("cluster/NAME", "endpoints/NAME"). A publication is atomic: on success, all changes are stored and in force. On failure,
// nothing has changed, and the error lists all faults.
func (s *Server) Publish(text []byte, remove []string) (api.Published, error) {
	var resources []*anypb.Any
	if len(text) > 0 {
		m, err := xds.ParseFile(text)
		if err != nil {
			return api.Published{}, fmt.Errorf("control plane: %w", err)
		}
		resources = m.Resources
	}
	return s.PublishResources(resources, remove)
}

// PublishResources is Publish for parsed resources.
func (s *Server) PublishResources(resources []*anypb.Any, remove []string) (api.Published, error) {
	contents, faults := parseContents(resources)
	removals, removeFaults := parseRemovals(remove)
	contents, faults = append(contents, removals...), append(faults, removeFaults...)
	if len(contents)+len(faults) == 0 {
		return api.Published{}, errors.New("control plane: nothing to publish")
	}
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	p, err := s.storePublication(contents, faults)
	if err != nil {
		return api.Published{}, err
	}
	return s.applyPublication(p), nil
}

// parseContents returns the contents of resources, and the faults of those that are invalid.
func parseContents(resources []*anypb.Any) (contents []records.Content, faults []error) {
	for i, resource := range resources {
		k := envoy.KindOf(resource.GetTypeUrl())
		if k == ads.KindCount {
			faults = append(faults, fmt.Errorf("resources[%d]: of type %q; clusters and endpoint sets can be published", i, resource.GetTypeUrl()))
			continue
		}
		c, err := parseContent(k, resource)
		if err != nil {
			faults = append(faults, fmt.Errorf("resources[%d]: %w", i, err))
			continue
		}
		if size := len(c.Raw); size > maxResourceBytes {
			faults = append(faults, fmt.Errorf("resources[%d]: %s: %d bytes, over %d", i, c.Key, size, maxResourceBytes))
		}
		contents = append(contents, c)
	}
	return contents, faults
}

// parseRemovals returns the contents of removed resources, and the faults of invalid keys.
func parseRemovals(remove []string) (contents []records.Content, faults []error) {
	for _, text := range slices.Compact(slices.Sorted(slices.Values(remove))) {
		key, err := records.ParseKey(text)
		if err != nil {
			faults = append(faults, fmt.Errorf("remove: %w", err))
			continue
		}
		contents = append(contents, records.Content{Key: key, Removed: true})
	}
	return contents, faults
}

// storePublication prepares a publication and stores it. It is stored before it is sent: if a version that was already sent were
// lost in a crash, the server would assign it again, to other content.
func (s *Server) storePublication(contents []records.Content, faults []error) (p records.Publication, err error) {
	err = s.writeState(func() (records.Publication, error) {
		if !s.initialSync.IsComplete(time.Now()) {
			return p, ErrInitialSync
		}
		var invalid []error
		p, invalid = s.store.Prepare(contents)
		return p, errors.Join(append(faults, invalid...)...)
	})
	return p, err
}

// applyPublication puts a stored publication in force.
func (s *Server) applyPublication(p records.Publication) api.Published {
	s.mu.Lock()
	defer s.mu.Unlock()
	published := api.Published{Version: p.Version.String(), Unchanged: p.Unchanged}
	for _, r := range p.Records {
		s.merge(r)
		if r.Removed {
			published.Removed++
		} else {
			published.Resources++
		}
	}
	s.advance()
	s.log.Info("publication applied", "version", published.Version, "resources", published.Resources, "removed", published.Removed, "unchanged", published.Unchanged)
	return published
}
