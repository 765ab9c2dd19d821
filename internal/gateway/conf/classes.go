package conf

import (
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"silvertrail/lbpolicy"
)

// The values that the attributes "effect" and "scope" of a class block accept, and the default methods for each effect.
var (
	effects = map[string]lbpolicy.Effect{"safe": lbpolicy.Idempotent, "keyed": lbpolicy.KeyedIdempotent, "unsafe": lbpolicy.NonIdempotent}
	scopes  = map[string]lbpolicy.Scope{"all": lbpolicy.ScopeAll, "zone": lbpolicy.ScopeZone, "cell": lbpolicy.ScopeCell}
	methods = map[lbpolicy.Effect][]string{
		lbpolicy.Idempotent:      {"GET", "HEAD", "OPTIONS"},
		lbpolicy.KeyedIdempotent: {"POST", "PUT", "PATCH", "DELETE"},
		lbpolicy.NonIdempotent:   {"POST", "PUT", "PATCH", "DELETE"},
	}
)

// class reads a class block.
func (p *parser) class(b *hcl.Block) Class {
	s := p.decodeBlock("class "+quote(b.Labels[0]), b.DefRange, b.Body, []string{"aim", "deadline", "worth", "effect", "scope", "window", "methods",
		"keep", "check_repeats", "concurrent", "unrecorded"}, nil)
	s.require("aim", "deadline", "effect")
	c := Class{Name: b.Labels[0]}
	c.Deadline = s.duration("deadline", time.Second, time.Millisecond, time.Hour)
	if s.isValid("deadline") {
		c.LatencyObjective = s.duration("aim", c.Deadline, time.Millisecond, c.Deadline)
	} else { // do not report an invalid deadline again as the upper bound of "aim"
		c.LatencyObjective = s.duration("aim", c.Deadline, time.Millisecond, time.Hour)
	}
	c.PriorityWeight = s.number("worth", 1, 0, 1e6)
	c.Effect = effects[s.oneOf("effect", "unsafe", "safe", "keyed", "unsafe")]
	c.Scope = scopes[s.oneOf("scope", "all", "all", "zone", "cell")]
	c.Window = s.duration("window", 0, 0, 24*time.Hour)
	c.Retention = s.duration("keep", c.Window, 0, 24*time.Hour)
	c.CheckRepeats = s.boolean("check_repeats")
	if s.oneOf("concurrent", "send", "send", "conflict") == "conflict" {
		c.Concurrent = RejectConcurrent
	}
	c.ServeUnrecorded = s.oneOf("unrecorded", "refuse", "refuse", "serve") == "serve"
	c.Methods = methods[c.Effect]
	if s.has("methods") {
		c.Methods = p.readMethods(s.list("methods"))
	}
	for _, name := range []string{"scope", "window", "keep", "check_repeats", "concurrent", "unrecorded"} {
		if s.has(name) && c.Effect != lbpolicy.KeyedIdempotent {
			s.report(s.rangeOf(name), "Without a meaning", "%q goes with effect = \"keyed\" alone.", name)
		}
	}
	if c.Effect == lbpolicy.KeyedIdempotent {
		s.require("window")
	}
	return c
}

// readMethods checks a list of HTTP methods and returns their names. CONNECT and TRACE are not proxied.
func (p *parser) readMethods(list []locatedText) []string {
	for _, l := range list {
		if l.text == "" || strings.ContainsFunc(l.text, func(r rune) bool { return r < 'A' || r > 'Z' }) || l.text == "CONNECT" || l.text == "TRACE" {
			p.report(l.at, "Unusable method", "%q is no method that is passed on.", l.text)
		}
	}
	return stringsOf(list)
}
