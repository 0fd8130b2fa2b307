package edgetest

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// AnnouncerFixture is an Announcer that knows one group.
type AnnouncerFixture struct {
	Announcer dbedge.Announcer
	// Group is known and in a term of at least 2.
	Group table.GroupName
	// Accepted returns what was taken so far of an instance.
	Accepted func(table.InstanceID) (dbedge.Announcement, bool)
}

// RunAnnouncer puts an implementation of Announcer through its contract.
func RunAnnouncer(t *testing.T, f *AnnouncerFixture) {
	const term = 2
	good := dbedge.Announcement{
		Group: f.Group, Instance: "announced", Address: "127.0.0.1:5432", Domain: "coventry",
		Role: "replica", Term: term, Position: 7, Slots: 3, Connections: 45,
	}
	t.Run("taken, and again", func(t *testing.T) {
		for range 2 {
			reply, err := f.Announcer.Announce(t.Context(), good)
			assert.NilError(t, err)
			assert.Assert(t, reply.IntervalMillis > 0, "the instance must hear when to come again")
		}
		got, ok := f.Accepted("announced")
		assert.Assert(t, ok)
		assert.DeepEqual(t, got, good)
	})
	t.Run("leaving", func(t *testing.T) {
		leaving := good
		leaving.Leaving = true
		_, err := f.Announcer.Announce(t.Context(), leaving)
		assert.NilError(t, err)
		got, _ := f.Accepted("announced")
		assert.Assert(t, got.Leaving)
	})
	t.Run("a foreign group", func(t *testing.T) {
		foreign := good
		foreign.Group, foreign.Instance = "nobody-knows", "foreign"
		_, err := f.Announcer.Announce(t.Context(), foreign)
		assert.Assert(t, err != nil)
		_, ok := f.Accepted("foreign")
		assert.Assert(t, !ok, "it was taken all the same")
	})
	t.Run("a primary of a term that is over", func(t *testing.T) {
		old := good
		old.Instance, old.Role, old.Term = "old", "primary", term-1
		_, err := f.Announcer.Announce(t.Context(), old)
		assert.Assert(t, err != nil)
	})
	t.Run("a context that has ended", func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		stop()
		_, _ = f.Announcer.Announce(ctx, good) // returns
	})
}
