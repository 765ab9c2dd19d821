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

// TestMessageFormat encodes each message to the recorded bytes, and decodes these to the same message.
func TestMessageFormat(t *testing.T) {
	for name, message := range map[string]any{
		"hello": &helloRequest{}, "welcome": &helloResponse{}, "state": &heartbeat{}, "call": &Request{}, "answer": &Response{}, "settle": &settleRequest{},
		"settled": &settleResponse{}, "lookup": &lookupRequest{}, "found": &KeyLocation{}, "accounts": &countersRequest{}, "counted": &countersResponse{},
	} {
		t.Run(name, func(t *testing.T) {
			golden.Fill(message)
			text, err := encode(message)
			if err != nil {
				t.Fatal(err)
			}
			recorded := golden.Binary(t, name+".hex", text)
			read := reflect.New(reflect.TypeOf(message).Elem()).Interface()
			if err := decodeUnchecked(recorded, read); err != nil {
				t.Fatal(err)
			}
			again, err := encode(read)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(again, recorded) {
				t.Errorf("encoded again as %x, want %x", again, recorded)
			}
		})
	}
}

// decodeUnchecked decodes a message without validation, which filled ones do not pass.
func decodeUnchecked(text []byte, into any) error {
	return codec.NewDecoderBytes(text, msgpackHandle).Decode(into)
}

// TestMessageEnumerations checks the numbers of outcomes, reasons and states, which the protocol contains, and the names
// that operators read.
func TestMessageEnumerations(t *testing.T) {
	var names []string
	for n, o := range []accounting.Outcome{accounting.Pending, accounting.Served, accounting.Rejected, accounting.NeverRan, accounting.MayHaveRun, accounting.NeverArrived} {
		if int(o) != n {
			t.Errorf("outcome %v is %d, want %d", o, o, n)
		}
		names = append(names, o.String())
	}
	for n, r := range []accounting.Reason{accounting.Shed, accounting.Failed, accounting.KeyOwned, accounting.Transit} {
		if int(r) != n {
			t.Errorf("reason %v is %d, want %d", r, r, n)
		}
		names = append(names, r.String())
	}
	for n, s := range []forwarding.State{forwarding.Unavailable, forwarding.Draining, forwarding.Shedding, forwarding.Available} {
		if int(s) != n {
			t.Errorf("state %v is %d, want %d", s, s, n)
		}
		names = append(names, s.String())
	}
	text, err := json.MarshalIndent(names, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "names.json", text)
}

// TestViewFormat checks what the control socket returns for connections to sites.
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
