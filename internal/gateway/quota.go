package gateway

import (
	"context"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
)

// executeWithinQuota executes a request that belongs to no open transaction, if its
// workspace may run one more operation. The operation is given back if no
// instance has run the request. The rest of a transaction needs no further
// operation, nor do retries.
func (r *run) executeWithinQuota(ctx context.Context, q *request.Request) (request.Result, error) {
	quota := r.session.gateway.cfg.Quota
	if quota == nil || q.Workspace == "" || r.work.OnlyPrepares {
		return r.executeUntilDone(ctx, q)
	}
	permit, err := quota.Take(ctx, q.Workspace)
	if err != nil {
		return request.Result{TxStatus: request.TxIdle}, err
	}
	res, err := r.executeUntilDone(ctx, q)
	if err != nil && !r.mayHaveRun {
		quota.Return(permit)
	} else {
		quota.Finish(permit)
	}
	return res, err
}

// mayHaveRun reports whether an instance may have run a request that was sent to
// an owner with the result err. A request that was lost with an old term may have
// run although it has no effect.
func mayHaveRun(err error) bool {
	return err == nil || errkind.Of(err).Effect != errkind.NotRun || errkind.Is(err, errkind.LeaseLost)
}
