package conf

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"silvertrail/internal/gateway/route"
)

// routes reads the route blocks and compiles them to a table.
func (p *parser) routes(blocks hcl.Blocks, f *File) *route.Table {
	var rules []route.Rule
	ranges := map[string]hcl.Range{}
	for _, b := range blocks {
		before := len(p.diags)
		r := p.route(b, f)
		// A rule with an error is not compiled, because the compiler would report the same error again with another text.
		if _, twice := ranges[r.Name]; len(p.diags) == before && !twice {
			rules = append(rules, r)
			ranges[r.Name] = b.DefRange
		}
	}
	listeners := p.definedNames("listener")
	if f.Link != nil {
		if _, taken := p.names["listener"][LinkListener]; taken {
			p.report(p.names["listener"][LinkListener], "Name taken", "%q is what routes call requests that come from other salas.", LinkListener)
		} else {
			listeners = append(listeners, LinkListener)
		}
	}
	table, errs := route.Compile(listeners, rules)
	for _, err := range errs {
		p.report(ranges[err.Rule], "Unusable route", "Route %q: %s.", err.Rule, err.Err)
	}
	return table
}

func (p *parser) route(b *hcl.Block, f *File) route.Rule {
	s := p.decodeBlock("route "+quote(b.Labels[0]), b.DefRange, b.Body, []string{"cluster", "class", "timeout", "max_attempts", "failover", "cross",
		"split_by", "rewrite", "set_headers", "remove_headers"}, map[string]int{"match": 0, "to": 1, "respond": 0, "redirect": 0})
	r := route.Rule{Name: b.Labels[0], Class: s.text("class", ""), MaxAttempts: s.integer("max_attempts", 0, 1, 10),
		Failover: s.text("failover", ""), SetHeaders: s.stringMap("set_headers"), RemoveHeaders: stringsOf(s.list("remove_headers")),
		Timeout: s.duration("timeout", 0, time.Millisecond, time.Hour)}
	if s.has("class") {
		p.requireDefined("class", locatedText{r.Class, s.rangeOf("class")})
	}
	if s.has("cluster") {
		name := s.text("cluster", "")
		p.requireDefined("cluster", locatedText{name, s.rangeOf("cluster")})
		r.Targets = append(r.Targets, route.Target{Cluster: name, Weight: 1})
	}
	r.ForwardSites = p.forwardSites(s, f)
	if s.has("rewrite") {
		to := s.text("rewrite", "/")
		r.Rewrite = &to
	}
	r.SplitBy, r.SplitHeader = p.splitBy(s)
	for _, inner := range s.blocks {
		switch inner.Type {
		case "match":
			r.Matches = append(r.Matches, p.match(inner, f.Link != nil))
		case "to":
			t := p.decodeBlock("to", inner.DefRange, inner.Body, []string{"weight"}, nil)
			name := inner.Labels[0]
			if p.requireDefined("cluster", locatedText{name, inner.LabelRanges[0]}) &&
				slices.ContainsFunc(r.Targets, func(o route.Target) bool { return o.Cluster == name }) {
				p.report(inner.LabelRanges[0], "Named twice", "%s goes to cluster %q already.", s.name, name)
			}
			r.Targets = append(r.Targets, route.Target{Cluster: name, Weight: uint32(t.integer("weight", 1, 0, 1_000_000))})
		case "respond":
			a := p.decodeBlock("respond", inner.DefRange, inner.Body, []string{"status", "body", "headers"}, nil)
			a.require("status")
			r.Respond = &route.Response{Status: a.integer("status", 404, 200, 599), Body: a.text("body", ""), Header: a.stringMap("headers")}
			p.checkHeaders(a, "headers", r.Respond.Header)
		case "redirect":
			a := p.decodeBlock("redirect", inner.DefRange, inner.Body, []string{"status", "scheme", "host", "path"}, nil)
			r.Redirect = &route.Redirect{Status: a.integer("status", http.StatusFound, 301, 308), Scheme: a.oneOf("scheme", "", "http", "https"),
				Host: a.text("host", ""), Path: a.text("path", "")}
			if !slices.Contains([]int{301, 302, 303, 307, 308}, r.Redirect.Status) {
				a.report(a.rangeOf("status"), "Not a redirect", "%d is none of 301, 302, 303, 307, 308.", r.Redirect.Status)
			}
		}
	}
	if r.Failover != "" && p.requireDefined("cluster", locatedText{r.Failover, s.rangeOf("failover")}) &&
		len(r.Targets) == 1 && r.Targets[0].Cluster == r.Failover {
		s.report(s.rangeOf("failover"), "Failover to itself", "%s goes to cluster %q alone anyway.", s.name, r.Failover)
	}
	p.checkHeaders(s, "set_headers", r.SetHeaders)
	for _, name := range r.RemoveHeaders {
		p.checkHeaderName(s, "remove_headers", name)
	}
	return r
}

// protectedHeaders are the headers that the gateway itself reads and writes. A route must not change them.
var protectedHeaders = []string{"Host", "Content-Length", "Transfer-Encoding", "Connection", "X-Request-Id", "Idempotency-Key", "X-Timeout-Ms"}

// checkHeaderName checks that a header has a valid name and is not protected.
func (p *parser) checkHeaderName(s *block, attr, name string) {
	canonical := http.CanonicalHeaderKey(name)
	if slices.Contains(protectedHeaders, canonical) {
		s.report(s.rangeOf(attr), "Not a route's to change", "%q in %s is written by the program itself.", name, s.name)
	}
	if name == "" || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r) }) {
		s.report(s.rangeOf(attr), "Not a header", "%q in %s is no header's name.", name, s.name)
	}
}

// checkHeaders checks the names and values of the headers that a route sets on requests or on its own response.
func (p *parser) checkHeaders(s *block, attr string, h map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(h)) {
		p.checkHeaderName(s, attr, name)
		if strings.ContainsFunc(h[name], func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
			s.report(s.rangeOf(attr), "Not a header's value", "The value of %q in %s holds a control character.", name, s.name)
		}
	}
}

// splitBy reads the property of a request by which a route with several targets distributes requests. For "header:NAME" it also returns
// the header's name.
func (p *parser) splitBy(s *block) (route.SplitKind, string) {
	text := s.text("split_by", "request")
	if name, isHeader := strings.CutPrefix(text, "header:"); isHeader && name != "" {
		return route.SplitHeader, http.CanonicalHeaderKey(name)
	}
	kinds := map[string]route.SplitKind{"request": route.SplitRequest, "tenant": route.SplitTenant, "path": route.SplitPath,
		"client": route.SplitClient}
	kind, known := kinds[text]
	if !known {
		s.report(s.rangeOf("split_by"), "Unknown word", "%q in %s is none of request, tenant, path, client, header:NAME.", text, s.name)
	}
	return kind, ""
}

// match reads a match block. With linked, the block may name the link as a listener.
func (p *parser) match(b *hcl.Block, linked bool) (m route.Match) {
	s := p.decodeBlock("match", b.DefRange, b.Body, []string{"listeners", "hosts", "path", "prefix", "template", "methods", "headers", "query",
		"class", "tenant"}, nil)
	for _, l := range s.list("listeners") {
		if l.text != LinkListener || !linked {
			p.requireDefined("listener", l)
		}
		m.Listeners = append(m.Listeners, l.text)
	}
	m.Hosts = stringsOf(s.list("hosts"))
	paths := 0
	for name, kind := range map[string]route.PathKind{"path": route.Exact, "prefix": route.Prefix, "template": route.Template} {
		if s.has(name) {
			paths++
			m.Path = route.Path{Kind: kind, Pattern: s.text(name, "/")}
			if m.Path.Pattern == "" {
				s.report(s.rangeOf(name), "Empty path", "A path begins with a slash.")
			}
		}
	}
	if paths > 1 {
		s.report(s.at, "Several paths", "A match has one of path, prefix and template.")
	}
	m.Methods = p.readMethods(s.list("methods"))
	for name, value := range s.stringMap("headers") {
		m.Headers = append(m.Headers, route.ValueMatch{Name: name, Value: value, AnyValue: value == "*"})
	}
	for name, value := range s.stringMap("query") {
		m.Query = append(m.Query, route.ValueMatch{Name: name, Value: value, AnyValue: value == "*"})
	}
	m.Class, m.Tenant = s.text("class", ""), s.text("tenant", "")
	if s.has("class") {
		p.requireDefined("class", locatedText{m.Class, s.rangeOf("class")})
	}
	if s.has("tenant") {
		p.requireDefined("tenant", locatedText{m.Tenant, s.rangeOf("tenant")})
	}
	return m
}
