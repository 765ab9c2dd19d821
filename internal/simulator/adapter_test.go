package simulator

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const profile = `{"balancers": 1, "classes": [{"deadline": 5, "effect": "free", "goal_time": 2, "worth": 1}],
	"limits": {"max_attempts": 3}}`

func le[T uint16 | uint32 | uint64 | float64 | uint8](v T) []byte {
	b, _ := binary.Append(nil, binary.LittleEndian, v)
	return b
}

func batch(now float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	return bytes.Join([][]byte{le(uint32(len(body) + 12)), le(math.Float64bits(now)), body}, nil)
}

func open(inst uint32, text string) []byte {
	return bytes.Join([][]byte{le(uint16(1)), le(inst), le(uint64(7)), le(uint32(len(text))), []byte(text)}, nil)
}

func inbound(inst uint32, id uint64) []byte {
	return bytes.Join([][]byte{le(uint16(3)), le(inst), le(id), make([]byte, 13), le(2.0), make([]byte, 9)}, nil)
}

// Each instance's profile and state are its own; one whose profile are bad is an exception, the others go on.
func TestInstances(t *testing.T) {
	var out bytes.Buffer
	in := bytes.Join([][]byte{
		batch(1, open(1, profile), open(2, `{"classes": []}`)),
		batch(2, inbound(1, 5), inbound(2, 6)),
	}, nil)
	if err := Run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out.Bytes(), []byte("Classes: none")) {
		t.Errorf("no exception that names the key: %q", out.Bytes())
	}
	refuse := bytes.Join([][]byte{le(uint16(2)), le(uint32(1)), le(uint64(5))}, nil)
	if !bytes.HasSuffix(out.Bytes(), append(refuse, make([]byte, 8)...)) {
		t.Errorf("no refusal while there is no server: %q", out.Bytes())
	}
}

func TestInputEnds(t *testing.T) {
	whole := batch(1, open(1, profile))
	if err := Run(bytes.NewReader(whole), &bytes.Buffer{}); err != nil {
		t.Errorf("end between frames: %v", err)
	}
	err := Run(bytes.NewReader(whole[:len(whole)-3]), &bytes.Buffer{})
	if err == nil || !strings.Contains(err.Error(), "cut off") || strings.Contains(err.Error(), "\n") {
		t.Errorf("end within a frame: %v", err)
	}
}
