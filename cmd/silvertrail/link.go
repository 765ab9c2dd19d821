package main

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"silvertrail/internal/gateway"
	"silvertrail/internal/sites/accounting"
)

// linkCommands query a running gateway's links over its control socket.
type linkCommands struct {
	Status linkStatus `cmd:"" help:"Tell how the links to other salas stand, and count what crossed."`
	Drain  linkDrain  `cmd:"" help:"Take nothing more from other salas; with --all also send this sala's own requests to them first."`
	Lookup linkLookup `cmd:"" help:"Ask all salas what they know of a key."`
}

type linkStatus struct {
	runningInstance
	Reconcile bool `help:"Ask the other ends for their counts, and name all in which they differ."`
}

func (c *linkStatus) Run() error {
	path := "/link/status"
	if c.Reconcile {
		path += "?reconcile=1"
	}
	var v gateway.LinkStatus
	if err := c.get(path, &v); err != nil || c.JSON {
		return err
	}
	printSite(v)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nTO\tADDRESS\tSTATE\tSINCE\tROUND TRIP\tWINDOW\tIN FLIGHT\tUNSETTLED\tFAULT")
	for _, s := range v.Sites {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%.0f\t%d\t%d\t%s\n", s.Name, s.Address, s.State, s.Since.Format(time.DateTime), s.RoundTrip, s.ConcurrencyLimit, s.InFlight, s.Unsettled, s.LastError)
		for _, g := range s.Gateways {
			fmt.Fprintf(w, "\t%s\t%s\t%s\t\t\t\t%d\t%s\n", g.Address, g.State, g.Since.Format(time.DateTime), g.Unsettled, g.LastError)
		}
	}
	fmt.Fprintln(w, "\nDIRECTION\tSALA\tCLASS\tTENANT\tREASON\tOUTCOME\tCOUNT")
	for _, s := range v.Sites {
		for direction, sums := range map[string][]accounting.Counter{"sent": s.Sent, "received": s.Received} {
			for _, n := range sums {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\n", direction, s.Name, n.Class, n.Tenant, n.Reason, n.Outcome, n.Count)
			}
		}
	}
	w.Flush()
	if !v.Reconciled {
		return nil
	}
	differ := 0
	for _, s := range v.Sites {
		fmt.Printf("compared with %s: %d sessions, %d differences\n", s.Name, s.SessionsCompared, len(s.Differences))
		for _, d := range s.Differences {
			differ++
			fmt.Printf("  session %x, class %s, tenant %q, %s, %s: %d here, %d there\n", d.Session, d.Class, d.Tenant, d.Reason, d.Outcome, d.Sent, d.Received)
		}
	}
	if differ > 0 {
		return fmt.Errorf("%d differences; those of crossings in work pass by themselves", differ)
	}
	return nil
}

func printSite(v gateway.LinkStatus) {
	fmt.Printf("sala %s: %s", v.Site, v.State)
	if v.DrainingOwn {
		fmt.Print(", its own requests go to other salas first")
	}
	fmt.Println()
}

type linkDrain struct {
	runningInstance
	All bool `xor:"mode" help:"Send this sala's own requests to other salas first, too."`
	Off bool `xor:"mode" help:"Serve again as ever."`
}

func (c *linkDrain) Run() error {
	mode := "in"
	switch {
	case c.All:
		mode = "all"
	case c.Off:
		mode = "off"
	}
	var v gateway.LinkStatus
	if err := c.request(http.MethodPost, "/link/drain?mode="+mode, nil, &v); err != nil || c.JSON {
		return err
	}
	printSite(v)
	return nil
}

type linkLookup struct {
	runningInstance
	Tenant string `arg:"" help:"The tenant, or \"\" for none."`
	Key    string `arg:"" help:"The Idempotency-Key."`
}

func (c *linkLookup) Run() error {
	q := url.Values{"tenant": {c.Tenant}, "key": {c.Key}}
	var v []gateway.KeyLookup
	if err := c.get("/link/lookup?"+q.Encode(), &v); err != nil || c.JSON {
		return err
	}
	for _, f := range v {
		switch {
		case f.Error != "":
			fmt.Printf("%s: %s\n", f.Site, f.Error)
		case !f.Known:
			fmt.Printf("%s: knows nothing of it\n", f.Site)
		default:
			fmt.Printf("%s: may have run at %s, zone %s, cell %d; repeats are sent there for another %v\n", f.Site, f.Cluster, f.Zone, f.Cell,
				(time.Duration(f.RetryWindow) * time.Microsecond).Round(time.Millisecond))
		}
	}
	return nil
}
