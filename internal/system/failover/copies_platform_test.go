package failover_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	worldPromoteTimeout = 4 * time.Second
	worldPromoteRetry   = 1500 * ms
)

// worldPlatform promotes instances when it is ordered to. It accepts an order for an
// instance that runs, and some time later makes that start of the instance the primary
// of the next term. For the present primary it changes nothing.
type worldPlatform struct {
	faults     platformFaults
	accepted   int // orders accepted so far
	promotions []worldPromotion
	polls      []worldPoll
	results    []worldResult
}

// platformFaults are the faults of the platform.
type platformFaults struct {
	promoteTimes []time.Duration // of the next orders, worldPromoteTime for later ones
	losesOrder   bool            // the next order does not arrive
	voidsOrder   bool            // the next order is accepted and never takes effect
	losesAnswer  bool            // the next order takes effect, and its answer is lost
	answerDelay  time.Duration   // until the leader hears of the results of orders
}

// worldResult is the result of an order on its way to the leader.
type worldResult struct {
	order  failover.Promote
	result failover.PromoteResult
	at     time.Duration
}

// worldPromotion is an order that the platform has accepted.
type worldPromotion struct {
	copy *nodeCopy
	at   time.Duration
}

// worldPoll is a leader that waits for an instance to lead.
type worldPoll struct {
	order failover.Promote
	until time.Duration
}

// promote orders a promotion from the platform.
func (w *copiesWorld) promote(a failover.Promote) {
	f := &w.platform.faults
	c := w.running(a.Instance)
	switch {
	case f.losesOrder:
		f.losesOrder = false
		w.note("the order to promote %s in term %d does not arrive", a.Instance, a.Term)
		return
	case c == nil:
		w.answerOrder(a, failover.PromoteResult{Refused: true})
		return
	}
	w.note("promote %s in term %d, log term %d or above", a.Instance, a.Term, a.MinLogTerm)
	w.platform.accepted++
	if !f.losesAnswer {
		w.platform.polls = append(w.platform.polls, worldPoll{order: a, until: w.now + worldPromoteTimeout})
	}
	if c != w.lead && !f.voidsOrder {
		w.platform.promotions = append(w.platform.promotions, worldPromotion{c, w.now + f.nextPromoteTime()})
	}
	f.voidsOrder, f.losesAnswer = false, false
}

// nextPromoteTime returns how long the next order takes until it has effect.
func (f *platformFaults) nextPromoteTime() time.Duration {
	if len(f.promoteTimes) == 0 {
		return worldPromoteTime
	}
	next := f.promoteTimes[0]
	f.promoteTimes = f.promoteTimes[1:]
	return next
}

// tickPlatform lets the promotions that are due take effect.
func (w *copiesWorld) tickPlatform() {
	var due, later []worldPromotion
	for _, p := range w.platform.promotions {
		if w.now >= p.at {
			due = append(due, p)
		} else {
			later = append(later, p)
		}
	}
	w.platform.promotions = later
	for _, p := range due {
		if c := p.copy; c.up && c != w.lead {
			w.lead = c
			w.takeLead(c)
		}
	}
}

// takeLead makes c the primary of the next term.
func (w *copiesWorld) takeLead(c *nodeCopy) {
	w.checkHoldsAcked(c)
	w.term++
	c.role, c.term, c.held, c.copying = table.RolePrimary, w.term, 0, 0
	for _, other := range w.copies {
		other.sawNewer = false
		if w.endsHolds {
			other.held = 0
		}
	}
	w.note("%s leads term %d with %d entries", c.id, w.term, len(c.log))
}

// tickPolls tells the leader which of the instances that it has ordered lead, as far as
// it reaches them.
func (w *copiesWorld) tickPolls() {
	var kept []worldPoll
	for _, p := range w.platform.polls {
		c := w.running(p.order.Instance)
		reached := c != nil && !c.hidden && w.reachesControl(c.zone)
		switch {
		case reached && c.role == table.RolePrimary && c.term >= p.order.MinLogTerm:
			w.answerOrder(p.order, failover.PromoteResult{OK: true, Accepted: true, Status: c.status()})
		case w.now >= p.until:
			w.answerOrder(p.order, failover.PromoteResult{Accepted: true})
		default:
			kept = append(kept, p)
		}
	}
	w.platform.polls = kept
	w.deliverResults()
}

// answerOrder sends the result of an order to the leader.
func (w *copiesWorld) answerOrder(a failover.Promote, r failover.PromoteResult) {
	w.platform.results = append(w.platform.results, worldResult{a, r, w.now + w.platform.faults.answerDelay})
}

// deliverResults tells the leader the results that have arrived.
func (w *copiesWorld) deliverResults() {
	var later []worldResult
	for _, r := range w.platform.results {
		if w.now >= r.at {
			w.reportOrder(r.order, r.result)
		} else {
			later = append(later, r)
		}
	}
	w.platform.results = later
}

// reportOrder tells the leader the result of an order.
func (w *copiesWorld) reportOrder(a failover.Promote, r failover.PromoteResult) {
	if a.Leadership != w.leadership {
		return
	}
	r.Group, r.Instance, r.Term, r.OrderedAt = groupName, a.Instance, a.Term, a.OrderedAt
	w.sys.HandlePromoteResult(w.now, r)
}

var (
	slowsPlatform = event{"platform promotes slowly", func(w *copiesWorld, t *rapid.T) bool {
		w.platform.faults.promoteTimes = nil
		for range rapid.IntRange(1, 3).Draw(t, "orders") {
			next := time.Duration(rapid.SampledFrom([]int{100, 300, 1000, 2000, 3000}).Draw(t, "promotion ms")) * ms
			w.platform.faults.promoteTimes = append(w.platform.faults.promoteTimes, next)
		}
		return true
	}}
	losesOrder = event{"next order is lost", func(w *copiesWorld, _ *rapid.T) bool {
		w.platform.faults.losesOrder = true
		return true
	}}
	voidsOrder = event{"next order has no effect", func(w *copiesWorld, _ *rapid.T) bool {
		w.platform.faults.voidsOrder = true
		return true
	}}
	losesAnswer = event{"next answer is lost", func(w *copiesWorld, _ *rapid.T) bool {
		w.platform.faults.losesAnswer = true
		return true
	}}
	crashesPrimary = event{"primary crashes", func(w *copiesWorld, _ *rapid.T) bool {
		if !w.lead.up {
			return false
		}
		w.crash(w.lead)
		return true
	}}
	// interruptsChange lets the primary crash, passes until a promotion is ordered, and
	// then plays events that meet while it is under way.
	interruptsChange = event{"interrupted change", func(w *copiesWorld, t *rapid.T) bool {
		slowsPlatform.apply(w, t)
		if !crashesPrimary.apply(w, t) {
			return false
		}
		w.runUntilOrder()
		meanwhile := []event{
			hidesCandidate, primaryReturns, writes, passesShortly, passesShortly, writes, elections, shows, losesAnswer, waitsForOrder,
		}
		for range rapid.IntRange(2, 10).Draw(t, "events meanwhile") {
			e := meanwhile[rapid.IntRange(0, len(meanwhile)-1).Draw(t, "event meanwhile")]
			w.note("%s", e.name)
			e.apply(w, t)
		}
		return true
	}}
	primaryReturns = event{"primary returns", func(w *copiesWorld, _ *rapid.T) bool {
		if !w.mayReturn(w.lead) {
			return false
		}
		w.comeBack(w.lead, false)
		return true
	}}
	waitsForOrder = event{"pass until an order", func(w *copiesWorld, _ *rapid.T) bool {
		w.runUntilOrder()
		return true
	}}
	passesShortly = event{"pass", func(w *copiesWorld, t *rapid.T) bool {
		w.run(time.Duration(rapid.SampledFrom([]int{100, 300, 700, 1500}).Draw(t, "ms")) * ms)
		return true
	}}
)

// runUntilOrder runs until the platform has accepted another order, for two seconds at
// most.
func (w *copiesWorld) runUntilOrder() {
	before := w.platform.accepted
	for end := w.now + 2*time.Second; w.now < end && w.platform.accepted == before; {
		w.run(worldTick)
	}
}

// TestHistoriesOfOpenPromotions guards against the loss of writes that were acknowledged
// while an ordered promotion of another instance could still take effect: late, after a
// change of the control leader, or without an answer.
func TestHistoriesOfOpenPromotions(t *testing.T) {
	checkHistories(t, changeTarget, writes, writes, passesShortly, passes, interruptsChange, interruptsChange, crashesPrimary,
		primaryReturns, hidesCandidate, hides, shows, slowsPlatform, losesOrder, voidsOrder, losesAnswer, elections)
}

// TestHistoriesOfOpenPromotionsAndLostInstances guards against the same loss beside
// instances that crash, come back empty or receive nothing, and cuts of whole zones.
func TestHistoriesOfOpenPromotionsAndLostInstances(t *testing.T) {
	checkHistories(t, 0, writes, writes, passes, passes, interruptsChange, waitsForOrder, crashesPrimary, primaryReturns, hides, hidesCandidate, shows,
		slowsPlatform, losesAnswer, voidsOrder, elections, crashes, returns, deafens, cuts, heals, powerLoss)
}
