// Package typededge probes, promotes and fences instances that speak a protocol
// with typed statements. Promotions are requested from the platform, not from the
// instance, and confirmed by probes.
package typededge

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/pool"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/typedproto"
)

const (
	// reuseTimeout bounds a call over a connection that an earlier call opened.
	// If the call fails or no answer arrives in time, it is repeated over a new
	// connection.
	reuseTimeout = 100 * time.Millisecond
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 2 * time.Second
	// promotionPollInterval is the pause between probes that check whether a
	// promotion has taken effect.
	promotionPollInterval = 40 * time.Millisecond
	// requestTimeout bounds one promotion request, which must not arrive after
	// the request of a later leader.
	requestTimeout = 300 * time.Millisecond
)

// Requester requests promotions from the platform.
type Requester interface {
	// RequestPromotion returns once the platform has accepted the request. It
	// returns dbedge.ErrPromotionRefused if the request has no effect. After any
	// other error it may have been accepted.
	RequestPromotion(ctx context.Context, p dbedge.Promotion) error
}

// Client is a Prober, Promoter, Fencer and ReplicationHolder. It is safe for
// concurrent use.
type Client struct {
	codec     typedproto.UpstreamCodec
	requester Requester

	mu   sync.Mutex
	idle map[dbedge.Target]*idleConn
}

// idleConn is an open connection that no call uses.
type idleConn struct {
	openConn
	usedAt time.Time
}

// openConn is a connection, and a time at which it was open.
type openConn struct {
	*pool.StatementConn
	openedAt time.Time
}

var (
	_ dbedge.Prober            = (*Client)(nil)
	_ dbedge.Promoter          = (*Client)(nil)
	_ dbedge.Fencer            = (*Client)(nil)
	_ dbedge.ReplicationHolder = (*Client)(nil)
)

// New returns a Client. Close releases its connections.
func New(codec typedproto.UpstreamCodec, requester Requester) *Client {
	return &Client{codec: codec, requester: requester, idle: map[dbedge.Target]*idleConn{}}
}

// Close closes the idle connections.
func (cl *Client) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for t, ic := range cl.idle {
		ic.Close()
		delete(cl.idle, t)
	}
}

// Probe implements dbedge.Prober.
func (cl *Client) Probe(ctx context.Context, t dbedge.Target) (dbedge.Status, error) {
	return cl.call(ctx, t, (*pool.StatementConn).Status)
}

// Fence implements dbedge.Fencer. It ignores the epoch: an instance itself closes
// connections whose peer it can no longer reach.
func (cl *Client) Fence(ctx context.Context, t dbedge.Target, term table.Term, _ table.Epoch) error {
	_, err := cl.call(ctx, t, func(c *pool.StatementConn, ctx context.Context) (typedproto.State, error) {
		return c.StepDown(ctx, term)
	})
	return err
}

// Hold implements dbedge.ReplicationHolder.
func (cl *Client) Hold(ctx context.Context, t dbedge.Target, term table.Term) (dbedge.Status, error) {
	return cl.call(ctx, t, func(c *pool.StatementConn, ctx context.Context) (typedproto.State, error) {
		return c.Pause(ctx, term)
	})
}

// Resume implements dbedge.ReplicationHolder.
func (cl *Client) Resume(ctx context.Context, t dbedge.Target) error {
	_, err := cl.call(ctx, t, (*pool.StatementConn).Resume)
	return err
}

// Promote implements dbedge.Promoter. It returns once a probe shows that the
// instance is primary in p.MinLogTerm or above.
func (cl *Client) Promote(ctx context.Context, p dbedge.Promotion) (dbedge.Status, error) {
	requestCtx, stop := context.WithTimeout(ctx, requestTimeout)
	err := cl.requester.RequestPromotion(requestCtx, p)
	stop()
	if err != nil {
		return dbedge.Status{}, fmt.Errorf("promote %s: %w", p.Instance, err)
	}
	for {
		status, err := cl.Probe(ctx, p.Target)
		if err == nil && status.Role == table.RolePrimary && status.Mark.Term >= p.MinLogTerm {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return dbedge.Status{}, fmt.Errorf("promote %s: %w: %w", p.Instance, dbedge.ErrPromotionPending, context.Cause(ctx))
		case <-time.After(promotionPollInterval):
		}
	}
}

// command sends one statement over a connection and returns the state that the
// instance answers with.
type command func(*pool.StatementConn, context.Context) (typedproto.State, error)

// call runs do over the idle connection to t. If there is none, or do exceeds
// reuseTimeout or fails other than with ErrBusy, call runs do over a new
// connection. Every command of this package is idempotent, so that it is safe to
// repeat it.
func (cl *Client) call(ctx context.Context, t dbedge.Target, do command) (dbedge.Status, error) {
	if c, ok := cl.takeIdle(t); ok {
		reuseCtx, stop := context.WithTimeout(ctx, reuseTimeout)
		status, err := cl.run(reuseCtx, t, c, do)
		stop()
		if err == nil || errors.Is(err, dbedge.ErrBusy) {
			return status, err
		}
		if ctx.Err() != nil {
			return dbedge.Status{}, ctx.Err()
		}
	}
	c, err := pool.OpenStatements(ctx, t, cl.codec)
	if err != nil {
		return dbedge.Status{}, fmt.Errorf("connect to %s: %w", t.Instance, err)
	}
	return cl.run(ctx, t, openConn{c, time.Now()}, do)
}

// run runs do over c. If do succeeds or returns ErrBusy, c becomes idle; after any
// other error c is closed.
func (cl *Client) run(ctx context.Context, t dbedge.Target, c openConn, do command) (dbedge.Status, error) {
	s, err := do(c.StatementConn, ctx)
	if err != nil && !errors.Is(err, dbedge.ErrBusy) {
		c.Close()
		return dbedge.Status{}, fmt.Errorf("ask %s: %w", t.Instance, err)
	}
	cl.putIdle(t, c)
	return dbedge.Status{Role: s.Role, Mark: s.Mark, Term: s.Term, Held: s.Held, ConnectedAt: c.openedAt}, err
}

// takeIdle removes and returns the idle connection to t, and false if there is
// none.
func (cl *Client) takeIdle(t dbedge.Target) (openConn, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	ic := cl.idle[t]
	delete(cl.idle, t)
	if ic == nil {
		return openConn{}, false
	}
	return ic.openConn, true
}

// putIdle makes c the idle connection to t. It closes the one that c replaces and
// those to any instance that have been idle for longer than idleTimeout.
func (cl *Client) putIdle(t dbedge.Target, c openConn) {
	now := time.Now()
	cl.mu.Lock()
	old := cl.idle[t]
	cl.idle[t] = &idleConn{openConn: c, usedAt: now}
	var toClose []openConn
	if old != nil {
		toClose = append(toClose, old.openConn)
	}
	for other, ic := range cl.idle {
		if now.Sub(ic.usedAt) > idleTimeout {
			toClose = append(toClose, ic.openConn)
			delete(cl.idle, other)
		}
	}
	cl.mu.Unlock()
	for _, c := range toClose {
		c.Close()
	}
}
