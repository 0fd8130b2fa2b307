package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
)

const (
	// maxFrameBytes bounds one frame between hosts.
	maxFrameBytes = 40 << 20
	// sendQueue is how many frames may wait for the stream.
	sendQueue = 256
	// answerBacklog bounds the bytes of one answer that wait for a slow caller.
	answerBacklog = 64 << 20
)

// errLinkLost says that the stream to the other host ended.
var errLinkLost = errors.New("the link between the hosts was lost")

// managerOptions bounds what the other end may send.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxFrameBytes}}
}

// Timing holds the time-outs of links.
type Timing struct {
	// Dial bounds the opening of a link.
	Dial time.Duration
	// Ping is the interval of probes on an open link; one that is silent for
	// Silence is closed.
	Ping    time.Duration
	Silence time.Duration
}

// DefaultTiming suits failure domains a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{Dial: 500 * time.Millisecond, Ping: 100 * time.Millisecond, Silence: 400 * time.Millisecond}
}

// link is an open Exchange stream to one host.
type link struct {
	conn   *drpcconn.Conn
	stream peerpb.DRPCPeer_ExchangeClient
	cancel context.CancelFunc
	out    chan *peerpb.Frame
	done   chan struct{}

	mu      sync.Mutex
	nextID  uint64
	calls   map[uint64]*call
	heardAt time.Time
	lost    bool
}

// call is one request that waits for its answer.
type call struct {
	mu      sync.Mutex
	frames  []*peerpb.Answer
	bytes   int
	err     error
	arrived chan struct{} // holds one element when there is news
}

// openLink dials a host and starts the Exchange stream.
func openLink(ctx context.Context, address string, t Timing, dial DialFunc) (*link, error) {
	dialCtx, stop := context.WithTimeout(ctx, t.Dial)
	defer stop()
	nc, err := dial.dial(dialCtx, address)
	if err != nil {
		return nil, err
	}
	conn := drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: managerOptions()})
	streamCtx, cancel := context.WithCancel(context.Background())
	stream, err := peerpb.NewDRPCPeerClient(conn).Exchange(streamCtx)
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, err
	}
	l := &link{
		conn:    conn,
		stream:  stream,
		cancel:  cancel,
		out:     make(chan *peerpb.Frame, sendQueue),
		done:    make(chan struct{}),
		calls:   map[uint64]*call{},
		heardAt: time.Now(),
	}
	go l.write(t)
	go l.read()
	return l, nil
}

// write sends what is queued, and pings; it closes a link that went silent.
func (l *link) write(t Timing) {
	ping := time.NewTicker(t.Ping)
	defer ping.Stop()
	for {
		var f *peerpb.Frame
		select {
		case <-l.done:
			return
		case f = <-l.out:
		case <-ping.C:
			if l.silentFor() > t.Silence {
				l.close()
				return
			}
			f = &peerpb.Frame{Body: &peerpb.Frame_Ping{Ping: &peerpb.Empty{}}}
		}
		if err := l.stream.Send(f); err != nil {
			l.close()
			return
		}
	}
}

func (l *link) silentFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.heardAt)
}

// read hands each answer to its call.
func (l *link) read() {
	defer l.close()
	for {
		f, err := l.stream.Recv()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.heardAt = time.Now()
		c := l.calls[f.GetId()]
		if a := f.GetAnswer(); a != nil && a.GetLast() {
			delete(l.calls, f.GetId())
		}
		l.mu.Unlock()
		if a := f.GetAnswer(); a != nil && c != nil {
			c.deliver(a)
		}
	}
}

// deliver queues a part of an answer.
func (c *call) deliver(a *peerpb.Answer) {
	c.mu.Lock()
	c.frames = append(c.frames, a)
	c.bytes += len(a.GetMessages())
	if c.bytes > answerBacklog {
		c.err = errkind.New(errkind.TooLarge, "the caller reads too slowly").WithEffect(errkind.Unknown)
	}
	c.mu.Unlock()
	c.notify()
}

func (c *call) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mu.Unlock()
	c.notify()
}

func (c *call) notify() {
	select {
	case c.arrived <- struct{}{}:
	default:
	}
}

// next waits for the next part of the answer.
func (c *call) next(ctx context.Context) (*peerpb.Answer, error) {
	for {
		c.mu.Lock()
		if len(c.frames) > 0 {
			a := c.frames[0]
			c.frames = c.frames[1:]
			c.bytes -= len(a.GetMessages())
			c.mu.Unlock()
			return a, nil
		}
		err := c.err
		c.mu.Unlock()
		if err != nil {
			return nil, err
		}
		select {
		case <-c.arrived:
		case <-ctx.Done():
			return nil, ctx.Err()
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
	if err := l.send(ctx, f); err != nil {
		l.forget(f.Id)
		return nil, err
	}
	return c, nil
}

// send queues one frame. After an error the frame has not left this host.
func (l *link) send(ctx context.Context, f *peerpb.Frame) error {
	select {
	case <-l.done:
		return errLinkLost
	default:
	}
	select {
	case l.out <- f:
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
