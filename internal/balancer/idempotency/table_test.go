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
	t0        = time.Unix(1_800_000_000, 0)
	zoneTerms = Terms{Scope: lbpolicy.ScopeZone, Window: 8 * time.Second, Retention: 4 * time.Second}
	north     = Place{Cluster: "c", Zone: "north", Cell: 1}
	south     = Place{Cluster: "c", Zone: "south", Cell: 2}
)

func begin(t *testing.T, table *Table, now time.Time, key string) *Request {
	t.Helper()
	r, err := table.Begin(now, KeyIDOf("t", key), Fingerprint{})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func send(t *testing.T, r *Request, now time.Time, place Place) *Attempt {
	t.Helper()
	attempt, err := r.Reserve(now, place, zoneTerms)
	if err != nil {
		t.Fatal(err)
	}
	return attempt
}

// A key is reserved as soon as an attempt is sent, also for repeats that arrive while the first attempt runs or after its client has
// disconnected. Attempts stay in the zone until the retry window ends. The key is known until its retention ends, and then counts as
// new.
func TestKeyIsReservedRetainedAndExpired(t *testing.T) {
	table := New(4)
	at := func(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }
	first := begin(t, table, t0, "k")
	attempt := send(t, first, t0, north)
	first.End() // the client has disconnected, the attempt is still running
	repeat := begin(t, table, at(1), "k")
	if !repeat.InProgress {
		t.Error("InProgress = false while an attempt is in flight")
	}
	if _, err := repeat.Reserve(at(1), south, zoneTerms); !errors.Is(err, ErrHeldElsewhere) {
		t.Errorf("reserving the key in another zone while the first attempt runs: got %v, want ErrHeldElsewhere", err)
	}
	second := send(t, repeat, at(2), north)
	attempt.End(at(3), true) // never ran: the window counts from the second attempt
	second.End(at(3), false)
	repeat.End()
	if state := table.KeyState(at(9), KeyIDOf("t", "k"), lbpolicy.ScopeZone); !state.Known || state.Place != north || !state.RetryUntil.Equal(at(9)) {
		t.Errorf("key state after the attempts: %+v, want known in north until t0+9s", state)
	}
	late := begin(t, table, at(9), "k")
	if _, err := late.Reserve(at(9), north, zoneTerms); !errors.Is(err, ErrWindowOver) {
		t.Errorf("reserving the key at the end of the retry window: got %v, want ErrWindowOver", err)
	}
	late.End()
	if state := table.KeyState(at(13.9), KeyIDOf("t", "k"), lbpolicy.ScopeZone); !state.Known {
		t.Error("key unknown before the end of its retention")
	}
	again := begin(t, table, at(14), "k")
	send(t, again, at(14), south).End(at(14), true)
	again.End()
	if table.Len() != 0 {
		t.Errorf("%d keys stored after no attempt of the new request ran, want 0", table.Len())
	}
}

// A reload may change the scope with which a key is queried. It may also change the zone of an endpoint between the decision to send an
// attempt and its first byte, and the attempt must then not start in another group.
func TestReloadOfScopesAndZonesKeepsKeyState(t *testing.T) {
	table := New(4)
	r := begin(t, table, t0, "k")
	otherCell := Place{Cluster: "c", Zone: "north", Cell: 7}
	send(t, r, t0, north).End(t0, false)
	attempt := send(t, r, t0, otherCell)
	if attempt.MayStart(t0, south) {
		t.Error("MayStart = true for an endpoint that has moved out of the group")
	}
	if !attempt.MayStart(t0, otherCell) {
		t.Error("MayStart = false in the attempt's own group")
	}
	if attempt.MayStart(t0.Add(7*time.Second), otherCell) {
		t.Error("MayStart = true after the end of the retry window")
	}
	attempt.End(t0, false)
	if state := r.KeyState(lbpolicy.ScopeZone); state.SeveralGroups || !state.Allows(otherCell, lbpolicy.ScopeZone) {
		t.Errorf("ScopeZone: got %+v, want one group", state)
	}
	if state := r.KeyState(lbpolicy.ScopeCell); !state.SeveralGroups || state.Allows(north, lbpolicy.ScopeCell) {
		t.Errorf("ScopeCell: got %+v, want several groups", state)
	}
	if state := r.KeyState(lbpolicy.ScopeAll); !state.Allows(south, lbpolicy.ScopeAll) || state.Allows(Place{Cluster: "d"}, lbpolicy.ScopeAll) {
		t.Errorf("ScopeAll: got %+v, want all endpoints of the cluster allowed and no others", state)
	}
}

func TestReusedKeysAndKeysOverMaximumAreRejected(t *testing.T) {
	table := New(2)
	fingerprint, otherFingerprint := FingerprintOf("POST", "/a", []byte("x")), FingerprintOf("POST", "/a", []byte("y"))
	r, err := table.Begin(t0, KeyIDOf("t", "k"), fingerprint)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := table.Begin(t0, KeyIDOf("t", "k"), otherFingerprint); !errors.Is(err, ErrKeyReused) {
		t.Errorf("key with another body: got %v, want ErrKeyReused", err)
	}
	if sameRequest, err := table.Begin(t0, KeyIDOf("t", "k"), fingerprint); err != nil {
		t.Errorf("key with the same request: %v", err)
	} else {
		sameRequest.End()
	}
	r.End() // nothing was sent: the key is free
	if r, err = table.Begin(t0, KeyIDOf("t", "k"), otherFingerprint); err != nil {
		t.Errorf("key after a request that never ran: %v", err)
	}
	send(t, r, t0, north).End(t0, false)
	r.End()
	send(t, begin(t, table, t0, "l"), t0, north)
	for _, now := range []time.Time{t0, t0.Add(11 * time.Second)} {
		if _, err := table.Begin(now, KeyIDOf("t", "m"), fingerprint); !errors.Is(err, ErrTooManyKeys) {
			t.Errorf("third key in a table of two: got %v, want ErrTooManyKeys", err)
		}
	}
	if KeyIDOf("ab", "c") == KeyIDOf("a", "bc") {
		t.Error("KeyIDOf does not separate tenant and key")
	}
	begin(t, table, t0.Add(12*time.Second), "m") // one key has expired, the attempt of the other is still in flight
	if table.Len() != 2 {
		t.Errorf("%d keys stored, want 2", table.Len())
	}
}

// Compares the table with a plain model: a list of all attempts that were sent. For any order of calls, no key runs in two groups before
// it expires, and no attempt is sent after the end of the retry window. An attempt that never ran reserves nothing.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type sentAttempt struct {
			*Attempt
			key                 string
			place               Place
			sentAt              time.Time
			inFlight, isIgnored bool // ignored: it never ran, or its key has expired
		}
		table := New(rapid.IntRange(2, 6).Draw(t, "max"))
		now := t0
		var openRequests []*Request
		var openKeys []string
		var sentAttempts []*sentAttempt
		scope := rapid.SampledFrom([]lbpolicy.Scope{lbpolicy.ScopeAll, lbpolicy.ScopeZone, lbpolicy.ScopeCell}).Draw(t, "scope")
		terms := Terms{Scope: scope, Window: 8 * time.Second, Retention: 4 * time.Second}
		relevantAttempts := func(key string) (attempts []*sentAttempt) { // the attempts that the state of a key depends on now
			var expiresAt time.Time
			inUse := false
			for _, sent := range sentAttempts {
				if sent.key == key && !sent.isIgnored {
					attempts = append(attempts, sent)
					inUse = inUse || sent.inFlight
					if end := sent.sentAt.Add(terms.Window + terms.Retention); end.After(expiresAt) {
						expiresAt = end
					}
				}
			}
			for i := range openRequests {
				inUse = inUse || openKeys[i] == key
			}
			if !inUse && !now.Before(expiresAt) {
				for _, sent := range attempts {
					sent.isIgnored = true
				}
				return nil
			}
			return attempts
		}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			for _, k := range []string{"a", "b", "c", "d"} {
				relevantAttempts(k)
			}
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
				known := len(relevantAttempts(key)) > 0 || slices.Contains(openKeys, key)
				r, err := table.Begin(now, KeyIDOf("t", key), Fingerprint{})
				if err != nil {
					if known {
						t.Fatalf("known key rejected: %v", err)
					}
					continue
				}
				if state := r.KeyState(scope); state.Known != (len(relevantAttempts(key)) > 0) {
					t.Fatalf("key %s: state is %+v, the model has %d attempts", key, state, len(relevantAttempts(key)))
				}
				openRequests, openKeys = append(openRequests, r), append(openKeys, key)
			case 1, 2:
				if len(openRequests) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(openRequests)-1).Draw(t, "request")
				place := Place{Cluster: rapid.SampledFrom([]string{"c", "d"}).Draw(t, "cluster"),
					Zone: rapid.SampledFrom([]string{"n", "s"}).Draw(t, "zone"), Cell: rapid.IntRange(0, 1).Draw(t, "cell")}
				allowed := true
				for _, sent := range relevantAttempts(openKeys[i]) {
					allowed = allowed && sameGroup(sent.place, place, scope) && now.Before(sent.sentAt.Add(7*time.Second))
				}
				attempt, err := openRequests[i].Reserve(now, place, terms)
				if (err == nil) != allowed {
					t.Fatalf("reserving key %s for %v: error %v, the model allows it: %t", openKeys[i], place, err, allowed)
				}
				if err == nil {
					sentAttempts = append(sentAttempts, &sentAttempt{attempt, openKeys[i], place, now, true, false})
				}
			case 3:
				var attempts []*sentAttempt
				for _, sent := range sentAttempts {
					if sent.inFlight {
						attempts = append(attempts, sent)
					}
				}
				if len(attempts) == 0 {
					continue
				}
				sent := attempts[rapid.IntRange(0, len(attempts)-1).Draw(t, "try")]
				sent.inFlight = false
				sent.isIgnored = rapid.Bool().Draw(t, "never")
				sent.End(now, sent.isIgnored)
			case 4:
				if len(openRequests) > 0 {
					i := rapid.IntRange(0, len(openRequests)-1).Draw(t, "end")
					openRequests[i].End()
					openRequests, openKeys = slices.Delete(openRequests, i, i+1), slices.Delete(openKeys, i, i+1)
				}
			}
			if n := table.Len(); n > 6 {
				t.Fatalf("%d keys stored, want at most 6", n)
			}
		}
	})
}

// BenchmarkKeyed measures one request with a new key and one attempt, 300 µs after the previous one.
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
		attempt, _ := r.Reserve(now, north, zoneTerms)
		attempt.MayStart(now, north)
		attempt.End(now, false)
		r.End()
	}
	b.ReportMetric(float64(table.Len()), "keys")
}

// One connection with ever new keys fills the table, and the requests of all others are rejected.
func TestOwnerLeavesRoomForOthers(t *testing.T) {
	const maxKeys = 8
	table := New(maxKeys)
	var requests []*Request
	begin := func(owner Owner) error {
		request, err := table.BeginOwned(t0, KeyIDOf("t", fmt.Sprint(len(requests))), Fingerprint{}, owner)
		if err == nil {
			requests = append(requests, request)
		}
		return err
	}
	greedy, other := OwnerOf("192.0.2.1:1"), OwnerOf("192.0.2.1:2")
	for range maxKeys {
		_ = begin(greedy) // the later ones are rejected
	}
	if got := table.Len(); got != maxKeys/ownerDivider {
		t.Errorf("one owner has %d keys of %d", got, maxKeys)
	}
	for n := range maxKeys - maxKeys/ownerDivider - 1 {
		if err := begin(other); err != nil {
			t.Errorf("key %d of another owner: %v", n, err)
		}
	}
	if err := begin(NoOwner); err != nil {
		t.Errorf("a key of no owner: %v", err)
	}
	if err := begin(NoOwner); !errors.Is(err, ErrTooManyKeys) {
		t.Errorf("a key beyond the maximum: %v", err)
	}
	for _, request := range requests { // no attempt was sent
		request.End()
	}
	if err := begin(greedy); err != nil || len(table.owned) != 1 {
		t.Errorf("after all have ended: %v, %d owners", err, len(table.owned))
	}
}
