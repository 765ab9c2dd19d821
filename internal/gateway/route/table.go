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

// Table holds the compiled rules of all listeners. It is immutable.
type Table struct {
	listeners map[string]*hostTable
	rules     int // number of rules
}

// hostTable holds the rules of one listener.
type hostTable struct {
	exact  map[string]*pathTable
	suffix map[string]*pathTable // by the text after "*."
	any    *pathTable            // for the host "*"
}

// pathTable holds the rules of one host. An exact path is found by one map look-up. Templates and prefixes are found by a
// walk through a trie of path segments.
type pathTable struct {
	exact     map[string][]*entry
	templates *node
	prefixes  *node
}

// node is a node of a trie of path segments.
type node struct {
	literal  map[string]*node
	variable *node
	entries  []*entry // matches whose path ends at this node, best first
}

// entry is one match of a rule.
type entry struct {
	rule          *Rule
	match         *Match
	index         int  // of the match in its rule
	namesListener bool // the match names its listeners
}

// MatchedRule is the result of a look-up.
type MatchedRule struct {
	Rule *Rule
	Path Path // path condition that matched
}

// Error is an error in one rule.
type Error struct {
	Rule string
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("route %q: %v", e.Rule, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Compile builds a table for the named listeners. The caller must not change the rules afterwards. If rules are invalid,
// Compile returns the errors of all rules and no table.
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
			return nil, errs // the other listeners mostly have the same errors
		}
	}
	return t, nil
}

// Len returns the number of rules.
func (t *Table) Len() int { return t.rules }

// add inserts one match of a rule into the tables of its listeners, or of all listeners if it names none.
func (t *Table) add(r *Rule, matchIndex int, allListeners []string) error {
	m := &r.Matches[matchIndex]
	e := &entry{rule: r, match: m, index: matchIndex, namesListener: len(m.Listeners) > 0}
	listeners := allListeners
	if e.namesListener {
		listeners = slices.Compact(slices.Sorted(slices.Values(m.Listeners)))
	}
	for _, listener := range listeners {
		h := t.listeners[listener]
		if h == nil {
			return fmt.Errorf("no listener is named %q", listener)
		}
		for _, name := range m.Hosts {
			h.pathsFor(name).insert(e)
		}
	}
	return nil
}

// pathsFor returns the path table of a host or host suffix. It creates the table if there is none.
func (h *hostTable) pathsFor(name string) *pathTable {
	if name == "*" {
		if h.any == nil {
			h.any = &pathTable{}
		}
		return h.any
	}
	tables, name, key := h.exact, name, name
	if suffix, wild := strings.CutPrefix(name, "*."); wild {
		tables, key = h.suffix, suffix
	}
	if tables[key] == nil {
		tables[key] = &pathTable{}
	}
	return tables[key]
}

// insert adds an entry by the kind of its path.
func (p *pathTable) insert(e *entry) {
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

// insert adds an entry at the node of a path. If variables is true, segments of the form "{name}" are variables.
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

// sort sorts the entries of each path by precedence. It returns an error for each entry with the same criteria as another.
func (h *hostTable) sort() (errs []*Error) {
	all := make([]*pathTable, 0, len(h.exact)+len(h.suffix)+1)
	for _, tables := range []map[string]*pathTable{h.exact, h.suffix} {
		for _, p := range tables {
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

// sort sorts the entries of a node and of its descendants.
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

// sortEntries sorts entries with the same host and path, best first. It returns an error for each entry with the same criteria
// as a better one.
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
		if other := seen[criteria]; other != nil {
			errs = append(errs, &Error{e.rule.Name, fmt.Errorf("matches exactly what route %q does (%s): it would never be found",
				other.rule.Name, e.match.Path.Pattern)})
			continue
		}
		seen[criteria] = e
	}
	return errs
}

// criteria returns a text that is the same for two matches if all their conditions except host and path are the same. Of the
// listeners, only whether the match names any is included.
func (e *entry) criteria() string {
	m := e.match
	return fmt.Sprintf("%q %q %q %q %q %t", m.Methods, flattenValues(m.Headers), flattenValues(m.Query), m.Class, m.Tenant, e.namesListener)
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// compare compares the precedence of two entries with the same host and path. It is negative if e is better than other.
func (e *entry) compare(other *entry) int {
	a, b := e.match, other.match
	return cmp.Or(
		boolToInt(len(b.Methods) > 0)-boolToInt(len(a.Methods) > 0),
		len(b.Headers)-len(a.Headers),
		len(b.Query)-len(a.Query),
		boolToInt(b.Class != "")-boolToInt(a.Class != ""),
		boolToInt(b.Tenant != "")-boolToInt(a.Tenant != ""),
		boolToInt(other.namesListener)-boolToInt(e.namesListener),
	)
}

// Find returns the rule with the highest precedence that matches a request. If no rule matches, ok is false.
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

// find returns the best entry that matches a request, nil if there is none.
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

// findTemplate finds an entry whose template matches all segments. A literal is tried before a variable. Each node has one
// parent, so that a look-up visits no node twice.
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

// findPrefix finds the entry whose prefix matches the most segments.
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

// firstMatch returns the first entry whose conditions a request meets, nil if there is none.
func firstMatch(entries []*entry, q *Request) *entry {
	for _, e := range entries {
		if e.match.matches(q) {
			return e
		}
	}
	return nil
}

// matches reports whether a request meets all conditions of m except listener, host and path.
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
		value, found := queryParameter(q.Query, want.Name)
		if !found || !want.AnyValue && value != want.Value {
			return false
		}
	}
	return true
}

// queryParameter returns the first value of a parameter in a raw query. It allocates only for names and values that are
// encoded.
func queryParameter(query, name string) (value string, found bool) {
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		key, value, _ := strings.Cut(pair, "=")
		if unescapeQuery(key) != name {
			continue
		}
		return unescapeQuery(value), true
	}
	return "", false
}

// unescapeQuery decodes a name or value of a query. It returns an invalid encoding unchanged.
func unescapeQuery(s string) string {
	if strings.IndexByte(s, '%') < 0 && strings.IndexByte(s, '+') < 0 {
		return s
	}
	if decoded, err := url.QueryUnescape(s); err == nil {
		return decoded
	}
	return s
}

// flattenValues returns the fields of all values in one list.
func flattenValues(values []ValueMatch) (out []string) {
	for _, v := range values {
		out = append(out, v.Name, v.Value, strconv.FormatBool(v.AnyValue))
	}
	return out
}
