package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"silvertrail/internal/xds/cache"
)

// xdsCommands query a running instance's control planes over its control socket. Those that need the message types of control planes are in
// the program that is built with the tag xds alone.
type xdsCommands struct {
	Dump xdsDump `cmd:"" help:"Tell each cluster and endpoint set: version, source, age, whether it is in force and why not."`
	xdsTaggedCommands
}

type xdsDump struct{ runningInstance }

func (c *xdsDump) Run() error {
	var d cache.Dump
	if err := c.get("/xds", &d); err != nil || c.JSON {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "PLANE\tSTATE\tLISTENED TO")
	for _, p := range d.ControlPlanes {
		fmt.Fprintf(w, "%s\t%s\t%v\n", p.Name, p.State, p.Active)
	}
	fmt.Fprintln(w, "\nKIND\tNAME\tSTATE\tVERSION\tFROM\tHEARD\tENDPOINTS\tUSED")
	for _, l := range d.Resources {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%v\n", l.Kind, l.Name, l.State, l.Version, l.Source, ago(l.ReceivedAt), l.Endpoints, l.InUse)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, l := range d.Resources {
		if l.RejectionReason != "" {
			fmt.Printf("%s %s, version %q, %s: %s\n", l.Kind, l.Name, l.RejectedVersion, ago(l.RejectedAt), strings.TrimSpace(l.RejectionReason))
		}
		if l.DeferredVersion != "" {
			fmt.Printf("%s %s: version %q is held off: it was replaced before; what it takes out of use is in force\n", l.Kind, l.Name, l.DeferredVersion)
		}
	}
	for _, f := range d.Files {
		fmt.Printf("file %s: %d endpoint sets, %s %s\n", f.Path, f.Sets, ago(f.ReadAt), f.Error)
	}
	return nil
}

// ago returns the time since t for people.
func ago(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return time.Since(t).Round(time.Second).String() + " ago"
}
