// Package route finds the rule for a request. A Table is compiled once, is immutable and is safe for concurrent use. A
// look-up does no I/O and usually allocates nothing.
//
// # Precedence
//
// Of all rules that match a request, the one with the highest precedence is used, whatever the order of the rules in the
// file. The precedence is that of the Kubernetes Gateway API (HTTPRouteRule), with templates between exact paths and
// prefixes. It is a total order. These criteria are compared in turn, the preferred value first:
//
//  1. an exact host, then the longer suffix ("*.a.example" before "*.example"), then any host
//  2. an exact path, then a template, then the longer prefix. Two templates are compared at the first segment in which they
//     differ, where a literal precedes a variable.
//  3. a match that names a method
//  4. more headers
//  5. more query parameters
//  6. a match that names a class
//  7. a match that names a tenant
//  8. a match that names a listener
//  9. the rule's name in byte order, then the earlier match of the rule
//
// Compile reports an error for two matches that differ only in the names of their rules, as the second would never be found.
package route

import (
	"errors"
	"fmt"
	"maps"
	"math/bits"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"
)

// PathKind is how a path is matched.
type PathKind uint8

// The kinds of path match, in increasing precedence.
const (
	Prefix   PathKind = iota // compares whole segments: "/a" matches "/a" and "/a/b", but not "/ab"
	Template                 // same number of segments; "{name}" matches any segment that is not empty
	Exact                    // the whole path
)

// Path is a condition on the path of a request. The zero value matches any path.
type Path struct {
	Kind    PathKind
	Pattern string
}

// ValueMatch is a condition on a header or a query parameter.
type ValueMatch struct {
	Name     string
	Value    string
	AnyValue bool // matches any value
}

// Match is a conjunction of conditions. An empty one matches any request.
type Match struct {
	Listeners []string
	Hosts     []string // "name", "*.suffix" (with one or more labels in place of "*") or "*" (any host)
	Path      Path
	Methods   []string
	// A header that occurs several times matches only with AnyValue, because implementations differ in which value they use.
	Headers []ValueMatch
	Query   []ValueMatch // only the first value of a parameter is compared
	Class   string
	Tenant  string
}

// Target is a cluster and its weight in a split.
type Target struct {
	Cluster string
	Weight  uint32
}

// SplitKind is the kind of key by which a rule splits requests over its targets.
type SplitKind uint8

// The kinds of split. Requests with an idempotency key are always split by that key, because a retry must go to the same
// cluster.
const (
	SplitRequest SplitKind = iota // the ID of the request
	SplitHeader
	SplitTenant
	SplitPath
	SplitClient // the address of the client
)

// Response is a fixed response that the gateway sends without forwarding the request.
type Response struct {
	Status int
	Body   string
	Header map[string]string
}

// Redirect redirects the client. Where a field is empty, the request's value is kept.
type Redirect struct {
	Status int
	Scheme string
	Host   string
	Path   string // replaces the whole path
}

// Rule is a routing rule. Exactly one of Targets, Respond and Redirect is set.
type Rule struct {
	Name    string
	Matches []Match // at least one must match; an empty list matches all requests

	Targets  []Target
	Respond  *Response
	Redirect *Redirect

	Class         string        // class of all requests of the rule; empty: the class in the request's header
	Timeout       time.Duration // 0: the deadline of the class
	MaxAttempts   int           // 0: the bound of the cluster
	Failover      string        // cluster for requests that did not run in the cluster that was picked
	ForwardSites  []string      // sites for requests that the local site cannot serve
	SplitBy       SplitKind
	SplitHeader   string  // name of the header, for the kind SplitHeader
	Rewrite       *string // replaces the matched prefix, or the whole path of an exact match
	SetHeaders    map[string]string
	RemoveHeaders []string

	totalWeight uint64 // sum of the weights of Targets
}

// Pick returns the cluster to which the split assigns a key. All processes return the same cluster. A change of weights
// changes the cluster of only as many keys as necessary.
func (r *Rule) Pick(key string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Cluster
	}
	position, _ := bits.Mul64(hashKey(key), r.totalWeight)
	for i := range r.Targets {
		w := uint64(r.Targets[i].Weight)
		if position < w {
			return r.Targets[i].Cluster
		}
		position -= w
	}
	panic("route: totalWeight is larger than the sum of the weights") // cannot happen: checkAction sets it to the sum
}

// hashKey returns the FNV-1a hash of s, mixed by the finaliser of splitmix64 so that all bits depend on the whole key.
func hashKey(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// ForwardedPath returns the path with which a request of this rule is forwarded. The argument matched is the path condition that the
// request matched.
func (r *Rule) ForwardedPath(path string, matched Path) string {
	if r.Rewrite == nil {
		return path
	}
	if matched.Kind != Prefix {
		return *r.Rewrite
	}
	rest := strings.TrimPrefix(path, strings.TrimSuffix(matched.Pattern, "/"))
	if joined := strings.TrimSuffix(*r.Rewrite, "/") + rest; joined != "" {
		return joined
	}
	return "/"
}

// check returns the first error in a rule, regardless of the other rules. It brings header names, hosts and paths into their
// canonical forms.
func (r *Rule) check() error {
	if err := r.checkAction(); err != nil {
		return err
	}
	if err := r.checkRewrite(); err != nil {
		return err
	}
	r.SetHeaders = canonicalHeaders(r.SetHeaders)
	r.RemoveHeaders = slices.Clone(r.RemoveHeaders)
	for i, name := range r.RemoveHeaders {
		r.RemoveHeaders[i] = textproto.CanonicalMIMEHeaderKey(name)
	}
	r.Matches = slices.Clone(r.Matches)
	if len(r.Matches) == 0 {
		r.Matches = []Match{{}}
	}
	for i := range r.Matches {
		if err := r.Matches[i].check(); err != nil {
			return err
		}
	}
	return nil
}

// checkAction checks that a rule has exactly one of targets, response and redirect. It sets totalWeight.
func (r *Rule) checkAction() error {
	actions := 0
	for _, isSet := range []bool{len(r.Targets) > 0, r.Respond != nil, r.Redirect != nil} {
		if isSet {
			actions++
		}
	}
	if actions != 1 {
		return errors.New("wants clusters, an answer or a redirect, and just one of them")
	}
	if len(r.Targets) == 0 {
		return nil
	}
	for _, t := range r.Targets {
		r.totalWeight += uint64(t.Weight)
	}
	if r.totalWeight == 0 {
		return errors.New("its weights are all 0")
	}
	return nil
}

// checkRewrite checks that the rewritten path is canonical and that no match is a template.
func (r *Rule) checkRewrite() error {
	if r.Rewrite == nil {
		return nil
	}
	normal, err := NormalisePath(*r.Rewrite)
	if err != nil || normal != *r.Rewrite {
		return fmt.Errorf("rewrite %q is not in normal form", *r.Rewrite)
	}
	for _, m := range r.Matches {
		if m.Path.Kind == Template {
			return errors.New("a template can't be rewritten")
		}
	}
	return nil
}

// canonicalHeaders returns a copy of a map of headers with canonical names.
func canonicalHeaders(h map[string]string) map[string]string {
	out := maps.Clone(h)
	for name, value := range h {
		delete(out, name)
		out[textproto.CanonicalMIMEHeaderKey(name)] = value
	}
	return out
}

// check returns the first error in a match. It brings header names, hosts and paths into their canonical forms and sorts
// lists.
func (m *Match) check() error {
	if m.Path.Pattern == "" {
		m.Path = Path{Prefix, "/"}
	}
	if err := m.Path.check(); err != nil {
		return err
	}
	if err := m.checkHosts(); err != nil {
		return err
	}
	m.Headers = slices.Clone(m.Headers)
	m.Query = slices.Clone(m.Query)
	for i := range m.Headers {
		m.Headers[i].Name = textproto.CanonicalMIMEHeaderKey(m.Headers[i].Name)
	}
	for _, values := range [][]ValueMatch{m.Headers, m.Query} {
		if err := checkValues(values); err != nil {
			return err
		}
	}
	m.Methods = slices.Compact(slices.Sorted(slices.Values(m.Methods)))
	return nil
}

// checkHosts checks, normalises and sorts the hosts of a match. No host stands for any host.
func (m *Match) checkHosts() error {
	m.Hosts = slices.Clone(m.Hosts)
	for i, h := range m.Hosts {
		if h == "*" {
			continue
		}
		name, isSuffix := strings.CutPrefix(h, "*.")
		normal, err := NormaliseHost(name)
		if err != nil || name == "" || strings.ContainsRune(name, ':') && !strings.HasPrefix(name, "[") {
			return fmt.Errorf("host %q is no name, \"*.suffix\" or \"*\"", h)
		}
		if isSuffix {
			normal = "*." + normal
		}
		m.Hosts[i] = normal
	}
	if len(m.Hosts) == 0 {
		m.Hosts = []string{"*"}
	}
	slices.Sort(m.Hosts)
	m.Hosts = slices.Compact(m.Hosts)
	return nil
}

// checkValues sorts values by name, and checks that no name is empty or occurs twice.
func checkValues(values []ValueMatch) error {
	slices.SortFunc(values, func(a, b ValueMatch) int { return strings.Compare(a.Name, b.Name) })
	for i := range values {
		if values[i].Name == "" || i > 0 && values[i].Name == values[i-1].Name {
			return fmt.Errorf("header or parameter %q: empty, or named twice", values[i].Name)
		}
	}
	return nil
}

// check returns the first error in a path condition. It removes the slash at the end of a prefix.
func (p *Path) check() error {
	if p.Kind == Template {
		for segment := range strings.SplitSeq(strings.TrimPrefix(p.Pattern, "/"), "/") {
			if isVariable(segment) {
				continue
			}
			if strings.ContainsAny(segment, "{}") {
				return fmt.Errorf("path %q: a variable is a whole segment, \"{name}\"", p.Pattern)
			}
		}
		literal := strings.NewReplacer("{", "", "}", "").Replace(p.Pattern)
		if normal, err := NormalisePath(literal); err != nil || normal != literal {
			return fmt.Errorf("path %q is not in normal form", p.Pattern)
		}
		return nil
	}
	normal, err := NormalisePath(p.Pattern)
	if err != nil {
		return fmt.Errorf("%w, in %q", err, p.Pattern)
	}
	if normal != p.Pattern {
		return fmt.Errorf("path %q is not in normal form, which is %q", p.Pattern, normal)
	}
	if p.Kind == Prefix && len(p.Pattern) > 1 {
		p.Pattern = strings.TrimSuffix(p.Pattern, "/") // "/a/" is the prefix "/a", as in the Gateway API
	}
	return nil
}

// isVariable reports whether a segment of a template is a variable, "{name}".
func isVariable(segment string) bool {
	return len(segment) > 2 && segment[0] == '{' && segment[len(segment)-1] == '}' && !strings.ContainsAny(segment[1:len(segment)-1], "{}")
}

// Request holds the parts of a request that rules match. Host and Path are in canonical form.
type Request struct {
	Listener, Host, Path, Method string
	Class, Tenant                string
	Header                       http.Header
	Query                        string // raw query, as it stands in the request target
}
