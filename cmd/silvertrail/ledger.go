package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"silvertrail/internal/ledger"
	"silvertrail/internal/ledger/requesthistory"
)

// ledgerCommands read the directory of a ledger that is in use or not, or a copy of it.
type ledgerCommands struct {
	Show   ledgerShow   `cmd:"" help:"Tell what became of all requests in a ledger, and of each one that has no clear end."`
	Search ledgerSearch `cmd:"" help:"Tell of requests by key, id, tenant, nodo, time or verdict."`
	Verify ledgerVerify `cmd:"" help:"Tell what of a ledger is sound and what is lost; exits with 1 where anything is."`
	Export ledgerExport `cmd:"" help:"Print requests as JSON lines."`
	Status ledgerStatus `cmd:"" help:"Ask a running instance how its ledger stands."`
}

type ledgerDir struct {
	Dir string `arg:"" type:"existingdir" help:"The ledger's directory, or a copy of it."`
}

// read reads the ledger.
func (c *ledgerDir) read(give func(*requesthistory.Request)) (*ledger.Report, error) {
	r, live, err := ledger.ReadDir(c.Dir, give)
	if err != nil {
		return nil, err
	}
	if live {
		fmt.Fprintln(os.Stderr, "A process is writing this ledger: what it has in work is called open.")
	}
	return r, nil
}

type ledgerShow struct {
	ledgerDir
	Most int `default:"50" help:"How many requests without a clear end are told one by one."`
}

func (c *ledgerShow) Run() error {
	counts := map[string]map[requesthistory.Verdict]int{}
	var unclear []string
	more := 0
	r, err := c.read(func(q *requesthistory.Request) {
		v := q.Verdict()
		if counts[q.Class] == nil {
			counts[q.Class] = map[requesthistory.Verdict]int{}
		}
		counts[q.Class][v]++
		if v == requesthistory.Executed || v == requesthistory.MayHaveRun || v == requesthistory.Unclear || v == requesthistory.InProgress {
			if len(unclear) < c.Most {
				unclear = append(unclear, q.Text())
			} else {
				more++
			}
		}
	})
	if err != nil {
		return err
	}
	for _, l := range r.Incarnations {
		fmt.Printf("process %016x on %s, mode %s, began %s, last record %s: %s\n", l.Process, l.Host, l.Mode, l.StartedAt.Format(time.DateTime),
			l.Time(l.LastRecord).Format(time.DateTime), describeEnd(l))
	}
	printLosses(r)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "CLASS\tWHAT BECAME OF IT\tREQUESTS")
	for _, class := range slices.Sorted(maps.Keys(counts)) {
		for _, v := range slices.Sorted(maps.Keys(counts[class])) {
			name := class
			if name == "" {
				name = "(not known)"
			}
			fmt.Fprintf(w, "%s\t%v\t%d\n", name, v, counts[class][v])
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, text := range unclear {
		fmt.Print("\n", text)
	}
	if more > 0 {
		fmt.Printf("\nand %d more (--most)\n", more)
	}
	return nil
}

// describeEnd says how a process ended.
func describeEnd(l *requesthistory.Incarnation) string {
	switch {
	case l.Running:
		return "it runs"
	case l.CleanShutdown:
		return "it ended by itself"
	}
	return "it was killed, or the machine was lost"
}

// printLosses prints the records that are missing.
func printLosses(r *ledger.Report) {
	for _, l := range r.Losses {
		if l.Torn {
			fmt.Printf("torn: records %d to %d were being written as the process ended, and nothing went out under them\n", l.From, l.To)
			continue
		}
		if l.Unrecorded {
			fmt.Printf("LOST: %d requests were served without a record between %s and %s\n", l.Count, l.After.Format(time.DateTime), l.Before.Format(time.DateTime))
			continue
		}
		fmt.Printf("LOST: records %d to %d (%d at most), written between %s and %s\n", l.From, l.To, l.To-l.From+1, l.After.Format(time.DateTime),
			l.Before.Format(time.DateTime))
	}
}

// requestFilter holds the conditions of a search.
type requestFilter struct {
	Key         string        `help:"With this idempotency key."`
	ID          string        `name:"id" help:"With this request id."`
	Tenant      string        `help:"Of this tenant."`
	Class       string        `help:"Of this class."`
	Nodo        string        `help:"With an attempt at this nodo."`
	Verdict     []string      `help:"With one of these verdicts: open, served, ran, refused, never_ran, may_have_run, unclear."`
	From        time.Time     `format:"2006-01-02T15:04:05Z07:00" help:"Taken at or after, as 2026-03-01T08:00:00-03:00."`
	To          time.Time     `format:"2006-01-02T15:04:05Z07:00" help:"Taken before."`
	Last        time.Duration `help:"Taken in the last so much time."`
	byPlainName bool
	Secret      string `type:"existingfile" help:"The file of the secret under which names are hashed."`
}

// matcher returns a function that reports whether a request matches the filter.
func (c *requestFilter) matcher() (func(*requesthistory.Request) bool, error) {
	for _, v := range c.Verdict {
		if !isVerdict(v) {
			return nil, fmt.Errorf("--verdict: %q is none", v)
		}
	}
	secret, err := c.readSecret()
	if err != nil {
		return nil, err
	}
	c.byPlainName = secret == nil && (c.Key != "" || c.Tenant != "")
	since := c.From
	if c.Last > 0 {
		since = time.Now().Add(-c.Last)
	}
	return func(q *requesthistory.Request) bool {
		return c.matchesNames(q, secret) && c.matchesHistory(q) && c.matchesTime(q.Incarnation.Time(q.ReceivedAt), since)
	}, nil
}

// isVerdict reports whether a word is the name of a verdict.
func isVerdict(name string) bool {
	for v := requesthistory.InProgress; v <= requesthistory.Unclear; v++ {
		if v.Name() == name {
			return true
		}
	}
	return false
}

// readSecret returns the secret under which names are hashed, nil where none is given.
func (c *requestFilter) readSecret() ([]byte, error) {
	if c.Secret == "" {
		return nil, nil
	}
	text, err := os.ReadFile(c.Secret)
	if err != nil {
		return nil, fmt.Errorf("--secret: %w", err)
	}
	return bytes.TrimSpace(text), nil
}

// matchesNames compares the names, hashed where the process that wrote the record has hashed them.
func (c *requestFilter) matchesNames(q *requesthistory.Request, secret []byte) bool {
	matches := func(kind, wanted, recorded string) bool {
		if wanted == "" {
			return true
		}
		if q.Incarnation.Hashed && secret != nil {
			wanted = ledger.HashName(secret, kind, wanted)
		}
		return wanted == recorded
	}
	return matches("key", c.Key, q.Key) && matches("tenant", c.Tenant, q.Tenant) &&
		(c.ID == "" || c.ID == q.ID) && (c.Class == "" || c.Class == q.Class)
}

// matchesHistory compares the attempts and the verdict.
func (c *requestFilter) matchesHistory(q *requesthistory.Request) bool {
	isAtEndpoint := func(a requesthistory.Attempt) bool { return a.Endpoint == c.Nodo }
	if c.Nodo != "" && !slices.ContainsFunc(q.Attempts, isAtEndpoint) {
		return false
	}
	return len(c.Verdict) == 0 || slices.Contains(c.Verdict, q.Verdict().Name())
}

// matchesTime compares the time at which a request was received.
func (c *requestFilter) matchesTime(received, since time.Time) bool {
	return (since.IsZero() || !received.Before(since)) && (c.To.IsZero() || received.Before(c.To))
}

type ledgerSearch struct {
	ledgerDir
	requestFilter
	Most int `default:"1000" help:"How many are told."`
}

// errNoMatch makes the command exit with status 1, for scripts.
var errNoMatch = errors.New("no request fits")

func (c *ledgerSearch) Run() error {
	fits, err := c.matcher()
	if err != nil {
		return err
	}
	found := 0
	r, err := c.read(func(q *requesthistory.Request) {
		if !fits(q) {
			return
		}
		if found++; found <= c.Most {
			fmt.Println(q.Text())
		}
	})
	if err != nil {
		return err
	}
	printLosses(r)
	if c.byPlainName && slices.ContainsFunc(r.Incarnations, func(l *requesthistory.Incarnation) bool { return l.Hashed }) {
		fmt.Fprintln(os.Stderr, "Names in this ledger are hashed: they are found by --secret FILE alone.")
	}
	if found > c.Most {
		fmt.Printf("and %d more (--most)\n", found-c.Most)
	}
	if found == 0 {
		return errNoMatch
	}
	return nil
}

type ledgerExport struct {
	ledgerDir
	requestFilter
}

func (c *ledgerExport) Run() error {
	fits, err := c.matcher()
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	var failed error
	_, err = c.read(func(q *requesthistory.Request) {
		if failed == nil && fits(q) {
			failed = out.Encode(q.View())
		}
	})
	return errors.Join(err, failed)
}

type ledgerVerify struct{ ledgerDir }

// errDamaged makes the command exit with status 1.
var errDamaged = errors.New("the ledger is not whole")

func (c *ledgerVerify) Run() error {
	r, err := c.read(func(*requesthistory.Request) {})
	if err != nil {
		return err
	}
	for _, f := range r.Files {
		switch {
		case f.SkipReason != "":
			fmt.Printf("%s: passed over: %s\n", f.Name, f.SkipReason)
			continue
		case f.Torn:
			fmt.Printf("%s: %d records; its end is torn, as the process that wrote it was killed\n", f.Name, f.Records)
		default:
			fmt.Printf("%s: %d records\n", f.Name, f.Records)
		}
		for _, d := range f.Damage {
			fmt.Printf("  %v\n", d)
		}
	}
	printLosses(r)
	fmt.Printf("%d records in %d segments of ledger %016x\n", r.Records, len(r.Files), r.LedgerID)
	if !r.IsSound() {
		return errDamaged
	}
	fmt.Println("All that was written is there.")
	return nil
}

type ledgerStatus struct{ runningInstance }

func (c *ledgerStatus) Run() error {
	var v ledger.View
	if err := c.get("/ledger", &v); err != nil || c.JSON {
		return err
	}
	state := "requests are recorded"
	if !v.Ready {
		state = "REQUESTS CAN'T BE RECORDED: " + v.Reason
	}
	fmt.Printf("%s, mode %s: %s\n", v.Dir, v.Mode, state)
	fmt.Printf("%d segments, %d bytes; %d requests since the start; %d fsyncs for %d records; %d errors of the disk\n", v.Segments, v.Bytes, v.Requests,
		v.Syncs, v.SyncedRecords, v.DiskErrors)
	fmt.Printf("%d attempts sent without a record, %d records without room, %d answers before their record was safe\n", v.UnrecordedAttempts, v.DroppedRecords, v.LateResponses)
	fmt.Printf("%d keys known from former processes\n", v.RecoveredKeys)
	if !v.UncertainUntil.IsZero() {
		fmt.Printf("Records are lost (%d times): keys that are not known are held back until %s\n", v.Losses, v.UncertainUntil.Format(time.DateTime))
	}
	return nil
}
