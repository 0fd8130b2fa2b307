package gateway

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
)

// settle determines the outcome of a request with an id after an attempt whose
// outcome is unknown. It does not send the request itself again: the current
// primary either has the claim row that the attempt committed, which holds the
// outcome, or commits a void claim row, after which the attempt can never take
// effect.
func (r *run) settle(ctx context.Context, q *request.Request, cause error) (request.Result, error) {
	r.session.gateway.cfg.Log.WithFields(logrus.Fields{
		"request": q.ID, "class": q.Class, "group": q.Group, "cause": cause.Error(),
	}).Info("settle")
	settleReq := *q
	settleReq.Settle = true
	settleReq.Continues = false
	settleReq.Prepares = nil
	for {
		changed := r.session.gateway.cfg.Directory.Changed()
		res, err := r.attempt(ctx, &settleReq)
		if err == nil || isSettled(err) {
			return res, err
		}
		if !r.pause(ctx, changed) {
			return res, errkind.Wrap(cause, errkind.OutcomeUnknown, "not settled before the deadline")
		}
	}
}

// isSettled reports whether err is an answer about the earlier attempt, for
// example that it was voided, rather than a failure to reach the owner.
func isSettled(err error) bool {
	return errkind.Is(err, errkind.BadRequest) ||
		errkind.Is(err, errkind.UpstreamLost) && errkind.Of(err).Effect == errkind.NotRun
}

// maySettle reports whether the outcome of a failed attempt is unknown and can
// be determined with settle.
func (r *run) maySettle(q *request.Request, err error) bool {
	return q.RequestID != "" && q.Access == config.AccessWrite && q.MayCommit &&
		r.sink.bytes == 0 && errkind.Of(err).Effect == errkind.Unknown
}
