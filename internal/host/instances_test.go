package host

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/system/ownership"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// newTestLeader returns a leader that discards its commands.
func newTestLeader(t *testing.T) *leader {
	t.Helper()
	grantor := lease.NewGrantor(lease.DefaultConfig())
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return &leader{
		log: log, grantor: grantor, ctx: t.Context(), appliedView: control.NewView(),
		failover: failover.New(failover.DefaultConfig(), grantor), ownership: ownership.New(ownership.DefaultConfig()),
		hosts: map[table.HostID]table.Host{}, instances: map[table.InstanceID]table.Instance{},
		leftInstances: map[table.InstanceID]uint64{}, propose: func(control.Command) {},
	}
}

func numberedAnnouncement(id table.InstanceID, address string, born, sequence uint64) dbedge.Announcement {
	return dbedge.Announcement{Group: "g", Instance: id, Address: address, Role: "replica", Slots: 2, Born: born, Sequence: sequence}
}

// TestLateAnnouncements checks that announcements are ordered by the start of
// the instance and their sequence number, in whatever order they arrive, and
// that an address belongs to the instance that started there last.
func TestLateAnnouncements(t *testing.T) {
	l := newTestLeader(t)
	l.handleAnnouncement(1, numberedAnnouncement("i-1", "10.0.0.1:80", 100, 5))
	l.handleAnnouncement(2, numberedAnnouncement("i-1", "10.0.0.9:80", 100, 4))
	assert.Equal(t, l.instances["i-1"].Address, "10.0.0.1:80", "a delayed announcement was applied")
	l.handleAnnouncement(3, numberedAnnouncement("i-1", "10.0.0.2:80", 200, 1))
	assert.Equal(t, l.instances["i-1"].Address, "10.0.0.2:80", "an announcement after a restart was dropped")
	l.handleAnnouncement(4, numberedAnnouncement("i-1", "10.0.0.1:80", 100, 99))
	assert.Equal(t, l.instances["i-1"].Address, "10.0.0.2:80", "an announcement from before the restart was applied")

	l.handleAnnouncement(5, numberedAnnouncement("i-2", "10.0.0.2:80", 300, 1))
	assert.Assert(t, l.instances["i-1"].Left, "the instance was not marked left although another one uses its address")
	l.handleAnnouncement(6, numberedAnnouncement("i-1", "10.0.0.2:80", 200, 2))
	assert.Assert(t, l.instances["i-1"].Left)
	l.removeInstance("i-1")
	assert.Equal(t, len(l.instances), 1)

	l.handleAnnouncement(7, dbedge.Announcement{Group: "g", Instance: "i-2", Born: 300, Gone: true})
	assert.Assert(t, l.instances["i-2"].Left && l.instances["i-2"].Leaving, "the instance was removed or not marked left")
	l.handleAnnouncement(8, numberedAnnouncement("i-2", "10.0.0.2:80", 300, 7))
	assert.Assert(t, l.instances["i-2"].Left, "an announcement after the last one was applied")
	l.handleAnnouncement(9, numberedAnnouncement("i-2", "10.0.0.2:80", 400, 1))
	assert.Assert(t, !l.instances["i-2"].Left, "an announcement of a new start was dropped")
}

// TestStartWithoutLogIsRemembered guards against the loss of writes that only one
// replica confirmed: once it started again under its id, it must count as emptied,
// also for later announcements, until it was seen to hold what its primary held.
func TestStartWithoutLogIsRemembered(t *testing.T) {
	l := newTestLeader(t)
	l.handleAnnouncement(1, numberedAnnouncement("i-1", "10.0.0.1:80", 100, 5))
	assert.Assert(t, !l.instances["i-1"].Emptied)
	l.handleAnnouncement(2, numberedAnnouncement("i-1", "10.0.0.1:80", 200, 1))
	assert.Assert(t, l.instances["i-1"].Emptied, "the start is not marked")
	l.handleAnnouncement(3, numberedAnnouncement("i-1", "10.0.0.1:80", 200, 2))
	assert.Assert(t, l.instances["i-1"].Emptied, "the mark was lost with the next announcement")
	l.recordRefill("i-1", 100)
	assert.Assert(t, l.instances["i-1"].Emptied, "another start holds what the primary holds")
	l.recordRefill("i-1", 200)
	assert.Assert(t, !l.instances["i-1"].Emptied)
}

// TestUncommittedInstanceIsNotListed guards against the loss of a write that an owner
// acknowledged because of a replica that the next leader does not know.
func TestUncommittedInstanceIsNotListed(t *testing.T) {
	l := newTestLeader(t)
	l.uncommitted = map[table.InstanceID]bool{}
	state := control.NewState()
	l.appliedView = state.View()
	var proposed []control.Command
	l.propose = func(c control.Command) { proposed = append(proposed, c) }
	l.handleAnnouncement(1, numberedAnnouncement("i-1", "10.0.0.1:80", 100, 5))
	l.proposeNotes()
	assert.Equal(t, len(l.fullTables().Instances), 0)
	assert.Equal(t, len(l.tablesSince(tablesVersion{}).Instances), 0)

	assert.Equal(t, len(proposed), 1)
	l.handleAnnouncement(2, numberedAnnouncement("i-1", "10.0.0.1:80", 100, 6))
	l.proposeNotes()
	assert.Equal(t, len(proposed), 2, "a lost proposal must be repeated")
	before := l.tablesVersion
	state.Apply(proposed[1])
	l.updateSystems(3, state.View())
	assert.Equal(t, len(l.fullTables().Instances), 1)
	assert.Equal(t, len(l.tablesSince(before).Instances), 1, "hosts are not told of the change")
}

func TestMissingForRestartsOnceListed(t *testing.T) {
	u := unlistedSince{}
	assert.Equal(t, u.missingFor("i-1", false, time.Second), time.Duration(0))
	assert.Equal(t, u.missingFor("i-1", false, 4*time.Second), 3*time.Second)
	assert.Equal(t, u.missingFor("i-1", true, 5*time.Second), time.Duration(0))
	assert.Equal(t, u.missingFor("i-1", false, 9*time.Second), time.Duration(0), "the instance was listed in between")
}
