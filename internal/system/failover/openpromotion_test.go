package failover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// orderCandidate lets the primary die and returns the order to promote a replica.
func (e *externalFixture) orderCandidate() failover.Promote {
	e.t.Helper()
	e.leases.expired["h-1"] = true
	e.cutOffPrimary()
	return e.runUntilOrder(e.reportReplicas)
}

// runUntilOrder runs until a promotion is ordered, with reports before each step.
func (e *externalFixture) runUntilOrder(report func()) failover.Promote {
	e.t.Helper()
	for range 1000 {
		report()
		e.step()
		if p := e.promoteAction(); p != nil {
			return *p
		}
		e.applyProposals()
	}
	e.t.Fatalf("nothing is promoted: %+v", e.group)
	return failover.Promote{}
}

// reportReplicas reports both replicas at the same position.
func (e *externalFixture) reportReplicas() {
	e.report("i-2", table.RoleReplica, table.Mark{Term: 7, Position: 100})
	e.report("i-3", table.RoleReplica, table.Mark{Term: 7, Position: 100})
}

// reportLost sends the report of an owner that cannot reach its instance.
func (e *externalFixture) reportLost(id table.InstanceID) {
	e.s.HandleReports(e.now, table.HostID("h-"+string(id[2])), []failover.Report{{
		Group: externalGroup, Instance: id, After: e.s.Stamp(e.now), SeenTerm: e.group.Term,
	}})
}

// returnPrimary brings the owner of the old primary back.
func (e *externalFixture) returnPrimary() {
	delete(e.leases.expired, "h-1")
	delete(e.leases.late, "h-1")
}

// other returns the replica that is not id.
func other(id table.InstanceID) table.InstanceID {
	if id == "i-2" {
		return "i-3"
	}
	return "i-2"
}

// TestOldPrimaryDoesNotServeBesideAnOrderedPromotion guards against the loss of writes
// that the old primary acknowledges, back after a crash, while the ordered promotion of
// a candidate that was cut off meanwhile still takes effect.
func TestOldPrimaryDoesNotServeBesideAnOrderedPromotion(t *testing.T) {
	e := newExternalFixture(t)
	ordered := e.orderCandidate()
	e.returnPrimary()
	for end := e.now + failover.DefaultConfig().PromotionLapse - 100*time.Millisecond; e.now < end; {
		e.report("i-1", table.RolePrimary, table.Mark{Term: 7, Position: 101})
		e.report(other(ordered.Instance), table.RoleReplica, table.Mark{Term: 7, Position: 100})
		e.reportLost(ordered.Instance)
		e.step()
		if p := e.promoteAction(); p != nil && p.Instance == "i-1" {
			e.s.HandlePromoteResult(e.now, failover.PromoteResult{
				Group: externalGroup, Instance: "i-1", Term: p.Term, OK: true, Accepted: true, OrderedAt: p.OrderedAt,
				Status: dbedge.Status{Role: table.RolePrimary, Mark: table.Mark{Term: 7, Position: 101}},
			})
		}
		e.applyProposals()
		assert.Equal(t, e.group.Phase, table.PhasePromoting, "%s serves, and %s may still be promoted", e.group.Primary, ordered.Instance)
	}
}

// TestNoOtherInstanceIsOrderedBesideAnOpenPromotion guards against two promotions under
// way at the same time: the one that takes effect last ends the term of the other.
func TestNoOtherInstanceIsOrderedBesideAnOpenPromotion(t *testing.T) {
	e := newExternalFixture(t)
	ordered := e.orderCandidate()
	var waits []failover.Wait
	for e.now < ordered.OrderedAt+failover.DefaultConfig().PromotionLapse-20*time.Millisecond {
		e.report(other(ordered.Instance), table.RoleReplica, table.Mark{Term: 7, Position: 100})
		e.reportLost(ordered.Instance)
		e.step()
		for _, a := range e.actions {
			if w, ok := a.(failover.Wait); ok {
				waits = append(waits, w)
			}
		}
		e.applyProposals()
		assert.Assert(t, e.promoteAction() == nil, "%+v beside %+v", e.promoteAction(), ordered)
	}
	assert.Assert(t, len(waits) > 0)
	last := waits[len(waits)-1]
	assert.Equal(t, last.Reason, failover.WaitPromotionLapse)
	assert.Equal(t, last.Missing, string(ordered.Instance)+" may still be promoted and is not reachable")
	assert.Equal(t, e.nextOrder(ordered.Instance).Instance, other(ordered.Instance), "the order has lapsed")
}

// nextOrder runs until another instance than lost is ordered.
func (e *externalFixture) nextOrder(lost table.InstanceID) failover.Promote {
	e.t.Helper()
	return e.runUntilOrder(func() {
		e.report(other(lost), table.RoleReplica, table.Mark{Term: 7, Position: 100})
		if e.oldPrimary {
			e.report("i-1", table.RolePrimary, table.Mark{Term: 7, Position: 100})
		}
		e.reportLost(lost)
	})
}

// TestRefusedPromotionIsNotOpen guards against a group that waits for a promotion that
// the platform refused, because the candidate died before the order.
func TestRefusedPromotionIsNotOpen(t *testing.T) {
	e := newExternalFixture(t)
	ordered := e.orderCandidate()
	e.s.HandlePromoteResult(e.now, failover.PromoteResult{
		Group: externalGroup, Instance: ordered.Instance, Term: ordered.Term, Refused: true, OrderedAt: ordered.OrderedAt,
	})
	next := e.nextOrder(ordered.Instance)
	assert.Equal(t, next.Instance, other(ordered.Instance))
	assert.Assert(t, next.OrderedAt < ordered.OrderedAt+time.Second, "%v after the refusal", next.OrderedAt-ordered.OrderedAt)
}

// TestPromotionSeenThroughAReplicaIsNotOpen guards against a group that waits for a
// promotion that has taken effect: its instance can't be reached, but another one follows
// the log term that it began.
func TestPromotionSeenThroughAReplicaIsNotOpen(t *testing.T) {
	e := newExternalFixture(t)
	ordered := e.orderCandidate()
	e.logTerms[other(ordered.Instance)] = 8
	next := e.nextOrder(ordered.Instance)
	assert.Equal(t, next.Instance, other(ordered.Instance))
	assert.Assert(t, next.OrderedAt < ordered.OrderedAt+time.Second, "%v after the first order", next.OrderedAt-ordered.OrderedAt)
	assert.Assert(t, next.MinLogTerm > 8, "the log term that the first promotion began does not count")
}

// TestNewLeaderKnowsThatThePromotionMayBeOpen guards against a new control leader that
// replaces the candidate of the one before, whose order may still take effect.
func TestNewLeaderKnowsThatThePromotionMayBeOpen(t *testing.T) {
	e := newExternalFixture(t)
	ordered := e.orderCandidate()
	e.now += 100 * time.Millisecond
	electedAt := e.now
	e.s.Lead(e.now, 2)
	e.returnPrimary()
	e.oldPrimary = true
	next := e.nextOrder(ordered.Instance)
	assert.Equal(t, next.Instance, other(ordered.Instance))
	assert.Assert(t, next.OrderedAt >= electedAt+failover.DefaultConfig().PromotionLapse, "%v after the election", next.OrderedAt-electedAt)
}

// TestOldPrimaryServesOnceAnOrderChangesNothing guards against an old primary that is
// used again after the promotion of a candidate took effect unseen, and against a group
// that waits for ever if it did not.
func TestOldPrimaryServesOnceAnOrderChangesNothing(t *testing.T) {
	e := newExternalFixture(t)
	ordered := e.orderCandidate()
	e.returnPrimary()
	var order *failover.Promote
	var answered bool
	for e.group.Phase != table.PhaseStable && e.now < 2*time.Minute {
		e.report("i-1", table.RolePrimary, table.Mark{Term: 7, Position: 100})
		e.reportLost(ordered.Instance)
		e.reportLost(other(ordered.Instance))
		e.step()
		if p := e.promoteAction(); p != nil && order == nil {
			assert.Equal(t, p.Instance, table.InstanceID("i-1"))
			assert.Assert(t, p.OrderedAt >= ordered.OrderedAt+failover.DefaultConfig().PromotionLapse)
			order = p
		}
		if order != nil && !answered && e.now >= order.OrderedAt+time.Second {
			answered = true
			e.s.HandlePromoteResult(e.now, failover.PromoteResult{
				Group: externalGroup, Instance: "i-1", Term: order.Term, Accepted: true, OrderedAt: order.OrderedAt,
			})
		}
		e.applyProposals()
	}
	assert.Equal(t, e.group.Phase, table.PhaseStable, "%+v", e.group)
	assert.Equal(t, e.group.Primary, table.InstanceID("i-1"))
	assert.Equal(t, e.group.LogTerm, table.Term(7))
	assert.Assert(t, order != nil, "it serves although nobody knows whether it still is the primary")
	assert.Assert(t, e.now >= order.OrderedAt+failover.DefaultConfig().PromotionLapse, "its own order may still begin a later term")
}

// TestPrimaryOfAnOverTermIsNotCommitted guards against a group whose writes are in doubt
// for good, because the log term of an old primary was committed for a promotion.
func TestPrimaryOfAnOverTermIsNotCommitted(t *testing.T) {
	e := newExternalFixture(t)
	ordered := e.orderCandidate()
	e.s.HandlePromoteResult(e.now, failover.PromoteResult{
		Group: externalGroup, Instance: ordered.Instance, Term: ordered.Term, OK: true, Accepted: true, OrderedAt: ordered.OrderedAt,
		Status: dbedge.Status{Role: table.RolePrimary, Mark: table.Mark{Term: 6, Position: 100}},
	})
	for range 20 {
		e.reportReplicas()
		e.step()
		e.applyProposals()
		assert.Equal(t, e.group.Phase, table.PhasePromoting, "committed in log term %d", e.group.LogTerm)
	}
}

// TestSecondOrderOutlivesThePromotion guards against the loss of the writes of the next
// primary. A candidate was ordered twice, was promoted by the first order, and dies; the
// second order may still make it primary after its successor.
func TestSecondOrderOutlivesThePromotion(t *testing.T) {
	e := newExternalFixture(t)
	ordered := e.orderCandidate()
	var second *failover.Promote
	for second == nil {
		e.reportReplicas()
		e.step()
		second = e.promoteAction()
	}
	e.s.HandlePromoteResult(e.now, failover.PromoteResult{
		Group: externalGroup, Instance: ordered.Instance, Term: ordered.Term, OK: true, Accepted: true, OrderedAt: ordered.OrderedAt,
		Status: dbedge.Status{Role: table.RolePrimary, Mark: table.Mark{Term: 8, Position: 100}},
	})
	e.step()
	var committed *control.SetPrimary
	for _, a := range e.actions {
		if p, ok := a.(failover.Propose); ok {
			committed = p.Command.SetPrimary
		}
	}
	assert.Assert(t, committed != nil)
	assert.Equal(t, committed.PromotionOpen, true)
	e.applyProposals()
	assert.Equal(t, e.group.PromotionOpen, true)
	owner := table.HostID("h-" + string(ordered.Instance[2]))
	e.leases.expired[owner] = true
	e.s.HandleLeaseChange(owner)
	for e.now < second.OrderedAt+failover.DefaultConfig().PromotionLapse-20*time.Millisecond {
		e.report(other(ordered.Instance), table.RoleReplica, table.Mark{Term: 8, Position: 100})
		for _, witness := range []table.HostID{"h-1", "h-2", "h-3"} {
			if witness != owner {
				e.s.HandleReports(e.now, witness, []failover.Report{{
					Group: externalGroup, Instance: ordered.Instance, Witness: true, After: e.s.Stamp(e.now),
				}})
			}
		}
		e.step()
		e.applyProposals()
		assert.Equal(t, e.group.Phase, table.PhaseStable, "another candidate is named beside the second order")
	}
}

// TestCandidatesDoNotReplaceEachOther guards against a group that never gets a primary: once
// a lapsed order leaves the log term in doubt, the old primary, which is ahead with writes
// that were not acknowledged, made each replica give way to the other one.
func TestCandidatesDoNotReplaceEachOther(t *testing.T) {
	e := newExternalFixture(t)
	ordered := e.orderCandidate()
	e.returnPrimary()
	reportPrimary := func() { e.report("i-1", table.RolePrimary, table.Mark{Term: 7, Position: 107}) }
	for e.group.Candidate == ordered.Instance && e.now < 2*time.Minute {
		reportPrimary()
		e.report(other(ordered.Instance), table.RoleReplica, table.Mark{Term: 7, Position: 100})
		e.reportLost(ordered.Instance)
		e.step()
		e.applyProposals()
	}
	assert.Equal(t, e.group.LogTermInDoubt, true)
	inDoubt := e.group.Term
	next := e.runUntilOrder(func() {
		reportPrimary()
		e.reportReplicas()
	})
	assert.Equal(t, next.Term, inDoubt)
}
