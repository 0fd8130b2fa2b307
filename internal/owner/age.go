package owner

import (
	"context"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/system/freshness"
)

// ageTracker proves an upper bound on the age of a replica's data.
type ageTracker struct {
	tracker    freshness.Tracker
	lastReadAt time.Time // of the latest read that needed a proven age
}

// ageTrackingWindow is how long after a read the age of a replica is kept up to
// date. Positions of the primary are thus queried only by the owners of
// replicas that are read. The first read after an idle period waits for one
// probe.
const ageTrackingWindow = 5 * time.Second

// processStart is the zero point of the times that are passed to the freshness
// and admission packages.
var processStart = time.Now()

// sinceStart converts a time to a duration since processStart.
func sinceStart(t time.Time) time.Duration { return t.Sub(processStart) }

// observeReplica records the status from a probe that was sent at sentAt.
func (a *ageTracker) observeReplica(sentAt time.Time, st dbedge.Status) {
	a.tracker.ObserveReplica(sinceStart(sentAt), st.Mark)
}

// check returns nil if the replica holds the floor of r and its data are
// provably no older than the staleness of r.
func (a *ageTracker) check(now time.Time, r *request.Request) error {
	if r.HasFloor && !a.tracker.Holds(r.Floor) {
		return errkind.New(errkind.StalenessUnprovable, "the replica does not hold position %d of term %d", r.Floor.Position, r.Floor.Term)
	}
	age, ok := a.tracker.Age(sinceStart(now))
	if !ok || age > r.Staleness {
		return errkind.New(errkind.StalenessUnprovable, "age %v (proven: %t), stated %v", age, ok, r.Staleness)
	}
	return nil
}

// trackPrimary queries the position of the primary periodically while the
// replica is read. It runs in its own goroutine, because probes must not wait
// for a primary that does not answer.
func (in *instance) trackPrimary(ctx context.Context) {
	tick := time.NewTicker(in.cfg.Timing.ProbeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-in.trackNow:
		}
		if in.refreshAge(ctx) {
			signal(in.probeNow) // the replica may already have reached the position
		}
	}
}

// refreshAge queries the primary's owner for the position of the primary if the
// age of this replica is needed. It reports whether it received a position.
func (in *instance) refreshAge(ctx context.Context) bool {
	in.mu.Lock()
	needed := time.Since(in.age.lastReadAt) < ageTrackingWindow
	in.mu.Unlock()
	if _, primary := in.cfg.Authority.Term(in.group, in.id); primary || !needed {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, in.cfg.Timing.ProbeTimeout)
	defer stop()
	sentAt := time.Now()
	p, err := in.cfg.Peers.PrimaryPosition(ctx, in.group)
	if err != nil {
		return false
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.age.tracker.SetTerm(p.Mark.Term, p.TermStart)
	in.age.tracker.ObservePrimary(sinceStart(sentAt)-p.Age, sinceStart(time.Now()), p.Mark)
	return true
}

// signal sends to a channel of capacity one without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
