package accounting

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// Messages between the ends come late or never, callers go, the session breaks, and the ends ask each other: whatever
// happens, a crossing of which the sending end knows that it did not run did not and will not, and when all is settled
// both ends count the same.
func TestBothEndsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		out, in := NewSender(), NewReceiver(rapid.IntRange(3, 64).Draw(t, "room"))
		kinds := []Kind{{"reserva", "a", Shed}, {"consulta", "a", Failed}, {"consulta", "b", KeyOwned}}
		type message struct {
			number uint64
			kind   Kind
		}
		var way []message               // sent, not arrived
		work := map[uint64]bool{}       // in work at the receiving end
		ran := map[uint64]bool{}        // that have run
		told := map[uint64]Outcome{}    // what the sending end knows
		answers := map[uint64]Outcome{} // on their way back
		pick := func(m map[uint64]bool) (uint64, bool) {
			for n := uint64(1); n <= out.Sent(); n++ {
				if m[n] {
					return n, true
				}
			}
			return 0, false
		}
		ask := func() {
			for _, n := range out.Unsettled(100) {
				if o := in.OutcomeOf(n); o != Pending {
					out.Resolve(n, o)
					told[n] = o
				}
			}
			in.Forget(out.SettledTo())
		}
		deliver := func(m message) {
			switch err := in.Receive(m.number, m.kind); {
			case err == nil:
				work[m.number], ran[m.number] = true, true
			case errors.Is(err, ErrFull): // answered at once: nothing ran
				answers[m.number] = NeverRan
			}
			if told[m.number].ProvesNothingRan() && ran[m.number] {
				t.Fatalf("%d has run after it was told %v", m.number, told[m.number])
			}
		}
		end := func(n uint64) {
			delete(work, n)
			o := rapid.SampledFrom([]Outcome{Served, MayHaveRun}).Draw(t, "outcome")
			in.Resolve(n, o)
			answers[n] = o
		}
		full := false // a crossing that was turned away unseen stands at one end alone
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				k := rapid.SampledFrom(kinds).Draw(t, "kind")
				way = append(way, message{out.Send(k), k})
			case 2:
				if len(way) > 0 {
					i := rapid.IntRange(0, len(way)-1).Draw(t, "which")
					m := way[i]
					way = append(way[:i], way[i+1:]...)
					deliver(m)
					if rapid.Bool().Draw(t, "twice") {
						before := in.ArrivalCount()
						in.Receive(m.number, m.kind)
						if in.ArrivalCount() != before && answers[m.number] != NeverRan {
							t.Fatal("taken twice")
						}
					}
				}
			case 3:
				if n, ok := pick(work); ok {
					end(n)
				}
			case 4: // an answer arrives
				for n := uint64(1); n <= out.Sent(); n++ {
					o, is := answers[n]
					if !is {
						continue
					}
					delete(answers, n)
					if _, known := told[n]; !known {
						out.Resolve(n, o)
						told[n] = o
						full = full || o == NeverRan
					}
					break
				}
			case 5: // a caller goes
				if n := out.Sent(); n > 0 {
					out.Abandon(uint64(rapid.IntRange(1, int(n)).Draw(t, "gone")))
				}
			case 6:
				ask()
			}
		}
		// The session breaks: what is on its way either came or never does, what is in work ends, and all is settled.
		if rapid.Bool().Draw(t, "arrive") {
			for _, m := range way {
				deliver(m)
			}
		}
		in.Close()
		for n, ok := pick(work); ok; n, ok = pick(work) {
			end(n)
		}
		for n := uint64(1); n <= out.Sent(); n++ {
			out.Abandon(n)
		}
		ask()
		if out.Pending() != 0 {
			t.Fatalf("%d have no known end after the session was settled", out.Pending())
		}
		for n := uint64(1); n <= out.Sent(); n++ {
			if o := told[n]; ran[n] == o.ProvesNothingRan() {
				t.Fatalf("%d: ran %v, told %v", n, ran[n], o)
			}
		}
		if d := Reconcile(out.Counters(), in.Counters()); len(d) > 0 && !full {
			t.Fatalf("the ends differ: %+v", d)
		}
	})
}

// Kinds beyond the bound are counted together and not lost, and a difference between the ends is named.
func TestManyKinds(t *testing.T) {
	out, in := NewSender(), NewReceiver(1<<20)
	const n = 3 * maxKinds
	for i := range n {
		k := Kind{Class: "c", Tenant: string(rune('0'+i%10)) + string(rune(0x100+i)), Reason: Shed}
		number := out.Send(k)
		if err := in.Receive(number, k); err != nil {
			t.Fatal(err)
		}
		in.Resolve(number, Served)
		if i != 7 {
			out.Resolve(number, Served)
		}
	}
	if len(out.Counters()) > maxKinds+2 {
		t.Errorf("%d kinds", len(out.Counters()))
	}
	var sum uint64
	for _, s := range Merge(out.Counters(), out.Counters()) {
		sum += s.Count
	}
	if sum != 2*n || out.SettledTo() != 7 {
		t.Errorf("%d counted, done to %d", sum, out.SettledTo())
	}
	if d := Reconcile(out.Counters(), in.Counters()); len(d) != 2 || d[0].Outcome != Pending || d[0].Sent != 1 || d[1].Received != 1 {
		t.Errorf("differences: %+v", d)
	}
}
