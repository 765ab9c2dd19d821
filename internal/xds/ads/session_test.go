package ads

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// story plays events on a session and compares what is sent with what is told.
func story(t *testing.T, v Variant, lines ...string) {
	t.Helper()
	s := NewSession(v)
	kinds := map[string]Kind{"cds": Clusters, "eds": Endpoints}
	for i, line := range lines {
		f := strings.Fields(line)
		k := kinds[f[min(1, len(f)-1)]]
		switch f[0] {
		case "want":
			w := Subscription{Names: f[2:]}
			if slices.Equal(f[2:], []string{"*"}) {
				w = Subscription{Wildcard: true}
			}
			s.Subscribe(k, w)
		case "know":
			s.SetInitialVersions(k, map[string]string{f[2]: "v1", f[3]: "v2"})
		case "get":
			if err := s.Receive(k, f[2]); err != nil {
				t.Fatalf("line %d: %v", i, err)
			}
			s.Answer(k, f[3], strings.Join(f[4:], " "))
		case "unasked":
			if s.Receive(k, "n") == nil {
				t.Fatalf("line %d: taken", i)
			}
		case "sent":
			r, ok := s.NextRequest()
			got := "nothing"
			if ok {
				got = fmt.Sprintf("%v", r)
			}
			if want := strings.TrimPrefix(line, "sent "); got != want {
				t.Fatalf("line %d: sent %s, want %s", i, got, want)
			}
		}
	}
}

// A request is {kind, version, nonce, fault, names, subscribe, unsubscribe, initial}.
func TestWhole(t *testing.T) {
	story(t, StateOfTheWorld,
		"sent nothing",
		"unasked eds",
		"want cds b a",
		"want eds s",
		"know cds a b",
		"sent {cluster    [a b] [] [] map[]}", // no version: the server says what it has
		"sent {endpoints    [s] [] [] map[]}",
		"sent nothing",
		"get cds n1 7",
		"get cds n2 8 bad",
		"get cds n3 9",
		"sent {cluster 9 n3  [a b] [] [] map[]}", // one answer, to the newest
		"get cds n4 10 bad",
		"want cds b",
		"sent {cluster 9 n4 bad [b] [] [] map[]}",
		"want eds",
		"sent {endpoints    [] [] [] map[]}", // none any more
		"want cds *",
		"sent {cluster 9 n4  [*] [] [] map[]}",
		"sent nothing",
	)
}

func TestDelta(t *testing.T) {
	story(t, Delta,
		"want cds a b c",
		"want eds s",
		"know cds a b",
		"know eds s x",
		"sent {cluster    [] [a b c] [] map[b:v2]}", // a's is not told, so that the server has something to say
		"sent {endpoints    [] [s] [] map[s:v1]}",
		"get cds n1 1",
		"get cds n2 2 bad",
		"want cds b d",
		"sent {cluster  n1  [] [d] [a c] map[]}", // each response has its answer
		"sent {cluster  n2 bad [] [] [] map[]}",
		"want cds *",
		"sent {cluster    [] [*] [b d] map[]}",
		"want cds b",
		"sent {cluster    [] [b] [*] map[]}",
		"sent nothing",
	)
	s := NewSession(Delta)
	s.Subscribe(Clusters, Subscription{Wildcard: true})
	s.NextRequest()
	for i := range maxPendingReplies {
		if err := s.Receive(Clusters, fmt.Sprint(i)); err != nil {
			t.Fatal(i, err)
		}
		s.Answer(Clusters, "", "")
	}
	if s.Receive(Clusters, "more") != ErrTooManyPending {
		t.Error("a server that takes no answers is listened to for ever")
	}
}
