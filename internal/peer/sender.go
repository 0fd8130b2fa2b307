package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// senderQueue is how many messages to one control host may wait.
	senderQueue = 1024
	// senderPause is the pause after a connection failed.
	senderPause = 50 * time.Millisecond
)

// Sender carries messages of the replicated log to the other control hosts,
// best effort and in order. It is a control.Transport.
type Sender struct {
	ctx    context.Context
	timing Timing
	dial   DialFunc
	// address returns where a host is reached, empty if that is not known.
	address func(table.HostID) string

	mu     sync.Mutex
	queues map[table.HostID]chan []byte
}

// NewSender returns a Sender to hosts whose peer addresses are known by name.
// It ends with ctx. A nil dial is plain TCP.
func NewSender(ctx context.Context, address func(table.HostID) string, t Timing, dial DialFunc) *Sender {
	return &Sender{ctx: ctx, timing: t, dial: dial, address: address, queues: map[table.HostID]chan []byte{}}
}

// Send hands msg over; it is dropped when too many wait.
func (s *Sender) Send(to table.HostID, msg []byte) {
	queue := s.queue(to)
	select {
	case queue <- msg:
	default:
	}
}

// queue returns what waits for a host; nil, which takes nothing, where its
// address is not known.
func (s *Sender) queue(to table.HostID) chan []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if queue, ok := s.queues[to]; ok {
		return queue
	}
	address := s.address(to)
	if address == "" || s.ctx.Err() != nil {
		return nil
	}
	queue := make(chan []byte, senderQueue)
	s.queues[to] = queue
	go s.run(address, queue)
	return queue
}

// run opens a stream to one host when there is something to send. What waited
// for a host that could not be reached is dropped: it is out of date.
func (s *Sender) run(address string, queue chan []byte) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case msg := <-queue:
			s.stream(address, queue, msg)
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(senderPause):
		}
		for len(queue) > 0 {
			<-queue
		}
	}
}

// stream sends until the connection fails.
func (s *Sender) stream(address string, queue chan []byte, first []byte) {
	dialCtx, stop := context.WithTimeout(s.ctx, s.timing.DialTimeout)
	defer stop()
	nc, err := s.dial.dial(dialCtx, address)
	if err != nil {
		return
	}
	conn := drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: managerOptions()})
	defer conn.Close()
	defer nc.Close() // ends a Send that is blocked
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	out, err := peerpb.NewDRPCPeerClient(conn).Consensus(ctx)
	if err != nil {
		return
	}
	acks := newAcks()
	go acks.read(out)
	s.forward(nc, out, acks, queue, first)
}

// forward sends what is queued, until the connection fails or a message stays
// without an acknowledgement for too long.
func (s *Sender) forward(nc net.Conn, out peerpb.DRPCPeer_ConsensusClient, acks *acks, queue chan []byte, first []byte) {
	if s.send(nc, out, acks, first) != nil {
		return
	}
	tick := time.NewTicker(s.timing.Ping)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-acks.ended:
			return
		case <-tick.C:
			if acks.silentFor() > s.timing.Silence {
				return
			}
		case msg := <-queue:
			if s.send(nc, out, acks, msg) != nil {
				return
			}
		}
	}
}

// send sends one message. A host that stopped reading must not hold the stream
// for ever.
func (s *Sender) send(nc net.Conn, out peerpb.DRPCPeer_ConsensusClient, acks *acks, msg []byte) error {
	_ = nc.SetWriteDeadline(time.Now().Add(s.timing.Silence))
	acks.sent()
	return out.Send(&peerpb.ConsensusMessage{Body: msg})
}

// acks counts the messages of a stream that are not acknowledged yet.
type acks struct {
	ended chan struct{} // closed at the end of the stream

	mu      sync.Mutex
	pending int
	since   time.Time // nothing was heard since then
}

func newAcks() *acks { return &acks{ended: make(chan struct{})} }

func (a *acks) sent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == 0 {
		a.since = time.Now()
	}
	a.pending++
}

// silentFor returns how long a message has waited without anything heard.
func (a *acks) silentFor() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == 0 {
		return 0
	}
	return time.Since(a.since)
}

// read takes acknowledgements until the stream ends.
func (a *acks) read(in peerpb.DRPCPeer_ConsensusClient) {
	defer close(a.ended)
	for {
		if _, err := in.Recv(); err != nil {
			return
		}
		a.mu.Lock()
		a.pending--
		a.since = time.Now()
		a.mu.Unlock()
	}
}
