package conf

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The sample file of a linked gateway is valid if the keyring file is in its folder. Errors in its attributes are reported.
func TestLinkSampleIsReadAndItsErrorsReported(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/silvertrail-salas.hcl")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	key, err := NewKey()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "fleet.keys"), []byte(key), 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "salas.hcl")
	f, err := Parse(text, path)
	if err != nil {
		t.Fatal(err)
	}
	o := f.Link
	if o == nil || o.Site != "centro" || len(o.Peers) != 2 || o.Peers[1].Addresses[0] != "127.0.0.1:7952" || o.HeartbeatTimeout != 300*time.Millisecond ||
		o.Connections != 2 || o.Identity.Key != filepath.Join(dir, "centro.key") || len(o.PriorityWeights) != 2 {
		t.Errorf("link options differ from the sample file: %+v", o)
	}
	for original, edit := range map[string]struct{ replacement, wantError string }{
		`link "centro"`:                        {`link "Centro"`, "Unusable name"},
		`address = "127.0.0.1:7952"`:           {`addresses = ["127.0.0.1:7952", "x"]`, `"x" is no address and port`},
		"  peer \"norte\" {\n":                 {"  peer \"norte\" {\n    addresses = [\"127.0.0.1:1\"]\n", "Told twice"},
		`peer "sur"`:                           {`peer "centro"`, "is this sala, or a peer already"},
		`address = "127.0.0.1:7951"`:           {`address = "7951"`, "no address and port"},
		`listen      = "127.0.0.1:7950"`:       {`listen = "10.0.0.1:7950"` + "\n plain = true", "for loopback alone"},
		`certificate = "centro.pem"`:           {``, `needs "certificate"`},
		`silence     = "300ms"`:                {`silense = "300ms"`, `Did you mean "silence"?`},
		`cross   = ["norte", "sur"]`:           {`cross   = ["nort"]`, `Did you mean "norte"?`},
		`voters  = ["centro", "norte", "sur"]`: {``, "Keys without voters"},
		`listener "public"`:                    {`listener "link"`, "Name taken"},
		`key         = "centro.key"`:           {`key = "centro.key"` + "\n plain = true", "Without a meaning"},
	} {
		broken := strings.Replace(string(text), original, edit.replacement, 1)
		if broken == string(text) {
			t.Fatalf("the sample does not contain %s", original)
		}
		_, err := Parse([]byte(broken), path)
		var parseErr *Error
		if !errors.As(err, &parseErr) || !strings.Contains(err.Error(), edit.wantError) {
			t.Errorf("replaced by %s: want error with %s, got %v", edit.replacement, edit.wantError, err)
		}
	}
	// Without the link block, each site to which a route forwards is an error and is reported once.
	head, rest, _ := strings.Cut(string(text), "\nlink ")
	_, rest, _ = strings.Cut(rest, "\n}\n")
	if _, err := Parse([]byte(head+rest), path); err == nil || strings.Count(err.Error(), "No link") != 4 {
		t.Errorf("want 'No link' four times, got %v", err)
	}
}
