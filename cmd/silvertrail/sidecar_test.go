package main

import (
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"silvertrail/internal/platform/process"
	"silvertrail/internal/testkit/lbtest"
)

// startSidecar runs the sidecar in this process and returns its address and the channel of its end.
func startSidecar(t *testing.T, discovery string) (path, addr string, ended chan error) {
	t.Helper()
	addr = lbtest.ReserveAddress(t)
	path = lbtest.WriteConfig(t, "", addr, discovery)
	t.Setenv("LB_CONFIG", path)
	ended = make(chan error, 1)
	go func() { ended <- process.Run() }()
	lbtest.Until(t, "listening", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	lbtest.Until(t, "ready", func() bool {
		c := lbtest.Dial(t, addr)
		defer c.Close()
		c.Send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		status, _ := c.Response()
		return status == 200
	})
	return path, addr, ended
}

func raise(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		t.Fatal(err)
	}
}

func await(t *testing.T, ended chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(lbtest.Wait):
		t.Fatal("did not end")
	}
}

// SIGHUP takes up discovery's new address, with no request lost; a file that can't be used changes nothing; SIGTERM
// then ends the sidecar once what it holds is answered.
func TestSignals(t *testing.T) {
	first := lbtest.NewEndpoint(t, nil)
	second := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	before := lbtest.NewDiscovery(t, 90, first.Addr)
	after := lbtest.NewDiscovery(t, 3, second.Addr) // counts its versions anew
	path, addr, ended := startSidecar(t, before.Addr)

	held := lbtest.Dial(t, addr)
	held.Send(lbtest.Get("held"))
	arrival := <-first.Arrivals

	if err := os.WriteFile(path, []byte(`{"listen": `), 0o600); err != nil {
		t.Fatal(err)
	}
	raise(t, syscall.SIGHUP)
	<-before.Asked() // still followed
	<-before.Asked()

	lbtest.WriteConfig(t, path, addr, after.Addr)
	raise(t, syscall.SIGHUP)
	<-after.Asked()
	<-after.Asked() // its list is in use: it is asked for what has changed since
	caller := lbtest.Dial(t, addr)
	caller.Send(lbtest.Get("after"))
	if status, body := caller.Response(); status != 200 || body != "answer to after" {
		t.Errorf("after the reload: %d %q", status, body)
	}

	raise(t, syscall.SIGTERM)
	lbtest.Until(t, "not ready", func() bool {
		c := lbtest.Dial(t, addr)
		defer c.Close()
		c.Send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		status, _ := c.Response()
		return status == 503
	})
	arrival.OK()
	if status, body := held.Response(); status != 200 || body != "answer to held" {
		t.Errorf("what was held at SIGTERM got %d %q", status, body)
	}
	await(t, ended)
}

// What has come before the process is ready is answered like any other where it is asked to end just then.
func TestEndBeforeReady(t *testing.T) {
	e := lbtest.NewEndpoint(t, nil)
	silent := lbtest.Listen(t) // discovery takes calls and answers none
	addr := lbtest.ReserveAddress(t)
	path := lbtest.WriteConfig(t, "", addr, silent.Addr().String())
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	known := `{"known": {"index": 1, "snapshot": true, "endpoints": [{"name": "s", "address": "` + e.Addr + `", "zone": "a", "status": "ready"}]}, `
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), "{", known, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("LB_CONFIG", path)
	ended := make(chan error, 1)
	go func() { ended <- process.Run() }()
	lbtest.Until(t, "listening", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	c := lbtest.Dial(t, addr)
	c.Send(lbtest.Get("early"))
	a := <-e.Arrivals
	raise(t, syscall.SIGTERM)
	select {
	case err := <-ended: // the process would be gone with it
		t.Fatal("ended with a request in work: ", err)
	case <-time.After(100 * time.Millisecond): // what ends at once has ended; less does no harm
	}
	a.OK()
	if status, body := c.Response(); status != 200 || body != "answer to early" {
		t.Errorf("%d %q", status, body)
	}
	await(t, ended)
}
