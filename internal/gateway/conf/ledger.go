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
	leastSecret = 16 // bytes
	mostSecret  = 4 << 10
)

// ledgerBlock reads the ledger block, or returns nil where there is none.
func (p *parser) ledgerBlock(blocks hcl.Blocks, f *File) *ledger.Options {
	if len(blocks) == 0 {
		return nil
	}
	p.once(blocks)
	b := blocks[0]
	s := p.open("ledger", b.DefRange, b.Body, []string{"path", "mode", "gather", "patience", "segment", "held", "size", "age", "names",
		"secret", "lost", "clock_error"}, nil)
	s.need("path")
	o := &ledger.Options{Dir: p.path(s, "path"), MaxKeys: f.Process.Keys}
	o.Commit = commit.Config{Mode: map[string]commit.Mode{"group": commit.GroupCommit, "each": commit.EachRecord, "os": commit.OSBuffered}[s.word("mode", "group", "group", "each", "os")],
		MaxGroupDelay:   s.duration("gather", 3*time.Millisecond, 0, time.Second),
		SlowDiskTime:    s.duration("patience", 100*time.Millisecond, time.Millisecond, time.Minute),
		SegmentBytes:    s.size("segment", 64<<20, 64<<10, 1<<30),
		MaxPendingBytes: int(s.size("held", 4<<20, 64<<10, 1<<30))}
	o.Retention.MaxAge = s.duration("age", 30*24*time.Hour, time.Minute, 10*365*24*time.Hour)
	o.Retention.MaxBytes = s.size("size", 4<<30, 1<<20, 1<<50)
	if o.Retention.MaxBytes < 2*o.Commit.SegmentBytes {
		s.fault(s.where("size"), "Too small", "%q is %d bytes; two segments of %d are the least.", "size", o.Retention.MaxBytes, o.Commit.SegmentBytes)
	}
	if s.has("gather") && o.Commit.Mode != commit.GroupCommit {
		s.fault(s.where("gather"), "Without a meaning", "\"gather\" goes with mode = \"group\" alone.")
	}
	o.IgnoreLosses = s.word("lost", "hold", "hold", "serve") == "serve"
	o.MaxClockError = s.duration("clock_error", 10*time.Second, 0, 24*time.Hour)
	hashed := s.word("names", "plain", "plain", "hashed") == "hashed"
	switch {
	case hashed && !s.has("secret"):
		s.fault(s.where("names"), "No secret", "Hashed names need \"secret\", a file of at least %d random bytes.", leastSecret)
	case !hashed && s.has("secret"):
		s.fault(s.where("secret"), "Without a meaning", "\"secret\" goes with names = \"hashed\" alone.")
	case hashed:
		text, err := os.ReadFile(p.path(s, "secret"))
		text = bytes.TrimSpace(text)
		if err == nil && len(text) >= leastSecret && len(text) <= mostSecret {
			o.Secret = text
		} else if err != nil {
			s.fault(s.where("secret"), "Unusable secret", "%s.", err)
		} else {
			s.fault(s.where("secret"), "Unusable secret", "It has %d bytes; %d to %d are wanted.", len(text), leastSecret, mostSecret)
		}
	}
	keyed := false
	for _, c := range f.Classes {
		if c.Effect == lbpolicy.KeyedIdempotent {
			keyed = true
			o.Retention.MinAge = max(o.Retention.MinAge, c.Window+c.Keep+c.Deadline)
		}
	}
	if !keyed {
		s.fault(s.at, "Nothing to record", "A ledger records requests of classes with effect = \"keyed\", and there is none.")
	}
	return o
}
