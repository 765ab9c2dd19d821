// Package segment implements the file format of the ledger, which docs/LEDGER.md specifies byte for byte. It encodes records as
// frames. From a file it reads the valid records, and reports the parts between them that are damaged. It reads no clock
// and opens no files.
//
// A frame is valid if its checksum is. The checksum starts with the salt, a random number of the segment. So neither data that
// an earlier file has left on the disk, nor bytes that a client has put into a key, are ever read as a record.
package segment

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

const (
	// Version is the version of the format. Readers skip and report a segment of a newer version.
	Version = 1

	// MaxPayload is the maximum size of an encoded record in bytes.
	MaxPayload = 4 << 10

	// HeaderReserve is the space in bytes that suffices for a header in nearly all cases.
	HeaderReserve = 512

	prologueBytes  = 32
	maxHeaderBytes = 4 << 10
	frameHeadBytes = 16
	alignment      = 8
)

// The offsets of the prologue's fields. The encoded header and padding follow the prologue.
const (
	versionOffset  = 8 // after the magic bytes
	lengthOffset   = 12
	saltOffset     = 16
	checksumOffset = 24
)

// The offsets of the fields in a frame's head. The encoded record and padding follow the head.
const (
	payloadLengthOffset = 4 // after the checksum
	seqOffset           = 8
)

var (
	magic    = [8]byte{'S', 'T', 'L', 'E', 'D', 'G', 'E', 'R'}
	crcTable = crc32.MakeTable(crc32.Castagnoli)

	// ErrInvalidHeader means that a file is not a segment, or that both copies of its header are damaged.
	ErrInvalidHeader = errors.New("segment: no header that can be read")
	// ErrUnsupportedVersion means that the segment has a newer format version.
	ErrUnsupportedVersion = errors.New("segment: of a newer format")
)

// checksum returns the CRC-32C of the salt of a segment, followed by the parts of a frame or header.
func checksum(salt uint64, parts ...[]byte) uint32 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], salt)
	sum := crc32.Update(0, crcTable, seed[:])
	for _, p := range parts {
		sum = crc32.Update(sum, crcTable, p)
	}
	return sum
}

// padded rounds a length up to a multiple of the alignment.
func padded(n int) int { return (n + alignment - 1) / alignment * alignment }

// AppendHeader appends two copies of a segment's header, since no record of the segment can be read without a header. The salt
// must be a random number that no other segment uses.
func AppendHeader(b []byte, salt uint64, h *Header) []byte {
	fields := h.append(nil)
	start := len(b)
	b = append(b, magic[:]...)
	b = binary.LittleEndian.AppendUint16(b, Version)
	b = binary.LittleEndian.AppendUint16(b, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(fields)))
	b = binary.LittleEndian.AppendUint64(b, salt)
	b = binary.LittleEndian.AppendUint32(b, checksum(salt, b[start:start+checksumOffset], fields))
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = append(b, fields...)
	b = append(b, make([]byte, padded(len(fields))-len(fields))...)
	return append(b, b[start:]...)
}

// parseHeader parses one copy of a header, and returns its size.
func parseHeader(b []byte) (h Header, size int, err error) {
	if len(b) < prologueBytes || !bytes.Equal(b[:len(magic)], magic[:]) {
		return h, 0, ErrInvalidHeader
	}
	version := binary.LittleEndian.Uint16(b[versionOffset:])
	length := int(binary.LittleEndian.Uint32(b[lengthOffset:]))
	if version > Version {
		return h, 0, fmt.Errorf("%w: %d", ErrUnsupportedVersion, version)
	}
	if length > maxHeaderBytes || len(b) < prologueBytes+padded(length) {
		return h, 0, ErrInvalidHeader
	}
	salt := binary.LittleEndian.Uint64(b[saltOffset:])
	fields := b[prologueBytes : prologueBytes+length]
	isValid := binary.LittleEndian.Uint32(b[checksumOffset:]) == checksum(salt, b[:checksumOffset], fields)
	if version == 0 || !isValid || h.parse(fields) != nil {
		return h, 0, ErrInvalidHeader
	}
	h.Salt = salt
	return h, prologueBytes + padded(length), nil
}

// AppendFrame appends the frame of a record without its checksum. Seal adds the checksum once the salt of the segment is known.
func AppendFrame(b []byte, seq uint64, r *Record) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, frameHeadBytes)...)
	b = r.append(b)
	length := len(b) - start - frameHeadBytes
	if length > MaxPayload {
		return b[:start], fmt.Errorf("segment: encoded record of %d bytes exceeds MaxPayload", length)
	}
	binary.LittleEndian.PutUint32(b[start+payloadLengthOffset:], uint32(length))
	binary.LittleEndian.PutUint64(b[start+seqOffset:], seq)
	return append(b, make([]byte, padded(length)-length)...), nil
}

// FirstFrame returns the sequence number and the size of the first of consecutive frames, or zeros if there is none.
func FirstFrame(frames []byte) (seq uint64, size int) {
	if len(frames) < frameHeadBytes {
		return 0, 0
	}
	length := int(binary.LittleEndian.Uint32(frames[payloadLengthOffset:]))
	return binary.LittleEndian.Uint64(frames[seqOffset:]), frameHeadBytes + padded(length)
}

// Seal sets the checksums of consecutive frames for the segment with the given salt.
func Seal(frames []byte, salt uint64) {
	for len(frames) > 0 {
		_, size := FirstFrame(frames)
		length := int(binary.LittleEndian.Uint32(frames[payloadLengthOffset:]))
		sum := checksum(salt, frames[payloadLengthOffset:frameHeadBytes+length])
		binary.LittleEndian.PutUint32(frames, sum)
		frames = frames[size:]
	}
}
