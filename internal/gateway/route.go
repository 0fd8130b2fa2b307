package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/system/breaker"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/system/throttle"
)

// route decides where the request goes now.
func (r *run) route(q *request.Request, view *routing.GroupView) routing.Decision {
	g := r.session.gateway
	now := g.cfg.Clock()
	d := routing.Choose(now, &routing.Query{
		Access:    q.Access,
		Staleness: q.Staleness,
		Floor:     q.Floor,
		HasFloor:  q.HasFloor,
		Deadline:  now + time.Until(r.deadline),
		Objective: r.plan.class.Objective,
		Rank:      q.Rank,
		Home:      g.cfg.Domain,
		Seed:      rand.Uint64(),
	}, view)
	if d.Refused() {
		return d
	}
	if !g.throttle.Allow(now, throttle.Key{Instance: d.Instance, Rank: q.Rank}, rand.Float64()) {
		return routing.Decision{Reason: routing.ReasonThrottled, Refuse: errkind.DeadlineUnreachable}
	}
	if d.Instance != view.Primary {
		return d
	}
	if !g.primaries.Allow(now, breaker.Key{Instance: d.Instance, Owner: d.Owner}, rand.Float64()) {
		return routing.Decision{Reason: routing.ReasonOwnerRefuses, Refuse: errkind.NoOwner}
	}
	return d
}

// noteOwner notes whether the owner of a primary could serve the latest
// attempt. Without an answer nothing is known of it.
func (r *run) noteOwner(err error) {
	if r.replica {
		return
	}
	g := r.session.gateway
	key := breaker.Key{Instance: r.instance, Owner: r.owner}
	if err == nil {
		g.primaries.Served(key)
		return
	}
	e := errkind.Of(err)
	switch {
	case e.Kind == errkind.OutcomeUnknown || e.Kind == errkind.Cancelled:
	case e.Effect == errkind.NotRun && unreachable(e.Kind):
		g.primaries.Refused(g.cfg.Clock(), key)
	default:
		g.primaries.Served(key)
	}
}

// noteRoom notes whether the owner had room for the latest attempt.
func (r *run) noteRoom(q *request.Request, err error) {
	g := r.session.gateway
	g.throttle.Answered(g.cfg.Clock(), throttle.Key{Instance: r.instance, Rank: q.Rank}, overloaded(err))
}

// overloaded reports whether an owner had no room for a request. An instance that
// says so itself is asked again: others may fill it for a moment.
func overloaded(err error) bool {
	if err == nil {
		return false
	}
	switch errkind.Of(err).Kind {
	case errkind.DeadlineUnreachable, errkind.CallerLimit:
		return true
	}
	return false
}

// unreachable reports whether a kind says that the owner has no use of the
// primary now.
func unreachable(kind errkind.Kind) bool {
	return kind == errkind.UpstreamLost || kind == errkind.NoOwner || kind == errkind.NoPrimary
}
