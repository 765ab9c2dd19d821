package main

import (
	"fmt"
	"maps"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"silvertrail/internal/gateway"
)

// connectionCommands query a running instance's client connections over its control socket.
type connectionCommands struct {
	Status connectionStatus  `cmd:"" help:"Tell how many connections each group of clients holds, who holds most, and what was refused."`
	Who    connectionAddress `cmd:"" help:"Tell of which group an address is, and whether it would get in now."`
}

type connectionStatus struct {
	runningInstance
	Sources int `default:"10" help:"How many of the sources that hold most are told."`
}

func (c *connectionStatus) Run() error {
	var views []gateway.ListenerStatus
	if err := c.get(fmt.Sprintf("/connections?sources=%d", c.Sources), &views); err != nil || c.JSON {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, v := range views {
		fmt.Fprintf(w, "listener %s on %s: %d of %d places held", v.Listener, v.Address, v.InUse, v.Capacity)
		if v.Capacity < v.MaxCapacity {
			fmt.Fprintf(w, " (of %d; descriptors ran out)", v.MaxCapacity)
		}
		if v.Identifying > 0 {
			fmt.Fprintf(w, ", %d show their certificates", v.Identifying)
		}
		if v.Waiting > 0 {
			fmt.Fprintf(w, ", %d in line", v.Waiting)
		}
		fmt.Fprintln(w, "\nGROUP\tHELD\tAT WORK\tRESERVED\tSOURCES\tTAKEN\tRECOGNISED\tENDED IDLE\tREFUSED")
		for _, g := range v.Groups {
			var refused []string
			for _, why := range slices.Sorted(maps.Keys(g.Rejected)) {
				refused = append(refused, fmt.Sprintf("%d %s", g.Rejected[why], why))
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", g.Name, g.InUse, g.Active, g.Reserve, g.Sources, g.Admitted, g.Identified, g.Evicted, strings.Join(refused, ", "))
		}
		if len(v.Sources) > 0 {
			fmt.Fprintln(w, "SOURCE\tGROUP\tHELD")
		}
		for _, s := range v.Sources {
			fmt.Fprintf(w, "%s\t%s\t%d\n", s.Source, s.Group, s.InUse)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

type connectionAddress struct {
	runningInstance
	Address string `arg:"" help:"An IP address."`
}

func (c *connectionAddress) Run() error {
	var views []gateway.ListenerStatus
	if err := c.get("/connections?sources=0&address="+url.QueryEscape(c.Address), &views); err != nil || c.JSON {
		return err
	}
	for _, v := range views {
		s := v.Source
		fmt.Printf("listener %s: %s counts as %s, of group %s\n", v.Listener, c.Address, s.Source, s.Group)
		if s.Denied {
			fmt.Println("  denied")
			continue
		}
		fmt.Printf("  holds %d", s.InUse)
		if s.MaxConns > 0 {
			fmt.Printf(" of %d", s.MaxConns)
		}
		if s.Rate > 0 {
			fmt.Printf("; may open %.0f now, %g a second", max(s.Tokens, 0), s.Rate)
		}
		fmt.Printf("; free are %d places of its group and %d of all\n", s.ReservedFree, s.UnreservedFree)
	}
	return nil
}
