package segment

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// The field numbers of a record. A number is never reused for another field. Readers ignore unknown numbers.
const (
	fieldKind protowire.Number = iota + 1
	fieldAt
	fieldRequest
	fieldID
	fieldClass
	fieldKey
	fieldTenant
	fieldKeyID
	fieldFingerprint
	fieldTimeLeft
	fieldFromSite
	fieldAttempt
	fieldEndpoint
	fieldCluster
	fieldZone
	fieldCell
	fieldScope
	fieldWindow
	fieldRetention
	fieldNeverRan
	fieldResponded
	fieldVerdict
	fieldStatus
	fieldEnding
	fieldWallTime
	fieldCount
	fieldSince
	fieldDurableLag
)

// The field numbers of a header.
const (
	headerLedgerID protowire.Number = iota + 1
	headerNumber
	headerFirstSeq
	headerPreviousSeq
	headerProcess
	headerHost
	headerBootID
	headerStartedAt
	headerStartedSinceBoot
	headerCreatedAt
	headerCreatedSinceStart
	headerMode
	headerHashed
)

// Upper bounds to which decoded numbers are clamped.
const (
	maxByte    = 255
	maxAttempt = 1 << 30
	maxStatus  = 999
)

func appendNumber(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func appendDuration(b []byte, field protowire.Number, d time.Duration) []byte {
	return appendNumber(b, field, protowire.EncodeZigZag(d.Microseconds()))
}

func appendText(b []byte, field protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), s)
}

func appendHash(b []byte, field protowire.Number, h [16]byte) []byte {
	if h == ([16]byte{}) {
		return b
	}
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), h[:])
}

func (r *Record) append(b []byte) []byte {
	b = appendNumber(b, fieldKind, uint64(r.Kind))
	b = appendDuration(b, fieldAt, r.At)
	b = appendNumber(b, fieldRequest, r.Request)
	b = appendText(b, fieldID, r.ID)
	b = appendText(b, fieldClass, r.Class)
	b = appendText(b, fieldKey, r.Key)
	b = appendText(b, fieldTenant, r.Tenant)
	b = appendHash(b, fieldKeyID, r.KeyID)
	b = appendHash(b, fieldFingerprint, r.Fingerprint)
	b = appendDuration(b, fieldTimeLeft, r.TimeLeft)
	b = appendText(b, fieldFromSite, r.FromSite)
	b = appendNumber(b, fieldAttempt, uint64(r.Attempt))
	b = appendText(b, fieldEndpoint, r.Endpoint)
	b = appendText(b, fieldCluster, r.Cluster)
	b = appendText(b, fieldZone, r.Zone)
	b = appendNumber(b, fieldCell, protowire.EncodeZigZag(int64(r.Cell)))
	b = appendNumber(b, fieldScope, uint64(r.Scope))
	b = appendDuration(b, fieldWindow, r.Window)
	b = appendDuration(b, fieldRetention, r.Retention)
	b = appendNumber(b, fieldNeverRan, protowire.EncodeBool(r.NeverRan))
	b = appendNumber(b, fieldResponded, protowire.EncodeBool(r.Responded))
	b = appendText(b, fieldVerdict, r.Verdict)
	b = appendNumber(b, fieldStatus, uint64(r.Status))
	b = appendNumber(b, fieldEnding, uint64(r.Ending))
	b = appendNumber(b, fieldWallTime, uint64(r.WallTime))
	b = appendNumber(b, fieldCount, r.Count)
	b = appendDuration(b, fieldSince, r.Since)
	return appendNumber(b, fieldDurableLag, r.DurableLag)
}

func (h *Header) append(b []byte) []byte {
	b = appendNumber(b, headerLedgerID, h.LedgerID)
	b = appendNumber(b, headerNumber, h.Number)
	b = appendNumber(b, headerFirstSeq, h.FirstSeq)
	b = appendNumber(b, headerPreviousSeq, h.PreviousSeq)
	b = appendNumber(b, headerProcess, h.Process)
	b = appendText(b, headerHost, h.Host)
	b = appendText(b, headerBootID, h.BootID)
	b = appendNumber(b, headerStartedAt, uint64(h.StartedAt))
	b = appendNumber(b, headerStartedSinceBoot, uint64(h.StartedSinceBoot))
	b = appendNumber(b, headerCreatedAt, uint64(h.CreatedAt))
	b = appendNumber(b, headerCreatedSinceStart, uint64(h.CreatedSinceStart))
	b = appendText(b, headerMode, h.Mode)
	return appendNumber(b, headerHashed, protowire.EncodeBool(h.Hashed))
}

var errInvalidFields = errors.New("fields that can't be read")

// eachField calls f for each varint or bytes field of an encoded message. Text is nil for a varint. Other wire types are skipped.
func eachField(b []byte, f func(field protowire.Number, v uint64, text []byte)) error {
	for len(b) > 0 {
		field, wireType, size := protowire.ConsumeTag(b)
		if size < 0 {
			return errInvalidFields
		}
		b = b[size:]
		switch wireType {
		case protowire.VarintType:
			var v uint64
			if v, size = protowire.ConsumeVarint(b); size >= 0 {
				f(field, v, nil)
			}
		case protowire.BytesType:
			var text []byte
			if text, size = protowire.ConsumeBytes(b); size >= 0 {
				f(field, 0, text)
			}
		default:
			size = protowire.ConsumeFieldValue(field, wireType, b)
		}
		if size < 0 {
			return errInvalidFields
		}
		b = b[size:]
	}
	return nil
}

func decodeDuration(v uint64) time.Duration {
	return time.Duration(protowire.DecodeZigZag(v)) * time.Microsecond
}

// parse parses an encoded record. Texts that are repeated often are converted by intern.
func (r *Record) parse(b []byte, intern func([]byte) string) error {
	*r = Record{}
	err := eachField(b, func(field protowire.Number, v uint64, text []byte) {
		if text == nil {
			r.setNumber(field, v)
		} else {
			r.setText(field, text, intern)
		}
	})
	switch {
	case err != nil:
		return err
	case r.Kind == 0:
		return errors.New("a record of no kind")
	case r.Kind == Final && (r.Ending < Served || r.Ending > KeyConflict):
		return fmt.Errorf("a final answer of %v", r.Ending)
	}
	return nil
}

func (r *Record) setNumber(field protowire.Number, v uint64) {
	switch field {
	case fieldKind:
		r.Kind = Kind(min(v, maxByte))
	case fieldAt:
		r.At = decodeDuration(v)
	case fieldRequest:
		r.Request = v
	case fieldTimeLeft:
		r.TimeLeft = decodeDuration(v)
	case fieldAttempt:
		r.Attempt = int(min(v, maxAttempt))
	case fieldCell:
		r.Cell = int(protowire.DecodeZigZag(v))
	case fieldScope:
		r.Scope = uint8(min(v, maxByte))
	case fieldWindow:
		r.Window = decodeDuration(v)
	case fieldRetention:
		r.Retention = decodeDuration(v)
	case fieldNeverRan:
		r.NeverRan = v != 0
	case fieldResponded:
		r.Responded = v != 0
	case fieldStatus:
		r.Status = int(min(v, maxStatus))
	case fieldEnding:
		r.Ending = Ending(min(v, maxByte))
	case fieldWallTime:
		r.WallTime = int64(v)
	case fieldCount:
		r.Count = v
	case fieldSince:
		r.Since = decodeDuration(v)
	case fieldDurableLag:
		r.DurableLag = v
	}
}

func (r *Record) setText(field protowire.Number, text []byte, intern func([]byte) string) {
	switch field {
	case fieldID:
		r.ID = string(text)
	case fieldClass:
		r.Class = intern(text)
	case fieldKey:
		r.Key = string(text)
	case fieldTenant:
		r.Tenant = intern(text)
	case fieldKeyID:
		copy(r.KeyID[:], text)
	case fieldFingerprint:
		copy(r.Fingerprint[:], text)
	case fieldFromSite:
		r.FromSite = intern(text)
	case fieldEndpoint:
		r.Endpoint = intern(text)
	case fieldCluster:
		r.Cluster = intern(text)
	case fieldZone:
		r.Zone = intern(text)
	case fieldVerdict:
		r.Verdict = intern(text)
	}
}

func (h *Header) parse(b []byte) error {
	return eachField(b, func(field protowire.Number, v uint64, text []byte) {
		switch field {
		case headerLedgerID:
			h.LedgerID = v
		case headerNumber:
			h.Number = v
		case headerFirstSeq:
			h.FirstSeq = v
		case headerPreviousSeq:
			h.PreviousSeq = v
		case headerProcess:
			h.Process = v
		case headerHost:
			h.Host = string(text)
		case headerBootID:
			h.BootID = string(text)
		case headerStartedAt:
			h.StartedAt = int64(v)
		case headerStartedSinceBoot:
			h.StartedSinceBoot = int64(v)
		case headerCreatedAt:
			h.CreatedAt = int64(v)
		case headerCreatedSinceStart:
			h.CreatedSinceStart = int64(v)
		case headerMode:
			h.Mode = string(text)
		case headerHashed:
			h.Hashed = v != 0
		}
	})
}
