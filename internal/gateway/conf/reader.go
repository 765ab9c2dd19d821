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

// blockReader decodes blocks and collects the errors of a file.
type blockReader struct{ diags hcl.Diagnostics }

func (r *blockReader) report(at hcl.Range, summary, detail string, args ...any) {
	r.diags = append(r.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: summary, Detail: fmt.Sprintf(detail, args...),
		Subject: at.Ptr()})
}

// block is a decoded block: its attributes and inner blocks are checked against the schema.
type block struct {
	*blockReader
	name   string // as it appears in errors
	at     hcl.Range
	attrs  hcl.Attributes
	blocks hcl.Blocks
}

// decodeBlock decodes a body that may have the attributes named in attrs, and the blocks whose types and numbers of labels are given by
// blocks. Errors call the block displayName. Any other attribute or block is reported as an error, which suggests the most similar name.
func (r *blockReader) decodeBlock(displayName string, at hcl.Range, body hcl.Body, attrs []string, blocks map[string]int) *block {
	var schema hcl.BodySchema
	for _, attr := range attrs {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: attr})
	}
	for _, blockType := range slices.Sorted(keys(blocks)) {
		b := hcl.BlockHeaderSchema{Type: blockType}
		for range blocks[blockType] {
			b.LabelNames = append(b.LabelNames, "name")
		}
		schema.Blocks = append(schema.Blocks, b)
	}
	content, diags := body.Content(&schema)
	for _, d := range diags {
		// The HCL library only suggests names that are very similar. For other unknown names, suggest a less similar one.
		if d.Subject != nil && !strings.Contains(d.Detail, "Did you mean") && strings.HasPrefix(d.Summary, "Unsupported") {
			known := append(slices.Clone(attrs), slices.Collect(keys(blocks))...)
			if _, unknown, quoted := strings.Cut(d.Detail, `"`); quoted {
				unknown, _, _ = strings.Cut(unknown, `"`)
				d.Detail += suggestion(unknown, known)
			}
		}
	}
	r.diags = append(r.diags, diags...)
	s := &block{blockReader: r, name: displayName, at: at}
	if content != nil {
		s.attrs, s.blocks = content.Attributes, content.Blocks
	}
	return s
}

// keys returns an iterator over the keys of a map, in unspecified order.
func keys(m map[string]int) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// nearestName returns the known name with the least edit distance, or "" if no known name is similar.
func nearestName(name string, known []string) string {
	best, bound := "", max(1, (len(name)+1)/2)+1
	slices.Sort(known)
	for _, k := range known {
		if d := levenshtein.Distance(strings.ToLower(name), strings.ToLower(k), nil); d < bound {
			best, bound = k, d
		}
	}
	return best
}

// suggestion returns the part of an error that suggests the nearest known name, or "".
func suggestion(name string, known []string) string {
	if n := nearestName(name, known); n != "" {
		return fmt.Sprintf(" Did you mean %q?", n)
	}
	return ""
}

// value evaluates an attribute and converts it to a type. It also returns the attribute's range, and false if the attribute is missing or
// an error was reported. The kind describes the type in errors.
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

// isValid reports whether the block has the attribute and no error has been reported for its value so far.
func (s *block) isValid(name string) bool {
	a := s.attrs[name]
	return a != nil && !slices.ContainsFunc(s.diags, func(d *hcl.Diagnostic) bool {
		return d.Subject != nil && a.Expr.Range().Overlaps(*d.Subject)
	})
}

// rangeOf returns the range of an attribute's value, or the range of the block if the attribute is missing.
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

func (s *block) text(name, defaultValue string) string {
	v, _, ok := s.value(name, cty.String, "a text in quotes")
	if !ok {
		return defaultValue
	}
	return v.AsString()
}

// oneOf reads a text that must be one of the known values.
func (s *block) oneOf(name, defaultValue string, known ...string) string {
	text := s.text(name, defaultValue)
	if s.has(name) && !slices.Contains(known, text) {
		s.report(s.rangeOf(name), "Unknown word", "%q in %s is none of %s.%s", text, s.name, strings.Join(known, ", "), suggestion(text, slices.Clone(known)))
		return defaultValue
	}
	return text
}

func (s *block) boolean(name string) bool {
	v, _, ok := s.value(name, cty.Bool, "true or false")
	return ok && v.True()
}

func (s *block) number(name string, defaultValue, minimum, maximum float64) float64 {
	v, at, ok := s.value(name, cty.Number, "a number")
	if !ok {
		return defaultValue
	}
	f, _ := v.AsBigFloat().Float64()
	if !(f >= minimum && f <= maximum) {
		s.report(at, "Out of range", "%q in %s is %v; it must be from %v to %v.", name, s.name, f, minimum, maximum)
		return defaultValue
	}
	return f
}

func (s *block) integer(name string, defaultValue, minimum, maximum int) int {
	f := s.number(name, float64(defaultValue), float64(minimum), float64(maximum))
	if f != math.Trunc(f) {
		s.report(s.rangeOf(name), "Not a whole number", "%q in %s is %v.", name, s.name, f)
		return defaultValue
	}
	return int(f)
}

// quantity reads a text that holds a number and its unit; ok is false if the attribute is missing or an error was reported. A number
// without a unit is an error.
func (s *block) quantity(name, kind, examples string) (text string, at hcl.Range, ok bool) {
	a := s.attrs[name]
	if a == nil {
		return "", s.at, false
	}
	v, diags := a.Expr.Value(nil)
	if !diags.HasErrors() && v.Type() == cty.Number {
		s.report(a.Expr.Range(), "A "+kind+" without a unit", "%q in %s needs a unit: %s.", name, s.name, examples)
		return "", a.Expr.Range(), false
	}
	before := len(s.diags)
	text = s.text(name, "")
	return text, a.Expr.Range(), len(s.diags) == before
}

// duration reads a duration such as "250ms".
func (s *block) duration(name string, defaultValue, minimum, maximum time.Duration) time.Duration {
	text, at, ok := s.quantity(name, "time", `"250ms", "2.5s", "1m"`)
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(text)
	switch {
	case err != nil:
		s.report(at, "Not a time", "%q in %s is no time: write \"250ms\", \"2.5s\", \"1m\".", text, s.name)
	case d < minimum || d > maximum:
		s.report(at, "Out of range", "%q in %s is %v; it must be from %v to %v.", name, s.name, d, minimum, maximum)
	default:
		return d
	}
	return defaultValue
}

// sizeUnits lists the units of sizes. "B" is last, because it is a suffix of all others.
var sizeUnits = []struct {
	unit  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}}

// parseSize parses a size such as "64KiB" and returns it in bytes.
func parseSize(text string) (int64, error) {
	for _, u := range sizeUnits {
		digits, hasUnit := strings.CutSuffix(text, u.unit)
		if !hasUnit {
			continue
		}
		f, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		if err != nil || !(f >= 0 && f*float64(u.bytes) <= 1<<50) {
			break
		}
		return int64(f * float64(u.bytes)), nil
	}
	return 0, fmt.Errorf("%q is no size: write \"64KiB\", \"32MiB\", \"1.5GB\"", text)
}

// size reads a size such as "64KiB" and returns it in bytes.
func (s *block) size(name string, defaultValue, minimum, maximum int64) int64 {
	text, at, ok := s.quantity(name, "size", `"64KiB", "32MiB"`)
	if !ok {
		return defaultValue
	}
	n, err := parseSize(text)
	switch {
	case err != nil:
		s.report(at, "Not a size", "%s.", err)
	case n < minimum || n > maximum:
		s.report(at, "Out of range", "%q in %s is %d bytes; it must be from %d to %d.", name, s.name, n, minimum, maximum)
	default:
		return n
	}
	return defaultValue
}

// percentage reads a percentage such as "25%" and returns it as a fraction from 0 to 1.
func (s *block) percentage(name string, defaultValue float64) float64 {
	if !s.has(name) {
		return defaultValue
	}
	text := s.text(name, "")
	digits, hasUnit := strings.CutSuffix(text, "%")
	f, err := strconv.ParseFloat(digits, 64)
	if !hasUnit || err != nil || !(f >= 0 && f <= 100) {
		s.report(s.rangeOf(name), "Not a share", "%q in %s must be a share from \"0%%\" to \"100%%\".", name, s.name)
		return defaultValue
	}
	return f / 100
}

// locatedText is a text with its position in the configuration file.
type locatedText struct {
	text string
	at   hcl.Range
}

// list reads a list of texts, each with its own position for errors.
func (s *block) list(name string) (out []locatedText) {
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
		out = append(out, locatedText{v.AsString(), e.Range()})
	}
	return out
}

func stringsOf(list []locatedText) (out []string) {
	for _, l := range list {
		out = append(out, l.text)
	}
	return out
}

// stringMap reads a map of texts, such as header names and values.
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
