// Package route finds the rule for a request. A Table is compiled once, is immutable and may be used by any goroutine; a look-up does no
// I/O and usually allocates nothing.
//
// # Precedence
//
// Of all rules that match a request the best one is used, whatever their order in the file. The precedence is that of the Kubernetes Gateway
// API (HTTPRouteRule), with templates between exact paths and prefixes, and is total. Better is, in this order:
//
//  1. a host named exactly, then the longer suffix ("*.a.example" before "*.example"), then any host
//  2. an exact path, then a template, then the longer prefix. Of two templates: at the first segment in which they
//     differ, a literal before a variable
//  3. a method named
//  4. more headers
//  5. more query parameters
//  6. a class named, 7. a tenant named, 8. a listener named
//  9. the rule's name in byte order, then the earlier of its matches
//
// Two matches that differ in the names of their rules alone are an error of Compile: the second would never be found.
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

// The kinds of path, in increasing precedence.
const (
	Prefix   PathKind = iota // whole segments: "/a" matches "/a" and "/a/b", not "/ab"
	Template                 // as many segments; "{name}" matches one that is not empty
	Exact
)

// Path is a path to match. The zero value matches any.
type Path struct {
	Kind    PathKind
	Pattern string
}

// Value is a header or a query parameter to match.
type Value struct {
	Name     string
	Value    string
	AnyValue bool // whatever its value
}

// Match is a conjunction of conditions; an empty one matches anything.
type Match struct {
	Listeners []string
	Hosts     []string // "name", "*.suffix" (one label more or several) or "*"
	Path      Path
	Methods   []string
	// A header that occurs several times matches with AnyValue alone: implementations differ in which one they use.
	Headers []Value
	Query   []Value // the first value of a parameter counts
	Class   string
	Tenant  string
}

// Target is a cluster with its weight in a split.
type Target struct {
	Cluster string
	Weight  uint32
}

// SplitKind says which key a split uses.
type SplitKind uint8

// The kinds of split. Requests with an idempotency key are always split by that key: a retry must go to the same cluster.
const (
	SplitRequest SplitKind = iota // the request's ID
	SplitHeader
	SplitTenant
	SplitPath
	SplitClient // the client's address
)

// Response is a response that a route gives itself.
type Response struct {
	Status int
	Body   string
	Header map[string]string
}

// Redirect redirects the client. An empty field keeps that of the request.
type Redirect struct {
	Status int
	Scheme string
	Host   string
	Path   string // in place of the whole path
}

// Rule is a route. Exactly one of Targets, Respond and Redirect is set.
type Rule struct {
	Name    string
	Matches []Match // one must match; none matches all requests

	Targets  []Target
	Respond  *Response
	Redirect *Redirect

	Class         string        // of all its requests; empty: that of the request's header
	Timeout       time.Duration // 0: the class's deadline
	MaxAttempts   int           // 0: the cluster's
	Failover      string        // cluster for requests that did not run in their own
	ForwardSites  []string      // sites for requests that this one cannot serve
	SplitBy       SplitKind
	SplitHeader   string
	Rewrite       *string // in place of the matched prefix, or of the whole exact path
	SetHeaders    map[string]string
	RemoveHeaders []string

	totalWeight uint64
}

// Pick returns the cluster that a split picks for a key. It is the same in all processes, and after a change of weights it changes for the
// necessary fraction of the keys alone.
func (r *Rule) Pick(key string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Cluster
	}
	at, _ := bits.Mul64(hash(key), r.totalWeight)
	for i := range r.Targets {
		w := uint64(r.Targets[i].Weight)
		if at < w {
			return r.Targets[i].Cluster
		}
		at -= w
	}
	panic("route: weights do not sum up") // total is their sum
}

// hash is FNV-1a, spread over all bits by the finaliser of splitmix64.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// Path returns the path with which a request of this rule is forwarded. Matched is the path of the match.
func (r *Rule) Path(path string, matched Path) string {
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

// check reports what is wrong with a rule by itself, and normalises its texts.
func (r *Rule) check() error {
	if err := r.checkAction(); err != nil {
		return err
	}
	if err := r.checkRewrite(); err != nil {
		return err
	}
	r.SetHeaders = canonical(r.SetHeaders)
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

// checkAction checks that a rule has exactly one of targets, response and redirect.
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

func canonical(h map[string]string) map[string]string {
	out := maps.Clone(h)
	for name, value := range h {
		delete(out, name)
		out[textproto.CanonicalMIMEHeaderKey(name)] = value
	}
	return out
}

// check reports what is wrong with a match, and normalises its texts.
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
	for _, values := range [][]Value{m.Headers, m.Query} {
		if err := checkValues(values); err != nil {
			return err
		}
	}
	m.Methods = slices.Compact(slices.Sorted(slices.Values(m.Methods)))
	return nil
}

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

// checkValues orders values by name, each of which may occur once.
func checkValues(values []Value) error {
	slices.SortFunc(values, func(a, b Value) int { return strings.Compare(a.Name, b.Name) })
	for i := range values {
		if values[i].Name == "" || i > 0 && values[i].Name == values[i-1].Name {
			return fmt.Errorf("header or parameter %q: empty, or named twice", values[i].Name)
		}
	}
	return nil
}

// check reports what is wrong with a path, and normalises a prefix.
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

func isVariable(segment string) bool {
	return len(segment) > 2 && segment[0] == '{' && segment[len(segment)-1] == '}' && !strings.ContainsAny(segment[1:len(segment)-1], "{}")
}

// Request holds what rules match. Host and Path are in canonical form.
type Request struct {
	Listener, Host, Path, Method string
	Class, Tenant                string
	Header                       http.Header
	Query                        string // raw
}
