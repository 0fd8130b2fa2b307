package failover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// freshLeases is a Leases in which every host holds a fresh lease.
type freshLeases struct{}

func (freshLeases) Expired(time.Duration, table.HostID) bool { return false }
func (freshLeases) Late(time.Duration, table.HostID) bool    { return false }

// newPromotingSystem returns the system of a new leader that finds the group
// promoting i1 in term 2. The hosts 0 to 2 own i0 to i2.
func newPromotingSystem() *failover.System {
	s := failover.New(failover.DefaultConfig(), freshLeases{})
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

func newReport(id table.InstanceID, stamp failover.Stamp, position table.Position, seen table.Term) failover.Report {
	return failover.Report{
		Group: groupName, Instance: id, Reachable: true, After: stamp, SeenTerm: seen,
		Mark: table.Mark{Term: 1, Position: position},
	}
}

// summarizeActions returns the promoted instance, the proposed command and the
// orders among the actions of a step.
func summarizeActions(actions []failover.Action) (promoted table.InstanceID, proposed control.Command, orders []failover.Order) {
	for _, a := range actions {
		switch a := a.(type) {
		case failover.Promote:
			promoted = a.Instance
		case failover.Propose:
			proposed = a.Command
		case failover.SendOrder:
			orders = append(orders, a.Order)
		}
	}
	return promoted, proposed, orders
}

func TestPositionsReadBeforeFenceAreIgnored(t *testing.T) {
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
			s := newPromotingSystem()
			promoted, _, orders := summarizeActions(s.Step(time.Second))
			assert.Equal(t, promoted, table.InstanceID(""))
			assert.Equal(t, orders[0].Kind, failover.OrderTerm)
			s.HandleReports(fenced, "0", []failover.Report{newReport("i0", failover.Stamp{}, 9, 2)})
			s.Step(fenced)
			s.HandleReports(fenced+ms, "1", []failover.Report{newReport("i1", r.stamp, 7, 2)})
			s.HandleReports(fenced+ms, "2", []failover.Report{newReport("i2", r.stamp, 7, 2)})
			s.Step(fenced + ms)
			promoted, _, _ = summarizeActions(s.Step(fenced + time.Second))
			assert.Equal(t, promoted, r.want)
		})
	}
}

// TestFenceByLeaseExpiry checks the case in which the owner of the old primary
// sends no report: all leases that were granted before the term began must
// expire first, whichever host holds them.
func TestFenceByLeaseExpiry(t *testing.T) {
	for name, owned := range map[string]bool{"owner silent": true, "owner unknown": false} {
		t.Run(name, func(t *testing.T) {
			s := failover.New(failover.DefaultConfig(), freshLeases{})
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

// TestPromotionFloor checks which instance is promoted for the positions that
// were read.
func TestPromotionFloor(t *testing.T) {
	const fenced = 2 * time.Second
	for _, r := range []struct {
		name          string
		positions     map[table.InstanceID]table.Position
		acked         table.Position // reported by the owner of the old primary, 0 if unknown
		wantPromoted  table.InstanceID
		wantCandidate table.InstanceID
		wantWait      failover.WaitReason
	}{
		{"candidate is the most advanced", map[table.InstanceID]table.Position{"i1": 8, "i2": 7}, 0, "i1", "", failover.WaitPromotion},
		{"another replica is more advanced", map[table.InstanceID]table.Position{"i1": 7, "i2": 8}, 0, "", "i2", failover.WaitCommit},
		{"one read of three", map[table.InstanceID]table.Position{"i1": 8}, 0, "", "", failover.WaitPositions},
		{"one read, at what was acknowledged", map[table.InstanceID]table.Position{"i1": 8}, 8, "i1", "", failover.WaitPromotion},
		{"one read, below what was acknowledged", map[table.InstanceID]table.Position{"i1": 7}, 8, "", "", failover.WaitSafeReplica},
		{"the old primary is read and most advanced", map[table.InstanceID]table.Position{"i0": 9, "i1": 8, "i2": 8}, 0, "", "i0", failover.WaitCommit},
	} {
		t.Run(r.name, func(t *testing.T) {
			s := newPromotingSystem()
			unreachable := newReport("i0", failover.Stamp{}, 9, 2)
			unreachable.Reachable = false
			unreachable.Acked, unreachable.AckedKnown = table.Mark{Term: 1, Position: r.acked}, r.acked != 0
			s.HandleReports(fenced, "0", []failover.Report{unreachable})
			s.Step(fenced)
			for id, position := range r.positions {
				host := table.HostID(id[1:])
				s.HandleReports(fenced+ms, host, []failover.Report{newReport(id, s.Stamp(fenced), position, 2)})
			}
			promoted, proposed, _ := summarizeActions(s.Step(fenced + time.Second))
			candidate := table.InstanceID("")
			if proposed.BeginTerm != nil {
				candidate = proposed.BeginTerm.Candidate
				assert.Equal(t, proposed.BeginTerm.Term, table.Term(3))
			}
			reason, _ := s.Waiting(groupName)
			assert.Equal(t, promoted, r.wantPromoted)
			assert.Equal(t, candidate, r.wantCandidate)
			assert.Equal(t, reason, r.wantWait)
		})
	}
}

// TestWitnessEvidence checks the decision for each combination of witness
// reports on an unreachable primary whose owner sends heartbeats.
func TestWitnessEvidence(t *testing.T) {
	const start = 10 * time.Second
	during, before := failover.Stamp{Leadership: 5, At: start}, failover.Stamp{Leadership: 5, At: start - 1}
	witnessReport := func(reachable bool, stamp failover.Stamp) failover.Report {
		return failover.Report{Group: groupName, Instance: "i0", Witness: true, Reachable: reachable, After: stamp}
	}
	for _, r := range []struct {
		name           string
		witnessReports map[table.HostID]failover.Report
		decideAfter    time.Duration // time between the suspicion and the decision
		seenAt         time.Duration // time of the latest announcement of the primary
		want           failover.WaitReason
	}{
		{"none answered", nil, 500 * ms, start, failover.WaitEvidence},
		{"none answered, no longer announced", nil, 500 * ms, start - time.Second, failover.WaitCommit},
		{"one of two could not reach it", map[table.HostID]failover.Report{"1": witnessReport(false, during)}, 10 * ms, start, failover.WaitEvidence},
		{"one of two could not reach it, the other is silent", map[table.HostID]failover.Report{"1": witnessReport(false, during)}, 500 * ms, start, failover.WaitCommit},
		{"both could not reach it", map[table.HostID]failover.Report{"1": witnessReport(false, during), "2": witnessReport(false, during)}, 10 * ms, start, failover.WaitCommit},
		{"could not reach it before the suspicion", map[table.HostID]failover.Report{"1": witnessReport(false, before), "2": witnessReport(false, before)}, 500 * ms, start, failover.WaitEvidence},
		{"one reached it", map[table.HostID]failover.Report{"1": witnessReport(false, during), "2": witnessReport(true, during)}, 500 * ms, start, failover.WaitOwnerMove},
		{"one reached it, suspicion is recent", map[table.HostID]failover.Report{"2": witnessReport(true, during)}, 10 * ms, start, failover.WaitEvidence},
	} {
		t.Run(r.name, func(t *testing.T) {
			s := newPromotingSystem()
			s.SetGroup(table.Group{Name: groupName, Term: 2, Primary: "i0", Candidate: "i0"})
			s.HandleAnnouncement(table.Instance{ID: "i0", Group: groupName, Address: "i0", SeenAt: r.seenAt})
			s.HandleReports(start, "1", []failover.Report{newReport("i1", during, 7, 2)})
			unreachable := newReport("i0", failover.Stamp{}, 7, 2)
			unreachable.Reachable = false
			s.HandleReports(start, "0", []failover.Report{unreachable})
			s.Step(start)
			for host, report := range r.witnessReports {
				s.HandleReports(start, host, []failover.Report{report})
			}
			s.Step(start + r.decideAfter)
			reason, _ := s.Waiting(groupName)
			assert.Equal(t, reason, r.want)
		})
	}
}

// TestRemovalOfDepartedInstance checks when a fourth instance that left a group
// of three no longer counts after the primary failed. Two positions are enough
// once it is removed.
func TestRemovalOfDepartedInstance(t *testing.T) {
	for _, r := range []struct {
		name           string
		leaving        bool
		seenAt         time.Duration // time of the latest announcement of the fourth instance
		othersPosition table.Position
		want           failover.WaitReason
	}{
		{"left", true, time.Second, 9, failover.WaitPromotion},
		{"left a moment ago", true, 15 * time.Second, 9, failover.WaitPositions},
		{"silent without leaving", false, time.Second, 9, failover.WaitPositions},
		{"left, another lags", true, time.Second, 8, failover.WaitPositions},
	} {
		t.Run(r.name, func(t *testing.T) {
			s := newPromotingSystem()
			s.SetOwner(groupName, table.Ownership{Instance: "i3", Host: "3", Epoch: 1})
			s.HandleAnnouncement(table.Instance{ID: "i3", Group: groupName, Leaving: r.leaving, SeenAt: r.seenAt})
			s.SetGroup(table.Group{Name: groupName, Term: 2, Primary: "i0", Candidate: "i0"})
			for at := 2 * time.Second; at < 20*time.Second; at += 100 * ms {
				primaryReport := newReport("i0", s.Stamp(at), 9, 2)
				primaryReport.Role = table.RolePrimary
				s.HandleReports(at, "0", []failover.Report{primaryReport})
				s.HandleReports(at, "1", []failover.Report{newReport("i1", s.Stamp(at), r.othersPosition, 2)})
				s.HandleReports(at, "2", []failover.Report{newReport("i2", s.Stamp(at), 9, 2)})
				s.Step(at)
			}
			s.SetGroup(table.Group{Name: groupName, Term: 3, Phase: table.PhasePromoting, Primary: "i0", Candidate: "i2"})
			unreachable := newReport("i0", failover.Stamp{}, 9, 3)
			unreachable.Reachable = false
			s.HandleReports(20*time.Second, "0", []failover.Report{unreachable})
			s.Step(20 * time.Second)
			s.HandleReports(20*time.Second, "1", []failover.Report{newReport("i1", s.Stamp(20*time.Second), r.othersPosition, 3)})
			s.HandleReports(20*time.Second, "2", []failover.Report{newReport("i2", s.Stamp(20*time.Second), 9, 3)})
			s.Step(21 * time.Second)
			reason, _ := s.Waiting(groupName)
			assert.Equal(t, reason, r.want)
		})
	}
}

// TestLaterReadsLowerTheFloor checks that the position of the old primary
// lowers the floor even if it arrives late.
func TestLaterReadsLowerTheFloor(t *testing.T) {
	s := newPromotingSystem()
	unreachable := newReport("i1", failover.Stamp{}, 9, 2)
	s.HandleReports(time.Second, "0", []failover.Report{newReport("i0", failover.Stamp{}, 8, 2)})
	s.Step(time.Second)
	s.HandleReports(time.Second, "1", []failover.Report{newReport("i1", s.Stamp(time.Second), 9, 2)})
	s.HandleReports(time.Second, "2", []failover.Report{newReport("i2", s.Stamp(time.Second), 8, 2)})
	unreachable.Reachable = false
	s.HandleReports(time.Second, "1", []failover.Report{unreachable})
	s.Step(2 * time.Second)
	reason, _ := s.Waiting(groupName)
	assert.Equal(t, reason, failover.WaitSafeReplica)
	s.HandleReports(2*time.Second, "0", []failover.Report{newReport("i0", s.Stamp(2*time.Second), 8, 2)})
	_, proposed, _ := summarizeActions(s.Step(2 * time.Second))
	assert.Assert(t, proposed.BeginTerm != nil, "two of three instances hold no write above position 8")
}

// TestFenceIsRepeatedAfterASetPrimary guards against a fence that is reused
// after a primary has served. A SetPrimary and the next BeginTerm take effect
// between two steps, so the owner of the new primary may have acknowledged
// writes in between.
func TestFenceIsRepeatedAfterASetPrimary(t *testing.T) {
	s := newPromotingSystem()
	s.HandleReports(time.Second, "0", []failover.Report{newReport("i0", failover.Stamp{}, 9, 2)})
	s.Step(time.Second)
	for _, id := range []table.InstanceID{"i1", "i2"} {
		r := newReport(id, s.Stamp(time.Second), 9, 2)
		if id == "i1" {
			r.Role, r.Mark.Term = table.RolePrimary, 2
		}
		s.HandleReports(time.Second, table.HostID(id[1:]), []failover.Report{r})
	}
	_, proposed, _ := summarizeActions(s.Step(time.Second))
	assert.Assert(t, proposed.SetPrimary != nil)
	unreachable := newReport("i1", s.Stamp(time.Second), 9, 2)
	unreachable.Reachable = false
	s.HandleReports(2*time.Second, "1", []failover.Report{unreachable})
	s.Step(2 * time.Second)
	for _, id := range []table.InstanceID{"i0", "i2"} {
		r := newReport(id, s.Stamp(2*time.Second), 9, 2)
		s.HandleReports(2*time.Second, table.HostID(id[1:]), []failover.Report{r})
	}
	_, proposed, _ = summarizeActions(s.Step(2 * time.Second))
	reason, _ := s.Waiting(groupName)
	assert.Assert(t, proposed.BeginTerm != nil, "waits for %v", reason)
	s.SetGroup(table.Group{
		Name: groupName, Term: 3, Phase: table.PhasePromoting, Primary: "i1", Candidate: "i2",
	})
	promoted, _, orders := summarizeActions(s.Step(2*time.Second + ms))
	assert.Equal(t, promoted, table.InstanceID(""))
	assert.Equal(t, orders[0], failover.Order{
		Kind: failover.OrderTerm, Group: groupName, Instance: "i1", Address: "i1", Term: 3,
	})
}

// TestLeavingReplicaIsLastChoice checks which replica follows a primary that no
// longer leads. A replica that is leaving would be gone within seconds, so a
// staying one whose latest probe was lost is waited for, but not for long.
func TestLeavingReplicaIsLastChoice(t *testing.T) {
	const start = 10 * time.Second
	for _, r := range []struct {
		name           string
		unreachableFor time.Duration // of the staying replica; zero means reachable
		want           table.InstanceID
	}{
		{"the staying replica is reachable", 0, "i1"},
		{"its latest probe was lost", 100 * ms, ""},
		{"it has been unreachable for long", 600 * ms, "i2"},
	} {
		t.Run(r.name, func(t *testing.T) {
			s := failover.New(failover.DefaultConfig(), freshLeases{})
			s.SetGroupSize(groupName, 3)
			for n, id := range []table.InstanceID{"i0", "i1", "i2"} {
				s.HandleAnnouncement(table.Instance{ID: id, Group: groupName, Address: string(id), Leaving: id == "i2", SeenAt: start})
				s.SetOwner(groupName, table.Ownership{Instance: id, Host: table.HostID('0' + rune(n)), Epoch: 1})
			}
			s.SetGroup(table.Group{Name: groupName, Term: 1, Phase: table.PhaseStable, Primary: "i0"})
			s.Lead(start, 5)
			s.Step(start)
			for n, id := range []table.InstanceID{"i0", "i1", "i2"} {
				report := newReport(id, s.Stamp(start), 7, 1)
				if id == "i1" && r.unreachableFor > 0 {
					report.Reachable, report.UnreachableFor = false, r.unreachableFor
				}
				s.HandleReports(start+ms, table.HostID('0'+rune(n)), []failover.Report{report})
			}
			_, proposed, _ := summarizeActions(s.Step(start + 2*ms))
			if r.want == "" {
				assert.Assert(t, proposed.BeginTerm == nil, "%v", proposed.BeginTerm)
				return
			}
			assert.Equal(t, proposed.BeginTerm.Candidate, r.want)
		})
	}
}
