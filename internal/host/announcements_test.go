package host

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// FuzzAnnouncementOnItsWay guards against one announcement after which a heartbeat, a
// command of the replicated log, a snapshot or the tables cannot be read, so that hosts
// end again and again or stop following. Whatever values it has, all of these come back
// as they were sent, and the instance that announced itself before is not affected.
func FuzzAnnouncementOnItsWay(f *testing.F) {
	f.Add("i-2", "g", "10.0.0.2:80", "a", "primary", 3, 45, uint64(100), uint64(1), false)
	f.Add("i-2", "g", "10.0.0.2:99999", "a", "replica", 9_000_000_000_000_000_000, -1, uint64(1)<<63, ^uint64(0), false)
	f.Add("i\xff\x00\n", "\xff", "\n", "\x00", "\xff", -1, 1<<40, uint64(0), uint64(0), true)
	f.Add("i-1", "h", "10.0.0.1:80", "b", "replica", 1, 0, ^uint64(0), uint64(9), true)
	f.Add(strings.Repeat("i", 1000), "g", "10.0.0.2:80", "a", "replica", 3, 0, uint64(1), uint64(1), false)
	f.Fuzz(func(t *testing.T, id, group, address, domain, role string, slots, connections int, born, sequence uint64, gone bool) {
		hb := heartbeat{Announcements: []dbedge.Announcement{{
			Instance: table.InstanceID(id), Group: table.GroupName(group), Address: address, Domain: table.Domain(domain), Role: role,
			Slots: slots, Connections: connections, Born: born, Sequence: sequence, Gone: gone,
		}}}
		encoded, err := json.Marshal(hb)
		assert.NilError(t, err)
		var received heartbeat
		assert.NilError(t, json.Unmarshal(encoded, &received))

		l := newTestLeader(t)
		state := control.NewState()
		l.propose = func(c control.Command) {
			stored, err := json.Marshal(c)
			assert.NilError(t, err)
			var again control.Command
			assert.NilError(t, json.Unmarshal(stored, &again))
			assert.DeepEqual(t, again, c)
			state.Apply(again)
		}
		now := time.Duration(1)
		before := numberedAnnouncement("i-1", "10.0.0.1:80", 100, 5)
		l.handleAnnouncement(now, before)
		l.handleAnnouncement(now+1, received.Announcements[0])
		l.proposeNotes()

		snapshot, err := state.Snapshot()
		assert.NilError(t, err)
		restored := control.NewState()
		assert.NilError(t, restored.Restore(snapshot))
		assert.DeepEqual(t, restored.View().Instances, state.View().Instances)
		reply := l.encodeTables(l.fullTables())
		got, err := (&heartbeatReply{PackedTables: reply.packed}).receivedTables()
		assert.NilError(t, err)
		assert.Equal(t, len(got.Instances), len(l.instances))
		for _, in := range got.Instances {
			assert.Equal(t, in, l.instances[in.ID])
			a := announcementFromInstance(in)
			assert.NilError(t, a.Validate())
		}
		if id != "i-1" && address != before.Address {
			want := instanceFromAnnouncement(before)
			want.SeenAt = now
			assert.Equal(t, l.instances["i-1"], want)
		}
	})
}
