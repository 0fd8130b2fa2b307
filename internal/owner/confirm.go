package owner

import (
	"context"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/pool"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// confirmRetryInterval is the delay before confirmation is retried.
const confirmRetryInterval = 10 * time.Millisecond

// confirm returns nil once a write may be acknowledged: as many replicas as the
// class requires hold it, and the lease is still valid in the term of the
// write. If the primary changed meanwhile, the history of the group decides: a
// write that the new term contains was kept, and a write that it does not
// contain was lost and never takes effect. The position of the write lies after
// e.reachedBefore and at or before the mark. Other writes may have raised the
// mark, so the outcome is unknown if the new term began between these two
// positions.
//
// A position in another term than the one in which the transaction began proves
// nothing, because the upstream may follow another primary by then.
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
		case OutcomeKept:
			return nil
		case OutcomeLost:
			return in.lostWriteError(e.reachedBefore, out.Mark, err)
		}
		if !awaitChange(ctx, changed) {
			return errkind.Wrap(err, errkind.OutcomeUnknown, "the write could not be confirmed in time")
		}
	}
}

// lostWriteError returns the error of a write whose mark was lost with its
// term. The write itself is known to be lost only if the first position that it
// can have was lost too.
func (in *instance) lostWriteError(reachedBefore, mark table.Mark, cause error) error {
	first := table.Mark{Term: mark.Term, Position: reachedBefore.Position + 1}
	if reachedBefore.Term == mark.Term && in.cfg.Authority.WriteOutcome(in.group, first) == OutcomeLost {
		return errkind.Wrap(cause, errkind.LeaseLost, "the write was lost with term %d", mark.Term).WithEffect(errkind.NotRun)
	}
	return errkind.Wrap(cause, errkind.OutcomeUnknown, "term %d ended at about the write", mark.Term)
}

// reached returns the highest position that the primary is known to have
// reached.
func (in *instance) reached() table.Mark {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.reachedMark
}

// recordReached records a position that the primary reported.
func (in *instance) recordReached(m table.Mark) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.reachedMark.Less(m) {
		in.reachedMark = m
	}
}

// confirmOnce makes one attempt to confirm a write that lies at or before m.
func (in *instance) confirmOnce(ctx context.Context, r *request.Request, m table.Mark) error {
	if r.AckReplicas > 0 {
		if err := in.cfg.Peers.AwaitAnyReplica(ctx, in.group, m); err != nil {
			return err
		}
	}
	in.raiseAcked(m)
	return in.mayAcknowledge(m.Term, errkind.Unknown)
}

// awaitChange waits for a change or for confirmRetryInterval. It reports
// whether ctx is still active.
func awaitChange(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(confirmRetryInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
