// Package route finds the rule for a request. A Table is compiled once, never changes and is shared by all
// goroutines; a look-up does no I/O and, on the usual path, allocates nothing.
//
// # Precedence
//
// Of all rules that match a request the best one counts, wherever it stands in the file. The order is that of the
// Kubernetes Gateway API (HTTPRouteRule), with templates between exact paths and prefixes, and is total. Better is, in
// this order:
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
// Two matches that are alike in all but their rules' names are an error of Compile: the second would never be found.
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

// The kinds, the better ones later.
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

// Match is a conjunction; what is left empty matches anything.
type Match struct {
	Listeners []string
	Hosts     []string // "name", "*.suffix" (one label more or several) or "*"
	Path      Path
	Methods   []string
	// A header that stands several times matches by Any alone: peers differ in which one counts.
	Headers []Value
	Query   []Value // of parameters that stand several times the first counts
	Class   string
	Tenant  string
}

// Target is a cluster and its part of a route's requests.
type Target struct {
	Cluster string
	Weight  uint32
}

// SplitKind is what a split goes by.
type SplitKind uint8

// The kinds. Keyed requests always go by their idempotency key, whatever the route says: a repeat must come to the
// same cluster.
const (
	SplitRequest SplitKind = iota // the request's id: each one anew
	SplitHeader
	SplitTenant
	SplitPath
	SplitClient // the caller's address
)

// Response is an answer that the route gives itself.
type Response struct {
	Status int
	Body   string
	Header map[string]string
}

// Redirect sends the caller elsewhere. What is empty stays as it was asked for.
type Redirect struct {
	Status int
	Scheme string
	Host   string
	Path   string // in place of the whole path
}

// Rule is a route. Just one of Targets, Respond and Redirect is set.
type Rule struct {
	Name    string
	Matches []Match // one must match; none matches all requests

	Targets  []Target
	Respond  *Response
	Redirect *Redirect

	Class         string        // of all its requests; empty: told by the caller
	Timeout       time.Duration // 0: the class's deadline
	MaxAttempts   int           // 0: the cluster's
	Failover      string        // cluster for what never ran in its own
	ForwardSites  []string      // salas that may have what the own one can't serve
	SplitBy       SplitKind
	SplitHeader   string
	Rewrite       *string // in place of the matched prefix, or of the whole exact path
	SetHeaders    map[string]string
	RemoveHeaders []string

	totalWeight uint64
}

// Pick returns the cluster that a split gives a key: the same for the same key, whichever process asks, and the same
// after a change of weights for all keys but the share that has to move.
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

// Path returns the path that a request of this rule is sent with. Matched is the match's path.
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

// check reports what is wrong with a rule by itself, and brings its words into the form that is matched.
func (r *Rule) check() error {
	set := 0
	for _, is := range []bool{len(r.Targets) > 0, r.Respond != nil, r.Redirect != nil} {
		if is {
			set++
		}
	}
	if set != 1 {
		return errors.New("wants clusters, an answer or a redirect, and just one of them")
	}
	if len(r.Targets) > 0 {
		for _, t := range r.Targets {
			r.totalWeight += uint64(t.Weight)
		}
		if r.totalWeight == 0 {
			return errors.New("its weights are all 0")
		}
	}
	if r.Rewrite != nil {
		normal, err := NormalisePath(*r.Rewrite)
		if err != nil || normal != *r.Rewrite {
			return fmt.Errorf("rewrite %q is not in normal form", *r.Rewrite)
		}
		for _, m := range r.Matches {
			if m.Path.Kind == Template {
				return errors.New("a template can't be rewritten")
			}
		}
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

func canonical(h map[string]string) map[string]string {
	out := maps.Clone(h)
	for name, value := range h {
		delete(out, name)
		out[textproto.CanonicalMIMEHeaderKey(name)] = value
	}
	return out
}

func (m *Match) check() error {
	if m.Path.Pattern == "" {
		m.Path = Path{Prefix, "/"}
	}
	if err := m.Path.check(); err != nil {
		return err
	}
	m.Hosts = slices.Clone(m.Hosts)
	for i, h := range m.Hosts {
		if h == "*" {
			continue
		}
		name, wild := strings.CutPrefix(h, "*.")
		normal, err := NormaliseHost(name)
		if err != nil || name == "" || strings.ContainsRune(name, ':') && !strings.HasPrefix(name, "[") {
			return fmt.Errorf("host %q is no name, \"*.suffix\" or \"*\"", h)
		}
		if wild {
			normal = "*." + normal
		}
		m.Hosts[i] = normal
	}
	if len(m.Hosts) == 0 {
		m.Hosts = []string{"*"}
	}
	slices.Sort(m.Hosts)
	m.Hosts = slices.Compact(m.Hosts)
	m.Headers, m.Query = slices.Clone(m.Headers), slices.Clone(m.Query)
	for i := range m.Headers {
		m.Headers[i].Name = textproto.CanonicalMIMEHeaderKey(m.Headers[i].Name)
	}
	for _, list := range [][]Value{m.Headers, m.Query} {
		slices.SortFunc(list, func(a, b Value) int { return strings.Compare(a.Name, b.Name) })
		for i := range list {
			if list[i].Name == "" || i > 0 && list[i].Name == list[i-1].Name {
				return fmt.Errorf("header or parameter %q: empty, or named twice", list[i].Name)
			}
		}
	}
	m.Methods = slices.Compact(slices.Sorted(slices.Values(m.Methods)))
	return nil
}

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

// Request is what a look-up goes by. Host and Path are in normal form.
type Request struct {
	Listener, Host, Path, Method string
	Class, Tenant                string
	Header                       http.Header
	Query                        string // raw
}
