package accounting

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// TestSenderAndReceiverAgree delays and loses messages, lets clients leave and breaks the session. A request that the sending
// end knows as not run did not run and will not, and once all is settled both ends count the same.
func TestSenderAndReceiverAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := NewSender(), NewReceiver(rapid.IntRange(3, 64).Draw(t, "max remembered"))
		kinds := []Kind{{"reserva", "a", Shed}, {"consulta", "a", Failed}, {"consulta", "b", KeyOwned}}
		type message struct {
			number uint64
			kind   Kind
		}
		var inTransit []message       // sent, not arrived
		inFlight := map[uint64]bool{} // at the receiving end
		ran := map[uint64]bool{}
		outcomes := map[uint64]Outcome{}  // what the sending end knows
		responses := map[uint64]Outcome{} // not arrived at the sending end
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
			case errors.Is(err, ErrFull): // rejected at once: nothing ran
				responses[m.number] = NeverRan
			}
			if outcomes[m.number].ProvesNothingRan() && ran[m.number] {
				t.Fatalf("%d has run after it was reported as %v", m.number, outcomes[m.number])
			}
		}
		end := func(n uint64) {
			delete(inFlight, n)
			o := rapid.SampledFrom([]Outcome{Served, MayHaveRun}).Draw(t, "outcome")
			receiver.Resolve(n, o)
			responses[n] = o
		}
		full := false // a request that a full receiver rejected is counted by the sending end alone
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
							t.Fatal("received twice")
						}
					}
				}
			case 3:
				if n, ok := oldest(inFlight); ok {
					end(n)
				}
			case 4: // a response arrives
				for n := uint64(1); n <= sender.Sent(); n++ {
					o, is := responses[n]
					if !is {
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
			case 5: // a client leaves
				if n := sender.Sent(); n > 0 {
					sender.Abandon(uint64(rapid.IntRange(1, int(n)).Draw(t, "abandoned")))
				}
			case 6:
				settle()
			}
		}
		// The session breaks: what is in transit arrives or never does, what is in flight ends, and all is settled.
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
			t.Fatalf("%d have no known outcome after the session was settled", sender.Pending())
		}
		for n := uint64(1); n <= sender.Sent(); n++ {
			if o := outcomes[n]; ran[n] == o.ProvesNothingRan() {
				t.Fatalf("%d: ran %v, reported %v", n, ran[n], o)
			}
		}
		if d := Reconcile(sender.Counters(), receiver.Counters()); len(d) > 0 && !full {
			t.Fatalf("the ends differ: %+v", d)
		}
	})
}

// TestManyKinds counts more kinds than are counted separately: none is lost, and a difference between the ends is found.
func TestManyKinds(t *testing.T) {
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
		t.Errorf("%d kinds", len(sender.Counters()))
	}
	var sum uint64
	for _, s := range Merge(sender.Counters(), sender.Counters()) {
		sum += s.Count
	}
	if sum != 2*n || sender.SettledTo() != 7 {
		t.Errorf("%d counted, done to %d", sum, sender.SettledTo())
	}
	if d := Reconcile(sender.Counters(), receiver.Counters()); len(d) != 2 || d[0].Outcome != Pending || d[0].Sent != 1 || d[1].Received != 1 {
		t.Errorf("differences: %+v", d)
	}
}
