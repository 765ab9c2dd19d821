package accounting

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// TestSenderAndReceiverAgreeAfterSettling delays, loses and repeats messages, disconnects clients and breaks the session. A
// request that the sending end knows as not run must not have run and must not run later. Once all requests are settled,
// both ends must have the same counters, unless the receiver was full.
func TestSenderAndReceiverAgreeAfterSettling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := NewSender(), NewReceiver(rapid.IntRange(3, 64).Draw(t, "max remembered"))
		kinds := []Kind{{"reserva", "a", Shed}, {"consulta", "a", Failed}, {"consulta", "b", KeyOwned}}
		type message struct {
			number uint64
			kind   Kind
		}
		var inTransit []message       // sent and not arrived
		inFlight := map[uint64]bool{} // at the receiving end
		ran := map[uint64]bool{}
		outcomes := map[uint64]Outcome{}  // known to the sending end
		responses := map[uint64]Outcome{} // not yet arrived at the sending end
		oldest := func(m map[uint64]bool) (uint64, bool) {
			for n := uint64(1); n <= sender.Sent(); n++ {
				if m[n] {
					return n, true
				}
			}
			return 0, false
		}
		settle := func() {
			for _, n := range sender.Unsettled(100) {
				if o := receiver.OutcomeOf(n); o != Pending {
					sender.Resolve(n, o)
					outcomes[n] = o
				}
			}
			receiver.Forget(sender.SettledTo())
		}
		deliver := func(m message) {
			switch err := receiver.Receive(m.number, m.kind); {
			case err == nil:
				inFlight[m.number], ran[m.number] = true, true
			case errors.Is(err, ErrFull): // rejected on arrival, so it did not run
				responses[m.number] = NeverRan
			}
			if outcomes[m.number].ProvesNothingRan() && ran[m.number] {
				t.Fatalf("request %d has run after it was reported as %v", m.number, outcomes[m.number])
			}
		}
		end := func(n uint64) {
			delete(inFlight, n)
			o := rapid.SampledFrom([]Outcome{Served, MayHaveRun}).Draw(t, "outcome")
			receiver.Resolve(n, o)
			responses[n] = o
		}
		// A request that a full receiver rejected is counted by the sending end alone.
		full := false
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				k := rapid.SampledFrom(kinds).Draw(t, "kind")
				inTransit = append(inTransit, message{sender.Send(k), k})
			case 2:
				if len(inTransit) > 0 {
					i := rapid.IntRange(0, len(inTransit)-1).Draw(t, "which")
					m := inTransit[i]
					inTransit = append(inTransit[:i], inTransit[i+1:]...)
					deliver(m)
					if rapid.Bool().Draw(t, "twice") {
						before := receiver.ArrivalCount()
						receiver.Receive(m.number, m.kind)
						if receiver.ArrivalCount() != before && responses[m.number] != NeverRan {
							t.Fatal("repeated request was received a second time")
						}
					}
				}
			case 3:
				if n, ok := oldest(inFlight); ok {
					end(n)
				}
			case 4: // a response arrives
				for n := uint64(1); n <= sender.Sent(); n++ {
					o, responded := responses[n]
					if !responded {
						continue
					}
					delete(responses, n)
					if _, known := outcomes[n]; !known {
						sender.Resolve(n, o)
						outcomes[n] = o
						full = full || o == NeverRan
					}
					break
				}
			case 5: // a client disconnects
				if n := sender.Sent(); n > 0 {
					sender.Abandon(uint64(rapid.IntRange(1, int(n)).Draw(t, "abandoned")))
				}
			case 6:
				settle()
			}
		}
		// The session breaks: requests in transit all arrive or all get lost. Then requests in flight end, and all are settled.
		if rapid.Bool().Draw(t, "arrive") {
			for _, m := range inTransit {
				deliver(m)
			}
		}
		receiver.Close()
		for n, ok := oldest(inFlight); ok; n, ok = oldest(inFlight) {
			end(n)
		}
		for n := uint64(1); n <= sender.Sent(); n++ {
			sender.Abandon(n)
		}
		settle()
		if sender.Pending() != 0 {
			t.Fatalf("%d requests have no known outcome after the session was settled", sender.Pending())
		}
		for n := uint64(1); n <= sender.Sent(); n++ {
			if o := outcomes[n]; ran[n] == o.ProvesNothingRan() {
				t.Fatalf("request %d: ran %v, reported as %v", n, ran[n], o)
			}
		}
		if d := Reconcile(sender.Counters(), receiver.Counters()); len(d) > 0 && !full {
			t.Fatalf("counters of the two ends differ: %+v", d)
		}
	})
}

// TestKindsBeyondMaximumAreCounted counts requests of more kinds than are counted separately. No request must be lost, and
// a difference between the two ends must be found.
func TestKindsBeyondMaximumAreCounted(t *testing.T) {
	sender, receiver := NewSender(), NewReceiver(1<<20)
	const n = 3 * maxKinds
	for i := range n {
		k := Kind{Class: "c", Tenant: string(rune('0'+i%10)) + string(rune(0x100+i)), Reason: Shed}
		number := sender.Send(k)
		if err := receiver.Receive(number, k); err != nil {
			t.Fatal(err)
		}
		receiver.Resolve(number, Served)
		if i != 7 {
			sender.Resolve(number, Served)
		}
	}
	if len(sender.Counters()) > maxKinds+2 {
		t.Errorf("%d counters, want at most maxKinds + 2", len(sender.Counters()))
	}
	var sum uint64
	for _, s := range Merge(sender.Counters(), sender.Counters()) {
		sum += s.Count
	}
	if sum != 2*n || sender.SettledTo() != 7 {
		t.Errorf("%d requests counted and settled to %d, want each request once and settled to 7", sum, sender.SettledTo())
	}
	if d := Reconcile(sender.Counters(), receiver.Counters()); len(d) != 2 || d[0].Outcome != Pending || d[0].Sent != 1 || d[1].Received != 1 {
		t.Errorf("want one pending request at the sender and one served request at the receiver, found differences: %+v", d)
	}
}
