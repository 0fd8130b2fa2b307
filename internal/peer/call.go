package peer

import (
	"context"
	"sync"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
)

// call is a request that is waiting for its answer.
type call struct {
	reroutable bool // another instance can answer the request

	mu        sync.Mutex
	sendBegun bool // the first frame may have been sent
	frames    []*peerpb.Answer
	bytes     int
	err       error
	updated   chan struct{} // signals new frames or an error; buffers one signal
}

// beginSend is called right before the first frame is sent. It reports whether
// the call is still active; if it returns false, the frame must not be sent.
func (c *call) beginSend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendBegun = c.err == nil
	return c.sendBegun
}

// deliver queues one frame of the answer. The call fails if more than
// answerBacklogBytes of the answer are unread, which means that the other host
// ignores the flow-control window.
func (c *call) deliver(a *peerpb.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	if c.bytes+len(a.GetMessages()) > answerBacklogBytes {
		c.frames = nil
		c.err = errkind.New(errkind.TooLarge, "more of an answer than was asked for").WithEffect(errkind.Unknown)
	} else {
		c.frames = append(c.frames, a)
		c.bytes += len(a.GetMessages())
	}
	c.notify()
}

// fail ends the call with err unless the call has already failed. After fail, a
// first frame that is still queued is never sent. fail reports whether the
// request may have been sent.
func (c *call) fail(err error) (sendBegun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	c.notify()
	return c.sendBegun
}

func (c *call) notify() {
	select {
	case c.updated <- struct{}{}:
	default:
	}
}

// next returns the next frame of the answer. It blocks until a frame arrives,
// the call fails or ctx ends.
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
		case <-c.updated:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
