package edgetest

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// AnnouncerFixture is the Announcer under test, which knows one group.
type AnnouncerFixture struct {
	Announcer dbedge.Announcer
	// Group is the known group. Its term is at least 2.
	Group table.GroupName
	// Accepted returns the last accepted announcement of an instance, if any.
	Accepted func(table.InstanceID) (dbedge.Announcement, bool)
}

// RunAnnouncer runs the contract test of Announcer.
func RunAnnouncer(t *testing.T, f *AnnouncerFixture) {
	const term = 2
	valid := dbedge.Announcement{
		Group: f.Group, Instance: "announced", Address: "127.0.0.1:5432", Domain: "coventry",
		Role: "replica", Term: term, Position: 7, Slots: 3, Connections: 45,
	}
	t.Run("accepted repeatedly", func(t *testing.T) {
		for range 2 {
			reply, err := f.Announcer.Announce(t.Context(), valid)
			assert.NilError(t, err)
			assert.Assert(t, reply.IntervalMillis > 0, "the reply must tell the instance when to announce itself again")
		}
		got, ok := f.Accepted("announced")
		assert.Assert(t, ok)
		assert.DeepEqual(t, got, valid)
	})
	t.Run("leaving", func(t *testing.T) {
		leaving := valid
		leaving.Leaving = true
		_, err := f.Announcer.Announce(t.Context(), leaving)
		assert.NilError(t, err)
		got, _ := f.Accepted("announced")
		assert.Assert(t, got.Leaving)
	})
	t.Run("an unknown group", func(t *testing.T) {
		unknown := valid
		unknown.Group, unknown.Instance = "unknown-group", "unknown-instance"
		_, err := f.Announcer.Announce(t.Context(), unknown)
		assert.Assert(t, err != nil)
		_, ok := f.Accepted("unknown-instance")
		assert.Assert(t, !ok, "the announcement was accepted")
	})
	t.Run("a primary of a stale term", func(t *testing.T) {
		stale := valid
		stale.Instance, stale.Role, stale.Term = "stale", "primary", term-1
		_, err := f.Announcer.Announce(t.Context(), stale)
		assert.Assert(t, err != nil)
	})
	t.Run("a cancelled context", func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		stop()
		_, _ = f.Announcer.Announce(ctx, valid) // must return; the result may be either
	})
}
