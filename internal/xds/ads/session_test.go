package ads

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// runScript applies the events of a script to a session, and compares the requests of the session with the expected ones.
func runScript(t *testing.T, v Variant, lines ...string) {
	t.Helper()
	session := NewSession(v)
	kinds := map[string]Kind{"cds": Clusters, "eds": Endpoints}
	for i, line := range lines {
		fields := strings.Fields(line)
		kind := kinds[fields[min(1, len(fields)-1)]]
		switch fields[0] {
		case "want":
			wanted := Subscription{Names: fields[2:]}
			if slices.Equal(fields[2:], []string{"*"}) {
				wanted = Subscription{Wildcard: true}
			}
			session.Subscribe(kind, wanted)
		case "again":
			session.Resubscribe(kind, fields[2:])
		case "cached":
			session.SetInitialVersions(kind, map[string]string{fields[2]: "v1", fields[3]: "v2"})
		case "receive":
			if err := session.Receive(kind, fields[2]); err != nil {
				t.Fatalf("line %d: Receive returned error %v", i, err)
			}
			session.Answer(kind, fields[3], strings.Join(fields[4:], " "))
		case "reject":
			if session.Receive(kind, "n") == nil {
				t.Fatalf("line %d: Receive accepted a response of a kind that was not requested", i)
			}
		case "sent":
			r, ok := session.NextRequest()
			got := "nothing"
			if ok {
				got = fmt.Sprintf("%v", r)
			}
			if want := strings.TrimPrefix(line, "sent "); got != want {
				t.Fatalf("line %d: got request %s, want %s", i, got, want)
			}
		}
	}
}

// A request is printed as {kind version nonce error-detail [names] [subscribe] [unsubscribe] map[initial versions]}.
func TestStateOfTheWorldRequestsFollowSubscriptionsAndResponses(t *testing.T) {
	runScript(t, StateOfTheWorld,
		"sent nothing",
		"reject eds",
		"want cds b a",
		"want eds s",
		"cached cds a b",
		"sent {cluster    [a b] [] [] map[]}", // without a version the server sends all wanted resources
		"sent {endpoints    [s] [] [] map[]}",
		"sent nothing",
		"receive cds n1 7",
		"receive cds n2 8 bad",
		"receive cds n3 9",
		"sent {cluster 9 n3  [a b] [] [] map[]}", // one answer, to the latest response
		"receive cds n4 10 bad",
		"want cds b",
		"sent {cluster 9 n4 bad [b] [] [] map[]}",
		"want eds",
		"sent {endpoints    [] [] [] map[]}", // all names were unsubscribed
		"want cds *",
		"sent {cluster 9 n4  [*] [] [] map[]}",
		"sent nothing",
	)
}

func TestDeltaRequestsFollowSubscriptionsAndPendingRepliesAreBounded(t *testing.T) {
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
		"again cds x",
		"sent {cluster    [] [x] [] map[]}", // beside the wildcard
		"want cds b",
		"sent {cluster    [] [b] [*] map[]}",
		"sent nothing",
		"again cds b gone",
		"sent {cluster    [] [b] [] map[]}", // what is not wanted any more is not requested
		"sent nothing",
	)
	session := NewSession(Delta)
	session.Subscribe(Clusters, Subscription{Wildcard: true})
	session.NextRequest()
	for i := range maxPendingReplies {
		if err := session.Receive(Clusters, fmt.Sprint(i)); err != nil {
			t.Fatal(i, err)
		}
		session.Answer(Clusters, "", "")
	}
	if !errors.Is(session.Receive(Clusters, "more"), ErrTooManyPending) {
		t.Error("Receive did not return ErrTooManyPending at the limit of pending replies")
	}
}
