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
)

const (
	// maxFrameBytes bounds one frame between hosts.
	maxFrameBytes = 40 << 20
	// sendQueue is how many frames may wait for the stream.
	sendQueue = 256
	// answerWindow is how many bytes of one answer may be under way before the
	// caller has taken some; one more part, which holds whole messages, may
	// come on top.
	answerWindow = 1 << 20
	// answerBacklog bounds what a host that disregards the window may send.
	answerBacklog = answerWindow + maxFrameBytes
)

// errLinkLost says that the stream to the other host ended.
var errLinkLost = errors.New("the link between the hosts was lost")

// managerOptions bounds what the other end may send.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxFrameBytes}}
}

// Timing holds the time-outs of links.
type Timing struct {
	// DialTimeout bounds the opening of a link.
	DialTimeout time.Duration
	// Ping is the interval of probes on an open link; one that is silent for
	// Silence is closed.
	Ping    time.Duration
	Silence time.Duration
}

// DefaultTiming suits failure domains a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{DialTimeout: 500 * time.Millisecond, Ping: 250 * time.Millisecond, Silence: time.Second}
}

// link is an open Exchange stream to one host.
type link struct {
	conn       *drpcconn.Conn
	heard      *heardConn
	stream     peerpb.DRPCPeer_ExchangeClient
	cancel     context.CancelFunc
	out        chan outgoing
	turn       chan struct{} // holds one element while a frame is sent
	done       chan struct{}
	names      nameSender   // belongs to who has the turn
	takesNames atomic.Bool  // the other end understands names
	sentAt     atomic.Int64 // nanoseconds since opened
	opened     time.Time

	mu     sync.Mutex
	nextID uint64
	calls  map[uint64]*call
	lost   bool
}

// outgoing is a frame that waits for the stream; call is set where it begins
// one.
type outgoing struct {
	frame *peerpb.Frame
	call  *call
}

// openLink dials a host and serves the link until it is lost.
func openLink(ctx context.Context, address string, t Timing, dial DialFunc) (*link, error) {
	l, err := dialLink(ctx, address, t, dial)
	if err != nil {
		return nil, err
	}
	go l.write()
	go l.read()
	go l.watch(t)
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
	heard := newHeardConn(nc)
	conn := drpcconn.NewWithOptions(heard, drpcconn.Options{Manager: managerOptions()})
	streamCtx, cancel := context.WithCancel(context.Background())
	stream, err := peerpb.NewDRPCPeerClient(conn).Exchange(streamCtx)
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, err
	}
	return &link{
		conn:   conn,
		heard:  heard,
		stream: stream,
		cancel: cancel,
		out:    make(chan outgoing, sendQueue),
		turn:   make(chan struct{}, 1),
		done:   make(chan struct{}),
		calls:  map[uint64]*call{},
		opened: time.Now(),
	}, nil
}

// write sends what is queued.
func (l *link) write() {
	for {
		select {
		case <-l.done:
			return
		case o := <-l.out:
			select {
			case <-l.done:
				return
			case l.turn <- struct{}{}:
				l.transmit(o)
			}
		}
	}
}

// transmit sends one frame, unless its call is not wanted any more. It ends
// the turn that its caller took.
func (l *link) transmit(o outgoing) {
	defer func() { <-l.turn }()
	select {
	case <-l.done: // closed before the connection is
		return
	default:
	}
	if o.call != nil && !o.call.leave() {
		return
	}
	if l.takesNames.Load() {
		l.names.shorten(o.frame)
	}
	if err := l.stream.Send(o.frame); err != nil {
		go l.close()
	}
	l.sentAt.Store(int64(time.Since(l.opened)))
}

// watch pings, and closes a link that went silent. It never waits for the
// stream, which a silent host may block.
func (l *link) watch(t Timing) {
	tick := time.NewTicker(t.Ping)
	defer tick.Stop()
	ping := outgoing{frame: &peerpb.Frame{Body: &peerpb.Frame_Ping{Ping: &peerpb.Empty{}}}}
	for {
		select {
		case <-l.done:
			return
		case <-tick.C:
		}
		heardAgo := l.heard.silentFor()
		if heardAgo > t.Silence {
			l.close()
			return
		}
		if l.takesNames.Load() && !pingDue(l.sentAgo(), heardAgo, t.Ping) {
			continue
		}
		select { // never waits, as a turn of its own could
		case l.out <- ping:
		default:
		}
	}
}

// pingDue reports whether a link needs a ping: requests and answers that went
// both ways in the last interval show as much.
func pingDue(sentAgo, heardAgo, interval time.Duration) bool {
	return sentAgo >= interval || heardAgo >= interval
}

// sentAgo returns how long ago a frame was sent.
func (l *link) sentAgo() time.Duration {
	return time.Since(l.opened) - time.Duration(l.sentAt.Load())
}

// read hands each answer to its call. An answer that nobody waits for is
// dropped.
func (l *link) read() {
	defer l.close()
	for {
		f, err := l.stream.Recv()
		if err != nil {
			return
		}
		if f.GetTakesNames() {
			l.takesNames.Store(true)
		}
		a := f.GetAnswer()
		if a == nil {
			continue
		}
		l.mu.Lock()
		c := l.calls[f.GetId()]
		if a.GetLast() {
			delete(l.calls, f.GetId())
		}
		l.mu.Unlock()
		if c != nil {
			c.deliver(a)
		}
	}
}

// start sends the first frame of a call.
func (l *link) start(ctx context.Context, f *peerpb.Frame) (*call, error) {
	c := &call{arrived: make(chan struct{}, 1)}
	l.mu.Lock()
	if l.lost {
		l.mu.Unlock()
		return nil, errLinkLost
	}
	l.nextID++
	f.Id = l.nextID
	l.calls[f.Id] = c
	l.mu.Unlock()
	if err := l.queue(ctx, outgoing{frame: f, call: c}); err != nil {
		l.forget(f.Id)
		return nil, err
	}
	return c, nil
}

// send queues one frame. After an error the frame has not left this host;
// without one it may never leave.
func (l *link) send(ctx context.Context, f *peerpb.Frame) error {
	return l.queue(ctx, outgoing{frame: f})
}

// queue sends a frame at once where no other one is being sent, which spares
// the way over the writer; a silent host holds that up for no longer than
// Timing.Silence. Frames of different calls may overtake each other.
func (l *link) queue(ctx context.Context, o outgoing) error {
	select {
	case <-l.done:
		return errLinkLost
	case <-ctx.Done():
		return ctx.Err()
	default:
	}
	select {
	case l.turn <- struct{}{}:
		l.transmit(o)
		return nil
	default:
	}
	select {
	case l.out <- o:
		return nil
	case <-l.done:
		return errLinkLost
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	delete(l.calls, id)
	l.mu.Unlock()
}

func (l *link) isLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// close ends the link; its calls fail.
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
