package xds

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
	"silvertrail/internal/testkit/xdsserver"
	"silvertrail/internal/xds/ads"
)

// The last good state and its age survive a restart, and resources from a control plane replace it. A damaged state file is ignored.
func TestStateFileSurvivesRestartAndIgnoresDamage(t *testing.T) {
	p := startControlPlane(t)
	putResources(t, p, "1", xdsserver.Cluster("a"), endpointSet("a", 1), xdsserver.Cluster("unused"), endpointSet("unused", 7))
	o := options(ads.Delta, p.Addr())
	o.StateFile = filepath.Join(t.TempDir(), "state")
	c, _ := start(t, o)
	a := follow(t, c, "a")
	a.expectEndpoints("1")
	putResources(t, p, "2", xdsserver.Cluster("a"), endpointSet("a", 2))
	a.expectEndpoints("2")
	c.Close()
	a.stop()
	p.Hang(true)
	c, _ = start(t, o)
	a = follow(t, c, "a")
	a.expectEndpoints("2")
	if d := c.Dump(); len(d.Resources) != 2 || !strings.Contains(d.Resources[0].Source, "last state") || time.Since(d.Resources[0].ReceivedAt) > lbtest.Wait {
		t.Errorf("unexpected resources after a restart: %+v", d.Resources)
	}
	putResources(t, p, "3", xdsserver.Cluster("a"), endpointSet("a", 3))
	p.Hang(false)
	a.expectEndpoints("3")
	c.Close()
	a.stop()
	text, err := os.ReadFile(o.StateFile)
	if err != nil {
		t.Fatal(err)
	}
	p.Hang(true)
	text[len(text)-3] ^= 4
	for _, damaged := range [][]byte{text, text[:len(text)/2], text[:10], {}} {
		if err := os.WriteFile(o.StateFile, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		c, log := start(t, o)
		if !log.Contains("file of the last good state ignored") || len(c.Dump().Resources) != 0 {
			t.Errorf("damaged state file of %d bytes was not ignored: %s", len(damaged), log)
		}
		c.Close()
	}
}
