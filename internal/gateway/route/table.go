package route

import (
	"cmp"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// Table holds the compiled rules. It is immutable.
type Table struct {
	listeners map[string]*hostTable
	rules     int
}

// hostTable holds the rules of one listener.
type hostTable struct {
	exact  map[string]*pathTable
	suffix map[string]*pathTable // by what follows "*."
	any    *pathTable
}

// pathTable holds the rules of one host. Exact paths are found by one look-up, the other kinds by walking the segments.
type pathTable struct {
	exact     map[string][]*entry
	templates *node
	prefixes  *node
}

// node is a node of a trie of path segments.
type node struct {
	literal  map[string]*node
	variable *node
	entries  []*entry // whose path ends here, best first
}

// entry is one match of a rule.
type entry struct {
	rule          *Rule
	match         *Match
	index         int
	namesListener bool // names its listener
}

// MatchedRule is the result of a look-up.
type MatchedRule struct {
	Rule *Rule
	Path Path // of the match
}

// Error is what is wrong with one rule.
type Error struct {
	Rule string
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("route %q: %v", e.Rule, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Compile builds a table for the named listeners. The caller must not change the rules afterwards. It reports all errors; with any there is
// no table.
func Compile(listeners []string, rules []Rule) (*Table, []*Error) {
	t := &Table{listeners: make(map[string]*hostTable, len(listeners)), rules: len(rules)}
	for _, name := range listeners {
		t.listeners[name] = &hostTable{exact: map[string]*pathTable{}, suffix: map[string]*pathTable{}}
	}
	var errs []*Error
	names := make(map[string]bool, len(rules))
	for i := range rules {
		r := &rules[i]
		if r.Name == "" || names[r.Name] {
			errs = append(errs, &Error{r.Name, errors.New("without a name, or named twice")})
			continue
		}
		names[r.Name] = true
		if err := r.check(); err != nil {
			errs = append(errs, &Error{r.Name, err})
			continue
		}
		for j := range r.Matches {
			if err := t.add(r, j, listeners); err != nil {
				errs = append(errs, &Error{r.Name, err})
			}
		}
	}
	if len(errs) > 0 {
		return nil, errs
	}
	for _, h := range t.listeners {
		if errs = append(errs, h.sort()...); len(errs) > 0 {
			return nil, errs // the other listeners would mostly say the same
		}
	}
	return t, nil
}

// Len returns the number of rules.
func (t *Table) Len() int { return t.rules }

func (t *Table) add(r *Rule, j int, all []string) error {
	m := &r.Matches[j]
	e := &entry{rule: r, match: m, index: j, namesListener: len(m.Listeners) > 0}
	on := all
	if e.namesListener {
		on = slices.Compact(slices.Sorted(slices.Values(m.Listeners)))
	}
	for _, listener := range on {
		h := t.listeners[listener]
		if h == nil {
			return fmt.Errorf("no listener is named %q", listener)
		}
		for _, name := range m.Hosts {
			h.pathsFor(name).add(e)
		}
	}
	return nil
}

func (h *hostTable) pathsFor(name string) *pathTable {
	if name == "*" {
		if h.any == nil {
			h.any = &pathTable{}
		}
		return h.any
	}
	by, name, key := h.exact, name, name
	if suffix, wild := strings.CutPrefix(name, "*."); wild {
		by, key = h.suffix, suffix
	}
	if by[key] == nil {
		by[key] = &pathTable{}
	}
	return by[key]
}

func (p *pathTable) add(e *entry) {
	pattern := e.match.Path.Pattern
	switch e.match.Path.Kind {
	case Exact:
		if p.exact == nil {
			p.exact = map[string][]*entry{}
		}
		p.exact[pattern] = append(p.exact[pattern], e)
	case Template:
		if p.templates == nil {
			p.templates = &node{}
		}
		p.templates.insert(pattern[1:], true, e)
	default:
		if p.prefixes == nil {
			p.prefixes = &node{}
		}
		if pattern == "/" {
			p.prefixes.entries = append(p.prefixes.entries, e)
			return
		}
		p.prefixes.insert(pattern[1:], false, e)
	}
}

func (n *node) insert(path string, variables bool, e *entry) {
	for more := true; more; {
		var segment string
		segment, path, more = strings.Cut(path, "/")
		if variables && isVariable(segment) {
			if n.variable == nil {
				n.variable = &node{}
			}
			n = n.variable
			continue
		}
		next := n.literal[segment]
		if next == nil {
			next = &node{}
			if n.literal == nil {
				n.literal = map[string]*node{}
			}
			n.literal[segment] = next
		}
		n = next
	}
	n.entries = append(n.entries, e)
}

// sort orders the entries of each path, and reports those that are alike.
func (h *hostTable) sort() (errs []*Error) {
	all := make([]*pathTable, 0, len(h.exact)+len(h.suffix)+1)
	for _, by := range []map[string]*pathTable{h.exact, h.suffix} {
		for _, p := range by {
			all = append(all, p)
		}
	}
	if h.any != nil {
		all = append(all, h.any)
	}
	for _, p := range all {
		for _, entries := range p.exact {
			errs = append(errs, sortEntries(entries)...)
		}
		errs = append(errs, p.templates.sort()...)
		errs = append(errs, p.prefixes.sort()...)
	}
	return errs
}

func (n *node) sort() (errs []*Error) {
	if n == nil {
		return nil
	}
	errs = append(sortEntries(n.entries), n.variable.sort()...)
	for _, next := range n.literal {
		errs = append(errs, next.sort()...)
	}
	return errs
}

// sortEntries sorts entries with the same host and path, best first.
func sortEntries(entries []*entry) (errs []*Error) {
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Or(a.compare(b), cmp.Compare(a.rule.Name, b.rule.Name), cmp.Compare(a.index, b.index))
	})
	if len(entries) < 2 {
		return nil
	}
	seen := make(map[string]*entry, len(entries))
	for _, e := range entries {
		criteria := e.criteria()
		if a := seen[criteria]; a != nil {
			errs = append(errs, &Error{e.rule.Name, fmt.Errorf("matches exactly what route %q does (%s): it would never be found",
				a.rule.Name, e.match.Path.Pattern)})
			continue
		}
		seen[criteria] = e
	}
	return errs
}

// criteria returns all conditions of a match except host and path.
func (e *entry) criteria() string {
	m := e.match
	return fmt.Sprintf("%q %q %q %q %q %t", m.Methods, quoted(m.Headers), quoted(m.Query), m.Class, m.Tenant, e.namesListener)
}

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}

// compare ranks two entries at one place: negative where e is better.
func (e *entry) compare(o *entry) int {
	a, b := e.match, o.match
	return cmp.Or(
		flag(len(b.Methods) > 0)-flag(len(a.Methods) > 0),
		len(b.Headers)-len(a.Headers),
		len(b.Query)-len(a.Query),
		flag(b.Class != "")-flag(a.Class != ""),
		flag(b.Tenant != "")-flag(a.Tenant != ""),
		flag(o.namesListener)-flag(e.namesListener),
	)
}

// Find returns the best rule for a request; ok is false where none matches.
func (t *Table) Find(q *Request) (f MatchedRule, ok bool) {
	h := t.listeners[q.Listener]
	if h == nil {
		return f, false
	}
	e := h.exact[q.Host].find(q)
	if e == nil && len(h.suffix) > 0 {
		for rest := q.Host; e == nil; { // longest suffix first
			i := strings.IndexByte(rest, '.')
			if i < 0 {
				break
			}
			rest = rest[i+1:]
			e = h.suffix[rest].find(q)
		}
	}
	if e == nil {
		e = h.any.find(q)
	}
	if e == nil {
		return f, false
	}
	return MatchedRule{e.rule, e.match.Path}, true
}

func (p *pathTable) find(q *Request) *entry {
	if p == nil {
		return nil
	}
	if p.exact != nil {
		if e := firstMatch(p.exact[q.Path], q); e != nil {
			return e
		}
	}
	rest := q.Path[1:]
	if p.templates != nil {
		if e := p.templates.findTemplate(rest, true, q); e != nil {
			return e
		}
	}
	if p.prefixes != nil {
		return p.prefixes.findPrefix(rest, len(rest) > 0, q)
	}
	return nil
}

// findTemplate finds an entry that matches all segments. A literal is tried before a variable. Each node has one parent, so that a look-up
// visits none twice.
func (n *node) findTemplate(rest string, more bool, q *Request) *entry {
	if !more {
		return firstMatch(n.entries, q)
	}
	segment, rest, more := strings.Cut(rest, "/")
	if next := n.literal[segment]; next != nil {
		if e := next.findTemplate(rest, more, q); e != nil {
			return e
		}
	}
	if n.variable != nil && segment != "" {
		return n.variable.findTemplate(rest, more, q)
	}
	return nil
}

// findPrefix finds an entry that matches the most segments.
func (n *node) findPrefix(rest string, more bool, q *Request) *entry {
	if more && n.literal != nil {
		segment, rest, more := strings.Cut(rest, "/")
		if next := n.literal[segment]; next != nil {
			if e := next.findPrefix(rest, more, q); e != nil {
				return e
			}
		}
	}
	return firstMatch(n.entries, q)
}

func firstMatch(entries []*entry, q *Request) *entry {
	for _, e := range entries {
		if e.match.matches(q) {
			return e
		}
	}
	return nil
}

// matches checks all conditions except listener, host and path.
func (m *Match) matches(q *Request) bool {
	if len(m.Methods) > 0 && !slices.Contains(m.Methods, q.Method) ||
		m.Class != "" && m.Class != q.Class || m.Tenant != "" && m.Tenant != q.Tenant {
		return false
	}
	for i := range m.Headers {
		want := &m.Headers[i]
		values := q.Header[want.Name]
		if len(values) == 0 || !want.AnyValue && (len(values) > 1 || values[0] != want.Value) {
			return false
		}
	}
	for i := range m.Query {
		want := &m.Query[i]
		value, there := parameter(q.Query, want.Name)
		if !there || !want.AnyValue && value != want.Value {
			return false
		}
	}
	return true
}

// parameter returns the first value of a parameter in a raw query. It allocates only for what is encoded.
func parameter(query, name string) (value string, there bool) {
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		key, value, _ := strings.Cut(pair, "=")
		if plainQuery(key) != name {
			continue
		}
		return plainQuery(value), true
	}
	return "", false
}

func plainQuery(s string) string {
	if strings.IndexByte(s, '%') < 0 && strings.IndexByte(s, '+') < 0 {
		return s
	}
	if decoded, err := url.QueryUnescape(s); err == nil {
		return decoded
	}
	return s
}

func quoted(values []Value) (out []string) {
	for _, v := range values {
		out = append(out, v.Name, v.Value, strconv.FormatBool(v.AnyValue))
	}
	return out
}
