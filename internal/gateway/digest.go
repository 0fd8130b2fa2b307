package gateway

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/internal/pg/synthetic"
)

// digest identifies the content of a unit: its SQL texts without comments at
// their start, and its parameters. A repeat under the same request id must
// have the same one.
func digest(w *Work) string {
	h := xxhash.New()
	for _, t := range w.Texts {
		for _, st := range t.Statements {
			addPart(h, []byte(st.Text))
		}
	}
	synthetic.ForEachMessage(w.Messages, func(kind byte, body []byte) {
		var b pgproto3.Bind
		if kind != 'B' || b.Decode(body) != nil {
			return
		}
		for _, p := range b.Parameters {
			addPart(h, p)
		}
	})
	return hex.EncodeToString(h.Sum(nil))
}

// addPart adds a part with its length, so that parts cannot run together.
func addPart(h *xxhash.Digest, p []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(p)))
	_, _ = h.Write(length[:])
	_, _ = h.Write(p)
}
