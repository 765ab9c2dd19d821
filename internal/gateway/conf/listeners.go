package conf

import (
	"net/netip"

	"github.com/hashicorp/hcl/v2"

	"silvertrail/internal/edge/admission"
)

// listener reads a listener block. The default limit of connections is the parameter connections.
func (p *parser) listener(b *hcl.Block, connections int, groups []admission.Group) Listener {
	s := p.decodeBlock("listener "+quote(b.Labels[0]), b.DefRange, b.Body, []string{"address", "connections", "trusted", "per_address", "rate", "burst",
		"guard", "grace", "bits_ipv4", "bits_ipv6", "free_factor", "patience"}, map[string]int{"reserve": 1, "tls": 0})
	s.require("address")
	l := Listener{Name: b.Labels[0], Address: s.text("address", "127.0.0.1:0"), TrustsForwarded: s.boolean("trusted"),
		MaxConns: s.integer("connections", connections, 1, 1<<20)}
	if _, err := netip.ParseAddrPort(l.Address); err != nil {
		s.report(s.rangeOf("address"), "Not an address", "%q is no IP address and port, such as \"127.0.0.1:8080\".", l.Address)
	}
	p.admission(s, &l, groups)
	return l
}
