package conf

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The sample file of a control-plane server is valid although it serves no clients. Errors in several of its attributes are all reported at
// once, each with the name of the attribute.
func TestControlPlaneSampleIsReadAndItsErrorsReported(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/silvertrail-control-plane.hcl")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "control.hcl")
	f, err := Parse(text, path)
	if err != nil {
		t.Fatal(err)
	}
	o := f.ControlPlane
	if o.Name != "control-1" || o.BytesPerSecond != 10<<20 || o.InitialSync != 3*time.Second || o.MaxSubscribers != 2048 || o.StateFile != filepath.Join(filepath.Dir(path), "control-1.state") ||
		len(o.Peers) != 1 || o.Peers[0].ControlPlane.ServerName != "control-2.example" || len(f.Listeners) != 0 {
		t.Errorf("control-plane options differ from the sample file: %+v", o)
	}
	broken := string(text)
	var wants []string
	for original, edit := range map[string][2]string{
		`name        = "control-1"`: {`name = "control 1"`, "Unusable name"},
		`"127.0.0.1:18000"`:         {`"somewhere"`, `"somewhere" is no IP address and port`},
		`certificate = "control-1.pem"
  key         = "control-1.key"
  authority   = "planes.pem"      #`: {`plain = true
  authority = "planes.pem" #`, `"authority" goes without "plain"`},
		`pace        = "10MiB"`:             {`pace = 10`, `"pace" in control_plane needs a unit`},
		`subscribers = 2048`:                {`subscribers = 0`, `"subscribers" in control_plane is 0`},
		`settle      = "3s"`:                {`setle = "3s"`, `Did you mean "settle"?`},
		`address     = "127.0.0.1:18001"`:   {`address = "127.0.0.1:18001x:"`, `is no address and port`},
		`state       = "control-1.state" #`: {`#`, `control_plane needs "state"`},
	} {
		changed := strings.Replace(broken, original, edit[0], 1)
		if changed == broken {
			t.Errorf("the sample does not contain %q", original)
		}
		broken = changed
		wants = append(wants, edit[1])
	}
	_, err = Parse([]byte(broken), path)
	for _, want := range wants {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q among the errors:\n%v", want, err)
		}
	}
	for addition, want := range map[string]string{
		"control_plane {\n}\n": "one control_plane block at most",
		"class \"c\" {\n aim = \"1s\"\n deadline = \"1s\"\n effect = \"safe\"\n}\n": "No listener",
	} {
		if _, err := Parse(append(text, addition...), path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
	for original, edit := range map[string][2]string{`peer "control-2"`: {`peer "control-1"`, "is this control machine"},
		`address     = "127.0.0.1:18001"`: {`address = "a:1"` + "\n}\npeer \"control-2\" {\naddress = \"b:1\"", "Named twice"}} {
		if _, err := Parse([]byte(strings.Replace(string(text), original, edit[0], 1)), path); err == nil || !strings.Contains(err.Error(), edit[1]) {
			t.Errorf("error %v, want %q", err, edit[1])
		}
	}
}
