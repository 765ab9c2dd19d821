package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/base/watchedfile"
	"silvertrail/internal/platform/discovery"
	"silvertrail/lbpolicy"
)

// reportFunc receives a source's updates, one at a time.
type reportFunc func(kind updateKind, entries []endpointlist.Endpoint)

// Source is a source of endpoints. Exactly one of its fields is set. Cluster.Update compares sources with reflect.DeepEqual.
type Source struct {
	Static   *Static
	File     *File
	DNS      *DNS
	Registry *Registry
	XDS      *XDS
}

// traits returns how the merger interprets the source's updates.
func (s Source) traits() sourceTraits {
	return sourceTraits{partial: s.DNS != nil, trustsEmpty: s.Static != nil}
}

// run reports the source's updates until ctx ends.
func (s Source) run(ctx context.Context, report reportFunc, d Discovery, setLimits func(sourceLimits), log *slog.Logger) {
	switch {
	case s.Static != nil:
		report(fullList, s.Static.Endpoints)
	case s.File != nil:
		s.File.run(ctx, report, log)
	case s.DNS != nil:
		s.DNS.run(ctx, report, log)
	case s.Registry != nil:
		s.Registry.run(ctx, report, log)
	case s.XDS != nil:
		s.XDS.run(ctx, report, d, setLimits, log)
	}
}

// Static is a list of endpoints in the configuration itself.
type Static struct{ Endpoints []endpointlist.Endpoint }

// File is a list of endpoints in a file. The file must be replaced atomically: written under another name, then renamed.
type File struct {
	Path string
	Poll time.Duration // interval between checks of the file for a change
	Zone string        // zone of entries that give none
}

// maxFileBytes bounds the size of a file of endpoints.
const maxFileBytes = 4 << 20

// run reads the file whenever it has changed, until ctx ends. A file that cannot be read or parsed leaves the last list in place.
func (f *File) run(ctx context.Context, report reportFunc, log *slog.Logger) {
	file := watchedfile.File{Path: f.Path, MaxBytes: maxFileBytes}
	failed := ""
	for {
		text, changed, err := file.Read()
		if changed {
			var entries []endpointlist.Endpoint
			if entries, err = ParseFile(text, f.Zone); err == nil {
				report(fullList, entries)
				failed = ""
			} else {
				err = fmt.Errorf("%s: %w", f.Path, err)
			}
		}
		if err != nil && err.Error() != failed { // the same error in a row is logged once
			failed = err.Error()
			log.Warn("endpoint file not applied, its last list is kept", "error", err)
			report(unreachable, nil)
		}
		if !sleep(ctx, f.Poll) {
			return
		}
	}
}

// ParseFile parses a file of endpoints: {"endpoints": [{"name", "address", "zone", "group", "status", "since_ms", "weight"}]}. Only the
// address is required. One invalid entry makes the whole file invalid.
func ParseFile(text []byte, zone string) ([]endpointlist.Endpoint, error) {
	var raw struct {
		Endpoints *[]struct {
			endpointlist.Endpoint
			Weight float64 `json:"weight"`
		} `json:"endpoints"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, err
	}
	if raw.Endpoints == nil {
		return nil, errors.New("no \"endpoints\"")
	}
	out := make([]endpointlist.Endpoint, 0, len(*raw.Endpoints))
	for i, r := range *raw.Endpoints {
		e := r.Endpoint
		e.Weight = r.Weight
		if err := NormaliseEndpoint(&e, zone); err != nil {
			return nil, fmt.Errorf("endpoints[%d]: %w", i, err)
		}
		if e.Weight < 0 || e.Weight > 1 {
			return nil, fmt.Errorf("endpoints[%d]: weight %g is not from 0 (not set) to 1", i, e.Weight)
		}
		out = append(out, e)
	}
	return out, nil
}

// NormaliseEndpoint sets the defaults of an entry, and returns an error if the entry is invalid.
func NormaliseEndpoint(e *endpointlist.Endpoint, zone string) error {
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return fmt.Errorf("address %q is not an IP address and port", e.Address)
	}
	if e.Zone == "" {
		e.Zone = zone
	}
	if e.Status == "" {
		e.Status = ready
	}
	if !slices.Contains([]string{ready, draining, gone}, e.Status) {
		return fmt.Errorf("status %q is not one of ready, draining, gone", e.Status)
	}
	return nil
}

// Registry is the platform's discovery service, which pushes changes of the endpoint list.
type Registry struct{ Address string }

// run reports the registry's updates until ctx ends.
func (r *Registry) run(ctx context.Context, report reportFunc, log *slog.Logger) {
	discovery.New(r.Address, 0, 0, func(kind lbpolicy.ListKind, entries []endpointlist.Endpoint) {
		switch kind {
		case lbpolicy.Full, lbpolicy.Cached:
			report(fullList, entries)
		case lbpolicy.Delta:
			report(changedEntries, entries)
		default:
			report(unreachable, nil)
		}
	}, log).Run(ctx)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// jitter returns a random duration from 3/4 to 5/4 of d, so that many processes do not send queries at the same time.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }
