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

	mu     sync.Mutex
	queues map[table.HostID]chan []byte
}

// NewSender returns a Sender to the hosts at the given peer addresses. It ends
// with ctx. A nil dial is plain TCP.
func NewSender(ctx context.Context, addresses map[table.HostID]string, t Timing, dial DialFunc) *Sender {
	s := &Sender{ctx: ctx, timing: t, dial: dial, queues: map[table.HostID]chan []byte{}}
	for host, address := range addresses {
		queue := make(chan []byte, senderQueue)
		s.queues[host] = queue
		go s.run(address, queue)
	}
	return s
}

// Send hands msg over; it is dropped when too many wait.
func (s *Sender) Send(to table.HostID, msg []byte) {
	s.mu.Lock()
	queue := s.queues[to]
	s.mu.Unlock()
	select {
	case queue <- msg:
	default:
	}
}

// run keeps a stream to one host open and sends what is queued.
func (s *Sender) run(address string, queue chan []byte) {
	for s.ctx.Err() == nil {
		s.stream(address, queue)
		select {
		case <-s.ctx.Done():
		case <-time.After(senderPause):
		}
	}
}

// stream sends until the connection fails.
func (s *Sender) stream(address string, queue chan []byte) {
	dialCtx, stop := context.WithTimeout(s.ctx, s.timing.Dial)
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
	s.forward(nc, out, acks, queue)
}

// forward sends what is queued, until the connection fails or a message stays
// without an acknowledgement for too long.
func (s *Sender) forward(nc net.Conn, out peerpb.DRPCPeer_ConsensusClient, acks *acks, queue chan []byte) {
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
			// A host that stopped reading must not hold the stream for ever.
			_ = nc.SetWriteDeadline(time.Now().Add(s.timing.Silence))
			acks.sent()
			if err := out.Send(&peerpb.ConsensusMessage{Body: msg}); err != nil {
				return
			}
		}
	}
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
