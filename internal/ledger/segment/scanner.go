package segment

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	readBufferBytes = 256 << 10 // bytes of a file that are held in memory while it is read
	maxInterned     = 4 << 10   // texts
	zeroBlockBytes  = 4 << 10   // bytes that are skipped at once where a file is empty
)

// Damage is a part of a segment that is not valid.
type Damage struct {
	From, To int64  // offsets
	After    uint64 // the last valid record before it, or 0
	Before   uint64 // the first valid record after it, or 0: it extends to the segment's end
	Reason   string
	IsHeader bool // it is a copy of the header
}

func (d Damage) String() string {
	return fmt.Sprintf("bytes %d to %d: %s", d.From, d.To, d.Reason)
}

// Scanner reads a segment's records. Its memory does not grow with the file.
type Scanner struct {
	Header Header
	// Damage is what was found not to be valid so far.
	Damage []Damage

	reader     *bufio.Reader
	salt       uint64
	offset     int64
	lastSeq    uint64
	record     Record
	frameBytes int // of the present record

	internedTexts map[string]string
}

// intern returns a text that is repeated often, as one string.
func (s *Scanner) intern(b []byte) string {
	if known, ok := s.internedTexts[string(b)]; ok {
		return known
	}
	if len(s.internedTexts) >= maxInterned {
		s.internedTexts = nil
	}
	if s.internedTexts == nil {
		s.internedTexts = map[string]string{}
	}
	text := string(b)
	s.internedTexts[text] = text
	return text
}

// NewScanner reads a segment's header.
func NewScanner(r io.Reader) (*Scanner, error) {
	s := &Scanner{reader: bufio.NewReaderSize(r, readBufferBytes)}
	b, _ := s.reader.Peek(2 * (prologueBytes + maxHeaderBytes))
	size, err := s.readHeader(b)
	if err != nil {
		return nil, err
	}
	s.salt, s.offset = s.Header.Salt, int64(size)
	s.reader.Discard(size)
	return s, nil
}

// readHeader reads the header by its first copy, or by the second one, and returns the size of both.
func (s *Scanner) readHeader(b []byte) (size int, err error) {
	h, size, err := parseHeader(b)
	if err != nil {
		return s.readSecondHeader(b, err)
	}
	s.Header = h
	if _, _, err := parseHeader(b[size:]); err != nil {
		s.Damage = append(s.Damage, Damage{From: int64(size), To: int64(min(2*size, len(b))), Reason: "the header's second copy", IsHeader: true})
	}
	return min(2*size, len(b)), nil
}

// readSecondHeader looks for the second copy of a header. Without one it returns the error of the first copy.
func (s *Scanner) readSecondHeader(b []byte, firstErr error) (size int, err error) {
	for at := alignment; at+prologueBytes <= len(b); at += alignment {
		h, size, err := parseHeader(b[at:])
		if err == nil && at == size {
			s.Header = h
			s.Damage = append(s.Damage, Damage{From: 0, To: int64(at), Reason: "the header's first copy", IsHeader: true})
			return at + size, nil
		}
	}
	return 0, firstErr
}

// invalidRun is a part of a segment, before the next valid record, that is not valid.
type invalidRun struct {
	from    int64 // -1: there is none
	isEmpty bool  // it holds only zeros
	reason  string
}

// begin adds the present offset.
func (v *invalidRun) begin(offset int64) {
	if v.from < 0 {
		v.from = offset
	}
}

// Next reads the next valid record; ok is false if there is none. A valid frame whose record cannot be parsed counts as
// damage.
func (s *Scanner) Next() (seq uint64, r *Record, ok bool) {
	s.skip(s.frameBytes)
	s.frameBytes = 0
	invalid := invalidRun{from: -1, isEmpty: true, reason: "not sound"}
	for {
		if s.atZeros() {
			invalid.begin(s.offset)
			s.skip(zeroBlockBytes)
			continue
		}
		head, err := s.reader.Peek(frameHeadBytes)
		if len(head) < frameHeadBytes {
			invalid.isEmpty = invalid.isEmpty && allZero(head)
			s.recordTail(invalid, int64(len(head)), err)
			return 0, nil, false
		}
		frame := s.validFrame(head)
		if frame == nil {
			invalid.begin(s.offset)
			invalid.isEmpty = invalid.isEmpty && allZero(head[:alignment])
			s.skip(alignment)
			continue
		}
		seq, err := s.parseFrame(frame)
		if err == nil && seq > s.lastSeq {
			s.recordDamage(invalid, seq)
			s.lastSeq, s.frameBytes = seq, len(frame)
			return seq, &s.record, true
		}
		if err != nil {
			invalid.reason = err.Error()
		}
		invalid.begin(s.offset)
		invalid.isEmpty = false
		s.skip(len(frame))
	}
}

func (s *Scanner) skip(n int) {
	s.reader.Discard(n)
	s.offset += int64(n)
}

// validFrame returns the frame at the present offset if its checksum is valid, else nil. Padding that is cut off at the end of
// the file is not part of it.
func (s *Scanner) validFrame(head []byte) []byte {
	length := int(binary.LittleEndian.Uint32(head[payloadLengthOffset:]))
	if length == 0 || length > MaxPayload {
		return nil
	}
	frame, _ := s.reader.Peek(frameHeadBytes + padded(length))
	if len(frame) < frameHeadBytes+length {
		return nil
	}
	if binary.LittleEndian.Uint32(frame) != checksum(s.salt, frame[payloadLengthOffset:frameHeadBytes+length]) {
		return nil
	}
	return frame
}

// parseFrame parses the record of a valid frame.
func (s *Scanner) parseFrame(frame []byte) (seq uint64, err error) {
	length := int(binary.LittleEndian.Uint32(frame[payloadLengthOffset:]))
	seq = binary.LittleEndian.Uint64(frame[seqOffset:])
	return seq, s.record.parse(frame[frameHeadBytes:frameHeadBytes+length], s.intern)
}

// recordDamage records what is invalid before a record.
func (s *Scanner) recordDamage(v invalidRun, seq uint64) {
	if v.from < 0 {
		return
	}
	reason := v.reason
	if v.isEmpty {
		reason = "zeros where records should be"
	}
	s.Damage = append(s.Damage, Damage{From: v.from, To: s.offset, After: s.lastSeq, Before: seq, Reason: reason})
}

// recordTail records what is invalid after the last record, unless it is space that was never written.
func (s *Scanner) recordTail(v invalidRun, rest int64, err error) {
	if err != nil && !errors.Is(err, io.EOF) {
		s.Damage = append(s.Damage, Damage{From: s.offset, To: s.offset + rest, After: s.lastSeq, Reason: "can't be read: " + err.Error()})
		return
	}
	if v.isEmpty {
		return
	}
	v.begin(s.offset)
	s.Damage = append(s.Damage, Damage{From: v.from, To: s.offset + rest, After: s.lastSeq, Reason: v.reason})
}

var zeroBytes [zeroBlockBytes]byte

// atZeros reports whether a long run of zeros follows. A frame that starts within it is not skipped: the run is aligned, and a
// frame's first eight bytes are never all zero, as its length is not.
func (s *Scanner) atZeros() bool {
	b, _ := s.reader.Peek(zeroBlockBytes)
	return len(b) == zeroBlockBytes && bytes.Equal(b, zeroBytes[:])
}

func allZero(b []byte) bool { return bytes.Equal(b, zeroBytes[:len(b)]) }
