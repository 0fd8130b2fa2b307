package failover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// noLeases has every host hold a fresh lease.
type noLeases struct{}

func (noLeases) Expired(time.Duration, table.HostID) bool { return false }
func (noLeases) Late(time.Duration, table.HostID) bool    { return false }

// promoting returns a system at a new leader that finds the group in term 2,
// with h0 to h2 the owners of i0 to i2 and i1 the candidate.
func promoting() *failover.System {
	s := failover.New(failover.DefaultConfig(), noLeases{})
	s.SetGroupSize(groupName, 3)
	for n, id := range []table.InstanceID{"i0", "i1", "i2"} {
		s.HandleAnnouncement(table.Instance{ID: id, Group: groupName, Address: string(id)})
		s.SetOwner(groupName, table.Ownership{Instance: id, Host: table.HostID('0' + rune(n)), Epoch: 1})
	}
	s.SetGroup(table.Group{
		Name: groupName, Term: 2, Phase: table.PhasePromoting, Primary: "i0", Candidate: "i1",
	})
	s.Lead(time.Second, 5)
	return s
}

func report(id table.InstanceID, at failover.Stamp, position table.Position, seen table.Term) failover.Report {
	return failover.Report{
		Group: groupName, Instance: id, Reachable: true, After: at, SeenTerm: seen,
		Mark: table.Mark{Term: 1, Position: position},
	}
}

// outcome sums up what a step asked for.
func outcome(actions []failover.Action) (promoted table.InstanceID, proposed control.Command, told []failover.Order) {
	for _, a := range actions {
		switch a := a.(type) {
		case failover.Promote:
			promoted = a.Instance
		case failover.Propose:
			proposed = a.Command
		case failover.SendOrder:
			told = append(told, a.Order)
		}
	}
	return promoted, proposed, told
}

func TestPositionsCountOnlyIfReadAfterTheFence(t *testing.T) {
	const fenced = 2 * time.Second
	for _, r := range []struct {
		name  string
		stamp failover.Stamp
		want  table.InstanceID
	}{
		{"read after the fence", failover.Stamp{Leadership: 5, At: fenced}, "i1"},
		{"read before the fence", failover.Stamp{Leadership: 5, At: fenced - 1}, ""},
		{"stamp of an earlier leader", failover.Stamp{Leadership: 4, At: time.Hour}, ""},
		{"no stamp", failover.Stamp{}, ""},
	} {
		t.Run(r.name, func(t *testing.T) {
			s := promoting()
			promoted, _, told := outcome(s.Step(time.Second))
			assert.Equal(t, promoted, table.InstanceID(""))
			assert.Equal(t, told[0].Kind, failover.OrderTerm)
			s.HandleReports(fenced, "0", []failover.Report{report("i0", failover.Stamp{}, 9, 2)})
			s.Step(fenced)
			s.HandleReports(fenced+ms, "1", []failover.Report{report("i1", r.stamp, 7, 2)})
			s.HandleReports(fenced+ms, "2", []failover.Report{report("i2", r.stamp, 7, 2)})
			s.Step(fenced + ms)
			promoted, _, _ = outcome(s.Step(fenced + time.Second))
			assert.Equal(t, promoted, r.want)
		})
	}
}

// TestFenceByTime has no word of the owner of the old primary: leases granted
// before the term began have to run out, whoever holds them.
func TestFenceByTime(t *testing.T) {
	for name, owned := range map[string]bool{"owner silent": true, "owner unknown": false} {
		t.Run(name, func(t *testing.T) {
			s := failover.New(failover.DefaultConfig(), noLeases{})
			s.SetGroupSize(groupName, 3)
			if owned {
				s.SetOwner("", table.Ownership{Instance: "i0", Host: "0", Epoch: 1})
			}
			s.SetGroup(table.Group{Name: groupName, Term: 2, Phase: table.PhasePromoting, Primary: "i0", Candidate: "i1"})
			s.Lead(time.Second, 5)
			s.Step(time.Second)
			assert.Equal(t, len(s.Orders("0")) == 1, owned)
			s.Step(time.Second + 1029*ms)
			reason, _ := s.Waiting(groupName)
			assert.Equal(t, reason, failover.WaitOwnerRelease)
			s.Step(time.Second + 1030*ms)
			reason, _ = s.Waiting(groupName)
			assert.Equal(t, reason, failover.WaitPositions)
		})
	}
}

// TestFloor checks which instance is promoted for what was read.
func TestFloor(t *testing.T) {
	const fenced = 2 * time.Second
	for _, r := range []struct {
		name      string
		positions map[table.InstanceID]table.Position
		acked     table.Position // stated by the released owner, 0 if unknown
		promote   table.InstanceID
		begin     table.InstanceID
		wait      failover.WaitReason
	}{
		{"candidate the most advanced", map[table.InstanceID]table.Position{"i1": 8, "i2": 7}, 0, "i1", "", failover.WaitPromotion},
		{"another the more advanced", map[table.InstanceID]table.Position{"i1": 7, "i2": 8}, 0, "", "i2", failover.WaitCommit},
		{"one read of three", map[table.InstanceID]table.Position{"i1": 8}, 0, "", "", failover.WaitPositions},
		{"one read, at what was acknowledged", map[table.InstanceID]table.Position{"i1": 8}, 8, "i1", "", failover.WaitPromotion},
		{"one read, below what was acknowledged", map[table.InstanceID]table.Position{"i1": 7}, 8, "", "", failover.WaitSafeReplica},
		{"the old primary is read and most advanced", map[table.InstanceID]table.Position{"i0": 9, "i1": 8, "i2": 8}, 0, "", "i0", failover.WaitCommit},
	} {
		t.Run(r.name, func(t *testing.T) {
			s := promoting()
			gone := report("i0", failover.Stamp{}, 9, 2)
			gone.Reachable = false
			gone.Acked, gone.AckedKnown = table.Mark{Term: 1, Position: r.acked}, r.acked != 0
			s.HandleReports(fenced, "0", []failover.Report{gone})
			s.Step(fenced)
			for id, position := range r.positions {
				host := table.HostID(id[1:])
				s.HandleReports(fenced+ms, host, []failover.Report{report(id, s.Stamp(fenced), position, 2)})
			}
			promoted, proposed, _ := outcome(s.Step(fenced + time.Second))
			begun := table.InstanceID("")
			if proposed.BeginTerm != nil {
				begun = proposed.BeginTerm.Candidate
				assert.Equal(t, proposed.BeginTerm.Term, table.Term(3))
			}
			reason, _ := s.Waiting(groupName)
			assert.Equal(t, promoted, r.promote)
			assert.Equal(t, begun, r.begin)
			assert.Equal(t, reason, r.wait)
		})
	}
}

// TestEvidence checks what follows from what the witnesses of an unreachable
// primary found, with its owner alive.
func TestEvidence(t *testing.T) {
	const start = 10 * time.Second
	during, before := failover.Stamp{Leadership: 5, At: start}, failover.Stamp{Leadership: 5, At: start - 1}
	finding := func(reachable bool, after failover.Stamp) failover.Report {
		return failover.Report{Group: groupName, Instance: "i0", Witness: true, Reachable: reachable, After: after}
	}
	for _, r := range []struct {
		name     string
		findings map[table.HostID]failover.Report
		after    time.Duration // from the suspicion to the decision
		seenAt   time.Duration // latest announcement of the primary
		want     failover.WaitReason
	}{
		{"none answered", nil, 500 * ms, start, failover.WaitEvidence},
		{"none answered, no longer announced", nil, 500 * ms, start - time.Second, failover.WaitCommit},
		{"one of two missed it", map[table.HostID]failover.Report{"1": finding(false, during)}, 10 * ms, start, failover.WaitEvidence},
		{"one of two missed it, the other is silent", map[table.HostID]failover.Report{"1": finding(false, during)}, 500 * ms, start, failover.WaitCommit},
		{"both missed it", map[table.HostID]failover.Report{"1": finding(false, during), "2": finding(false, during)}, 10 * ms, start, failover.WaitCommit},
		{"missed before the suspicion", map[table.HostID]failover.Report{"1": finding(false, before), "2": finding(false, before)}, 500 * ms, start, failover.WaitEvidence},
		{"one reached it", map[table.HostID]failover.Report{"1": finding(false, during), "2": finding(true, during)}, 500 * ms, start, failover.WaitOwnerMove},
		{"one reached it a moment ago", map[table.HostID]failover.Report{"2": finding(true, during)}, 10 * ms, start, failover.WaitEvidence},
	} {
		t.Run(r.name, func(t *testing.T) {
			s := promoting()
			s.SetGroup(table.Group{Name: groupName, Term: 2, Primary: "i0", Candidate: "i0"})
			s.HandleAnnouncement(table.Instance{ID: "i0", Group: groupName, Address: "i0", SeenAt: r.seenAt})
			s.HandleReports(start, "1", []failover.Report{report("i1", during, 7, 2)})
			down := report("i0", failover.Stamp{}, 7, 2)
			down.Reachable = false
			s.HandleReports(start, "0", []failover.Report{down})
			s.Step(start)
			for host, f := range r.findings {
				s.HandleReports(start, host, []failover.Report{f})
			}
			s.Step(start + r.after)
			reason, _ := s.Waiting(groupName)
			assert.Equal(t, reason, r.want)
		})
	}
}

// TestDeparture has a fourth instance of a group of three go away, and then the
// primary die. Two positions are enough once the fourth counts no more.
func TestDeparture(t *testing.T) {
	for _, r := range []struct {
		name    string
		leaving bool
		seenAt  time.Duration // latest announcement of the fourth
		others  table.Position
		want    failover.WaitReason
	}{
		{"left", true, time.Second, 9, failover.WaitPromotion},
		{"left a moment ago", true, 15 * time.Second, 9, failover.WaitPositions},
		{"silent without leaving", false, time.Second, 9, failover.WaitPositions},
		{"left, another lags", true, time.Second, 8, failover.WaitPositions},
	} {
		t.Run(r.name, func(t *testing.T) {
			s := promoting()
			s.SetOwner(groupName, table.Ownership{Instance: "i3", Host: "3", Epoch: 1})
			s.HandleAnnouncement(table.Instance{ID: "i3", Group: groupName, Leaving: r.leaving, SeenAt: r.seenAt})
			s.SetGroup(table.Group{Name: groupName, Term: 2, Primary: "i0", Candidate: "i0"})
			for at := 2 * time.Second; at < 20*time.Second; at += 100 * ms {
				served := report("i0", s.Stamp(at), 9, 2)
				served.Role = table.RolePrimary
				s.HandleReports(at, "0", []failover.Report{served})
				s.HandleReports(at, "1", []failover.Report{report("i1", s.Stamp(at), r.others, 2)})
				s.HandleReports(at, "2", []failover.Report{report("i2", s.Stamp(at), 9, 2)})
				s.Step(at)
			}
			s.SetGroup(table.Group{Name: groupName, Term: 3, Phase: table.PhasePromoting, Primary: "i0", Candidate: "i2"})
			gone := report("i0", failover.Stamp{}, 9, 3)
			gone.Reachable = false
			s.HandleReports(20*time.Second, "0", []failover.Report{gone})
			s.Step(20 * time.Second)
			s.HandleReports(20*time.Second, "1", []failover.Report{report("i1", s.Stamp(20*time.Second), r.others, 3)})
			s.HandleReports(20*time.Second, "2", []failover.Report{report("i2", s.Stamp(20*time.Second), 9, 3)})
			s.Step(21 * time.Second)
			reason, _ := s.Waiting(groupName)
			assert.Equal(t, reason, r.want)
		})
	}
}

// TestLaterReadsLowerTheFloor has the read of the old primary arrive late.
func TestLaterReadsLowerTheFloor(t *testing.T) {
	s := promoting()
	gone := report("i1", failover.Stamp{}, 9, 2)
	s.HandleReports(time.Second, "0", []failover.Report{report("i0", failover.Stamp{}, 8, 2)})
	s.Step(time.Second)
	s.HandleReports(time.Second, "1", []failover.Report{report("i1", s.Stamp(time.Second), 9, 2)})
	s.HandleReports(time.Second, "2", []failover.Report{report("i2", s.Stamp(time.Second), 8, 2)})
	gone.Reachable = false
	s.HandleReports(time.Second, "1", []failover.Report{gone})
	s.Step(2 * time.Second)
	reason, _ := s.Waiting(groupName)
	assert.Equal(t, reason, failover.WaitSafeReplica)
	s.HandleReports(2*time.Second, "0", []failover.Report{report("i0", s.Stamp(2*time.Second), 8, 2)})
	_, proposed, _ := outcome(s.Step(2 * time.Second))
	assert.Assert(t, proposed.BeginTerm != nil, "two of three hold no more than position 8")
}

// TestFenceIsRepeatedAfterASetPrimary has a SetPrimary and the next BeginTerm
// take effect between two steps: the owner of the new primary may have
// acknowledged in between.
func TestFenceIsRepeatedAfterASetPrimary(t *testing.T) {
	s := promoting()
	s.HandleReports(time.Second, "0", []failover.Report{report("i0", failover.Stamp{}, 9, 2)})
	s.Step(time.Second)
	for _, id := range []table.InstanceID{"i1", "i2"} {
		r := report(id, s.Stamp(time.Second), 9, 2)
		if id == "i1" {
			r.Role, r.Mark.Term = table.RolePrimary, 2
		}
		s.HandleReports(time.Second, table.HostID(id[1:]), []failover.Report{r})
	}
	_, proposed, _ := outcome(s.Step(time.Second))
	assert.Assert(t, proposed.SetPrimary != nil)
	lost := report("i1", s.Stamp(time.Second), 9, 2)
	lost.Reachable = false
	s.HandleReports(2*time.Second, "1", []failover.Report{lost})
	s.Step(2 * time.Second)
	for _, id := range []table.InstanceID{"i0", "i2"} {
		r := report(id, s.Stamp(2*time.Second), 9, 2)
		s.HandleReports(2*time.Second, table.HostID(id[1:]), []failover.Report{r})
	}
	_, proposed, _ = outcome(s.Step(2 * time.Second))
	reason, _ := s.Waiting(groupName)
	assert.Assert(t, proposed.BeginTerm != nil, "waits for %v", reason)
	s.SetGroup(table.Group{
		Name: groupName, Term: 3, Phase: table.PhasePromoting, Primary: "i1", Candidate: "i2",
	})
	promoted, _, told := outcome(s.Step(2*time.Second + ms))
	assert.Equal(t, promoted, table.InstanceID(""))
	assert.Equal(t, told[0], failover.Order{
		Kind: failover.OrderTerm, Group: groupName, Instance: "i1", Address: "i1", Term: 3,
	})
}
