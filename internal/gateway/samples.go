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
	// sampleShare is the part of the staleness, as a divisor, between two
	// samples of a position while reads need them.
	sampleShare = 6
	// staleMargin is taken off the staleness of a class: a read is on its way
	// for that long at most before the instance checks it.
	staleMargin = 20 * time.Millisecond
	// sampleTimeout bounds one question for the position of a primary.
	sampleTimeout = 400 * time.Millisecond
	// samplesKept is how many positions of a primary are remembered.
	samplesKept = 24
	// sampleSpacing is the least time between two positions that are remembered.
	sampleSpacing = 100 * time.Millisecond
)

// samples holds the latest known positions of the primary of each group. Each
// covers every write that was acknowledged before it was asked for.
type samples struct {
	mu     sync.Mutex
	groups map[table.GroupName]*positions
}

// position is where a primary was.
type position struct {
	mark    table.Mark
	askedAt time.Duration // on the clock of the gateway
}

// positions are those of one primary, all of one term, oldest first.
type positions struct {
	known  []position
	flight chan struct{} // closed when the question under way has ended
	err    error         // of the latest question
}

// take remembers a position. One of a newer term covers all that survived of
// older terms.
func (p *positions) take(next position) {
	if n := len(p.known); n > 0 {
		last := p.known[n-1]
		switch {
		case next.mark.Term < last.mark.Term || next.askedAt <= last.askedAt:
			return
		case next.mark.Term > last.mark.Term:
			p.known = p.known[:0]
		case n > 1 && last.askedAt-p.known[n-2].askedAt < sampleSpacing:
			p.known[n-1] = next // the last but one is close enough
			return
		}
	}
	if len(p.known) == samplesKept {
		p.known = append(p.known[:0], p.known[1:]...)
	}
	p.known = append(p.known, next)
}

// oldest returns the oldest position of the term that is at most age old: the
// one that most replicas have reached.
func (p *positions) oldest(now, age time.Duration, term table.Term) (table.Mark, bool) {
	for _, known := range p.known {
		if known.mark.Term == term && now-known.askedAt < age {
			return known.mark, true
		}
	}
	return table.Mark{}, false
}

// due reports whether it is time for the next question.
func (p *positions) due(now, age time.Duration) bool {
	n := len(p.known)
	return n == 0 || now-p.known[n-1].askedAt > age/sampleShare
}

// sampleFloor makes the floor of a read the later of what its session wrote
// and the position of the primary at most the staleness ago.
func (r *run) sampleFloor(ctx context.Context, q *request.Request) error {
	if q.Access != config.AccessRead || q.Staleness == 0 {
		return nil
	}
	mark, err := r.session.gateway.sampled(ctx, q.Group, max(0, q.Staleness-staleMargin))
	if err != nil {
		return err
	}
	q.Floor, q.HasFloor = mark, true
	if own, ok := r.session.token.Floor(q.Group); ok && q.Floor.Less(own) {
		q.Floor = own
	}
	return nil
}

// sampled returns a position that the primary of a group had passed at most age
// ago. It waits for an answer only where none is known.
func (g *Gateway) sampled(ctx context.Context, group table.GroupName, age time.Duration) (table.Mark, error) {
	for {
		now := g.cfg.Clock()
		agreed, _ := g.cfg.Directory.Agreed(group)
		g.samples.mu.Lock()
		p := g.samples.of(group)
		mark, fresh := p.oldest(now, age, agreed.EffectiveLogTerm())
		if (!fresh || p.due(now, age)) && p.flight == nil {
			p.flight = make(chan struct{})
			go g.ask(group, p)
		}
		flight := p.flight
		g.samples.mu.Unlock()
		if fresh {
			return mark, nil
		}
		if err := g.awaitSample(ctx, group, p, flight); err != nil {
			return table.Mark{}, err
		}
	}
}

// awaitSample waits for the end of a question, and a little more where it
// failed.
func (g *Gateway) awaitSample(ctx context.Context, group table.GroupName, p *positions, flight <-chan struct{}) error {
	changed := g.cfg.Directory.Changed()
	select {
	case <-flight:
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

// isolated reports whether this host hears no control leader.
func (g *Gateway) isolated() bool { return g.cfg.Isolated != nil && g.cfg.Isolated() }

func (s *samples) of(group table.GroupName) *positions {
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

// ask asks the owner of the primary for its position.
func (g *Gateway) ask(group table.GroupName, p *positions) {
	ctx, stop := context.WithTimeout(context.Background(), sampleTimeout)
	defer stop()
	askedAt := g.cfg.Clock()
	answer, err := g.askOwner(ctx, group)
	g.samples.mu.Lock()
	defer g.samples.mu.Unlock()
	p.err = err
	if err == nil {
		p.take(position{mark: answer.Mark, askedAt: askedAt})
	}
	close(p.flight)
	p.flight = nil
}

// askOwner asks for the position, unless the owner refused it a moment ago.
func (g *Gateway) askOwner(ctx context.Context, group table.GroupName) (request.PositionSample, error) {
	primary, err := g.primaryOf(group)
	if err != nil {
		return request.PositionSample{}, err
	}
	if !g.positions.Allow(g.cfg.Clock(), primary, rand.Float64()) {
		return request.PositionSample{}, errkind.New(errkind.NoOwner, "%s refused the position of %s", primary.Owner, primary.Instance)
	}
	answer, err := g.positionOf(ctx, primary)
	if err != nil {
		g.positions.Refused(g.cfg.Clock(), primary)
		return answer, err
	}
	g.positions.Served(primary)
	return answer, nil
}
