package conf

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/ledger/commit"
)

func TestLedgerSampleIsRead(t *testing.T) {
	f, err := Load("../../../deploy/silvertrail-ledger.hcl")
	if err != nil {
		t.Fatal(err)
	}
	o := f.Ledger
	if o == nil || filepath.Base(o.Dir) != "ledger" || o.Commit != (commit.Config{Mode: commit.GroupCommit, MaxGroupDelay: 3 * time.Millisecond,
		SlowDiskTime: 100 * time.Millisecond, SegmentBytes: 64 << 20, MaxPendingBytes: 4 << 20}) || o.Retention != (commit.Retention{MaxAge: 720 * time.Hour, MaxBytes: 4 << 30,
		MinAge: 125 * time.Second}) || o.Secret != nil || o.IgnoreLosses || f.Classes[0].ServeUnrecorded {
		t.Errorf("ledger options differ from the sample file: %+v", o)
	}
	if parse(t, baseConfig).Ledger != nil {
		t.Error("a file without a ledger block has ledger options")
	}
}

func TestInvalidLedgerIsRejected(t *testing.T) {
	folder := t.TempDir()
	for name, text := range map[string]string{"good": strings.Repeat("secret ", 5), "short": "short\n"} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	keyed := "class \"seat\" {\n aim = \"1s\"\n deadline = \"2s\"\n effect = \"keyed\"\n window = \"10s\"\n unrecorded = \"serve\"\n}\n"
	for text, want := range map[string]string{
		keyed + "ledger {\n}\n":                                                                                `needs "path"`,
		"ledger {\n path = \"l\"\n}\n":                                                                         "Nothing to record",
		keyed + "ledger {\n path = \"l\"\n mode = \"grop\"\n}\n":                                               `Did you mean "group"?`,
		keyed + "ledger {\n path = \"l\"\n mode = \"os\"\n gather = \"1ms\"\n}\n":                              "Without a meaning",
		keyed + "ledger {\n path = \"l\"\n patience = \"100\"\n}\n":                                            "Not a time",
		keyed + "ledger {\n path = \"l\"\n segment = \"1GiB\"\n size = \"1GiB\"\n}\n":                          "Too small",
		keyed + "ledger {\n path = \"l\"\n names = \"hashed\"\n}\n":                                            "No secret",
		keyed + "ledger {\n path = \"l\"\n secret = \"good\"\n}\n":                                             "Without a meaning",
		keyed + "ledger {\n path = \"l\"\n names = \"hashed\"\n secret = \"short\"\n}\n":                       "5 bytes; 16 to 4096",
		keyed + "ledger {\n path = \"l\"\n names = \"hashed\"\n secret = \"none\"\n}\n":                        "Unusable secret",
		keyed + "ledger {\n path = \"l\"\n lost = \"maybe\"\n}\n":                                              "none of hold, serve",
		keyed + "ledger {\n path = \"l\"\n}\nledger {\n path = \"m\"\n}\n":                                     "one ledger block at most",
		"class \"odd\" {\n aim = \"1s\"\n deadline = \"2s\"\n effect = \"safe\"\n unrecorded = \"serve\"\n}\n": `"unrecorded" goes with effect = "keyed" alone`,
	} {
		_, err := Parse([]byte(baseConfig+text), filepath.Join(folder, "test.hcl"))
		var parseErr *Error
		if !errors.As(err, &parseErr) || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "test.hcl:") {
			t.Errorf("%s\nerror %v\nwant %s", text, err, want)
		}
	}
	f, err := Parse([]byte(baseConfig+keyed+"ledger {\n path = \"l\"\n names = \"hashed\"\n secret = \"good\"\n}\n"), filepath.Join(folder, "test.hcl"))
	if err != nil || len(f.Ledger.Secret) != 34 || !f.Classes[1].ServeUnrecorded {
		t.Errorf("ledger with hashed names: secret or unrecorded policy differs from the file, error %v", err)
	}
}
