package failover

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// promotionOrder is what the leader knows of the orders to promote one instance on a
// platform that promotes by itself. Such an order can't be withdrawn. It is open from
// the call until it was seen to have taken effect, was refused, or PromotionLapse has
// passed. While the order of one instance is open, no other instance is ordered and no
// other instance serves: the promotion would end its term without its writes.
type promotionOrder struct {
	instance table.InstanceID
	calls    int           // calls that the platform may have accepted
	exact    bool          // calls includes every call, because this leadership made them all
	firstAt  time.Duration // when the first call of this leadership was made
	lastAt   time.Duration // when the latest call was made, at the latest
	seen     bool          // the only call was seen to have taken effect

	accepted   bool          // the platform has accepted a call of this leadership
	acceptedAt time.Duration // when that call was made
}

// assumeOrders begins a leadership with the orders that an earlier one may have made.
// An earlier leader orders nothing but the promotion of the candidate of the committed
// term.
func (s *System) assumeOrders(now time.Duration, g *group) {
	g.lastOrder = promotionOrder{}
	if !s.cfg.ExternalTerms || !g.hasAgreed {
		return
	}
	if g.agreed.Phase == table.PhasePromoting {
		g.lastOrder = promotionOrder{instance: g.agreed.Candidate, calls: 1, firstAt: now, lastAt: now}
	} else if g.agreed.PromotionOpen {
		g.lastOrder = promotionOrder{instance: g.agreed.Primary, calls: 1, firstAt: now, lastAt: now}
	}
}

// add records a call that orders the promotion of instance.
func (o *promotionOrder) add(now time.Duration, instance table.InstanceID) {
	if o.instance != instance {
		*o = promotionOrder{instance: instance, exact: true, firstAt: now}
	}
	o.calls++
	o.lastAt, o.seen = now, false
}

// handleResult applies the result of a call of this leadership.
func (o *promotionOrder) handleResult(r PromoteResult) {
	if o.instance != r.Instance || r.OrderedAt < o.firstAt {
		return
	}
	if r.Refused && o.exact && o.calls > 0 {
		o.calls--
	}
	if r.Accepted && !o.accepted {
		o.accepted, o.acceptedAt = true, r.OrderedAt
	}
}

// promotionOpen reports whether an order of the group may still take effect. It records
// if the only call was seen to have done so.
func (s *System) promotionOpen(now time.Duration, g *group) bool {
	if !s.cfg.ExternalTerms {
		return false // an order names its term, and a late one begins a term that is over
	}
	o := &g.lastOrder
	if o.exact && o.calls == 1 && g.tookEffect() {
		o.seen = true
	}
	lapsed := now >= o.lastAt+s.cfg.PromotionLapse
	return o.calls > 0 && !o.seen && !lapsed && !g.ordersPresentPrimary()
}

// ordersPresentPrimary reports whether the orders name the primary of the latest log
// term, for which the platform changes nothing.
func (g *group) ordersPresentPrimary() bool {
	a := &g.agreed
	return a.Phase == table.PhasePromoting && !a.LogTermInDoubt && g.lastOrder.instance == a.Primary
}

// tookEffect reports whether a log term above the committed one was seen. Unless an
// earlier order is in doubt, it began with the promotion that was ordered.
func (g *group) tookEffect() bool {
	a := &g.agreed
	if a.Phase != table.PhasePromoting || a.LogTermInDoubt || a.Primary == "" {
		return false
	}
	if g.promotion.done && g.promotion.logTerm > a.LogTerm {
		return true
	}
	for _, m := range g.members {
		if m.reachable() && g.showsLaterTerm(m.report) {
			return true
		}
	}
	return false
}

// showsLaterTerm reports whether the instance of a report leads or follows a log term
// above the committed one. A held replica follows none.
func (g *group) showsLaterTerm(r Report) bool {
	seen := table.Mark{Term: max(r.LogTerm, r.Mark.Term)}
	return r.Held == 0 && seen.Term > g.agreed.LogTerm && g.plausible(seen)
}

// leavesLogTermInDoubt reports whether the log term is in doubt once another candidate
// takes the place of the present one.
func (g *group) leavesLogTermInDoubt() bool {
	return g.agreed.LogTermInDoubt || g.lastOrder.calls > 0 && !g.ordersPresentPrimary()
}

// leavesPromotionOpen reports whether a further order to promote the candidate may take
// effect once it is committed as the primary of logTerm.
func (g *group) leavesPromotionOpen(logTerm table.Term) bool {
	a, o := &g.agreed, &g.lastOrder
	wasPromoted := a.Primary != "" && logTerm > a.LogTerm
	return wasPromoted && o.calls > 0 && !(o.exact && o.calls == 1)
}

// settleOrder applies a committed primary to the orders.
func (g *group) settleOrder() {
	if !g.agreed.PromotionOpen {
		g.lastOrder = promotionOrder{}
		return
	}
	g.lastOrder.exact = false
}

// minLogTerm returns the lowest log term in which the candidate counts as promoted. The
// primary of the committed log term needs no later one, as long as no other instance was
// ordered. It may have another id since then.
func (s *System) minLogTerm(g *group) table.Term {
	switch {
	case !s.cfg.ExternalTerms:
		return 0
	case g.agreed.LogTermInDoubt && g.promotion.ordered:
		return g.promotion.termAtCall + 1
	case g.agreed.LogTermInDoubt:
		return g.agreed.LogTerm + 1
	default:
		return g.agreed.LogTerm
	}
}

// leadsLatestTerm reports whether the candidate, a primary in logTerm, is known to be
// the primary that the platform promoted last, so that no open order and no unseen
// promotion can end its term. If the log term is in doubt, every order of another
// instance has lapsed before this term began. The candidate is then the latest primary
// if a call of this term has begun its log term, or if such a call was accepted and has
// changed nothing until it lapsed.
func (s *System) leadsLatestTerm(now time.Duration, g *group, c *member, logTerm table.Term) bool {
	pr := &g.promotion
	switch {
	case !s.cfg.ExternalTerms:
		return true
	case s.foreignOrderOpen(now, g, c):
		return false
	case !g.agreed.LogTermInDoubt:
		return logTerm >= s.minLogTerm(g)
	case pr.ordered && logTerm > pr.termAtCall:
		return true
	case g.lastOrder.instance != c.inst.ID || !g.lastOrder.accepted:
		return false
	}
	lapsedAt := g.lastOrder.acceptedAt + s.cfg.PromotionLapse
	if now < lapsedAt {
		return false
	}
	s.orderProbe(now, c)
	return c.readSince(lapsedAt)
}

// foreignOrderOpen reports whether an order of an instance other than c may still take
// effect.
func (s *System) foreignOrderOpen(now time.Duration, g *group, c *member) bool {
	return g.lastOrder.instance != c.inst.ID && s.promotionOpen(now, g)
}

// awaitOrder returns what the order to promote c waits for, WaitNothing if it may be
// made now.
func (s *System) awaitOrder(now time.Duration, g *group, c *member) WaitReason {
	pr, p := &g.promotion, &g.proposal
	switch {
	case !s.cfg.ExternalTerms:
		return WaitNothing
	case p.kind == proposedTerm && p.term > g.agreed.Term:
		// The proposed term may be committed at any time. It states that c was not
		// ordered.
		s.proposeTerm(now, g, control.BeginTerm{Term: p.term, Candidate: p.candidate, LogTermInDoubt: p.logTermInDoubt})
		return WaitCommit
	case s.foreignOrderOpen(now, g, c):
		return WaitPromotionLapse
	case g.agreed.LogTermInDoubt && !c.readSince(pr.firstOrderedAt):
		s.orderProbe(now, c)
		return WaitPositions
	}
	return WaitNothing
}

// missingPromotion names the instance whose promotion is open.
func (g *group) missingPromotion() string {
	id := g.lastOrder.instance
	if m := g.members[id]; m != nil && m.reachable() {
		return string(id) + " may still be promoted"
	}
	return string(id) + " may still be promoted and is not reachable"
}
