package host

import (
	"github.com/amaranthweir/amaranthweir/internal/compress"
	"github.com/amaranthweir/amaranthweir/internal/control"
)

// maxCachedDeltas limits the encoded deltas that a leader caches for one state.
const maxCachedDeltas = 16

// deltaCache caches the encoded deltas to the current control state. Many hosts
// often need the same delta: those that start, and those of a failure domain
// that was cut off.
type deltaCache struct {
	view    *control.View
	encoded map[uint64][]byte // by the revision that the host has
	packed  map[uint64][]byte // the same, compressed
}

// minPackedDelta is the size in bytes from which a delta is sent compressed.
const minPackedDelta = 4 << 10

// pack returns body, which encode returned for since, in compressed form, from the
// cache if possible.
func (d *deltaCache) pack(since uint64, body []byte) ([]byte, error) {
	if packed, ok := d.packed[since]; ok {
		return packed, nil
	}
	packed, err := compress.Pack(body)
	if err == nil {
		d.packed[since] = packed
	}
	return packed, err
}

// encode returns v.EncodeDelta(since), from the cache if possible.
func (d *deltaCache) encode(v *control.View, since uint64) ([]byte, error) {
	if d.view != v || len(d.encoded) >= maxCachedDeltas {
		d.view, d.encoded, d.packed = v, map[uint64][]byte{}, map[uint64][]byte{}
	}
	if body, ok := d.encoded[since]; ok {
		return body, nil
	}
	body, err := v.EncodeDelta(since)
	if err == nil {
		d.encoded[since] = body
	}
	return body, err
}
