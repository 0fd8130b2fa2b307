// Package wire encodes and decodes the primitives of the binary formats in this
// project: flags, varints and length-prefixed byte strings.
package wire

import "encoding/binary"

// Reader decodes values from the front of Rest. After the first malformed value
// it sets Bad and every further read returns a zero value, so that a decoder
// needs only one check after the last read.
type Reader struct {
	Rest []byte
	Bad  bool
}

// Done reports whether every read succeeded and no bytes remain.
func (r *Reader) Done() bool { return !r.Bad && len(r.Rest) == 0 }

// Byte reads one byte.
func (r *Reader) Byte() byte {
	if r.Bad || len(r.Rest) == 0 {
		r.Bad = true
		return 0
	}
	v := r.Rest[0]
	r.Rest = r.Rest[1:]
	return v
}

// Flag reads a flag encoded by EncodeFlag. Any byte other than 0 and 1 is
// malformed.
func (r *Reader) Flag() bool {
	v := r.Byte()
	r.Bad = r.Bad || v > 1
	return v == 1
}

// Uvarint reads an unsigned varint.
func (r *Reader) Uvarint() uint64 {
	v, n := binary.Uvarint(r.Rest)
	if r.Bad || n <= 0 {
		r.Bad = true
		return 0
	}
	r.Rest = r.Rest[n:]
	return v
}

// Bytes reads a byte string written by AppendBytes. A length above limit is
// malformed. Bytes returns nil for an empty string; otherwise the result shares
// its memory with Rest.
func (r *Reader) Bytes(limit int) []byte {
	size := r.Uvarint()
	if r.Bad || size > uint64(len(r.Rest)) || size > uint64(limit) {
		r.Bad = true
		return nil
	}
	v := r.Rest[:size:size]
	r.Rest = r.Rest[size:]
	if size == 0 {
		return nil
	}
	return v
}

// Text reads a string written by AppendBytes, of any length.
func (r *Reader) Text() string { return string(r.Bytes(len(r.Rest))) }

// EncodeFlag returns the one-byte encoding of v.
func EncodeFlag(v bool) byte {
	if v {
		return 1
	}
	return 0
}

// AppendBytes appends v to b, prefixed with its length as an unsigned varint.
func AppendBytes[T ~[]byte | ~string](b []byte, v T) []byte {
	b = binary.AppendUvarint(b, uint64(len(v)))
	return append(b, v...)
}
