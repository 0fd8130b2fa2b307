// Package wire reads and appends the parts that the binary encodings of the
// product share: flags, numbers, and byte strings with their length.
package wire

import "encoding/binary"

// Reader takes values off Rest. After the first one that cannot be read, Bad is
// set and every further one is zero, so that only the end needs a check.
type Reader struct {
	Rest []byte
	Bad  bool
}

// Done reports whether everything was read and nothing follows.
func (r *Reader) Done() bool { return !r.Bad && len(r.Rest) == 0 }

// Byte takes one byte.
func (r *Reader) Byte() byte {
	if r.Bad || len(r.Rest) == 0 {
		r.Bad = true
		return 0
	}
	v := r.Rest[0]
	r.Rest = r.Rest[1:]
	return v
}

// EncodeFlag takes what EncodeFlag encodes, and nothing else.
func (r *Reader) Flag() bool {
	v := r.Byte()
	r.Bad = r.Bad || v > 1
	return v == 1
}

// Uvarint takes a number.
func (r *Reader) Uvarint() uint64 {
	v, n := binary.Uvarint(r.Rest)
	if r.Bad || n <= 0 {
		r.Bad = true
		return 0
	}
	r.Rest = r.Rest[n:]
	return v
}

// Bytes takes what AppendBytes wrote, of at most limit bytes; nil where it is
// empty. The bytes are shared with Rest.
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

// Text takes a text of any length.
func (r *Reader) Text() string { return string(r.Bytes(len(r.Rest))) }

// EncodeFlag returns the encoding of a flag.
func EncodeFlag(v bool) byte {
	if v {
		return 1
	}
	return 0
}

// AppendBytes appends bytes or a text behind its length.
func AppendBytes[T ~[]byte | ~string](b []byte, v T) []byte {
	b = binary.AppendUvarint(b, uint64(len(v)))
	return append(b, v...)
}
