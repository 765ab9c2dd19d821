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

// reportFunc takes a source's words, one at a time.
type reportFunc func(w updateKind, entries []endpointlist.Endpoint)

// Source follows one list of members until its context ends. Just one of its fields is set. It is comparable by
// reflect.DeepEqual, by which a reload tells whether it has changed.
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

func (s Source) run(ctx context.Context, say reportFunc, d Discovery, bound func(sourceLimits), log *slog.Logger) {
	switch {
	case s.Static != nil:
		say(fullList, s.Static.Endpoints)
	case s.File != nil:
		s.File.run(ctx, say, log)
	case s.DNS != nil:
		s.DNS.run(ctx, say, log)
	case s.Registry != nil:
		s.Registry.run(ctx, say, log)
	case s.XDS != nil:
		s.XDS.run(ctx, say, d, bound, log)
	}
}

// Static is a list in the configuration itself.
type Static struct{ Endpoints []endpointlist.Endpoint }

// File is a list in a file that is replaced atomically (written beside and renamed).
type File struct {
	Path string
	Poll time.Duration // how often its change is looked for
	Zone string        // of entries that name none
}

const maxFile = 4 << 20

// run reads the file when it has changed. One that can't be read or used is out of reach: what it said last stands.
func (f *File) run(ctx context.Context, say reportFunc, log *slog.Logger) {
	file := watchedfile.File{Path: f.Path, MaxBytes: maxFile}
	failed := ""
	for {
		text, changed, err := file.Read()
		if changed {
			var entries []endpointlist.Endpoint
			if entries, err = ParseFile(text, f.Zone); err == nil {
				say(fullList, entries)
				failed = ""
			} else {
				err = fmt.Errorf("%s: %w", f.Path, err)
			}
		}
		if err != nil && err.Error() != failed { // a fault is told once
			failed = err.Error()
			log.Warn("cluster file: what it said last stands", "error", err)
			say(unreachable, nil)
		}
		if !sleep(ctx, f.Poll) {
			return
		}
	}
}

// ParseFile reads a file of endpoints: {"endpoints": [{"name", "address", "zone", "group", "status", "since_ms", "weight"}]}, all
// but the address optional. Unlike a list that a peer sends it is wholly good or wholly refused: somebody wrote it.
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

// NormaliseEndpoint brings an entry that somebody wrote into its form, or tells what is wrong with it.
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

func (r *Registry) run(ctx context.Context, say reportFunc, log *slog.Logger) {
	discovery.New(r.Address, 0, 0, func(kind lbpolicy.ListKind, entries []endpointlist.Endpoint) {
		switch kind {
		case lbpolicy.Full, lbpolicy.Cached:
			say(fullList, entries)
		case lbpolicy.Delta:
			say(changedEntries, entries)
		default:
			say(unreachable, nil)
		}
	}, log).Run(ctx)
}

// sleep waits and tells whether ctx still holds.
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

// jitter draws a time about d, so that many processes don't ask in step.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }
