package compress

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Data must come back as it was. Bytes that are no compressed data, or that expand
// beyond the limit, must be an error instead of filling the memory.
func TestPackAndUnpack(t *testing.T) {
	data := bytes.Repeat([]byte("host "), 1000)
	packed, err := Pack(data)
	assert.NilError(t, err)
	assert.Assert(t, len(packed) < len(data)/10)
	got, err := Unpack(packed)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, data))
	_, err = Unpack(packed[:len(packed)/2])
	assert.Assert(t, err != nil)
	_, err = Unpack([]byte("not compressed"))
	assert.Assert(t, err != nil)
	bomb, err := Pack(make([]byte, MaxDecompressedBytes+1))
	assert.NilError(t, err)
	_, err = Unpack(bomb)
	assert.ErrorContains(t, err, "larger than")
}
