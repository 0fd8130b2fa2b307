// Package stmtedge probes, promotes and fences instances that speak a protocol
// with typed statements. A promotion is asked of the platform, not of the
// instance, and seen by probes.
package stmtedge

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/pool"
	"github.com/amaranthweir/amaranthweir/internal/stmt"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// keptTimeout bounds a call over a connection kept from an earlier one;
	// after it the call goes on over a new one.
	keptTimeout = 100 * time.Millisecond
	// keptFor is how long a connection that no call uses is kept.
	keptFor = 2 * time.Second
	// promotedPoll is the pause between looks whether a promotion took effect.
	promotedPoll = 40 * time.Millisecond
	// requestTimeout bounds one request for a promotion: it must not arrive
	// after a later leader has made its own.
	requestTimeout = 300 * time.Millisecond
)

// Requester asks the platform for promotions.
type Requester interface {
	// RequestPromotion returns once the platform accepted the request.
	RequestPromotion(ctx context.Context, p dbedge.Promotion) error
}

// Edge is a Prober, Promoter and Fencer. It is safe for concurrent use.
type Edge struct {
	codec     stmt.UpstreamCodec
	requester Requester

	mu   sync.Mutex
	kept map[dbedge.Target]*kept
}

// kept is a connection that rests between two calls.
type kept struct {
	conn   *pool.StatementConn
	usedAt time.Time
}

var (
	_ dbedge.Prober   = (*Edge)(nil)
	_ dbedge.Promoter = (*Edge)(nil)
	_ dbedge.Fencer   = (*Edge)(nil)
	_ dbedge.Holder   = (*Edge)(nil)
)

// New returns an Edge. Close ends it.
func New(codec stmt.UpstreamCodec, requester Requester) *Edge {
	return &Edge{codec: codec, requester: requester, kept: map[dbedge.Target]*kept{}}
}

// Close closes the kept connections.
func (e *Edge) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for t, k := range e.kept {
		k.conn.Close()
		delete(e.kept, t)
	}
}

// Probe implements dbedge.Prober.
func (e *Edge) Probe(ctx context.Context, t dbedge.Target) (dbedge.Status, error) {
	return e.call(ctx, t, (*pool.StatementConn).Status)
}

// Fence implements dbedge.Fencer. It says nothing of owners: an instance ends
// the connections that it cannot reach by itself.
func (e *Edge) Fence(ctx context.Context, t dbedge.Target, term table.Term, _ table.Epoch) error {
	_, err := e.call(ctx, t, func(c *pool.StatementConn, ctx context.Context) (stmt.State, error) {
		return c.StepDown(ctx, term)
	})
	return err
}

// Hold implements dbedge.Holder.
func (e *Edge) Hold(ctx context.Context, t dbedge.Target, term table.Term) (dbedge.Status, error) {
	return e.call(ctx, t, func(c *pool.StatementConn, ctx context.Context) (stmt.State, error) {
		return c.Pause(ctx, term)
	})
}

// Resume implements dbedge.Holder.
func (e *Edge) Resume(ctx context.Context, t dbedge.Target) error {
	_, err := e.call(ctx, t, (*pool.StatementConn).Resume)
	return err
}

// Promote implements dbedge.Promoter. It returns once the instance is seen to
// be primary.
func (e *Edge) Promote(ctx context.Context, p dbedge.Promotion) (dbedge.Status, error) {
	requestCtx, stop := context.WithTimeout(ctx, requestTimeout)
	err := e.requester.RequestPromotion(requestCtx, p)
	stop()
	if err != nil {
		return dbedge.Status{}, fmt.Errorf("promote %s: %w", p.Instance, err)
	}
	for {
		status, err := e.Probe(ctx, p.Target)
		if err == nil && status.Role == table.RolePrimary {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return dbedge.Status{}, fmt.Errorf("promote %s: %w", p.Instance, context.Cause(ctx))
		case <-time.After(promotedPoll):
		}
	}
}

// command is one question or order to an instance.
type command func(*pool.StatementConn, context.Context) (stmt.State, error)

// call does one call, over the kept connection if that answers in time. Every
// call of this package is idempotent, so that a repeat does no harm.
func (e *Edge) call(ctx context.Context, t dbedge.Target, do command) (dbedge.Status, error) {
	if c := e.take(t); c != nil {
		keptCtx, stop := context.WithTimeout(ctx, keptTimeout)
		status, err := e.ask(keptCtx, t, c, do)
		stop()
		if err == nil || errors.Is(err, dbedge.ErrBusy) {
			return status, err
		}
		if ctx.Err() != nil {
			return dbedge.Status{}, ctx.Err()
		}
	}
	c, err := pool.OpenStatements(ctx, t, e.codec)
	if err != nil {
		return dbedge.Status{}, fmt.Errorf("connect to %s: %w", t.Instance, err)
	}
	return e.ask(ctx, t, c, do)
}

// ask does one call over c, which is kept where the instance answered, also
// that it is busy, and closed otherwise.
func (e *Edge) ask(ctx context.Context, t dbedge.Target, c *pool.StatementConn, do command) (dbedge.Status, error) {
	s, err := do(c, ctx)
	if err != nil && !errors.Is(err, dbedge.ErrBusy) {
		c.Close()
		return dbedge.Status{}, fmt.Errorf("ask %s: %w", t.Instance, err)
	}
	e.give(t, c)
	return dbedge.Status{Role: s.Role, Mark: s.Mark, Held: s.Held}, err
}

func (e *Edge) take(t dbedge.Target) *pool.StatementConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := e.kept[t]
	delete(e.kept, t)
	if k == nil {
		return nil
	}
	return k.conn
}

// give keeps a connection for the next call, and closes those that no call has
// used for a while.
func (e *Edge) give(t dbedge.Target, c *pool.StatementConn) {
	now := time.Now()
	e.mu.Lock()
	old := e.kept[t]
	e.kept[t] = &kept{conn: c, usedAt: now}
	var ended []*pool.StatementConn
	if old != nil {
		ended = append(ended, old.conn)
	}
	for other, k := range e.kept {
		if now.Sub(k.usedAt) > keptFor {
			ended = append(ended, k.conn)
			delete(e.kept, other)
		}
	}
	e.mu.Unlock()
	for _, c := range ended {
		c.Close()
	}
}
