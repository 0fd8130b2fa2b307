package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// sampleIntervalDivisor sets how often a position is sampled while reads
	// need it: the interval is the staleness of the read divided by this
	// number.
	sampleIntervalDivisor = 6
	// stalenessMargin is subtracted from the staleness of a class. It bounds
	// the time from setting the floor of a read until the instance checks that
	// floor.
	stalenessMargin = 20 * time.Millisecond
	// sampleTimeout bounds one position query to the owner of a primary.
	sampleTimeout = 400 * time.Millisecond
	// maxSamples is the number of samples kept for each primary.
	maxSamples = 24
	// minSampleInterval is the least time between two samples that are kept.
	minSampleInterval = 100 * time.Millisecond
)

// samples holds the recent positions of the primary of each group. Each
// position covers every write that was acknowledged before the position was
// requested.
type samples struct {
	mu     sync.Mutex
	groups map[table.GroupName]*positions
}

// position is one sample of the position of a primary.
type position struct {
	mark        table.Mark
	requestedAt time.Duration // on the clock of the gateway
}

// positions holds the samples of one primary, all in the same term and oldest
// first.
type positions struct {
	samples  []position
	inFlight chan struct{} // closed when the query in flight ends
	err      error         // of the latest query
}

// add keeps a sample. A sample in a newer term covers all writes of older terms
// that survived, so it replaces their samples.
func (p *positions) add(sample position) {
	if n := len(p.samples); n > 0 {
		last := p.samples[n-1]
		switch {
		case sample.mark.Term < last.mark.Term || sample.requestedAt <= last.requestedAt:
			return
		case sample.mark.Term > last.mark.Term:
			p.samples = p.samples[:0]
		case n > 1 && last.requestedAt-p.samples[n-2].requestedAt < minSampleInterval:
			p.samples[n-1] = sample // the previous sample is recent enough to be kept instead
			return
		}
	}
	if len(p.samples) == maxSamples {
		p.samples = append(p.samples[:0], p.samples[1:]...)
	}
	p.samples = append(p.samples, sample)
}

// oldest returns the oldest sample of the term that is younger than age. Most
// replicas have reached that position.
func (p *positions) oldest(now, age time.Duration, term table.Term) (table.Mark, bool) {
	for _, sample := range p.samples {
		if sample.mark.Term == term && now-sample.requestedAt < age {
			return sample.mark, true
		}
	}
	return table.Mark{}, false
}

// isDue reports whether the next sample is due.
func (p *positions) isDue(now, age time.Duration) bool {
	n := len(p.samples)
	return n == 0 || now-p.samples[n-1].requestedAt > age/sampleIntervalDivisor
}

// sampleFloor sets the floor of a read to the later of two marks: a position
// that the primary had passed at most the staleness ago, and the last write of
// the session.
func (r *run) sampleFloor(ctx context.Context, q *request.Request) error {
	if q.Access != config.AccessRead || q.Staleness == 0 {
		return nil
	}
	mark, err := r.session.gateway.recentPosition(ctx, q.Group, max(0, q.Staleness-stalenessMargin))
	if err != nil {
		return err
	}
	q.Floor, q.HasFloor = mark, true
	if sessionFloor, ok := r.session.token.Floor(q.Group); ok && q.Floor.Less(sessionFloor) {
		q.Floor = sessionFloor
	}
	return nil
}

// recentPosition returns a position that the primary of a group had passed at
// most age ago. It blocks only when no such sample is available.
func (g *Gateway) recentPosition(ctx context.Context, group table.GroupName, age time.Duration) (table.Mark, error) {
	for {
		now := g.cfg.Clock()
		agreed, _ := g.cfg.Directory.Agreed(group)
		g.samples.mu.Lock()
		p := g.samples.positionsOf(group)
		mark, fresh := p.oldest(now, age, agreed.EffectiveLogTerm())
		if (!fresh || p.isDue(now, age)) && p.inFlight == nil {
			p.inFlight = make(chan struct{})
			go g.samplePosition(group, p)
		}
		inFlight := p.inFlight
		g.samples.mu.Unlock()
		if fresh {
			return mark, nil
		}
		if err := g.awaitSample(ctx, group, p, inFlight); err != nil {
			return table.Mark{}, err
		}
	}
}

// awaitSample waits until the query in flight ends, and after a failed query
// also for maxBackoff or until the tables change. It returns an error if ctx is
// done, or if the query failed while this host is isolated.
func (g *Gateway) awaitSample(ctx context.Context, group table.GroupName, p *positions, inFlight <-chan struct{}) error {
	changed := g.cfg.Directory.Changed()
	select {
	case <-inFlight:
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.StalenessUnprovable, "the position of the primary of %s is not known", group)
	}
	g.samples.mu.Lock()
	err := p.err
	g.samples.mu.Unlock()
	if err == nil {
		return nil
	}
	if g.isolated() {
		return errkind.Wrap(err, errkind.StalenessUnprovable, "%v", err)
	}
	timer := time.NewTimer(maxBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
		return errkind.Wrap(err, errkind.StalenessUnprovable, "%v", err)
	}
	return nil
}

// isolated reports whether this host has no contact with a control leader.
func (g *Gateway) isolated() bool { return g.cfg.Isolated != nil && g.cfg.Isolated() }

// positionsOf returns the samples of a group's primary. The caller holds the
// lock.
func (s *samples) positionsOf(group table.GroupName) *positions {
	if s.groups == nil {
		s.groups = map[table.GroupName]*positions{}
	}
	p := s.groups[group]
	if p == nil {
		p = &positions{}
		s.groups[group] = p
	}
	return p
}

// samplePosition queries the position of the primary and stores the result.
func (g *Gateway) samplePosition(group table.GroupName, p *positions) {
	ctx, stop := context.WithTimeout(context.Background(), sampleTimeout)
	defer stop()
	requestedAt := g.cfg.Clock()
	answer, err := g.requestPosition(ctx, group)
	g.samples.mu.Lock()
	defer g.samples.mu.Unlock()
	p.err = err
	if err == nil {
		p.add(position{mark: answer.Mark, requestedAt: requestedAt})
	}
	close(p.inFlight)
	p.inFlight = nil
}

// requestPosition queries the owner of the primary for its position, unless the
// breaker is open after recent refusals.
func (g *Gateway) requestPosition(ctx context.Context, group table.GroupName) (request.PositionSample, error) {
	primary, err := g.primaryOf(group)
	if err != nil {
		return request.PositionSample{}, err
	}
	if !g.positionBreaker.Allow(g.cfg.Clock(), primary, rand.Float64()) {
		return request.PositionSample{}, errkind.New(errkind.NoOwner, "%s refused the position of %s", primary.Owner, primary.Instance)
	}
	answer, err := g.positionOf(ctx, primary)
	if err != nil {
		g.positionBreaker.Refused(g.cfg.Clock(), primary)
		return answer, err
	}
	g.positionBreaker.Served(primary)
	return answer, nil
}
