package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/system/breaker"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/system/throttle"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// route chooses the instance for the next attempt. The throttle and the breaker
// may turn the choice into a refusal.
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
		Affinity:  affinity(q.Workspace),

		Responsive: g.cfg.Directory.Responsive,
	}, view)
	if d.Refused() {
		return d
	}
	if !g.throttle.Allow(now, throttleKey(d.Instance, q), rand.Float64()) {
		return routing.Decision{Reason: routing.ReasonThrottled, Refuse: errkind.DeadlineUnreachable}
	}
	if d.Instance != view.Primary || isBoundedRead(q) {
		return d
	}
	if !g.requestBreaker.Allow(now, breaker.Key{Instance: d.Instance, Owner: d.Owner}, rand.Float64()) {
		return routing.Decision{Reason: routing.ReasonOwnerRefuses, Refuse: errkind.NoOwner}
	}
	return d
}

// affinity returns the routing affinity of a workspace, zero for the empty
// string.
func affinity(workspace string) uint64 {
	if workspace == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(workspace))
}

func throttleKey(id table.InstanceID, q *request.Request) throttle.Key {
	return throttle.Key{Instance: id, Rank: q.Rank, Movable: isBoundedRead(q)}
}

// isBoundedRead reports whether q is a read that any instance may serve that holds
// its floor. The owner of a primary serves it without a lease.
func isBoundedRead(q *request.Request) bool {
	return q.Access == config.AccessRead && q.Staleness > 0
}

// recordOwnerResult tells the breaker whether the owner of a primary could
// serve the latest attempt. It records nothing if the owner did not answer or
// the request was cancelled, or for a request that needs no lease.
func (r *run) recordOwnerResult(q *request.Request, err error) {
	if r.replica || isBoundedRead(q) {
		return
	}
	g := r.session.gateway
	key := breaker.Key{Instance: r.instance, Owner: r.owner}
	if err == nil {
		g.requestBreaker.Served(key)
		return
	}
	e := errkind.Of(err)
	switch {
	case e.Kind == errkind.OutcomeUnknown || e.Kind == errkind.Cancelled:
	case e.Effect == errkind.NotRun && isPrimaryUnavailable(e.Kind):
		g.requestBreaker.Refused(g.cfg.Clock(), key)
	default:
		g.requestBreaker.Served(key)
	}
}

// recordOverload tells the throttle whether the owner refused the latest
// attempt because of overload.
func (r *run) recordOverload(q *request.Request, err error) {
	g := r.session.gateway
	g.throttle.Answered(g.cfg.Clock(), throttleKey(r.instance, q), isOverloaded(err))
}

// isOverloaded reports whether an owner refused a request because of overload.
// A busy error of the instance itself does not count: load from elsewhere may
// have filled the instance for a moment, so the request is retried.
func isOverloaded(err error) bool {
	if err == nil {
		return false
	}
	switch errkind.Of(err).Kind {
	case errkind.DeadlineUnreachable, errkind.CallerLimit:
		return true
	}
	return false
}

// isPrimaryUnavailable reports whether an error of this kind means that the
// owner cannot use the primary now.
func isPrimaryUnavailable(kind errkind.Kind) bool {
	return kind == errkind.UpstreamLost || kind == errkind.NoOwner || kind == errkind.NoPrimary
}
