package conf

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agext/levenshtein"
	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

// blockReader reads blocks and collects the errors of a file.
type blockReader struct{ diags hcl.Diagnostics }

func (r *blockReader) report(at hcl.Range, summary, detail string, args ...any) {
	r.diags = append(r.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: summary, Detail: fmt.Sprintf(detail, args...),
		Subject: at.Ptr()})
}

// block is a block that was opened.
type block struct {
	*blockReader
	name   string // for errors
	at     hcl.Range
	attrs  hcl.Attributes
	blocks hcl.Blocks
}

// open reads a body that may hold the named attributes, and blocks with the given number of labels. Anything else is an error, which
// suggests the nearest name.
func (r *blockReader) open(what string, at hcl.Range, body hcl.Body, attrs []string, blocks map[string]int) *block {
	var schema hcl.BodySchema
	for _, name := range attrs {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: name})
	}
	for _, name := range slices.Sorted(keys(blocks)) {
		b := hcl.BlockHeaderSchema{Type: name}
		for range blocks[name] {
			b.LabelNames = append(b.LabelNames, "name")
		}
		schema.Blocks = append(schema.Blocks, b)
	}
	content, diags := body.Content(&schema)
	for _, d := range diags {
		// The library suggests very similar names alone. A less similar one still helps.
		if d.Subject != nil && !strings.Contains(d.Detail, "Did you mean") && strings.HasPrefix(d.Summary, "Unsupported") {
			known := append(slices.Clone(attrs), slices.Collect(keys(blocks))...)
			if _, name, quoted := strings.Cut(d.Detail, `"`); quoted {
				name, _, _ = strings.Cut(name, `"`)
				d.Detail += suggestion(name, known)
			}
		}
	}
	r.diags = append(r.diags, diags...)
	s := &block{blockReader: r, name: what, at: at}
	if content != nil {
		s.attrs, s.blocks = content.Attributes, content.Blocks
	}
	return s
}

func keys(m map[string]int) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// nearestName returns the known name with the least edit distance, or "" where none is similar.
func nearestName(name string, known []string) string {
	best, most := "", max(1, (len(name)+1)/2)+1
	slices.Sort(known)
	for _, k := range known {
		if d := levenshtein.Distance(strings.ToLower(name), strings.ToLower(k), nil); d < most {
			best, most = k, d
		}
	}
	return best
}

func suggestion(name string, known []string) string {
	if n := nearestName(name, known); n != "" {
		return fmt.Sprintf(" Did you mean %q?", n)
	}
	return ""
}

// value evaluates an attribute and converts it to a type; ok is false where it is missing, or an error was reported.
func (s *block) value(name string, to cty.Type, kind string) (cty.Value, hcl.Range, bool) {
	a := s.attrs[name]
	if a == nil {
		return cty.NilVal, s.at, false
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() {
		s.diags = append(s.diags, diags...)
		return cty.NilVal, a.Expr.Range(), false
	}
	got, err := convert.Convert(v, to)
	if err != nil || got.IsNull() || !got.IsWhollyKnown() || to == cty.String && v.Type() != cty.String || to == cty.Number && v.Type() != cty.Number {
		s.report(a.Expr.Range(), "Wrong kind of value", "%q in %s must be %s.", name, s.name, kind)
		return cty.NilVal, a.Expr.Range(), false
	}
	return got, a.Expr.Range(), true
}

// has reports whether the block has an attribute.
func (s *block) has(name string) bool { return s.attrs[name] != nil }

// isValid reports whether the block has an attribute without an error so far.
func (s *block) isValid(name string) bool {
	a := s.attrs[name]
	return a != nil && !slices.ContainsFunc(s.diags, func(d *hcl.Diagnostic) bool {
		return d.Subject != nil && a.Expr.Range().Overlaps(*d.Subject)
	})
}

// rangeOf returns the range of an attribute, or of the block where it is missing.
func (s *block) rangeOf(name string) hcl.Range {
	if a := s.attrs[name]; a != nil {
		return a.Expr.Range()
	}
	return s.at
}

// require reports missing attributes.
func (s *block) require(names ...string) {
	for _, name := range names {
		if !s.has(name) {
			s.report(s.at, "Missing value", "%s needs %q.", s.name, name)
		}
	}
}

func (s *block) text(name, otherwise string) string {
	v, _, ok := s.value(name, cty.String, "a text in quotes")
	if !ok {
		return otherwise
	}
	return v.AsString()
}

// oneOf reads a text that must be one of the known ones.
func (s *block) oneOf(name, otherwise string, known ...string) string {
	text := s.text(name, otherwise)
	if s.has(name) && !slices.Contains(known, text) {
		s.report(s.rangeOf(name), "Unknown word", "%q in %s is none of %s.%s", text, s.name, strings.Join(known, ", "), suggestion(text, slices.Clone(known)))
		return otherwise
	}
	return text
}

func (s *block) boolean(name string) bool {
	v, _, ok := s.value(name, cty.Bool, "true or false")
	return ok && v.True()
}

func (s *block) number(name string, otherwise, least, most float64) float64 {
	v, at, ok := s.value(name, cty.Number, "a number")
	if !ok {
		return otherwise
	}
	f, _ := v.AsBigFloat().Float64()
	if !(f >= least && f <= most) {
		s.report(at, "Out of range", "%q in %s is %v; it must be from %v to %v.", name, s.name, f, least, most)
		return otherwise
	}
	return f
}

func (s *block) integer(name string, otherwise, least, most int) int {
	f := s.number(name, float64(otherwise), float64(least), float64(most))
	if f != math.Trunc(f) {
		s.report(s.rangeOf(name), "Not a whole number", "%q in %s is %v.", name, s.name, f)
		return otherwise
	}
	return int(f)
}

// quantity reads the text of a number with its unit; ok is false where it is missing, or an error was reported. A number without a unit is
// an error.
func (s *block) quantity(name, what, examples string) (text string, at hcl.Range, ok bool) {
	a := s.attrs[name]
	if a == nil {
		return "", s.at, false
	}
	v, diags := a.Expr.Value(nil)
	if !diags.HasErrors() && v.Type() == cty.Number {
		s.report(a.Expr.Range(), "A "+what+" without a unit", "%q in %s needs a unit: %s.", name, s.name, examples)
		return "", a.Expr.Range(), false
	}
	before := len(s.diags)
	text = s.text(name, "")
	return text, a.Expr.Range(), len(s.diags) == before
}

// duration reads a duration such as "250ms".
func (s *block) duration(name string, otherwise, least, most time.Duration) time.Duration {
	text, at, ok := s.quantity(name, "time", `"250ms", "2.5s", "1m"`)
	if !ok {
		return otherwise
	}
	d, err := time.ParseDuration(text)
	switch {
	case err != nil:
		s.report(at, "Not a time", "%q in %s is no time: write \"250ms\", \"2.5s\", \"1m\".", text, s.name)
	case d < least || d > most:
		s.report(at, "Out of range", "%q in %s is %v; it must be from %v to %v.", name, s.name, d, least, most)
	default:
		return d
	}
	return otherwise
}

var sizes = []struct {
	unit string
	of   int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}}

// parseSize parses a size such as "64KiB".
func parseSize(text string) (int64, error) {
	for _, u := range sizes {
		figure, is := strings.CutSuffix(text, u.unit)
		if !is {
			continue
		}
		f, err := strconv.ParseFloat(strings.TrimSpace(figure), 64)
		if err != nil || !(f >= 0 && f*float64(u.of) <= 1<<50) {
			break
		}
		return int64(f * float64(u.of)), nil
	}
	return 0, fmt.Errorf("%q is no size: write \"64KiB\", \"32MiB\", \"1.5GB\"", text)
}

// size reads a size such as "64KiB", in bytes.
func (s *block) size(name string, otherwise, least, most int64) int64 {
	text, at, ok := s.quantity(name, "size", `"64KiB", "32MiB"`)
	if !ok {
		return otherwise
	}
	n, err := parseSize(text)
	switch {
	case err != nil:
		s.report(at, "Not a size", "%s.", err)
	case n < least || n > most:
		s.report(at, "Out of range", "%q in %s is %d bytes; it must be from %d to %d.", name, s.name, n, least, most)
	default:
		return n
	}
	return otherwise
}

// percentage reads a percentage such as "25%" as a fraction.
func (s *block) percentage(name string, otherwise float64) float64 {
	if !s.has(name) {
		return otherwise
	}
	text := s.text(name, "")
	figure, is := strings.CutSuffix(text, "%")
	f, err := strconv.ParseFloat(figure, 64)
	if !is || err != nil || !(f >= 0 && f <= 100) {
		s.report(s.rangeOf(name), "Not a share", "%q in %s must be a share from \"0%%\" to \"100%%\".", name, s.name)
		return otherwise
	}
	return f / 100
}

// located is a text with its range.
type located struct {
	text string
	at   hcl.Range
}

// list reads a list of texts.
func (s *block) list(name string) (out []located) {
	a := s.attrs[name]
	if a == nil {
		return nil
	}
	exprs, diags := hcl.ExprList(a.Expr)
	if diags.HasErrors() {
		s.report(a.Expr.Range(), "Wrong kind of value", "%q in %s must be a list of texts: [\"a\", \"b\"].", name, s.name)
		return nil
	}
	for _, e := range exprs {
		v, diags := e.Value(nil)
		if diags.HasErrors() || v.Type() != cty.String || v.IsNull() {
			s.report(e.Range(), "Wrong kind of value", "%q in %s must be a list of texts: [\"a\", \"b\"].", name, s.name)
			continue
		}
		out = append(out, located{v.AsString(), e.Range()})
	}
	return out
}

func stringsOf(list []located) (out []string) {
	for _, l := range list {
		out = append(out, l.text)
	}
	return out
}

// stringMap reads a map of texts.
func (s *block) stringMap(name string) map[string]string {
	v, _, ok := s.value(name, cty.Map(cty.String), "names and texts: { \"X-Name\" = \"value\" }")
	if !ok {
		return nil
	}
	out := map[string]string{}
	for k, e := range v.AsValueMap() {
		if e.IsNull() {
			s.report(s.rangeOf(name), "Wrong kind of value", "%q of %q in %s must be a text.", k, name, s.name)
			continue
		}
		out[k] = e.AsString()
	}
	return out
}
