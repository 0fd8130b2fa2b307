package membership

import "github.com/amaranthweir/amaranthweir/internal/table"

// Kind says what a message is.
type Kind uint8

// The kinds of messages.
const (
	// Ping asks the receiver to answer with an Ack of the same sequence.
	Ping Kind = iota
	// Ack answers a Ping.
	Ack
	// Help asks the receiver to probe Target and to pass its Ack on.
	Help
	// Fetch asks for the hosts that the receiver knows, from Offset on.
	Fetch
	// Page answers a Fetch. Offset is where to go on, zero at the end.
	Page
)

// Update is a piece of news about a host.
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
	// pageUpdates is how many hosts a Page holds.
	pageUpdates = 256
)

// size returns the encoded size in bytes, rounded up.
func (u Update) size() int {
	return updateBytes + len(u.Host) + len(u.Domain) + len(u.PeerAddress)
}

// Message is what two hosts exchange.
type Message struct {
	Kind     Kind
	Sender   Update // the sender as it sees itself
	Sequence uint64
	Target   Update // of Help
	Offset   int    // of Fetch and Page
	Updates  []Update
}

// Size returns the encoded size in bytes, rounded up.
func (m Message) Size() int {
	n := headBytes + m.Sender.size()
	if m.Kind == Help {
		n += m.Target.size()
	}
	for _, u := range m.Updates {
		n += u.size()
	}
	return n
}

// Envelope is a message and the peer address it goes to.
type Envelope struct {
	Address string
	Message Message
}

// Event says that the state of a host changed, as this host sees it.
type Event struct {
	Host table.Host
}
