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
// lacks has not run and never will. The write lies beyond e.low and at the
// latest at the mark, which others may have raised; where the new term began in
// between, the outcome is unknown.
//
// A position of another term than the one in which the transaction began says
// nothing: the upstream may follow another primary by now.
func (in *instance) confirm(ctx context.Context, e *execution, out pool.Outcome) error {
	if !out.HasMark || out.Mark.Term != e.tx.term {
		return errkind.New(errkind.OutcomeUnknown, "the upstream reported no position of term %d", e.tx.term)
	}
	for {
		changed := in.cfg.Authority.Changed()
		err := in.confirmOnce(ctx, e.r, out.Mark)
		if err == nil {
			return nil
		}
		switch in.cfg.Authority.WriteOutcome(in.group, out.Mark) {
		case FateKept:
			return nil
		case FateLost:
			return in.lostWith(e.low, out.Mark, err)
		}
		if !pause(ctx, changed) {
			return errkind.Wrap(err, errkind.OutcomeUnknown, "the write could not be confirmed in time")
		}
	}
}

// lostWith is the error of a write whose mark was lost with its term. The write
// itself was lost for sure where the first position that it may have was.
func (in *instance) lostWith(low, mark table.Mark, cause error) error {
	first := table.Mark{Term: mark.Term, Position: low.Position + 1}
	if low.Term == mark.Term && in.cfg.Authority.WriteOutcome(in.group, first) == FateLost {
		return errkind.Wrap(cause, errkind.LeaseLost, "the write was lost with term %d", mark.Term).WithEffect(errkind.NotRun)
	}
	return errkind.Wrap(cause, errkind.OutcomeUnknown, "term %d ended at about the write", mark.Term)
}

// reached returns the last position that the primary is known to have reached.
func (in *instance) reached() table.Mark {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.seen
}

// noteReached takes a mark that the primary reported.
func (in *instance) noteReached(m table.Mark) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.seen.Less(m) {
		in.seen = m
	}
}

func (in *instance) confirmOnce(ctx context.Context, r *request.Request, m table.Mark) error {
	if r.AckReplicas > 0 {
		if err := in.cfg.Peers.AwaitAnyReplica(ctx, in.group, m); err != nil {
			return err
		}
	}
	in.raiseAcked(m)
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
