package conf

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2/hclsyntax"
	ctyjson "github.com/zclconf/go-cty/cty/json"

	"silvertrail/internal/fleet/version"
)

// Fingerprint identifies the content of a file. It does not depend on comments, on spacing, or on the order of attributes and of top-level
// blocks.
type Fingerprint struct {
	Shared version.Hash // hash of the blocks that should be the same on all instances of a fleet
	Local  version.Hash // hash of the other blocks: names, addresses, files
}

// sharedBlocks lists the types of the blocks that should be the same on all instances of a fleet.
var sharedBlocks = []string{"class", "tenant", "clients", "cluster", "route"}

// fingerprintOf returns the fingerprint of a body that was parsed without errors.
func fingerprintOf(body *hclsyntax.Body) (fingerprint Fingerprint, err error) {
	var shared, local []string
	for _, b := range body.Blocks {
		var text strings.Builder
		if err := writeBlock(&text, b); err != nil {
			return fingerprint, err
		}
		if slices.Contains(sharedBlocks, b.Type) {
			shared = append(shared, text.String())
		} else {
			local = append(local, text.String())
		}
	}
	slices.Sort(shared)
	slices.Sort(local)
	fingerprint.Shared = version.HashOf([]byte(strings.Join(shared, "")))
	fingerprint.Local = version.HashOf([]byte(strings.Join(local, "")))
	return fingerprint, nil
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
	for _, inner := range b.Body.Blocks {
		if err := writeBlock(w, inner); err != nil {
			return err
		}
	}
	w.WriteString("}\n")
	return nil
}
