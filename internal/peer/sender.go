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
	// senderQueueMessages is the capacity of the queue to one control host.
	senderQueueMessages = 1024
	// reconnectDelay is the delay after a connection has failed or ended.
	reconnectDelay = 50 * time.Millisecond
)

// Sender sends messages of the replicated log to the other control hosts, in
// order and best effort. It implements control.Transport.
type Sender struct {
	ctx    context.Context
	timing Timing
	dial   DialFunc
	// address returns the peer address of a host, or "" if it is unknown.
	address func(table.HostID) string

	mu     sync.Mutex
	queues map[table.HostID]chan []byte
}

// NewSender returns a Sender that runs until ctx ends. address returns the peer
// address of a host, or "" if it is unknown. A nil dial means plain TCP.
func NewSender(ctx context.Context, address func(table.HostID) string, t Timing, dial DialFunc) *Sender {
	return &Sender{ctx: ctx, timing: t, dial: dial, address: address, queues: map[table.HostID]chan []byte{}}
}

// Send queues msg for a host. The message is dropped if the queue is full or
// the address of the host is unknown.
func (s *Sender) Send(to table.HostID, msg []byte) {
	queue := s.queueFor(to)
	select {
	case queue <- msg:
	default:
	}
}

// queueFor returns the send queue of a host. It returns nil, on which every
// send blocks, if the address of the host is unknown.
func (s *Sender) queueFor(to table.HostID) chan []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if queue, ok := s.queues[to]; ok {
		return queue
	}
	address := s.address(to)
	if address == "" || s.ctx.Err() != nil {
		return nil
	}
	queue := make(chan []byte, senderQueueMessages)
	s.queues[to] = queue
	go s.run(address, queue)
	return queue
}

// run opens a stream to one host whenever a message is queued. After a stream
// fails, the remaining queued messages are stale and are dropped.
func (s *Sender) run(address string, queue chan []byte) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case msg := <-queue:
			s.streamMessages(address, queue, msg)
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(reconnectDelay):
		}
		for len(queue) > 0 {
			<-queue
		}
	}
}

// streamMessages dials the host and sends first and then the queued messages
// until the connection fails.
func (s *Sender) streamMessages(address string, queue chan []byte, first []byte) {
	dialCtx, stop := context.WithTimeout(s.ctx, s.timing.DialTimeout)
	defer stop()
	nc, err := s.dial.dial(dialCtx, address)
	if err != nil {
		return
	}
	conn := drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: managerOptions()})
	defer conn.Close()
	defer nc.Close() // unblocks a pending Send
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	out, err := peerpb.NewDRPCPeerClient(conn).Consensus(ctx)
	if err != nil {
		return
	}
	acks := newAckTracker()
	go acks.readLoop(out)
	s.forward(nc, out, acks, queue, first)
}

// forward sends first and then the queued messages. It returns when the
// connection fails or no acknowledgement arrives for Timing.IdleTimeout although
// messages are pending.
func (s *Sender) forward(nc net.Conn, out peerpb.DRPCPeer_ConsensusClient, acks *ackTracker, queue chan []byte, first []byte) {
	if s.send(nc, out, acks, first) != nil {
		return
	}
	tick := time.NewTicker(s.timing.PingInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-acks.done:
			return
		case <-tick.C:
			if acks.sinceProgress() > s.timing.IdleTimeout {
				return
			}
		case msg := <-queue:
			if s.send(nc, out, acks, msg) != nil {
				return
			}
		}
	}
}

// send sends one message. The write deadline bounds the wait for a host that
// has stopped reading.
func (s *Sender) send(nc net.Conn, out peerpb.DRPCPeer_ConsensusClient, acks *ackTracker, msg []byte) error {
	_ = nc.SetWriteDeadline(time.Now().Add(s.timing.IdleTimeout))
	acks.add()
	return out.Send(&peerpb.ConsensusMessage{Body: msg})
}

// ackTracker counts the messages of a stream that are not yet acknowledged.
type ackTracker struct {
	done chan struct{} // closed at the end of the stream

	mu           sync.Mutex
	pending      int
	lastProgress time.Time // the last acknowledgement, or the first send after none was pending
}

func newAckTracker() *ackTracker { return &ackTracker{done: make(chan struct{})} }

func (a *ackTracker) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == 0 {
		a.lastProgress = time.Now()
	}
	a.pending++
}

// sinceProgress returns how long the pending messages have waited without an
// acknowledgement. It returns zero if no message is pending.
func (a *ackTracker) sinceProgress() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == 0 {
		return 0
	}
	return time.Since(a.lastProgress)
}

// readLoop receives acknowledgements until the stream ends.
func (a *ackTracker) readLoop(in peerpb.DRPCPeer_ConsensusClient) {
	defer close(a.done)
	for {
		if _, err := in.Recv(); err != nil {
			return
		}
		a.mu.Lock()
		a.pending--
		a.lastProgress = time.Now()
		a.mu.Unlock()
	}
}
