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
	return dbedge.Announcement{
		Group: "g", Instance: id, Address: address, Domain: "a", Role: "replica", Slots: 2, Born: born, Sequence: sequence,
	}
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

// An announcement that no instance sends must not reach the tables, even if the host
// that received it let it pass: the group would wait for the positions of an instance
// that is not there, and true announcements would count as late.
func TestUnusableAnnouncementsAreDropped(t *testing.T) {
	l := newTestLeader(t)
	var commands []control.Command
	l.propose = func(c control.Command) { commands = append(commands, c) }
	l.handleAnnouncement(1, numberedAnnouncement("i-1", "10.0.0.1:80", 100, 5))
	for name, change := range map[string]func(*dbedge.Announcement){
		"port out of range":          func(a *dbedge.Announcement) { a.Instance, a.Address = "stray", "10.0.0.2:99999" },
		"id of two words":            func(a *dbedge.Announcement) { a.Instance = "i 2" },
		"slots too large":            func(a *dbedge.Announcement) { a.Slots = 9e18 },
		"start too large":            func(a *dbedge.Announcement) { a.Born = 1 << 63 },
		"sequence too large":         func(a *dbedge.Announcement) { a.Sequence = 1 << 63 },
		"another group":              func(a *dbedge.Announcement) { a.Group = "h" },
		"no numbers":                 func(a *dbedge.Announcement) { a.Born, a.Sequence = 0, 0 },
		"last one without a start":   func(a *dbedge.Announcement) { a.Born, a.Sequence, a.Gone = 0, 0, true },
		"last one of another group":  func(a *dbedge.Announcement) { a.Group, a.Gone = "h", true },
		"last one with a late start": func(a *dbedge.Announcement) { a.Born, a.Gone = 1<<63, true },
	} {
		a := numberedAnnouncement("i-1", "10.0.0.1:80", 100, 6)
		change(&a)
		l.handleAnnouncement(2, a)
		assert.Equal(t, len(l.instances), 1, name)
		in := l.instances["i-1"]
		assert.Assert(t, in.Slots == 2 && in.Born == 100 && in.Sequence == 5 && in.Group == "g" && !in.Left, "%s: %+v", name, in)
	}
	l.handleAnnouncement(3, numberedAnnouncement("i-1", "10.0.0.1:80", 100, 7))
	assert.Equal(t, l.instances["i-1"].Sequence, uint64(7), "the next announcement counts as late")
	l.proposeNotes()
	assert.Assert(t, len(commands) > 0)
	for _, c := range commands { // repeated until one is committed, which no command is here
		for _, in := range c.NoteInstances.Known {
			want := instanceFromAnnouncement(numberedAnnouncement("i-1", "10.0.0.1:80", 100, 0))
			assert.Equal(t, in, want, "an unusable entry was stored")
		}
	}
}

// An instance that said that it is leaving may send its last announcement without its
// start; see TestUnusableAnnouncementsAreDropped for all others.
func TestLastAnnouncementOfLeavingInstance(t *testing.T) {
	l := newTestLeader(t)
	leaving := numberedAnnouncement("i-1", "10.0.0.1:80", 100, 5)
	leaving.Leaving = true
	l.handleAnnouncement(1, leaving)
	l.handleAnnouncement(2, dbedge.Announcement{Instance: "i-1", Leaving: true, Gone: true})
	assert.Assert(t, l.instances["i-1"].Left)
}

// An unusable instance in the control state or in the tables of an earlier leader must
// not come back with each new leader.
func TestUnusableInstancesAreNotRestored(t *testing.T) {
	l := newTestLeader(t)
	var commands []control.Command
	l.propose = func(c control.Command) { commands = append(commands, c) }
	good := instanceFromAnnouncement(numberedAnnouncement("i-1", "10.0.0.1:80", 100, 5))
	stored, fromTables := good, good
	stored.ID, stored.Address = "stray-1", "10.0.0.2:99999"
	fromTables.ID, fromTables.Slots = "stray-2", 9e18
	view := control.NewView()
	view.Instances = map[table.InstanceID]table.Instance{good.ID: good, stored.ID: stored}
	l.instances[fromTables.ID] = fromTables
	l.restoreInstances(1, view)
	assert.Equal(t, len(l.instances), 1)
	assert.Equal(t, len(commands), 1)
	assert.DeepEqual(t, commands[0].NoteInstances.Gone, []table.InstanceID{"stray-1", "stray-2"})
}

// An announcement of an unknown sender with numbers that an instance may have, but that are ahead
// of it, must not make the announcements of the instance count as late for ever: the
// group would do without it, or without a primary.
func TestInstanceOutlivesNumbersAheadOfIt(t *testing.T) {
	for name, ahead := range map[string]dbedge.Announcement{
		"start":    numberedAnnouncement("i-1", "10.0.0.9:80", 200, 1),
		"sequence": numberedAnnouncement("i-1", "10.0.0.9:80", 100, 1<<39),
	} {
		l := newTestLeader(t)
		now, sequence := time.Duration(0), uint64(0)
		announce := func() {
			sequence++
			l.handleAnnouncement(now, numberedAnnouncement("i-1", "10.0.0.1:80", 100, sequence))
			now += time.Second
		}
		announce()
		l.handleAnnouncement(now, ahead)
		for range 20 {
			announce()
		}
		assert.Equal(t, l.instances["i-1"].Address, "10.0.0.1:80", name)
		assert.Equal(t, l.instances["i-1"].Sequence, sequence, name)
		assert.Assert(t, !l.instances["i-1"].Emptied, "%s: the instance counts as one that lost its log", name)
	}
}

// Late announcements of an earlier start must not displace a later one, even if many
// arrive: while the later start announces itself, when they arrive at once, or after its
// last announcement.
func TestLateAnnouncementsInNumbers(t *testing.T) {
	arrive := func(l *leader, step time.Duration, between func(now time.Duration)) {
		now := 2 * time.Second
		for n := range uint64(100) {
			l.handleAnnouncement(now, numberedAnnouncement("i-1", "10.0.0.1:80", 100, 10+n))
			between(now)
			now += step
		}
		assert.Equal(t, l.instances["i-1"].Born, uint64(200))
	}
	start := func() *leader {
		l := newTestLeader(t)
		l.handleAnnouncement(1, numberedAnnouncement("i-1", "10.0.0.1:80", 100, 5))
		l.handleAnnouncement(2, numberedAnnouncement("i-1", "10.0.0.2:80", 200, 1))
		return l
	}
	l := start()
	sequence := uint64(1)
	arrive(l, time.Second, func(now time.Duration) {
		sequence++
		l.handleAnnouncement(now, numberedAnnouncement("i-1", "10.0.0.2:80", 200, sequence))
	})
	arrive(start(), time.Millisecond, func(time.Duration) {})
	l = start()
	l.handleAnnouncement(3, dbedge.Announcement{Instance: "i-1", Born: 200, Gone: true})
	arrive(l, time.Second, func(time.Duration) {})

	// Of the same start, however slowly they arrive.
	l = start()
	leaving := numberedAnnouncement("i-1", "10.0.0.2:80", 200, 200)
	leaving.Leaving = true
	l.handleAnnouncement(3, leaving)
	for n := range uint64(50) {
		l.handleAnnouncement(time.Duration(n+1)*time.Second, numberedAnnouncement("i-1", "10.0.0.2:80", 200, 150+n))
	}
	assert.Assert(t, l.instances["i-1"].Leaving)

	// The same announcement again and again, as a link may repeat it, continues nothing.
	l = start()
	for now := 2 * time.Second; now < time.Minute; now += time.Second {
		l.handleAnnouncement(now, numberedAnnouncement("i-1", "10.0.0.1:80", 100, 10))
	}
	assert.Equal(t, l.instances["i-1"].Born, uint64(200))
}

// An entry that moves an instance to an address that a later start then takes must not
// mark the instance, which runs elsewhere, as left for ever, also if it was removed
// meanwhile. An instance that made its last announcement at its address does not return.
func TestInstanceReturnsFromAddressThatItNeverHad(t *testing.T) {
	for _, removed := range []bool{false, true} {
		checkReturn(t, removed)
	}
}

func checkReturn(t *testing.T, removed bool) {
	t.Helper()
	l := newTestLeader(t)
	l.handleAnnouncement(1, numberedAnnouncement("i-2", "10.0.0.2:80", 100, 5))
	l.handleAnnouncement(2, numberedAnnouncement("i-2", "10.0.0.9:80", 100, 1<<32))
	l.handleAnnouncement(3, numberedAnnouncement("i-1", "10.0.0.9:80", 200, 1))
	assert.Assert(t, l.instances["i-2"].Left)
	if removed {
		l.removeInstance("i-2")
	}
	for n := range uint64(10) {
		l.handleAnnouncement(time.Duration(n+1)*time.Second, numberedAnnouncement("i-2", "10.0.0.2:80", 100, 6+n))
	}
	in := l.instances["i-2"]
	assert.Assert(t, !in.Left && in.Address == "10.0.0.2:80" && in.Sequence == 15, "%+v", in)

	l.handleAnnouncement(20*time.Second, dbedge.Announcement{Instance: "i-2", Born: 100, Gone: true})
	for n := range uint64(10) {
		l.handleAnnouncement(time.Duration(n+21)*time.Second, numberedAnnouncement("i-2", "10.0.0.2:80", 100, 16+n))
	}
	assert.Assert(t, l.instances["i-2"].Left)
}
