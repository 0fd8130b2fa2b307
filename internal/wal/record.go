package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A record consists of
//
//	length of the payload  4 bytes, little endian
//	type                   1 byte
//	checksum of the above  4 bytes, CRC32C
//	payload
//	checksum of payload    4 bytes, CRC32C
//	end mark               1 byte
//
// After a power loss a file may have its new size but hold zeros where data did
// not reach the disk. The end mark is not zero, so such bytes are never taken
// for a complete record.
const (
	headerBytes  = 9
	trailerBytes = 5
	endMark      = 0x5a

	maxPayloadBytes = 256 << 20
)

type recordType uint8

const (
	// recordSegment is the first record of a segment. It holds the format
	// version and the number of the segment.
	recordSegment recordType = iota + 1
	// recordEntry holds one entry of the log.
	recordEntry
	// recordHardState holds the current term, vote and commit index.
	recordHardState
	// recordSnapshot refers to the snapshot file of this index and term, which
	// replaces all entries up to that index.
	recordSnapshot
	// recordReset is like recordSnapshot, but the snapshot replaces all entries
	// in earlier records, including those after its index.
	recordReset
	// recordData is the only record of a snapshot, identity or founding file.
	recordData
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError means that a file is missing or that its content is not what was
// written. The host must not start with it.
type CorruptError struct {
	File   string
	Offset int64 // bytes from the start of the file
	Reason string
}

// Error returns the file, the offset and the reason.
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

// scan returns the valid records at the start of a file and their total size in
// bytes. Any bytes after them must be a torn write; otherwise scan returns a
// CorruptError.
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

// parseRecord parses the record at offset and returns the offset of the next
// one. If the record is not valid, it returns the reason.
func parseRecord(b []byte, offset int) (r record, next int, reason string) {
	rest := b[offset:]
	if len(rest) < headerBytes {
		return r, 0, "the header of a record is incomplete"
	}
	if !isHeaderValid(rest) {
		return r, 0, "the header of a record has a wrong checksum"
	}
	length := payloadLength(rest)
	if length > maxPayloadBytes {
		return r, 0, "the length of a record exceeds the limit"
	}
	total := headerBytes + length + trailerBytes
	if len(rest) < total {
		return r, 0, "a record is incomplete"
	}
	payload := rest[headerBytes : headerBytes+length]
	sum := binary.LittleEndian.Uint32(rest[headerBytes+length:])
	if sum != crc32.Checksum(payload, castagnoli) || rest[total-1] != endMark {
		return r, 0, "the payload of a record has a wrong checksum"
	}
	return record{offset: offset, kind: recordType(rest[4]), payload: payload}, offset + total, ""
}

func isHeaderValid(b []byte) bool {
	return binary.LittleEndian.Uint32(b[5:]) == crc32.Checksum(b[:5], castagnoli)
}

func payloadLength(b []byte) int { return int(binary.LittleEndian.Uint32(b)) }

// isTorn reports whether b can result from a torn write: an incomplete record,
// alone or followed by zeros.
func isTorn(b []byte) bool {
	if len(b) < headerBytes {
		return true
	}
	if !isHeaderValid(b) {
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
