//go:build !xds

package main

import (
	"path/filepath"
	"strings"
	"testing"
)

// A program without the parts says so.
func TestControlPlaneWithout(t *testing.T) {
	if err := run([]string{"serve", "--config", "../../deploy/silvertrail-control-plane.hcl"}); err == nil || !strings.Contains(err.Error(), "built without") {
		t.Error(err)
	}
	if err := run([]string{"control", "publish", "--control", filepath.Join(t.TempDir(), "none.sock")}); err == nil || !strings.Contains(err.Error(), "nothing to publish") {
		t.Error(err)
	}
}
