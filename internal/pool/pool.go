package pool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/upstream"
)

// Config describes the pool of one instance.
type Config struct {
	Address string // ip:port
	Login   upstream.Login
	// Epoch is the ownership epoch; the upstream sees it in application_name,
	// so that a fence can close what an older owner left open.
	Epoch table.Epoch
	// Max is how many connections may be open at once.
	Max int
	// Warm is how many connections are kept ready.
	Warm int
	// IdleTimeout is after how long a connection beyond Warm is closed.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of one connection.
	DialTimeout time.Duration
}

func (c *Config) validate() error {
	if _, _, err := net.SplitHostPort(c.Address); err != nil {
		return fmt.Errorf("pool address: %w", err)
	}
	if c.Max < 1 || c.Warm < 0 || c.Warm > c.Max {
		return fmt.Errorf("pool of %s: max %d, warm %d", c.Address, c.Max, c.Warm)
	}
	if c.IdleTimeout <= 0 || c.DialTimeout <= 0 {
		return fmt.Errorf("pool of %s: time-outs must be positive", c.Address)
	}
	return nil
}

// Pool lends out connections. Never more than Max are open.
type Pool struct {
	cfg Config
	pg  *pgconn.Config

	mu      sync.Mutex
	idle    []*Conn // the one used last is at the end
	open    int     // idle, lent and being opened
	waiting []chan *Conn
	closed  bool
}

// New returns an empty pool.
func New(cfg Config) (*Pool, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	pg, err := cfg.Login.Config(cfg.Address, "amaranthweir/"+strconv.FormatUint(uint64(cfg.Epoch), 10), cfg.DialTimeout)
	if err != nil {
		return nil, err
	}
	return &Pool{cfg: cfg, pg: pg}, nil
}

// errClosed is returned by Get once the pool is closed.
var errClosed = errors.New("pool is closed")

// Get lends a connection: an idle one, a new one while fewer than Max are
// open, or the next one that is given back. Errors have the effect NotRun.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, lost(errClosed, false)
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	if p.open < p.cfg.Max {
		p.open++
		p.mu.Unlock()
		return p.dial(ctx)
	}
	wake := make(chan *Conn, 1)
	p.waiting = append(p.waiting, wake)
	p.mu.Unlock()
	return p.wait(ctx, wake)
}

// wait takes what a Put or Discard hands over: a connection, or nil for the
// right to open one.
func (p *Pool) wait(ctx context.Context, wake chan *Conn) (*Conn, error) {
	select {
	case c := <-wake:
		if c != nil {
			return c, nil
		}
		return p.dial(ctx)
	case <-ctx.Done():
	}
	p.mu.Lock()
	for i, w := range p.waiting {
		if w == wake {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			p.mu.Unlock()
			return nil, errkind.Wrap(ctx.Err(), errkind.DeadlineUnreachable, "no connection to the upstream became free")
		}
	}
	p.mu.Unlock()
	if c := <-wake; c != nil { // handed over at the same moment
		p.Put(c)
	} else {
		p.released()
	}
	return nil, errkind.Wrap(ctx.Err(), errkind.DeadlineUnreachable, "no connection to the upstream became free")
}

// dial opens a connection for which open was counted already.
func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	ctx, stop := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer stop()
	c, err := dial(ctx, p.pg)
	if err != nil {
		p.released()
		return nil, lost(err, false)
	}
	return c, nil
}

// released gives the right to open a connection to the next one waiting, or
// back.
func (p *Pool) released() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) > 0 {
		p.waiting[0] <- nil
		p.waiting = p.waiting[1:]
		return
	}
	p.open--
}

// Put gives a connection back. One that is not reusable is closed.
func (p *Pool) Put(c *Conn) {
	if !c.reusable() {
		p.Discard(c)
		return
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.Discard(c)
		return
	}
	if len(p.waiting) > 0 {
		p.waiting[0] <- c
		p.waiting = p.waiting[1:]
	} else {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
}

// Discard closes a connection that must not be used again.
func (p *Pool) Discard(c *Conn) {
	c.close()
	p.released()
}

// Maintain opens connections up to Warm and closes one idle for longer than
// IdleTimeout beyond that. It is called at intervals.
func (p *Pool) Maintain(ctx context.Context, now time.Time) {
	p.mu.Lock()
	var old *Conn
	if len(p.idle) > 0 && p.open > p.cfg.Warm && now.Sub(p.idle[0].usedAt) > p.cfg.IdleTimeout {
		old = p.idle[0]
		p.idle = p.idle[1:]
	}
	wanted := !p.closed && p.open < p.cfg.Warm
	if wanted {
		p.open++
	}
	p.mu.Unlock()
	if old != nil {
		old.terminate()
		p.released()
	}
	if !wanted {
		return
	}
	if c, err := p.dial(ctx); err == nil {
		p.Put(c)
	}
}

// DropIdle closes all idle connections, after one of them was found silent.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.Discard(c)
	}
}

// Stats returns how many connections are open and how many of them are idle.
func (p *Pool) Stats() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// Close ends the idle connections; lent ones are closed when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.terminate()
		p.released()
	}
}
