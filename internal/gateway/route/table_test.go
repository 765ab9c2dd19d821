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

// The plain matcher: looks at every match of every rule, and ranks by the words of the package's comment, not by the
// table's code.

func plainFits(m Match, q *Request) bool {
	if len(m.Listeners) > 0 && !slices.Contains(m.Listeners, q.Listener) {
		return false
	}
	if plainHost(m, q) == "" {
		return false
	}
	switch p := m.Path.Pattern; m.Path.Kind {
	case Exact:
		if q.Path != p {
			return false
		}
	case Template:
		want, is := strings.Split(p, "/"), strings.Split(q.Path, "/")
		if len(want) != len(is) {
			return false
		}
		for i := range want {
			if strings.HasPrefix(want[i], "{") && is[i] != "" {
				continue
			}
			if want[i] != is[i] {
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
		if is := q.Header.Values(v.Name); len(is) == 0 || !v.AnyValue && (len(is) > 1 || is[0] != v.Value) {
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

// plainHost returns the best of a match's hosts for a request.
func plainHost(m Match, q *Request) (best string) {
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

func hostRank(h string) []int {
	switch {
	case h == "*":
		return []int{0, 0}
	case strings.HasPrefix(h, "*."):
		return []int{1, len(h)}
	}
	return []int{2, 0}
}

// plainRank is a match's rank as a list that compares from the left, more being better.
func plainRank(m Match, q *Request) []int {
	rank := hostRank(plainHost(m, q))
	rank = append(rank, int(m.Path.Kind))
	if m.Path.Kind == Prefix {
		rank = append(rank, len(strings.Trim(m.Path.Pattern, "/")))
	} else {
		literal := 0 // each segment a bit: with as many segments the first literal counts most
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

func plainFind(rules []Rule, q *Request) string {
	best, name, index := []int(nil), "", 0
	for _, r := range rules {
		matches := r.Matches
		if len(matches) == 0 {
			matches = []Match{{}}
		}
		for j, m := range matches {
			if !plainFits(m, q) {
				continue
			}
			rank := plainRank(m, q)
			c := slices.Compare(rank, best)
			if best == nil || c > 0 || c == 0 && (r.Name < name || r.Name == name && j < index) {
				best, name, index = rank, r.Name, j
			}
		}
	}
	return name
}

// drawn makes rules out of few words, so that many match alike or nearly so.
type drawn struct{ *rand.Rand }

func (d drawn) of(words ...string) string { return words[d.IntN(len(words))] }

func (d drawn) path(variables bool) string {
	p := ""
	for range d.IntN(4) {
		p += "/" + d.of("a", "b", "c")
		if variables && d.IntN(2) == 0 {
			p += "/{x}"
		}
	}
	if p == "" || d.IntN(6) == 0 {
		p += "/"
	}
	return p
}

func (d drawn) match() Match {
	var m Match
	if d.IntN(3) == 0 {
		m.Listeners = []string{d.of("one", "two")}
	}
	for range d.IntN(3) {
		m.Hosts = append(m.Hosts, d.of("*", "a.x", "b.a.x", "*.x", "*.a.x", "A.X"))
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
		m.Methods = []string{d.of("GET", "POST")}
	}
	for _, name := range []string{"x-one", "X-Two"} {
		if d.IntN(4) == 0 {
			m.Headers = append(m.Headers, Value{name, d.of("1", "2"), d.IntN(2) == 0})
		}
	}
	if d.IntN(4) == 0 {
		m.Query = []Value{{"q", d.of("1", "a b"), d.IntN(2) == 0}}
	}
	if d.IntN(5) == 0 {
		m.Class = d.of("read", "write")
	}
	if d.IntN(5) == 0 {
		m.Tenant = d.of("acme", "other")
	}
	return m
}

func (d drawn) request() *Request {
	q := &Request{Listener: d.of("one", "two"), Host: d.of("a.x", "b.a.x", "c.b.a.x", "x", "y", ""), Path: d.path(false),
		Method: d.of("GET", "POST"), Class: d.of("", "read", "write"), Tenant: d.of("", "acme", "other"), Header: http.Header{},
		Query: d.of("", "q=1", "q=a+b", "q=a%20b&q=1", "r=1&q", "%71=1")}
	for _, name := range []string{"X-One", "X-Two"} {
		for range d.IntN(3) {
			q.Header.Add(name, d.of("1", "2"))
		}
	}
	return q
}

// The table finds what the plain matcher finds, whatever the rules and wherever they stand in the file.
func TestPrecedence(t *testing.T) {
	d := drawn{rand.New(rand.NewPCG(7, 11))}
	found, alike := 0, 0
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
			alike++
			continue
		}
		shuffled := slices.Clone(rules)
		d.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		other, _ := Compile([]string{"one", "two"}, shuffled)
		for range 100 {
			q := d.request()
			want := plainFind(rules, q)
			for _, table := range []*Table{table, other} {
				got := ""
				if f, ok := table.Find(q); ok {
					got = f.Rule.Name
				}
				if got != want {
					t.Fatalf("round %d: %+v found %q, want %q, of %+v", round, *q, got, want, rules)
				}
			}
			if want != "" {
				found++
			}
		}
	}
	if found < 1000 || alike < 10 || alike > 390 {
		t.Errorf("the draw tests little: %d found, %d alike", found, alike)
	}
}

func TestCompileErrors(t *testing.T) {
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
		"\"X-One\"":            {{Name: "a", Respond: ok, Matches: []Match{{Headers: []Value{{Name: "x-one"}, {Name: "X-One"}}}}}},
		"can't be rewritten":   {{Name: "a", Targets: []Target{{"c", 1}}, Rewrite: new(string), Matches: []Match{{Path: Path{Template, "/{x}"}}}}},
	} {
		if rules[0].Rewrite != nil {
			*rules[0].Rewrite = "/x"
		}
		table, errs := Compile([]string{"one"}, rules)
		if table != nil || len(errs) == 0 || !strings.Contains(fmt.Sprint(errs), want) {
			t.Errorf("want %q: %v", want, errs)
		}
	}
	if _, errs := Compile(nil, []Rule{{Name: "a"}, {Name: "b"}}); len(errs) != 2 {
		t.Errorf("not all errors are told: %v", errs)
	}
}

// A change of weights moves only the share of keys that must move, and no process draws otherwise than another.
func TestSplit(t *testing.T) {
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
		was, is := before.Pick(key), after.Pick(key)
		counts[is]++
		if was != is {
			moved++
			if was != "0" || is != "1" {
				t.Fatalf("%s went from %s to %s", key, was, is)
			}
		}
	}
	if share := float64(moved) / keys; share < 0.085 || share > 0.115 {
		t.Errorf("%.3f of the keys moved where 0.1 must", share)
	}
	if share := float64(counts["1"]) / keys; share < 0.18 || share > 0.22 || counts["2"] > 0 {
		t.Errorf("split %v", counts)
	}
	if got := split(1, 1, 1).Pick("a key known for ever") + split(1, 1, 1).Pick("another"); got != "02" {
		t.Errorf("the split of known keys has changed: %s", got)
	}
}

func TestRewrite(t *testing.T) {
	for _, c := range [][4]string{ // prefix, rewrite, path, want
		{"/old", "/new", "/old/a", "/new/a"}, {"/old", "/new", "/old", "/new"}, {"/old", "/", "/old/a", "/a"},
		{"/old", "/", "/old", "/"}, {"/", "/new", "/a", "/new/a"}, {"/", "/new/", "/", "/new/"}, {"/old", "/new", "/old/", "/new/"},
	} {
		r := Rule{Rewrite: &c[1]}
		if got := r.Path(c[2], Path{Prefix, c[0]}); got != c[3] {
			t.Errorf("%v: %q", c, got)
		}
	}
	to := "/b"
	if got := (&Rule{Rewrite: &to}).Path("/a", Path{Exact, "/a"}); got != "/b" {
		t.Error(got)
	}
}

// many returns rules as a large site has them: hosts of schools, exact paths, templates and prefixes.
func many(n int) []Rule {
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

func target(i int) *Request {
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

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, errs := Compile([]string{"one"}, many(n))
			if table == nil {
				b.Fatal(errs)
			}
			requests := make([]*Request, 4096)
			d := rand.New(rand.NewPCG(1, 2))
			for i := range requests {
				requests[i] = target(d.IntN(n))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				if _, ok := table.Find(requests[i%len(requests)]); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}

func TestFindAllocates(t *testing.T) {
	table, errs := Compile([]string{"one"}, many(1000))
	if table == nil {
		t.Fatal(errs)
	}
	for i := range 4 {
		q := target(500 + i)
		if n := testing.AllocsPerRun(100, func() { table.Find(q) }); n > 0 {
			t.Errorf("%s: %v allocations", q.Path, n)
		}
		if f, ok := table.Find(q); !ok || !reflect.DeepEqual(f.Path, f.Rule.Matches[0].Path) {
			t.Errorf("%s: %+v", q.Path, f)
		}
	}
}
