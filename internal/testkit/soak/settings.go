package soak

import (
	"encoding/json"
	"os"
	"time"
)

// What the configuration tells the sidecar.
const (
	classFree   = "read"  // may be repeated
	classKeyed  = "write" // with an idempotency key, whose repeats the endpoints of a zone drop
	classUnsafe = "book"  // must not be repeated

	usualDeadline = 2 * time.Second
	shortDeadline = 800 * time.Millisecond
	maxSockets    = 256
	maxMemoryMB   = 64
	leastMemoryMB = 32 // DAYS, "Score"
	// killDelay is the earliest at which SIGKILL may follow SIGTERM, beyond the longest deadline (PROTOCOL, "Figures").
	killDelay = 700 * time.Millisecond
)

var zoneNames = []string{"a", "b"}

// object is a JSON object of the platform's configuration.
type object = map[string]any

// writeConfig writes the configuration as the platform does: as a whole.
func writeConfig(path, listen, discovery string, day Day) error {
	class := func(name, effect string, worth int) object {
		return object{"name": name, "deadline": day.MaxDeadline.Seconds(), "goal_time": 0.5, "effect": effect, "worth": worth,
			"key_scope": "zone", "window": 10}
	}
	text, err := json.Marshal(object{
		"name": "soak", "listen": listen, "discovery": discovery, "seed": "1f",
		"limits": object{"cores": 1, "memory_mb": day.memoryMB(), "sockets": maxSockets},
		"settings": object{
			"balancers": 1, "me": 0, "tier": 0, "zone": 0, "zones": zoneNames,
			"classes":   []object{class(classFree, "free", 1), class(classKeyed, "guarded", 2), class(classUnsafe, "single_shot", 3)},
			"customers": []object{},
			"limits": object{"cancelling": true, "conn_idle": connectionIdle.Seconds(), "dial_timeout": 0.5, "max_attempts": 3,
				"may_duplicate": true, "retry_after": true, "max_retry_after": 1},
			"obligations": object{"cold": slowStart.Seconds(), "fall": overloadWindow.Seconds(), "fall_multiple": overloadMultiple,
				"start_capacity": startCapacity, "answer_slack": 0.25, "drain_grace": drainGrace.Seconds()},
			"registry_mode": "pushed",
			"telemetry":     object{"fields": []string{"util", "qps"}, "via": "inline"},
		},
	})
	if err != nil {
		return err
	}
	next := path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}
