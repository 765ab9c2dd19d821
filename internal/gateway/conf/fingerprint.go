package conf

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2/hclsyntax"
	ctyjson "github.com/zclconf/go-cty/cty/json"

	"silvertrail/internal/fleet/version"
)

// Fingerprint identifies the content of a file. Comments, spacing, the order of attributes and that of top-level blocks do not change it.
type Fingerprint struct {
	Shared version.Hash // of what all instances of a fleet should have in common
	Local  version.Hash // of the rest: names, addresses, files
}

// sharedBlocks are the types of the blocks that all instances of a fleet should have in common.
var sharedBlocks = []string{"class", "tenant", "clients", "cluster", "route"}

// fingerprintOf returns the fingerprint of a body that was parsed without an error.
func fingerprintOf(body *hclsyntax.Body) (m Fingerprint, err error) {
	var common, own []string
	for _, b := range body.Blocks {
		var text strings.Builder
		if err := writeBlock(&text, b); err != nil {
			return m, err
		}
		if slices.Contains(sharedBlocks, b.Type) {
			common = append(common, text.String())
		} else {
			own = append(own, text.String())
		}
	}
	slices.Sort(common)
	slices.Sort(own)
	m.Shared = version.HashOf([]byte(strings.Join(common, "")))
	m.Local = version.HashOf([]byte(strings.Join(own, "")))
	return m, nil
}

// writeBlock writes a block in canonical form: attributes ordered by name with their values, then the inner blocks in their order.
func writeBlock(w *strings.Builder, b *hclsyntax.Block) error {
	fmt.Fprintf(w, "%s %q {\n", b.Type, b.Labels)
	names := make([]string, 0, len(b.Body.Attributes))
	for name := range b.Body.Attributes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		v, diags := b.Body.Attributes[name].Expr.Value(nil)
		if diags.HasErrors() {
			return fmt.Errorf("config: %w", diags)
		}
		text, err := ctyjson.Marshal(v, v.Type())
		if err != nil {
			return fmt.Errorf("config: %w", err)
		}
		fmt.Fprintf(w, "%s = %s\n", name, text)
	}
	for _, in := range b.Body.Blocks {
		if err := writeBlock(w, in); err != nil {
			return err
		}
	}
	w.WriteString("}\n")
	return nil
}
