package pool

import (
	"context"
	"slices"
	"sync"
	"time"
)

// demand tracks how many connections are needed at the same time.
type demand struct {
	current     int // in use or waited for
	peak        int // in the current window
	lastPeak    int // in the previous window
	windowStart time.Time
}

func (d *demand) add() {
	d.current++
	d.peak = max(d.peak, d.current)
}

func (d *demand) remove() { d.current-- }

// recentPeak returns the peak over the current and the previous window, and
// begins a new window once the current one is over.
func (d *demand) recentPeak(now time.Time, window time.Duration) int {
	if now.Sub(d.windowStart) >= window {
		d.lastPeak, d.peak, d.windowStart = d.peak, d.current, now
	}
	return max(d.peak, d.lastPeak)
}

// Maintain adjusts the number of open connections and probes idle ones. It is
// meant to be called at regular intervals and works in the background.
//
// The target is the recent peak demand, at least Warm, plus one connection, and
// never more than Max. The extra connection stays idle while all others are
// busy, so that its probe can tell a silent network path from slow statements.
// Each call closes at most one surplus connection.
//
// Where requests name workspaces, no connection is opened before one is needed,
// because it is not known for whom, idle connections beyond Retain are surplus, and
// the many others take turns at being probed.
func (p *Pool) Maintain(ctx context.Context, now time.Time) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	target := min(p.cfg.Max, max(p.cfg.Warm, p.demand.recentPeak(now, p.cfg.IdleTimeout))+1)
	if surplus := p.removeSurplus(now, target); surplus != nil {
		p.closeAsync(surplus)
	}
	var due []Conn
	p.openForWaiters() // a limit after a refusal may be over
	if p.perWorkspace() {
		due = p.removeLongestSilent(now)
	} else {
		p.openSpare(target)
		due = p.removeDueForProbe(now)
	}
	p.mu.Unlock()
	if len(due) > 0 {
		go func() {
			if p.probe(ctx, due).silent {
				p.startSilenceCheck()
			}
		}()
	}
}

// workspaceProbes is how many idle connections one call of Maintain probes where
// requests name workspaces. A probe takes a slot of the instance for a moment.
const workspaceProbes = 2

func (p *Pool) perWorkspace() bool { return p.cfg.PerWorkspace != nil && p.cfg.PerWorkspace() }

// openSpare opens connections without a workspace until target are open. p.mu must
// be held.
func (p *Pool) openSpare(target int) {
	for p.open < target {
		p.openConn("")
	}
}

// removeSurplus removes and returns the least recently used idle connection if
// more than target are open and no request has used it for IdleTimeout;
// otherwise it returns nil. p.mu must be held.
func (p *Pool) removeSurplus(now time.Time, target int) Conn {
	if p.perWorkspace() && len(p.idle) > 0 && p.open-p.closing > p.retained() {
		return p.removeIdle(p.leastRecentlyUsed())
	}
	if len(p.idle) == 0 || p.open <= target || now.Sub(p.idle[0].base().usedAt) <= p.cfg.IdleTimeout {
		return nil
	}
	return p.removeIdle(0)
}

// removeLongestSilent removes and returns up to workspaceProbes of the idle
// connections that are due for a probe, and leaves at least half of the idle ones.
// It takes those whose last answer is the longest ago. p.mu must be held.
func (p *Pool) removeLongestSilent(now time.Time) []Conn {
	bySilence := slices.SortedFunc(slices.Values(p.idle), func(a, b Conn) int {
		return a.base().answeredAt.Compare(b.base().answeredAt)
	})
	due := bySilence[:min((len(p.idle)+1)/2, workspaceProbes)]
	due = slices.DeleteFunc(due, func(c Conn) bool { return now.Sub(c.base().answeredAt) <= p.cfg.ProbeIdle })
	p.idle = slices.DeleteFunc(p.idle, func(c Conn) bool { return slices.Contains(due, c) })
	return due
}

// removeDueForProbe removes and returns the idle connections that are due for a
// probe. It takes at most half of the idle connections, rounded up, so that
// requests can still use the others. p.mu must be held.
func (p *Pool) removeDueForProbe(now time.Time) []Conn {
	var due, remaining []Conn
	limit := (len(p.idle) + 1) / 2
	for _, c := range p.idle {
		if len(due) < limit && now.Sub(c.base().answeredAt) > p.cfg.ProbeIdle {
			due = append(due, c)
		} else {
			remaining = append(remaining, c)
		}
	}
	if len(due) > 0 {
		p.idle = remaining
	}
	return due
}

// probeResult is the result of probing several connections.
type probeResult struct {
	// silent is set when at least one connection stayed open without answering.
	silent bool
	// lastAnswer is the latest time at which one of the silent connections
	// had answered before.
	lastAnswer time.Time
}

// probe makes a round trip on all connections concurrently. Connections that
// answer become idle again, the others are closed.
func (p *Pool) probe(ctx context.Context, conns []Conn) probeResult {
	answeredAt := make([]time.Time, len(conns))
	var work sync.WaitGroup
	for i, c := range conns {
		answeredAt[i] = c.base().answeredAt
		work.Go(func() {
			_ = c.ping(ctx, p.cfg.ProbeTimeout) // a failure is recorded in the connection
		})
	}
	work.Wait()
	var result probeResult
	for i, c := range conns {
		if b := c.base(); b.awaitingAnswer && !b.disconnected {
			result.silent = true
			if answeredAt[i].After(result.lastAnswer) {
				result.lastAnswer = answeredAt[i]
			}
		}
		p.putIdle(c, false)
	}
	return result
}

// silenceCheck is one probe of all idle connections, made after a connection is
// suspected to be silent.
type silenceCheck struct {
	done chan struct{}
	idle probeResult // the result for the idle connections
	// upstreamAnswers is set when the upstream answered on a connection that
	// was obtained after the idle connections had been probed.
	upstreamAnswers bool
}

// isSilent reports whether c, which waits for an answer, is considered silent.
// That is so if an idle connection that had answered since c was opened is
// silent now, while the upstream answers on another connection. This excludes a
// frozen upstream, which answers on no connection, and a slow statement, which
// does not affect idle connections.
func (p *Pool) isSilent(ctx context.Context, c Conn) bool {
	check := p.startSilenceCheck()
	select {
	case <-check.done:
		return check.idle.silent && check.upstreamAnswers && !c.base().openedAt.After(check.idle.lastAnswer)
	case <-ctx.Done():
		return false
	}
}

// startSilenceCheck starts to probe all idle connections. If a check is already
// in progress, it returns that one.
func (p *Pool) startSilenceCheck() *silenceCheck {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silenceCheck != nil {
		return p.silenceCheck
	}
	check := &silenceCheck{done: make(chan struct{})}
	p.silenceCheck = check
	idle := p.idle
	p.idle = nil
	go p.runSilenceCheck(check, idle)
	return check
}

// runSilenceCheck probes the connections in idle. If one of them is silent, it
// also pings the upstream on another connection. It closes check.done at the end.
func (p *Pool) runSilenceCheck(check *silenceCheck, idle []Conn) {
	ctx, stop := context.WithTimeout(context.Background(), p.cfg.ProbeTimeout+p.cfg.DialTimeout)
	defer stop()
	check.idle = p.probe(ctx, idle)
	if check.idle.silent {
		if c, err := p.getAny(ctx); err == nil {
			check.upstreamAnswers = c.ping(ctx, p.cfg.ProbeTimeout) == nil
			p.Put(c)
		}
	}
	p.mu.Lock()
	p.silenceCheck = nil
	p.mu.Unlock()
	close(check.done)
}
