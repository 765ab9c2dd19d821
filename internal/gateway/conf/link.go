package conf

import (
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"silvertrail/internal/sites/peering"
	"silvertrail/lbpolicy"
)

// LinkListener is the listener name by which routes match requests forwarded by other sites.
const LinkListener = "link"

// maxGatewaysPerSite is the maximum number of addresses of a peer.
const maxGatewaysPerSite = 16

// linkBlock reads the link block, or returns nil where there is none.
func (p *parser) linkBlock(blocks hcl.Blocks, f *File) *peering.Options {
	if len(blocks) == 0 {
		return nil
	}
	p.atMostOne(blocks)
	b := blocks[0]
	s := p.decodeBlock("link "+quote(b.Labels[0]), b.DefRange, b.Body, []string{"listen", "certificate", "key", "authority", "plain", "heartbeat",
		"silence", "calls", "connections"}, map[string]int{"peer": 1})
	s.require("listen")
	options := &peering.Options{
		Site:              b.Labels[0],
		Listen:            s.text("listen", "127.0.0.1:0"),
		MaxInFlight:       s.integer("calls", 1024, 1, 1<<16),
		Connections:       s.integer("connections", 2, 1, 8),
		HeartbeatInterval: s.duration("heartbeat", 100*time.Millisecond, 10*time.Millisecond, time.Minute),
		HeartbeatTimeout:  s.duration("silence", 300*time.Millisecond, 20*time.Millisecond, time.Minute),
	}
	p.checkSiteName(options.Site, b.LabelRanges[0])
	p.linkIdentity(s, options)
	for _, inner := range s.blocks {
		peer := p.peer(inner)
		if peer.Name == options.Site || slices.ContainsFunc(options.Peers, func(other peering.Peer) bool { return other.Name == peer.Name }) {
			p.report(inner.LabelRanges[0], "Named twice", "%q is this sala, or a peer already.", peer.Name)
		}
		options.Peers = append(options.Peers, peer)
	}
	if len(options.Peers) == 0 {
		s.report(s.at, "No peer", "%s needs a peer block for each other sala.", s.name)
	}
	for _, c := range f.Classes {
		options.PriorityWeights = append(options.PriorityWeights, c.PriorityWeight)
	}
	p.requireVoters(s, f)
	return options
}

// linkIdentity checks the listen address and reads the certificate files, which are optional for a link on loopback only.
func (p *parser) linkIdentity(s *block, options *peering.Options) {
	listen, err := netip.ParseAddrPort(options.Listen)
	if err != nil && s.has("listen") {
		s.report(s.rangeOf("listen"), "Not an address", "%q is no IP address and port, such as \"10.0.0.5:7950\".", options.Listen)
	}
	files := []string{"certificate", "key", "authority"}
	if !s.boolean("plain") {
		s.require(files...)
		options.Identity = &peering.Identity{Certificate: p.path(s, "certificate"), Key: p.path(s, "key"), Authority: p.path(s, "authority")}
		return
	}
	if err == nil && !listen.Addr().IsLoopback() {
		s.report(s.rangeOf("plain"), "Not on loopback", "A plain link is for loopback alone; %s is not.", options.Listen)
	}
	for _, name := range files {
		if s.has(name) {
			s.report(s.rangeOf(name), "Without a meaning", "%q goes without \"plain\" alone.", name)
		}
	}
}

// peer reads a peer block: another site with the addresses of its gateways.
func (p *parser) peer(b *hcl.Block) peering.Peer {
	s := p.decodeBlock("peer "+quote(b.Labels[0]), b.DefRange, b.Body, []string{"address", "addresses"}, nil)
	peer := peering.Peer{Name: b.Labels[0]}
	p.checkSiteName(peer.Name, b.LabelRanges[0])
	addresses := s.list("addresses")
	switch {
	case s.has("address") && s.has("addresses"):
		s.report(s.rangeOf("address"), "Told twice", "\"addresses\" goes without \"address\".")
	case s.has("addresses") && len(addresses) == 0 && s.isValid("addresses"):
		s.report(s.rangeOf("addresses"), "No address", "%s needs one address at least.", s.name)
	case !s.has("addresses"):
		s.require("address")
		addresses = []locatedText{{s.text("address", ""), s.rangeOf("address")}}
	}
	if len(addresses) > maxGatewaysPerSite {
		s.report(s.rangeOf("addresses"), "Out of range", "%s has %d gateways; %d are the most.", s.name, len(addresses), maxGatewaysPerSite)
	}
	isGiven := s.has("address") || s.has("addresses")
	for _, a := range addresses {
		if host, port, err := net.SplitHostPort(a.text); isGiven && (err != nil || host == "" || port == "") {
			p.report(a.at, "Not an address", "%q is no address and port.", a.text)
		}
		if slices.Contains(peer.Addresses, a.text) {
			p.report(a.at, "Named twice", "%q is named already.", a.text)
		}
		peer.Addresses = append(peer.Addresses, a.text)
	}
	return peer
}

// requireVoters reports a class with idempotency keys if the fleet has no voters: without them a retry through another site could take
// effect a second time.
func (p *parser) requireVoters(s *block, f *File) {
	if f.Fleet != nil && len(f.Fleet.Voters) > 0 {
		return
	}
	i := slices.IndexFunc(f.Classes, func(c Class) bool { return c.Effect == lbpolicy.KeyedIdempotent })
	if i < 0 {
		return
	}
	s.report(s.at, "Keys without voters", "Class %q is keyed: with a link its keys need a fleet block whose voters stand in all salas, or a "+
		"repeat through another sala could take effect a second time.", f.Classes[i].Name)
}

// checkSiteName checks the name of a site. The site's certificate has the same name, and qualified cluster names include it.
func (p *parser) checkSiteName(name string, at hcl.Range) {
	if name == "" || len(name) > 63 || strings.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-'
	}) {
		p.report(at, "Unusable name", "The name of a sala has 1 to 63 of a to z, 0 to 9 and \"-\".")
	}
}

// path reads a file path. A relative path is resolved against the folder of the configuration file.
func (p *parser) path(s *block, name string) string {
	path := s.text(name, "")
	if path != "" && !filepath.IsAbs(path) {
		path = filepath.Join(p.folder, path)
	}
	return path
}

// forwardSites reads the sites to which a route may forward requests.
func (p *parser) forwardSites(s *block, f *File) (out []string) {
	for _, l := range s.list("cross") {
		switch {
		case f.Link == nil:
			p.report(l.at, "No link", "%s crosses to %q, but there is no link block.", s.name, l.text)
		case !slices.ContainsFunc(f.Link.Peers, func(peer peering.Peer) bool { return peer.Name == l.text }):
			var names []string
			for _, peer := range f.Link.Peers {
				names = append(names, peer.Name)
			}
			p.report(l.at, "Unknown sala", "The link has no peer named %q.%s", l.text, suggestion(l.text, names))
		case slices.Contains(out, l.text):
			p.report(l.at, "Named twice", "%q is named already.", l.text)
		}
		out = append(out, l.text)
	}
	return out
}
