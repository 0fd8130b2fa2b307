package gateway

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
)

// settle finds the outcome of a request with an id after an attempt whose
// outcome is unknown. The request itself is not sent again: the current
// primary either has its claim, or takes one that shuts the attempt out.
func (r *run) settle(ctx context.Context, q *request.Request, cause error) (request.Result, error) {
	r.session.gateway.cfg.Log.WithFields(logrus.Fields{
		"request": q.ID, "class": q.Class, "group": q.Group, "cause": cause.Error(),
	}).Info("settle")
	again := *q
	again.Settle = true
	again.Continues = false
	again.Prepares = nil
	for {
		changed := r.session.gateway.cfg.Directory.Changed()
		res, err := r.attempt(ctx, &again)
		if err == nil || settled(err) {
			return res, err
		}
		if !r.pause(ctx, changed) {
			return res, errkind.Wrap(cause, errkind.OutcomeUnknown, "not settled before the deadline")
		}
	}
}

// settled reports whether err is the answer that the request was shut out, and
// not that the owner could not be asked.
func settled(err error) bool {
	return errkind.Is(err, errkind.BadRequest) ||
		errkind.Is(err, errkind.UpstreamLost) && errkind.Of(err).Effect == errkind.NotRun
}

// maySettle reports whether an unknown outcome can be settled.
func (r *run) maySettle(q *request.Request, err error) bool {
	return q.RequestID != "" && q.Access == config.AccessWrite && q.MayCommit &&
		r.sink.bytes == 0 && errkind.Of(err).Effect == errkind.Unknown
}
