package owner

import (
	"context"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/pool"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
)

// needsFloor reports whether r is a new read with a floor that the instance
// itself checks, and the instance is a replica. A primary holds every floor.
func (in *instance) needsFloor(r *request.Request) bool {
	if !in.cfg.UpstreamFloors || !r.HasFloor || r.Continues || r.Access != config.AccessRead {
		return false
	}
	_, primary := in.cfg.Authority.LogTerm(in.group, in.id)
	return !primary
}

// awaitFloor is checkRunnable for a read with a floor that has not started. It
// waits until the replica is expected to hold the floor. A read that the replica
// would refuse is rejected here, without a statement to the replica.
func (in *instance) awaitFloor(ctx context.Context, r *request.Request, until time.Time) error {
	for {
		if err := in.checkRunnable(r); err != nil {
			return err
		}
		switch in.checkFloor(r, until) {
		case routing.FloorHeld:
			return nil
		case routing.FloorMissing:
			return in.missingFloor(r)
		}
		select {
		case <-ctx.Done():
			return in.missingFloor(r)
		case <-time.After(in.cfg.Timing.ReplicaPollInterval):
		}
	}
}

func (in *instance) checkFloor(r *request.Request, until time.Time) routing.FloorVerdict {
	in.mu.Lock()
	defer in.mu.Unlock()
	now := time.Now()
	return in.floors.Check(sinceStart(now), r.Floor, until.Sub(now))
}

func (in *instance) missingFloor(r *request.Request) error {
	return errkind.New(errkind.StalenessUnprovable, "%s does not hold %v yet", in.id, r.Floor).WithEffect(errkind.NotRun)
}

// recordFloor records what the answer of the instance to a read shows about its
// mark.
func (in *instance) recordFloor(e *execution, out pool.Outcome, err error) {
	if !e.r.HasFloor || !in.cfg.UpstreamFloors {
		return
	}
	refused := errkind.Is(err, errkind.StalenessUnprovable)
	if err != nil && !refused {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	now := sinceStart(time.Now())
	if refused {
		in.floors.Refused(now, out.Mark, e.r.Floor)
		return
	}
	in.floors.Served(now, out.Mark, e.r.Floor)
}
