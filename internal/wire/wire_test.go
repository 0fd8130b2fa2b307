package wire

import (
	"encoding/binary"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPartsInOrder(t *testing.T) {
	b := append([]byte{7}, EncodeFlag(true), EncodeFlag(false))
	b = binary.AppendUvarint(b, 1<<40)
	b = AppendBytes(b, []byte("bytes"))
	b = AppendBytes(b, "")
	b = AppendBytes(b, "text")
	r := Reader{Rest: b}
	assert.Equal(t, r.Byte(), byte(7))
	assert.Assert(t, r.Flag())
	assert.Assert(t, !r.Flag())
	assert.Equal(t, r.Uvarint(), uint64(1<<40))
	assert.Equal(t, string(r.Bytes(5)), "bytes")
	assert.Assert(t, r.Bytes(5) == nil)
	assert.Assert(t, !r.Done(), "a text follows")
	assert.Equal(t, r.Text(), "text")
	assert.Assert(t, r.Done())
}

// After a part that cannot be read, the others are zero, whatever follows.
func TestNothingIsReadAfterABadPart(t *testing.T) {
	for name, c := range map[string]struct {
		src  []byte
		read func(r *Reader)
	}{
		"nothing left":           {nil, func(r *Reader) { r.Byte() }},
		"a flag that is none":    {[]byte{2}, func(r *Reader) { r.Flag() }},
		"a number that is cut":   {[]byte{0x80}, func(r *Reader) { r.Uvarint() }},
		"bytes that are cut":     {[]byte{3, 'a'}, func(r *Reader) { r.Bytes(9) }},
		"bytes over their limit": {[]byte{3, 'a', 'b', 'c'}, func(r *Reader) { r.Bytes(2) }},
	} {
		r := Reader{Rest: c.src}
		c.read(&r)
		assert.Assert(t, r.Bad, name)
		r.Rest = []byte{1, 1}
		assert.Assert(t, r.Byte() == 0 && !r.Flag() && r.Uvarint() == 0 && r.Bytes(9) == nil && r.Text() == "", name)
		assert.Assert(t, !r.Done(), name)
	}
}
