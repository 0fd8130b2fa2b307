package membership

import "github.com/amaranthweir/amaranthweir/internal/table"

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	// Ping asks the receiver to answer with an Ack of the same sequence.
	Ping Kind = iota
	// Ack answers a Ping.
	Ack
	// PingRequest asks the receiver to probe Target and to forward its Ack.
	PingRequest
	// Fetch asks for the hosts that the receiver knows, starting at Offset.
	Fetch
	// Page answers a Fetch. Offset is the start of the next page, zero after
	// the last one.
	Page
)

// Update is the state of a host in one of its incarnations.
type Update struct {
	Host        table.HostID
	Domain      table.Domain
	PeerAddress string
	Incarnation uint64
	State       table.HostState
}

const (
	// headBytes is the size of a message without strings and updates.
	headBytes = 24
	// updateBytes is the size of an update without its strings.
	updateBytes = 16
	// pageUpdates is the maximum number of hosts in a Page.
	pageUpdates = 256
)

// size returns the encoded size in bytes, rounded up.
func (u Update) size() int {
	return updateBytes + len(u.Host) + len(u.Domain) + len(u.PeerAddress)
}

// Message is a message between two hosts.
type Message struct {
	Kind     Kind
	Sender   Update // the sender as it sees itself
	Sequence uint64
	Target   Update // in a PingRequest
	Offset   int    // in a Fetch and a Page
	Updates  []Update
}

// Size returns the encoded size in bytes, rounded up.
func (m Message) Size() int {
	n := headBytes + m.Sender.size()
	if m.Kind == PingRequest {
		n += m.Target.size()
	}
	for _, u := range m.Updates {
		n += u.size()
	}
	return n
}

// Envelope is a message and the peer address of its receiver.
type Envelope struct {
	Address string
	Message Message
}

// Event reports that the state of a host has changed, as this host sees it.
type Event struct {
	Host table.Host
}
