package pool

import (
	"context"
	"sync"
	"time"
)

// need follows how many connections are wanted at once.
type need struct {
	wanted   int // lent, and waited for
	peak     int // of the present window
	lastPeak int // of the window before
	since    time.Time
}

func (n *need) lend() {
	n.wanted++
	n.peak = max(n.peak, n.wanted)
}

func (n *need) back() { n.wanted-- }

// recent returns the peak of the last one to two windows.
func (n *need) recent(now time.Time, window time.Duration) int {
	if now.Sub(n.since) >= window {
		n.lastPeak, n.peak, n.since = n.peak, n.wanted, now
	}
	return max(n.peak, n.lastPeak)
}

// Maintain keeps as many connections as were wanted at once lately, at least
// Warm, and one beyond that: it rests while all others are busy, so that its
// probe tells a silent path from slow statements. Connections that rested are
// probed, one that is of no more use is closed. The work goes on in the
// background; Maintain is called at intervals.
func (p *Pool) Maintain(ctx context.Context, now time.Time) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	target := min(p.cfg.Max, max(p.cfg.Warm, p.need.recent(now, p.cfg.IdleTimeout))+1)
	surplus := p.takeSurplus(now, target)
	for p.open < target {
		p.openOne()
	}
	rested := p.takeRested(now)
	p.mu.Unlock()
	if surplus != nil {
		p.retire(surplus)
	}
	if len(rested) > 0 {
		go func() {
			if p.probe(ctx, rested).found {
				p.inquire()
			}
		}()
	}
}

// takeSurplus removes the connection that rested longest, when it is one too
// many. It runs under the lock.
func (p *Pool) takeSurplus(now time.Time, target int) Conn {
	if len(p.idle) == 0 || p.open <= target || now.Sub(p.idle[0].shared().usedAt) <= p.cfg.IdleTimeout {
		return nil
	}
	return p.takeIdle(0)
}

// takeRested removes the idle connections that are due for a probe, but no
// more than half of all, so that requests find the others. It runs under the
// lock.
func (p *Pool) takeRested(now time.Time) []Conn {
	var rested, kept []Conn
	most := (len(p.idle) + 1) / 2
	for _, c := range p.idle {
		if len(rested) < most && now.Sub(c.shared().answeredAt) > p.cfg.ProbeIdle {
			rested = append(rested, c)
		} else {
			kept = append(kept, c)
		}
	}
	if len(rested) > 0 {
		p.idle = kept
	}
	return rested
}

// silence is what a probe of several connections found.
type silence struct {
	found bool
	// since is the latest moment at which a silent one still answered.
	since time.Time
}

// probe makes a round trip on each connection, all at once. Those that answer
// rest again, the others are closed.
func (p *Pool) probe(ctx context.Context, conns []Conn) silence {
	answered := make([]time.Time, len(conns))
	var work sync.WaitGroup
	for i, c := range conns {
		answered[i] = c.shared().answeredAt
		work.Go(func() {
			_ = c.ping(ctx, p.cfg.ProbeTimeout) // a failure shows in the connection
		})
	}
	work.Wait()
	var s silence
	for i, c := range conns {
		if l := c.shared(); l.asked && !l.gone {
			s.found = true
			if answered[i].After(s.since) {
				s.since = answered[i]
			}
		}
		p.rest(c, false)
	}
	return s
}

// inquiry is one look at the idle connections after one was suspected.
type inquiry struct {
	done    chan struct{}
	silence silence
	// answers is set when the upstream answered on another connection.
	answers bool
}

// silent reports whether c, which waits for an answer, went silent: an idle
// connection that still answered after c was opened is silent now, while the
// upstream answers on another.
func (p *Pool) silent(ctx context.Context, c Conn) bool {
	q := p.inquire()
	select {
	case <-q.done:
		return q.silence.found && q.answers && !c.shared().openedAt.After(q.silence.since)
	case <-ctx.Done():
		return false
	}
}

// inquire begins to probe all idle connections at once. Only one inquiry runs
// at a time; who asks during it gets its result.
func (p *Pool) inquire() *inquiry {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inquiry != nil {
		return p.inquiry
	}
	q := &inquiry{done: make(chan struct{})}
	p.inquiry = q
	idle := p.idle
	p.idle = nil
	go p.conduct(q, idle)
	return q
}

// conduct runs an inquiry.
func (p *Pool) conduct(q *inquiry, idle []Conn) {
	ctx, stop := context.WithTimeout(context.Background(), p.cfg.ProbeTimeout+p.cfg.DialTimeout)
	defer stop()
	q.silence = p.probe(ctx, idle)
	if q.silence.found {
		if c, err := p.Get(ctx); err == nil {
			q.answers = c.ping(ctx, p.cfg.ProbeTimeout) == nil
			p.Put(c)
		}
	}
	p.mu.Lock()
	p.inquiry = nil
	p.mu.Unlock()
	close(q.done)
}
