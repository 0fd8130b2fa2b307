package peer

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
	"github.com/amaranthweir/amaranthweir/internal/system/controlload"
)

const (
	// controlSilence is how long a connection may leave calls unanswered, with
	// nothing received, before it is replaced by a new one.
	controlSilence = time.Second
	// controlIdleTimeout is how long a connection without calls is kept.
	controlIdleTimeout = 20 * time.Second
	// methodPing is answered at once by every host, by hosts that do not know it
	// with an error.
	methodPing = "ping"
)

var (
	// unreachablePace spaces the connection attempts to a host that accepts none.
	unreachablePace = controlload.Pace{Least: 20 * time.Millisecond, Most: 500 * time.Millisecond}
	// silentPace spaces the new connections to a host that accepts them and does
	// not answer: each costs that host more than an answer would.
	silentPace = controlload.Pace{Least: 50 * time.Millisecond, Most: 2 * time.Second}
)

// errDialLater is the error of calls to a host that could not be reached a moment
// ago.
var errDialLater = errors.New("the host could not be reached a moment ago")

// ControlClient performs control calls. It keeps one connection to each host and
// sends one call at a time over it. A call that times out is cancelled at the other
// host, and the connection is kept: a host that is slow is not made slower by new
// connections. The zero value is ready for use.
type ControlClient struct {
	// Dial opens connections; nil means plain TCP.
	Dial DialFunc
	// Silence ends a call once nothing has arrived from the other host for this
	// long. Zero means that only the context of the call limits it.
	Silence time.Duration

	mu      sync.Mutex
	conns   map[string]*controlConn
	sweptAt time.Time
}

// controlConn is the connection to one host. The fields below slot are guarded by
// it.
type controlConn struct {
	address string
	created time.Time     // zero of the times of dials
	users   int           // calls that use or wait for the connection; guarded by ControlClient.mu
	usedAt  time.Time     // end of the latest call; guarded by ControlClient.mu
	slot    chan struct{} // holds one element while a call is in flight

	conn     *drpcconn.Conn
	activity *activityConn
	dials    controlload.Backoff
	answered bool // whether a call was answered over conn
	// unansweredSince is when the first call began that got no answer, zero if the
	// latest call got one.
	unansweredSince time.Time
}

// Call invokes method on the host at address. It sends in and decodes the reply
// into out, both as JSON. If ctx ends while another call to this host is in flight,
// or if no connection can be opened, the error has the effect errkind.NotRun.
func (c *ControlClient) Call(ctx context.Context, address, method string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	conn := c.acquire(address)
	defer c.release(conn)
	reply, err := conn.call(ctx, c.Dial, c.Silence, method, body)
	if err != nil {
		return err
	}
	if reply.GetFailure() != nil {
		return decodeFailure(reply.GetFailure())
	}
	return json.Unmarshal(reply.GetBody(), out)
}

// acquire returns the connection to a host and closes those that have been idle.
// The caller passes the result to release.
func (c *ControlClient) acquire(address string) *controlConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.sweptAt) > time.Second {
		c.closeUnused(now.Add(-controlIdleTimeout))
		c.sweptAt = now
	}
	conn := c.conns[address]
	if conn == nil {
		if c.conns == nil {
			c.conns = map[string]*controlConn{}
		}
		conn = &controlConn{address: address, created: now, slot: make(chan struct{}, 1)}
		c.conns[address] = conn
	}
	conn.users++
	return conn
}

func (c *ControlClient) release(conn *controlConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.users--
	conn.usedAt = time.Now()
}

// closeUnused closes the connections that no call has used since a time. The
// caller holds c.mu.
func (c *ControlClient) closeUnused(since time.Time) {
	for address, conn := range c.conns {
		if conn.users == 0 && conn.usedAt.Before(since) {
			conn.close()
			delete(c.conns, address)
		}
	}
}

// Close closes the connections that have no call in flight.
func (c *ControlClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeUnused(time.Now().Add(time.Hour))
}

// call sends one call once the connection is free. Its errors state the effect.
func (c *controlConn) call(ctx context.Context, dial DialFunc, silence time.Duration, method string, body []byte) (*peerpb.CallReply, error) {
	notSent := func(err error) error {
		return errkind.Wrap(err, errkind.NoQuorum, "%s: %v", c.address, err).WithEffect(errkind.NotRun)
	}
	began, opening := time.Now(), ctx
	if silence > 0 {
		var stop context.CancelFunc
		opening, stop = context.WithTimeout(ctx, silence)
		defer stop()
	}
	select {
	case c.slot <- struct{}{}:
	case <-opening.Done():
		return nil, notSent(opening.Err())
	}
	defer func() { <-c.slot }()
	if err := c.awaitPrevious(opening); err != nil {
		return nil, notSent(err)
	}
	if err := c.connect(opening, dial); err != nil {
		return nil, notSent(err)
	}
	ctx, stop := c.untilSilent(ctx, began, silence)
	defer stop()
	reply, err := c.send(ctx, method, body)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.NoQuorum, "%s %s: %v", c.address, method, err)
	}
	return reply, nil
}

// untilSilent returns a context for a call that began at a time. It ends with ctx, or
// once nothing has arrived over the open connection for silence. A zero silence means no
// limit.
func (c *controlConn) untilSilent(ctx context.Context, began time.Time, silence time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if silence == 0 {
		return ctx, cancel
	}
	activity := c.activity
	go func() {
		defer cancel()
		for {
			left := silence - min(time.Since(began), activity.sinceLastRead())
			if left <= 0 {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(left):
			}
		}
	}()
	return ctx, cancel
}

// send sends one call over the open connection.
func (c *controlConn) send(ctx context.Context, method string, body []byte) (*peerpb.CallReply, error) {
	began := time.Now()
	reply, err := peerpb.NewDRPCPeerClient(c.conn).Call(ctx, &peerpb.CallRequest{Method: method, Body: body})
	switch {
	case err == nil:
		c.unansweredSince = time.Time{}
		c.answered = true
		c.dials.Succeed()
	case ctx.Err() == nil || c.isClosed():
		c.close()
	case c.unansweredSince.IsZero():
		c.unansweredSince = began
	}
	return reply, err
}

// awaitPrevious waits until the other host has ended a call that timed out here,
// so that the same work does not run there twice. It closes a connection over which
// nothing was received for controlSilence.
func (c *controlConn) awaitPrevious(ctx context.Context) error {
	if c.conn == nil || c.unansweredSince.IsZero() {
		return nil
	}
	silent := min(time.Since(c.unansweredSince), c.activity.sinceLastRead())
	if silent < controlSilence && !c.isClosed() {
		ping, stop := context.WithTimeout(ctx, controlSilence-silent)
		defer stop()
		if _, err := c.send(ping, methodPing, nil); err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if !c.answered {
		c.dials.Fail(time.Since(c.created), silentPace, rand.Float64())
	}
	c.close()
	return nil
}

// connect dials the host unless the connection is open.
func (c *controlConn) connect(ctx context.Context, dial DialFunc) error {
	if c.conn != nil && !c.isClosed() {
		return nil
	}
	c.close()
	if !c.dials.Ready(time.Since(c.created)) {
		return errDialLater
	}
	nc, err := dial.dial(ctx, c.address)
	if err != nil {
		c.dials.Fail(time.Since(c.created), unreachablePace, rand.Float64())
		return err
	}
	c.activity = newActivityConn(nc)
	c.conn = drpcconn.NewWithOptions(c.activity, drpcconn.Options{Manager: controlManagerOptions()})
	return nil
}

func (c *controlConn) isClosed() bool {
	select {
	case <-c.conn.Closed():
		return true
	default:
		return false
	}
}

func (c *controlConn) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn, c.activity, c.unansweredSince, c.answered = nil, nil, time.Time{}, false
	}
}
