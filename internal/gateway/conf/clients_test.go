package conf

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/edge/admission"
)

const clientsSample = `
class "read" {
  aim = "1s"
  deadline = "2s"
  effect = "safe"
}
clients "secretarias" {
  networks     = ["10.20.0.0/16", "192.0.2.7", "198.51.100.10-198.51.100.12", "2001:db8:5::/48"]
  file         = "secretarias.txt"
  certificates = ["*.Secretarias.example", "clave"]
  per_address  = 30
}
clients "ciber" {
  networks = ["10.20.9.0/24"]
  weight   = 50
  rate     = 2.5
}
clients "echados" {
  networks = ["203.0.113.0/24"]
  deny     = true
}
listener "public" {
  address     = "127.0.0.1:0"
  connections = 100
  per_address = 40
  rate        = 20
  burst       = 60
  guard       = "3s"
  bits_ipv6   = 56
  reserve "secretarias" {
    places = 30
    most   = 60
  }
  tls {
    certificate = "gate.pem"
    key         = "gate.key"
    authority   = "callers.pem"
  }
}
cluster "c" {
  endpoint "e" {
    address = "127.0.0.1:1"
  }
}
route "r" {
  class   = "read"
  cluster = "c"
}
`

// Reads the client groups, their networks from attributes and from a file, and the admission policy of a listener. Then breaks the sample in
// one place at a time: each error must be reported.
func TestClientGroupsAreReadAndTheirErrorsReported(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "x.hcl")
	writeNetworks := func(text string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(folder, "secretarias.txt"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeNetworks("# offices\n10.30.0.0/24 # norte\n\n 10.30.1.1-10.30.1.2\n")
	f, err := Parse([]byte(clientsSample), path)
	if err != nil {
		t.Fatal(err)
	}
	l := f.Listeners[0]
	p := l.Admission
	if p.Capacity != 100 || p.IPv4Bits != 32 || p.IPv6Bits != 56 || p.FreeFactor != 8 || p.IdleProtection != 3*time.Second || p.BlockWhenFull || l.TLS.Files.Key != filepath.Join(folder, "gate.key") {
		t.Errorf("admission policy %+v or TLS settings %+v differ from the file", p, l.TLS)
	}
	if g := p.Groups[0]; g.Name != admission.DefaultGroupName || g.MaxPerSource != 40 || g.Rate != 20 || g.Burst != 60 {
		t.Errorf("group of all other clients differs from the file: %+v", g)
	}
	if g := p.Groups[1]; g.Reserve != 30 || g.MaxConns != 60 || g.MaxPerSource != 30 || len(g.CertificateNames) != 2 {
		t.Errorf("group secretarias differs from the file: %+v", g)
	}
	if g := p.Groups[2]; g.Weight != 50 || g.Burst != 3 {
		t.Errorf("group ciber differs from the file: %+v", g)
	}
	// The admission controller assigns an address to the group with the longest matching prefix.
	controller := admission.New(p, time.Unix(0, 0))
	for addr, want := range map[string]string{"10.20.1.1": "secretarias", "10.20.9.1": "ciber", "192.0.2.7": "secretarias", "192.0.2.8": "others",
		"198.51.100.12": "secretarias", "198.51.100.13": "others", "2001:db8:5:1::2": "secretarias", "10.30.0.200": "secretarias", "10.30.1.2": "secretarias",
		"10.30.1.3": "others", "::ffff:203.0.113.4": "echados"} {
		if got := controller.AddressStatus(time.Unix(0, 0), netip.MustParseAddr(addr)).Group; got != want {
			t.Errorf("address %s belongs to group %s, want %s", addr, got, want)
		}
	}

	failsToParse := func(text, want string) {
		t.Helper()
		_, err := Parse([]byte(text), path)
		var parseErr *Error
		if !errors.As(err, &parseErr) || !strings.Contains(err.Error(), want) {
			t.Errorf("want error with %q, got %v", want, err)
		}
	}
	for original, edit := range map[string]struct{ replacement, wantError string }{
		`"192.0.2.7"`:                            {`"192.0.2"`, `x.hcl:8:35: Not a network`},
		`"10.20.0.0/16"`:                         {`"10.20.1.0/16"`, `10.20.0.0/16 is meant`},
		`networks = ["10.20.9.0/24"]`:            {`networks = ["10.20.0.0/16"]`, `Of two groups: 10.20.0.0/16 is of clients "secretarias" already`},
		`networks = ["203.0.113.0/24"]`:          {``, `Nobody`},
		`"clave"`:                                {`"a*b"`, `no name of a certificate`},
		`deny     = true`:                        {"deny = true\n rate = 5", `Without a meaning`},
		`clients "ciber"`:                        {`clients "others"`, `Name taken`},
		`reserve "secretarias"`:                  {`reserve "secretaria"`, `Did you mean "secretarias"?`},
		`places = 30`:                            {`places = 130`, `Reserves over the whole`},
		`most   = 60`:                            {`most = 20`, `Less than the reserve`},
		"    authority   = \"callers.pem\"\n":    {``, `Never shown`},
		"    key         = \"gate.key\"\n":       {``, `needs "key"`},
		`rate        = 20`:                       {``, `"burst" goes with "rate"`},
		`guard       = "3s"`:                     {`guard = 3`, `A time without a unit`},
		`file         = "secretarias.txt"`:       {`file = "nowhere.txt"`, `Unreadable`},
		"reserve \"secretarias\" {\n":            {"reserve \"echados\" {\n places = 1\n }\n reserve \"secretarias\" {\n", `are denied`},
		"    authority   = \"callers.pem\"\n  }": {"    required = true\n  }", `No authority`},
	} {
		broken := strings.Replace(clientsSample, original, edit.replacement, 1)
		if broken == clientsSample {
			t.Fatalf("the sample does not contain %s", original)
		}
		failsToParse(broken, edit.wantError)
	}
	writeNetworks("10.30.0.0/24\n10.30.1.x\n")
	failsToParse(clientsSample, `secretarias.txt:2:1: Not a network`)
	writeNetworks("10.20.9.0/24\n")
	failsToParse(clientsSample, `Of two groups`)
}
