package handover

import (
	"bytes"
	"encoding/json"
	"testing"

	"silvertrail/internal/testkit/golden"
)

// TestMessageFormat checks that each message is encoded to the recorded bytes, and that these decode to the same message.
func TestMessageFormat(t *testing.T) {
	for _, kind := range []Kind{Hello, TakeOver, Keys, ClaimKey, ClaimID, Eject, Rejection} {
		t.Run(string(kind), func(t *testing.T) {
			m := &Message{}
			golden.Fill(m)
			m.Kind = kind
			m.Claim.Scope = 1
			if kind != ClaimID { // the messages were recorded before these fields were added
				m.Accepts, m.RequestIDs = nil, nil
			}
			text, err := json.MarshalIndent(m, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			recorded := golden.Text(t, string(kind)+".json", text)
			var compact bytes.Buffer
			if err := json.Compact(&compact, recorded); err != nil {
				t.Fatal(err)
			}
			framed, err := encodeFrame(m)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(framed[4:], compact.Bytes()) {
				t.Errorf("message encoded as %s, want %s", framed[4:], compact.Bytes())
			}
			read, err := readFrame(bytes.NewReader(framed))
			if err != nil {
				t.Fatal(err)
			}
			again, err := encodeFrame(read)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(again, framed) {
				t.Errorf("decoded message encoded again as %s, want %s", again, framed)
			}
		})
	}
}
