package peer

import (
	"context"
	"encoding/json"
	"sync"

	"storj.io/drpc/drpcconn"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
)

// Caller does control calls one after the other over one connection, which it
// keeps while the calls succeed. The zero value is ready for use.
type Caller struct {
	// Dial opens connections; nil is plain TCP.
	Dial DialFunc

	once    sync.Once
	turn    chan struct{} // holds one element while a call runs
	address string
	conn    *drpcconn.Conn
}

// begin waits for the end of the call before; the wait ends with ctx.
func (c *Caller) begin(ctx context.Context) error {
	c.once.Do(func() { c.turn = make(chan struct{}, 1) })
	select {
	case c.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Caller) end() { <-c.turn }

// Call sends in to a method of the host at address and reads its answer into
// out, both as JSON.
func (c *Caller) Call(ctx context.Context, address, method string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	if err := c.begin(ctx); err != nil {
		return errkind.Wrap(err, errkind.NoQuorum, "%s: %v", address, err).WithEffect(errkind.NotRun)
	}
	defer c.end()
	if err := c.connect(ctx, address); err != nil {
		return errkind.Wrap(err, errkind.NoQuorum, "%s: %v", address, err).WithEffect(errkind.NotRun)
	}
	reply, err := peerpb.NewDRPCPeerClient(c.conn).Call(ctx, &peerpb.CallRequest{Method: method, Body: body})
	if err != nil {
		c.drop()
		return errkind.Wrap(err, errkind.NoQuorum, "%s %s: %v", address, method, err)
	}
	if reply.GetFailure() != nil {
		return decodeFailure(reply.GetFailure())
	}
	return json.Unmarshal(reply.GetBody(), out)
}

// connect makes sure that the kept connection leads to address.
func (c *Caller) connect(ctx context.Context, address string) error {
	if c.conn != nil && c.address == address && !closed(c.conn) {
		return nil
	}
	c.drop()
	nc, err := c.Dial.dial(ctx, address)
	if err != nil {
		return err
	}
	c.conn = drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: managerOptions()})
	c.address = address
	return nil
}

func closed(c *drpcconn.Conn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

func (c *Caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Close ends the kept connection.
func (c *Caller) Close() {
	if c.begin(context.Background()) == nil {
		defer c.end()
		c.drop()
	}
}
