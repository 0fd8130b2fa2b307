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
	// Max is how many connections may be open at once.
	Max int
	// Warm is how many connections are kept ready at least.
	Warm int
	// IdleTimeout is after how long a connection beyond the recent need is
	// closed.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of one connection.
	DialTimeout time.Duration
	// Progress is after how long without a byte of an answer a connection is
	// suspected of being silent; zero means DefaultProgress.
	Progress time.Duration
	// ProbeTimeout bounds the probe of one connection; zero means
	// DefaultProbeTimeout.
	ProbeTimeout time.Duration
	// ProbeIdle is after how long a connection that rests is probed; zero
	// means DefaultProbeIdle.
	ProbeIdle time.Duration
}

// Time-outs of a Config that leaves them out. They suit failure domains a few
// milliseconds apart and statements of some 10 ms.
const (
	DefaultProgress     = 150 * time.Millisecond
	DefaultProbeTimeout = 100 * time.Millisecond
	DefaultProbeIdle    = time.Second
)

// Dialer opens a connection to an instance.
type Dialer func(ctx context.Context) (Conn, error)

// withDefaults fills in the time-outs that were left out.
func (c Config) withDefaults() Config {
	c.Progress = cmp.Or(c.Progress, DefaultProgress)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, DefaultProbeTimeout)
	c.ProbeIdle = cmp.Or(c.ProbeIdle, DefaultProbeIdle)
	return c
}

func (c *Config) validate() error {
	if c.Dial == nil {
		return errors.New("pool: Dial must be set")
	}
	if c.Max < 1 || c.Warm < 0 || c.Warm > c.Max {
		return fmt.Errorf("pool: max %d, warm %d", c.Max, c.Warm)
	}
	if min(c.IdleTimeout, c.DialTimeout, c.Progress, c.ProbeTimeout, c.ProbeIdle) <= 0 {
		return errors.New("pool: time-outs must be positive")
	}
	return nil
}

// Pool lends out connections. Never more than Max are open: a connection
// counts until the upstream has ended it.
type Pool struct {
	cfg Config

	mu      sync.Mutex
	idle    []Conn // the one used last is at the end
	open    int    // idle, lent, being opened and being closed
	dialing int    // being opened
	waiting []chan handover
	closed  bool
	inquiry *inquiry // the one that runs
	need    need
}

// handover is what ends the wait for a connection.
type handover struct {
	conn Conn
	err  error
}

// New returns an empty pool.
func New(cfg Config) (*Pool, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	return &Pool{cfg: cfg}, nil
}

// errClosed is returned by Get once the pool is closed.
var errClosed = errors.New("pool is closed")

// Get lends a connection: an idle one, or the next one that is given back or
// was opened; one more is opened while fewer than Max are open. Errors have the
// effect NotRun.
func (p *Pool) Get(ctx context.Context) (Conn, error) {
	for {
		c, err := p.lend(ctx)
		if err != nil {
			p.returned()
			return nil, err
		}
		if c.fit() {
			return c, nil
		}
		p.Discard(c)
	}
}

// lend returns a connection that may have ended while it rested.
func (p *Pool) lend(ctx context.Context) (Conn, error) {
	p.mu.Lock()
	p.need.lend()
	if p.closed {
		p.mu.Unlock()
		return nil, lost(errClosed, false)
	}
	if n := len(p.idle); n > 0 {
		c := p.takeIdle(n - 1)
		p.mu.Unlock()
		return c, nil
	}
	wake := make(chan handover, 1)
	p.waiting = append(p.waiting, wake)
	p.openMore()
	p.mu.Unlock()
	return p.wait(ctx, wake)
}

// takeIdle removes one idle connection. It runs under the lock.
func (p *Pool) takeIdle(i int) Conn {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return c
}

// wait takes what is handed over.
func (p *Pool) wait(ctx context.Context, wake chan handover) (Conn, error) {
	select {
	case h := <-wake:
		return h.conn, h.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	i := slices.Index(p.waiting, wake)
	if i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	p.mu.Unlock()
	if i < 0 { // handed over at the same moment
		if h := <-wake; h.conn != nil {
			p.rest(h.conn, true)
		}
	}
	return nil, errkind.Wrap(ctx.Err(), errkind.DeadlineUnreachable, "no connection to the upstream became free")
}

// openMore opens a connection for each one that waits, up to Max. It runs
// under the lock.
func (p *Pool) openMore() {
	for p.dialing < len(p.waiting) && p.open < p.cfg.Max {
		p.openOne()
	}
}

// openOne opens a connection. Nobody's context ends that: the upstream might
// count a connection on which this host gave up. It runs under the lock.
func (p *Pool) openOne() {
	p.open++
	p.dialing++
	go func() {
		c, err := p.dial()
		p.mu.Lock()
		p.dialing--
		p.mu.Unlock()
		if err != nil {
			p.released(err)
			return
		}
		p.rest(c, false)
	}()
}

// dial opens a connection.
func (p *Pool) dial() (Conn, error) {
	ctx, stop := context.WithTimeout(context.Background(), p.cfg.DialTimeout)
	defer stop()
	c, err := p.cfg.Dial(ctx)
	if err != nil {
		return nil, err
	}
	l := c.shared()
	l.reader.progress = p.cfg.Progress
	l.reader.silent = func(ctx context.Context) bool { return p.silent(ctx, c) }
	return c, nil
}

// released notes that a connection is not open any more. An error says that it
// never was; then it ends the wait of one who wanted it.
func (p *Pool) released(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if err != nil && len(p.waiting) > 0 {
		p.waiting[0] <- handover{err: lost(err, false)}
		p.waiting = p.waiting[1:]
	}
	p.openMore()
}

// returned notes that somebody who wanted a connection has none any more.
func (p *Pool) returned() {
	p.mu.Lock()
	p.need.back()
	p.mu.Unlock()
}

// Put gives a connection back. One that is not reusable is closed.
func (p *Pool) Put(c Conn) {
	p.returned()
	p.rest(c, true)
}

// rest lets a connection that nobody has wait for its next use. One that was
// used last is lent first.
func (p *Pool) rest(c Conn, used bool) {
	p.mu.Lock()
	switch {
	case p.closed || !c.reusable():
		p.mu.Unlock()
		p.retire(c)
		return
	case len(p.waiting) > 0:
		p.waiting[0] <- handover{conn: c}
		p.waiting = p.waiting[1:]
	case used:
		p.idle = append(p.idle, c)
	default:
		p.idle = slices.Insert(p.idle, 0, c)
	}
	p.mu.Unlock()
}

// Discard closes a connection that must not be used again; what runs on it is
// cancelled. It returns at once.
func (p *Pool) Discard(c Conn) {
	p.returned()
	p.retire(c)
}

// retire closes a connection that nobody has. It counts as open until the
// upstream has ended it.
func (p *Pool) retire(c Conn) {
	go func() {
		c.close()
		p.released(nil)
	}()
}

// Stats returns how many connections are open and how many of them are idle.
func (p *Pool) Stats() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// Close ends the idle connections; lent ones are closed when they come back.
// Who waits for one gets an error.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle, waiting := p.idle, p.waiting
	p.idle, p.waiting = nil, nil
	p.mu.Unlock()
	for _, wake := range waiting {
		wake <- handover{err: lost(errClosed, false)}
	}
	for _, c := range idle {
		p.retire(c)
	}
}
