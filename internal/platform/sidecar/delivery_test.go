package sidecar

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/platform/config"
	"silvertrail/internal/platform/counters"
	"silvertrail/lbpolicy"
)

// A response that is not delivered in time must be counted by its reason, and logged with the request's ID.
func TestUndeliveredResponsesAreCountedAndLogged(t *testing.T) {
	errCutOff := errors.New("endpoint is silent")
	cases := map[string]struct {
		delivery frontend.Delivery
		want     counters.DeliverySnapshot
		logged   string
	}{
		"in time":     {frontend.Delivery{Late: -time.Second}, counters.DeliverySnapshot{}, ""},
		"barely late": {frontend.Delivery{Late: time.Millisecond}, counters.DeliverySnapshot{Late: 1}, ""},
		"late":        {frontend.Delivery{Late: time.Second}, counters.DeliverySnapshot{Late: 1}, "late=1s"},
		"overdue":     {frontend.Delivery{Late: time.Second, Err: frontend.ErrOverdue}, counters.DeliverySnapshot{Late: 1, Overdue: 1}, "level=WARN"},
		"cut off":     {frontend.Delivery{Late: -time.Second, Err: errCutOff}, counters.DeliverySnapshot{CutOff: 1}, errCutOff.Error()},
		"not written": {frontend.Delivery{Late: -time.Second, Err: frontend.ErrNotWritten}, counters.DeliverySnapshot{NotWritten: 1}, frontend.ErrNotWritten.Error()},
		"client gone": {frontend.Delivery{Late: time.Second, Err: frontend.ErrClientGone}, counters.DeliverySnapshot{ClientsGone: 1}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			router := &Router{counters: &counters.Set{}, log: slog.New(slog.NewTextHandler(&log, nil))}
			settings := &config.Config{Policy: lbpolicy.Settings{Classes: []lbpolicy.Class{{Name: "read"}}}}
			x := &exchange{router: router, config: settings, requestID: "id-7"}
			x.Delivered(c.delivery)
			if got := router.counters.Deliveries.Snapshot(); got != c.want {
				t.Errorf("counters %+v, want %+v", got, c.want)
			}
			isLogged := strings.Contains(log.String(), "request=id-7") && strings.Contains(log.String(), c.logged)
			if isLogged != (c.logged != "") {
				t.Errorf("log %q, want %q", log.String(), c.logged)
			}
		})
	}
}
