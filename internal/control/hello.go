package control

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// hello is the message by which a control host that is not a member asks to
// join, or one that stops asks to leave, and the answer to it.
type hello struct {
	From consensus.NodeID
	To   table.HostID
	// Ask requests an answer. A host sets it while it is not a member, while it has
	// had no contact with a leader for a long time, and while it leaves.
	Ask bool
	// Leave is set while the sender stops as planned and asks to be removed from the
	// members. LeaveAnswer is the answer to it.
	Leave       bool        `json:",omitempty"`
	LeaveAnswer leaveAnswer `json:",omitempty"`
	// Blank is set while the sender has no log.
	Blank bool
	// Pinned is the founding membership that the sender has made durable.
	Pinned []consensus.NodeID
	// Stamp identifies the process and the time of sending. Echo is the latest
	// Stamp that the sender received from To: a fresh echo proves that the
	// message is not an old one delivered late.
	Stamp uint64
	Echo  uint64
	// Members lists the hosts of the members in the sender's log. Only an answer
	// has it. A host that asks to join asks these too: the leader may be a host
	// that its settings do not list.
	Members []table.HostID `json:",omitempty"`
}

const maxHelloBytes = 64 << 10

// The first byte of a message between control hosts is its type.
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

// inbound is a decoded message from a peer. Exactly one field is set.
type inbound struct {
	message *consensus.Message
	hello   *hello
}

// sender returns the host that the message names as its sender.
func (in inbound) sender() table.HostID {
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
		if err := json.Unmarshal(body, h); err != nil || max(len(h.Pinned), len(h.Members)) > consensus.MaxMembers {
			return inbound{}, consensus.ErrMalformed
		}
		return inbound{hello: h}, nil
	default:
		return inbound{}, consensus.ErrMalformed
	}
}

// founding is the protocol by which the listed voters agree on the founding
// membership of a deployment. Every voter makes the same membership durable
// (pins it) before any of them starts its log, so that a host that loses its
// disk meanwhile cannot count twice towards a quorum.
type founding struct {
	identities map[table.HostID]consensus.NodeID
	pinned     []consensus.NodeID    // membership that this host has pinned
	agreed     map[table.HostID]bool // whether a host has pinned the same one
}

func newFounding(self consensus.NodeID, pinned consensus.Members) *founding {
	f := &founding{
		identities: map[table.HostID]consensus.NodeID{self.Host: self},
		agreed:     map[table.HostID]bool{},
		pinned:     pinned.Voters,
	}
	return f
}

// record records the identity of another host, and whether both hosts have pinned
// the same membership. It reports a conflict if they have pinned different ones.
func (f *founding) record(h hello) (conflict bool) {
	if h.Blank {
		f.identities[h.From.Host] = h.From
	}
	if len(f.pinned) == 0 || len(h.Pinned) == 0 {
		return false
	}
	same := slices.Equal(f.pinned, h.Pinned) && slices.Contains(f.pinned, h.From)
	f.agreed[h.From.Host] = same
	return !same
}

// membership returns the founding membership, and false until the identity of
// every voter is known.
func (f *founding) membership(voters []table.HostID) (consensus.Members, bool) {
	var ids []consensus.NodeID
	for _, host := range voters {
		id, ok := f.identities[host]
		if !ok {
			return consensus.Members{}, false
		}
		ids = append(ids, id)
	}
	return consensus.NewMembers(ids...), true
}

// isPinnedByAll reports whether this host and every other voter have pinned the
// same membership.
func (f *founding) isPinnedByAll(self table.HostID, voters []table.HostID) bool {
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
