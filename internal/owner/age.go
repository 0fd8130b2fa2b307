package owner

import (
	"context"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/system/freshness"
)

// ageProof proves how old the data of a replica are.
type ageProof struct {
	tracker freshness.Tracker
	readAt  time.Time // of the latest read that asked for a proof
}

// proofLife is for how long after a read the age is kept proven. Positions go
// only to the owners of replicas that are read; the first read after a pause
// waits for one probe.
const proofLife = 5 * time.Second

// processStart is the zero of the clock that the decision systems see.
var processStart = time.Now()

// since turns a moment into one on the clock of the decision systems.
func since(t time.Time) time.Duration { return t.Sub(processStart) }

// observeReplica takes a probe of the replica that was sent at asked.
func (a *ageProof) observeReplica(asked time.Time, st dbedge.Status) {
	a.tracker.ObserveReplica(since(asked), st.Mark)
}

// check returns nil when the replica may serve r.
func (a *ageProof) check(now time.Time, r *request.Request) error {
	if r.HasFloor && !a.tracker.Holds(r.Floor) {
		return errkind.New(errkind.StalenessUnprovable, "the replica does not hold position %d of term %d", r.Floor.Position, r.Floor.Term)
	}
	age, ok := a.tracker.Age(since(now))
	if !ok || age > r.Staleness {
		return errkind.New(errkind.StalenessUnprovable, "age %v (proven: %t), stated %v", age, ok, r.Staleness)
	}
	return nil
}

// trackPrimary asks for the position of the primary at intervals while the
// replica is read. It runs beside the probes, which must not wait for a
// primary that does not answer.
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
			wake(in.probeNow) // the replica may have reached the position already
		}
	}
}

// refreshAge asks the primary's owner for its position, where the age of this
// replica is wanted. It reports whether a position came.
func (in *instance) refreshAge(ctx context.Context) bool {
	in.mu.Lock()
	wanted := time.Since(in.age.readAt) < proofLife
	in.mu.Unlock()
	if _, primary := in.cfg.Authority.Term(in.group, in.id); primary || !wanted {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, in.cfg.Timing.ProbeTimeout)
	defer stop()
	asked := time.Now()
	p, err := in.cfg.Peers.PrimaryPosition(ctx, in.group)
	if err != nil {
		return false
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.age.tracker.SetTerm(p.Mark.Term, p.TermStart)
	in.age.tracker.ObservePrimary(since(asked)-p.Age, since(time.Now()), p.Mark)
	return true
}

// wake signals a channel with room for one element.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
