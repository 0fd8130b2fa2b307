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

// quietLeader is a leader whose commands go nowhere.
func quietLeader(t *testing.T) *leader {
	t.Helper()
	grantor := lease.NewGrantor(lease.DefaultConfig())
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return &leader{
		log: log, grantor: grantor, ctx: t.Context(), fed: control.NewView(),
		failover: failover.New(failover.DefaultConfig(), grantor), ownership: ownership.New(ownership.DefaultConfig()),
		hosts: map[table.HostID]table.Host{}, instances: map[table.InstanceID]table.Instance{},
		gone: map[table.InstanceID]uint64{}, propose: func(control.Command) {},
	}
}

func numbered(id table.InstanceID, address string, born, sequence uint64) dbedge.Announcement {
	return dbedge.Announcement{Group: "g", Instance: id, Address: address, Role: "replica", Slots: 2, Born: born, Sequence: sequence}
}

// Heartbeats are ordered by the start of their sender and their number, whenever
// they arrive; an address belongs to who started there last.
func TestLateAnnouncements(t *testing.T) {
	l := quietLeader(t)
	l.announced(1, numbered("i-1", "10.0.0.1:80", 100, 5))
	l.announced(2, numbered("i-1", "10.0.0.9:80", 100, 4))
	assert.Equal(t, l.instances["i-1"].Address, "10.0.0.1:80", "a delayed one")
	l.announced(3, numbered("i-1", "10.0.0.2:80", 200, 1))
	assert.Equal(t, l.instances["i-1"].Address, "10.0.0.2:80", "it has started again")
	l.announced(4, numbered("i-1", "10.0.0.1:80", 100, 99))
	assert.Equal(t, l.instances["i-1"].Address, "10.0.0.2:80", "from before its start")

	l.announced(5, numbered("i-2", "10.0.0.2:80", 300, 1))
	assert.Assert(t, l.instances["i-1"].Left, "another one lives there now")
	l.announced(6, numbered("i-1", "10.0.0.2:80", 200, 2))
	assert.Assert(t, l.instances["i-1"].Left)
	l.dismissed("i-1")
	assert.Equal(t, len(l.instances), 1)

	l.announced(7, dbedge.Announcement{Group: "g", Instance: "i-2", Born: 300, Gone: true})
	assert.Assert(t, l.instances["i-2"].Left && l.instances["i-2"].Leaving, "it counts until no write depends on it")
	l.announced(8, numbered("i-2", "10.0.0.2:80", 300, 7))
	assert.Assert(t, l.instances["i-2"].Left, "it has said that it goes")
	l.announced(9, numbered("i-2", "10.0.0.2:80", 400, 1))
	assert.Assert(t, !l.instances["i-2"].Left, "and came back")
}

func TestUnlistedInstancesAreGivenUp(t *testing.T) {
	u := unlistedSince{}
	assert.Equal(t, u.since("i-1", false, time.Second), time.Duration(0))
	assert.Equal(t, u.since("i-1", false, 4*time.Second), 3*time.Second)
	assert.Equal(t, u.since("i-1", true, 5*time.Second), time.Duration(0))
	assert.Equal(t, u.since("i-1", false, 9*time.Second), time.Duration(0), "it was listed in between")
}
