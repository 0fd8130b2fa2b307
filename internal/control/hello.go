package control

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// hello is how a control host that is no member yet makes itself known, and
// the answer to that.
type hello struct {
	From consensus.NodeID
	To   table.HostID
	// Ask is set by a host that is no member.
	Ask bool
	// Blank is set while the sender holds no log at all.
	Blank bool
	// Pinned is the founding membership that the sender has made durable.
	Pinned []consensus.NodeID
	// Stamp is returned as Echo by the next hello in the other direction: a
	// fresh echo proves that the sender runs now.
	Stamp uint64
	Echo  uint64
}

const maxHelloBytes = 64 << 10

// The first byte of a message between control hosts.
const (
	frameConsensus = 1
	frameHello     = 2
)

func encodeHello(h hello) []byte {
	data, err := json.Marshal(h)
	if err != nil {
		panic(fmt.Sprintf("control: encoding a hello: %v", err))
	}
	return append([]byte{frameHello}, data...)
}

// inbound is a decoded message of a peer; exactly one field is set.
type inbound struct {
	message *consensus.Message
	hello   *hello
}

// from returns the host that the message says it is from.
func (in inbound) from() table.HostID {
	if in.hello != nil {
		return in.hello.From.Host
	}
	return in.message.From.Host
}

func decodeFrame(b []byte) (inbound, error) {
	if len(b) == 0 {
		return inbound{}, consensus.ErrMalformed
	}
	switch body := b[1:]; {
	case b[0] == frameConsensus:
		m := &consensus.Message{}
		return inbound{message: m}, m.UnmarshalBinary(body)
	case b[0] == frameHello && len(body) <= maxHelloBytes:
		h := &hello{}
		if err := json.Unmarshal(body, h); err != nil || len(h.Pinned) > consensus.MaxMembers {
			return inbound{}, consensus.ErrMalformed
		}
		return inbound{hello: h}, nil
	default:
		return inbound{}, consensus.ErrMalformed
	}
}

// founding is the first agreement of a deployment. Every listed voter makes
// the same membership durable before any of them acts on it, so a host that
// loses its disk meanwhile cannot count twice.
type founding struct {
	seen   map[table.HostID]consensus.NodeID
	pinned []consensus.NodeID
	agreed map[table.HostID]bool
}

func newFounding(self consensus.NodeID, pinned consensus.Members) *founding {
	f := &founding{
		seen:   map[table.HostID]consensus.NodeID{self.Host: self},
		agreed: map[table.HostID]bool{},
		pinned: pinned.Voters,
	}
	return f
}

// take notes what a host says and reports whether its founding set is another
// one than ours.
func (f *founding) take(h hello) (conflict bool) {
	if h.Blank {
		f.seen[h.From.Host] = h.From
	}
	if len(f.pinned) == 0 || len(h.Pinned) == 0 {
		return false
	}
	same := slices.Equal(f.pinned, h.Pinned) && slices.Contains(f.pinned, h.From)
	f.agreed[h.From.Host] = same
	return !same
}

// complete returns the founding membership once every voter is known.
func (f *founding) complete(voters []table.HostID) (consensus.Members, bool) {
	var ids []consensus.NodeID
	for _, host := range voters {
		id, ok := f.seen[host]
		if !ok {
			return consensus.Members{}, false
		}
		ids = append(ids, id)
	}
	return consensus.NewMembers(ids...), true
}

// settled reports whether every other voter has pinned the same membership.
func (f *founding) settled(self table.HostID, voters []table.HostID) bool {
	if len(f.pinned) == 0 {
		return false
	}
	for _, host := range voters {
		if host != self && !f.agreed[host] {
			return false
		}
	}
	return true
}
