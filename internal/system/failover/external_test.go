package failover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// someLeases says which hosts are late and which hold no lease any more.
type someLeases struct{ late, expired map[table.HostID]bool }

func (l *someLeases) Late(_ time.Duration, h table.HostID) bool    { return l.late[h] || l.expired[h] }
func (l *someLeases) Expired(_ time.Duration, h table.HostID) bool { return l.expired[h] }

// external drives the System of one group whose platform numbers the terms of
// logs: instances i-1 (the primary, of log term 7), i-2 and i-3, owned by the
// hosts h-1 to h-3.
type external struct {
	t       *testing.T
	s       *failover.System
	leases  *someLeases
	now     time.Duration
	group   table.Group
	held    map[table.InstanceID]table.Term
	actions []failover.Action
}

const externalGroup = table.GroupName("orders")

func newExternal(t *testing.T) *external {
	cfg := failover.DefaultConfig()
	cfg.ExternalTerms = true
	leases := &someLeases{late: map[table.HostID]bool{}, expired: map[table.HostID]bool{}}
	e := &external{
		t: t, s: failover.New(cfg, leases), leases: leases, now: time.Minute,
		held:  map[table.InstanceID]table.Term{},
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

func (e *external) report(id table.InstanceID, role table.Role, mark table.Mark) {
	e.s.HandleReports(e.now, table.HostID("h-"+string(id[2])), []failover.Report{{
		Group: externalGroup, Instance: id, Reachable: true, Role: role, Mark: mark,
		Held: e.held[id], After: e.s.Stamp(e.now), SeenTerm: e.group.Term - 1,
	}})
}

// miss is the report of a witness that cannot reach the primary.
func (e *external) miss(host table.HostID) {
	e.s.HandleReports(e.now, host, []failover.Report{{
		Group: externalGroup, Instance: "i-1", Witness: true, After: e.s.Stamp(e.now),
	}})
}

func (e *external) step() {
	e.now += 10 * time.Millisecond
	e.actions = e.s.Step(e.now)
}

// agree carries out the proposals of the last step.
func (e *external) agree() {
	for _, a := range e.actions {
		p, ok := a.(failover.Propose)
		if !ok {
			continue
		}
		if b := p.Command.BeginTerm; b != nil {
			e.group.Term, e.group.Candidate, e.group.Phase = b.Term, b.Candidate, table.PhasePromoting
		}
		if b := p.Command.SetPrimary; b != nil {
			e.group.Phase, e.group.Primary, e.group.LogTerm = table.PhaseStable, b.Primary, b.LogTerm
		}
		e.s.SetGroup(e.group)
	}
}

func (e *external) promoted() *failover.Promote {
	for _, a := range e.actions {
		if p, ok := a.(failover.Promote); ok {
			return &p
		}
	}
	return nil
}

func (e *external) ordered(host table.HostID, kind failover.OrderKind) bool {
	for _, o := range e.s.Orders(host) {
		if o.Kind == kind {
			return true
		}
	}
	return false
}

// cutPrimary makes the owner of the primary late and has the others find that
// they cannot reach it, up to the agreement on the next term.
func (e *external) cutPrimary() {
	e.t.Helper()
	e.leases.late["h-1"] = true
	e.s.HandleLeaseChange("h-1")
	e.step()
	e.miss("h-2")
	e.miss("h-3")
	e.step()
	e.agree()
	assert.Equal(e.t, e.group.Phase, table.PhasePromoting)
	e.step()
}

// While the owner of the old primary may hold its lease, all replicas are held
// and then one is promoted; it is used once the lease is over.
func TestPromotionRunsWhileTheLeaseEnds(t *testing.T) {
	e := newExternal(t)
	e.cutPrimary()
	assert.Assert(t, e.promoted() == nil, "the old primary may still have writes acknowledged")
	for _, host := range []table.HostID{"h-2", "h-3"} {
		assert.Assert(t, e.ordered(host, failover.OrderHold), "%s", host)
	}
	e.held["i-2"] = 8
	e.report("i-2", table.RoleReplica, table.Mark{Term: 7, Position: 103})
	e.report("i-3", table.RoleReplica, table.Mark{Term: 7, Position: 104})
	e.step()
	assert.Assert(t, e.promoted() == nil, "one replica still receives")
	e.held["i-3"] = 8
	for range 3 {
		e.report("i-2", table.RoleReplica, table.Mark{Term: 7, Position: 103})
		e.report("i-3", table.RoleReplica, table.Mark{Term: 7, Position: 105})
		e.step()
		e.agree()
	}
	for e.promoted() == nil && e.now < 2*time.Minute {
		e.report("i-2", table.RoleReplica, table.Mark{Term: 7, Position: 103})
		e.report("i-3", table.RoleReplica, table.Mark{Term: 7, Position: 105})
		e.step()
		if e.promoted() == nil {
			e.agree()
		}
	}
	p := e.promoted()
	assert.Assert(t, p != nil)
	assert.Equal(t, p.Instance, table.InstanceID("i-3"), "the most advanced one")
	assert.Assert(t, e.now < time.Minute+500*time.Millisecond, "long before the lease is over")

	e.s.HandlePromoteResult(e.now, failover.PromoteResult{
		Group: externalGroup, Instance: "i-3", Term: e.group.Term, OK: true,
		Status: dbedge.Status{Role: table.RolePrimary, Mark: table.Mark{Term: 8, Position: 105}},
	})
	e.step()
	e.agree()
	assert.Equal(t, e.group.Phase, table.PhasePromoting, "the owner of the old primary may still read there")
	e.leases.expired["h-1"] = true
	e.s.HandleLeaseChange("h-1")
	e.step()
	e.agree()
	assert.Equal(t, e.group.Phase, table.PhaseStable)
	assert.Equal(t, e.group.Primary, table.InstanceID("i-3"))
	assert.Equal(t, e.group.LogTerm, table.Term(8), "the term that the platform gave")

	e.report("i-2", table.RoleReplica, table.Mark{Term: 7, Position: 103})
	e.step()
	assert.Assert(t, e.ordered("h-2", failover.OrderReceive), "it must follow the new primary")
}

// Where a replica is out of reach, it may hold what the old primary has
// acknowledged meanwhile: the lease must end first.
func TestUnreachableReplicaWaitsForTheLease(t *testing.T) {
	e := newExternal(t)
	e.s.HandleReports(e.now, "h-3", []failover.Report{{Group: externalGroup, Instance: "i-3", After: e.s.Stamp(e.now)}})
	e.cutPrimary()
	e.held["i-2"] = 8
	for range 20 {
		e.report("i-2", table.RoleReplica, table.Mark{Term: 7, Position: 103})
		e.step()
		assert.Assert(t, e.promoted() == nil)
	}
}

// A replica that leaves counts for the acknowledgement of writes until it is
// gone. When the primary is cut off right after it said that it goes, a write
// may have been acknowledged because it alone has it: no other replica is
// promoted before it is known.
func TestReplicaThatLeftStillCounts(t *testing.T) {
	e := newExternal(t)
	e.s.HandleAnnouncement(table.Instance{ID: "i-4", Group: externalGroup, Address: "10.0.0.1:4", SeenAt: e.now, Leaving: true})
	e.s.SetOwner(externalGroup, table.Ownership{Instance: "i-4", Host: "h-4", Epoch: 1})
	e.report("i-4", table.RoleReplica, table.Mark{Term: 7, Position: 100})
	e.step()
	e.s.HandleInstanceLeft(e.now, "i-4")
	e.leases.expired["h-4"] = true
	e.leases.expired["h-1"] = true
	e.cutPrimary()
	for range 50 {
		e.report("i-2", table.RoleReplica, table.Mark{Term: 7, Position: 100})
		e.report("i-3", table.RoleReplica, table.Mark{Term: 7, Position: 100})
		e.step()
		e.agree()
		assert.Assert(t, e.promoted() == nil, "the one that left may hold more")
	}
}
