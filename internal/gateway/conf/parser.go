package conf

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// parser reads a configuration file. After an error it continues, so that all errors are reported at once.
type parser struct {
	blockReader
	folder string                          // folder of the file, against which relative paths are resolved
	names  map[string]map[string]hcl.Range // defined names by block type
}

const maxNameLength = 100

// defineName records a block's label, which must be unique among the blocks of its type.
func (p *parser) defineName(b *hcl.Block) {
	name := b.Labels[0]
	if p.names[b.Type] == nil {
		p.names[b.Type] = map[string]hcl.Range{}
	}
	first, twice := p.names[b.Type][name]
	switch {
	case name == "" || len(name) > maxNameLength || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		p.report(b.LabelRanges[0], "Unusable name", "The name of a %s has 1 to 100 characters and no spaces.", b.Type)
	case twice:
		p.report(b.LabelRanges[0], "Named twice", "A %s named %q stands on line %d already.", b.Type, name, first.Start.Line)
	default:
		p.names[b.Type][name] = b.LabelRanges[0]
	}
}

// requireDefined reports an error unless a block of the type defines the name. It returns whether the name is defined.
func (p *parser) requireDefined(blockType string, l locatedText) bool {
	if _, ok := p.names[blockType][l.text]; ok {
		return true
	}
	p.report(l.at, "Unknown "+blockType, "There is no %s named %q.%s", blockType, l.text, suggestion(l.text, p.definedNames(blockType)))
	return false
}

func (p *parser) definedNames(blockType string) (names []string) {
	for name := range p.names[blockType] {
		names = append(names, name)
	}
	return names
}

// atMostOne reports the blocks of a type beyond the first.
func (p *parser) atMostOne(blocks hcl.Blocks) {
	for _, b := range blocks[min(len(blocks), 1):] {
		p.report(b.DefRange, "Twice", "There is one %s block at most.", b.Type)
	}
}

func quote(name string) string { return fmt.Sprintf("%q", name) }
