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

// reportFunc takes a source's updates, one at a time.
type reportFunc func(w updateKind, entries []endpointlist.Endpoint)

// Source is a source of endpoints. Exactly one of its fields is set. A reload compares sources with reflect.DeepEqual.
type Source struct {
	Static   *Static
	File     *File
	DNS      *DNS
	Registry *Registry
	XDS      *XDS
}

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

// Static is a list in the configuration itself.
type Static struct{ Endpoints []endpointlist.Endpoint }

// File is a list in a file that is replaced atomically (written beside and renamed).
type File struct {
	Path string
	Poll time.Duration // interval between two checks for a change
	Zone string        // of entries without one
}

// maxFileBytes bounds a file of endpoints.
const maxFileBytes = 4 << 20

// run reads the file each time that it has changed, until ctx ends. With a file that cannot be used the last list stays.
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
		if err != nil && err.Error() != failed { // an error is logged once
			failed = err.Error()
			log.Warn("file of endpoints not applied, its last list is kept", "error", err)
			report(unreachable, nil)
		}
		if !sleep(ctx, f.Poll) {
			return
		}
	}
}

// ParseFile reads a file of endpoints: {"endpoints": [{"name", "address", "zone", "group", "status", "since_ms", "weight"}]}, all
// optional but the address. One invalid entry makes the file invalid.
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
			return nil, fmt.Errorf("endpoints[%d]: weight %g is not from 0 (not told) to 1", i, e.Weight)
		}
		out = append(out, e)
	}
	return out, nil
}

// NormaliseEndpoint adds the defaults of an entry, or returns what is wrong with it.
func NormaliseEndpoint(e *endpointlist.Endpoint, zone string) error {
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return fmt.Errorf("address %q is no IP address and port", e.Address)
	}
	if e.Zone == "" {
		e.Zone = zone
	}
	if e.Status == "" {
		e.Status = ready
	}
	if !slices.Contains([]string{ready, draining, gone}, e.Status) {
		return fmt.Errorf("status %q is none of ready, draining, gone", e.Status)
	}
	return nil
}

// Registry is the platform's discovery, which pushes changes.
type Registry struct{ Address string }

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

// sleep waits, and returns false where ctx has ended.
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

// jitter returns a random time around d, so that many processes do not ask at the same time.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }
