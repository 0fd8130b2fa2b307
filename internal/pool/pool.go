package pool

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// Config describes the pool of one instance.
type Config struct {
	// Dial opens one connection.
	Dial Dialer
	// PerWorkspace reports whether requests name workspaces, so that no connection
	// can be opened before it is known for which workspace. Nil means that they do
	// not.
	PerWorkspace func() bool
	// Retain is how many connections may be open where requests name workspaces
	// before idle ones of other workspaces make room instead of a further one
	// being opened. Zero means Max.
	Retain int
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

// Dialer opens a connection to an instance on behalf of a workspace, or of the
// proxy itself if workspace is empty. A connection stays with its workspace.
type Dialer func(ctx context.Context, workspace string) (Conn, error)

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
	if c.Retain < 0 || c.Retain > c.Max {
		return fmt.Errorf("pool: retain %d is out of range: it must be from 0 to max", c.Retain)
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
// any time; a connection counts as open until its close has returned, which is once
// the upstream has closed its end or a timeout has passed. A Pool is safe for
// concurrent use.
//
// A connection serves one workspace only. If a request finds none of its workspace
// and Max are open, the least recently used idle connection of another workspace
// makes room for it.
type Pool struct {
	cfg Config

	mu           sync.Mutex
	idle         []Conn         // the most recently used connection is last
	open         int            // idle, in use, being dialed and being closed
	dialing      map[string]int // being dialed, by workspace; without zero counts
	closing      int            // being closed
	waiters      []*waiter      // the longest waiting first
	closed       bool
	silenceCheck *silenceCheck // the check in progress, or nil
	demand       demand
	// refusedLimit bounds the open connections until refusedUntil, after the
	// instance refused a connection because it has too many.
	refusedLimit int
	refusedUntil time.Time
}

// refusalPause is how long the pool does with the connections that it has after the
// instance refused another one. Connections of an earlier owner may still be open.
const refusalPause = 500 * time.Millisecond

// waiter is a request that waits for a connection of its workspace.
type waiter struct {
	workspace string
	result    chan waitResult // buffered for the only result
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
	return &Pool{cfg: cfg, dialing: map[string]int{}}, nil
}

// errPoolClosed is returned by Get once the pool is closed.
var errPoolClosed = errors.New("pool is closed")

// Get is GetFor without a workspace.
func (p *Pool) Get(ctx context.Context) (Conn, error) { return p.GetFor(ctx, "") }

// GetFor returns a connection of a workspace for exclusive use until Put or
// Discard. It takes an idle connection of the workspace if there is one. Otherwise
// it dials a new one, closing an idle connection of another workspace if Max are
// open, and waits for the first connection of the workspace that is put back or
// dialed. Errors have the effect NotRun.
func (p *Pool) GetFor(ctx context.Context, workspace string) (Conn, error) {
	for {
		c, err := p.acquire(ctx, workspace)
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

// getAny returns an idle connection of any workspace, or else one without a
// workspace. It serves commands of the proxy itself.
func (p *Pool) getAny(ctx context.Context) (Conn, error) {
	p.mu.Lock()
	workspace := ""
	if n := len(p.idle); n > 0 {
		workspace = p.idle[n-1].base().workspace
	}
	p.mu.Unlock()
	return p.GetFor(ctx, workspace)
}

// acquire adds to the demand and returns an idle connection, or waits for one. It
// does not check whether the upstream has closed an idle connection.
func (p *Pool) acquire(ctx context.Context, workspace string) (Conn, error) {
	p.mu.Lock()
	p.demand.add()
	if p.closed {
		p.mu.Unlock()
		return nil, upstreamLost(errPoolClosed, false)
	}
	if i := p.findIdle(workspace); i >= 0 {
		c := p.removeIdle(i)
		p.mu.Unlock()
		return c, nil
	}
	w := &waiter{workspace: workspace, result: make(chan waitResult, 1)}
	p.waiters = append(p.waiters, w)
	p.openForWaiters()
	p.mu.Unlock()
	return p.wait(ctx, w)
}

// findIdle returns the index of the most recently used idle connection of the
// workspace, or -1. p.mu must be held.
func (p *Pool) findIdle(workspace string) int {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].base().workspace == workspace {
			return i
		}
	}
	return -1
}

// removeIdle removes and returns idle connection i. p.mu must be held.
func (p *Pool) removeIdle(i int) Conn {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return c
}

// wait returns what is delivered to w, or an error once ctx is done.
func (p *Pool) wait(ctx context.Context, w *waiter) (Conn, error) {
	select {
	case result := <-w.result:
		return result.conn, result.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	i := slices.Index(p.waiters, w)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i < 0 { // a result was delivered while ctx ended
		if result := <-w.result; result.conn != nil {
			p.putIdle(result.conn, true)
		}
	}
	return nil, errkind.Wrap(ctx.Err(), errkind.DeadlineUnreachable, "no connection to the upstream became free")
}

// openForWaiters provides for each waiter, the longest waiting first: it opens a
// connection if none is being dialed for the waiter and fewer than Max are open.
// If Max are open, it closes an idle connection of another workspace, and opens one
// for the waiter once that is closed. p.mu must be held.
func (p *Pool) openForWaiters() {
	if len(p.waiters) == 0 {
		return
	}
	dialing := maps.Clone(p.dialing) // not yet assigned to a waiter
	closing := p.closing             // rooms to come, not yet assigned to a waiter
	limit := p.limit()
	for _, w := range p.waiters {
		switch {
		case dialing[w.workspace] > 0:
			dialing[w.workspace]--
		case p.open < min(limit, p.retained()):
			p.openConn(w.workspace)
		case closing > 0:
			closing--
		case len(p.idle) > 0:
			p.closeAsync(p.removeIdle(p.leastRecentlyUsed()))
		case p.open < limit:
			p.openConn(w.workspace)
		default:
			return
		}
	}
}

// limit returns how many connections may be open now. p.mu must be held.
func (p *Pool) limit() int {
	if time.Now().Before(p.refusedUntil) {
		return p.refusedLimit
	}
	return p.cfg.Max
}

// retained returns how many connections may be open before idle ones make room.
func (p *Pool) retained() int {
	if p.cfg.Retain == 0 || !p.perWorkspace() {
		return p.cfg.Max
	}
	return p.cfg.Retain
}

// leastRecentlyUsed returns the index of the idle connection that has not served a
// request for the longest time. There must be one. p.mu must be held.
func (p *Pool) leastRecentlyUsed() int {
	oldest := 0
	for i, c := range p.idle {
		if c.base().usedAt.Before(p.idle[oldest].base().usedAt) {
			oldest = i
		}
	}
	return oldest
}

// openConn dials a connection in the background. No request's context cancels
// the dial: the upstream might still count a connection that this host has
// abandoned. p.mu must be held.
func (p *Pool) openConn(workspace string) {
	p.open++
	p.dialing[workspace]++
	go func() {
		c, err := p.dial(workspace)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dialing[workspace]--
		if p.dialing[workspace] == 0 {
			delete(p.dialing, workspace)
		}
		if err != nil {
			p.dialFailed(workspace, err)
			return
		}
		p.addIdle(c, false)
	}()
}

// dial opens a connection and sets up its silence check.
func (p *Pool) dial(workspace string) (Conn, error) {
	ctx, stop := context.WithTimeout(context.Background(), p.cfg.DialTimeout)
	defer stop()
	c, err := p.cfg.Dial(ctx, workspace)
	if err != nil {
		return nil, err
	}
	b := c.base()
	b.workspace = workspace
	b.reader.silenceTimeout = p.cfg.SilenceTimeout
	b.reader.isSilent = func(ctx context.Context) bool { return p.isSilent(ctx, c) }
	return c, nil
}

// dialFailed records a failed dial. The first waiter of the workspace gets its
// error. If the instance has too many connections, the waiter waits for the room of
// one of this pool instead, as long as the pool has any. p.mu must be held.
func (p *Pool) dialFailed(workspace string, err error) {
	p.open--
	if errkind.Is(err, errkind.UpstreamBusy) && p.perWorkspace() && p.open > 0 {
		p.refusedLimit, p.refusedUntil = p.open, time.Now().Add(refusalPause)
		p.openForWaiters()
		return
	}
	if w := p.removeWaiter(workspace); w != nil {
		w.result <- waitResult{err: upstreamLost(err, false)}
	}
	p.openForWaiters()
}

// removeWaiter removes and returns the longest waiting waiter of the workspace, or
// returns nil if there is none. p.mu must be held.
func (p *Pool) removeWaiter(workspace string) *waiter {
	i := slices.IndexFunc(p.waiters, func(w *waiter) bool { return w.workspace == workspace })
	if i < 0 {
		return nil
	}
	w := p.waiters[i]
	p.waiters = slices.Delete(p.waiters, i, i+1)
	return w
}

// removeDemand records that one connection fewer is in use or waited for.
func (p *Pool) removeDemand() {
	p.mu.Lock()
	p.demand.remove()
	p.mu.Unlock()
}

// Put returns a connection to the pool, which closes it if it is not reusable.
func (p *Pool) Put(c Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand.remove()
	p.addIdle(c, true)
}

// putIdle is addIdle for a caller that does not hold p.mu.
func (p *Pool) putIdle(c Conn, used bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addIdle(c, used)
}

// addIdle passes a connection that is not in use to the first waiter of its
// workspace, or adds it to the idle connections. If used is set, Get returns the
// connection before the other idle ones, otherwise after them. A connection that is
// not reusable is closed, and so is one that must make room for a waiter of another
// workspace that has waited longer. p.mu must be held.
func (p *Pool) addIdle(c Conn, used bool) {
	if p.closed || !c.isReusable() {
		p.closeAsync(c)
		return
	}
	if !p.mustMakeRoom(c) {
		if w := p.removeWaiter(c.base().workspace); w != nil {
			w.result <- waitResult{conn: c}
			return
		}
	}
	if used {
		p.idle = append(p.idle, c)
	} else {
		p.idle = slices.Insert(p.idle, 0, c)
	}
	p.openForWaiters()
}

// mustMakeRoom reports whether a waiter of another workspace has waited longer than
// those of the workspace of c and can only be served in the place of c. p.mu must
// be held.
func (p *Pool) mustMakeRoom(c Conn) bool {
	if len(p.waiters) == 0 || p.open < p.limit() {
		return false
	}
	provided := maps.Clone(p.dialing)
	rooms := p.closing + len(p.idle)
	for _, w := range p.waiters {
		switch {
		case w.workspace == c.base().workspace:
			return false
		case provided[w.workspace] > 0:
			provided[w.workspace]--
		case rooms > 0:
			rooms--
		default:
			return true
		}
	}
	return false
}

// Discard closes a connection that must not be used again and cancels what still
// runs on it. It does not wait for that.
func (p *Pool) Discard(c Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand.remove()
	p.closeAsync(c)
}

// closeAsync closes a connection in the background. The connection counts as
// open until close has returned. p.mu must be held.
func (p *Pool) closeAsync(c Conn) {
	p.closing++
	go func() {
		c.close()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.open--
		p.closing--
		p.openForWaiters()
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
	defer p.mu.Unlock()
	p.closed = true
	for _, w := range p.waiters {
		w.result <- waitResult{err: upstreamLost(errPoolClosed, false)}
	}
	for _, c := range p.idle {
		p.closeAsync(c)
	}
	p.idle, p.waiters = nil, nil
}
