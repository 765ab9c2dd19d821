package ads

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// runScript plays events on a session and compares the requests with those that the script expects.
func runScript(t *testing.T, v Variant, lines ...string) {
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
		case "cached":
			s.SetInitialVersions(k, map[string]string{f[2]: "v1", f[3]: "v2"})
		case "receive":
			if err := s.Receive(k, f[2]); err != nil {
				t.Fatalf("line %d: %v", i, err)
			}
			s.Answer(k, f[3], strings.Join(f[4:], " "))
		case "reject":
			if s.Receive(k, "n") == nil {
				t.Fatalf("line %d: accepted", i)
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

// A request is printed as {kind version nonce error-detail [names] [subscribe] [unsubscribe] map[initial versions]}.
func TestStateOfTheWorld(t *testing.T) {
	runScript(t, StateOfTheWorld,
		"sent nothing",
		"reject eds",
		"want cds b a",
		"want eds s",
		"cached cds a b",
		"sent {cluster    [a b] [] [] map[]}", // no version: the server sends all that it has
		"sent {endpoints    [s] [] [] map[]}",
		"sent nothing",
		"receive cds n1 7",
		"receive cds n2 8 bad",
		"receive cds n3 9",
		"sent {cluster 9 n3  [a b] [] [] map[]}", // one answer, to the newest response
		"receive cds n4 10 bad",
		"want cds b",
		"sent {cluster 9 n4 bad [b] [] [] map[]}",
		"want eds",
		"sent {endpoints    [] [] [] map[]}", // no names are left
		"want cds *",
		"sent {cluster 9 n4  [*] [] [] map[]}",
		"sent nothing",
	)
}

func TestDelta(t *testing.T) {
	runScript(t, Delta,
		"want cds a b c",
		"want eds s",
		"cached cds a b",
		"cached eds s x",
		"sent {cluster    [] [a b c] [] map[b:v2]}", // the version of a is left out, so that the server has to send it
		"sent {endpoints    [] [s] [] map[s:v1]}",
		"receive cds n1 1",
		"receive cds n2 2 bad",
		"want cds b d",
		"sent {cluster  n1  [] [d] [a c] map[]}", // each response gets its own answer
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
	if !errors.Is(s.Receive(Clusters, "more"), ErrTooManyPending) {
		t.Error("a server that does not read acknowledgements is not bounded")
	}
}
