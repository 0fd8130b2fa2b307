package host

import "github.com/amaranthweir/amaranthweir/internal/control"

// deltasKept is how many encoded deltas of one state a leader keeps.
const deltasKept = 16

// deltas keeps what the leader encoded last, for many hosts often lack the
// same: those that start, and those of a failure domain that was cut off.
type deltas struct {
	view    *control.View
	encoded map[uint64][]byte // by the revision of the host
}

// encode is EncodeDelta of v.
func (d *deltas) encode(v *control.View, since uint64) ([]byte, error) {
	if d.view != v || len(d.encoded) >= deltasKept {
		d.view, d.encoded = v, map[uint64][]byte{}
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
