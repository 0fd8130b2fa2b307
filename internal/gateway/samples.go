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

// sampleStore holds the recent samples of the position of each group's primary.
// Each position covers every write that was acknowledged before the position
// was requested.
type sampleStore struct {
	mu     sync.Mutex
	groups map[table.GroupName]*groupSamples
}

// positionSample is one sample of the position of a primary.
type positionSample struct {
	mark        table.Mark
	requestedAt time.Duration // on the clock of the gateway
}

// groupSamples holds the samples of one group's primary, all in the same term
// and oldest first.
type groupSamples struct {
	samples  []positionSample
	inFlight chan struct{} // closed when the query in flight ends
	err      error         // of the latest query that has ended
}

// add keeps a sample. A sample in a newer term covers all writes of older terms
// that survived, so it replaces their samples.
func (p *groupSamples) add(sample positionSample) {
	if n := len(p.samples); n > 0 {
		last := p.samples[n-1]
		switch {
		case sample.mark.Term < last.mark.Term || sample.requestedAt <= last.requestedAt:
			return
		case sample.mark.Term > last.mark.Term:
			p.samples = p.samples[:0]
		case n > 1 && last.requestedAt-p.samples[n-2].requestedAt < minSampleInterval:
			p.samples[n-1] = sample // the last sample is too close to the one before it to be kept as well
			return
		}
	}
	if len(p.samples) == maxSamples {
		p.samples = append(p.samples[:0], p.samples[1:]...)
	}
	p.samples = append(p.samples, sample)
}

// oldest returns the oldest sample of the term that is younger than age. More
// replicas hold an older position, so more of them can serve the read.
func (p *groupSamples) oldest(now, age time.Duration, term table.Term) (table.Mark, bool) {
	for _, sample := range p.samples {
		if sample.mark.Term == term && now-sample.requestedAt < age {
			return sample.mark, true
		}
	}
	return table.Mark{}, false
}

// isDue reports whether the next sample is due.
func (p *groupSamples) isDue(now, age time.Duration) bool {
	n := len(p.samples)
	return n == 0 || now-p.samples[n-1].requestedAt > age/sampleIntervalDivisor
}

// sampleFloor sets the floor of a read to the later of two marks: a position
// that was sampled at the primary within the staleness of the read, and the last
// write of the session.
func (r *run) sampleFloor(ctx context.Context, q *request.Request) error {
	if q.Access != config.AccessRead || q.Staleness == 0 {
		return nil
	}
	g := r.session.gateway
	mark, err := g.recentPosition(ctx, q.Group, max(0, q.Staleness-stalenessMargin))
	if err != nil {
		return err
	}
	if sessionFloor, ok := r.session.token.Floor(q.Group); ok && mark.Less(sessionFloor) {
		mark = sessionFloor
	}
	// The primary of a new term reports the position at which the term begins
	// under that term, but the entry there is one of an older term.
	agreed, _ := g.cfg.Directory.Agreed(q.Group)
	q.Floor, q.HasFloor = agreed.History.EntryMark(mark), true
	return nil
}

// recentPosition returns a position that was sampled at the primary of a group
// at most age ago. It blocks only when no such sample is available.
func (g *Gateway) recentPosition(ctx context.Context, group table.GroupName, age time.Duration) (table.Mark, error) {
	for {
		now := g.cfg.Clock()
		agreed, _ := g.cfg.Directory.Agreed(group)
		g.samples.mu.Lock()
		p := g.samples.forGroup(group)
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
func (g *Gateway) awaitSample(ctx context.Context, group table.GroupName, p *groupSamples, inFlight <-chan struct{}) error {
	changed := g.cfg.Directory.Changed()
	select {
	case <-inFlight:
	case <-ctx.Done():
		if err := g.samples.lastError(p); err != nil {
			return unknownPosition(group, err)
		}
		return unknownPosition(group, ctx.Err())
	}
	err := g.samples.lastError(p)
	if err == nil {
		return nil
	}
	if g.isolated() {
		return unknownPosition(group, err)
	}
	timer := time.NewTimer(maxBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
		return unknownPosition(group, err)
	}
	return nil
}

// unknownPosition returns the error of a read whose floor cannot be set because
// of cause.
func unknownPosition(group table.GroupName, cause error) error {
	return errkind.Wrap(cause, errkind.StalenessUnprovable, "the position of the primary of %s is not known: %v", group, cause)
}

// lastError returns the error of the latest query that has ended, or nil if it
// succeeded.
func (s *sampleStore) lastError(p *groupSamples) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.err
}

// isolated reports whether this host has no contact with a control leader.
func (g *Gateway) isolated() bool { return g.cfg.Isolated != nil && g.cfg.Isolated() }

// forGroup returns the samples of a group's primary. The caller holds the lock.
func (s *sampleStore) forGroup(group table.GroupName) *groupSamples {
	if s.groups == nil {
		s.groups = map[table.GroupName]*groupSamples{}
	}
	p := s.groups[group]
	if p == nil {
		p = &groupSamples{}
		s.groups[group] = p
	}
	return p
}

// samplePosition queries the position of the primary and stores the result.
func (g *Gateway) samplePosition(group table.GroupName, p *groupSamples) {
	ctx, stop := context.WithTimeout(context.Background(), sampleTimeout)
	defer stop()
	requestedAt := g.cfg.Clock()
	sample, err := g.queryPositionWithBreaker(ctx, group)
	g.samples.mu.Lock()
	defer g.samples.mu.Unlock()
	p.err = err
	if err == nil {
		p.add(positionSample{mark: sample.Mark, requestedAt: requestedAt})
	}
	close(p.inFlight)
	p.inFlight = nil
}

// queryPositionWithBreaker queries the owner of a group's primary for the
// position of that primary, unless the breaker is open after recent refusals.
func (g *Gateway) queryPositionWithBreaker(ctx context.Context, group table.GroupName) (request.PositionSample, error) {
	primary, err := g.primaryOf(group)
	if err != nil {
		return request.PositionSample{}, err
	}
	if !g.cfg.Directory.Responsive(primary.Owner) {
		return request.PositionSample{}, errkind.New(errkind.NoOwner, "%s does not respond", primary.Owner)
	}
	if !g.positionBreaker.Allow(g.cfg.Clock(), primary, rand.Float64()) {
		return request.PositionSample{}, errkind.New(errkind.NoOwner, "%s refused the position of %s", primary.Owner, primary.Instance)
	}
	sample, err := g.queryPosition(ctx, primary)
	if err != nil {
		g.positionBreaker.Refused(g.cfg.Clock(), primary)
		return sample, err
	}
	g.positionBreaker.Served(primary)
	return sample, nil
}
