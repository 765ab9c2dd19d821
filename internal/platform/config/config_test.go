package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

func TestLoadReadsConfiguration(t *testing.T) {
	c, err := Load(lbtest.WriteConfig(t, "", "127.0.0.1:5000", "127.0.0.1:8500"))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n0" || c.Listen != "127.0.0.1:5000" || c.Discovery != "127.0.0.1:8500" || c.Seed != 0x1f || c.DialTimeout != 5*time.Second ||
		strings.Join(c.Classes, " ") != "read write" || strings.Join(c.Tenants, " ") != "acme" || strings.Join(c.Zones, " ") != "a b" ||
		strings.Join(c.ReportFields, " ") != "util" || c.MaxDeadline() != 10*time.Second || c.Policy.Classes[1].Effect != lbpolicy.KeyedIdempotent ||
		c.Limits != (Limits{Cores: 1, MemoryMB: 64, Sockets: 256}) {
		t.Errorf("unexpected configuration %+v", c)
	}
}

// TestLoadErrorNamesFileAndInvalidKey checks that the error for an invalid file names the file and the invalid key.
func TestLoadErrorNamesFileAndInvalidKey(t *testing.T) {
	valid, err := os.ReadFile(lbtest.WriteConfig(t, "", "127.0.0.1:5000", "127.0.0.1:8500"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Load(""); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Error(err)
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	for want, change := range map[string][2]string{
		"listen":                {`"127.0.0.1:5000"`, `"localhost:5000"`},
		"discovery":             {`"127.0.0.1:8500"`, `""`},
		"seed":                  {`"1f"`, `"xyz"`},
		"limits.cores":          {`"cores": 1`, `"cores": 0`},
		"limits.memory_mb":      {`"memory_mb": 64`, `"memory_mb": 8`},
		"limits.sockets":        {`"sockets": 256`, `"sockets": 8`},
		"settings: missing":     {`"settings"`, `"setings"`},
		"zones":                 {`"zones": ["a", "b"]`, `"zones": []`},
		"classes[1].name":       {`"name": "write"`, `"name": "read"`},
		"dial_timeout":          {`"dial_timeout": 5`, `"dial_timeout": 0`},
		"classes[0].effect":     {`"free"`, `"odd"`},
		"MaxAttempts":           {`"max_attempts": 3`, `"max_attempts": 0`},
		"unexpected end of JSO": {`}}`, `}`},
	} {
		text := strings.Replace(string(valid), change[0], change[1], 1)
		if want == "unexpected end of JSO" {
			text = text[:len(text)-1]
		}
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path) {
			t.Errorf("want an error that contains %s and the path, got %v", want, err)
		}
	}
}

// FuzzParse checks that a configuration that is accepted has valid limits, classes and zones, whatever bytes are parsed.
func FuzzParse(f *testing.F) {
	if text, err := os.ReadFile(lbtest.WriteConfig(f, "", "127.0.0.1:5000", "127.0.0.1:8500")); err == nil {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := parse(text, nil)
		if err == nil && (c.Limits.Sockets < 64 || len(c.Classes) == 0 || len(c.Classes) != len(c.Policy.Classes) || len(c.Zones) == 0) {
			t.Fatalf("invalid configuration accepted: %+v", c)
		}
	})
}
