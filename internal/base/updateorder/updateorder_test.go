package updateorder

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const holdTime = 30 * time.Second

var t0 = time.Unix(1_800_000_000, 0)

// digest returns a distinct digest for each n. Zero gives Absent.
func digest(n byte) Digest { return Digest{n} }

// expectVerdict has stream s send content n of the resource "c" and checks the verdict.
func expectVerdict(t *testing.T, orderer *Orderer, at time.Duration, s Stream, version string, n byte, want Verdict) {
	t.Helper()
	if got := orderer.Receive(t0.Add(at), s, Update{"c", version, digest(n)}); got != want {
		t.Errorf("after %v stream %d sends version %q, content %d: verdict %v, want %v", at, s, version, n, got, want)
	}
}

// expectCurrent checks that content n of the resource "c" is current.
func expectCurrent(t *testing.T, orderer *Orderer, n byte) {
	t.Helper()
	if _, d, _ := orderer.Current("c"); d != digest(n) {
		t.Errorf("current content is %d, want %d", d[0], n)
	}
}

// TestLaterUpdateOnSameStreamIsApplied checks that within a stream the later update is newer, whatever its version and content.
func TestLaterUpdateOnSameStreamIsApplied(t *testing.T) {
	orderer := New(holdTime)
	for i, n := range []byte{1, 2, 1, 3, 1, 0, 2} {
		expectVerdict(t, orderer, time.Second, 7, fmt.Sprint(9-i), n, Apply)
		expectVerdict(t, orderer, time.Second, 7, fmt.Sprint(9-i), n, Unchanged)
		expectCurrent(t, orderer, n)
	}
}

// TestOlderVersionAfterReconnectIsDeferred checks a stream that reconnects to a server with an older version. The newer version
// stays current, and an intended rollback takes effect when the hold time is over.
func TestOlderVersionAfterReconnectIsDeferred(t *testing.T) {
	orderer := New(holdTime)
	expectVerdict(t, orderer, 0, 1, "1", 1, Apply)
	expectVerdict(t, orderer, 0, 1, "2", 2, Apply)
	orderer.EndStream(1)
	expectVerdict(t, orderer, time.Second, 2, "1", 1, Defer)
	expectCurrent(t, orderer, 2)
	expectVerdict(t, orderer, 20*time.Second, 2, "1", 1, Defer) // a repetition neither confirms the update nor restarts the hold time
	if at := orderer.NextDue(); !at.Equal(t0.Add(time.Second + holdTime)) {
		t.Errorf("NextDue = %v, want the time of the first update plus the hold time", at)
	}
	if due := orderer.ApplyDue(t0.Add(30 * time.Second)); len(due) > 0 {
		t.Errorf("updates applied before the hold time was over: %v", due)
	}
	if due := orderer.ApplyDue(t0.Add(31 * time.Second)); len(due) != 1 || due[0] != (Update{"c", "1", digest(1)}) {
		t.Errorf("updates applied after the hold time: %v, want version 1 alone", due)
	}
	expectCurrent(t, orderer, 1)
	expectVerdict(t, orderer, 32*time.Second, 3, "2", 2, Defer) // the rollback has replaced version 2
}

// TestUpdatesOfLaggingServerAreDeferred checks a server that sends several outdated contents while it catches up. Each is deferred
// until the server sends the current content.
func TestUpdatesOfLaggingServerAreDeferred(t *testing.T) {
	orderer := New(holdTime)
	for n := byte(1); n <= 4; n++ {
		expectVerdict(t, orderer, 0, 1, fmt.Sprint(n), n, Apply)
	}
	for n := byte(1); n <= 3; n++ {
		expectVerdict(t, orderer, time.Duration(n)*20*time.Second, 2, fmt.Sprint(n), n, Defer)
	}
	expectVerdict(t, orderer, 65*time.Second, 2, "4", 4, Unchanged)
	if !orderer.NextDue().IsZero() {
		t.Error("an update is still deferred after its server has sent the current content")
	}
	expectVerdict(t, orderer, 66*time.Second, 2, "3", 3, Apply) // confirmed: sent after the current content on the same stream
	expectVerdict(t, orderer, 67*time.Second, 3, "5", 5, Apply) // newer: a content never seen before
}

// TestReplacedVersionIsDeferred checks that different content under the current version is newer, and that a replaced version is
// outdated, whatever its content.
func TestReplacedVersionIsDeferred(t *testing.T) {
	orderer := New(holdTime)
	expectVerdict(t, orderer, 0, 1, "1", 1, Apply)
	expectVerdict(t, orderer, 0, 1, "2", 2, Apply)
	expectVerdict(t, orderer, 0, 2, "2", 3, Apply)
	expectVerdict(t, orderer, 0, 3, "1", 4, Defer)
	expectVerdict(t, orderer, 0, 4, "", 5, Apply) // a server that sends no versions
	expectVerdict(t, orderer, 0, 5, "", 6, Apply)
	expectCurrent(t, orderer, 6)
}

// TestStreamWithReinstatedContentIsAmbiguous replaces and reinstates a content. Another stream that sends it may have yet to send
// the content in between. That content is deferred, but a removal that was never received before is applied at once.
func TestStreamWithReinstatedContentIsAmbiguous(t *testing.T) {
	orderer := New(holdTime)
	for _, n := range []byte{1, 2, 1} {
		expectVerdict(t, orderer, 0, 1, "", n, Apply)
	}
	expectVerdict(t, orderer, time.Second, 2, "", 1, Unchanged)
	expectVerdict(t, orderer, 2*time.Second, 2, "", 2, Defer)
	expectVerdict(t, orderer, 3*time.Second, 2, "", 1, Unchanged)
	expectCurrent(t, orderer, 1)
	expectVerdict(t, orderer, 4*time.Second, 2, "", 0, Apply)
	expectVerdict(t, orderer, 4*time.Second, 2, "", 1, Apply) // sent after the removal on the same stream
	expectVerdict(t, orderer, 5*time.Second, 3, "", 1, Unchanged)
	expectVerdict(t, orderer, 6*time.Second, 3, "", 2, Defer)
	expectVerdict(t, orderer, 6*time.Second, 3, "", 3, Apply) // newer: a content never seen before
	expectVerdict(t, orderer, 7*time.Second, 3, "", 2, Apply)
}

// TestOutdatedUpdateDoesNotUndoRemoval checks that an outdated update does not undo a removal. It also checks that the removal of
// an unknown resource changes nothing, and that a deferred update is dropped when its stream ends.
func TestOutdatedUpdateDoesNotUndoRemoval(t *testing.T) {
	orderer := New(holdTime)
	expectVerdict(t, orderer, 0, 1, "", 0, Unchanged)
	expectVerdict(t, orderer, 0, 1, "1", 1, Apply)
	expectVerdict(t, orderer, 0, 1, "2", 0, Apply)
	expectVerdict(t, orderer, time.Second, 2, "1", 1, Defer)
	expectCurrent(t, orderer, 0)
	orderer.EndStream(2)
	if due := orderer.ApplyDue(t0.Add(time.Hour)); len(due) > 0 || !orderer.NextDue().IsZero() {
		t.Errorf("updates of an ended stream were applied or are still deferred: applied %v", due)
	}
	expectVerdict(t, orderer, time.Minute, 3, "1", 1, Defer) // the hold time starts again
	if due := orderer.ApplyDue(t0.Add(time.Minute + holdTime)); len(due) != 1 {
		t.Errorf("updates applied after the hold time: %v, want one", due)
	}
}

// TestRememberedHistoryIsBounded checks the limits on remembered removals and replaced contents.
func TestRememberedHistoryIsBounded(t *testing.T) {
	orderer := New(holdTime)
	for i := range maxAbsent + 50 {
		name := fmt.Sprint(i)
		orderer.Receive(t0, 1, Update{name, "1", digest(1)})
		orderer.Receive(t0, 1, Update{name, "2", Absent})
	}
	if n := len(orderer.resources); n != maxAbsent {
		t.Errorf("%d removed resources are remembered, want maxAbsent", n)
	}
	for n := range 200 {
		orderer.Receive(t0, 1, Update{"c", fmt.Sprint(n), digest(byte(n + 1))})
	}
	if n := len(orderer.resources["c"].replaced); n != maxReplaced {
		t.Errorf("%d replaced contents are remembered, want maxReplaced", n)
	}
}

// expectCandidates checks which contents of the resource "c" may be newer than the current one.
func expectCandidates(t *testing.T, orderer *Orderer, want ...byte) {
	t.Helper()
	var got []byte
	for _, d := range orderer.Candidates("c") {
		got = append(got, d[0])
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("candidates are %v, want %v", got, want)
	}
}

// TestDeferredUpdateOutlivesItsStream guards against a drain that is forgotten when its stream ends: the current content, sent by a server
// that lags, must not end it.
func TestDeferredUpdateOutlivesItsStream(t *testing.T) {
	orderer := New(holdTime)
	for _, n := range []byte{1, 2, 1} {
		expectVerdict(t, orderer, 0, 1, "", n, Apply)
	}
	orderer.EndStream(1)
	expectVerdict(t, orderer, time.Second, 2, "", 2, Defer)
	expectCandidates(t, orderer, 2)
	orderer.EndStream(2)
	expectCandidates(t, orderer, 2)
	if !orderer.NextDue().IsZero() {
		t.Error("an update of an ended stream is due")
	}
	expectVerdict(t, orderer, 2*time.Second, 3, "", 1, Unchanged)
	expectCandidates(t, orderer, 2)
	orderer.EndStream(3)
	expectVerdict(t, orderer, 40*time.Second, 4, "", 1, Unchanged) // another stream: the hold time starts again
	expectCandidates(t, orderer, 2)
	expectVerdict(t, orderer, 50*time.Second, 4, "", 2, Defer) // stream 4 may lag behind stream 2
	expectVerdict(t, orderer, 51*time.Second, 4, "", 1, Unchanged)
	orderer.ApplyDue(t0.Add(80 * time.Second))
	expectCandidates(t, orderer, 2)
	if due := orderer.ApplyDue(t0.Add(81 * time.Second)); len(due) != 1 || due[0].Digest != digest(1) {
		t.Errorf("due after the hold time: %v, want the current content", due)
	}
	expectCandidates(t, orderer)
	expectCurrent(t, orderer, 1)
	expectVerdict(t, orderer, 82*time.Second, 4, "", 2, Apply) // stream 4 has confirmed the current content
}

// TestReplacedRemovalIsCandidate guards against a removal that is not acted on because the resource was removed once before, and against
// an outdated content that follows such a removal.
func TestReplacedRemovalIsCandidate(t *testing.T) {
	orderer := New(holdTime)
	for _, n := range []byte{1, 2, 0, 1} {
		expectVerdict(t, orderer, 0, 1, "", n, Apply)
	}
	orderer.EndStream(1)
	expectVerdict(t, orderer, time.Second, 2, "", 0, Defer)
	expectCandidates(t, orderer, 0)
	expectVerdict(t, orderer, time.Second, 2, "", 1, Unchanged)
	expectCandidates(t, orderer)
	expectVerdict(t, orderer, time.Second, 2, "", 0, Defer)
	expectVerdict(t, orderer, time.Second, 2, "", 2, Defer)
	expectCandidates(t, orderer, 2)
	expectVerdict(t, orderer, 2*time.Second, 2, "", 3, Apply) // never received before
	expectCandidates(t, orderer)
}

// TestUnresolvedContentsAreBounded checks the limit on contents of ended streams.
func TestUnresolvedContentsAreBounded(t *testing.T) {
	orderer := New(holdTime)
	expectVerdict(t, orderer, 0, 1, "old", 1, Apply)
	expectVerdict(t, orderer, 0, 1, "new", 2, Apply)
	for n := range byte(100) {
		stream := Stream(n) + 2
		expectVerdict(t, orderer, 0, stream, "old", n+10, Defer)
		orderer.EndStream(stream)
	}
	if n := len(orderer.Candidates("c")); n != maxUnresolved {
		t.Errorf("%d candidates are remembered, want maxUnresolved", n)
	}
}

// TestRandomUpdatesFollowOrderingRules compares the verdicts on random updates, stream ends and waits, and the candidates, with a model of
// the rules. A replaced content becomes current again only on a stream that has sent the current content, or after the hold time on a live
// stream. Any other content is applied. Nothing else changes the current content. The last words of all streams since the current content
// was applied are candidates, until a stream has stood on the current content for the hold time.
func TestRandomUpdatesFollowOrderingRules(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 6))
	deferrals, rollbacks, settlements := 0, 0, 0
	for round := range 2000 {
		orderer := New(holdTime)
		now := t0
		current, replaced := byte(0), map[byte]bool{} // current content; contents that were replaced
		isSet := false
		source := Stream(0)                   // stream that sent or repeated the current content
		reinstated, ambiguous := false, false // current was replaced before; source has only repeated current
		type deferral struct {
			n     byte
			since time.Time
		}
		var deferred *deferral // the last word of the stream, unless it is current and nothing is unresolved
		unresolved := map[byte]bool{}
		stream := Stream(1)
		for step := range 14 { // fewer steps than maxReplaced
			now = now.Add(time.Duration(rng.IntN(45)) * time.Second)
			if deferred != nil && now.Sub(deferred.since) >= holdTime {
				orderer.ApplyDue(now)
				if deferred.n == current {
					settlements++
				} else {
					replaced[current], current, source, reinstated = true, deferred.n, stream, true
					delete(replaced, current)
					rollbacks++
				}
				deferred, ambiguous = nil, false
				clear(unresolved)
			}
			if rng.IntN(4) == 0 {
				orderer.EndStream(stream)
				if deferred != nil && deferred.n != current {
					unresolved[deferred.n] = true
				}
				deferred = nil
				stream++
			}
			n := byte(rng.IntN(6))
			got := orderer.Receive(now, stream, Update{"c", "", digest(n)})
			want := Apply
			switch {
			case !isSet && n == 0 || isSet && n == current:
				want = Unchanged
			case isSet && replaced[n] && (source != stream || ambiguous):
				want = Defer
			}
			if got != want {
				t.Fatalf("round %d step %d: stream %d sends content %d: verdict %v, want %v", round, step, stream, n, got, want)
			}
			switch {
			case want == Apply:
				if isSet {
					replaced[current] = true
				}
				reinstated, ambiguous = replaced[n], false
				delete(replaced, n)
				current, source, isSet, deferred = n, stream, true, nil
				clear(unresolved)
			case want == Defer:
				deferrals++
			case isSet:
				ambiguous = (reinstated || len(unresolved) > 0) && (source != stream || ambiguous)
				source = stream
			}
			if want == Defer || want == Unchanged && len(unresolved) > 0 {
				if deferred == nil || deferred.n != n {
					deferred = &deferral{n, now}
				}
			} else {
				deferred = nil
			}
			if _, gotDigest, ok := orderer.Current("c"); ok && gotDigest != digest(current) {
				t.Fatalf("round %d step %d: current content is %d, want %d", round, step, gotDigest[0], current)
			}
			candidates := maps.Clone(unresolved)
			if deferred != nil && deferred.n != current {
				candidates[deferred.n] = true
			}
			expectCandidates(t, orderer, slices.Sorted(maps.Keys(candidates))...)
		}
	}
	if deferrals < 300 || rollbacks < 30 || settlements < 10 {
		t.Errorf("too few cases drawn: %d updates deferred, want at least 300; %d deferred updates applied, want at least 30; candidates dropped %d times, want at least 10", deferrals, rollbacks, settlements)
	}
}
