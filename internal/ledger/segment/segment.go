// Package segment is the format of the ledger's files, byte for byte (docs/LEDGER.md). It turns records into frames and a
// file's bytes back into the records that are sound, and tells what between them is not. It has no clock and opens nothing.
//
// A frame is sound by a checksum that begins with a number drawn for its segment. So neither what an earlier file left on
// the disk, nor what a caller has put into a key, is ever taken for a record.
package segment

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

const (
	// Version is that of the format. A segment of a newer one is passed over, and told of.
	Version = 1

	// MaxPayload bounds a record. A longer one can't be framed.
	MaxPayload = 4 << 10

	// HeaderReserve is what a header takes, in nearly all cases.
	HeaderReserve = 512

	prologueBytes  = 32
	maxHeaderBytes = 4 << 10
	frameHeadBytes = 16
	alignment      = 8
	readWindow     = 256 << 10 // of a file that is held in memory while it is read
)

var (
	magic    = [8]byte{'S', 'T', 'L', 'E', 'D', 'G', 'E', 'R'}
	crcTable = crc32.MakeTable(crc32.Castagnoli)

	// ErrForeign says that a file is no segment, or that its header is damaged.
	ErrForeign = errors.New("segment: no header that can be read")
	// ErrNewer says that a later version has written the segment.
	ErrNewer = errors.New("segment: of a newer format")
)

// checksum is that of a segment's frames and header: CRC-32C that begins with the segment's salt.
func checksum(salt uint64, parts ...[]byte) uint32 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], salt)
	sum := crc32.Update(0, crcTable, seed[:])
	for _, p := range parts {
		sum = crc32.Update(sum, crcTable, p)
	}
	return sum
}

func padded(n int) int { return (n + alignment - 1) / alignment * alignment }

// AppendHeader appends a segment's first bytes: its header, twice, as without it nothing of the segment can be read. The
// salt must be a random number of this segment alone.
func AppendHeader(b []byte, salt uint64, h *Header) []byte {
	text := h.append(nil)
	at := len(b)
	b = append(b, magic[:]...)
	b = binary.LittleEndian.AppendUint16(b, Version)
	b = binary.LittleEndian.AppendUint16(b, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	b = binary.LittleEndian.AppendUint64(b, salt)
	b = binary.LittleEndian.AppendUint32(b, checksum(salt, b[at:at+24], text))
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = append(b, text...)
	b = append(b, make([]byte, padded(len(text))-len(text))...)
	return append(b, b[at:]...)
}

// parseHeader reads one copy of a header from the front of b, and tells its size.
func parseHeader(b []byte) (h Header, size int, err error) {
	if len(b) < prologueBytes || !bytes.Equal(b[:8], magic[:]) {
		return h, 0, ErrForeign
	}
	version, n := binary.LittleEndian.Uint16(b[8:]), int(binary.LittleEndian.Uint32(b[12:]))
	if version > Version {
		return h, 0, fmt.Errorf("%w: %d", ErrNewer, version)
	}
	if n > maxHeaderBytes || len(b) < prologueBytes+padded(n) {
		return h, 0, ErrForeign
	}
	salt := binary.LittleEndian.Uint64(b[16:])
	text := b[prologueBytes : prologueBytes+n]
	if version == 0 || binary.LittleEndian.Uint32(b[24:]) != checksum(salt, b[:24], text) || h.parse(text) != nil {
		return h, 0, ErrForeign
	}
	h.Salt = salt
	return h, prologueBytes + padded(n), nil
}

// AppendFrame appends a record's frame without its checksum, which Seal adds once it is known in which segment it goes.
func AppendFrame(b []byte, seq uint64, r *Record) ([]byte, error) {
	at := len(b)
	b = append(b, make([]byte, frameHeadBytes)...)
	b = r.append(b)
	n := len(b) - at - frameHeadBytes
	if n > MaxPayload {
		return b[:at], fmt.Errorf("segment: a record of %d bytes", n)
	}
	binary.LittleEndian.PutUint32(b[at+4:], uint32(n))
	binary.LittleEndian.PutUint64(b[at+8:], seq)
	return append(b, make([]byte, padded(n)-n)...), nil
}

// FirstFrame returns the number of the first of a run of frames, and its size; 0 where there is none.
func FirstFrame(frames []byte) (seq uint64, size int) {
	if len(frames) < frameHeadBytes {
		return 0, 0
	}
	return binary.LittleEndian.Uint64(frames[8:]), frameHeadBytes + padded(int(binary.LittleEndian.Uint32(frames[4:])))
}

// Seal writes the checksums of a run of frames, for the segment of the salt.
func Seal(frames []byte, salt uint64) {
	for len(frames) > 0 {
		_, size := FirstFrame(frames)
		n := int(binary.LittleEndian.Uint32(frames[4:]))
		binary.LittleEndian.PutUint32(frames, checksum(salt, frames[4:frameHeadBytes+n]))
		frames = frames[size:]
	}
}

// Damage is a stretch of a segment that is not sound.
type Damage struct {
	From, To int64  // offsets
	After    uint64 // the last sound record before it, or 0
	Before   uint64 // the first one after it, or 0: it reaches to the segment's end
	Reason   string
	IsHeader bool // it is a copy of the header's
}

func (d Damage) String() string {
	return fmt.Sprintf("bytes %d to %d: %s", d.From, d.To, d.Reason)
}

// Scanner reads a segment's records. Its memory does not grow with the file.
type Scanner struct {
	Header Header
	// Damage is what was found not to be sound so far.
	Damage []Damage

	reader     *bufio.Reader
	salt       uint64
	offset     int64
	lastSeq    uint64
	record     Record
	frameBytes int // bytes of the record in hand

	names map[string]string
}

const maxInterned = 4 << 10

// intern returns a text that comes again and again, as one string.
func (s *Scanner) intern(b []byte) string {
	if is, ok := s.names[string(b)]; ok {
		return is
	}
	if len(s.names) >= maxInterned {
		s.names = nil
	}
	if s.names == nil {
		s.names = map[string]string{}
	}
	text := string(b)
	s.names[text] = text
	return text
}

// NewScanner reads a segment's header.
func NewScanner(r io.Reader) (*Scanner, error) {
	s := &Scanner{reader: bufio.NewReaderSize(r, readWindow)}
	b, _ := s.reader.Peek(2 * (prologueBytes + maxHeaderBytes))
	h, size, err := parseHeader(b)
	switch {
	case err == nil:
		if _, _, err := parseHeader(b[size:]); err != nil {
			s.Damage = append(s.Damage, Damage{From: int64(size), To: int64(min(2*size, len(b))), Reason: "the header's second copy", IsHeader: true})
		}
		size = min(2*size, len(b))
	default:
		// By the second copy: a newer version's has the word only where it has no first copy of this one's.
		for at := alignment; at+prologueBytes <= len(b); at += alignment {
			h2, size2, err2 := parseHeader(b[at:])
			if err2 == nil && at == size2 {
				h, size, err = h2, at+size2, nil
				s.Damage = append(s.Damage, Damage{From: 0, To: int64(at), Reason: "the header's first copy", IsHeader: true})
				break
			}
		}
	}
	if err != nil {
		return nil, err
	}
	s.Header, s.salt, s.offset = h, h.Salt, int64(size)
	s.reader.Discard(size)
	return s, nil
}

// Next goes to the next sound record; false: there is none. A record that is sound and can't be understood counts as damage.
func (s *Scanner) Next() (seq uint64, r *Record, ok bool) {
	s.reader.Discard(s.frameBytes)
	s.offset += int64(s.frameBytes)
	s.frameBytes = 0
	bad, nothing := int64(-1), true // where what is not sound begins; whether it is zeros alone
	why := "not sound"
	for {
		if s.atZeros() {
			if bad < 0 {
				bad = s.offset
			}
			s.reader.Discard(zeroBlock)
			s.offset += zeroBlock
			continue
		}
		head, err := s.reader.Peek(frameHeadBytes)
		if len(head) < frameHeadBytes {
			nothing = nothing && allZero(head)
			s.recordTail(bad, int64(len(head)), nothing, why, err)
			return 0, nil, false
		}
		n := int(binary.LittleEndian.Uint32(head[4:]))
		if n > 0 && n <= MaxPayload {
			size := frameHeadBytes + padded(n)
			frame, _ := s.reader.Peek(size)
			if len(frame) >= frameHeadBytes+n && binary.LittleEndian.Uint32(frame) == checksum(s.salt, frame[4:frameHeadBytes+n]) {
				seq := binary.LittleEndian.Uint64(frame[8:])
				err := s.record.parse(frame[frameHeadBytes:frameHeadBytes+n], s.intern)
				if err == nil && seq > s.lastSeq {
					if bad >= 0 {
						if nothing {
							why = "zeros where records should be"
						}
						s.Damage = append(s.Damage, Damage{From: bad, To: s.offset, After: s.lastSeq, Before: seq, Reason: why})
					}
					s.lastSeq, s.frameBytes = seq, len(frame)
					return seq, &s.record, true
				}
				if err != nil {
					why = err.Error()
				}
				if bad < 0 {
					bad = s.offset
				}
				nothing = false
				s.reader.Discard(len(frame))
				s.offset += int64(len(frame))
				continue
			}
		}
		if bad < 0 {
			bad = s.offset
		}
		nothing = nothing && allZero(head[:alignment])
		s.reader.Discard(alignment)
		s.offset += alignment
	}
}

// recordTail notes what stands behind the last sound record, unless it is room that was never written.
func (s *Scanner) recordTail(bad, rest int64, nothing bool, why string, err error) {
	if err != nil && err != io.EOF {
		s.Damage = append(s.Damage, Damage{From: s.offset, To: s.offset + rest, After: s.lastSeq, Reason: "can't be read: " + err.Error()})
		return
	}
	if nothing {
		return
	}
	if bad < 0 {
		bad = s.offset
	}
	s.Damage = append(s.Damage, Damage{From: bad, To: s.offset + rest, After: s.lastSeq, Reason: why})
}

const zeroBlock = 4 << 10

var zeroBytes [zeroBlock]byte

// atZeros tells whether a long run of zeros follows. A frame that begins within it is not passed over: the run is on the
// alignment, and a frame's first eight bytes are never all zero, as its length is not.
func (s *Scanner) atZeros() bool {
	b, _ := s.reader.Peek(zeroBlock)
	return len(b) == zeroBlock && bytes.Equal(b, zeroBytes[:])
}

func allZero(b []byte) bool { return bytes.Equal(b, zeroBytes[:len(b)]) }
