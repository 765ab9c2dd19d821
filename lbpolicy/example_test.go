package lbpolicy_test

import (
	"fmt"
	"time"

	"silvertrail/lbpolicy"
)

// printer is a Host that prints the balancer's actions.
type printer struct{}

func (printer) Send(id lbpolicy.RequestID, s lbpolicy.ServerID) { fmt.Println("send", id, "to", s) }
func (printer) Reject(id lbpolicy.RequestID, _ time.Duration)   { fmt.Println("refuse", id) }
func (printer) Fail(id lbpolicy.RequestID)                      { fmt.Println("fail", id) }
func (printer) Cancel(id lbpolicy.RequestID, n int)             { fmt.Println("cancel", id, n) }
func (printer) Watch()                                          {}
func (printer) CloseIdle(lbpolicy.ServerID)                     {}
func (printer) SetTimer(time.Duration, uint64)                  {}
func (printer) Log(string)                                      {}
func (printer) LogServer(lbpolicy.ServerID, string)             {}
func (printer) ServerProgress(lbpolicy.ServerID) lbpolicy.ServerProgress {
	return lbpolicy.ServerProgress{}
}
func (printer) WaitingSince(lbpolicy.RequestID, int) time.Duration { return 0 }
func (printer) ResponseProgress(lbpolicy.RequestID, int) lbpolicy.ResponseProgress {
	return lbpolicy.ResponseAwaited
}
func (printer) RecordHedge(lbpolicy.Hedge) {}

func Example() {
	settings := lbpolicy.Settings{
		Balancers:   1,
		MaxAttempts: 2,
		Classes:     []lbpolicy.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Effect: lbpolicy.NonIdempotent}},
	}
	b, err := lbpolicy.New(settings, 42, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	b.Request(now, lbpolicy.Request{ID: 1, TimeLeft: 2 * time.Second}) // no server is known yet
	b.UpdateEndpoints(now, lbpolicy.Full, []lbpolicy.Server{{ID: 7, State: lbpolicy.Ready}})
	b.Request(now, lbpolicy.Request{ID: 2, TimeLeft: 2 * time.Second})
	b.Outcome(now+30*time.Millisecond, lbpolicy.Outcome{ID: 2, Server: 7, Latency: 30 * time.Millisecond, Final: true})
	b.Request(now, lbpolicy.Request{ID: 3, TimeLeft: 2 * time.Second})
	b.Outcome(now+time.Second, lbpolicy.Outcome{ID: 3, Server: 7, Verdict: lbpolicy.Reset, Latency: time.Second})
	// Output:
	// refuse 1
	// send 2 to 7
	// send 3 to 7
	// fail 3
}
