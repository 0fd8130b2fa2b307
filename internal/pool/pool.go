package pool

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// Config describes the pool of one instance.
type Config struct {
	// Dial opens one connection.
	Dial Dialer
	// Max bounds the connections that are open at once.
	Max int
	// Warm is the minimum number of connections kept open.
	Warm int
	// IdleTimeout is how long a connection beyond the recent demand stays open
	// without a request. It is also the window over which demand is tracked.
	IdleTimeout time.Duration
	// DialTimeout bounds one dial.
	DialTimeout time.Duration
	// SilenceTimeout is how long a pending answer may go without a byte before
	// the pool checks whether the connection is silent: still open, but no
	// longer delivering data. Zero means DefaultSilenceTimeout.
	SilenceTimeout time.Duration
	// ProbeTimeout bounds the probe of one connection; zero means
	// DefaultProbeTimeout.
	ProbeTimeout time.Duration
	// ProbeIdle is how long an idle connection goes without an answer before
	// it is probed; zero means DefaultProbeIdle.
	ProbeIdle time.Duration
}

// Timeouts that apply where a Config leaves them zero. They suit failure
// domains a few milliseconds apart and statements that take about 10 ms.
const (
	DefaultSilenceTimeout = 150 * time.Millisecond
	DefaultProbeTimeout   = 100 * time.Millisecond
	DefaultProbeIdle      = time.Second
)

// Dialer opens a connection to an instance.
type Dialer func(ctx context.Context) (Conn, error)

// withDefaults returns c with the default for each optional timeout that is
// zero.
func (c Config) withDefaults() Config {
	c.SilenceTimeout = cmp.Or(c.SilenceTimeout, DefaultSilenceTimeout)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, DefaultProbeTimeout)
	c.ProbeIdle = cmp.Or(c.ProbeIdle, DefaultProbeIdle)
	return c
}

func (c *Config) validate() error {
	if c.Dial == nil {
		return errors.New("pool: Dial must be set")
	}
	if c.Max < 1 || c.Warm < 0 || c.Warm > c.Max {
		return fmt.Errorf("pool: max %d and warm %d are out of range: max must be at least 1, warm from 0 to max", c.Max, c.Warm)
	}
	if min(c.IdleTimeout, c.DialTimeout, c.SilenceTimeout, c.ProbeTimeout, c.ProbeIdle) <= 0 {
		return errors.New("pool: timeouts must be positive")
	}
	return nil
}

// Pool manages the connections to one instance. At most Config.Max are open at
// any time; a connection counts as open until its close has returned, which for a
// SQLConn is once the upstream has closed its end or lingerTimeout has passed. A
// Pool is safe for concurrent use.
type Pool struct {
	cfg Config

	mu           sync.Mutex
	idle         []Conn // the most recently used connection is last
	open         int    // idle, in use, being dialed and being closed
	dialing      int    // being dialed
	waiters      []chan waitResult
	closed       bool
	silenceCheck *silenceCheck // the check in progress, or nil
	demand       demand
}

// waitResult ends the wait for a connection: either conn or err is set.
type waitResult struct {
	conn Conn
	err  error
}

// New returns an empty pool, or an error if cfg is invalid.
func New(cfg Config) (*Pool, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	return &Pool{cfg: cfg}, nil
}

// errPoolClosed is returned by Get once the pool is closed.
var errPoolClosed = errors.New("pool is closed")

// Get returns a connection for exclusive use until Put or Discard. It takes an
// idle connection if there is one. Otherwise it dials a new one, unless Max are
// open, and waits for the first connection that is put back or dialed. Errors
// have the effect NotRun.
func (p *Pool) Get(ctx context.Context) (Conn, error) {
	for {
		c, err := p.acquire(ctx)
		if err != nil {
			p.removeDemand()
			return nil, err
		}
		if c.isHealthy() {
			return c, nil
		}
		p.Discard(c)
	}
}

// acquire adds to the demand and returns an idle connection, or waits for one. It
// does not check whether the upstream has closed an idle connection.
func (p *Pool) acquire(ctx context.Context) (Conn, error) {
	p.mu.Lock()
	p.demand.add()
	if p.closed {
		p.mu.Unlock()
		return nil, upstreamLost(errPoolClosed, false)
	}
	if n := len(p.idle); n > 0 {
		c := p.removeIdle(n - 1)
		p.mu.Unlock()
		return c, nil
	}
	wake := make(chan waitResult, 1)
	p.waiters = append(p.waiters, wake)
	p.openForWaiters()
	p.mu.Unlock()
	return p.wait(ctx, wake)
}

// removeIdle removes and returns idle connection i. p.mu must be held.
func (p *Pool) removeIdle(i int) Conn {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return c
}

// wait returns what is delivered on wake, or an error once ctx is done.
func (p *Pool) wait(ctx context.Context, wake chan waitResult) (Conn, error) {
	select {
	case result := <-wake:
		return result.conn, result.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	i := slices.Index(p.waiters, wake)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i < 0 { // a result was delivered while ctx ended
		if result := <-wake; result.conn != nil {
			p.putIdle(result.conn, true)
		}
	}
	return nil, errkind.Wrap(ctx.Err(), errkind.DeadlineUnreachable, "no connection to the upstream became free")
}

// openForWaiters opens a connection for each waiter that has none being dialed,
// up to Max. p.mu must be held.
func (p *Pool) openForWaiters() {
	for p.dialing < len(p.waiters) && p.open < p.cfg.Max {
		p.openConn()
	}
}

// openConn dials a connection in the background. No request's context cancels
// the dial: the upstream might still count a connection that this host has
// abandoned. p.mu must be held.
func (p *Pool) openConn() {
	p.open++
	p.dialing++
	go func() {
		c, err := p.dial()
		p.mu.Lock()
		p.dialing--
		p.mu.Unlock()
		if err != nil {
			p.connClosed(err)
			return
		}
		p.putIdle(c, false)
	}()
}

// dial opens a connection and sets up its silence check.
func (p *Pool) dial() (Conn, error) {
	ctx, stop := context.WithTimeout(context.Background(), p.cfg.DialTimeout)
	defer stop()
	c, err := p.cfg.Dial(ctx)
	if err != nil {
		return nil, err
	}
	b := c.base()
	b.reader.silenceTimeout = p.cfg.SilenceTimeout
	b.reader.isSilent = func(ctx context.Context) bool { return p.isSilent(ctx, c) }
	return c, nil
}

// connClosed records that a connection is no longer open. A non-nil err means
// that its dial failed; the first waiter then gets that error.
func (p *Pool) connClosed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if err != nil && len(p.waiters) > 0 {
		p.waiters[0] <- waitResult{err: upstreamLost(err, false)}
		p.waiters = p.waiters[1:]
	}
	p.openForWaiters()
}

// removeDemand records that one connection fewer is in use or waited for.
func (p *Pool) removeDemand() {
	p.mu.Lock()
	p.demand.remove()
	p.mu.Unlock()
}

// Put returns a connection to the pool, which closes it if it is not reusable.
func (p *Pool) Put(c Conn) {
	p.removeDemand()
	p.putIdle(c, true)
}

// putIdle passes a connection that is not in use to the first waiter, or adds it
// to the idle connections. If used is set, Get returns the connection before the
// other idle ones, otherwise after them. A connection that is not reusable is
// closed.
func (p *Pool) putIdle(c Conn, used bool) {
	p.mu.Lock()
	switch {
	case p.closed || !c.isReusable():
		p.mu.Unlock()
		p.closeAsync(c)
		return
	case len(p.waiters) > 0:
		p.waiters[0] <- waitResult{conn: c}
		p.waiters = p.waiters[1:]
	case used:
		p.idle = append(p.idle, c)
	default:
		p.idle = slices.Insert(p.idle, 0, c)
	}
	p.mu.Unlock()
}

// Discard closes a connection that must not be used again and cancels what still
// runs on it. It does not wait for that.
func (p *Pool) Discard(c Conn) {
	p.removeDemand()
	p.closeAsync(c)
}

// closeAsync closes a connection in the background. The connection counts as
// open until close has returned.
func (p *Pool) closeAsync(c Conn) {
	go func() {
		c.close()
		p.connClosed(nil)
	}()
}

// Stats returns how many connections are open and how many of them are idle.
func (p *Pool) Stats() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// Close closes the idle connections; those in use are closed when they are put
// back. Callers that wait in Get receive an error. Close does not wait until the
// connections are closed.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle, waiters := p.idle, p.waiters
	p.idle, p.waiters = nil, nil
	p.mu.Unlock()
	for _, wake := range waiters {
		wake <- waitResult{err: upstreamLost(errPoolClosed, false)}
	}
	for _, c := range idle {
		p.closeAsync(c)
	}
}
