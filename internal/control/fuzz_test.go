package control

import (
	"testing"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"gotest.tools/v3/assert"
)

// FuzzReceive passes arbitrary bytes, as an unknown sender may send them, to a
// server and lets it process them.
func FuzzReceive(f *testing.F) {
	h := hello{From: node("h2", 5), To: "h1", Ask: true, Blank: true, Pinned: []consensus.NodeID{node("h1", 1)}}
	f.Add(encodeHello(h))
	f.Add([]byte{frameHello, '{'})
	m := consensus.Message{Type: consensus.MsgVote, From: node("h2", 5), To: node("h1", 0x9e3779b97f4a7c15), Term: 3}
	frame, err := m.AppendBinary([]byte{frameConsensus})
	assert.NilError(f, err)
	f.Add(frame)
	f.Fuzz(func(t *testing.T, b []byte) {
		n := newNetwork(2)
		n.newServer(t, "h1")
		s := n.servers["h1"]
		if s.Receive(b) != nil {
			return
		}
		assert.NilError(t, s.processBatch(nil))
		assert.NilError(t, s.processBatch(s.replica.tick))
	})
}
