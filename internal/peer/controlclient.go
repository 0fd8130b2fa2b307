package peer

import (
	"context"
	"encoding/json"
	"sync"

	"storj.io/drpc/drpcconn"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
)

// ControlClient performs control calls sequentially over one connection, which
// it reuses as long as the calls succeed. The zero value is ready for use.
type ControlClient struct {
	// Dial opens connections; nil means plain TCP.
	Dial DialFunc

	once     sync.Once
	callSlot chan struct{} // holds one element while a call is in flight
	address  string
	conn     *drpcconn.Conn
}

// acquire waits until no other call is in flight or ctx ends. After a nil error
// release must be called.
func (c *ControlClient) acquire(ctx context.Context) error {
	c.once.Do(func() { c.callSlot = make(chan struct{}, 1) })
	select {
	case c.callSlot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release lets the next call proceed.
func (c *ControlClient) release() { <-c.callSlot }

// Call invokes method on the host at address. It sends in and decodes the reply
// into out, both as JSON. If ctx ends while another call is in flight, or if no
// connection can be opened, the error has the effect errkind.NotRun.
func (c *ControlClient) Call(ctx context.Context, address, method string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	if err := c.acquire(ctx); err != nil {
		return errkind.Wrap(err, errkind.NoQuorum, "%s: %v", address, err).WithEffect(errkind.NotRun)
	}
	defer c.release()
	if err := c.connect(ctx, address); err != nil {
		return errkind.Wrap(err, errkind.NoQuorum, "%s: %v", address, err).WithEffect(errkind.NotRun)
	}
	reply, err := peerpb.NewDRPCPeerClient(c.conn).Call(ctx, &peerpb.CallRequest{Method: method, Body: body})
	if err != nil {
		c.closeConn()
		return errkind.Wrap(err, errkind.NoQuorum, "%s %s: %v", address, method, err)
	}
	if reply.GetFailure() != nil {
		return decodeFailure(reply.GetFailure())
	}
	return json.Unmarshal(reply.GetBody(), out)
}

// connect reuses the current connection if it is open and leads to address, and
// dials a new one otherwise.
func (c *ControlClient) connect(ctx context.Context, address string) error {
	if c.conn != nil && c.address == address && !isClosed(c.conn) {
		return nil
	}
	c.closeConn()
	nc, err := c.Dial.dial(ctx, address)
	if err != nil {
		return err
	}
	c.conn = drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: managerOptions()})
	c.address = address
	return nil
}

func isClosed(c *drpcconn.Conn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

func (c *ControlClient) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Close closes the connection after the call in flight, if any, has returned.
func (c *ControlClient) Close() {
	if c.acquire(context.Background()) == nil {
		defer c.release()
		c.closeConn()
	}
}
