package failover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// fakeLeases is a Leases in which the test sets the hosts that are late and the
// hosts whose lease has expired.
type fakeLeases struct{ late, expired map[table.HostID]bool }

func (l *fakeLeases) Late(_ time.Duration, h table.HostID) bool    { return l.late[h] || l.expired[h] }
func (l *fakeLeases) Expired(_ time.Duration, h table.HostID) bool { return l.expired[h] }

// externalFixture drives the System of one group whose platform assigns the
// terms of logs: instances i-1 (the primary, in log term 7), i-2 and i-3, owned
// by the hosts h-1 to h-3.
type externalFixture struct {
	t         *testing.T
	s         *failover.System
	leases    *fakeLeases
	now       time.Duration
	group     table.Group
	heldTerms map[table.InstanceID]table.Term
	logTerms  map[table.InstanceID]table.Term // led or followed, the term of the mark if zero
	actions   []failover.Action
	// oldPrimary is whether nextOrder also reports i-1, as the primary of log term 7.
	oldPrimary bool
}

const externalGroup = table.GroupName("orders")

func newExternalFixture(t *testing.T) *externalFixture {
	cfg := failover.DefaultConfig()
	cfg.ExternalTerms = true
	leases := &fakeLeases{late: map[table.HostID]bool{}, expired: map[table.HostID]bool{}}
	e := &externalFixture{
		t: t, s: failover.New(cfg, leases), leases: leases, now: time.Minute,
		heldTerms: map[table.InstanceID]table.Term{}, logTerms: map[table.InstanceID]table.Term{},
		group: table.Group{Name: externalGroup, Term: 1, Phase: table.PhaseStable, Primary: "i-1", Candidate: "i-1", LogTerm: 7},
	}
	e.s.Lead(e.now, 1)
	e.s.SetGroupSize(externalGroup, 2)
	e.s.SetGroup(e.group)
	for n, id := range []table.InstanceID{"i-1", "i-2", "i-3"} {
		host := table.HostID("h-" + string(id[2]))
		e.s.AddHost(host)
		e.s.HandleAnnouncement(table.Instance{ID: id, Group: externalGroup, Address: "10.0.0.1:" + string(id[2]), SeenAt: e.now})
		e.s.SetOwner(externalGroup, table.Ownership{Instance: id, Host: host, Epoch: 1})
		role := table.RoleReplica
		if n == 0 {
			role = table.RolePrimary
		}
		e.report(id, role, table.Mark{Term: 7, Position: 100})
	}
	e.step()
	return e
}

func (e *externalFixture) report(id table.InstanceID, role table.Role, mark table.Mark) {
	e.s.HandleReports(e.now, table.HostID("h-"+string(id[2])), []failover.Report{{
		Group: externalGroup, Instance: id, Reachable: true, Role: role, Mark: mark,
		LogTerm: max(e.logTerms[id], mark.Term), Held: e.heldTerms[id], After: e.s.Stamp(e.now), SeenTerm: e.group.Term - 1,
	}})
}

// reportUnreachable sends the report of a witness that cannot reach the
// primary.
func (e *externalFixture) reportUnreachable(host table.HostID) {
	e.s.HandleReports(e.now, host, []failover.Report{{
		Group: externalGroup, Instance: "i-1", Witness: true, After: e.s.Stamp(e.now),
	}})
}

func (e *externalFixture) step() {
	e.now += 10 * time.Millisecond
	e.actions = e.s.Step(e.now)
}

// applyProposals applies the proposals of the last step.
func (e *externalFixture) applyProposals() {
	for _, a := range e.actions {
		p, ok := a.(failover.Propose)
		if !ok {
			continue
		}
		if b := p.Command.BeginTerm; b != nil {
			e.group.Term, e.group.Candidate, e.group.Phase = b.Term, b.Candidate, table.PhasePromoting
			e.group.LogTermInDoubt, e.group.PromotionOpen = e.group.LogTermInDoubt || b.LogTermInDoubt, false
		}
		if b := p.Command.SetPrimary; b != nil {
			e.group.Phase, e.group.Primary, e.group.LogTerm = table.PhaseStable, b.Primary, b.LogTerm
			e.group.LogTermInDoubt, e.group.PromotionOpen = false, b.PromotionOpen
		}
		e.s.SetGroup(e.group)
	}
}

func (e *externalFixture) promoteAction() *failover.Promote {
	for _, a := range e.actions {
		if p, ok := a.(failover.Promote); ok {
			return &p
		}
	}
	return nil
}

func (e *externalFixture) hasOrder(host table.HostID, kind failover.OrderKind) bool {
	for _, o := range e.s.Orders(host) {
		if o.Kind == kind {
			return true
		}
	}
	return false
}

// cutOffPrimary makes the owner of the primary late, has the other hosts report
// the primary as unreachable, and runs until the next term is committed.
func (e *externalFixture) cutOffPrimary() {
	e.t.Helper()
	e.leases.late["h-1"] = true
	e.s.HandleLeaseChange("h-1")
	e.step()
	e.reportUnreachable("h-2")
	e.reportUnreachable("h-3")
	e.step()
	e.applyProposals()
	assert.Equal(e.t, e.group.Phase, table.PhasePromoting)
	e.step()
}

// TestPromotionBeforeLeaseExpiry checks that a candidate is promoted while the
// owner of the old primary may still hold its lease, once all replicas are
// held. The candidate must not serve before that lease has expired.
func TestPromotionBeforeLeaseExpiry(t *testing.T) {
	e := newExternalFixture(t)
	e.cutOffPrimary()
	assert.Assert(t, e.promoteAction() == nil, "the old primary may still acknowledge writes")
	for _, host := range []table.HostID{"h-2", "h-3"} {
		assert.Assert(t, e.hasOrder(host, failover.OrderHold), "%s", host)
	}
	e.heldTerms["i-2"] = 8
	e.report("i-2", table.RoleReplica, table.Mark{Term: 7, Position: 103})
	e.report("i-3", table.RoleReplica, table.Mark{Term: 7, Position: 104})
	e.step()
	assert.Assert(t, e.promoteAction() == nil, "one replica still receives from the old primary")
	e.heldTerms["i-3"] = 8
	for range 3 {
		e.report("i-2", table.RoleReplica, table.Mark{Term: 7, Position: 103})
		e.report("i-3", table.RoleReplica, table.Mark{Term: 7, Position: 105})
		e.step()
		e.applyProposals()
	}
	for e.promoteAction() == nil && e.now < 2*time.Minute {
		e.report("i-2", table.RoleReplica, table.Mark{Term: 7, Position: 103})
		e.report("i-3", table.RoleReplica, table.Mark{Term: 7, Position: 105})
		e.step()
		if e.promoteAction() == nil {
			e.applyProposals()
		}
	}
	p := e.promoteAction()
	assert.Assert(t, p != nil)
	assert.Equal(t, p.Instance, table.InstanceID("i-3"), "the most advanced replica must be promoted")
	assert.Assert(t, e.now < time.Minute+500*time.Millisecond, "the promotion must not wait for the lease to expire")

	e.s.HandlePromoteResult(e.now, failover.PromoteResult{
		Group: externalGroup, Instance: "i-3", Term: e.group.Term, OK: true,
		Status: dbedge.Status{Role: table.RolePrimary, Mark: table.Mark{Term: 8, Position: 105}},
	})
	e.step()
	e.applyProposals()
	assert.Equal(t, e.group.Phase, table.PhasePromoting, "the owner of the old primary may still serve reads from it")
	e.leases.expired["h-1"] = true
	e.s.HandleLeaseChange("h-1")
	e.step()
	e.applyProposals()
	assert.Equal(t, e.group.Phase, table.PhaseStable)
	assert.Equal(t, e.group.Primary, table.InstanceID("i-3"))
	assert.Equal(t, e.group.LogTerm, table.Term(8), "the log term that the platform assigned")

	e.report("i-2", table.RoleReplica, table.Mark{Term: 7, Position: 103})
	e.step()
	assert.Assert(t, e.hasOrder("h-2", failover.OrderReceive), "the replica must follow the new primary")
}

// TestUnreachableReplicaDelaysPromotion checks that no replica is promoted
// before the lease expires if one replica is unreachable: that replica may still
// receive, and the old primary may acknowledge writes that only it has received.
func TestUnreachableReplicaDelaysPromotion(t *testing.T) {
	e := newExternalFixture(t)
	e.s.HandleReports(e.now, "h-3", []failover.Report{{Group: externalGroup, Instance: "i-3", After: e.s.Stamp(e.now)}})
	e.cutOffPrimary()
	e.heldTerms["i-2"] = 8
	for range 20 {
		e.report("i-2", table.RoleReplica, table.Mark{Term: 7, Position: 103})
		e.step()
		assert.Assert(t, e.promoteAction() == nil)
	}
}

// TestDepartedReplicaStillCounts guards against the loss of a write that only
// the primary and a departed replica hold. The primary is cut off right after
// the replica reported that it leaves at once. A write may have been
// acknowledged because that replica alone had received it, so no other replica
// may be promoted before its position is known.
func TestDepartedReplicaStillCounts(t *testing.T) {
	e := newExternalFixture(t)
	e.s.HandleAnnouncement(table.Instance{ID: "i-4", Group: externalGroup, Address: "10.0.0.1:4", SeenAt: e.now, Leaving: true})
	e.s.SetOwner(externalGroup, table.Ownership{Instance: "i-4", Host: "h-4", Epoch: 1})
	e.report("i-4", table.RoleReplica, table.Mark{Term: 7, Position: 100})
	e.step()
	e.s.HandleInstanceLeft(e.now, "i-4")
	e.leases.expired["h-4"] = true
	e.leases.expired["h-1"] = true
	e.cutOffPrimary()
	for range 50 {
		e.report("i-2", table.RoleReplica, table.Mark{Term: 7, Position: 100})
		e.report("i-3", table.RoleReplica, table.Mark{Term: 7, Position: 100})
		e.step()
		e.applyProposals()
		assert.Assert(t, e.promoteAction() == nil, "the departed replica may hold more writes")
	}
}

// TestLostWritesAreNotPromoted guards against writes that come back after their
// callers were told that they have not run. The old primary of term 7 still holds
// writes beyond the start of term 8, and the primary of term 8 dies before any
// instance followed it.
func TestLostWritesAreNotPromoted(t *testing.T) {
	e := newExternalFixture(t)
	e.group.Term, e.group.Primary, e.group.Candidate, e.group.LogTerm = 2, "i-2", "i-2", 8
	e.group.History.Add(8, 98)
	e.s.SetGroup(e.group)
	e.report("i-2", table.RolePrimary, table.Mark{Term: 8, Position: 98})
	e.report("i-1", table.RoleReplica, table.Mark{Term: 7, Position: 105})
	e.report("i-3", table.RoleReplica, table.Mark{Term: 7, Position: 98})
	e.step()

	e.leases.expired["h-2"] = true
	e.s.HandleLeaseChange("h-2")
	var promoted *failover.Promote
	for range 2000 {
		for _, host := range []table.HostID{"h-1", "h-3"} {
			e.s.HandleReports(e.now, host, []failover.Report{{
				Group: externalGroup, Instance: "i-2", Witness: true, After: e.s.Stamp(e.now),
			}})
		}
		e.report("i-1", table.RoleReplica, table.Mark{Term: 7, Position: 105})
		e.report("i-3", table.RoleReplica, table.Mark{Term: 7, Position: 98})
		e.step()
		if promoted = e.promoteAction(); promoted != nil {
			break
		}
		e.applyProposals()
	}
	assert.Assert(t, promoted != nil, "phase %v", e.group.Phase)
	assert.Equal(t, promoted.Instance, table.InstanceID("i-3"))
}

// TestWaitNamesMissingInstances guards against a group that waits without saying for
// what: a replica started again without its log, and the primary, which alone would
// suffice, is not reachable. Once it is back it must be promoted, whatever else is
// missing.
func TestWaitNamesMissingInstances(t *testing.T) {
	e := newExternalFixture(t)
	e.s.HandleAnnouncement(table.Instance{
		ID: "i-2", Group: externalGroup, Address: "10.0.0.1:2", SeenAt: e.now, Born: 2, Emptied: true,
	})
	e.leases.expired["h-1"] = true
	e.cutOffPrimary()
	var missing string
	for range 200 {
		e.report("i-2", table.RoleReplica, table.Mark{Term: 7, Position: 0})
		e.report("i-3", table.RoleReplica, table.Mark{Term: 7, Position: 90})
		e.step()
		e.applyProposals()
		assert.Assert(t, e.promoteAction() == nil, "i-2 may have confirmed what i-3 lacks")
		for _, a := range e.actions {
			if w, ok := a.(failover.Wait); ok {
				missing = w.Missing
			}
		}
	}
	assert.Equal(t, missing, "i-1 is not reachable, i-2 started again and may lack what it held")

	e.leases.expired["h-1"], e.leases.late["h-1"] = false, false
	var promoted *failover.Promote
	for range 200 {
		for id, position := range map[table.InstanceID]table.Position{"i-2": 0, "i-3": 90} {
			e.report(id, table.RoleReplica, table.Mark{Term: 7, Position: position})
		}
		e.report("i-1", table.RolePrimary, table.Mark{Term: 7, Position: 100})
		e.step()
		e.applyProposals()
		if promoted = e.promoteAction(); promoted != nil {
			break
		}
	}
	assert.Assert(t, promoted != nil)
	assert.Equal(t, promoted.Instance, table.InstanceID("i-1"))
}
