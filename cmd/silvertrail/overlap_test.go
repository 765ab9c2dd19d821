package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"silvertrail/internal/testkit/lbtest"
)

// Three processes at once: what an operator says at any of them holds in all, and settings that change meanwhile are in force
// where they were read.
func TestThreeAtOnce(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	d := lbtest.NewDiscovery(t, 1, e.Addr, e.Addr, e.Addr)
	s := newSidecars(t, d.Addr)
	good, err := os.ReadFile(s.config)
	if err != nil {
		t.Fatal(err)
	}
	var all []*running
	for range 3 {
		all = append(all, s.start())
	}
	id := func(n string) string { return "/ops/endpoints/down/s-" + d.Addr + "-" + n }
	for i, r := range all {
		r.put(id(string(rune('0' + i))))
	}
	for i, r := range all {
		lbtest.Until(t, "all bans are known", func() bool { return r.stats().Unhealthy == 3 })
		if i < 2 && !r.log.Contains("successor takes over") {
			t.Errorf("process %d has not given way", i)
		}
	}
	all[2].put(strings.Replace(id("1"), "down", "up", 1))
	for _, r := range all {
		lbtest.Until(t, "the end of a ban is known", func() bool { return r.stats().Unhealthy == 2 })
	}
	if status, _ := all[0].call(http.MethodPut, id("9")); status != 404 {
		t.Errorf("an id that was never listed: %d", status)
	}

	// SIGHUP at each while all run; a broken file at one changes nothing there.
	for _, r := range all {
		r.change(s, strings.Replace(string(good), `"name": "read"`, `"name": "other"`, 1))
		if f := r.stats(); f.Loaded != 1 {
			t.Errorf("%+v", f)
		}
	}
	all[1].change(s, "{")
	if f := all[1].stats(); f.Loaded != 1 || f.Invalid != 1 || f.Unhealthy != 2 {
		t.Errorf("%+v", f)
	}
	n := 0
	lbtest.Until(t, "the new class is served", func() bool { // by the endpoint that is back, within its first window
		c := lbtest.Dial(t, s.addr)
		defer c.Close()
		n++
		c.Send(lbtest.Head("GET", "other", fmt.Sprint("x", n)))
		status, _ := c.Response()
		return status == 200
	})
	if f := all[2].finalStats(); f.Answered["other"] != 1 {
		t.Errorf("%+v", f)
	}
	for _, r := range all {
		r.terminate()
	}
}

// A process that is stopped hands nothing over and keeps no new one from its yes; one that is killed in the middle of a
// hand-over neither.
func TestPredecessorHangs(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	s := newSidecars(t, lbtest.NewDiscovery(t, 1, e.Addr).Addr)
	old := s.start()
	old.cmd.Process.Signal(syscall.SIGSTOP)
	next := s.start()
	if !next.log.Contains("predecessor makes no offer") {
		t.Error(next.log.String())
	}
	old.cmd.Process.Kill()
	<-old.ended
	third := s.begin()
	next.cmd.Process.Kill() // while the third one asks it, or just before or after
	<-next.ended
	lbtest.Until(t, "the third says yes", func() bool { status, _ := third.call(http.MethodGet, "/ops/readiness"); return status == 200 })
	c := lbtest.Dial(t, s.addr)
	c.Send(lbtest.Get("one"))
	if status, _ := c.Response(); status != 200 {
		t.Errorf("status %d", status)
	}
	third.terminate()
}
