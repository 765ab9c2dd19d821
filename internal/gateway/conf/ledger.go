package conf

import (
	"bytes"
	"os"
	"time"

	"github.com/hashicorp/hcl/v2"

	"silvertrail/internal/ledger"
	"silvertrail/internal/ledger/commit"
	"silvertrail/lbpolicy"
)

const (
	minSecretBytes = 16
	maxSecretBytes = 4 << 10
)

// ledgerBlock reads the ledger block, or returns nil where there is none.
func (p *parser) ledgerBlock(blocks hcl.Blocks, f *File) *ledger.Options {
	if len(blocks) == 0 {
		return nil
	}
	p.atMostOne(blocks)
	b := blocks[0]
	s := p.decodeBlock("ledger", b.DefRange, b.Body, []string{"path", "mode", "gather", "patience", "segment", "held", "size", "age", "names",
		"secret", "lost", "clock_error"}, nil)
	s.require("path")
	options := &ledger.Options{Dir: p.path(s, "path"), MaxKeys: f.Process.MaxKeys}
	options.Commit = commit.Config{Mode: map[string]commit.Mode{"group": commit.GroupCommit, "each": commit.EachRecord, "os": commit.OSBuffered}[s.oneOf("mode", "group", "group", "each", "os")],
		MaxGroupDelay:   s.duration("gather", 3*time.Millisecond, 0, time.Second),
		SlowDiskTime:    s.duration("patience", 100*time.Millisecond, time.Millisecond, time.Minute),
		SegmentBytes:    s.size("segment", 64<<20, 64<<10, 1<<30),
		MaxPendingBytes: int(s.size("held", 4<<20, 64<<10, 1<<30))}
	options.Retention.MaxAge = s.duration("age", 30*24*time.Hour, time.Minute, 10*365*24*time.Hour)
	options.Retention.MaxBytes = s.size("size", 4<<30, 1<<20, 1<<50)
	if options.Retention.MaxBytes < 2*options.Commit.SegmentBytes {
		s.report(s.rangeOf("size"), "Too small", "%q is %d bytes; two segments of %d are the least.", "size", options.Retention.MaxBytes, options.Commit.SegmentBytes)
	}
	if s.has("gather") && options.Commit.Mode != commit.GroupCommit {
		s.report(s.rangeOf("gather"), "Without a meaning", "\"gather\" goes with mode = \"group\" alone.")
	}
	options.IgnoreLosses = s.oneOf("lost", "hold", "hold", "serve") == "serve"
	options.MaxClockError = s.duration("clock_error", 10*time.Second, 0, 24*time.Hour)
	hashed := s.oneOf("names", "plain", "plain", "hashed") == "hashed"
	switch {
	case hashed && !s.has("secret"):
		s.report(s.rangeOf("names"), "No secret", "Hashed names need \"secret\", a file of at least %d random bytes.", minSecretBytes)
	case !hashed && s.has("secret"):
		s.report(s.rangeOf("secret"), "Without a meaning", "\"secret\" goes with names = \"hashed\" alone.")
	case hashed:
		text, err := os.ReadFile(p.path(s, "secret"))
		text = bytes.TrimSpace(text)
		if err == nil && len(text) >= minSecretBytes && len(text) <= maxSecretBytes {
			options.Secret = text
		} else if err != nil {
			s.report(s.rangeOf("secret"), "Unusable secret", "%s.", err)
		} else {
			s.report(s.rangeOf("secret"), "Unusable secret", "It has %d bytes; %d to %d are wanted.", len(text), minSecretBytes, maxSecretBytes)
		}
	}
	keyed := false
	for _, c := range f.Classes {
		if c.Effect == lbpolicy.KeyedIdempotent {
			keyed = true
			options.Retention.MinAge = max(options.Retention.MinAge, c.Window+c.Retention+c.Deadline)
		}
	}
	if !keyed {
		s.report(s.at, "Nothing to record", "A ledger records requests of classes with effect = \"keyed\", and there is none.")
	}
	return options
}
