package decide_test

import (
	"fmt"
	"time"

	"silvertrail/decide"
)

// printer is a small host: it prints what the balancer decides.
type printer struct{}

func (printer) Send(id decide.RequestID, s decide.ServerID) { fmt.Println("send", id, "to", s) }
func (printer) Reject(id decide.RequestID, _ time.Duration) { fmt.Println("refuse", id) }
func (printer) Fail(id decide.RequestID)                    { fmt.Println("fail", id) }
func (printer) Cancel(id decide.RequestID, n int)           { fmt.Println("cancel", id, n) }
func (printer) Watch()                                      {}
func (printer) CloseIdle(decide.ServerID)                   {}
func (printer) SetTimer(time.Duration, uint64)              {}
func (printer) Log(string)                                  {}

func Example() {
	settings := decide.Settings{
		Balancers:   1,
		MaxAttempts: 2,
		Classes:     []decide.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Effect: decide.NonIdempotent}},
	}
	b, err := decide.New(settings, 42, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	b.Request(now, decide.Request{ID: 1, TimeLeft: 2 * time.Second}) // no server is known yet
	b.UpdateEndpoints(now, decide.Full, []decide.Server{{ID: 7, State: decide.Ready}})
	b.Request(now, decide.Request{ID: 2, TimeLeft: 2 * time.Second})
	b.Outcome(now+30*time.Millisecond, decide.Outcome{ID: 2, Server: 7, Latency: 30 * time.Millisecond, Final: true})
	b.Request(now, decide.Request{ID: 3, TimeLeft: 2 * time.Second})
	b.Outcome(now+time.Second, decide.Outcome{ID: 3, Server: 7, Verdict: decide.Reset, Latency: time.Second})
	// Output:
	// refuse 1
	// send 2 to 7
	// send 3 to 7
	// fail 3
}
