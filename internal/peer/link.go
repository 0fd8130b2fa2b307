package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
	"github.com/amaranthweir/amaranthweir/internal/request"
)

const (
	// maxFrameBytes bounds the encoded size of one frame between hosts.
	maxFrameBytes = 40 << 20
	// sendQueueFrames is the capacity of a link's send queue.
	sendQueueFrames = 256
	// answerWindowBytes is the flow-control window of one answer: how many bytes
	// may be sent ahead of the credit that the calling host sends. Frames
	// hold complete messages, so the last frame may exceed the window.
	answerWindowBytes = 1 << 20
	// answerBacklogBytes bounds the unread bytes of one answer, in case the other
	// host ignores the window.
	answerBacklogBytes = answerWindowBytes + maxFrameBytes
)

// errLinkLost is the error of calls whose stream to the other host ended.
var errLinkLost = errors.New("the link between the hosts was lost")

// managerOptions bounds the size of frames received from the other end.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxFrameBytes}}
}

// cancelGrace is how long the cancellation of a call waits for a frame that is
// being sent, before it closes the connection.
const cancelGrace = 20 * time.Millisecond

// controlManagerOptions returns the options of connections for control calls, on
// which a cancelled call does not close the connection.
func controlManagerOptions() drpcmanager.Options {
	o := managerOptions()
	o.SoftCancel = true
	o.SoftCancelGrace = cancelGrace
	return o
}

// Timing holds the timeouts and intervals of links.
type Timing struct {
	// DialTimeout is the timeout for opening a link.
	DialTimeout time.Duration
	// PingInterval is the longest time between two frames that are sent over a link
	// with waiting calls or open transactions.
	PingInterval time.Duration
	// IdleTimeout is how long such a link may receive no bytes before it is closed.
	IdleTimeout time.Duration
}

// DefaultTiming returns timeouts for failure domains with round-trip times of a
// few milliseconds.
func DefaultTiming() Timing {
	return Timing{DialTimeout: 500 * time.Millisecond, PingInterval: 250 * time.Millisecond, IdleTimeout: time.Second}
}

// link is the client side of an open Exchange stream to one host.
type link struct {
	conn       *drpcconn.Conn
	activity   *activityConn
	stream     peerpb.DRPCPeer_ExchangeClient
	cancel     context.CancelFunc
	queue      chan queuedFrame
	sendSlot   chan struct{} // holds one element while a frame is being sent
	done       chan struct{}
	names      nameEncoder  // guarded by sendSlot
	takesNames atomic.Bool  // a frame from the other end has announced that it can decode names
	lastSend   atomic.Int64 // nanoseconds since opened
	opened     time.Time
	responds   atomic.Bool // false once the other end is found unresponsive
	timing     Timing

	mu           sync.Mutex
	nextID       uint64
	calls        map[uint64]*call
	transactions map[request.SessionID]struct{} // sessions with an open transaction
	received     chan struct{}                  // closed at the next frame, nil if nobody waits
	lost         bool
	watched      bool // whether check is scheduled
	silence      silenceWatch
}

// queuedFrame is a frame to be sent. call is set only for the first frame of a
// call.
type queuedFrame struct {
	frame *peerpb.Frame
	call  *call
}

// openLink dials a host and starts the goroutines of the link, which run until
// the link is closed.
func openLink(ctx context.Context, address string, t Timing, dial DialFunc) (*link, error) {
	l, err := dialLink(ctx, address, t, dial)
	if err != nil {
		return nil, err
	}
	go l.writeLoop()
	go l.readLoop()
	return l, nil
}

// dialLink dials a host and starts the Exchange stream.
func dialLink(ctx context.Context, address string, t Timing, dial DialFunc) (*link, error) {
	dialCtx, stop := context.WithTimeout(ctx, t.DialTimeout)
	defer stop()
	nc, err := dial.dial(dialCtx, address)
	if err != nil {
		return nil, err
	}
	activity := newActivityConn(nc)
	conn := drpcconn.NewWithOptions(activity, drpcconn.Options{Manager: managerOptions()})
	streamCtx, cancel := context.WithCancel(context.Background())
	stream, err := peerpb.NewDRPCPeerClient(conn).Exchange(streamCtx)
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, err
	}
	l := &link{
		conn:     conn,
		activity: activity,
		stream:   stream,
		cancel:   cancel,
		queue:    make(chan queuedFrame, sendQueueFrames),
		sendSlot: make(chan struct{}, 1),
		done:     make(chan struct{}),
		calls:    map[uint64]*call{},
		opened:   time.Now(),
		timing:   t,

		transactions: map[request.SessionID]struct{}{},
	}
	l.responds.Store(true)
	return l, nil
}

// writeLoop sends queued frames until the link is closed.
func (l *link) writeLoop() {
	for {
		select {
		case <-l.done:
			return
		case q := <-l.queue:
			select {
			case <-l.done:
				return
			case l.sendSlot <- struct{}{}:
				l.transmit(q)
			}
		}
	}
}

// transmit sends one frame, unless the frame starts a call that has already
// failed. The caller must hold sendSlot; transmit releases it.
func (l *link) transmit(q queuedFrame) {
	defer func() { <-l.sendSlot }()
	select {
	case <-l.done: // close closes done before the connection
		return
	default:
	}
	if q.call != nil && !q.call.beginSend() {
		return
	}
	if l.takesNames.Load() {
		l.names.encode(q.frame)
	}
	if err := l.stream.Send(q.frame); err != nil {
		go l.close()
	}
	l.lastSend.Store(int64(time.Since(l.opened)))
}

// sinceLastSend returns the time since the last frame was sent.
func (l *link) sinceLastSend() time.Duration {
	return time.Since(l.opened) - time.Duration(l.lastSend.Load())
}

// readLoop delivers each received answer to its call until the stream ends.
// Answers without a matching call are dropped.
func (l *link) readLoop() {
	defer l.close()
	for {
		f, err := l.stream.Recv()
		if err != nil {
			return
		}
		if f.GetTakesNames() {
			l.takesNames.Store(true)
		}
		if c := l.receiveFrame(f); c != nil {
			c.deliver(f.GetAnswer())
		}
	}
}

// receiveFrame wakes who waits for a frame. It returns the call that the frame
// answers, or nil.
func (l *link) receiveFrame(f *peerpb.Frame) *call {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.received != nil {
		close(l.received)
		l.received = nil
	}
	a := f.GetAnswer()
	if a == nil {
		return nil
	}
	c := l.calls[f.GetId()]
	if a.GetLast() {
		delete(l.calls, f.GetId())
	}
	return c
}

// startCall registers a new call, sets the id of its first frame f and sends f.
// After an error f is never sent. A reroutable call fails once the other end is
// found unresponsive.
func (l *link) startCall(ctx context.Context, f *peerpb.Frame, reroutable bool) (*call, error) {
	c := &call{updated: make(chan struct{}, 1), reroutable: reroutable}
	l.mu.Lock()
	if l.lost {
		l.mu.Unlock()
		return nil, errLinkLost
	}
	l.nextID++
	f.Id = l.nextID
	l.calls[f.Id] = c
	l.startWatch()
	l.mu.Unlock()
	if err := l.sendOrQueue(ctx, queuedFrame{frame: f, call: c}); err != nil {
		l.removeCall(f.Id)
		return nil, err
	}
	return c, nil
}

// send sends or queues one frame. After an error the frame is never sent; a nil
// error does not mean that the frame was sent.
func (l *link) send(ctx context.Context, f *peerpb.Frame) error {
	return l.sendOrQueue(ctx, queuedFrame{frame: f})
}

// sendOrQueue sends a frame directly if no other frame is being sent, which
// saves a switch to the writer goroutine, and queues it otherwise. An
// unresponsive host blocks a direct send until check closes the link, for at most
// Timing.IdleTimeout plus checkInterval. Frames of different calls may
// be reordered.
func (l *link) sendOrQueue(ctx context.Context, q queuedFrame) error {
	select {
	case <-l.done:
		return errLinkLost
	case <-ctx.Done():
		return ctx.Err()
	default:
	}
	select {
	case l.sendSlot <- struct{}{}:
		l.transmit(q)
		return nil
	default:
	}
	select {
	case l.queue <- q:
		return nil
	case <-l.done:
		return errLinkLost
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *link) removeCall(id uint64) {
	l.mu.Lock()
	delete(l.calls, id)
	l.mu.Unlock()
}

func (l *link) isLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// close closes the link and fails its pending calls with errLinkLost.
func (l *link) close() {
	l.mu.Lock()
	if l.lost {
		l.mu.Unlock()
		return
	}
	l.lost = true
	calls := l.calls
	l.calls = nil
	l.mu.Unlock()
	close(l.done)
	l.cancel()
	_ = l.conn.Close()
	for _, c := range calls {
		c.fail(errLinkLost)
	}
}
