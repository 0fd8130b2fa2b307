package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A record is
//
//	length of the payload  4 bytes, little endian
//	type                   1 byte
//	checksum of the above  4 bytes, CRC32C
//	payload
//	checksum of payload    4 bytes, CRC32C
//	end mark               1 byte
//
// The end mark is not zero, so a file that grew without its data reaching the
// disk shows as zeros, never as a complete record.
const (
	headerBytes  = 9
	trailerBytes = 5
	endMark      = 0x5a

	maxPayloadBytes = 256 << 20
)

type recordType uint8

const (
	// recordSegment opens a segment: its number and the format.
	recordSegment recordType = iota + 1
	// recordEntry is one entry of the log.
	recordEntry
	// recordHardState is the latest term, vote and commit index.
	recordHardState
	// recordSnapshot says that the snapshot file of this index and term stands
	// for all entries up to there.
	recordSnapshot
	// recordReset is recordSnapshot, and all entries before it are void.
	recordReset
	// recordData is the one record of a snapshot or identity file.
	recordData
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError means that a file holds something that was never written. The
// host must not start on it.
type CorruptError struct {
	File   string
	Offset int64 // bytes from the start of the file
	Reason string
}

// Error names the file, the offset and what is wrong there.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("corrupt file %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

func corrupt(file string, offset int, format string, args ...any) *CorruptError {
	return &CorruptError{File: file, Offset: int64(offset), Reason: fmt.Sprintf(format, args...)}
}

func appendRecord(b []byte, kind recordType, payload []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = append(b, byte(kind))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
	b = append(b, payload...)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, endMark)
}

type record struct {
	offset  int
	kind    recordType
	payload []byte
}

// scan returns the records of a file and how many bytes they take. What
// follows them is a torn write: the start of a record that never got whole.
// Anything else that is no record is corrupt.
func scan(file string, b []byte) (records []record, size int, err error) {
	for size < len(b) {
		r, next, reason := parseRecord(b, size)
		if reason == "" {
			records = append(records, r)
			size = next
			continue
		}
		if isTorn(b[size:]) {
			return records, size, nil
		}
		return nil, 0, corrupt(file, size, "%s", reason)
	}
	return records, size, nil
}

// parseRecord reads the record at offset; a reason says why it is none.
func parseRecord(b []byte, offset int) (r record, next int, reason string) {
	rest := b[offset:]
	if len(rest) < headerBytes {
		return r, 0, "the header of a record is cut short"
	}
	if !headerValid(rest) {
		return r, 0, "the header of a record has a wrong checksum"
	}
	length := payloadLength(rest)
	if length > maxPayloadBytes {
		return r, 0, "the length of a record exceeds the limit"
	}
	total := headerBytes + length + trailerBytes
	if len(rest) < total {
		return r, 0, "a record is cut short"
	}
	payload := rest[headerBytes : headerBytes+length]
	sum := binary.LittleEndian.Uint32(rest[headerBytes+length:])
	if sum != crc32.Checksum(payload, castagnoli) || rest[total-1] != endMark {
		return r, 0, "the payload of a record has a wrong checksum"
	}
	return record{offset: offset, kind: recordType(rest[4]), payload: payload}, offset + total, ""
}

func headerValid(b []byte) bool {
	return binary.LittleEndian.Uint32(b[5:]) == crc32.Checksum(b[:5], castagnoli)
}

func payloadLength(b []byte) int { return int(binary.LittleEndian.Uint32(b)) }

// isTorn reports whether b is the start of one record, followed by nothing or
// by zeros.
func isTorn(b []byte) bool {
	if len(b) < headerBytes {
		return true
	}
	if !headerValid(b) {
		return isZero(b[headerBytes:]) && b[headerBytes-1] == 0
	}
	total := headerBytes + payloadLength(b) + trailerBytes
	if len(b) < total {
		return true
	}
	return isZero(b[total-1:])
}

func isZero(b []byte) bool {
	for _, v := range b {
		if v != 0 {
			return false
		}
	}
	return true
}
