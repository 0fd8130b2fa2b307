package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// sampleShare is the part of the staleness, as a divisor, after which a
	// sample is renewed in the background.
	sampleShare = 3
	// sampleTimeout bounds one question for the position of a primary.
	sampleTimeout = 400 * time.Millisecond
)

// samples holds the latest known position of the primary of each group. Each
// covers every write that was acknowledged before it was asked for.
type samples struct {
	mu     sync.Mutex
	groups map[table.GroupName]*sample
}

// sample is the position of one primary.
type sample struct {
	mark    table.Mark
	askedAt time.Duration // on the clock of the gateway
	known   bool
	flight  chan struct{} // closed when the question under way has ended
	err     error         // of the latest question
}

// sampleFloor makes the floor of a read the later of what its session wrote
// and the position of the primary at most the staleness ago. A position of a
// newer term covers all that survived of older ones.
func (r *run) sampleFloor(ctx context.Context, q *request.Request) error {
	if q.Access != config.AccessRead || q.Staleness == 0 {
		return nil
	}
	mark, err := r.session.gateway.sampled(ctx, q.Group, q.Staleness)
	if err != nil {
		return err
	}
	q.Floor, q.HasFloor = mark, true
	if own, ok := r.session.token.Floor(q.Group); ok && q.Floor.Less(own) {
		q.Floor = own
	}
	return nil
}

// sampled returns the position of the primary of a group as it was at most age
// ago. It asks only where the last sample is older, or of another term.
func (g *Gateway) sampled(ctx context.Context, group table.GroupName, age time.Duration) (table.Mark, error) {
	for {
		now := g.cfg.Clock()
		agreed, _ := g.cfg.Directory.Agreed(group)
		g.samples.mu.Lock()
		s := g.samples.of(group)
		fresh := s.known && now-s.askedAt < age && s.mark.Term == agreed.DataTerm()
		if (!fresh || now-s.askedAt > age/sampleShare) && s.flight == nil {
			s.flight = make(chan struct{})
			go g.ask(group, s)
		}
		mark, flight := s.mark, s.flight
		g.samples.mu.Unlock()
		if fresh {
			return mark, nil
		}
		select {
		case <-flight:
		case <-ctx.Done():
			return table.Mark{}, errkind.Wrap(ctx.Err(), errkind.StalenessUnprovable, "the position of the primary of %s is not known", group)
		}
		g.samples.mu.Lock()
		err, found := s.err, s.err == nil
		g.samples.mu.Unlock()
		if !found && g.isolated() {
			return table.Mark{}, errkind.Wrap(err, errkind.StalenessUnprovable, "%v", err)
		}
		if !found {
			if err := g.pauseSample(ctx, err); err != nil {
				return table.Mark{}, err
			}
		}
	}
}

// pauseSample waits a little before a position is asked for again.
func (g *Gateway) pauseSample(ctx context.Context, cause error) error {
	changed := g.cfg.Directory.Changed()
	timer := time.NewTimer(maxBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
		return errkind.Wrap(cause, errkind.StalenessUnprovable, "%v", cause)
	}
	return nil
}

// isolated reports whether this host hears no control leader.
func (g *Gateway) isolated() bool { return g.cfg.Isolated != nil && g.cfg.Isolated() }

func (s *samples) of(group table.GroupName) *sample {
	if s.groups == nil {
		s.groups = map[table.GroupName]*sample{}
	}
	one := s.groups[group]
	if one == nil {
		one = &sample{}
		s.groups[group] = one
	}
	return one
}

// ask asks the owner of the primary for its position.
func (g *Gateway) ask(group table.GroupName, s *sample) {
	ctx, stop := context.WithTimeout(context.Background(), sampleTimeout)
	defer stop()
	askedAt := g.cfg.Clock()
	p, err := g.PrimaryPosition(ctx, group)
	g.samples.mu.Lock()
	defer g.samples.mu.Unlock()
	s.err = err
	if err == nil {
		s.mark, s.askedAt, s.known = p.Mark, askedAt, true
	}
	close(s.flight)
	s.flight = nil
}
