package owner

import (
	"context"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/pool"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// confirmRetry is the pause before replicas are asked again.
const confirmRetry = 10 * time.Millisecond

// confirm makes sure that a write counts before the caller hears of it: as
// many replicas as the class wants have it, and the lease still holds in the
// term that took it. When the primary changed in between, the history of the
// group decides: a write that the new term contains counts, and one that it
// lacks has not run and never will.
func (in *instance) confirm(ctx context.Context, r *request.Request, out pool.Outcome) error {
	if !out.HasMark {
		return errkind.New(errkind.OutcomeUnknown, "the upstream reported no position")
	}
	in.raiseAcked(out.Mark)
	for {
		changed := in.cfg.Authority.Changed()
		err := in.confirmOnce(ctx, r, out.Mark)
		if err == nil {
			return nil
		}
		switch in.cfg.Authority.Fate(in.group, out.Mark) {
		case FateKept:
			return nil
		case FateLost:
			return errkind.Wrap(err, errkind.LeaseLost, "the write was lost with term %d", out.Mark.Term).WithEffect(errkind.NotRun)
		}
		if !pause(ctx, changed) {
			return errkind.Wrap(err, errkind.OutcomeUnknown, "the write could not be confirmed in time")
		}
	}
}

func (in *instance) confirmOnce(ctx context.Context, r *request.Request, m table.Mark) error {
	if r.AckReplicas > 0 {
		if err := in.cfg.Peers.AwaitAnyReplica(ctx, in.group, m); err != nil {
			return err
		}
	}
	return in.mayAcknowledge(m.Term, errkind.Unknown)
}

// pause waits for a change or a little; it reports whether ctx goes on.
func pause(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(confirmRetry)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
