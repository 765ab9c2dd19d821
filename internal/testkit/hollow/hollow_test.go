package hollow

import (
	"encoding/binary"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
)

func frame(kind byte, stream uint32, payload []byte) []byte {
	b := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, 0}
	return append(binary.BigEndian.AppendUint32(b, stream), payload...)
}

func message(n int) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(n)), make([]byte, n)...)
}

// Messages are counted once each, however the bytes come: over several frames, several to a frame, behind other frames, on the next stream.
func TestFrames(t *testing.T) {
	long := message(300)
	text := []byte(preface)
	text = append(text, frame(4, 0, make([]byte, 12))...) // SETTINGS
	text = append(text, frame(1, 1, make([]byte, 40))...) // HEADERS
	text = append(text, frame(0, 1, long[:3])...)         // a message over three frames
	text = append(text, frame(8, 1, make([]byte, 4))...)  // WINDOW_UPDATE between them
	text = append(text, frame(0, 1, long[3:200])...)
	text = append(text, frame(0, 1, long[200:])...)
	text = append(text, frame(0, 1, append(message(0), message(7)...))...)
	text = append(text, frame(0, 3, message(1))...)
	for size := 1; size < len(text); size++ {
		f := &messageCounter{skip: len(preface)}
		got := 0
		for chunk := range slices.Chunk(text, size) {
			got += f.count(chunk)
		}
		if got != 4 {
			t.Fatalf("in pieces of %d: %d messages, want 4", size, got)
		}
	}
}

// Members of one service need the same clusters, none its own; a change moves the versions of what it names alone, and a lost zone's members are in
// no set until they are back.
func TestState(t *testing.T) {
	s := NewState(200, 5, 7)
	if s.Services() != 34 {
		t.Errorf("%d services", s.Services())
	}
	needs := s.Needs(3)
	if len(needs) != 6 || needs[0] != Everywhere || slices.Contains(needs, service(3)) || !slices.Equal(needs, s.Needs(3+34)) {
		t.Error(needs)
	}
	s.Touch(4)
	s.Change("127.0.0.1:1")
	if s.Version(service(4)) != 2 || s.Version(Everywhere) != 3 || s.Version(service(5)) != 1 {
		t.Error(s.Changed)
	}
	members := func() (n int) {
		for i := range s.Services() {
			for _, l := range s.Set(service(i)).Endpoints {
				n += len(l.LbEndpoints)
			}
		}
		return n
	}
	before := proto.Clone(s.Set(service(0)))
	s.Lose(true, "127.0.0.1:2")
	if n := members(); n != 200-29 {
		t.Errorf("%d members while 29 are lost", n)
	}
	s.Lose(false, "127.0.0.1:3")
	if n := members(); n != 200 || s.Version(service(0)) != 5 || proto.Equal(before, s.Set(service(0))) {
		t.Errorf("%d members, version %d", n, s.Version(service(0)))
	}
}
