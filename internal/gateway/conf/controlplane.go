package conf

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"

	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/edge/certs"
)

// maxPeers is the maximum number of peers of a control-plane server.
const maxPeers = 16

// controlPlaneBlock reads the block that makes this process a control-plane server, or returns nil where there is none.
func (p *parser) controlPlaneBlock(blocks hcl.Blocks) *api.Options {
	if len(blocks) == 0 {
		return nil
	}
	p.atMostOne(blocks)
	b := blocks[0]
	s := p.decodeBlock("control_plane", b.DefRange, b.Body, []string{"name", "listen", "plain", "certificate", "key", "authority", "state", "pace", "subscribers", "settle"},
		map[string]int{"peer": 1})
	s.require("name", "listen", "state")
	options := &api.Options{Name: s.text("name", ""), Listen: s.text("listen", ""), Insecure: s.boolean("plain"),
		TLS:            certs.Files{Certificate: p.path(s, "certificate"), Key: p.path(s, "key"), Authority: p.path(s, "authority")},
		StateFile:      p.path(s, "state"),
		BytesPerSecond: s.size("pace", api.DefaultBytesPerSecond, 64<<10, 10<<30),
		MaxSubscribers: s.integer("subscribers", api.DefaultSubscribers, 1, 100_000),
		InitialSync:    s.duration("settle", api.DefaultInitialSync, time.Millisecond, time.Hour)}
	if s.isValid("name") && !isUsableName(options.Name) {
		s.report(s.rangeOf("name"), "Unusable name", "The name of a control machine has 1 to 100 letters, digits, dots, dashes and underscores.")
	}
	if _, err := netip.ParseAddrPort(options.Listen); s.isValid("listen") && err != nil {
		s.report(s.rangeOf("listen"), "Not an address", "%q is no IP address and port, such as \"10.0.0.5:18000\".", options.Listen)
	}
	switch {
	case options.Insecure:
		for _, name := range []string{"certificate", "key", "authority"} {
			if s.has(name) {
				s.report(s.rangeOf(name), "Without a meaning", "%q goes without \"plain\" alone.", name)
			}
		}
	case !s.has("certificate") || !s.has("key"):
		s.report(s.at, "No certificate", "control_plane needs a \"certificate\" and its \"key\", or plain = true.")
	}
	for _, inner := range s.blocks {
		plane, ok := p.controlPlane(inner)
		switch {
		case !ok:
		case plane.File != "":
			p.report(inner.DefRange, "Not a control machine", "Peer %q is a file; it needs an \"address\".", plane.Name)
		case plane.Name == options.Name:
			p.report(inner.LabelRanges[0], "Its own peer", "%q is this control machine.", plane.Name)
		case slices.ContainsFunc(options.Peers, func(peer api.Peer) bool { return peer.Name == plane.Name }):
			p.report(inner.LabelRanges[0], "Named twice", "A peer named %q is there already.", plane.Name)
		default:
			options.Peers = append(options.Peers, api.Peer{Name: plane.Name, ControlPlane: plane})
		}
	}
	if n := len(options.Peers); n > maxPeers {
		s.report(s.at, "Out of range", "There are %d peers; %d are the most.", n, maxPeers)
	}
	return options
}

// isUsableName reports whether the name of a control-plane server is valid: it becomes a part of version strings.
func isUsableName(name string) bool {
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '.' && r != '-' && r != '_' {
			return false
		}
	}
	return name != "" && len(name) <= 100
}
