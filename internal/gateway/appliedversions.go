package gateway

import (
	"fmt"
	"slices"
	"strings"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/fleet/version"
)

// listVersion is the version of a cluster's members, hashed once for each revision.
type listVersion struct {
	cluster  *sharedCluster
	revision uint64
	entry    version.Entry
}

// appliedVersions returns the versions of what this process acts on, for the other members. The fleet calls it, one call at a time.
func (g *Gateway) appliedVersions() []version.Entry {
	if g.state.Load() == nil {
		return nil // nothing is in force yet
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
		if l.revision > 0 { // else no source has reported yet
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

// listEntry returns the version of a cluster's members: the same at two instances whose members are the same.
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
	return version.Entry{Kind: version.EndpointList, Name: name, Hash: version.HashOf([]byte(strings.Join(lines, ""))), Description: fmt.Sprintf("%d members, %d ready", len(members), ready)}
}

// maxReloadErrorBytes bounds the text of a reload error that the fleet's members see.
const maxReloadErrorBytes = 200

// setReloadError records the result of the last reload.
func (g *Gateway) setReloadError(err error) {
	if err == nil {
		g.reloadError.Store(nil)
		return
	}
	why, _, _ := strings.Cut(err.Error(), "\n")
	why = why[:min(len(why), maxReloadErrorBytes)]
	g.reloadError.Store(&why)
}
