package engine

import (
	"errors"
	"time"

	"silvertrail/lbpolicy"
)

// Settings are the settings of the policy, and the names of the zones and load report fields that the policy refers to by index.
type Settings struct {
	Policy       lbpolicy.Settings
	Zones        []string // earlier zones in their order, followed by new ones
	ReportFields []string
}

// Configure applies new settings. If it returns an error, nothing has changed.
func (e *Engine) Configure(s Settings) error {
	err := errors.New("engine: apply settings: the policy panicked") // remains only if the handler does not return
	e.processEvent(func(now time.Duration) {
		if err = e.balancer.Configure(now, s.Policy); err == nil {
			e.zones, e.reportFields, e.classes = s.Zones, s.ReportFields, s.Policy.Classes
		}
	})
	return err
}
