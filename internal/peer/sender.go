package peer

import (
	"context"
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
	out, err := peerpb.NewDRPCPeerClient(conn).Consensus(s.ctx)
	if err != nil {
		return
	}
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-conn.Closed():
			return
		case msg := <-queue:
			// A host that stopped reading must not hold the stream for ever.
			_ = nc.SetWriteDeadline(time.Now().Add(s.timing.Silence))
			if err := out.Send(&peerpb.ConsensusMessage{Body: msg}); err != nil {
				return
			}
		}
	}
}
