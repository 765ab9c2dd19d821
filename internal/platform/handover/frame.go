package handover

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
)

// headerBytes is the size of a frame's header, which holds the length of the message as a big-endian number.
const headerBytes = 4

// encodeFrame returns the frame of a message: its length in four bytes, followed by the message as JSON.
func encodeFrame(m *Message) ([]byte, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if len(text) > maxFrameBytes {
		return nil, errFrameTooLarge
	}
	frame := make([]byte, 0, headerBytes+len(text))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(text)))
	return append(frame, text...), nil
}

// readFrame reads and validates one message.
func readFrame(r io.Reader) (*Message, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrameBytes {
		return nil, errFrameTooLarge
	}
	// The buffer grows as bytes arrive, so a large length in the header alone allocates no memory.
	text, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(text) < int(n) {
		return nil, io.ErrUnexpectedEOF
	}
	m := &Message{}
	if err := json.Unmarshal(text, m); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return m, m.validate()
}
