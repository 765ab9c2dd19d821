package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"

	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/gateway"
)

// controlCommands query a running control-plane server over its control socket.
type controlCommands struct {
	Publish controlPublish `cmd:"" help:"Publish clusters and endpoint sets: those that a file holds are new or changed, those that it does not name stay."`
	Status  controlStatus  `cmd:"" help:"Tell who has what: subscribers, versions that are not in force everywhere, refusals, other control machines, conflicts. Exit status 1: somebody is behind, or something was refused."`
}

type controlPublish struct {
	runningInstance
	File   string   `arg:"" optional:"" help:"A DiscoveryResponse in protobuf JSON; - reads it from standard input."`
	Remove []string `sep:"none" placeholder:"cluster/NAME" help:"What is to be removed: cluster/NAME or endpoints/NAME. May be told again and again."`
}

// maxPublished bounds a file that is published, in bytes: less than the control socket accepts, as the file is quoted as JSON.
const maxPublished = 48 << 20

func (c *controlPublish) Run() error {
	p := gateway.Publication{Remove: c.Remove}
	var text []byte
	var err error
	switch {
	case c.File == "-":
		text, err = io.ReadAll(io.LimitReader(os.Stdin, maxPublished+1))
	case c.File != "":
		text, err = os.ReadFile(c.File)
	case len(c.Remove) == 0:
		return errors.New("nothing to publish: a file is needed, or --remove")
	}
	if err != nil {
		return err
	}
	if len(text) > maxPublished {
		return fmt.Errorf("%s: over %d bytes", c.File, maxPublished)
	}
	p.Text = string(text)
	body, err := json.Marshal(p)
	if err != nil {
		return err
	}
	var out api.Published
	if err := c.request(http.MethodPost, "/control-plane/publish", bytes.NewReader(body), &out); err != nil || c.JSON {
		return err
	}
	if out.Resources+out.Removed == 0 {
		fmt.Printf("nothing has changed: %d resources hold already\n", out.Unchanged)
		return nil
	}
	fmt.Printf("version %s: %d resources, %d removed, %d hold already\n", out.Version, out.Resources, out.Removed, out.Unchanged)
	return nil
}

type controlStatus struct {
	runningInstance
	All bool `help:"List all subscribers, also those that have all."`
}

// errSubscribersBehind makes the command exit with status 1.
var errSubscribersBehind = errors.New("not all is in force at all who asked for it")

func (c *controlStatus) Run() error {
	var v api.Status
	if c.JSON {
		return c.get("/control-plane", nil)
	}
	if err := c.get("/control-plane", &v); err != nil {
		return err
	}
	c.print(os.Stdout, v)
	if !v.Ready || len(v.Versions)+len(v.Rejections) > 0 {
		return errSubscribersBehind
	}
	return nil
}

func (c *controlStatus) print(out io.Writer, v api.Status) {
	state := "serves receivers"
	if !v.Ready {
		state = "does not serve receivers yet"
	}
	fmt.Fprintf(out, "%s %s: %d clusters, %d endpoint sets, %d removed, the newest version is %d\n", v.Name, state, v.Clusters, v.EndpointSets, v.Removed, v.Counter)
	receivers, behind := 0, 0
	for _, s := range v.Subscribers {
		if !s.Peer {
			receivers++
			behind += min(s.Behind, 1)
		}
	}
	fmt.Fprintf(out, "%d receivers, %d of them behind, %d wait for their turn; %d messages, %d bytes sent\n", receivers, behind, v.Waiting, v.Messages, v.Bytes)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if len(v.Peers) > 0 {
		fmt.Fprintln(w, "\nPEER\tSTATE\tHEARD\tALL HEARD\tFOLLOWS\tBEHIND\tFAULT")
		for _, p := range v.Peers {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%v\t%d\t%s\n", p.Name, p.State, ago(p.LastMessage), p.Synced, p.Subscribed, p.Behind, p.Fault)
		}
	}
	if len(v.Versions) > 0 {
		fmt.Fprintln(w, "\nVERSION\tRECEIVERS BEHIND")
		for _, l := range v.Versions {
			fmt.Fprintf(w, "%s\t%d\n", l.Version, l.Behind)
		}
	}
	head := false
	for _, s := range v.Subscribers {
		if !c.All && s.Behind+s.Ahead == 0 {
			continue
		}
		if !head {
			fmt.Fprintln(w, "\nSUBSCRIBER\tADDRESS\tSINCE\tRESOURCES\tBEHIND\tREFUSED\tAHEAD\tIN FLIGHT\tMESSAGES\tBYTES")
			head = true
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%v\t%d\t%d\n", s.Node, s.Address, ago(s.Since), s.Subscribed, s.Behind, s.Rejected, s.Ahead, s.InFlight, s.Messages, s.Bytes)
	}
	w.Flush()
	for _, r := range v.Rejections {
		fmt.Fprintf(out, "refused by %s, %s: %s %s, version %s: %s\n", r.Node, ago(r.At), r.Kind, r.Name, r.Version, r.Reason)
	}
	for _, x := range v.Conflicts {
		fmt.Fprintf(out, "made apart, %s: %s %s: %s holds, %s is lost: publish what of it is still wanted\n", ago(x.At), x.Kind, x.Name, x.Winner, x.Loser)
	}
	for _, name := range v.Dangling {
		fmt.Fprintf(out, "cluster %s needs endpoints that are not there: publish them, or remove it\n", name)
	}
}
