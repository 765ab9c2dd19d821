package route

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// The reference matcher tries every match of every rule. It ranks matches by the precedence in the package comment, without
// the code of Table.

// referenceMatches reports whether a request meets all conditions of a match.
func referenceMatches(m Match, q *Request) bool {
	if len(m.Listeners) > 0 && !slices.Contains(m.Listeners, q.Listener) {
		return false
	}
	if referenceHost(m, q) == "" {
		return false
	}
	switch p := m.Path.Pattern; m.Path.Kind {
	case Exact:
		if q.Path != p {
			return false
		}
	case Template:
		want, segments := strings.Split(p, "/"), strings.Split(q.Path, "/")
		if len(want) != len(segments) {
			return false
		}
		for i := range want {
			if strings.HasPrefix(want[i], "{") && segments[i] != "" {
				continue
			}
			if want[i] != segments[i] {
				return false
			}
		}
	default:
		if p != "" && p != "/" && q.Path != p && !strings.HasPrefix(q.Path, p+"/") {
			return false
		}
	}
	if len(m.Methods) > 0 && !slices.Contains(m.Methods, q.Method) || m.Class != "" && m.Class != q.Class ||
		m.Tenant != "" && m.Tenant != q.Tenant {
		return false
	}
	for _, v := range m.Headers {
		if values := q.Header.Values(v.Name); len(values) == 0 || !v.AnyValue && (len(values) > 1 || values[0] != v.Value) {
			return false
		}
	}
	query, _ := url.ParseQuery(q.Query)
	for _, v := range m.Query {
		if !query.Has(v.Name) || !v.AnyValue && query.Get(v.Name) != v.Value {
			return false
		}
	}
	return true
}

// referenceHost returns the best host of a match that fits a request, empty if none does.
func referenceHost(m Match, q *Request) (best string) {
	if len(m.Hosts) == 0 {
		return "*"
	}
	for _, h := range m.Hosts {
		h = strings.ToLower(h)
		if (h == "*" || h == q.Host || strings.HasPrefix(h, "*.") && strings.HasSuffix(q.Host, h[1:])) &&
			(best == "" || slices.Compare(hostRank(h), hostRank(best)) > 0) {
			best = h
		}
	}
	return best
}

// hostRank returns the precedence of a host. Ranks are compared from the left, and the greater one is better.
func hostRank(h string) []int {
	switch {
	case h == "*":
		return []int{0, 0}
	case strings.HasPrefix(h, "*."):
		return []int{1, len(h)}
	}
	return []int{2, 0}
}

// referenceRank returns the precedence of a match for a request. Ranks are compared from the left, and the greater one is
// better.
func referenceRank(m Match, q *Request) []int {
	rank := hostRank(referenceHost(m, q))
	rank = append(rank, int(m.Path.Kind))
	if m.Path.Kind == Prefix {
		rank = append(rank, len(strings.Trim(m.Path.Pattern, "/")))
	} else {
		literal := 0 // one bit for each segment: among paths of equal length the first literal counts most
		for s := range strings.SplitSeq(m.Path.Pattern, "/") {
			literal <<= 1
			if !strings.HasPrefix(s, "{") {
				literal++
			}
		}
		rank = append(rank, literal)
	}
	bit := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return append(rank, bit(len(m.Methods) > 0), len(m.Headers), len(m.Query), bit(m.Class != ""), bit(m.Tenant != ""),
		bit(len(m.Listeners) > 0))
}

// referenceFind returns the name of the best rule for a request, empty if no rule matches.
func referenceFind(rules []Rule, q *Request) string {
	best, name, index := []int(nil), "", 0
	for _, r := range rules {
		matches := r.Matches
		if len(matches) == 0 {
			matches = []Match{{}}
		}
		for j, m := range matches {
			if !referenceMatches(m, q) {
				continue
			}
			rank := referenceRank(m, q)
			c := slices.Compare(rank, best)
			if best == nil || c > 0 || c == 0 && (r.Name < name || r.Name == name && j < index) {
				best, name, index = rank, r.Name, j
			}
		}
	}
	return name
}

// generator draws random rules and requests from few words, so that many rules match the same or nearly the same requests.
type generator struct{ *rand.Rand }

// oneOf returns one of the words.
func (d generator) oneOf(words ...string) string { return words[d.IntN(len(words))] }

// path returns a path, with variables if they are allowed.
func (d generator) path(variables bool) string {
	p := ""
	for range d.IntN(4) {
		p += "/" + d.oneOf("a", "b", "c")
		if variables && d.IntN(2) == 0 {
			p += "/{x}"
		}
	}
	if p == "" || d.IntN(6) == 0 {
		p += "/"
	}
	return p
}

// match returns a match with random conditions.
func (d generator) match() Match {
	var m Match
	if d.IntN(3) == 0 {
		m.Listeners = []string{d.oneOf("one", "two")}
	}
	for range d.IntN(3) {
		m.Hosts = append(m.Hosts, d.oneOf("*", "a.x", "b.a.x", "*.x", "*.a.x", "A.X"))
	}
	switch d.IntN(3) {
	case 0:
		m.Path = Path{Exact, d.path(false)}
	case 1:
		m.Path = Path{Template, d.path(true)}
	default:
		m.Path = Path{Prefix, strings.TrimSuffix(d.path(false), "/")}
	}
	if d.IntN(2) == 0 {
		m.Methods = []string{d.oneOf("GET", "POST")}
	}
	for _, name := range []string{"x-one", "X-Two"} {
		if d.IntN(4) == 0 {
			m.Headers = append(m.Headers, ValueMatch{name, d.oneOf("1", "2"), d.IntN(2) == 0})
		}
	}
	if d.IntN(4) == 0 {
		m.Query = []ValueMatch{{"q", d.oneOf("1", "a b"), d.IntN(2) == 0}}
	}
	if d.IntN(5) == 0 {
		m.Class = d.oneOf("read", "write")
	}
	if d.IntN(5) == 0 {
		m.Tenant = d.oneOf("acme", "other")
	}
	return m
}

// request returns a request that random matches often fit.
func (d generator) request() *Request {
	q := &Request{Listener: d.oneOf("one", "two"), Host: d.oneOf("a.x", "b.a.x", "c.b.a.x", "x", "y", ""), Path: d.path(false),
		Method: d.oneOf("GET", "POST"), Class: d.oneOf("", "read", "write"), Tenant: d.oneOf("", "acme", "other"), Header: http.Header{},
		Query: d.oneOf("", "q=1", "q=a+b", "q=a%20b&q=1", "r=1&q", "%71=1")}
	for _, name := range []string{"X-One", "X-Two"} {
		for range d.IntN(3) {
			q.Header.Add(name, d.oneOf("1", "2"))
		}
	}
	return q
}

// TestFindAgreesWithReferenceMatcher checks that Find returns the same rule as the reference matcher for random rules and
// requests, whatever the order of the rules.
func TestFindAgreesWithReferenceMatcher(t *testing.T) {
	d := generator{rand.New(rand.NewPCG(7, 11))}
	found, duplicates := 0, 0
	for round := range 400 {
		var rules []Rule
		for i := range 1 + d.IntN(24) {
			r := Rule{Name: fmt.Sprintf("r%02d", i), Respond: &Response{Status: 200}}
			for range d.IntN(3) {
				r.Matches = append(r.Matches, d.match())
			}
			rules = append(rules, r)
		}
		table, errs := Compile([]string{"one", "two"}, slices.Clone(rules))
		if table == nil {
			for _, err := range errs {
				if !strings.Contains(err.Error(), "matches exactly") {
					t.Fatal(err)
				}
			}
			duplicates++
			continue
		}
		shuffled := slices.Clone(rules)
		d.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		other, _ := Compile([]string{"one", "two"}, shuffled)
		for range 100 {
			q := d.request()
			want := referenceFind(rules, q)
			for _, table := range []*Table{table, other} {
				got := ""
				if f, ok := table.Find(q); ok {
					got = f.Rule.Name
				}
				if got != want {
					t.Fatalf("round %d: request %+v found rule %q, want %q, of %+v", round, *q, got, want, rules)
				}
			}
			if want != "" {
				found++
			}
		}
	}
	if found < 1000 || duplicates < 10 || duplicates > 390 {
		t.Errorf("random rules cover too little: %d requests found a rule, %d rule sets were rejected for duplicate matches", found, duplicates)
	}
}

// TestCompileReportsInvalidRules checks the error for each kind of invalid rule, and that Compile returns the errors of all
// rules.
func TestCompileReportsInvalidRules(t *testing.T) {
	ok := &Response{Status: 204}
	for want, rules := range map[string][]Rule{
		"never be found":       {{Name: "a", Respond: ok}, {Name: "b", Respond: ok, Matches: []Match{{Path: Path{Prefix, "/"}}}}},
		"\"b\": matches exac":  {{Name: "b", Respond: ok, Matches: []Match{{Hosts: []string{"A.x"}}}}, {Name: "a", Respond: ok, Matches: []Match{{Hosts: []string{"a.X."}}}}},
		"named twice":          {{Name: "a", Respond: ok}, {Name: "a", Respond: ok}},
		"just one":             {{Name: "a"}},
		"just one of":          {{Name: "a", Respond: ok, Targets: []Target{{"c", 1}}}},
		"all 0":                {{Name: "a", Targets: []Target{{"c", 0}}}},
		"no listener is named": {{Name: "a", Respond: ok, Matches: []Match{{Listeners: []string{"three"}}}}},
		"normal form, which":   {{Name: "a", Respond: ok, Matches: []Match{{Path: Path{Exact, "/a//b"}}}}},
		"a whole segment":      {{Name: "a", Respond: ok, Matches: []Match{{Path: Path{Template, "/a{x}"}}}}},
		"climbs over":          {{Name: "a", Respond: ok, Matches: []Match{{Path: Path{Exact, "/.."}}}}},
		"host \"*.\"":          {{Name: "a", Respond: ok, Matches: []Match{{Hosts: []string{"*."}}}}},
		"\"X-One\"":            {{Name: "a", Respond: ok, Matches: []Match{{Headers: []ValueMatch{{Name: "x-one"}, {Name: "X-One"}}}}}},
		"can't be rewritten":   {{Name: "a", Targets: []Target{{"c", 1}}, Rewrite: new(string), Matches: []Match{{Path: Path{Template, "/{x}"}}}}},
	} {
		if rules[0].Rewrite != nil {
			*rules[0].Rewrite = "/x"
		}
		table, errs := Compile([]string{"one"}, rules)
		if table != nil || len(errs) == 0 || !strings.Contains(fmt.Sprint(errs), want) {
			t.Errorf("want an error that contains %q, got %v", want, errs)
		}
	}
	if _, errs := Compile(nil, []Rule{{Name: "a"}, {Name: "b"}}); len(errs) != 2 {
		t.Errorf("want an error for each of two invalid rules, got %v", errs)
	}
}

// TestWeightChangeMovesFewestKeys checks that a change of weights moves only the necessary share of the keys. Known keys must
// always get the same targets, so that all processes agree.
func TestWeightChangeMovesFewestKeys(t *testing.T) {
	split := func(weights ...uint32) *Rule {
		r := Rule{Name: "a"}
		for i, w := range weights {
			r.Targets = append(r.Targets, Target{fmt.Sprint(i), w})
		}
		table, errs := Compile([]string{"one"}, []Rule{r})
		if table == nil {
			t.Fatal(errs)
		}
		f, _ := table.Find(&Request{Listener: "one", Path: "/"})
		return f.Rule
	}
	const keys = 20000
	before, after, moved := split(90, 10, 0), split(80, 20, 0), 0
	counts := map[string]int{}
	for i := range keys {
		key := fmt.Sprint("key-", i)
		oldTarget, newTarget := before.Pick(key), after.Pick(key)
		counts[newTarget]++
		if oldTarget != newTarget {
			moved++
			if oldTarget != "0" || newTarget != "1" {
				t.Fatalf("%s moved from target %s to %s, want only moves from 0 to 1", key, oldTarget, newTarget)
			}
		}
	}
	if share := float64(moved) / keys; share < 0.085 || share > 0.115 {
		t.Errorf("share of moved keys is %.3f, want about 0.1", share)
	}
	if share := float64(counts["1"]) / keys; share < 0.18 || share > 0.22 || counts["2"] > 0 {
		t.Errorf("keys by target are %v, want a share of about 0.2 at target 1 and none at target 2", counts)
	}
	if got := split(1, 1, 1).Pick("a key known for ever") + split(1, 1, 1).Pick("another"); got != "02" {
		t.Errorf("targets of two known keys are %s, want 02", got)
	}
}

// TestRewriteReplacesPrefixOrExactPath checks the path with which a request is forwarded. A rewrite must replace the matched
// prefix or the whole exact path.
func TestRewriteReplacesPrefixOrExactPath(t *testing.T) {
	for _, c := range [][4]string{ // prefix, rewrite, path, want
		{"/old", "/new", "/old/a", "/new/a"}, {"/old", "/new", "/old", "/new"}, {"/old", "/", "/old/a", "/a"},
		{"/old", "/", "/old", "/"}, {"/", "/new", "/a", "/new/a"}, {"/", "/new/", "/", "/new/"}, {"/old", "/new", "/old/", "/new/"},
	} {
		r := Rule{Rewrite: &c[1]}
		if got := r.ForwardedPath(c[2], Path{Prefix, c[0]}); got != c[3] {
			t.Errorf("prefix, rewrite, path and wanted path %v: got %q", c, got)
		}
	}
	rewrite := "/b"
	if got := (&Rule{Rewrite: &rewrite}).ForwardedPath("/a", Path{Exact, "/a"}); got != "/b" {
		t.Error(got)
	}
}

// schoolRules returns n rules like those of a large site: hosts of schools with exact paths, templates and prefixes.
func schoolRules(n int) []Rule {
	rules := make([]Rule, 0, n)
	for i := range n {
		m := Match{Hosts: []string{fmt.Sprintf("school-%d.example", i/50)}}
		switch i % 4 {
		case 0:
			m.Path = Path{Exact, fmt.Sprintf("/seats/%d", i)}
		case 1:
			m.Path = Path{Template, fmt.Sprintf("/students/{id}/file-%d", i)}
		case 2:
			m.Path = Path{Prefix, fmt.Sprintf("/documents/%d", i)}
		default:
			m.Path, m.Methods = Path{Prefix, fmt.Sprintf("/api/v%d", i)}, []string{"GET"}
		}
		rules = append(rules, Rule{Name: fmt.Sprintf("r%06d", i), Targets: []Target{{"c", 1}}, Matches: []Match{m}})
	}
	return rules
}

// requestFor returns a request that matches rule i of schoolRules.
func requestFor(i int) *Request {
	q := &Request{Listener: "one", Host: fmt.Sprintf("school-%d.example", i/50), Method: "GET"}
	switch i % 4 {
	case 0:
		q.Path = fmt.Sprintf("/seats/%d", i)
	case 1:
		q.Path = fmt.Sprintf("/students/771/file-%d", i)
	case 2:
		q.Path = fmt.Sprintf("/documents/%d/scan/3", i)
	default:
		q.Path = fmt.Sprintf("/api/v%d/x", i)
	}
	return q
}

// BenchmarkFind measures a look-up among 10, 1,000 and 100,000 rules.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, errs := Compile([]string{"one"}, schoolRules(n))
			if table == nil {
				b.Fatal(errs)
			}
			requests := make([]*Request, 4096)
			d := rand.New(rand.NewPCG(1, 2))
			for i := range requests {
				requests[i] = requestFor(d.IntN(n))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				if _, ok := table.Find(requests[i%len(requests)]); !ok {
					b.Fatal("no rule found")
				}
			}
		})
	}
}

// TestFindAllocatesNothing checks that a look-up of each kind of path needs no allocation and finds the right rule.
func TestFindAllocatesNothing(t *testing.T) {
	table, errs := Compile([]string{"one"}, schoolRules(1000))
	if table == nil {
		t.Fatal(errs)
	}
	for i := range 4 {
		q := requestFor(500 + i)
		if n := testing.AllocsPerRun(100, func() { table.Find(q) }); n > 0 {
			t.Errorf("path %s: %v allocations, want none", q.Path, n)
		}
		if f, ok := table.Find(q); !ok || !reflect.DeepEqual(f.Path, f.Rule.Matches[0].Path) {
			t.Errorf("path %s: found %+v", q.Path, f)
		}
	}
}
