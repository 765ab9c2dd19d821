package simulator

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const settingsText = `{"balancers": 1, "classes": [{"deadline": 5, "effect": "free", "goal_time": 2, "worth": 1}],
	"limits": {"max_attempts": 3}}`

// littleEndian returns the encoding of v in a frame.
func littleEndian[T uint16 | uint32 | uint64 | float64 | uint8](v T) []byte {
	b, _ := binary.Append(nil, binary.LittleEndian, v)
	return b
}

// batch returns a frame with the records, at a time in seconds.
func batch(now float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	return bytes.Join([][]byte{littleEndian(uint32(len(body) + 12)), littleEndian(math.Float64bits(now)), body}, nil)
}

// openRecord returns an OPEN_INSTANCE record with seed 7 and the given settings.
func openRecord(instance uint32, text string) []byte {
	return bytes.Join([][]byte{littleEndian(uint16(1)), littleEndian(instance), littleEndian(uint64(7)),
		littleEndian(uint32(len(text))), []byte(text)}, nil)
}

// requestRecord returns an INBOUND record of class 0 and tenant 0, whose client gives up after 2 s.
func requestRecord(instance uint32, id uint64) []byte {
	return bytes.Join([][]byte{littleEndian(uint16(3)), littleEndian(instance), littleEndian(id),
		make([]byte, 13), littleEndian(2.0), make([]byte, 9)}, nil)
}

// Guards against one instance's failure affecting the others. An instance with invalid settings is reported as an exception, and the
// other instance still takes its actions.
func TestInvalidSettingsFailOnlyTheirInstance(t *testing.T) {
	var out bytes.Buffer
	in := bytes.Join([][]byte{
		batch(1, openRecord(1, settingsText), openRecord(2, `{"classes": []}`)),
		batch(2, requestRecord(1, 5), requestRecord(2, 6)),
	}, nil)
	if err := Run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out.Bytes(), []byte("Classes: none")) {
		t.Errorf("reply has no exception that names the invalid settings key: %q", out.Bytes())
	}
	reject := bytes.Join([][]byte{littleEndian(uint16(2)), littleEndian(uint32(1)), littleEndian(uint64(5))}, nil)
	if !bytes.HasSuffix(out.Bytes(), append(reject, make([]byte, 8)...)) {
		t.Errorf("reply does not end with a rejection although the valid instance has no server: %q", out.Bytes())
	}
}

func TestInputEndingWithinFrameIsError(t *testing.T) {
	complete := batch(1, openRecord(1, settingsText))
	if err := Run(bytes.NewReader(complete), &bytes.Buffer{}); err != nil {
		t.Errorf("input ending between frames: got error %v, want none", err)
	}
	err := Run(bytes.NewReader(complete[:len(complete)-3]), &bytes.Buffer{})
	if err == nil || !strings.Contains(err.Error(), "cut off") || strings.Contains(err.Error(), "\n") {
		t.Errorf("input ending within a frame: got error %v, want one line that contains \"cut off\"", err)
	}
}
