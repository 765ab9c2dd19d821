package idempotency

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvertrail/lbpolicy"
)

var (
	t0    = time.Unix(1_800_000_000, 0)
	zone  = Terms{Scope: lbpolicy.ScopeZone, Window: 8 * time.Second, Retention: 4 * time.Second}
	north = Place{Cluster: "c", Zone: "north", Cell: 1}
	south = Place{Cluster: "c", Zone: "south", Cell: 2}
)

func begin(t *testing.T, table *Table, now time.Time, key string) *Request {
	t.Helper()
	r, err := table.Begin(now, KeyIDOf("t", key), Fingerprint{})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func send(t *testing.T, r *Request, now time.Time, to Place) *Attempt {
	t.Helper()
	try, err := r.Send(now, to, zone)
	if err != nil {
		t.Fatal(err)
	}
	return try
}

// One key's life: bound from the send on, also for repeats that come while the first try runs or after its caller has
// gone; kept in its zone to the end of the window; known for some time after that; then new.
func TestLife(t *testing.T) {
	table := New(4)
	at := func(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }
	first := begin(t, table, t0, "k")
	try := send(t, first, t0, north)
	first.End() // its caller has gone, the attempt runs on
	repeat := begin(t, table, at(1), "k")
	if !repeat.InProgress {
		t.Error("not told that an attempt is out")
	}
	if _, err := repeat.Send(at(1), south, zone); !errors.Is(err, ErrHeldElsewhere) {
		t.Errorf("to another zone while the first try runs: %v", err)
	}
	second := send(t, repeat, at(2), north)
	try.End(at(3), true) // never ran: the window counts from the second
	second.End(at(3), false)
	repeat.End()
	if p := table.KeyState(at(9), KeyIDOf("t", "k"), lbpolicy.ScopeZone); !p.Known || p.Place != north || !p.RetryUntil.Equal(at(9)) {
		t.Errorf("%+v", p)
	}
	late := begin(t, table, at(9), "k")
	if _, err := late.Send(at(9), north, zone); !errors.Is(err, ErrWindowOver) {
		t.Errorf("at the end of the window: %v", err)
	}
	late.End()
	if p := table.KeyState(at(13.9), KeyIDOf("t", "k"), lbpolicy.ScopeZone); !p.Known {
		t.Error("forgotten before its time")
	}
	again := begin(t, table, at(14), "k")
	send(t, again, at(14), south).End(at(14), true)
	again.End()
	if table.Len() != 0 {
		t.Errorf("%d keys are left where nothing ran", table.Len())
	}
}

// What a reload changes: the scope that a key is asked under, and an endpoint's zone between decision and first byte.
func TestScopesAndMoves(t *testing.T) {
	table := New(4)
	r := begin(t, table, t0, "k")
	otherCell := Place{Cluster: "c", Zone: "north", Cell: 7}
	send(t, r, t0, north).End(t0, false)
	try := send(t, r, t0, otherCell)
	if try.MayStart(t0, south) {
		t.Error("starts at an endpoint that has moved out of the group")
	}
	if !try.MayStart(t0, otherCell) {
		t.Error("does not start in its own group")
	}
	if try.MayStart(t0.Add(7*time.Second), otherCell) {
		t.Error("starts when its window is over")
	}
	try.End(t0, false)
	if p := r.KeyState(lbpolicy.ScopeZone); p.SeveralGroups || !p.Allows(otherCell, lbpolicy.ScopeZone) {
		t.Errorf("by zone: %+v", p)
	}
	if p := r.KeyState(lbpolicy.ScopeCell); !p.SeveralGroups || p.Allows(north, lbpolicy.ScopeCell) {
		t.Errorf("by cell it was in two groups: %+v", p)
	}
	if p := r.KeyState(lbpolicy.ScopeAll); !p.Allows(south, lbpolicy.ScopeAll) || p.Allows(Place{Cluster: "d"}, lbpolicy.ScopeAll) {
		t.Errorf("all endpoints are those of one cluster: %+v", p)
	}
}

func TestPrintsAndBound(t *testing.T) {
	table := New(2)
	one, other := FingerprintOf("POST", "/a", []byte("x")), FingerprintOf("POST", "/a", []byte("y"))
	r, err := table.Begin(t0, KeyIDOf("t", "k"), one)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := table.Begin(t0, KeyIDOf("t", "k"), other); !errors.Is(err, ErrKeyReused) {
		t.Errorf("another body: %v", err)
	}
	if same, err := table.Begin(t0, KeyIDOf("t", "k"), one); err != nil {
		t.Errorf("the same: %v", err)
	} else {
		same.End()
	}
	r.End() // nothing was sent: the key is free
	if r, err = table.Begin(t0, KeyIDOf("t", "k"), other); err != nil {
		t.Errorf("after a request that never ran: %v", err)
	}
	send(t, r, t0, north).End(t0, false)
	r.End()
	send(t, begin(t, table, t0, "l"), t0, north)
	for _, now := range []time.Time{t0, t0.Add(11 * time.Second)} {
		if _, err := table.Begin(now, KeyIDOf("t", "m"), one); !errors.Is(err, ErrTooManyKeys) {
			t.Errorf("over the bound: %v", err)
		}
	}
	if KeyIDOf("ab", "c") == KeyIDOf("a", "bc") {
		t.Error("tenants and keys run together")
	}
	begin(t, table, t0.Add(12*time.Second), "m") // one is over, the other's attempt is still out
	if table.Len() != 2 {
		t.Errorf("%d keys", table.Len())
	}
}

// Against a plain model: a list of all that was ever sent. Whatever comes in whatever order, no key has run in two groups
// within what it is remembered for, and none is sent when its window is over; what never ran binds nothing.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type tried struct {
			*Attempt
			key       string
			place     Place
			sent      time.Time
			out, none bool
		}
		table := New(rapid.IntRange(2, 6).Draw(t, "max"))
		now := t0
		var open []*Request
		var keys []string
		var tries []*tried
		scope := rapid.SampledFrom([]lbpolicy.Scope{lbpolicy.ScopeAll, lbpolicy.ScopeZone, lbpolicy.ScopeCell}).Draw(t, "scope")
		terms := Terms{Scope: scope, Window: 8 * time.Second, Retention: 4 * time.Second}
		alive := func(key string) (out []*tried) { // what counts of a key now
			var last time.Time
			busy := false
			for _, o := range tries {
				if o.key == key && !o.none {
					out = append(out, o)
					busy = busy || o.out
					if end := o.sent.Add(terms.Window + terms.Retention); end.After(last) {
						last = end
					}
				}
			}
			for i := range open {
				busy = busy || keys[i] == key
			}
			if !busy && !now.Before(last) {
				for _, o := range out {
					o.none = true // forgotten
				}
				return nil
			}
			return out
		}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			for _, k := range []string{"a", "b", "c", "d"} {
				alive(k)
			}
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
				known := len(alive(key)) > 0 || slices.Contains(keys, key)
				r, err := table.Begin(now, KeyIDOf("t", key), Fingerprint{})
				if err != nil {
					if known {
						t.Fatalf("a known key was turned away: %v", err)
					}
					continue
				}
				if p := r.KeyState(scope); p.Known != (len(alive(key)) > 0) {
					t.Fatalf("%s: %+v, and %d tries count", key, p, len(alive(key)))
				}
				open, keys = append(open, r), append(keys, key)
			case 1, 2:
				if len(open) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "request")
				to := Place{Cluster: rapid.SampledFrom([]string{"c", "d"}).Draw(t, "cluster"),
					Zone: rapid.SampledFrom([]string{"n", "s"}).Draw(t, "zone"), Cell: rapid.IntRange(0, 1).Draw(t, "cell")}
				may := true
				for _, o := range alive(keys[i]) {
					may = may && sameGroup(o.place, to, scope) && now.Before(o.sent.Add(7*time.Second))
				}
				try, err := open[i].Send(now, to, terms)
				if (err == nil) != may {
					t.Fatalf("%s to %v: %v, where the model says %t", keys[i], to, err, may)
				}
				if err == nil {
					tries = append(tries, &tried{try, keys[i], to, now, true, false})
				}
			case 3:
				var out []*tried
				for _, o := range tries {
					if o.out {
						out = append(out, o)
					}
				}
				if len(out) == 0 {
					continue
				}
				o := out[rapid.IntRange(0, len(out)-1).Draw(t, "try")]
				o.out = false
				o.none = rapid.Bool().Draw(t, "never")
				o.End(now, o.none)
			case 4:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "end")
					open[i].End()
					open, keys = slices.Delete(open, i, i+1), slices.Delete(keys, i, i+1)
				}
			}
			if n := table.Len(); n > 6 {
				t.Fatalf("%d keys", n)
			}
		}
	})
}

func BenchmarkKeyed(b *testing.B) {
	table := New(1 << 16)
	now := t0
	for i := 0; b.Loop(); i++ {
		now = now.Add(300 * time.Microsecond)
		r, err := table.Begin(now, KeyIDOf("colegio", fmt.Sprint("key-", i)), Fingerprint{})
		if err != nil {
			b.Fatal(err)
		}
		r.KeyState(lbpolicy.ScopeZone)
		try, _ := r.Send(now, north, zone)
		try.MayStart(now, north)
		try.End(now, false)
		r.End()
	}
	b.ReportMetric(float64(table.Len()), "keys")
}
