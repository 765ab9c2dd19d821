package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// requiredKeys are the keys that every file must have. A missing key would silently set a limit to zero.
var requiredKeys = []string{"limits.cores", "limits.memory_mb", "limits.sockets",
	"settings.balancers", "settings.me", "settings.tier", "settings.zone", "settings.zones", "settings.classes",
	"settings.registry_mode", "settings.limits.max_attempts", "settings.limits.dial_timeout",
	"settings.obligations.cold", "settings.obligations.fall", "settings.obligations.fall_multiple",
	"settings.obligations.start_capacity"}

// requiredClassKeys are the keys that each class must have. requiredKeyedClassKeys are the further keys of a class whose
// requests carry idempotency keys.
var (
	requiredClassKeys      = []string{"name", "deadline", "goal_time", "effect", "worth"}
	requiredKeyedClassKeys = []string{"key_scope", "window"}
)

// optionalKeys may be missing even if the current file has them: they are used only at start, or the protocol makes them
// optional.
var optionalKeys = map[string]bool{"known": true, "admin": true, "peers": true, "peers_all": true, "peer_listen": true,
	"settings.family_info": true, "settings.tariffs.fleet": true}

// checkKeys returns an error if text lacks a required key or a key that the current file has. It guards against files that
// were truncated or edited by hand but can still be parsed. As a consequence, a key cannot be removed on purpose.
func checkKeys(text, current []byte) error {
	var next map[string]any
	if err := json.Unmarshal(text, &next); err != nil {
		return err
	}
	for _, key := range requiredKeys {
		if !hasKey(next, key) {
			return fmt.Errorf("%s: missing", key)
		}
	}
	if err := checkClassKeys(next); err != nil {
		return err
	}
	if current == nil {
		return nil
	}
	var previous map[string]any
	if err := json.Unmarshal(current, &previous); err != nil {
		return err
	}
	return checkKeysKept(previous, next, "")
}

// checkClassKeys returns an error if a class lacks a required key.
func checkClassKeys(file map[string]any) error {
	settings, _ := file["settings"].(map[string]any)
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
	return nil
}

// hasKey reports whether the object has a value other than null at a dot-separated path.
func hasKey(object map[string]any, path string) bool {
	var value any = object
	for key := range strings.SplitSeq(path, ".") {
		parent, ok := value.(map[string]any)
		if !ok {
			return false
		}
		value, ok = parent[key]
		if !ok || value == nil {
			return false
		}
	}
	return true
}

// checkKeysKept returns an error if the next object lacks a key of the previous object. Objects within lists are not compared.
func checkKeysKept(previous, next map[string]any, prefix string) error {
	for _, key := range slices.Sorted(maps.Keys(previous)) {
		path := prefix + key
		value, isPresent := next[key]
		if !isPresent && !optionalKeys[path] {
			return fmt.Errorf("%s: missing, and the file in force has it", path)
		}
		previousObject, isObject := previous[key].(map[string]any)
		if !isObject || !isPresent {
			continue
		}
		nextObject, isObject := value.(map[string]any)
		if !isObject {
			return fmt.Errorf("%s: must be an object", path)
		}
		if err := checkKeysKept(previousObject, nextObject, path+"."); err != nil {
			return err
		}
	}
	return nil
}
