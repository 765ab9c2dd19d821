package endtoend

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The classes of both roles. The first segment of a request's path names its class.
const (
	ClassRead  = "read"  // may be repeated
	ClassWrite = "write" // with an idempotency key
	ClassOnce  = "once"  // must not be repeated
)

// object is a JSON object of the platform's configuration.
type object = map[string]any

// writeSidecarFile writes the sidecar's configuration, and returns its path.
func writeSidecarFile(t testing.TB, dir, listen, discovery string, limits Limits) string {
	t.Helper()
	class := func(name, effect string) object {
		return object{"name": name, "deadline": limits.Deadline.Seconds(), "goal_time": limits.Deadline.Seconds() / 2, "effect": effect, "worth": 1,
			"key_scope": "all", "window": 10}
	}
	text, err := json.Marshal(object{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": "1f",
		"limits": object{"cores": 1, "memory_mb": limits.MemoryMB, "sockets": limits.Sockets},
		"settings": object{
			"balancers": 1, "me": 0, "tier": 0, "zone": 0, "zones": []string{"a"},
			"classes":   []object{class(ClassRead, "free"), class(ClassWrite, "guarded"), class(ClassOnce, "single_shot")},
			"customers": []object{{"name": "acme", "quota_per_s": 10000}},
			"limits": object{"cancelling": true, "conn_idle": 5, "dial_timeout": 0.5, "max_attempts": 3, "may_duplicate": true,
				"retry_after": true, "max_retry_after": 1},
			"obligations":   object{"cold": 10, "fall": 2, "fall_multiple": 2.5, "start_capacity": 0.2, "answer_slack": 0.02, "drain_grace": 0.25},
			"registry_mode": "pushed",
			"telemetry":     object{"fields": []string{"util"}, "via": "inline"},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return writeFile(t, filepath.Join(dir, "config.json"), string(text))
}

// writeGatewayFile writes the gateway's configuration, and returns its path. Bodies have the part of the memory that the sidecar gives them.
func writeGatewayFile(t testing.TB, dir, listen, discovery string, limits Limits) string {
	t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "process {\n  zones = [\"a\"]\n  zone = \"a\"\n  sockets = %d\n  body_memory = \"%dKiB\"\n  control = \"c.sock\"\n  keys = 16384\n}\n", limits.Sockets, limits.MemoryMB*358)
	for class, effect := range map[string]string{ClassRead: "safe", ClassWrite: "keyed", ClassOnce: "unsafe"} {
		window := ""
		if effect == "keyed" {
			window = "\n  window = \"10s\""
		}
		fmt.Fprintf(&text, "class %q {\n  aim = %q\n  deadline = %q\n  effect = %q%s\n}\n", class, limits.Deadline/2, limits.Deadline, effect, window)
		fmt.Fprintf(&text, "route %q {\n  match {\n    prefix = \"/%s\"\n  }\n  class = %q\n  cluster = \"c\"\n}\n", class, class, class)
	}
	fmt.Fprintf(&text, "listener \"l\" {\n  address = %q\n}\ncluster \"c\" {\n  registry {\n    address = %q\n  }\n}\n", listen, discovery)
	return writeFile(t, filepath.Join(dir, "gateway.hcl"), text.String())
}

func writeFile(t testing.TB, path, text string) string {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
