package gateway

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
)

// messageHeader is the length of a message's type and length, in bytes.
const messageHeader = 5

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
	for rest := w.Messages; len(rest) >= messageHeader; {
		n := 1 + int(binary.BigEndian.Uint32(rest[1:]))
		if n < messageHeader || n > len(rest) {
			break
		}
		var b pgproto3.Bind
		if rest[0] == 'B' && b.Decode(rest[messageHeader:n]) == nil {
			for _, p := range b.Parameters {
				addPart(h, p)
			}
		}
		rest = rest[n:]
	}
	return hex.EncodeToString(h.Sum(nil))
}

// addPart adds a part with its length, so that parts cannot run together.
func addPart(h *xxhash.Digest, p []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(p)))
	_, _ = h.Write(length[:])
	_, _ = h.Write(p)
}
