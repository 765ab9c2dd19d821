package peering

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
	"silvertrail/internal/testkit/golden"
)

// TestMessageFormat checks that each message is encoded to the bytes in its golden file, and that these bytes decode to the
// same message.
func TestMessageFormat(t *testing.T) {
	for name, message := range map[string]any{
		"hello": &helloRequest{}, "welcome": &helloResponse{}, "state": &heartbeat{}, "call": &Request{}, "answer": &Response{}, "settle": &settleRequest{},
		"settled": &settleResponse{}, "lookup": &lookupRequest{}, "found": &KeyLocation{}, "accounts": &countersRequest{}, "counted": &countersResponse{},
	} {
		t.Run(name, func(t *testing.T) {
			golden.Fill(message)
			data, err := encode(message)
			if err != nil {
				t.Fatal(err)
			}
			recorded := golden.Binary(t, name+".hex", data)
			decoded := reflect.New(reflect.TypeOf(message).Elem()).Interface()
			if err := decodeUnchecked(recorded, decoded); err != nil {
				t.Fatal(err)
			}
			encodedAgain, err := encode(decoded)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(encodedAgain, recorded) {
				t.Errorf("the decoded message is encoded as %x, want %x", encodedAgain, recorded)
			}
		})
	}
}

// decodeUnchecked decodes a message without validation, because messages from golden.Fill are not valid.
func decodeUnchecked(data []byte, into any) error {
	return codec.NewDecoderBytes(data, msgpackHandle).Decode(into)
}

// TestEnumerationValuesAreStable checks the numbers of outcomes, reasons and states, which are part of the protocol, and their
// names, which operators read.
func TestEnumerationValuesAreStable(t *testing.T) {
	var names []string
	for want, outcome := range []accounting.Outcome{accounting.Pending, accounting.Served, accounting.Rejected, accounting.NeverRan, accounting.MayHaveRun, accounting.NeverArrived} {
		if int(outcome) != want {
			t.Errorf("outcome %v is %d, want %d", outcome, outcome, want)
		}
		names = append(names, outcome.String())
	}
	for want, reason := range []accounting.Reason{accounting.Shed, accounting.Failed, accounting.KeyOwned, accounting.Transit} {
		if int(reason) != want {
			t.Errorf("reason %v is %d, want %d", reason, reason, want)
		}
		names = append(names, reason.String())
	}
	for want, state := range []forwarding.State{forwarding.Unavailable, forwarding.Draining, forwarding.Shedding, forwarding.Available} {
		if int(state) != want {
			t.Errorf("state %v is %d, want %d", state, state, want)
		}
		names = append(names, state.String())
	}
	text, err := json.MarshalIndent(names, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "names.json", text)
}

// TestViewFormat checks the JSON that the control socket returns for site links and key lookups.
func TestViewFormat(t *testing.T) {
	for name, value := range map[string]any{"sala": &SiteStatus{}, "found": &KeyLocation{}} {
		golden.Fill(value)
		text, err := json.MarshalIndent(value, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Text(t, "view-"+name+".json", text)
	}
}
