package requesthistory

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/ledger/segment"
)

// replayScenario adds the records of a scenario to an index. It returns the verdict of each request, with the endpoints at which
// it may have run, and the losses other than torn ends. A scenario has one step per line, and each step takes 1 ms:
//
//	taken REQUEST                                    the request was received
//	intent REQUEST ATTEMPT ENDPOINT                  an attempt is about to be sent
//	outcome REQUEST ATTEMPT ok|never|OTHER           the attempt succeeded, never ran, or failed and may have run
//	final REQUEST served|refused|failed|gone         the request has ended; gone: the client had disconnected
//	clock SHIFT                                      the wall clock was set, by +1h for example
//	missed COUNT                                     requests were served without records
//	closed                                           the process has shut down cleanly
//	safe                                             all records before this one are durable
//	skip                                             a record is missing
//	wait DURATION                                    time passes; no record
//	process                                          the next process starts a segment; no record
func replayScenario(t *testing.T, running bool, scenario string) (verdicts []string, losses []DataLoss) {
	t.Helper()
	var requests []*Request
	index := NewIndex(func(r *Request) { requests = append(requests, r) }, func(l DataLoss) { losses = append(losses, l) })
	seq, process, at := uint64(1), uint64(1), time.Duration(0)
	begin := func(previousSeq uint64) {
		index.BeginSegment(&segment.Header{Process: process, FirstSeq: seq, PreviousSeq: previousSeq, BootID: "b", StartedAt: 1e15, Host: "h"})
	}
	begin(0)
	for _, line := range strings.Split(scenario, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		at += time.Millisecond
		r := segment.Record{At: at}
		number := func(i int) (n uint64) { fmt.Sscan(words[i], &n); return n }
		switch words[0] {
		case "taken":
			r.Kind, r.Request, r.ID, r.TimeLeft, r.KeyID = segment.Received, number(1), "r"+words[1], 5*time.Second, idempotency.KeyIDOf("", words[1])
		case "intent":
			r.Kind, r.Request, r.Attempt, r.Endpoint, r.Window, r.Retention = segment.Intent, number(1), int(number(2)), words[3], time.Minute, time.Minute
		case "outcome":
			r.Kind, r.Request, r.Attempt, r.Verdict = segment.Outcome, number(1), int(number(2)), words[3]
			r.Responded, r.NeverRan = words[3] == "ok", words[3] == "never"
		case "final":
			r.Kind, r.Request = segment.Final, number(1)
			r.Ending = map[string]segment.Ending{"served": segment.Served, "refused": segment.Rejected, "failed": segment.Failed, "gone": segment.Disconnected}[words[2]]
		case "skip":
			seq++
			continue
		case "wait":
			d, _ := time.ParseDuration(words[1])
			at += d
			continue
		case "clock":
			d, _ := time.ParseDuration(words[1])
			r.Kind, r.WallTime = segment.ClockShift, time.UnixMicro(1e15).Add(at+d).UnixMicro()
		case "missed":
			r.Kind, r.Count = segment.Unrecorded, number(1)
		case "closed":
			r.Kind = segment.Shutdown
		case "safe":
			r.Kind, r.DurableLag = segment.Shutdown, 1
		case "process":
			previousSeq := seq - 1
			process, at = process+1, 0
			seq = (seq>>20 + 1) << 20
			begin(previousSeq)
			continue
		default:
			t.Fatal(line)
		}
		index.AddRecord(seq, &r)
		seq++
	}
	index.Finish(running)
	for i := 0; i < len(losses); i++ {
		if losses[i].Torn {
			losses = append(losses[:i], losses[i+1:]...)
			i--
		}
	}
	for _, r := range requests {
		endpoints := ""
		for _, a := range r.PossiblyExecuted() {
			endpoints += " " + a.Endpoint
		}
		verdicts = append(verdicts, fmt.Sprintf("%d %s%s", r.Number, r.Verdict().Name(), endpoints))
	}
	if index.OpenRequests() != 0 {
		t.Errorf("%d requests are open after the end of the log, want none", index.OpenRequests())
	}
	return verdicts, losses
}

// Each request gets the verdict that the records of the scenario prove, with the endpoints at which it may have run.
func TestRecordsDetermineVerdictsAndLosses(t *testing.T) {
	for name, c := range map[string]struct {
		running  bool
		scenario string
		want     string
		losses   int
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
		"process killed at each step of a request": {false, `
			taken 1
			taken 2
			intent 2 1 n1
			taken 3
			intent 3 1 n1
			outcome 3 1 ok
			taken 4
			intent 4 1 n1
			outcome 4 1 never`, "1 never_ran, 2 may_have_run n1, 3 ran n1, 4 never_ran", 0},
		"process still running at each step of a request": {true, `
			taken 1
			taken 2
			intent 2 1 n1
			taken 3
			intent 3 1 n1
			final 3 gone`, "1 open, 2 open n1, 3 open n1", 0},
		"losing hedged attempt ends after the final record": {false, `
			taken 1
			intent 1 1 n1
			intent 1 2 n2
			outcome 1 2 ok
			final 1 served
			outcome 1 1 cancelled`, "1 served n1 n2", 0},
		"attempt abandoned before its intent is recorded": {false, `
			taken 1
			outcome 1 1 never
			final 1 failed`, "1 never_ran", 0},
		"request rejected although an attempt may have run": {false, `
			taken 1
			intent 1 1 n1
			outcome 1 1 timeout
			final 1 refused`, "1 may_have_run n1", 0},
		"durable record is missing": {false, `
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
		"first record of a request is missing": {false, `
			skip
			intent 1 1 n1
			safe
			final 1 failed`, "1 may_have_run n1", 1},
		"records missing within the torn end": {false, `
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
		"request without a final record past its deadline": {false, `
			taken 1
			intent 1 1 n1
			wait 60s
			taken 2
			final 2 refused`, "1 may_have_run n1, 2 refused", 0},
		"two processes use the same request numbers": {false, `
			taken 1
			intent 1 1 n1
			process
			taken 1
			final 1 refused
			closed`, "1 may_have_run n1, 1 refused", 0},
		"last record of a process is missing": {false, `
			taken 1
			skip
			process
			taken 1
			final 1 refused`, "1 unclear, 1 refused", 1},
		"requests served without records": {false, `
			missed 3`, "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			verdicts, losses := replayScenario(t, c.running, c.scenario)
			if got := strings.Join(verdicts, ", "); got != c.want || len(losses) != c.losses {
				t.Errorf("verdicts %s, %d losses %+v\nwant verdicts %s, %d losses", got, len(losses), losses, c.want, c.losses)
			}
		})
	}
}

// After a change of the wall clock, times follow the new setting. The text of a request names its class, tenant and key, the
// endpoint and time of the attempt, and the missing responses.
func TestTextShowsTimesAfterClockShiftAndMissingResponses(t *testing.T) {
	var request *Request
	index := NewIndex(func(r *Request) { request = r }, nil)
	index.BeginSegment(&segment.Header{Process: 1, FirstSeq: 1, StartedAt: time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC).UnixMicro(), Host: "centro-1"})
	index.AddRecord(1, &segment.Record{Kind: segment.Received, At: time.Second, Request: 1, ID: "r1", Class: "reserva", Tenant: "escuela-7", Key: "seat-1", TimeLeft: 5 * time.Second})
	index.AddRecord(2, &segment.Record{Kind: segment.ClockShift, At: 2 * time.Second, WallTime: time.Date(2026, 3, 2, 9, 0, 2, 0, time.UTC).UnixMicro()})
	index.AddRecord(3, &segment.Record{Kind: segment.Intent, At: 3 * time.Second, Request: 1, Attempt: 1, Endpoint: "portal-1", Cluster: "portal", Zone: "sala-centro", Cell: 2})
	index.Finish(false)
	text := strings.ReplaceAll(request.Text(), time.Local.String(), "UTC")
	for _, want := range []string{"r1: MAY HAVE RUN", `reserva, tenant "escuela-7", key "seat-1"`, "portal-1 (cluster portal, zone sala-centro, cell 2)",
		request.Incarnation.Time(3 * time.Second).Format(timeLayout), "no answer seen", "no answer to the caller is recorded", "was set"} {
		if !strings.Contains(text, want) {
			t.Errorf("text lacks %q:\n%s", want, text)
		}
	}
	if at := request.Incarnation.Time(3 * time.Second).UTC(); at.Hour() != 9 || request.Incarnation.Time(time.Second).UTC().Hour() != 8 {
		t.Errorf("time after the clock shift is %v; want hour 9 after the shift and hour 8 before", at)
	}
}
