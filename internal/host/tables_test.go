package host

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

func newTablesLeader(leadership uint64) *leader {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &leader{
		log: log, tablesVersion: tablesVersion{Leadership: leadership, Number: 1}, changeLog: tableLog{truncatedThrough: 1},
		hosts: map[table.HostID]table.Host{}, instances: map[table.InstanceID]table.Instance{},
	}
}

func (l *leader) setHost(h table.Host) {
	l.hosts[h.ID] = h
	l.recordHostChange(h.ID)
}

func (l *leader) setInstance(in table.Instance) {
	l.instances[in.ID] = in
	l.recordInstanceChange(in.ID)
}

func (l *leader) allTables() tables {
	return tables{
		Version: l.tablesVersion, Hosts: slices.Collect(maps.Values(l.hosts)), Instances: slices.Collect(maps.Values(l.instances)),
	}.sorted()
}

func (t tables) sorted() tables {
	t.Since = tablesVersion{}
	t.Hosts, t.Instances = slices.Clone(t.Hosts), slices.Clone(t.Instances)
	slices.SortFunc(t.Hosts, func(a, b table.Host) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(t.Instances, func(a, b table.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return t
}

// TestTablesConverge checks that a host that loses replies, applies some twice
// and sees the leader change has the leader's tables once it has applied the
// latest reply.
func TestTablesConverge(t *testing.T) {
	const seed, steps = 7, 3000
	t.Log("seed", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	l := newTablesLeader(1)
	var follower, earlier tables
	for step := range steps {
		switch n := random.IntN(50); {
		case n == 0:
			l.tablesVersion = tablesVersion{Leadership: l.tablesVersion.Leadership + 1, Number: 1}
			l.changeLog = tableLog{truncatedThrough: 1}
		case n < 20:
			l.setHost(table.Host{ID: table.HostID(fmt.Sprint("h", random.IntN(9))), Incarnation: uint64(step)})
		case n < 40:
			l.setInstance(table.Instance{ID: table.InstanceID(fmt.Sprint("i", random.IntN(9))), Slots: step})
		default:
			answer := *l.tablesSince(follower.Version)
			kept := follower
			if random.IntN(3) > 0 {
				follower, _ = follower.merge(answer)
				assert.DeepEqual(t, follower.sorted(), l.allTables())
				again, _ := follower.merge(answer)
				assert.DeepEqual(t, again.sorted(), follower.sorted())
			}
			_, merged := kept.merge(earlier)
			assert.Assert(t, !merged || earlier.Since == tablesVersion{} || earlier.Since == kept.Version)
			earlier = answer
		}
	}
}

// TestTablesSendOnlyChanges checks that a host gets only changed entries, and the
// full tables once the leader has truncated the changes that the host lacks.
func TestTablesSendOnlyChanges(t *testing.T) {
	l := newTablesLeader(1)
	for n := range 1000 {
		l.setHost(table.Host{ID: table.HostID(fmt.Sprint("h", n))})
	}
	all, _ := tables{}.merge(*l.tablesSince(tablesVersion{}))
	assert.Equal(t, len(all.Hosts), 1000)
	l.setHost(table.Host{ID: "h7", Draining: true})
	l.setHost(table.Host{ID: "h7", State: table.HostDead})
	assert.Equal(t, len(l.tablesSince(all.Version).Hosts), 1)
	for range 3 * tableChangesKept {
		l.setHost(table.Host{ID: "h8", Draining: true})
	}
	assert.Assert(t, len(l.changeLog.changes) <= 2*tableChangesKept)
	assert.Equal(t, len(l.tablesSince(all.Version).Hosts), 1000, "expected the full tables after truncation")
}

// TestIncrementalRebuildMatchesFullRebuild compares the group views of a host
// that receives changes one by one with those of a host that receives the whole
// state at once. They differ if an update misses an affected group.
func TestIncrementalRebuildMatchesFullRebuild(t *testing.T) {
	const seed, steps, groups, hosts = 11, 600, 5, 4
	t.Log("seed", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	now := time.Second
	l, state, d := newTablesLeader(1), control.NewState(), newTestDirectory(&now)
	terms, epochs := map[int]table.Term{}, map[string]table.Epoch{}
	for step := range steps {
		g, h := random.IntN(groups), table.HostID(fmt.Sprint("h", random.IntN(hosts)))
		group, id := table.GroupName(fmt.Sprint("g", g)), fmt.Sprintf("g%d-%d", g, random.IntN(3))
		switch random.IntN(4) {
		case 0:
			l.setHost(table.Host{ID: h, State: table.HostState(random.IntN(3))})
		case 1:
			l.setInstance(table.Instance{ID: table.InstanceID(id), Group: group, Leaving: random.IntN(2) == 0})
		case 2:
			terms[g]++
			state.Apply(control.Command{BeginTerm: &control.BeginTerm{Group: group, Term: terms[g], Candidate: table.InstanceID(id)}})
			state.Apply(control.Command{SetPrimary: &control.SetPrimary{Group: group, Term: terms[g], Primary: table.InstanceID(id)}})
		default:
			epochs[id]++
			o := table.Ownership{Instance: table.InstanceID(id), Host: h, Epoch: epochs[id]}
			state.Apply(control.Command{AssignOwners: &control.AssignOwners{Ownerships: []table.Ownership{o}}})
		}
		if step%3 > 0 {
			d.setTables(*l.tablesSince(d.tables.Version))
		}
		if step%4 == 0 {
			d.setView(state.View())
		}
		rebuilt := newTestDirectory(&now)
		rebuilt.setView(d.view.Load())
		rebuilt.setTables(d.tables)
		for g := range groups {
			name := table.GroupName(fmt.Sprint("g", g))
			assert.Equal(t, fmt.Sprintf("%+v", d.groups.Lookup(name)), fmt.Sprintf("%+v", rebuilt.groups.Lookup(name)), "step %d", step)
		}
	}
}

// After a change of leader every host needs the full tables at once. Unpacked, those
// of 300 hosts took a quarter of a second on a link of 2 Mbit/s, in which callers
// waited. A host of an earlier version gets them unpacked.
func TestFullTablesArePacked(t *testing.T) {
	l := newTablesLeader(2)
	for i := range 300 {
		id := table.HostID(fmt.Sprintf("10.%d.0.%d", 1+i%6, i))
		l.setHost(table.Host{ID: id, Domain: table.Domain(fmt.Sprint("domain-", i%6)), PeerAddress: string(id) + ":7160", Incarnation: uint64(1770000000000000000 + i*1234567)})
	}
	for i := range 60 {
		l.setInstance(table.Instance{ID: table.InstanceID(fmt.Sprintf("i-%010x", i*7919)), Group: table.GroupName(fmt.Sprint("group", i%20)), Address: fmt.Sprintf("10.1.64.%d:8008", i)})
	}
	have := tablesVersion{Leadership: 1, Number: 900}
	var packed, plain heartbeatReply
	l.addTables(&heartbeat{Tables: have, Unpacks: true}, &packed)
	l.addTables(&heartbeat{Tables: have}, &plain)
	assert.Assert(t, packed.Tables == nil && plain.PackedTables == nil)
	unpacked, err := json.Marshal(plain)
	assert.NilError(t, err)
	assert.Assert(t, len(packed.PackedTables) < len(unpacked)/4, "%d of %d bytes", len(packed.PackedTables), len(unpacked))
	for _, reply := range []heartbeatReply{packed, plain} {
		encoded, err := json.Marshal(reply)
		assert.NilError(t, err)
		var received heartbeatReply
		assert.NilError(t, json.Unmarshal(encoded, &received))
		got, err := received.receivedTables()
		assert.NilError(t, err)
		assert.DeepEqual(t, got.sorted(), l.allTables())
	}
	l.setHost(table.Host{ID: "new"})
	var next heartbeatReply
	l.addTables(&heartbeat{Tables: have, Unpacks: true}, &next)
	got, err := next.receivedTables()
	assert.NilError(t, err)
	assert.DeepEqual(t, got.sorted(), l.allTables())
	_, err = (&heartbeatReply{PackedTables: []byte("damaged")}).receivedTables()
	assert.Assert(t, err != nil)
}
