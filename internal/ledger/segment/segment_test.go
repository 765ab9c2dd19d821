package segment

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"
)

var recordGenerator = rapid.Custom(func(t *rapid.T) *Record {
	short := rapid.StringN(0, 40, 200)
	r := &Record{Kind: Kind(rapid.IntRange(1, 7).Draw(t, "kind")), At: time.Duration(rapid.Int64Range(-1e12, 1e15).Draw(t, "at")) * time.Microsecond,
		Request: rapid.Uint64().Draw(t, "request"), ID: short.Draw(t, "id"), Class: short.Draw(t, "class"), Key: short.Draw(t, "key"),
		Tenant: short.Draw(t, "tenant"), FromSite: short.Draw(t, "from"), Attempt: rapid.IntRange(0, 1<<30).Draw(t, "attempt"),
		Endpoint: short.Draw(t, "nodo"), Cluster: short.Draw(t, "cluster"), Zone: short.Draw(t, "zone"), Cell: rapid.Int().Draw(t, "cell"),
		Scope: uint8(rapid.IntRange(0, 2).Draw(t, "scope")), Window: time.Duration(rapid.IntRange(0, 1e9).Draw(t, "window")) * time.Microsecond,
		NeverRan: rapid.Bool().Draw(t, "never"), Responded: rapid.Bool().Draw(t, "answer"), Verdict: short.Draw(t, "verdict"),
		Status: rapid.IntRange(0, 999).Draw(t, "status"), Ending: Ending(rapid.IntRange(1, 5).Draw(t, "ending")),
		WallTime: rapid.Int64Range(0, 1<<62).Draw(t, "wall"), Count: rapid.Uint64().Draw(t, "count"), DurableLag: rapid.Uint64().Draw(t, "lag")}
	copy(r.KeyID[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "keyid"))
	copy(r.Fingerprint[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "print"))
	return r
})

// buildSegment writes records 1, 2, ... as a segment, with room behind them.
func buildSegment(t interface{ Fatal(...any) }, salt uint64, room int, all ...*Record) []byte {
	b := AppendHeader(nil, salt, &Header{LedgerID: 7, Number: 3, FirstSeq: 1, Process: 9, Host: "north-1", BootID: "b", StartedAt: 1e15, Mode: "group"})
	at := len(b)
	for i, r := range all {
		var err error
		if b, err = AppendFrame(b, uint64(i+1), r); err != nil {
			t.Fatal(err)
		}
	}
	Seal(b[at:], salt)
	return append(b, make([]byte, room)...)
}

type scannedRecord struct {
	seq uint64
	r   Record
}

func scanAll(r io.Reader) (all []scannedRecord, s *Scanner, err error) {
	if s, err = NewScanner(r); err != nil {
		return nil, nil, err
	}
	for {
		seq, r, ok := s.Next()
		if !ok {
			return all, s, nil
		}
		all = append(all, scannedRecord{seq, *r})
	}
}

// What is written comes back, by whatever pieces it is read, and the room behind it is no damage.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := rapid.SliceOfN(recordGenerator, 0, 8).Draw(t, "records")
		b := buildSegment(t, rapid.Uint64().Draw(t, "salt"), rapid.IntRange(0, 3).Draw(t, "room")*4000, in...)
		out, s, err := scanAll(iotest.HalfReader(bytes.NewReader(b)))
		if err != nil || len(out) != len(in) || len(s.Damage) > 0 || s.Header.Host != "north-1" || s.Header.LedgerID != 7 {
			t.Fatalf("%v, %d of %d, %v", err, len(out), len(in), s)
		}
		for i, o := range out {
			if o.seq != uint64(i+1) || o.r != *in[i] {
				t.Fatalf("%d: %+v, want %+v", i, o, in[i])
			}
		}
	})
}

// sampleSegment is a small file; its last record's key holds the text of a record of the same file, which must never be taken for
// one.
func sampleSegment(t *testing.T) []byte {
	t.Helper()
	all := []*Record{{Kind: Received, Request: 1, ID: "a", Class: "seat", Key: "k", TimeLeft: time.Second, KeyID: [16]byte{1}},
		{Kind: Intent, Request: 1, Attempt: 1, Endpoint: "n1", Zone: "north", Window: time.Minute},
		{Kind: Outcome, Request: 1, Attempt: 1, Responded: true, Verdict: "ok", Status: 200},
		{Kind: Final, Request: 1, Ending: Served, Status: 200}}
	forged := buildSegment(t, 42, 0, &Record{Kind: Final, Request: 99, Ending: Served, Status: 200})
	all = append(all, &Record{Kind: Received, Request: 2, ID: "b", Class: "seat", Key: string(forged[len(forged)-32:]) + string(forged)})
	return buildSegment(t, 43, 0, all...)
}

// A file cut at any byte, with any bit flipped, with any page zeroed or overwritten, gives only records that were written,
// in their order, and shows each gap.
func TestDamagedAnywhere(t *testing.T) {
	whole := sampleSegment(t)
	want, _, err := scanAll(bytes.NewReader(whole))
	if err != nil || len(want) != 5 {
		t.Fatalf("%v, %d", err, len(want))
	}
	check := func(what string, at int, b []byte, most int) {
		t.Helper()
		got, s, err := scanAll(bytes.NewReader(b))
		if err != nil {
			if !errors.Is(err, ErrForeign) && !errors.Is(err, ErrNewer) || most == 0 {
				t.Fatalf("%s at %d: %v", what, at, err)
			}
			return
		}
		last := uint64(0)
		for _, g := range got {
			if g.seq <= last || g.seq > 5 || g != want[g.seq-1] {
				t.Fatalf("%s at %d: invented %+v", what, at, g)
			}
			last = g.seq
		}
		if len(got) < len(want)-most {
			t.Fatalf("%s at %d: %d records are left", what, at, len(got))
		}
		if len(got) < len(want) && len(s.Damage) == 0 && what != "cut" {
			t.Fatalf("%s at %d: %d records, and nothing is told of damage", what, at, len(got))
		}
	}
	for i := range whole {
		check("cut", i, whole[:i], 5)
		for bit := range 8 {
			b := slices.Clone(whole)
			b[i] ^= 1 << bit
			check("flip", i, b, 1) // a header has a second copy, and a record costs itself alone
		}
	}
	for from := 0; from < len(whole); from += 8 {
		for _, n := range []int{8, 64, 512} {
			b := slices.Clone(whole)
			clear(b[from:min(from+n, len(b))])
			if from+n < len(b) { // up to the end they are room that was never written, as a cut is
				check("zeros", from, b, 5)
			} else {
				check("cut", from, b, 5)
			}
			copy(b[from:min(from+n, len(b))], bytes.Repeat([]byte{0xa5, 1, 0, 0}, n))
			check("noise", from, b, 5)
		}
	}
}

func TestForeign(t *testing.T) {
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{"empty": {nil, ErrForeign}, "short": {make([]byte, 31), ErrForeign}, "text": {bytes.Repeat([]byte("hello "), 1000), ErrForeign},
		"a huge header": {append(append([]byte{}, magic[:]...), bytes.Repeat([]byte{1, 0, 0xff, 0xff}, 100)...), ErrForeign}} {
		if _, err := NewScanner(bytes.NewReader(c.b)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	// One of whose copies of the header both tell of a newer version is known as such.
	h := AppendHeader(nil, 1, &Header{LedgerID: 1})
	h[8], h[len(h)/2+8] = 9, 9
	if _, err := NewScanner(bytes.NewReader(h)); !errors.Is(err, ErrNewer) {
		t.Errorf("newer: %v", err)
	}
	if _, err := AppendFrame(nil, 1, &Record{Kind: Received, Key: string(make([]byte, MaxPayload))}); err == nil {
		t.Error("a record over the bound was framed")
	}
}

func FuzzScan(f *testing.F) {
	f.Add(buildSegment(f, 1, 100, &Record{Kind: Shutdown}))
	f.Fuzz(func(t *testing.T, b []byte) {
		last := uint64(0)
		all, _, _ := scanAll(bytes.NewReader(b))
		for _, r := range all {
			if r.seq <= last {
				t.Fatal("numbers go back")
			}
			last = r.seq
		}
	})
}

// Reading is measured with the records of one request, the ledger's usual ones.
func BenchmarkScan(b *testing.B) {
	var all []*Record
	for range 100_000 {
		all = append(all, &Record{Kind: Received, At: time.Hour, Request: 123456, ID: "0123456789abcdef", Class: "reserva", Key: "seat-000000-000001",
			Tenant: "escuela-117", KeyID: [16]byte{1, 2}, TimeLeft: 5 * time.Second},
			&Record{Kind: Intent, At: time.Hour, Request: 123456, Attempt: 1, Endpoint: "portal-1", Cluster: "portal", Zone: "sala-centro", Window: time.Minute, Retention: time.Minute},
			&Record{Kind: Outcome, At: time.Hour, Request: 123456, Attempt: 1, Responded: true, Verdict: "ok", Status: 200},
			&Record{Kind: Final, At: time.Hour, Request: 123456, Ending: Served, Status: 200})
	}
	text := buildSegment(b, 1, 0, all...)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if n, _, _ := countRecords(text); n != len(all) {
			b.Fatal(n)
		}
	}
	b.ReportMetric(float64(len(all))*float64(b.N)/b.Elapsed().Seconds(), "records/s")
	b.ReportMetric(float64(len(text))/float64(len(all)/4), "bytes/request")
}

func countRecords(text []byte) (n int, s *Scanner, err error) {
	if s, err = NewScanner(bytes.NewReader(text)); err != nil {
		return 0, nil, err
	}
	for {
		if _, _, ok := s.Next(); !ok {
			return n, s, nil
		}
		n++
	}
}
