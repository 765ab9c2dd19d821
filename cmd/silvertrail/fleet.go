package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"silvertrail/internal/fleet"
	"silvertrail/internal/fleet/version"
	"silvertrail/internal/fleet/versionlag"
	"silvertrail/internal/gateway"
	"silvertrail/internal/gateway/conf"
)

// fleetCommands query a running instance over its control socket.
type fleetCommands struct {
	Members  fleetMembers  `cmd:"" help:"List the members as a running instance sees them."`
	Reach    fleetReach    `cmd:"" help:"Tell which view a running instance acts in, who does not hear whom, and what that is taken for."`
	Versions fleetVersions `cmd:"" help:"Tell what all members act on, as a running instance knows it, and who is behind. Exit status 1: not all are in step."`
	Key      fleetKey      `cmd:"" help:"Tell what a running instance knows of a key: which group holds it, and until when repeats are sent."`
	Keygen   fleetKeygen   `cmd:"" help:"Print a new key for a keyring."`
}

// runningInstance has the flags that name a running instance.
type runningInstance struct {
	Config  string `xor:"at" required:"" type:"existingfile" placeholder:"FILE" help:"The running instance's configuration."`
	Control string `xor:"at" required:"" type:"path" placeholder:"SOCKET" help:"Its control socket, where its configuration can't be read now."`
	JSON    bool   `help:"Print what the instance says as it says it."`
}

// socket returns the path of the control socket.
func (a *runningInstance) socket() (string, error) {
	if a.Control != "" {
		return a.Control, nil
	}
	file, err := conf.Load(a.Config)
	if err != nil {
		return "", configError(err)
	}
	if file.Control == "" {
		return "", fmt.Errorf("%s names no control socket: add control = \"silvertrail.sock\" to its process block", a.Config)
	}
	return file.Control, nil
}

// get queries the instance. The response is decoded into out, or with --json copied to standard output.
func (a *runningInstance) get(path string, out any) error {
	return a.request(http.MethodGet, path, nil, out)
}

func (a *runningInstance) request(method, path string, body io.Reader, out any) error {
	socket, err := a.socket()
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "unix", socket)
	}}}
	r, err := http.NewRequest(method, "http://control"+path, body)
	if err != nil {
		return fmt.Errorf("asking the running instance: %w", err)
	}
	answer, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("asking the running instance: %w", err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, 16<<20))
	switch {
	case err != nil:
		return fmt.Errorf("asking the running instance: %w", err)
	case answer.StatusCode != http.StatusOK:
		return fmt.Errorf("the running instance says: %s", text)
	case a.JSON:
		_, err = os.Stdout.Write(text)
		return err
	}
	return json.Unmarshal(text, out)
}

type fleetMembers struct{ runningInstance }

func (c *fleetMembers) Run() error {
	var v gateway.FleetStatus
	if err := c.get("/fleet/members", &v); err != nil || c.JSON {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tADDRESS\tSTATE\tSINCE\tVOTER")
	for _, m := range v.Members {
		name, voter := m.Name, ""
		if m.Self {
			name += " *"
		}
		if m.Voter {
			voter = "yes"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", name, m.Address, m.State, m.Since.Format(time.DateTime), voter)
	}
	w.Flush()
	fmt.Printf("%d instances share the endpoints; this is number %d, from 0\n", v.Instances, v.Place)
	return nil
}

type fleetReach struct{ runningInstance }

func (c *fleetReach) Run() error {
	var v fleet.ReachabilityView
	if err := c.get("/fleet/reach", &v); err != nil || c.JSON {
		return err
	}
	if v.Number == 0 {
		fmt.Println("in no view")
		return nil
	}
	fmt.Printf("view %d, hash %016x, lineage %016x: %s\n", v.Number, v.Hash, v.Lineage, strings.Join(v.Members, " "))
	switch {
	case v.Isolated:
		fmt.Println("isolated: this instance hears no majority, or is heard by none")
	case v.HasQuorum:
		fmt.Println("confirmed by a majority")
	default:
		fmt.Println("not confirmed by a majority now")
	}
	for _, name := range v.Members {
		switch row, told := v.Unreachable[name]; {
		case !told:
			fmt.Printf("%s: has not told whom it hears\n", name)
		case len(row) > 0:
			fmt.Printf("%s does not hear: %s\n", name, strings.Join(row, " "))
		}
	}
	for _, f := range v.Diagnoses {
		fmt.Printf("taken for: %s %s\n", f.Kind, strings.Join(f.Members, " "))
	}
	return nil
}

type fleetVersions struct{ runningInstance }

// Run fails where not all members are current, also with --json.
func (c *fleetVersions) Run() error {
	var v fleet.VersionsView
	isJSON := c.JSON
	c.JSON = false
	if err := c.get("/fleet/versions", &v); err != nil {
		return err
	}
	if isJSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		if err := e.Encode(v); err != nil {
			return err
		}
	} else {
		printVersions(os.Stdout, v)
	}
	if !v.AllCurrent {
		return errors.New("not all members are in step")
	}
	return nil
}

// printVersions prints the applied versions of all members.
func printVersions(out io.Writer, v fleet.VersionsView) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tSTATE\tSINCE\tHEARD\tCONFIGURATION\tVECTOR")
	for _, m := range v.Members {
		name, heard, has := m.Member, "never", "-"
		if m.Member == v.Self {
			name += " *"
		}
		if m.Vector != nil {
			heard = m.Age.Round(100*time.Millisecond).String() + " ago"
		}
		if e, ok := m.Vector.Find(version.Configuration, ""); ok {
			has = fmt.Sprintf("%d %s", e.Number, e.Hash)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", name, m.State, m.Since.Format(time.DateTime), heard, has, m.VectorHash)
	}
	w.Flush()
	for _, m := range v.Members {
		for _, f := range m.Findings {
			what := strings.TrimSpace(f.Kind.String() + " " + f.Name)
			switch f.State {
			case versionlag.Forked:
				fmt.Fprintf(out, "%s: %s is forked: it has %s (%s), others %s (%s), both after the same one\n", m.Member, what, f.Has.Hash, f.Has.Description, f.Expected.Hash, f.Expected.Description)
			case versionlag.Ahead:
				fmt.Fprintf(out, "%s: %s %s is the newest, and most have not taken it up for %v\n", m.Member, what, f.Has.Hash, f.Duration.Round(time.Second))
			case versionlag.Divergent:
				fmt.Fprintf(out, "%s: %s is %s (%s), elsewhere %s (%s), for %v\n", m.Member, what, f.Has.Hash, f.Has.Description, f.Expected.Hash, f.Expected.Description, f.Duration.Round(time.Second))
			default:
				fmt.Fprintf(out, "%s: %s is %s (%s) and not %s (%s), behind by %d, for %v\n", m.Member, what, f.Has.Hash, f.Has.Description, f.Expected.Hash, f.Expected.Description, f.VersionsBehind, f.Duration.Round(time.Second))
			}
		}
		if e, ok := m.Vector.Find(version.Rejected, ""); ok {
			fmt.Fprintf(out, "%s: turned a file away: %s\n", m.Member, e.Description)
		}
	}
}

type fleetKey struct {
	runningInstance
	Class  string `arg:"" help:"The class."`
	Tenant string `arg:"" help:"The tenant, or \"\" for none."`
	Key    string `arg:"" help:"The Idempotency-Key."`
}

func (c *fleetKey) Run() error {
	q := url.Values{"class": {c.Class}, "tenant": {c.Tenant}, "key": {c.Key}}
	var v gateway.KeyStatus
	if err := c.get("/fleet/key?"+q.Encode(), &v); err != nil || c.JSON {
		return err
	}
	fmt.Println("this instance's own attempts:", v.Local)
	if v.Voter != nil {
		fmt.Println("agreed to by its voter:      ", *v.Voter)
	}
	if v.VoterAbstains != "" {
		fmt.Println("its voter was started lately and is silent for another", v.VoterAbstains)
	}
	return nil
}

type fleetKeygen struct{}

func (fleetKeygen) Run() error {
	key, err := conf.NewKey()
	if err == nil {
		fmt.Println(key)
	}
	return err
}
