package simulator

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"silvertrail/lbpolicy"
)

// eventRecorder is a Handler that records each event as text.
type eventRecorder struct{ strings.Builder }

func (n *eventRecorder) Open(i uint32, seed uint64, s []byte) {
	fmt.Fprintf(n, "open %d %d %s;", i, seed, s)
}
func (n *eventRecorder) Halt(i uint32) { fmt.Fprintf(n, "halt %d;", i) }
func (n *eventRecorder) UpdateEndpoints(i uint32, k lbpolicy.ListKind, e []lbpolicy.Server) {
	fmt.Fprintf(n, "members %d %d %v;", i, k, e)
}
func (n *eventRecorder) Request(i uint32, r lbpolicy.Request) {
	fmt.Fprintf(n, "request %d {%d %d %d %v %t};", i, r.ID, r.Class, r.Tenant, r.TimeLeft, r.Retry)
}
func (n *eventRecorder) ResponseStarted(i uint32, id lbpolicy.RequestID) {
	fmt.Fprintf(n, "started %d %d;", i, id)
}
func (n *eventRecorder) Outcome(i uint32, o lbpolicy.Outcome) { fmt.Fprintf(n, "outcome %d %v;", i, o) }
func (n *eventRecorder) ClientDisconnected(i uint32, id lbpolicy.RequestID) {
	fmt.Fprintf(n, "gone %d %d;", i, id)
}
func (n *eventRecorder) Timer(i uint32, token uint64) { fmt.Fprintf(n, "timer %d %d;", i, token) }
func decodeHex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// frame returns a batch with a header and the records, which are given in hexadecimal.
func frame(t testing.TB, records string) []byte {
	t.Helper()
	body := decodeHex(t, records)
	return append(decodeHex(t, fmt.Sprintf("%02x%02x0000 508d976e12d32040", (len(body)+12)&255, (len(body)+12)>>8)), body...)
}

func decode(b []byte) (string, error) {
	d, n := NewDecoder(bytes.NewReader(b)), &eventRecorder{}
	for {
		_, body, err := d.Next()
		if errors.Is(err, io.EOF) {
			return n.String(), nil
		} else if err != nil {
			return n.String(), err
		}
		if err := d.Dispatch(body, n); err != nil {
			return n.String(), err
		}
	}
}

// Checks the examples that the protocol's description prints.
func TestProtocolExamplesAreDecoded(t *testing.T) {
	const inbound = "0300 03000000 c4913a5d00660000 00 00000000 640ad2557c3bf091 b81e85eb51b8ce3f fa7e6abc7493883f 01"
	for _, c := range []struct{ hex, want string }{
		{"", ""},
		{inbound + "0700 03000000 4d00000000000000 0600 05000000 192b6f0ee27e0300",
			"request 3 {112151750152644 0 0 240ms false};timer 3 77;gone 5 983934300007193;"},
		{"0a00 03000000", "halt 3;"},
		{"0b00 00 02000000 00 0000000000000000 0000 074a1203 00 01 0000803f " +
			"01 6666666666661840 0000 f211902c 00 01 0000c03f 0200 03000000 02 00 2900000000000000",
			"members 3 2 [{51530247 0 0 0s 1 0} {747639282 1 0 6.1s 1 0}];"},
		{"0400 03000000 c4913a5d00660000 8b6ce7fba9f1823f 00 074a1203", "started 3 112151750152644;"},
		{"0500 03000000 c4913a5d00660000 00 8b6ce7fba9f1923f 00 074a1203 01 02 52b81e3f00000c43",
			"outcome 3 {112151750152644 0 51530247 0 18.5ms true [0.62 140]};"},
		{"0800 03000000 f211902c 00 c7bab88d06f0563f 02 52b81e3f00000c43", ""},
		{"0900 03000000 0200 0400 68692037", ""},
		{"0100 03000000 0700000000000000 02000000 7b7d", "open 3 7 {};"},
	} {
		got, err := decode(frame(t, c.hex))
		if err != nil || got != c.want {
			t.Errorf("records %s: decoded %q with error %v, want %q", c.hex, got, err, c.want)
		}
	}
}

func TestActionsAreEncoded(t *testing.T) {
	var p Reply
	p.Reset()
	if got := hex.EncodeToString(p.Bytes()); got != "0800000000000000" {
		t.Fatalf("empty reply is %s, want a header with length 8 and no actions", got)
	}
	h, h5 := p.Host(3), p.Host(5)
	for _, c := range []struct {
		action func()
		want   string
	}{
		{func() { h5.Log("two servers unknown") }, "0600 05000000 1300 74776f207365727665727320756e6b6e6f776e"},
		{func() { p.Exception(3, "index out of range") }, "0100 03000000 1200 696e646578206f7574206f662072616e6765"},
		{func() { h.Watch() }, "0800 03000000 01"},
		{func() { h.Send(112151750152644, 51530247) }, "0400 03000000 c4913a5d00660000 074a1203 0000000000000000"},
		{func() { h.Cancel(112151750152644, 0) }, "0700 03000000 c4913a5d00660000 00"},
		{func() { h.Reject(983934300007193, 250*time.Millisecond) }, "0200 03000000 192b6f0ee27e0300 000000000000d03f"},
		{func() { h.Fail(112151750152644) }, "0c00 03000000 c4913a5d00660000"},
		{func() { h.CloseIdle(0x2c9011f2) }, "0300 03000000 f211902c"},
		{func() { h.SetTimer(8*time.Second, 77) }, "0a00 03000000 0000000000002040 4d00000000000000"},
	} {
		p.Reset()
		c.action()
		want := decodeHex(t, c.want)
		want = append([]byte{byte(len(want) + 8), 0, 0, 0, 1, 0, 0, 0}, want...)
		if !bytes.Equal(p.Bytes(), want) {
			t.Errorf("reply frame %x, want %x", p.Bytes(), want)
		}
	}
}

// The error for a malformed frame names the record and its byte offset in the input.
func TestMalformedFrameErrorNamesRecordAndOffset(t *testing.T) {
	for _, c := range []struct {
		frame []byte
		want  string
	}{
		{decodeHex(t, "0c0000"), "batch header at byte 0: cut off after 3 bytes"},
		{decodeHex(t, "05000000 508d976e12d32040"), "length 5 out of range"},
		{decodeHex(t, "ffffffff 508d976e12d32040"), "out of range"},
		{decodeHex(t, "20000000 508d976e12d32040 0a00"), "32 bytes announced, cut off after 14"},
		{frame(t, "6300 03000000"), "record code 99 at byte 12: unknown event code"},
		{frame(t, "0a00 03000000 0700 03000000 4d00"), "WAKEUP at byte 18: needs 8 bytes, 2 left"},
		{frame(t, "0b00 00 ffffff0f 00"), "POOL at byte 12: count 268435455 past the frame's end"},
		{frame(t, "0b00 10 00000000"), "list number 16"},
		{frame(t, "0200 03000000 09 00 2900000000000000"), "MEMBERSHIP at byte 12: unknown list kind 9"},
		{frame(t, "0100 03000000 0700000000000000 ffffffff 7b7d"), "OPEN_INSTANCE at byte 12: needs"},
		{frame(t, "0500 03000000 c4913a5d00660000 63 8b6ce7fba9f1923f 00 074a1203 01 00"), "unknown outcome 99"},
	} {
		if _, err := decode(c.frame); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("got error %v, want one that contains %s", err, c.want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(frame(f, "0a00 03000000"))
	f.Add(frame(f, "0b00 00 01000000 00 0000000000000000 0000 074a1203 00 01 0000803f 0200 03000000 02 00 2900000000000000"))
	f.Add(frame(f, "0500 03000000 c4913a5d00660000 00 8b6ce7fba9f1923f 00 074a1203 01 02 52b81e3f00000c43"))
	f.Fuzz(func(t *testing.T, b []byte) {
		first, err := decode(b)
		again, err2 := decode(b)
		if first != again || (err == nil) != (err2 == nil) {
			t.Fatal("decoding the same bytes twice gave different events or errors")
		}
	})
}
