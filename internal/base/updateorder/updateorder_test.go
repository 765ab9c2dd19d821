package updateorder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const hold = 30 * time.Second

var t0 = time.Unix(1_800_000_000, 0)

func digest(n byte) Digest { return Digest{n} }

func say(t *testing.T, b *Orderer, at time.Duration, s Stream, version string, n byte, want Verdict) {
	t.Helper()
	if got := b.Receive(t0.Add(at), s, Update{"c", version, digest(n)}); got != want {
		t.Errorf("after %v stream %d says %q %d: %v, want %v", at, s, version, n, got, want)
	}
}

func inForce(t *testing.T, b *Orderer, n byte) {
	t.Helper()
	if _, d, _ := b.Current("c"); d != digest(n) {
		t.Errorf("%d is in force, want %d", d[0], n)
	}
}

// TestOneStream checks that within a stream the later update is newer, whatever its version and content.
func TestOneStream(t *testing.T) {
	b := New(hold)
	for i, n := range []byte{1, 2, 1, 3, 1, 0, 2} {
		say(t, b, time.Second, 7, fmt.Sprint(9-i), n, Apply)
		say(t, b, time.Second, 7, fmt.Sprint(9-i), n, Unchanged)
		inForce(t, b, n)
	}
}

// TestOlderAfterReconnect has a stream break and come back with an older version: the newer one stays, and an intended
// rollback takes effect when the hold time is over.
func TestOlderAfterReconnect(t *testing.T) {
	b := New(hold)
	say(t, b, 0, 1, "1", 1, Apply)
	say(t, b, 0, 1, "2", 2, Apply)
	b.StreamEnded(1)
	say(t, b, time.Second, 2, "1", 1, Defer)
	inForce(t, b, 2)
	say(t, b, 20*time.Second, 2, "1", 1, Defer) // says it again: that proves nothing
	if at := b.NextDue(); !at.Equal(t0.Add(time.Second + hold)) {
		t.Errorf("next %v", at)
	}
	if due := b.ApplyDue(t0.Add(30 * time.Second)); len(due) > 0 {
		t.Errorf("too soon: %v", due)
	}
	if due := b.ApplyDue(t0.Add(31 * time.Second)); len(due) != 1 || due[0] != (Update{"c", "1", digest(1)}) {
		t.Errorf("due %v", due)
	}
	inForce(t, b, 1)
	say(t, b, 32*time.Second, 3, "2", 2, Defer) // now that one is old
}

// TestServerCatchesUp has a server send several old states: each is deferred, and the last one is applied.
func TestServerCatchesUp(t *testing.T) {
	b := New(hold)
	for n := byte(1); n <= 4; n++ {
		say(t, b, 0, 1, fmt.Sprint(n), n, Apply)
	}
	for n := byte(1); n <= 3; n++ {
		say(t, b, time.Duration(n)*20*time.Second, 2, fmt.Sprint(n), n, Defer)
	}
	say(t, b, 65*time.Second, 2, "4", 4, Unchanged)
	if !b.NextDue().IsZero() {
		t.Error("something is still held")
	}
	say(t, b, 66*time.Second, 2, "3", 3, Apply) // after what is in force, on the same stream: meant
	say(t, b, 67*time.Second, 3, "5", 5, Apply) // never seen: newer, as far as anybody can tell
}

// TestVersions checks that other content under the same version is newer, and that a version that was replaced is old,
// whatever its content.
func TestVersions(t *testing.T) {
	b := New(hold)
	say(t, b, 0, 1, "1", 1, Apply)
	say(t, b, 0, 1, "2", 2, Apply)
	say(t, b, 0, 2, "2", 3, Apply)
	say(t, b, 0, 3, "1", 4, Defer)
	say(t, b, 0, 4, "", 5, Apply) // a server that tells no versions
	say(t, b, 0, 5, "", 6, Apply)
	inForce(t, b, 6)
}

// TestReinstatedContent replaces and reinstates a content: a stream that sends it may lag behind what came in between, which
// is not applied at once. A removal is.
func TestReinstatedContent(t *testing.T) {
	b := New(hold)
	for _, n := range []byte{1, 2, 1} {
		say(t, b, 0, 1, "", n, Apply)
	}
	say(t, b, time.Second, 2, "", 1, Unchanged)
	say(t, b, 2*time.Second, 2, "", 2, Defer)
	say(t, b, 3*time.Second, 2, "", 1, Unchanged)
	inForce(t, b, 1)
	say(t, b, 4*time.Second, 2, "", 0, Apply)
	say(t, b, 4*time.Second, 2, "", 1, Apply) // on the stream that has removed it
	say(t, b, 5*time.Second, 3, "", 1, Unchanged)
	say(t, b, 6*time.Second, 3, "", 2, Defer)
	say(t, b, 6*time.Second, 3, "", 3, Apply) // news are news
	say(t, b, 7*time.Second, 3, "", 2, Apply)
}

// TestRemoval checks that an old update does not undo a removal, that what never existed is not removed, and that a stream
// that has ended proves nothing.
func TestRemoval(t *testing.T) {
	b := New(hold)
	say(t, b, 0, 1, "", 0, Unchanged)
	say(t, b, 0, 1, "1", 1, Apply)
	say(t, b, 0, 1, "2", 0, Apply)
	say(t, b, time.Second, 2, "1", 1, Defer)
	inForce(t, b, 0)
	b.StreamEnded(2)
	if due := b.ApplyDue(t0.Add(time.Hour)); len(due) > 0 || !b.NextDue().IsZero() {
		t.Errorf("a stream that has ended proved %v", due)
	}
	say(t, b, time.Minute, 3, "1", 1, Defer) // the wait begins anew
	if due := b.ApplyDue(t0.Add(time.Minute + hold)); len(due) != 1 {
		t.Errorf("due %v", due)
	}
}

func TestBounds(t *testing.T) {
	b := New(hold)
	for i := range maxAbsent + 50 {
		name := fmt.Sprint(i)
		b.Receive(t0, 1, Update{name, "1", digest(1)})
		b.Receive(t0, 1, Update{name, "2", Absent})
	}
	if n := len(b.resources); n != maxAbsent {
		t.Errorf("%d resources are remembered", n)
	}
	for n := range 200 {
		b.Receive(t0, 1, Update{"c", fmt.Sprint(n), digest(byte(n + 1))})
	}
	if n := len(b.resources["c"].replaced); n != maxReplaced {
		t.Errorf("%d contents are remembered", n)
	}
}

// TestRules draws updates, streams, ends and waits and compares them with the rules: a content that was current and replaced
// comes back only on a stream that has sent the current content, or after the hold time on a live stream; any other content
// is applied; nothing else changes the current content.
func TestRules(t *testing.T) {
	d := rand.New(rand.NewPCG(9, 6))
	holds, rollbacks := 0, 0
	for round := range 500 {
		b := New(hold)
		now := t0
		current, was := byte(0), map[byte]bool{} // in force; replaced lately
		known := false
		speaker := Stream(0)         // that said or repeated what is in force
		back, unsure := false, false // what is in force came back; its speaker has only repeated that
		type standing struct {
			n     byte
			since time.Time
		}
		var stands *standing
		var from Stream
		stream := Stream(1)
		for step := range 14 { // fewer than what is remembered
			now = now.Add(time.Duration(d.IntN(45)) * time.Second)
			if stands != nil && now.Sub(stands.since) >= hold {
				b.ApplyDue(now)
				was[current], current, speaker, back, unsure = true, stands.n, from, true, false
				delete(was, current)
				stands, rollbacks = nil, rollbacks+1
			}
			if d.IntN(4) == 0 {
				b.StreamEnded(stream)
				stands = nil
				stream++
			}
			n := byte(d.IntN(6))
			got := b.Receive(now, stream, Update{"c", "", digest(n)})
			want := Apply
			switch {
			case !known && n == 0 || known && n == current:
				want = Unchanged
			case known && was[n] && (speaker != stream || unsure && n != 0):
				want = Defer
			}
			if got != want {
				t.Fatalf("round %d step %d: stream %d says %d: %v, want %v", round, step, stream, n, got, want)
			}
			switch {
			case want == Defer:
				holds++
				if stands == nil || stands.n != n || from != stream {
					stands, from = &standing{n, now}, stream
				}
			case want == Apply:
				if known {
					was[current] = true
				}
				back, unsure = was[n], false
				delete(was, n)
				current, speaker, known, stands = n, stream, true, nil
			case known:
				unsure = back && (speaker != stream || unsure)
				speaker, stands = stream, nil
			}
			if _, force, ok := b.Current("c"); ok && force != digest(current) {
				t.Fatalf("round %d step %d: %d is in force, want %d", round, step, force[0], current)
			}
		}
	}
	if holds < 300 || rollbacks < 30 {
		t.Errorf("the draw tests little: %d held, %d let through", holds, rollbacks)
	}
}
