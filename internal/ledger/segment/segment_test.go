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

// recordGenerator generates records of any kind, with values in most fields.
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

// buildSegment encodes a segment of records with the sequence numbers 1, 2, ..., followed by unusedBytes of zeros as in a
// preallocated file.
func buildSegment(t interface{ Fatal(...any) }, salt uint64, unusedBytes int, records ...*Record) []byte {
	b := AppendHeader(nil, salt, &Header{LedgerID: 7, Number: 3, FirstSeq: 1, Process: 9, Host: "north-1", BootID: "b", StartedAt: 1e15, Mode: "group"})
	headerBytes := len(b)
	for i, r := range records {
		var err error
		if b, err = AppendFrame(b, uint64(i+1), r); err != nil {
			t.Fatal(err)
		}
	}
	Seal(b[headerBytes:], salt)
	return append(b, make([]byte, unusedBytes)...)
}

// scannedRecord is a record with its sequence number, as it was read.
type scannedRecord struct {
	seq uint64
	r   Record
}

// scanAll reads all valid records of a segment.
func scanAll(r io.Reader) (records []scannedRecord, s *Scanner, err error) {
	if s, err = NewScanner(r); err != nil {
		return nil, nil, err
	}
	for {
		seq, r, ok := s.Next()
		if !ok {
			return records, s, nil
		}
		records = append(records, scannedRecord{seq, *r})
	}
}

// All records of a segment are read as they were written, also when the reader returns few bytes at a time. Zeros after the last
// record are not damage.
func TestWrittenRecordsAreReadUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := rapid.SliceOfN(recordGenerator, 0, 8).Draw(t, "records")
		b := buildSegment(t, rapid.Uint64().Draw(t, "salt"), rapid.IntRange(0, 3).Draw(t, "room")*4000, written...)
		got, s, err := scanAll(iotest.HalfReader(bytes.NewReader(b)))
		if err != nil || len(got) != len(written) || len(s.Damage) > 0 || s.Header.Host != "north-1" || s.Header.LedgerID != 7 {
			t.Fatalf("scan returned error %v and %d of %d records; scanner %v", err, len(got), len(written), s)
		}
		for i, g := range got {
			if g.seq != uint64(i+1) || g.r != *written[i] {
				t.Fatalf("record %d is read as %+v, want %+v", i, g, written[i])
			}
		}
	})
}

// sampleSegment returns a segment of five records. The key of the last record contains an encoded segment with another salt, whose
// record must never be read as a record of this segment.
func sampleSegment(t *testing.T) []byte {
	t.Helper()
	records := []*Record{{Kind: Received, Request: 1, ID: "a", Class: "seat", Key: "k", TimeLeft: time.Second, KeyID: [16]byte{1}},
		{Kind: Intent, Request: 1, Attempt: 1, Endpoint: "n1", Zone: "north", Window: time.Minute},
		{Kind: Outcome, Request: 1, Attempt: 1, Responded: true, Verdict: "ok", Status: 200},
		{Kind: Final, Request: 1, Ending: Served, Status: 200}}
	forged := buildSegment(t, 42, 0, &Record{Kind: Final, Request: 99, Ending: Served, Status: 200})
	records = append(records, &Record{Kind: Received, Request: 2, ID: "b", Class: "seat", Key: string(forged[len(forged)-32:]) + string(forged)})
	return buildSegment(t, 43, 0, records...)
}

// A segment is cut at any byte, has any bit flipped, or has 8, 64 or 512 bytes zeroed or overwritten at any multiple of 8. Only
// records that were written are read from it, in their order. Missing records are reported as damage, unless the file ends
// early.
func TestDamagedSegmentYieldsOnlyWrittenRecords(t *testing.T) {
	intact := sampleSegment(t)
	want, _, err := scanAll(bytes.NewReader(intact))
	if err != nil || len(want) != 5 {
		t.Fatalf("scan of the intact segment returned error %v and %d records, want 5", err, len(want))
	}
	check := func(damage string, at int, b []byte, maxLost int) {
		t.Helper()
		got, s, err := scanAll(bytes.NewReader(b))
		if err != nil {
			if !errors.Is(err, ErrInvalidHeader) && !errors.Is(err, ErrUnsupportedVersion) || maxLost == 0 {
				t.Fatalf("%s at byte %d: unexpected error %v", damage, at, err)
			}
			return
		}
		last := uint64(0)
		for _, g := range got {
			if g.seq <= last || g.seq > 5 || g != want[g.seq-1] {
				t.Fatalf("%s at byte %d: record was never written, or is out of order: %+v", damage, at, g)
			}
			last = g.seq
		}
		if len(got) < len(want)-maxLost {
			t.Fatalf("%s at byte %d: only %d records are read", damage, at, len(got))
		}
		if len(got) < len(want) && len(s.Damage) == 0 && damage != "cut" {
			t.Fatalf("%s at byte %d: only %d records are read, and no damage is reported", damage, at, len(got))
		}
	}
	for i := range intact {
		check("cut", i, intact[:i], 5)
		for bit := range 8 {
			b := slices.Clone(intact)
			b[i] ^= 1 << bit
			check("flip", i, b, 1) // the header has a second copy, and a damaged frame loses only its own record
		}
	}
	for from := 0; from < len(intact); from += 8 {
		for _, n := range []int{8, 64, 512} {
			b := slices.Clone(intact)
			clear(b[from:min(from+n, len(b))])
			if from+n < len(b) { // zeros up to the end look like space that was never written, and are not damage
				check("zeros", from, b, 5)
			} else {
				check("cut", from, b, 5)
			}
			copy(b[from:min(from+n, len(b))], bytes.Repeat([]byte{0xa5, 1, 0, 0}, n))
			check("noise", from, b, 5)
		}
	}
}

// Files without a readable header and segments of a newer format version are rejected, each with its own error. A record that is
// too large is not encoded.
func TestInvalidHeadersAndOversizedRecordsAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{"empty": {nil, ErrInvalidHeader}, "short": {make([]byte, 31), ErrInvalidHeader}, "text": {bytes.Repeat([]byte("hello "), 1000), ErrInvalidHeader},
		"a huge header": {append(append([]byte{}, magic[:]...), bytes.Repeat([]byte{1, 0, 0xff, 0xff}, 100)...), ErrInvalidHeader}} {
		if _, err := NewScanner(bytes.NewReader(c.b)); !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, want the one for an invalid header", name, err)
		}
	}
	// Both copies of the header have a newer version.
	header := AppendHeader(nil, 1, &Header{LedgerID: 1})
	header[8], header[len(header)/2+8] = 9, 9
	if _, err := NewScanner(bytes.NewReader(header)); !errors.Is(err, ErrUnsupportedVersion) {
		t.Errorf("header of a newer version: got error %v, want the one for an unsupported version", err)
	}
	if _, err := AppendFrame(nil, 1, &Record{Kind: Received, Key: string(make([]byte, MaxPayload))}); err == nil {
		t.Error("record larger than MaxPayload was encoded")
	}
}

// FuzzScan checks that the sequence numbers of the records read from any bytes increase.
func FuzzScan(f *testing.F) {
	f.Add(buildSegment(f, 1, 100, &Record{Kind: Shutdown}))
	f.Fuzz(func(t *testing.T, b []byte) {
		last := uint64(0)
		records, _, _ := scanAll(bytes.NewReader(b))
		for _, r := range records {
			if r.seq <= last {
				t.Fatal("sequence numbers do not increase")
			}
			last = r.seq
		}
	})
}

// BenchmarkScan measures reading the four records that most requests have.
func BenchmarkScan(b *testing.B) {
	var records []*Record
	for range 100_000 {
		records = append(records, &Record{Kind: Received, At: time.Hour, Request: 123456, ID: "0123456789abcdef", Class: "reserva", Key: "seat-000000-000001",
			Tenant: "escuela-117", KeyID: [16]byte{1, 2}, TimeLeft: 5 * time.Second},
			&Record{Kind: Intent, At: time.Hour, Request: 123456, Attempt: 1, Endpoint: "portal-1", Cluster: "portal", Zone: "sala-centro", Window: time.Minute, Retention: time.Minute},
			&Record{Kind: Outcome, At: time.Hour, Request: 123456, Attempt: 1, Responded: true, Verdict: "ok", Status: 200},
			&Record{Kind: Final, At: time.Hour, Request: 123456, Ending: Served, Status: 200})
	}
	encoded := buildSegment(b, 1, 0, records...)
	b.SetBytes(int64(len(encoded)))
	for b.Loop() {
		if n, _, _ := countRecords(encoded); n != len(records) {
			b.Fatal(n)
		}
	}
	b.ReportMetric(float64(len(records))*float64(b.N)/b.Elapsed().Seconds(), "records/s")
	b.ReportMetric(float64(len(encoded))/float64(len(records)/4), "bytes/request")
}

// countRecords returns the number of valid records of an encoded segment.
func countRecords(encoded []byte) (n int, s *Scanner, err error) {
	if s, err = NewScanner(bytes.NewReader(encoded)); err != nil {
		return 0, nil, err
	}
	for {
		if _, _, ok := s.Next(); !ok {
			return n, s, nil
		}
		n++
	}
}
