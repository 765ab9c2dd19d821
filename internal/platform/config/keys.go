package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// requiredKeys are the keys that a file must have, whatever else stands in it: without one of them a figure that rules or
// limits rest on would silently be zero.
var requiredKeys = []string{"limits.cores", "limits.memory_mb", "limits.sockets",
	"settings.balancers", "settings.me", "settings.tier", "settings.zone", "settings.zones", "settings.classes",
	"settings.registry_mode", "settings.limits.max_attempts", "settings.limits.dial_timeout",
	"settings.obligations.cold", "settings.obligations.fall", "settings.obligations.fall_multiple",
	"settings.obligations.start_capacity"}

// requiredOfClass are the keys that each class must have, keyed those of one whose repeats are dropped by key.
var (
	requiredClassKeys      = []string{"name", "deadline", "goal_time", "effect", "worth"}
	requiredKeyedClassKeys = []string{"key_scope", "window"}
)

// optionalKeys are the keys that may be missing where an earlier file had them: they are of the start, or the protocol says
// that they may.
var optionalKeys = map[string]bool{"known": true, "admin": true, "peers": true, "peers_all": true, "peer_listen": true,
	"settings.family_info": true, "settings.tariffs.fleet": true}

// checkKeys tells which key a file lacks: one that is required, or one that the file in force has. It guards against files
// that were cut short or edited by hand and can still be read; it could hurt where a key is meant to go.
func checkKeys(text, inForce []byte) error {
	var now, before map[string]any
	if err := json.Unmarshal(text, &now); err != nil {
		return err
	}
	for _, key := range requiredKeys {
		if !hasKey(now, key) {
			return fmt.Errorf("%s: missing", key)
		}
	}
	settings, _ := now["settings"].(map[string]any)
	classes, _ := settings["classes"].([]any)
	for i, c := range classes {
		class, _ := c.(map[string]any)
		keys := requiredClassKeys
		if class["effect"] == "guarded" {
			keys = append(slices.Clone(keys), requiredKeyedClassKeys...)
		}
		for _, key := range keys {
			if _, ok := class[key]; !ok {
				return fmt.Errorf("settings.classes[%d].%s: missing", i, key)
			}
		}
	}
	if inForce == nil {
		return nil
	}
	if err := json.Unmarshal(inForce, &before); err != nil {
		return err
	}
	return checkKeysKept(before, now, "")
}

func hasKey(in map[string]any, path string) bool {
	var at any = in
	for key := range strings.SplitSeq(path, ".") {
		m, ok := at.(map[string]any)
		if !ok {
			return false
		}
		if at, ok = m[key]; !ok || at == nil {
			return false
		}
	}
	return true
}

// checkKeysKept tells which key of before now lacks. Entries of lists may come and go.
func checkKeysKept(before, now map[string]any, path string) error {
	for _, key := range slices.Sorted(maps.Keys(before)) {
		at := path + key
		value, there := now[key]
		if !there && !optionalKeys[at] {
			return fmt.Errorf("%s: missing, and the file in force has it", at)
		}
		if inner, ok := before[key].(map[string]any); ok && there {
			if next, ok := value.(map[string]any); ok {
				if err := checkKeysKept(inner, next, at+"."); err != nil {
					return err
				}
			} else {
				return fmt.Errorf("%s: must be an object", at)
			}
		}
	}
	return nil
}
