package peer

import (
	"context"
	"sync"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
)

// call is one request that waits for its answer.
type call struct {
	mu      sync.Mutex
	left    bool // the first frame may have left this host
	frames  []*peerpb.Answer
	bytes   int
	err     error
	arrived chan struct{} // holds one element when there is news
}

// leave is asked right before the first frame is sent; it reports whether the
// call is still wanted.
func (c *call) leave() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = c.err == nil
	return c.left
}

// deliver queues a part of an answer.
func (c *call) deliver(a *peerpb.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	if c.bytes+len(a.GetMessages()) > answerBacklog {
		c.frames = nil
		c.err = errkind.New(errkind.TooLarge, "more of an answer than was asked for").WithEffect(errkind.Unknown)
	} else {
		c.frames = append(c.frames, a)
		c.bytes += len(a.GetMessages())
	}
	c.notify()
}

// fail ends the call, unless it has ended. A frame that has not left never
// will then. It reports whether the request may have left this host.
func (c *call) fail(err error) (left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	c.notify()
	return c.left
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
