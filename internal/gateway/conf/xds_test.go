package conf

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/cache"
)

const bootstrapText = `{"xds_servers": [{"server_uri": "dns:///plane.example:443", "channel_creds": [{"type": "google_default"},
	{"type": "tls", "config": {"ca_certificate_file": "ca.pem"}}], "server_features": ["xds_v3"]}], "node": {"id": "n1", "locality": {"zone": "z9"}}, "authorities": {}}`

// The sample file with two control planes is valid. A bootstrap file adds its own control plane and node. Errors in the attributes are
// reported.
func TestXDSSampleIsReadAndItsErrorsReported(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/silvertrail-xds.hcl")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	path := filepath.Join(dir, "xds.hcl")
	if err := os.WriteFile(filepath.Join(dir, "bootstrap.json"), []byte(bootstrapText), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Parse(text, path)
	if err != nil {
		t.Fatal(err)
	}
	o := f.XDS
	if len(o.ControlPlanes) != 2 || !o.ControlPlanes[0].Insecure || o.ControlPlanes[1].TLS.Key != filepath.Join(dir, "portal.key") || o.Variant != ads.Delta || o.DeferTime != 30*time.Second ||
		o.Node.ID != "portal-1" || o.StateFile != filepath.Join(dir, "silvertrail.xds") {
		t.Errorf("xDS options differ from the sample file: %+v", o)
	}
	if a, b := f.Clusters[0].Sources[0].XDS, f.Clusters[1].Sources[0].XDS; a.Resource != "portal" || a.Priority != 0 || b.Priority != 1 || a.ZoneField != "zone" {
		t.Errorf("xDS sources of the two clusters differ from the sample file: %+v, %+v", a, b)
	}
	f, err = Parse([]byte(strings.NewReplacer("level    = 0 ", "#", `node    = "portal-1"`, `bootstrap = "bootstrap.json"`).Replace(string(text))), path)
	if err != nil {
		t.Fatal(err)
	}
	if o = f.XDS; len(o.ControlPlanes) != 3 || o.ControlPlanes[0].Address != "plane.example:443" || o.ControlPlanes[0].TLS.Authority != filepath.Join(dir, "ca.pem") || o.Node.ID != "n1" || o.Node.Zone != "z9" ||
		f.Clusters[0].Sources[0].XDS.Priority != cache.AllPriorities {
		t.Errorf("xDS options differ from the bootstrap file: %+v", o)
	}
	for original, edit := range map[string]struct{ replacement, wantError string }{
		`plane "second"`:                  {`plane "first"`, "Named twice"},
		`address = "127.0.0.1:18000"`:     {`file = "x.json"`, "Without a meaning"},
		`address     = "127.0.0.1:18001"`: {``, `needs an "address" or a "file"`},
		`certificate = "portal.pem"`:      {``, "go together"},
		`variant = "delta"`:               {`variant = "sotw"`, `"sotw"`},
		`node    = "portal-1"`:            {`bootstrap = "none.json"`, "No bootstrap file"},
		`resource = "portal" # the`:       {`resurce = "portal" # the`, `Did you mean "resource"?`},
		"cluster \"portal-next\" {\n":     {"cluster \"portal-next\" {\n xds {}\n", "one xds block at most"},
		`level    = 1`:                    {`level = -1`, "level"},
	} {
		broken := strings.Replace(string(text), original, edit.replacement, 1)
		if broken == string(text) {
			t.Fatalf("the sample does not contain %q", original)
		}
		if _, err := Parse([]byte(broken), path); err == nil || !strings.Contains(err.Error(), edit.wantError) {
			t.Errorf("replaced by %q: error %v; want %q", edit.replacement, err, edit.wantError)
		}
	}
	start := strings.Index(string(text), "xds {")
	end := strings.Index(string(text), "class \"consulta\"")
	if _, err := Parse([]byte(string(text)[:start]+string(text)[end:]), path); err == nil || !strings.Contains(err.Error(), "No control plane") {
		t.Errorf("clusters with xds blocks but no control planes: want 'No control plane', got %v", err)
	}
}
