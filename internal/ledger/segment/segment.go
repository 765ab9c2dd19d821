// Package segment is the file format of the ledger, byte for byte (docs/LEDGER.md). It encodes records as frames, and reads
// from a file the records that are valid, and what between them is not. It reads no clock and opens no files.
//
// A frame is valid by a checksum that starts with a random number of its segment. So neither what an earlier file has left
// on the disk, nor what a client has put into a key, is ever taken for a record.
package segment

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

const (
	// Version is the version of the format. A segment of a newer one is skipped and reported.
	Version = 1

	// MaxPayload bounds an encoded record.
	MaxPayload = 4 << 10

	// HeaderReserve is the space that a header takes in nearly all cases.
	HeaderReserve = 512

	prologueBytes  = 32
	maxHeaderBytes = 4 << 10
	frameHeadBytes = 16
	alignment      = 8
)

// The layout of the prologue, which is followed by the encoded header and padding.
const (
	versionOffset  = 8 // after the magic bytes
	lengthOffset   = 12
	saltOffset     = 16
	checksumOffset = 24
)

// The layout of a frame's head, which is followed by the encoded record and padding.
const (
	payloadLengthOffset = 4 // after the checksum
	seqOffset           = 8
)

var (
	magic    = [8]byte{'S', 'T', 'L', 'E', 'D', 'G', 'E', 'R'}
	crcTable = crc32.MakeTable(crc32.Castagnoli)

	// ErrForeign means that a file is no segment, or that its header is damaged.
	ErrForeign = errors.New("segment: no header that can be read")
	// ErrNewer means that a later version has written the segment.
	ErrNewer = errors.New("segment: of a newer format")
)

// checksum returns the CRC-32C of a segment's frame or header, which starts with the salt of the segment.
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

// AppendHeader appends a segment's first bytes: its header, twice, as nothing of the segment can be read without it. The salt
// must be a random number of this segment only.
func AppendHeader(b []byte, salt uint64, h *Header) []byte {
	text := h.append(nil)
	start := len(b)
	b = append(b, magic[:]...)
	b = binary.LittleEndian.AppendUint16(b, Version)
	b = binary.LittleEndian.AppendUint16(b, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	b = binary.LittleEndian.AppendUint64(b, salt)
	b = binary.LittleEndian.AppendUint32(b, checksum(salt, b[start:start+checksumOffset], text))
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = append(b, text...)
	b = append(b, make([]byte, padded(len(text))-len(text))...)
	return append(b, b[start:]...)
}

// parseHeader parses one copy of a header, and returns its size.
func parseHeader(b []byte) (h Header, size int, err error) {
	if len(b) < prologueBytes || !bytes.Equal(b[:len(magic)], magic[:]) {
		return h, 0, ErrForeign
	}
	version := binary.LittleEndian.Uint16(b[versionOffset:])
	length := int(binary.LittleEndian.Uint32(b[lengthOffset:]))
	if version > Version {
		return h, 0, fmt.Errorf("%w: %d", ErrNewer, version)
	}
	if length > maxHeaderBytes || len(b) < prologueBytes+padded(length) {
		return h, 0, ErrForeign
	}
	salt := binary.LittleEndian.Uint64(b[saltOffset:])
	text := b[prologueBytes : prologueBytes+length]
	isValid := binary.LittleEndian.Uint32(b[checksumOffset:]) == checksum(salt, b[:checksumOffset], text)
	if version == 0 || !isValid || h.parse(text) != nil {
		return h, 0, ErrForeign
	}
	h.Salt = salt
	return h, prologueBytes + padded(length), nil
}

// AppendFrame appends a record's frame without its checksum, which Seal adds once the segment is known.
func AppendFrame(b []byte, seq uint64, r *Record) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, frameHeadBytes)...)
	b = r.append(b)
	length := len(b) - start - frameHeadBytes
	if length > MaxPayload {
		return b[:start], fmt.Errorf("segment: a record of %d bytes", length)
	}
	binary.LittleEndian.PutUint32(b[start+payloadLengthOffset:], uint32(length))
	binary.LittleEndian.PutUint64(b[start+seqOffset:], seq)
	return append(b, make([]byte, padded(length)-length)...), nil
}

// FirstFrame returns the sequence number of the first of consecutive frames, and its size; 0 if there is none.
func FirstFrame(frames []byte) (seq uint64, size int) {
	if len(frames) < frameHeadBytes {
		return 0, 0
	}
	length := int(binary.LittleEndian.Uint32(frames[payloadLengthOffset:]))
	return binary.LittleEndian.Uint64(frames[seqOffset:]), frameHeadBytes + padded(length)
}

// Seal sets the checksums of consecutive frames, for the segment with a salt.
func Seal(frames []byte, salt uint64) {
	for len(frames) > 0 {
		_, size := FirstFrame(frames)
		length := int(binary.LittleEndian.Uint32(frames[payloadLengthOffset:]))
		sum := checksum(salt, frames[payloadLengthOffset:frameHeadBytes+length])
		binary.LittleEndian.PutUint32(frames, sum)
		frames = frames[size:]
	}
}
