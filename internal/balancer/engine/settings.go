package engine

import (
	"errors"
	"time"

	"silvertrail/lbpolicy"
)

// Settings are the settings of the policy, and the names of what it knows by number.
type Settings struct {
	Policy       lbpolicy.Settings
	Zones        []string // earlier ones in their order, new ones behind
	ReportFields []string
}

// Configure puts new settings in force. After an error nothing has changed.
func (e *Engine) Configure(s Settings) error {
	err := errors.New("engine: settings: the policy failed on them")
	e.event(func(now time.Duration) {
		if err = e.balancer.Configure(now, s.Policy); err == nil {
			e.zones, e.reportFields, e.classes = s.Zones, s.ReportFields, s.Policy.Classes
		}
	})
	return err
}
