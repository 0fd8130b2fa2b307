package gateway

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/internal/pg/synthetic"
)

// digest identifies the content of a unit of work: its SQL texts without
// leading comments, and its bound parameters. A retry under the same request id
// must have the same digest.
func digest(w *Work) string {
	h := xxhash.New()
	for _, t := range w.Texts {
		for _, st := range t.Statements {
			writeField(h, []byte(st.Text))
		}
	}
	synthetic.ForEachMessage(w.Messages, func(kind byte, body []byte) {
		var b pgproto3.Bind
		if kind != 'B' || b.Decode(body) != nil {
			return
		}
		for _, p := range b.Parameters {
			writeField(h, p)
		}
	})
	return hex.EncodeToString(h.Sum(nil))
}

// writeField hashes p with its length as a prefix, so that adjacent fields
// cannot be confused with each other.
func writeField(h *xxhash.Digest, p []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(p)))
	_, _ = h.Write(length[:])
	_, _ = h.Write(p)
}
