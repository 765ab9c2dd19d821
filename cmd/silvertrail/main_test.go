package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

func TestCheck(t *testing.T) {
	if err := run([]string{"check", "../../deploy/silvertrail.hcl"}); err != nil {
		t.Error(err)
	}
	path := filepath.Join(t.TempDir(), "bad.hcl")
	if err := os.WriteFile(path, []byte("proces {\n}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for want, args := range map[string][]string{
		"faults": {"check", path}, "no such file": {"check", path + "x"}, "unexpected argument": {"chekc", path}, "--config": {"serve"},
	} {
		if err := run(args); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: %v", args, err)
		}
	}
}

// The product serves, takes a new file on SIGHUP, keeps its own where that is broken, and ends on SIGTERM.
func TestServe(t *testing.T) {
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	addr := lbtest.ReserveAddress(t)
	path := filepath.Join(t.TempDir(), "silvertrail.hcl")
	write := func(prefix string) {
		t.Helper()
		text := `
process {
  stop = "200ms"
}
class "read" {
  aim      = "5s"
  deadline = "10s"
  effect   = "safe"
}
listener "l" {
  address = "` + addr + `"
}
cluster "c" {
  endpoint "e" {
    address = "` + e.Addr + `"
  }
}
route "r" {
  match {
    prefix = "` + prefix + `"
  }
  class   = "read"
  cluster = "c"
}
`
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	status := func(target string) int {
		c := lbtest.Dial(t, addr)
		defer c.Close()
		c.Send("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n")
		s, _ := c.Response()
		return s
	}
	write("/old")
	ended := make(chan error, 1)
	go func() { ended <- run([]string{"serve", "--config", path}) }()
	lbtest.Until(t, "listening", func() bool {
		c := lbtest.TryDial(addr)
		if c != nil {
			c.Close()
		}
		return c != nil
	})
	if s := status("/old"); s != 200 {
		t.Errorf("status %d", s)
	}
	write("/new")
	raise(t, syscall.SIGHUP)
	lbtest.Until(t, "the new file", func() bool { return status("/new") == 200 })
	if s := status("/old"); s != 404 {
		t.Errorf("the old route: %d", s)
	}
	write("no path")
	raise(t, syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond) // more does no harm
	if s := status("/new"); s != 200 {
		t.Errorf("after a broken file: %d", s)
	}
	raise(t, syscall.SIGTERM)
	await(t, ended)
}
