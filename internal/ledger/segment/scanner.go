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
	readBufferBytes = 256 << 10 // bytes of the file that are held in memory
	maxInterned     = 4 << 10   // maximum number of texts that are cached for reuse
	zeroBlockBytes  = 4 << 10   // bytes that are skipped at once where the file contains only zeros
)

// Damage is a part of a segment that contains no valid record or header copy.
type Damage struct {
	From, To int64  // offsets in bytes; To is excluded
	After    uint64 // sequence number of the last valid record before the damage, or 0
	Before   uint64 // sequence number of the first valid record after the damage; 0: the damage extends to the end of the segment
	Reason   string
	IsHeader bool // the damaged part is a copy of the header
}

func (d Damage) String() string {
	return fmt.Sprintf("bytes %d to %d: %s", d.From, d.To, d.Reason)
}

// Scanner reads the records of a segment. Its memory does not grow with the size of the file.
type Scanner struct {
	Header Header
	// Damage lists the damaged parts found so far.
	Damage []Damage

	reader     *bufio.Reader
	salt       uint64
	offset     int64
	lastSeq    uint64
	record     Record
	frameBytes int // size of the frame that the last call of Next returned

	internedTexts map[string]string
}

// intern returns the string of a text. Equal texts share one string, since many records repeat the same names.
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

// NewScanner reads the header of a segment and returns a scanner of its records.
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

// readHeader reads the header from its first copy, or from the second one if the first is damaged. It returns the size of both.
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

// readSecondHeader searches for the second copy of the header, whose offset must equal its size. If there is none, it returns the
// error of the first copy.
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

// invalidRun is the part of a segment since the last valid record that contains no valid frame.
type invalidRun struct {
	from    int64 // offset; -1: there is no such part
	isEmpty bool  // it contains only zeros
	reason  string
}

// begin starts the run at an offset, unless it has started before.
func (v *invalidRun) begin(offset int64) {
	if v.from < 0 {
		v.from = offset
	}
}

// Next reads the next valid record. ok is false if there is none. A frame with a valid checksum counts as damage if its record
// cannot be parsed, or if its sequence number is not larger than that of the record before it.
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

// validFrame returns the frame at the current offset if its checksum is valid, else nil. A frame whose padding is cut off by the
// end of the file is valid, and is returned without the missing padding.
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

// parseFrame parses the record of a frame whose checksum is valid.
func (s *Scanner) parseFrame(frame []byte) (seq uint64, err error) {
	length := int(binary.LittleEndian.Uint32(frame[payloadLengthOffset:]))
	seq = binary.LittleEndian.Uint64(frame[seqOffset:])
	return seq, s.record.parse(frame[frameHeadBytes:frameHeadBytes+length], s.intern)
}

// recordDamage records the damage, if any, before the valid record with a sequence number.
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

// recordTail records the damage after the last valid record. Zeros up to the end of the file are preallocated space that was
// never written, and not damage. A read error is damage.
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

// atZeros reports whether a block of zeros follows that can be skipped at once. No frame starts within such a block: frames are
// aligned to 8 bytes, and the first 8 bytes of a frame contain its length, which is never zero.
func (s *Scanner) atZeros() bool {
	b, _ := s.reader.Peek(zeroBlockBytes)
	return len(b) == zeroBlockBytes && bytes.Equal(b, zeroBytes[:])
}

func allZero(b []byte) bool { return bytes.Equal(b, zeroBytes[:len(b)]) }
