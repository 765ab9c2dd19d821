package conf

import (
	"time"

	"github.com/hashicorp/hcl/v2"
)

// process reads the process block. The block is optional: without it, all settings have their defaults.
func (p *parser) process(blocks hcl.Blocks) (out Process, s *block) {
	s = &block{blockReader: &p.blockReader, name: "process"}
	if len(blocks) > 0 {
		s = p.decodeBlock("process", blocks[0].DefRange, blocks[0].Body, []string{"zones", "zone", "sockets", "calls", "body_memory", "stop",
			"default_class", "fleet", "member", "keys", "control"}, nil)
	}
	p.atMostOne(blocks)
	out.Zones = stringsOf(s.list("zones"))
	named := len(out.Zones) > 0
	if !named {
		out.Zones = []string{s.text("zone", "local")}
	}
	p.names["zone"] = map[string]hcl.Range{}
	for _, z := range out.Zones {
		p.names["zone"][z] = s.rangeOf("zones")
	}
	switch {
	case named && s.has("zone"):
		p.requireDefined("zone", locatedText{s.text("zone", ""), s.rangeOf("zone")})
	case named:
		s.require("zone")
	}
	out.Sockets = s.integer("sockets", 1024, 64, 1<<20)
	out.MaxRequests = int64(s.integer("calls", 4096, 1, 1<<20))
	out.BodyMemory = s.size("body_memory", 32<<20, 64<<10, 1<<40)
	out.ShutdownTime = s.duration("stop", 5*time.Second, 100*time.Millisecond, time.Hour)
	out.DefaultClass = s.text("default_class", "")
	out.MaxKeys = s.integer("keys", 1<<16, 16, 1<<24)
	return out, s
}
