package conf

import (
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"

	"silvertrail/internal/edge/certs"
	"silvertrail/internal/gateway/cluster"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/bootstrap"
	"silvertrail/internal/xds/cache"
	"silvertrail/internal/xds/selection"
)

const (
	maxControlPlanes  = 16
	maxBootstrapBytes = 1 << 20
)

// xdsBlock reads the block that names the control planes, or returns nil where there is none.
func (p *parser) xdsBlock(blocks hcl.Blocks) *bootstrap.Options {
	if len(blocks) == 0 {
		return nil
	}
	for _, b := range blocks[1:] {
		p.report(b.DefRange, "Twice", "There is one xds block at most at the top of a file.")
	}
	b := blocks[0]
	s := p.decodeBlock("xds", b.DefRange, b.Body, []string{"node", "node_cluster", "region", "zone", "sub_zone", "variant", "all", "hold", "missing", "patience",
		"trial", "backoff", "backoff_most", "quiet", "max_message", "state", "bootstrap"}, map[string]int{"plane": 1})
	options := &bootstrap.Options{Wildcard: s.boolean("all"),
		DeferTime:       s.duration("hold", 30*time.Second, 0, time.Hour),
		ResourceTimeout: s.duration("missing", 15*time.Second, 100*time.Millisecond, time.Hour),
		KeepaliveTime:   s.duration("quiet", 5*time.Minute, 10*time.Second, time.Hour),
		Selection: selection.Timing{ResponseTimeout: s.duration("patience", 5*time.Second, 50*time.Millisecond, time.Hour),
			Probation:  s.duration("trial", 10*time.Second, 0, time.Hour),
			MinBackoff: s.duration("backoff", 500*time.Millisecond, time.Millisecond, time.Minute)},
		MaxMessageBytes: int(s.size("max_message", 16<<20, 64<<10, 1<<30)), StateFile: p.path(s, "state")}
	options.Selection.MaxBackoff = s.duration("backoff_most", max(30*time.Second, options.Selection.MinBackoff), options.Selection.MinBackoff, time.Hour)
	options.Variant = map[string]ads.Variant{"delta": ads.Delta, "whole": ads.StateOfTheWorld}[s.oneOf("variant", "delta", "delta", "whole")]
	if s.has("bootstrap") {
		p.bootstrap(s, options)
	}
	hostname, _ := os.Hostname()
	if options.Node.ID == "" {
		options.Node.ID = hostname
	}
	for name, field := range map[string]*string{"node": &options.Node.ID, "node_cluster": &options.Node.Cluster, "region": &options.Node.Region, "zone": &options.Node.Zone, "sub_zone": &options.Node.SubZone} {
		*field = s.text(name, *field)
	}
	for _, inner := range s.blocks {
		if plane, ok := p.controlPlane(inner); ok {
			if slices.ContainsFunc(options.ControlPlanes, func(other bootstrap.ControlPlane) bool { return other.Name == plane.Name }) {
				p.report(inner.LabelRanges[0], "Named twice", "A plane named %q is there already.", plane.Name)
			}
			options.ControlPlanes = append(options.ControlPlanes, plane)
		}
	}
	switch {
	case len(s.blocks) == 0 && !s.has("bootstrap"):
		s.report(s.at, "No control plane", "xds needs a plane block for each control plane, the first one first, or a bootstrap file.")
	case len(options.ControlPlanes) > maxControlPlanes:
		s.report(s.at, "Out of range", "There are %d control planes; %d are the most.", len(options.ControlPlanes), maxControlPlanes)
	}
	return options
}

// bootstrap reads the control planes and the node of a bootstrap file. The control planes of the xds block are appended to them later.
func (p *parser) bootstrap(s *block, options *bootstrap.Options) {
	path := p.path(s, "bootstrap")
	info, err := os.Stat(path)
	var text []byte
	if err == nil && info.Size() <= maxBootstrapBytes {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		s.report(s.rangeOf("bootstrap"), "No bootstrap file", "%s.", err)
		return
	}
	b, err := bootstrap.Parse(text, filepath.Dir(path))
	if err != nil {
		s.report(s.rangeOf("bootstrap"), "Unusable bootstrap file", "%s: %s.", path, err)
		return
	}
	options.ControlPlanes, options.Node = b.ControlPlanes, b.Node
}

// controlPlane reads the block of a control plane, which has an address or a file. It returns false if neither is usable.
func (p *parser) controlPlane(b *hcl.Block) (bootstrap.ControlPlane, bool) {
	s := p.decodeBlock("plane "+quote(b.Labels[0]), b.DefRange, b.Body, []string{"address", "file", "plain", "certificate", "key", "authority", "host"}, nil)
	out := bootstrap.ControlPlane{Name: b.Labels[0], Address: s.text("address", ""), File: p.path(s, "file"), Insecure: s.boolean("plain"), ServerName: s.text("host", ""),
		TLS: certs.Files{Certificate: p.path(s, "certificate"), Key: p.path(s, "key"), Authority: p.path(s, "authority")}}
	secured := []string{"certificate", "key", "authority", "host"}
	rejectWith := func(other string, names ...string) {
		for _, name := range names {
			if s.has(name) {
				s.report(s.rangeOf(name), "Without a meaning", "%q goes without %q alone.", name, other)
			}
		}
	}
	switch {
	case s.has("file"):
		rejectWith("file", append(secured, "address", "plain")...)
		return out, out.File != ""
	case !s.has("address"):
		s.report(s.at, "No address", "%s needs an \"address\" or a \"file\".", s.name)
		return out, false
	case out.Insecure:
		rejectWith("plain", secured...)
	case (out.TLS.Certificate == "") != (out.TLS.Key == ""):
		s.report(s.at, "Half a certificate", "\"certificate\" and \"key\" go together.")
	}
	if host, port, err := net.SplitHostPort(out.Address); s.isValid("address") && (err != nil || host == "" || port == "") {
		s.report(s.rangeOf("address"), "Not an address", "%q is no address and port.", out.Address)
	}
	return out, true
}

// xdsSource reads the xds block of a cluster, which may have one at most.
func (p *parser) xdsSource(s *block, c *cluster.Config, zones []string) {
	twice := false
	for _, b := range s.blocks {
		if b.Type != "xds" {
			continue
		}
		if twice {
			p.report(b.DefRange, "Twice", "%s has one xds block at most.", s.name)
		}
		twice = true
		e := p.decodeBlock("xds of "+s.name, b.DefRange, b.Body, []string{"resource", "level", "part", "zone", "server"}, nil)
		x := &cluster.XDS{Resource: e.text("resource", c.Name), Priority: cache.AllPriorities, Zones: zones, Zone: p.zone(e, zones),
			ZoneField: e.oneOf("part", "zone", "region", "zone", "sub_zone"), Server: e.text("server", "")}
		if e.has("level") {
			x.Priority = e.integer("level", 0, 0, 127)
		}
		if x.Server == "" {
			x.Server, _ = cluster.SystemServer() // only needed if the endpoints are given as host names
		} else if _, port, err := net.SplitHostPort(x.Server); err != nil || port == "" {
			e.report(e.rangeOf("server"), "Not an address", "%q is no address and port.", x.Server)
		}
		c.Sources = append(c.Sources, cluster.Source{XDS: x})
	}
}
