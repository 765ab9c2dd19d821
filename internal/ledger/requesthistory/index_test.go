package requesthistory

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/ledger/segment"
)

// replayScenario tells a book a story, a line for each record: "taken 1", "intent 1 1 n1", "outcome 1 1 ok|never|lost", "final 1
// served|refused|failed|gone", "skip" (a record is missing), "wait 40s", "process" (another one begins), "clock +1h",
// "missed 3", "closed", "safe" (all before it is durable); and returns what it gives out.
func replayScenario(t *testing.T, live bool, story string) (out []string, lost []DataLoss) {
	t.Helper()
	var all []*Request
	b := NewIndex(func(r *Request) { all = append(all, r) }, func(l DataLoss) { lost = append(lost, l) })
	seq, process, at := uint64(1), uint64(1), time.Duration(0)
	begin := func(prev uint64) {
		b.BeginSegment(&segment.Header{Process: process, FirstSeq: seq, PreviousSeq: prev, BootID: "b", StartedAt: 1e15, Host: "h"})
	}
	begin(0)
	for _, line := range strings.Split(story, "\n") {
		w := strings.Fields(line)
		if len(w) == 0 {
			continue
		}
		at += time.Millisecond
		r := segment.Record{At: at}
		number := func(i int) (n uint64) { fmt.Sscan(w[i], &n); return n }
		switch w[0] {
		case "taken":
			r.Kind, r.Request, r.ID, r.TimeLeft, r.KeyID = segment.Received, number(1), "r"+w[1], 5*time.Second, idempotency.KeyIDOf("", w[1])
		case "intent":
			r.Kind, r.Request, r.Attempt, r.Endpoint, r.Window, r.Retention = segment.Intent, number(1), int(number(2)), w[3], time.Minute, time.Minute
		case "outcome":
			r.Kind, r.Request, r.Attempt, r.Verdict = segment.Outcome, number(1), int(number(2)), w[3]
			r.Responded, r.NeverRan = w[3] == "ok", w[3] == "never"
		case "final":
			r.Kind, r.Request = segment.Final, number(1)
			r.Ending = map[string]segment.Ending{"served": segment.Served, "refused": segment.Rejected, "failed": segment.Failed, "gone": segment.Disconnected}[w[2]]
		case "skip":
			seq++
			continue
		case "wait":
			d, _ := time.ParseDuration(w[1])
			at += d
			continue
		case "clock":
			d, _ := time.ParseDuration(w[1])
			r.Kind, r.WallTime = segment.ClockShift, time.UnixMicro(1e15).Add(at+d).UnixMicro()
		case "missed":
			r.Kind, r.Count = segment.Unrecorded, number(1)
		case "closed":
			r.Kind = segment.Shutdown
		case "safe":
			r.Kind, r.DurableLag = segment.Shutdown, 1
		case "process":
			prev := seq - 1
			process, at = process+1, 0
			seq = (seq>>20 + 1) << 20
			begin(prev)
			continue
		default:
			t.Fatal(line)
		}
		b.AddRecord(seq, &r)
		seq++
	}
	b.Finish(live)
	for i := 0; i < len(lost); i++ {
		if lost[i].Torn {
			lost = append(lost[:i], lost[i+1:]...)
			i--
		}
	}
	for _, r := range all {
		where := ""
		for _, a := range r.PossiblyExecuted() {
			where += " " + a.Endpoint
		}
		out = append(out, fmt.Sprintf("%d %s%s", r.Number, r.Verdict().Name(), where))
	}
	if b.OpenRequests() != 0 {
		t.Errorf("%d stay open", b.OpenRequests())
	}
	return out, lost
}

func TestStories(t *testing.T) {
	for name, c := range map[string]struct {
		live  bool
		story string
		want  string
		lost  int
	}{
		"each ending": {false, `
			taken 1
			intent 1 1 n1
			taken 2
			outcome 1 1 ok
			final 1 served
			final 2 refused
			taken 3
			intent 3 1 n1
			outcome 3 1 never
			intent 3 2 n2
			outcome 3 2 timeout
			final 3 failed
			taken 4
			intent 4 1 n1
			outcome 4 1 never
			final 4 failed`, "1 served n1, 2 refused, 3 may_have_run n2, 4 never_ran", 0},
		"killed at each step": {false, `
			taken 1
			taken 2
			intent 2 1 n1
			taken 3
			intent 3 1 n1
			outcome 3 1 ok
			taken 4
			intent 4 1 n1
			outcome 4 1 never`, "1 never_ran, 2 may_have_run n1, 3 ran n1, 4 never_ran", 0},
		"the same while it runs": {true, `
			taken 1
			taken 2
			intent 2 1 n1
			taken 3
			intent 3 1 n1
			final 3 gone`, "1 open, 2 open n1, 3 open n1", 0},
		"a hedge whose loser ends last": {false, `
			taken 1
			intent 1 1 n1
			intent 1 2 n2
			outcome 1 2 ok
			final 1 served
			outcome 1 1 cancelled`, "1 served n1 n2", 0},
		"an attempt given up before its intent": {false, `
			taken 1
			outcome 1 1 never
			final 1 failed`, "1 never_ran", 0},
		"refused though an attempt may have run": {false, `
			taken 1
			intent 1 1 n1
			outcome 1 1 timeout
			final 1 refused`, "1 may_have_run n1", 0},
		"a record is missing": {false, `
			taken 1
			taken 2
			final 2 refused
			taken 3
			intent 3 1 n1
			skip
			final 3 served
			taken 4
			final 1 failed
			safe
			final 4 failed`, "2 refused, 1 unclear, 4 never_ran, 3 served n1", 1},
		"its beginning is missing": {false, `
			skip
			intent 1 1 n1
			safe
			final 1 failed`, "1 may_have_run n1", 1},
		"the end is torn in its middle": {false, `
			taken 1
			taken 2
			intent 2 1 n1
			safe
			skip
			taken 3
			skip
			final 2 failed
			process
			taken 1
			final 1 refused`, "1 never_ran, 2 may_have_run n1, 3 never_ran, 1 refused", 0},
		"what never ends": {false, `
			taken 1
			intent 1 1 n1
			wait 60s
			taken 2
			final 2 refused`, "1 may_have_run n1, 2 refused", 0},
		"two processes with the same numbers": {false, `
			taken 1
			intent 1 1 n1
			process
			taken 1
			final 1 refused
			closed`, "1 may_have_run n1, 1 refused", 0},
		"the end of a process is missing": {false, `
			taken 1
			skip
			process
			taken 1
			final 1 refused`, "1 unclear, 1 refused", 1},
		"served unrecorded": {false, `
			missed 3`, "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			out, lost := replayScenario(t, c.live, c.story)
			if got := strings.Join(out, ", "); got != c.want || len(lost) != c.lost {
				t.Errorf("%s, %d losses %+v\nwant %s, %d", got, len(lost), lost, c.want, c.lost)
			}
		})
	}
}

// Times of day follow the clock that was set; what is told to people names the place, the times and what is not known.
func TestText(t *testing.T) {
	var r *Request
	b := NewIndex(func(q *Request) { r = q }, nil)
	b.BeginSegment(&segment.Header{Process: 1, FirstSeq: 1, StartedAt: time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC).UnixMicro(), Host: "centro-1"})
	b.AddRecord(1, &segment.Record{Kind: segment.Received, At: time.Second, Request: 1, ID: "r1", Class: "reserva", Tenant: "escuela-7", Key: "seat-1", TimeLeft: 5 * time.Second})
	b.AddRecord(2, &segment.Record{Kind: segment.ClockShift, At: 2 * time.Second, WallTime: time.Date(2026, 3, 2, 9, 0, 2, 0, time.UTC).UnixMicro()})
	b.AddRecord(3, &segment.Record{Kind: segment.Intent, At: 3 * time.Second, Request: 1, Attempt: 1, Endpoint: "portal-1", Cluster: "portal", Zone: "sala-centro", Cell: 2})
	b.Finish(false)
	text := strings.ReplaceAll(r.Text(), time.Local.String(), "UTC")
	for _, want := range []string{"r1: MAY HAVE RUN", `reserva, tenant "escuela-7", key "seat-1"`, "portal-1 (cluster portal, zone sala-centro, cell 2)",
		r.Incarnation.Time(3 * time.Second).Format(timeLayout), "no answer seen", "no answer to the caller is recorded", "was set"} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in:\n%s", want, text)
		}
	}
	if at := r.Incarnation.Time(3 * time.Second).UTC(); at.Hour() != 9 || r.Incarnation.Time(time.Second).UTC().Hour() != 8 {
		t.Errorf("%v", at)
	}
}
