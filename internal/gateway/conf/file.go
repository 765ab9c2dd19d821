package conf

import (
	"net"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"silvertrail/internal/edge/admission"
	"silvertrail/internal/gateway/cluster"
	"silvertrail/lbpolicy"
)

// topLevelBlocks maps the type of each top-level block to the number of its labels.
var topLevelBlocks = map[string]int{"process": 0, "class": 1, "tenant": 1, "listener": 1, "cluster": 1, "route": 1, "fleet": 1, "link": 1,
	"clients": 1, "xds": 0, "ledger": 0, "control_plane": 0}

// maxFleetSize is the maximum number of instances in a fleet.
const maxFleetSize = 10_000

// file reads a file's body. The result is only valid if no error was reported.
func (p *parser) file(body hcl.Body) *File {
	blocks := p.topLevel(body)
	f := &File{}
	for _, b := range blocks["class"] {
		f.Classes = append(f.Classes, p.class(b))
	}
	var process *block
	f.Process, process = p.process(blocks["process"])
	f.ControlPlane = p.controlPlaneBlock(blocks["control_plane"])
	// A control-plane server may run without serving clients: then the file has no listeners, routes, clusters or classes.
	serves := f.ControlPlane == nil || len(blocks["listener"])+len(blocks["route"])+len(blocks["cluster"])+len(blocks["class"]) > 0
	if len(f.Classes) == 0 && serves {
		p.report(body.MissingItemRange(), "No class", "At least one class is needed: what requests are worth and how long they may take.")
	}
	if name := f.Process.DefaultClass; name != "" {
		p.requireDefined("class", locatedText{name, process.rangeOf("default_class")})
	}
	f.Fleet = p.fleetBlock(blocks["fleet"], f)
	f.Link = p.linkBlock(blocks["link"], f)
	f.XDS = p.xdsBlock(blocks["xds"])
	f.Ledger = p.ledgerBlock(blocks["ledger"], f)
	f.Control = p.path(process, "control")
	p.checkFleetSize(process, f)
	settings := p.policySettings(blocks["tenant"], f)
	p.listeners(blocks, f)
	if len(f.Listeners) == 0 && serves {
		p.report(body.MissingItemRange(), "No listener", "At least one listener is needed.")
	}
	p.checkListeners(blocks["listener"], f)
	p.fleetSettings(process, f, &settings)
	p.clusters(blocks["cluster"], settings, f)
	f.Routes = p.routes(blocks["route"], f)
	return f
}

// topLevel returns the blocks of a file by type.
func (p *parser) topLevel(body hcl.Body) map[string]hcl.Blocks {
	top := p.decodeBlock("the file", hcl.Range{}, body, nil, topLevelBlocks)
	blocks := map[string]hcl.Blocks{}
	for _, b := range top.blocks {
		blocks[b.Type] = append(blocks[b.Type], b)
		if len(b.Labels) > 0 {
			p.defineName(b)
		}
	}
	return blocks
}

// checkFleetSize reports the attributes "fleet" and "member" in a file with a fleet block, because membership determines both numbers.
// They are allowed together with a link: then the fleet spans several sites, and the attributes count the instances of this site only.
func (p *parser) checkFleetSize(process *block, f *File) {
	if f.Fleet == nil || f.Link != nil {
		return
	}
	for _, name := range []string{"fleet", "member"} {
		if process.has(name) {
			process.report(process.rangeOf(name), "Told twice", "%q goes without a fleet block alone: with one the members are counted.", name)
		}
	}
}

// policySettings reads the tenants, and returns the policy settings that all clusters have in common.
func (p *parser) policySettings(tenants hcl.Blocks, f *File) lbpolicy.Settings {
	var settings lbpolicy.Settings
	for _, c := range f.Classes {
		settings.Classes = append(settings.Classes, c.Class)
	}
	for _, b := range tenants {
		s := p.decodeBlock("tenant "+quote(b.Labels[0]), b.DefRange, b.Body, []string{"rate"}, nil)
		f.Tenants = append(f.Tenants, b.Labels[0])
		settings.Tenants = append(settings.Tenants, lbpolicy.Tenant{QuotaPerSecond: s.number("rate", 0, 0, 1e9)})
	}
	return settings
}

// fleetSettings reads the number of instances, and the index and the zone of this instance.
func (p *parser) fleetSettings(process *block, f *File, settings *lbpolicy.Settings) {
	settings.Balancers = process.integer("fleet", 1, 1, maxFleetSize)
	maxIndex := settings.Balancers - 1
	if !process.isValid("fleet") && process.has("fleet") { // do not report an invalid fleet size again as the upper bound of "member"
		maxIndex = maxFleetSize - 1
	}
	settings.Index = process.integer("member", 0, 0, maxIndex)
	settings.Zone = max(slices.Index(f.Process.Zones, process.text("zone", "")), 0)
}

// listeners reads the listeners and the client groups to which their admission policies refer.
func (p *parser) listeners(blocks map[string]hcl.Blocks, f *File) {
	groups := p.clientGroups(blocks["clients"])
	hasAuthority := false
	for _, b := range blocks["listener"] {
		l := p.listener(b, f.Process.Sockets/2/len(blocks["listener"]), groups)
		hasAuthority = hasAuthority || l.TLS != nil && l.TLS.Files.Authority != ""
		f.Listeners = append(f.Listeners, l)
	}
	if hasAuthority || len(f.Listeners) == 0 {
		return
	}
	p.checkCertificateGroups(blocks["clients"], groups)
}

// checkCertificateGroups reports groups with certificate names. It is called if no listener verifies client certificates, so that no
// client could be matched to such a group by certificate.
func (p *parser) checkCertificateGroups(blocks hcl.Blocks, groups []admission.Group) {
	for i, g := range groups[1:] {
		if len(g.CertificateNames) > 0 {
			p.report(blocks[i].DefRange, "Never shown", "Clients %q are known by certificates, but no listener has a tls block with an authority.", g.Name)
		}
	}
}

// checkListeners checks that no two listeners have the same address, and that their connections take at most half of the descriptors.
func (p *parser) checkListeners(blocks hcl.Blocks, f *File) {
	sum := 0
	byAddress := map[string]string{}
	for i, l := range f.Listeners {
		sum += l.MaxConns
		if other, taken := byAddress[l.Address]; taken {
			p.report(blocks[i].DefRange, "Address taken", "Listener %q already listens on %s.", other, l.Address)
		}
		if _, port, _ := net.SplitHostPort(l.Address); port != "0" { // port 0: the system assigns each listener a free port
			byAddress[l.Address] = l.Name
		}
	}
	if limit := f.Process.Sockets / 2; sum > limit {
		p.report(blocks[len(blocks)-1].DefRange, "Too many connections", "The listeners take %d connections; half of \"sockets\" is %d.", sum, limit)
	}
}

// fractionTolerance is the rounding error by which a sum of fractions may exceed 1.
const fractionTolerance = 1e-9

// clusters reads the clusters, and checks that their reserves add up to at most 100 % and that xds blocks have control planes.
func (p *parser) clusters(blocks hcl.Blocks, settings lbpolicy.Settings, f *File) {
	reserved := 0.0
	for _, b := range blocks {
		c := p.cluster(b, settings, f.Process.Zones, len(blocks))
		reserved += c.ReserveFraction
		f.Clusters = append(f.Clusters, c)
	}
	if reserved > 1+fractionTolerance {
		p.report(blocks[0].DefRange, "Reserves over the whole", "The clusters' reserves add up to %.0f%%.", reserved*100)
	}
	if f.XDS != nil {
		return
	}
	for i, c := range f.Clusters {
		if slices.ContainsFunc(c.Sources, func(s cluster.Source) bool { return s.XDS != nil }) {
			p.report(blocks[i].DefRange, "No control plane", "Cluster %q has an xds block, but the file has none that names control planes.", c.Name)
		}
	}
}
