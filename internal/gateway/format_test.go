package gateway

import (
	"encoding/json"
	"log/slog"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/fleet"
	"silvertrail/internal/testkit/golden"
	"silvertrail/internal/testkit/lbtest"
)

// What the control socket tells.
func TestControlFormat(t *testing.T) {
	for name, value := range map[string]any{
		"fleet": &FleetStatus{}, "key": &KeyStatus{}, "link": &LinkStatus{}, "lookup": &[]KeyLookup{}, "connections": &[]ListenerStatus{}, "publication": &Publication{},
	} {
		golden.Fill(value)
		text, err := json.MarshalIndent(value, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Text(t, name+".json", text)
	}
}

var labelValue = regexp.MustCompile(`"[^"]*"`)

// The names and labels of the metrics, of a fleet that tells views and versions.
func TestMetricNames(t *testing.T) {
	sockets, err := fleet.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f, err := fleet.Start(fleet.Options{FleetName: "f", Name: "one", Listen: sockets.Addr(), Keyring: [][]byte{make([]byte, 32)}, MaxMembers: 4, MaxKeys: 16,
		NewFleet: true, MaxDeadline: time.Second, KeyRetention: time.Second, ProbeInterval: 100 * time.Millisecond, Views: true, Versions: true, RolloutTimeout: time.Second,
		Transport: sockets, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	lbtest.Until(t, "the fleet tells versions", func() bool { v, ok := f.Versions(); return ok && len(v.Members) == 1 })
	var names []string
	for _, g := range fleetGauges(f) {
		names = append(names, labelValue.ReplaceAllString(g.name, `"..."`))
	}
	slices.Sort(names)
	golden.Text(t, "metrics.txt", []byte(strings.Join(slices.Compact(names), "\n")+"\n"))
}
