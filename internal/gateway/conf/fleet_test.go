package conf

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The sample file of a fleet is valid if the keyring file is in its folder. Errors in its attributes are reported.
func TestFleetSampleIsReadAndItsErrorsReported(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/silvertrail-fleet.hcl")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	var keyring strings.Builder
	keyring.WriteString("# the fleet's keys\n\n")
	for range 2 {
		key, err := NewKey()
		if err != nil {
			t.Fatal(err)
		}
		keyring.WriteString(key + "\n")
	}
	path := filepath.Join(dir, "fleet.hcl")
	for name, content := range map[string]string{"fleet.keys": keyring.String(), "fleet.hcl": string(text)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	f, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	o := f.Fleet
	if o == nil || o.FleetName != "rio-claro" || len(o.Voters) != 3 || len(o.Seeds) != 2 || len(o.Keyring) != 2 || o.NewFleet ||
		o.MaxDeadline != 5*time.Second || o.KeyRetention != 130*time.Second || f.Control != filepath.Join(dir, "silvertrail.sock") {
		t.Errorf("fleet options differ from the sample file: %+v", o)
	}
	for original, edit := range map[string]struct{ replacement, wantError string }{
		`"centro-2", "norte-1"]`:              {`"centro-1"]`, "is empty or a voter already"},
		`"fleet.keys"`:                        {`"fleet.hcl"`, "fleet.hcl, line 3: not 32 bytes in base64"},
		`listen    = "127.0.0.1:7946"`:        {`listen    = "here"`, "Not an address"},
		`"127.0.0.1:7947"]`:                   {`"7947"]`, "no address and port"},
		`name      = "centro-1"`:              {``, `needs "name"`},
		`zone    = "sala-centro"` + "\n  con": {`zone    = "sala-centro"` + "\n  fleet = 3\n  con", "Told twice"},
		`members   = 32`:                      {`memebers = 32`, `Did you mean "members"?`},
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
}
