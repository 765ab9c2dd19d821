package main

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"silvertrail/internal/gateway"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/testkit/lbtest"
)

// startLinked runs a gateway of a sala with one nodo or none, linked to another sala.
func startLinked(t *testing.T, folder, sala, other, listen, to, nodo string) (g *gateway.Gateway, path string) {
	t.Helper()
	path = filepath.Join(folder, sala+".hcl")
	status := "ready"
	if nodo == "" {
		nodo, status = "127.0.0.1:1", "draining"
	}
	text := fmt.Sprintf(`
process {
  zones = [%[1]q]
  zone = %[1]q
  control = "%[1]s.sock"
  stop = "200ms"
}
class "read" {
  aim = "2s"
  deadline = "5s"
  effect = "safe"
}
listener "l" {
  address = "127.0.0.1:0"
}
link %[1]q {
  listen = %[3]q
  plain = true
  heartbeat = "20ms"
  peer %[2]q {
    address = %[4]q
  }
}
cluster "c" {
  endpoint "e" {
    address = %[5]q
    status = %[6]q
  }
}
route "r" {
  class = "read"
  cluster = "c"
  cross = [%[2]q]
}
`, sala, other, listen, to, nodo, status)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	file, err := conf.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if g, err = gateway.Start(file, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g, path
}

// runCommand runs a command and returns what it prints.
func runCommand(t *testing.T, args ...string) (string, error) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	before := os.Stdout
	os.Stdout = w
	text := make(chan string)
	go func() {
		all, _ := io.ReadAll(r)
		text <- string(all)
	}()
	err = run(args)
	os.Stdout = before
	w.Close()
	return <-text, err
}

// The commands ask the running gateway: counts at both ends, whether they agree, what is known of a key, a drain and its end.
func TestLinkCommands(t *testing.T) {
	folder := t.TempDir()
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	norte, there := startLinked(t, folder, "norte", "centro", "127.0.0.1:0", "127.0.0.1:1", e.Addr)
	centro, here := startLinked(t, folder, "centro", "norte", "127.0.0.1:0", norte.LinkAddr(), "")
	status := func(path string, args ...string) string {
		t.Helper()
		out, err := runCommand(t, append([]string{"link", "status", "--config", path}, args...)...)
		if err != nil {
			t.Errorf("%v: %v", args, err)
		}
		return out
	}
	lbtest.Until(t, "linked", func() bool { return strings.Contains(status(here), " open ") })
	for range 3 {
		a, err := http.Get("http://" + centro.Addr("l").String() + "/")
		if err != nil {
			t.Fatal(err)
		}
		a.Body.Close()
		if a.StatusCode != http.StatusOK {
			t.Errorf("over the link: %d", a.StatusCode)
		}
	}
	one := func(out string) string { return strings.Join(strings.Fields(out), " ") }
	if out := one(status(here, "--reconcile")); !strings.Contains(out, "sent norte read") || !strings.Contains(out, "served 3") || !strings.Contains(out, " 0 differences") {
		t.Error(out)
	}
	if out := one(status(there)); !strings.Contains(out, "received centro read") || !strings.Contains(out, "served 3") {
		t.Error(out)
	}
	if out := status(here, "--json"); !strings.HasPrefix(out, `{"sala":"centro"`) {
		t.Error(out)
	}
	if out, err := runCommand(t, "link", "lookup", "--config", here, "", "key"); err != nil || strings.Count(out, "knows nothing of it") != 2 {
		t.Error(out, err)
	}
	if out, err := runCommand(t, "link", "drain", "--config", there); err != nil || !strings.Contains(out, "sala norte: draining") {
		t.Error(out, err)
	}
	lbtest.Until(t, "the drain is known here", func() bool { return strings.Contains(status(here), " draining ") })
	if out, err := runCommand(t, "link", "drain", "--config", there, "--off"); err != nil || !strings.Contains(out, "sala norte: open") {
		t.Error(out, err)
	}
	if _, err := runCommand(t, "link", "drain", "--config", there, "--off", "--all"); err == nil {
		t.Error("off and all at once")
	}
	norte.Shutdown()
	if _, err := runCommand(t, "link", "status", "--config", there); err == nil {
		t.Error("an instance that has ended answered")
	}
}
