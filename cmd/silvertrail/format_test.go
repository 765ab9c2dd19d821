package main

import (
	"bytes"
	"testing"
	"time"

	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/fleet"
	"silvertrail/internal/fleet/versionlag"
	"silvertrail/internal/testkit/golden"
)

// What `fleet versions` prints.
func TestFleetVersionsFormat(t *testing.T) {
	var v fleet.VersionsView
	golden.Fill(&v)
	member := v.Members[0]
	v.Members = nil
	for state := versionlag.Current; state <= versionlag.Forked; state++ {
		m := member
		m.State = state
		m.Findings = append([]versionlag.Finding{}, member.Findings...)
		m.Findings[0].State = state
		v.Members = append(v.Members, m)
	}
	var out bytes.Buffer
	printVersions(&out, v)
	golden.Text(t, "fleet-versions.txt", out.Bytes())
}

// What `control status` prints.
func TestControlStatusFormat(t *testing.T) {
	var v api.Status
	golden.Fill(&v)
	// What is told as a span from now on is left out.
	v.Subscribers[0].Since, v.Rejections[0].At, v.Peers[0].LastMessage, v.Conflicts[0].At = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	receiver := v.Subscribers[0]
	receiver.Peer = false
	v.Subscribers = append(v.Subscribers, receiver)
	var out bytes.Buffer
	(&controlStatus{}).print(&out, v)
	golden.Text(t, "control-status.txt", out.Bytes())
}
