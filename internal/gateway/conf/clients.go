package conf

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"go4.org/netipx"

	"silvertrail/internal/edge/admission"
	"silvertrail/internal/edge/certs"
)

// TLS holds the certificate settings of a listener.
type TLS struct {
	Files    certs.Files
	Required bool // clients without a certificate are rejected
}

// groupNames maps each network and certificate name to its group, across all clients blocks.
type groupNames struct {
	networks     map[netip.Prefix]string
	certificates map[string]string
}

// clientGroups reads the clients blocks. Group 0 holds all clients that no block matches. The capacity that a listener reserves for a
// group is read together with the listener.
func (p *parser) clientGroups(blocks hcl.Blocks) []admission.Group {
	groups := []admission.Group{{Name: admission.DefaultGroupName}}
	taken := groupNames{networks: map[netip.Prefix]string{}, certificates: map[string]string{}}
	for _, b := range blocks {
		groups = append(groups, p.clientGroup(b, taken))
	}
	return groups
}

// clientGroup reads a clients block, and reports networks and certificate names that another group in taken already has.
func (p *parser) clientGroup(b *hcl.Block, taken groupNames) admission.Group {
	s := p.decodeBlock("clients "+quote(b.Labels[0]), b.DefRange, b.Body, []string{"networks", "file", "certificates", "deny", "per_address", "rate", "burst", "weight"}, nil)
	group := admission.Group{Name: b.Labels[0], Deny: s.boolean("deny"), Weight: s.number("weight", 1, 0.01, 1e6)}
	if group.Name == admission.DefaultGroupName {
		p.report(b.LabelRanges[0], "Name taken", "%q are those who are of no clients block.", group.Name)
	}
	p.sourceLimits(s, &group)
	p.groupNetworks(s, &group, taken)
	p.groupCertificates(s, &group, taken)
	if len(group.Networks)+len(group.CertificateNames) == 0 && !s.has("file") && !s.has("networks") && !s.has("certificates") {
		s.report(s.at, "Nobody", "%s needs \"networks\", a \"file\" of them, or \"certificates\".", s.name)
	}
	for _, name := range []string{"per_address", "rate", "burst", "weight"} {
		if group.Deny && s.has(name) {
			s.report(s.rangeOf(name), "Without a meaning", "%q goes without \"deny\" alone.", name)
		}
	}
	return group
}

// groupNetworks reads the networks of a group, from the attribute "networks" and from the file.
func (p *parser) groupNetworks(s *block, group *admission.Group, taken groupNames) {
	var networks []locatedNetwork
	for _, l := range s.list("networks") {
		prefixes, err := parseNetwork(l.text)
		if err != nil {
			p.report(l.at, "Not a network", "%s.", err)
		}
		for _, prefix := range prefixes {
			networks = append(networks, locatedNetwork{prefix, l.at})
		}
	}
	if s.isValid("file") {
		networks = append(networks, p.networksFile(s)...)
	}
	for _, n := range networks {
		if other, ok := taken.networks[n.network]; ok && other != group.Name {
			p.report(n.at, "Of two groups", "%s is of clients %q already.", n.network, other)
		}
		taken.networks[n.network] = group.Name
		group.Networks = append(group.Networks, n.network)
	}
}

// groupCertificates reads the certificate names of a group: host names, or a wildcard for all names under a domain.
func (p *parser) groupCertificates(s *block, group *admission.Group, taken groupNames) {
	for _, l := range s.list("certificates") {
		name := strings.ToLower(l.text)
		base := strings.TrimPrefix(name, "*.")
		if base == "" || strings.Contains(base, "*") {
			p.report(l.at, "Unusable name", "%q is no name of a certificate: write \"host.example\", or \"*.example\" for all that end so.", l.text)
			continue
		}
		if other, ok := taken.certificates[name]; ok {
			p.report(l.at, "Of two groups", "%q is of clients %q already.", l.text, other)
		}
		taken.certificates[name] = group.Name
		group.CertificateNames = append(group.CertificateNames, name)
	}
}

// sourceLimits reads the limits that apply to each source address of a group.
func (p *parser) sourceLimits(s *block, group *admission.Group) {
	group.MaxPerSource = s.integer("per_address", 0, 1, 1<<20)
	group.Rate = s.number("rate", 0, 0.001, 1e6)
	group.Burst = s.integer("burst", max(int(math.Ceil(group.Rate)), 1), 1, 1<<20)
	if s.has("burst") && !s.has("rate") {
		s.report(s.rangeOf("burst"), "Without a meaning", "\"burst\" goes with \"rate\" alone.")
	}
}

// parseNetwork parses a prefix ("10.0.0.0/8"), a single address, or a range of addresses ("10.0.0.5-10.0.0.9").
func parseNetwork(text string) ([]netip.Prefix, error) {
	if r, err := netipx.ParseIPRange(text); err == nil {
		return r.Prefixes(), nil
	}
	if n, err := netip.ParsePrefix(text); err == nil {
		if n.Masked() != n {
			return nil, fmt.Errorf("%q has bits beyond its length: %s is meant, or the address alone", text, n.Masked())
		}
		return []netip.Prefix{n}, nil
	}
	if a, err := netip.ParseAddr(text); err == nil && a.Zone() == "" {
		return []netip.Prefix{netip.PrefixFrom(a.Unmap(), a.Unmap().BitLen())}, nil
	}
	return nil, fmt.Errorf("%q is no network: write \"10.0.0.0/8\", \"192.0.2.7\", or \"192.0.2.7-192.0.2.20\"", text)
}

const maxNetworksFileBytes = 16 << 20

// locatedNetwork is a network with its position in a file.
type locatedNetwork struct {
	network netip.Prefix
	at      hcl.Range
}

// networksFile reads a file with one network per line. Text after "#" is a comment.
func (p *parser) networksFile(s *block) (out []locatedNetwork) {
	path := p.path(s, "file")
	f, err := os.Open(path)
	if err != nil {
		s.report(s.rangeOf("file"), "Unreadable", "%s.", err)
		return nil
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxNetworksFileBytes+1))
	if err != nil || len(text) > maxNetworksFileBytes {
		s.report(s.rangeOf("file"), "Unreadable", "%s: over %d bytes, or unreadable: %v.", path, maxNetworksFileBytes, err)
		return nil
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n, offset := 1, 0; lines.Scan(); n++ {
		at := hcl.Range{Filename: filepath.Clean(path), Start: hcl.Pos{Line: n, Column: 1, Byte: offset}, End: hcl.Pos{Line: n, Column: 1 + len(lines.Text()), Byte: offset + len(lines.Text())}}
		offset += len(lines.Bytes()) + 1
		entry, _, _ := strings.Cut(lines.Text(), "#")
		if entry = strings.TrimSpace(entry); entry == "" {
			continue
		}
		found, err := parseNetwork(entry)
		if err != nil {
			p.report(at, "Not a network", "%s.", err)
		}
		for _, network := range found {
			out = append(out, locatedNetwork{network, at})
		}
	}
	if err := lines.Err(); err != nil {
		s.report(s.rangeOf("file"), "Unreadable", "%s: %s.", path, err)
	}
	return out
}

// admission reads a listener's admission policy and its tls block.
func (p *parser) admission(s *block, l *Listener, groups []admission.Group) {
	l.Admission = admission.Policy{
		Capacity:       l.MaxConns,
		Groups:         slices.Clone(groups),
		RequestGrace:   s.duration("grace", 300*time.Millisecond, time.Millisecond, time.Minute),
		FreeFactor:     s.number("free_factor", 8, 0, 1e6),
		IdleProtection: s.duration("guard", 2*time.Second, 0, time.Hour),
		IPv4Bits:       s.integer("bits_ipv4", 32, 8, 32),
		IPv6Bits:       s.integer("bits_ipv6", 64, 16, 128),
		MaxWait:        s.duration("patience", 200*time.Millisecond, 0, 10*time.Second),
		MaxWaiting:     max(l.MaxConns/8, 1),
	}
	p.sourceLimits(s, &l.Admission.Groups[0])
	seen := map[string]bool{}
	reserved := 0
	for _, b := range s.blocks {
		switch b.Type {
		case "reserve":
			reserved += p.reserve(b, s, l, seen)
		case "tls":
			p.tls(b, s, l)
		}
	}
	if reserved > l.MaxConns {
		s.report(s.at, "Reserves over the whole", "%s has %d connections; %d are reserved.", s.name, l.MaxConns, reserved)
	}
}

// reserve reads a reserve block: the connections that a listener reserves for a group. It returns their number. The names in seen are the
// groups for which the listener already has a reserve block.
func (p *parser) reserve(b *hcl.Block, s *block, l *Listener, seen map[string]bool) int {
	r := p.decodeBlock("reserve "+quote(b.Labels[0]), b.DefRange, b.Body, []string{"places", "most"}, nil)
	n := slices.IndexFunc(l.Admission.Groups, func(g admission.Group) bool { return g.Name == b.Labels[0] })
	if n < 1 {
		p.requireDefined("clients", locatedText{b.Labels[0], b.LabelRanges[0]})
		return 0
	}
	g := &l.Admission.Groups[n]
	g.Reserve = r.integer("places", 0, 0, 1<<20)
	g.MaxConns = r.integer("most", 0, 1, 1<<20)
	switch {
	case seen[g.Name]:
		p.report(b.DefRange, "Twice", "%s reserves for %q already.", s.name, g.Name)
	case g.Deny:
		p.report(b.DefRange, "Without a meaning", "Clients %q are denied.", g.Name)
	case g.MaxConns > 0 && g.MaxConns < g.Reserve:
		r.report(r.rangeOf("most"), "Less than the reserve", "%d places are reserved and %d may be taken.", g.Reserve, g.MaxConns)
	}
	seen[g.Name] = true
	return g.Reserve
}

// tls reads a listener's tls block.
func (p *parser) tls(b *hcl.Block, s *block, l *Listener) {
	t := p.decodeBlock("tls of "+s.name, b.DefRange, b.Body, []string{"certificate", "key", "authority", "required"}, nil)
	t.require("certificate", "key")
	if l.TLS != nil {
		p.report(b.DefRange, "Twice", "There is one tls block at most.")
	}
	files := certs.Files{Certificate: p.path(t, "certificate"), Key: p.path(t, "key"), Authority: p.path(t, "authority")}
	l.TLS = &TLS{Files: files, Required: t.boolean("required")}
	if l.TLS.Required && !t.has("authority") {
		t.report(t.rangeOf("required"), "No authority", "\"required\" needs an \"authority\" that signs callers' certificates.")
	}
}
