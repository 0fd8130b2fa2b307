package failover_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Events in which instances are cut off, or primaries are dark and come back.
var (
	hidesCandidate = event{"candidate is cut off", func(w *copiesWorld, _ *rapid.T) bool {
		g := w.state.View().Groups[groupName]
		c := w.running(g.Candidate)
		if g.Phase != table.PhasePromoting || c == nil {
			return false
		}
		c.hidden = true
		return true
	}}
	hides = event{"cut one off or back", func(w *copiesWorld, t *rapid.T) bool {
		c := w.draw(t, func(c *nodeCopy) bool { return c.up })
		if c != nil {
			c.hidden = !c.hidden
		}
		return c != nil
	}}
	shows = event{"all cuts heal", func(w *copiesWorld, _ *rapid.T) bool {
		for _, c := range w.copies {
			c.hidden, c.alone = false, false
		}
		return true
	}}
	hidesReplicas = event{"all replicas are cut off", func(w *copiesWorld, t *rapid.T) bool {
		alone := rapid.Bool().Draw(t, "also from their primary")
		for _, c := range w.replicas() {
			c.hidden, c.alone = true, alone
		}
		return true
	}}
	isolates = event{"cut one off from its group or back", func(w *copiesWorld, t *rapid.T) bool {
		c := w.draw(t, func(c *nodeCopy) bool { return c.up })
		if c != nil {
			c.alone = !c.alone
		}
		return c != nil
	}}
	darkens = event{"primary goes dark", func(w *copiesWorld, _ *rapid.T) bool {
		w.lead.hidden, w.lead.alone = true, true
		return w.lead.up
	}}
	lightens = event{"dark primaries are back", func(w *copiesWorld, _ *rapid.T) bool {
		for _, c := range w.copies {
			if c.role == table.RolePrimary {
				c.hidden, c.alone = false, false
			}
		}
		return true
	}}
	delaysAnswers = event{"platform's answers are late", func(w *copiesWorld, t *rapid.T) bool {
		w.platform.faults.answerDelay = time.Duration(rapid.SampledFrom([]int{0, 200, 1000, 3000}).Draw(t, "answer ms")) * ms
		return true
	}}
	noticesLate = event{"replicas notice a new primary late", func(w *copiesWorld, t *rapid.T) bool {
		w.noticeTime = time.Duration(rapid.SampledFrom([]int{0, 100, 500}).Draw(t, "notice ms")) * ms
		return true
	}}
	endsHolds = event{"each promotion ends the holds of all", func(w *copiesWorld, _ *rapid.T) bool {
		w.endsHolds = true
		return true
	}}
	// cutsAll lets the primary go dark, passes until a promotion is ordered, cuts all
	// replicas off and lets the primary come back with its connections.
	cutsAll = event{"replicas cut off beside a returning primary", func(w *copiesWorld, t *rapid.T) bool {
		slowsPlatform.apply(w, t)
		writes.apply(w, t)
		if !darkens.apply(w, t) {
			return false
		}
		writes.apply(w, t) // on their way while it is dark
		w.runUntilOrder()
		meanwhile := []event{
			hidesReplicas, hidesReplicas, lightens, lightens, writes, writes, passesShortly, passesShortly, hides, isolates, shows,
			elections, powerLoss, delaysAnswers, losesAnswer, waitsForOrder,
		}
		for range rapid.IntRange(3, 12).Draw(t, "events meanwhile") {
			e := meanwhile[rapid.IntRange(0, len(meanwhile)-1).Draw(t, "event meanwhile")]
			w.note("%s", e.name)
			e.apply(w, t)
		}
		return true
	}}
)

// TestHistoriesOfReplicasCutOffAtOnce guards against the loss of writes that are
// acknowledged, or whose answers arrive late, while all replicas are cut off beside an open
// promotion and their primary is back, also where all hosts end meanwhile.
func TestHistoriesOfReplicasCutOffAtOnce(t *testing.T) {
	checkHistories(t, changeTarget, writes, writes, passesShortly, passes, cutsAll, cutsAll, cutsAll, darkens, lightens, hidesReplicas, isolates,
		shows, crashesPrimary, primaryReturns, voidsOrder, losesAnswer, delaysAnswers, elections, powerLoss, noticesLate, endsHolds, cuts, heals)
}
