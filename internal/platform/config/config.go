// Package config reads the file that LB_CONFIG names into typed settings.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"silvertrail/internal/platform/settings"
	"silvertrail/lbpolicy"
)

// Limits are the resources that the process may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is a sidecar's configuration.
type Config struct {
	Name       string
	Listen     string // address on which client requests are accepted
	Discovery  string // address of the discovery service
	Admin      string // address of the operators' interface; empty: disabled
	Seed       uint64
	Limits     Limits
	CachedList json.RawMessage // the last known endpoint list, in the discovery protocol's format; nil: none

	Policy       lbpolicy.Settings
	Classes      []string // names, in the order of Decide.Classes
	Tenants      []string // names, in the order of Decide.Tenants
	Zones        []string
	ReportFields []string // fields of a load report, in the order of Decide.Report
	DialTimeout  time.Duration

	text []byte // contents of the configuration file; Next compares the keys of its replacement with them
}

// MaxDeadline returns the longest request deadline of all classes.
func (c *Config) MaxDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.Policy.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// file is the JSON form of the configuration file.
type file struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Admin      string          `json:"admin"`
	Seed       string          `json:"seed"`
	Limits     Limits          `json:"limits"`
	CachedList json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// names holds the settings that a sidecar needs besides the policy's. The policy identifies classes, tenants and zones by index. The
// sidecar's protocol identifies them by name.
type names struct {
	Classes []struct {
		Name string `json:"name"`
	} `json:"classes"`
	Customers []struct {
		Name string `json:"name"`
	} `json:"customers"`
	Zones     []string `json:"zones"`
	Telemetry struct {
		Fields []string `json:"fields"`
	} `json:"telemetry"`
	Limits struct {
		DialTimeout float64 `json:"dial_timeout"`
	} `json:"limits"`
}

// Load reads the configuration from path. An error names the file and the invalid key. Unknown keys are ignored. If the file
// has no admin address, the environment variable LB_ADMIN provides it.
func Load(path string) (*Config, error) { return load(path, nil) }

// Next reads the configuration that replaces c. Besides the keys that Load requires, the new file must have every key of the
// current file, except optionalKeys. Zones keep their indexes even if the new file lists them in another order.
func (c *Config) Next(path string) (*Config, error) {
	next, err := load(path, c.text)
	if err != nil {
		return nil, err
	}
	if err := next.keepZoneOrder(c.Zones); err != nil {
		return nil, fmt.Errorf("config %s: %w", path, err)
	}
	return next, nil
}

// keepZoneOrder sorts the zones in the earlier order and appends new zones, because endpoints refer to a zone by its index.
func (c *Config) keepZoneOrder(earlier []string) error {
	if c.Policy.Zone >= len(c.Zones) {
		return fmt.Errorf("settings.zone: there is no zone %d", c.Policy.Zone)
	}
	own := c.Zones[c.Policy.Zone]
	zones := slices.Clone(earlier)
	for _, z := range c.Zones {
		if !slices.Contains(zones, z) {
			zones = append(zones, z)
		}
	}
	c.Zones, c.Policy.Zone = zones, slices.Index(zones, own)
	return nil
}

// load reads the configuration from path. The argument current is the text of the configuration in use, or nil if there is none.
func load(path string, current []byte) (*Config, error) {
	if path == "" {
		return nil, errors.New("config: LB_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c, err := parse(text, current)
	if err != nil {
		return nil, fmt.Errorf("config %s: %w", path, err)
	}
	return c, nil
}

func parse(text, current []byte) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	if f.Admin == "" {
		f.Admin = os.Getenv("LB_ADMIN")
	}
	if _, err := netip.ParseAddrPort(f.Admin); err != nil && f.Admin != "" {
		return nil, fmt.Errorf("admin: %q is not an address and port", f.Admin)
	}
	for _, a := range []struct{ key, value string }{{"listen", f.Listen}, {"discovery", f.Discovery}} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return nil, fmt.Errorf("%s: %q is not an address and port", a.key, a.value)
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number", f.Seed)
	}
	switch l := f.Limits; {
	case !(l.Cores > 0):
		return nil, errors.New("limits.cores: must be over 0")
	case l.MemoryMB < 32:
		return nil, errors.New("limits.memory_mb: must be at least 32")
	case l.Sockets < 64:
		return nil, errors.New("limits.sockets: must be at least 64")
	case len(f.Settings) == 0:
		return nil, errors.New("settings: missing")
	}
	if err := checkKeys(text, current); err != nil {
		return nil, err
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Seed: seed, Limits: f.Limits,
		CachedList: f.CachedList, Admin: f.Admin, text: text}
	if err := c.settings(f.Settings); err != nil {
		return nil, err
	}
	return c, nil
}

// settings parses the settings object and validates it by creating a policy from it.
func (c *Config) settings(text []byte) error {
	var err error
	if c.Policy, err = settings.Parse(text); err != nil {
		return err
	}
	if _, err = lbpolicy.New(c.Policy, 0, nil); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var n names
	if err := json.Unmarshal(text, &n); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	for i, class := range n.Classes {
		if class.Name == "" || slices.Contains(c.Classes, class.Name) {
			return fmt.Errorf("settings: classes[%d].name: %q is empty or stands twice", i, class.Name)
		}
		c.Classes = append(c.Classes, class.Name)
	}
	for _, tenant := range n.Customers {
		c.Tenants = append(c.Tenants, tenant.Name)
	}
	if len(n.Zones) == 0 {
		return errors.New("settings: zones: none")
	}
	c.Zones = n.Zones
	if len(c.Policy.ReportFields) > 0 {
		c.ReportFields = n.Telemetry.Fields
	}
	if !(n.Limits.DialTimeout > 0 && n.Limits.DialTimeout < 60) {
		return errors.New("settings: limits.dial_timeout: must be over 0 s and under 60 s")
	}
	c.DialTimeout = time.Duration(n.Limits.DialTimeout * float64(time.Second))
	return nil
}
