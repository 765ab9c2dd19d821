package gateway

import (
	"fmt"
	"slices"
	"strings"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/fleet/version"
)

// listVersion is a cluster's list as it was hashed last.
type listVersion struct {
	cluster  *sharedCluster
	revision uint64
	entry    version.Entry
}

// appliedVersions tells what this process decides by, for the fleet to tell the others. The fleet calls it, one call at a time.
func (g *Gateway) appliedVersions() []version.Entry {
	if g.state.Load() == nil {
		return nil // it decides nothing yet
	}
	s := g.acquire()
	defer g.release(s)
	m := s.file.Fingerprint
	out := []version.Entry{{Kind: version.Configuration, Hash: m.Shared, Description: fmt.Sprintf("%d classes, %d clusters, %d routes", len(s.file.Classes),
		len(s.file.Clusters), s.file.Routes.Len())}, {Kind: version.Local, Hash: m.Local}}
	if why := g.reloadError.Load(); why != nil {
		out = append(out, version.Entry{Kind: version.Rejected, Hash: version.HashOf([]byte(*why)), Description: *why})
	}
	if g.listVersions == nil {
		g.listVersions = map[string]listVersion{}
	}
	for name, c := range s.clusters {
		l := g.listVersions[name]
		if revision := c.Revision(); l.cluster != c || l.revision != revision {
			l = listVersion{c, revision, listEntry(name, c.Members())}
			g.listVersions[name] = l
		}
		if l.revision > 0 { // else no source has said anything
			out = append(out, l.entry)
		}
	}
	for name := range g.listVersions {
		if s.clusters[name] == nil {
			delete(g.listVersions, name)
		}
	}
	if g.discovery != nil {
		for _, r := range g.discovery.Dump().Resources {
			if r.Version != "" && len(out) < version.MaxEntries/2 {
				out = append(out, version.Entry{Kind: version.Resource, Name: r.Kind + " " + r.Name, Hash: version.HashOf([]byte(r.Version)), Description: r.Version})
			}
		}
	}
	return out
}

// listEntry is the version of a cluster's members: the same at two instances that may send to the same ones.
func listEntry(name string, members []endpointlist.Endpoint) version.Entry {
	lines := make([]string, len(members))
	ready := 0
	for i, m := range members {
		lines[i] = fmt.Sprintf("%q %q %q %d %q %g\n", m.Name, m.Address, m.Zone, m.Group, m.Status, m.Weight)
		if m.Status == "ready" {
			ready++
		}
	}
	slices.Sort(lines)
	return version.Entry{Kind: version.List, Name: name, Hash: version.HashOf([]byte(strings.Join(lines, ""))), Description: fmt.Sprintf("%d members, %d ready", len(members), ready)}
}

// setReloadError notes whether the last file that was to be taken up was turned away, and why.
func (g *Gateway) setReloadError(err error) {
	if err == nil {
		g.reloadError.Store(nil)
		return
	}
	why, _, _ := strings.Cut(err.Error(), "\n")
	why = why[:min(len(why), 200)]
	g.reloadError.Store(&why)
}
