package conf

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/gateway/route"
	"silvertrail/lbpolicy"
)

// baseConfig is the shortest valid configuration of a gateway. Tests append blocks to it.
const baseConfig = `
class "read" {
  aim      = "1s"
  deadline = "2s"
  effect   = "safe"
}
listener "l" {
  address = "127.0.0.1:0"
}
cluster "c" {
  endpoint "e" {
    address = "127.0.0.1:1"
  }
}
`

// parse parses a configuration without errors.
func parse(t *testing.T, text string) *File {
	t.Helper()
	f, err := Parse([]byte(text), "test.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestSampleFileIsRead(t *testing.T) {
	f, err := Load("../../../deploy/silvertrail.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if len(f.Clusters) != 3 || f.Routes.Len() != 5 || len(f.Listeners) != 2 || f.Process.ShutdownTime != 5*time.Second {
		t.Errorf("configuration differs from the sample file: %+v", f)
	}
	c := f.Clusters[0]
	if c.Name != "portal" || len(c.Sources) != 2 || c.ReserveFraction != 0.3 || c.MaxFraction != 0.6 || c.Policy.SlowStart != 20*time.Second ||
		c.Policy.Balancers != 3 || c.ConnectTimeout != 250*time.Millisecond || len(c.Policy.ReportFields) != 1 {
		t.Errorf("cluster portal differs from the sample file: %+v", c)
	}
	reserva := f.Classes[1]
	if reserva.Effect != lbpolicy.KeyedIdempotent || reserva.Scope != lbpolicy.ScopeZone || reserva.Window != 7500*time.Millisecond || reserva.PriorityWeight != 10 {
		t.Errorf("class reserva differs from the sample file: %+v", reserva)
	}
	found, ok := f.Routes.Find(&route.Request{Listener: "public", Host: "a.inscripciones.example", Path: "/schools/9/seats", Method: "GET"})
	if !ok || found.Rule.Name != "seats" || found.Rule.Timeout != 1500*time.Millisecond || found.Rule.Failover != "portal-sur" {
		t.Errorf("request matches another route than 'seats' of the sample file: %+v", found)
	}
}

func TestMissingSettingsHaveDefaults(t *testing.T) {
	f := parse(t, baseConfig)
	c := f.Clusters[0]
	if f.Process.Sockets != 1024 || c.Policy.MaxAttempts != 3 || c.MaxFraction != 1 || c.ReserveFraction != 0.5 || f.Listeners[0].MaxConns != 512 ||
		c.Sources[0].Static.Endpoints[0].Zone != "local" {
		t.Errorf("settings differ from their defaults: %+v", f)
	}
}

// Each error has its position in the file and its cause. An error about an unknown name suggests the nearest known name.
func TestInvalidConfigurationIsRejectedWithPositionAndCause(t *testing.T) {
	for text, want := range map[string]string{
		`proces {}`:                                            `test.hcl:15:1: Unsupported block type`,
		`clutser "x" {}`:                                       `"cluster"`,
		"process {\n sokets = 5\n}":                            `"sockets"`,
		"process {\n sockets = 5\n}":                           `from 64 to`,
		"process {\n sockets = \"many\"\n}":                    `must be a number`,
		"process {\n sockets = 64.5\n}":                        `Not a whole number`,
		"process {\n stop = 5\n}":                              `test.hcl:16:9: A time without a unit`,
		"process {\n stop = \"5 sec\"\n}":                      `Not a time`,
		"process {\n stop = \"-1s\"\n}":                        `Out of range`,
		"process {\n body_memory = 64\n}":                      `A size without a unit`,
		"process {\n body_memory = \"64 Kib\"\n}":              `Not a size`,
		"process {\n zones = [\"a\", \"b\"]\n}":                `needs "zone"`,
		"process {\n zones = [\"a\", \"b\"]\n zone = \"c\"\n}": `no zone named "c"`,
		"process {\n default_class = \"raed\"\n}":              `Did you mean "read"?`,
		"process {}\nprocess {}":                               `Twice`,
		"class \"w\" {\n aim = \"1s\"\n deadline = \"2s\"\n effect = \"keyed\"\n}":                                              `needs "window"`,
		"class \"w\" {\n aim = \"3s\"\n deadline = \"2s\"\n effect = \"safe\"\n}":                                               `from 1ms to 2s`,
		"class \"w\" {\n aim = \"1s\"\n deadline = \"2s\"\n effect = \"safe\"\n window = \"1s\"\n}":                             `Without a meaning`,
		"class \"w\" {\n aim = \"1s\"\n deadline = \"2s\"\n effect = \"save\"\n}":                                               `Did you mean "safe"?`,
		"class \"w\" {\n aim = \"1s\"\n deadline = \"2s\"\n effect = \"keyed\"\n window = \"1s\"\n concurrent = \"conflic\"\n}": `Did you mean "conflict"?`,
		"class \"w\" {\n aim = \"1s\"\n deadline = \"2s\"\n effect = \"unsafe\"\n keep = \"1s\"\n}":                             `Without a meaning`,
		"process {\n keys = 3\n}":                                                                                `from 16 to`,
		"class \"w\" {\n effect = \"safe\"\n methods = [\"get\"]\n}":                                             `"get" is no method`,
		"class \"read\" {\n aim = \"1s\"\n deadline = \"2s\"\n effect = \"safe\"\n}":                             `Named twice`,
		"listener \"m\" {\n address = \"localhost:80\"\n}":                                                       `Not an address`,
		"listener \"m\" {\n address = \"127.0.0.1:0\"\n connections = 513\n}":                                    `Too many connections`,
		"listener \"m\" {\n address = \"127.0.0.1:8080\"\n}\nlistener \"n\" {\n address = \"127.0.0.1:8080\"\n}": `already listens`,
		"cluster \"d\" {}": `No source`,
		"cluster \"d\" {\n reserve = \"80%\"\n endpoint \"x\" {\n address = \"127.0.0.1:1\"\n }\n}":                  `Reserve over the most`,
		"cluster \"d\" {\n reserve = \"90%\"\n most = \"90%\"\n endpoint \"x\" {\n address = \"127.0.0.1:1\"\n }\n}": `Reserves over the whole`,
		"cluster \"d\" {\n reserve = \"0.5\"\n file {\n path = \"x\"\n }\n}":                                         `Not a share`,
		"cluster \"d\" {\n endpoint \"x\" {\n adress = \"127.0.0.1:1\"\n }\n}":                                       `"address"`,
		"cluster \"d\" {\n endpoint \"x\" {\n address = \"127.0.0.1\"\n }\n}":                                        `Not an address`,
		"cluster \"d\" {\n endpoint \"x\" {\n address = \"127.0.0.1:1\"\n zone = \"q\"\n }\n}":                       `no zone named "q"`,
		"cluster \"d\" {\n dns {\n name = \"x\"\n server = \"127.0.0.1:53\"\n }\n}":                                  `needs a "port"`,
		"cluster \"d\" {\n dns {\n name = \"x\"\n type = \"MX\"\n port = 1\n server = \"127.0.0.1:53\"\n }\n}":       `none of A, SRV`,
		"cluster \"d\" {\n registry {\n address = \"x\"\n }\n}":                                                      `Not an address`,
		"route \"r\" {\n cluster = \"cc\"\n}":                                                                        `Did you mean "c"?`,
		"route \"r\" {\n clustre = \"c\"\n}":                                                                         `"cluster"`,
		"route \"r\" {\n}":                                                                                           `just one of them`,
		"route \"r\" {\n cluster = \"c\"\n class = \"write\"\n}":                                                     `no class named "write"`,
		"route \"r\" {\n cluster = \"c\"\n failover = \"c\"\n}":                                                      `Failover to itself`,
		"route \"r\" {\n cluster = \"c\"\n to \"c\" {\n }\n}":                                                        `goes to cluster "c" already`,
		"route \"r\" {\n to \"c\" {\n weight = 0\n }\n}":                                                             `all 0`,
		"route \"r\" {\n cluster = \"c\"\n split_by = \"luck\"\n}":                                                   `none of request`,
		"route \"r\" {\n cluster = \"c\"\n set_headers = { \"X Y\" = \"1\" }\n}":                                     `no header's name`,
		"route \"r\" {\n cluster = \"c\"\n set_headers = { \"X-Y\" = \"1\\r\\nX-Z: 2\" }\n}":                         `control character`,
		"route \"r\" {\n respond {\n status = 200\n headers = { \"Content-Length\" = \"9\" }\n }\n}":                 `written by the program`,
		"route \"r\" {\n cluster = \"c\"\n remove_headers = [\"idempotency-key\"]\n}":                                `Not a route's to change`,
		"route \"r\" {\n cluster = \"c\"\n match {\n path = \"/a\"\n prefix = \"/b\"\n }\n}":                         `Several paths`,
		"route \"r\" {\n cluster = \"c\"\n match {\n listeners = [\"m\"]\n }\n}":                                     `no listener named "m"`,
		"route \"r\" {\n cluster = \"c\"\n match {\n path = \"/a/../b\"\n }\n}":                                      `which is "/b"`,
		"route \"r\" {\n cluster = \"c\"\n match {\n hosts = [\"a b\"]\n }\n}":                                       `host "a b"`,
		"route \"r\" {\n cluster = \"c\"\n}\nroute \"s\" {\n cluster = \"c\"\n}":                                     `test.hcl:18:1: Unusable route: Route "s": matches exactly what route "r" does`,
		"route \"r\" {\n redirect {\n status = 304\n }\n}":                                                           `Not a redirect`,
		"route \"r\" {\n respond {\n }\n}":                                                                           `needs "status"`,
		"route \"r\" {":                                                                                              `test.hcl:15:`,
	} {
		f, err := Parse([]byte(baseConfig+text), "test.hcl")
		var parseErr *Error
		if f != nil || !errors.As(err, &parseErr) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\nwant error with %s, got: %v", text, want, err)
		} else if !strings.Contains(parseErr.Text(), "on test.hcl line ") {
			t.Errorf("error text does not show the lines of the file: %s", parseErr.Text())
		}
	}
	if _, err := Parse([]byte("\n"), "test.hcl"); err == nil || !strings.Contains(err.Error(), "No class") || !strings.Contains(err.Error(), "No listener") {
		t.Errorf("empty file: want errors 'No class' and 'No listener', got %v", err)
	}
}

// An invalid value that is also the bound of another attribute is reported once, and not again for the other attribute.
func TestInvalidBoundIsReportedOnce(t *testing.T) {
	for _, text := range []string{
		"class \"w\" {\n aim = \"3s\"\n deadline = \"5 parsecs\"\n effect = \"safe\"\n}",
		"process {\n fleet = \"many\"\n member = 3\n}",
	} {
		_, err := Parse([]byte(baseConfig+text), "test.hcl")
		var parseErr *Error
		if !errors.As(err, &parseErr) || len(parseErr.Diagnostics) != 1 {
			t.Errorf("%s\nwant exactly one error, got: %v", text, err)
		}
	}
}

// All errors of a file are reported at once, in the order of their positions.
func TestAllErrorsAreReportedInFileOrder(t *testing.T) {
	_, err := Parse([]byte(baseConfig+"route \"s\" {\n match {\n path = \"/a//b\"\n }\n cluster = \"c\"\n}\nroute \"r\" {\n cluster = \"x\"\n timeout = 5\n class = \"q\"\n}\nprocess {\n stop = \"x\"\n}\n"), "test.hcl")
	var parseErr *Error
	if !errors.As(err, &parseErr) || len(parseErr.Diagnostics) != 5 {
		t.Fatalf("want five errors, got %v", err)
	}
	line := 0
	for _, d := range parseErr.Diagnostics {
		if d.Subject.Start.Line < line {
			t.Errorf("errors are not in the order of their lines: %v", err)
		}
		line = d.Subject.Start.Line
	}
}

func TestParseSizeRequiresNumberAndUnit(t *testing.T) {
	for text, want := range map[string]int64{"64KiB": 64 << 10, "1.5MiB": 3 << 19, "2GB": 2e9, "10 kB": 10e3, "7B": 7} {
		if n, err := parseSize(text); err != nil || n != want {
			t.Errorf("size %s parsed to %d, error %v", text, n, err)
		}
	}
	for _, text := range []string{"", "5", "KiB", "-1KiB", "NaNKiB", "1e300GiB", "5 apples"} {
		if n, err := parseSize(text); err == nil {
			t.Errorf("invalid size %s parsed to %d, want an error", text, n)
		}
	}
}

// For any text, Parse returns either an error with a message or a file whose routes can be matched. It never panics.
func FuzzParse(f *testing.F) {
	f.Add(baseConfig)
	if text, err := os.ReadFile("../../../deploy/silvertrail.hcl"); err == nil {
		f.Add(string(text))
	}
	f.Add("route \"r\" {\n match {\n headers = { a = null }\n }\n}")
	f.Fuzz(func(t *testing.T, text string) {
		file, err := Parse([]byte(text), "fuzz.hcl")
		if err != nil {
			if err.Error() == "" || file != nil {
				t.Fatal("Parse returned an error without a message, or both an error and a file")
			}
			return
		}
		file.Routes.Find(&route.Request{Listener: file.Listeners[0].Name, Path: "/"})
	})
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n, "routes"), func(b *testing.B) {
			text := configWithRoutes(n)
			for b.Loop() {
				if _, err := Parse([]byte(text), "many.hcl"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// configWithRoutes returns a configuration of n routes.
func configWithRoutes(n int) string {
	var b strings.Builder
	b.WriteString(baseConfig)
	for i := range n {
		fmt.Fprintf(&b, "route \"r%d\" {\n  match {\n    prefix = \"/p%d\"\n  }\n  class = \"read\"\n  cluster = \"c\"\n}\n", i, i)
	}
	return b.String()
}
