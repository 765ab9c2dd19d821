// Package conf reads the configuration file of the product: listeners, classes, tenants, clusters and routes, in HCL.
//
// A file is wholly good or wholly refused, and all that is wrong with it is told at once, each fault with its file,
// line and column. The package opens the file and nothing else.
package conf

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/edge/admission"
	"silvertrail/internal/fleet"
	"silvertrail/internal/gateway/cluster"
	"silvertrail/internal/gateway/route"
	"silvertrail/internal/ledger"
	"silvertrail/internal/sites/peering"
	"silvertrail/internal/xds/bootstrap"
	"silvertrail/lbpolicy"
)

// File is a configuration that can be used.
type File struct {
	Process      Process
	Classes      []Class
	Tenants      []string // in the order of the decisions' numbers
	Listeners    []Listener
	Clusters     []cluster.Config
	Routes       *route.Table
	Fleet        *fleet.Options     // nil: this instance is alone
	Link         *peering.Options   // nil: no other salas
	XDS          *bootstrap.Options // nil: no control planes
	ControlPlane *api.Options       // nil: this instance is none
	Ledger       *ledger.Options    // nil: keyed requests are not recorded
	Fingerprint  Fingerprint        // where the fleet tells versions
	Control      string             // a socket's path, on which the running process tells of itself; empty: none
}

// Process is what concerns the whole program.
type Process struct {
	Zones        []string
	Sockets      int // descriptors
	MaxRequests  int64
	BodyMemory   int64
	ShutdownTime time.Duration // from SIGTERM to the last answer
	DefaultClass string        // of requests that name none, on routes that give none
	MaxKeys      int           // of keyed requests, that are remembered at most
}

// Class is a class of requests.
type Class struct {
	Name    string
	Methods []string
	lbpolicy.Class

	// Of keyed classes:

	Retention       time.Duration // for which a key is known after its window, so that no repeat of it is taken for new
	CheckRepeats    bool          // a key that comes with another target or body is turned away
	Concurrent      ConcurrentPolicy
	ServeUnrecorded bool // its requests are served where the ledger can't record them
}

// ConcurrentPolicy is what becomes of a request while another one with its key is in work.
type ConcurrentPolicy uint8

// It is sent to the group of endpoints that drops it as a repeat, or is turned away with 409.
const (
	ForwardConcurrent ConcurrentPolicy = iota
	RejectConcurrent
)

// Listener is an address on which callers connect.
type Listener struct {
	Name     string
	Address  string
	MaxConns int
	// TrustsForwarded takes X-Forwarded-For from its callers and adds to it; else what they say of it is dropped.
	TrustsForwarded bool
	Admission       admission.Policy
	TLS             *TLS // nil: plain connections
}

// Error is all that is wrong with a file.
type Error struct {
	Diagnostics hcl.Diagnostics
	files       map[string]*hcl.File
}

// Error tells each fault on a line of its own.
func (e *Error) Error() string {
	var b strings.Builder
	for i, d := range e.Diagnostics {
		if i > 0 {
			b.WriteByte('\n')
		}
		if d.Subject != nil {
			fmt.Fprintf(&b, "%s:%d:%d: ", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column)
		}
		fmt.Fprintf(&b, "%s: %s", d.Summary, d.Detail)
	}
	return b.String()
}

// Text tells each fault with the lines that it is about.
func (e *Error) Text() string {
	var b bytes.Buffer
	hcl.NewDiagnosticTextWriter(&b, e.files, 100, false).WriteDiagnostics(e.Diagnostics)
	return b.String()
}

const maxFileBytes = 64 << 20

// Load reads a file. An *Error tells what is wrong with what it says.
func Load(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("config: %s: over %d bytes", path, maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return Parse(text, path)
}

// Parse reads a file's text. Name is the file's, for errors; paths in the text are taken from its folder.
func Parse(text []byte, name string) (*File, error) {
	parsed, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, &Error{diags, map[string]*hcl.File{name: parsed}}
	}
	p := &parser{folder: filepath.Dir(name), names: map[string]map[string]hcl.Range{}}
	f := p.file(parsed.Body)
	if p.diags.HasErrors() {
		sort.SliceStable(p.diags, func(i, j int) bool {
			a, b := p.diags[i].Subject, p.diags[j].Subject
			return a != nil && b != nil && a.Start.Byte < b.Start.Byte
		})
		return nil, &Error{p.diags, map[string]*hcl.File{name: parsed}}
	}
	if f.Fleet != nil && f.Fleet.Versions {
		var err error
		if f.Fingerprint, err = fingerprintOf(parsed.Body.(*hclsyntax.Body)); err != nil {
			return nil, err
		}
	}
	return f, nil
}

type parser struct {
	blockReader
	folder string
	names  map[string]map[string]hcl.Range // by kind
}

// name takes a block's label, which must be new among its kind.
func (p *parser) name(b *hcl.Block) string {
	name := b.Labels[0]
	if p.names[b.Type] == nil {
		p.names[b.Type] = map[string]hcl.Range{}
	}
	first, twice := p.names[b.Type][name]
	switch {
	case name == "" || len(name) > 100 || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		p.report(b.LabelRanges[0], "Unusable name", "The name of a %s has 1 to 100 characters and no spaces.", b.Type)
	case twice:
		p.report(b.LabelRanges[0], "Named twice", "A %s named %q stands on line %d already.", b.Type, name, first.Start.Line)
	default:
		p.names[b.Type][name] = b.LabelRanges[0]
	}
	return name
}

func (p *parser) file(body hcl.Body) *File {
	top := p.open("the file", hcl.Range{}, body, nil,
		map[string]int{"process": 0, "class": 1, "tenant": 1, "listener": 1, "cluster": 1, "route": 1, "fleet": 1, "link": 1, "clients": 1, "xds": 0, "ledger": 0, "control_plane": 0})
	by := map[string]hcl.Blocks{}
	for _, b := range top.blocks {
		by[b.Type] = append(by[b.Type], b)
		if len(b.Labels) > 0 {
			p.name(b)
		}
	}
	f := &File{}
	for _, b := range by["class"] {
		f.Classes = append(f.Classes, p.class(b))
	}
	var process *block
	f.Process, process = p.process(by["process"])
	f.ControlPlane = p.controlPlaneBlock(by["control_plane"])
	// A control machine needs no callers.
	serves := f.ControlPlane == nil || len(by["listener"])+len(by["route"])+len(by["cluster"])+len(by["class"]) > 0
	if len(f.Classes) == 0 && serves {
		p.report(body.MissingItemRange(), "No class", "At least one class is needed: what requests are worth and how long they may take.")
	}
	if name := f.Process.DefaultClass; name != "" {
		p.requireDefined("class", located{name, process.rangeOf("default_class")})
	}
	f.Fleet = p.fleetBlock(by["fleet"], f)
	f.Link = p.linkBlock(by["link"], f)
	f.XDS = p.xdsBlock(by["xds"])
	f.Ledger = p.ledgerBlock(by["ledger"], f)
	f.Control = p.path(process, "control")
	if f.Fleet != nil && f.Link == nil { // with a link the fleet spans salas, and the numbers are this sala's
		for _, name := range []string{"fleet", "member"} {
			if process.has(name) {
				process.report(process.rangeOf(name), "Told twice", "%q goes without a fleet block alone: with one the members are counted.", name)
			}
		}
	}
	var settings lbpolicy.Settings
	for _, c := range f.Classes {
		settings.Classes = append(settings.Classes, c.Class)
	}
	for _, b := range by["tenant"] {
		s := p.open("tenant "+quote(b.Labels[0]), b.DefRange, b.Body, []string{"rate"}, nil)
		f.Tenants = append(f.Tenants, b.Labels[0])
		settings.Tenants = append(settings.Tenants, lbpolicy.Tenant{QuotaPerSecond: s.number("rate", 0, 0, 1e9)})
	}
	groups := p.clientGroups(by["clients"])
	proven := false
	for _, b := range by["listener"] {
		l := p.listener(b, f.Process.Sockets/2/len(by["listener"]), groups)
		proven = proven || l.TLS != nil && l.TLS.Files.Authority != ""
		f.Listeners = append(f.Listeners, l)
	}
	for i, g := range groups[1:] {
		if len(g.CertificateNames) > 0 && !proven && len(f.Listeners) > 0 {
			p.report(by["clients"][i].DefRange, "Never shown", "Clients %q are known by certificates, but no listener has a tls block with an authority.", g.Name)
		}
	}
	if len(f.Listeners) == 0 && serves {
		p.report(body.MissingItemRange(), "No listener", "At least one listener is needed.")
	}
	sum := 0
	addresses := map[string]string{}
	for i, l := range f.Listeners {
		sum += l.MaxConns
		other, taken := addresses[l.Address]
		if taken {
			p.report(by["listener"][i].DefRange, "Address taken", "Listener %q already listens on %s.", other, l.Address)
		}
		if _, port, _ := net.SplitHostPort(l.Address); port != "0" { // 0: the system picks one for each
			addresses[l.Address] = l.Name
		}
	}
	if most := f.Process.Sockets / 2; sum > most {
		p.report(by["listener"][len(by["listener"])-1].DefRange, "Too many connections", "The listeners take %d connections; half of \"sockets\" is %d.", sum, most)
	}
	settings.Balancers = process.integer("fleet", 1, 1, 10000)
	most := settings.Balancers - 1
	if !process.isValid("fleet") && process.has("fleet") {
		most = 9999
	}
	settings.Index = process.integer("member", 0, 0, most)
	settings.Zone = max(slices.Index(f.Process.Zones, process.text("zone", "")), 0)
	reserved := 0.0
	for _, b := range by["cluster"] {
		c := p.cluster(b, settings, f.Process.Zones, len(by["cluster"]))
		reserved += c.ReserveFraction
		f.Clusters = append(f.Clusters, c)
	}
	if reserved > 1+1e-9 {
		p.report(by["cluster"][0].DefRange, "Reserves over the whole", "The clusters' reserves add up to %.0f%%.", reserved*100)
	}
	if f.XDS == nil {
		for i, c := range f.Clusters {
			if slices.ContainsFunc(c.Sources, func(s cluster.Source) bool { return s.XDS != nil }) {
				p.report(by["cluster"][i].DefRange, "No control plane", "Cluster %q has an xds block, but the file has none that names control planes.", c.Name)
			}
		}
	}
	f.Routes = p.routes(by["route"], f)
	return f
}

// requireDefined checks a name against those that there are of a kind.
func (p *parser) requireDefined(kind string, l located) bool {
	if _, is := p.names[kind][l.text]; is {
		return true
	}
	p.report(l.at, "Unknown "+kind, "There is no %s named %q.%s", kind, l.text, suggestion(l.text, p.all(kind)))
	return false
}

func (p *parser) all(kind string) (names []string) {
	for name := range p.names[kind] {
		names = append(names, name)
	}
	return names
}

// atMostOne reports the blocks of a kind beyond the first.
func (p *parser) atMostOne(blocks hcl.Blocks) {
	for _, b := range blocks[min(len(blocks), 1):] {
		p.report(b.DefRange, "Twice", "There is one %s block at most.", b.Type)
	}
}

func quote(name string) string { return fmt.Sprintf("%q", name) }

func (p *parser) process(blocks hcl.Blocks) (out Process, s *block) {
	s = &block{blockReader: &p.blockReader, name: "process"}
	if len(blocks) > 0 {
		s = p.open("process", blocks[0].DefRange, blocks[0].Body, []string{"zones", "zone", "sockets", "calls", "body_memory", "stop",
			"default_class", "fleet", "member", "keys", "control"}, nil)
	}
	p.atMostOne(blocks)
	out.Zones = stringsOf(s.list("zones"))
	named := len(out.Zones) > 0
	if !named {
		out.Zones = []string{s.text("zone", "local")}
	}
	p.names["zone"] = map[string]hcl.Range{}
	for _, z := range out.Zones {
		p.names["zone"][z] = s.rangeOf("zones")
	}
	switch {
	case named && s.has("zone"):
		p.requireDefined("zone", located{s.text("zone", ""), s.rangeOf("zone")})
	case named:
		s.require("zone")
	}
	out.Sockets = s.integer("sockets", 1024, 64, 1<<20)
	out.MaxRequests = int64(s.integer("calls", 4096, 1, 1<<20))
	out.BodyMemory = s.size("body_memory", 32<<20, 64<<10, 1<<40)
	out.ShutdownTime = s.duration("stop", 5*time.Second, 100*time.Millisecond, time.Hour)
	out.DefaultClass = s.text("default_class", "")
	out.MaxKeys = s.integer("keys", 1<<16, 16, 1<<24)
	return out, s
}

var (
	effects = map[string]lbpolicy.Effect{"safe": lbpolicy.Idempotent, "keyed": lbpolicy.KeyedIdempotent, "unsafe": lbpolicy.NonIdempotent}
	scopes  = map[string]lbpolicy.Scope{"all": lbpolicy.ScopeAll, "zone": lbpolicy.ScopeZone, "cell": lbpolicy.ScopeCell}
	methods = map[lbpolicy.Effect][]string{
		lbpolicy.Idempotent:      {"GET", "HEAD", "OPTIONS"},
		lbpolicy.KeyedIdempotent: {"POST", "PUT", "PATCH", "DELETE"},
		lbpolicy.NonIdempotent:   {"POST", "PUT", "PATCH", "DELETE"},
	}
)

func (p *parser) class(b *hcl.Block) Class {
	s := p.open("class "+quote(b.Labels[0]), b.DefRange, b.Body, []string{"aim", "deadline", "worth", "effect", "scope", "window", "methods",
		"keep", "check_repeats", "concurrent", "unrecorded"}, nil)
	s.require("aim", "deadline", "effect")
	c := Class{Name: b.Labels[0]}
	c.Deadline = s.duration("deadline", time.Second, time.Millisecond, time.Hour)
	if s.isValid("deadline") {
		c.LatencyObjective = s.duration("aim", c.Deadline, time.Millisecond, c.Deadline)
	} else { // what is unreadable is told once, not again by what is measured against it
		c.LatencyObjective = s.duration("aim", c.Deadline, time.Millisecond, time.Hour)
	}
	c.PriorityWeight = s.number("worth", 1, 0, 1e6)
	c.Effect = effects[s.oneOf("effect", "unsafe", "safe", "keyed", "unsafe")]
	c.Scope = scopes[s.oneOf("scope", "all", "all", "zone", "cell")]
	c.Window = s.duration("window", 0, 0, 24*time.Hour)
	c.Retention = s.duration("keep", c.Window, 0, 24*time.Hour)
	c.CheckRepeats = s.boolean("check_repeats")
	if s.oneOf("concurrent", "send", "send", "conflict") == "conflict" {
		c.Concurrent = RejectConcurrent
	}
	c.ServeUnrecorded = s.oneOf("unrecorded", "refuse", "refuse", "serve") == "serve"
	c.Methods = methods[c.Effect]
	if s.has("methods") {
		c.Methods = p.methods(s.list("methods"))
	}
	for _, name := range []string{"scope", "window", "keep", "check_repeats", "concurrent", "unrecorded"} {
		if s.has(name) && c.Effect != lbpolicy.KeyedIdempotent {
			s.report(s.rangeOf(name), "Without a meaning", "%q goes with effect = \"keyed\" alone.", name)
		}
	}
	if c.Effect == lbpolicy.KeyedIdempotent {
		s.require("window")
	}
	return c
}

func (p *parser) methods(list []located) []string {
	for _, l := range list {
		if l.text == "" || strings.ContainsFunc(l.text, func(r rune) bool { return r < 'A' || r > 'Z' }) || l.text == "CONNECT" || l.text == "TRACE" {
			p.report(l.at, "Unusable method", "%q is no method that is passed on.", l.text)
		}
	}
	return stringsOf(list)
}

func (p *parser) listener(b *hcl.Block, connections int, groups []admission.Group) Listener {
	s := p.open("listener "+quote(b.Labels[0]), b.DefRange, b.Body, []string{"address", "connections", "trusted", "per_address", "rate", "burst",
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
