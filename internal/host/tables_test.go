package host

import (
	"cmp"
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

func tablesLeader(leadership uint64) *leader {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &leader{
		log: log, version: tablesVersion{Leadership: leadership, Number: 1}, recent: tableLog{forgotten: 1},
		hosts: map[table.HostID]table.Host{}, instances: map[table.InstanceID]table.Instance{},
	}
}

func (l *leader) setHost(h table.Host) {
	l.hosts[h.ID] = h
	l.hostChanged(h.ID)
}

func (l *leader) setInstance(in table.Instance) {
	l.instances[in.ID] = in
	l.instanceChanged(in.ID)
}

func (l *leader) all() tables {
	return tables{
		Version: l.version, Hosts: slices.Collect(maps.Values(l.hosts)), Instances: slices.Collect(maps.Values(l.instances)),
	}.sorted()
}

func (t tables) sorted() tables {
	t.Since = tablesVersion{}
	t.Hosts, t.Instances = slices.Clone(t.Hosts), slices.Clone(t.Instances)
	slices.SortFunc(t.Hosts, func(a, b table.Host) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(t.Instances, func(a, b table.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return t
}

// TestTablesFollow has a host that misses answers, takes some twice and sees
// leaders change: when it has caught up it has what the leader has.
func TestTablesFollow(t *testing.T) {
	const seed, steps = 7, 3000
	t.Log("seed", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	l := tablesLeader(1)
	var follower, earlier tables
	for step := range steps {
		switch n := random.IntN(50); {
		case n == 0:
			l.version = tablesVersion{Leadership: l.version.Leadership + 1, Number: 1}
			l.recent = tableLog{forgotten: 1}
		case n < 20:
			l.setHost(table.Host{ID: table.HostID(fmt.Sprint("h", random.IntN(9))), Incarnation: uint64(step)})
		case n < 40:
			l.setInstance(table.Instance{ID: table.InstanceID(fmt.Sprint("i", random.IntN(9))), Slots: step})
		default:
			answer := *l.tables(follower.Version)
			kept := follower
			if random.IntN(3) > 0 {
				follower, _ = follower.with(answer)
				assert.DeepEqual(t, follower.sorted(), l.all())
				again, _ := follower.with(answer)
				assert.DeepEqual(t, again.sorted(), follower.sorted())
			}
			_, connects := kept.with(earlier)
			assert.Assert(t, !connects || earlier.Since == tablesVersion{} || earlier.Since == kept.Version)
			earlier = answer
		}
	}
}

// TestTablesBringOnlyChanges counts entries.
func TestTablesBringOnlyChanges(t *testing.T) {
	l := tablesLeader(1)
	for n := range 1000 {
		l.setHost(table.Host{ID: table.HostID(fmt.Sprint("h", n))})
	}
	all, _ := tables{}.with(*l.tables(tablesVersion{}))
	assert.Equal(t, len(all.Hosts), 1000)
	l.setHost(table.Host{ID: "h7", Draining: true})
	l.setHost(table.Host{ID: "h7", State: table.HostDead})
	assert.Equal(t, len(l.tables(all.Version).Hosts), 1)
	for range 3 * tableChangesKept {
		l.setHost(table.Host{ID: "h8", Draining: true})
	}
	assert.Assert(t, len(l.recent.changes) <= 2*tableChangesKept)
	assert.Equal(t, len(l.tables(all.Version).Hosts), 1000, "what the leader does not remember comes whole")
}

// TestRebuildIsWhole compares the group views after changes one by one with
// those of a host that learns all at once.
func TestRebuildIsWhole(t *testing.T) {
	const seed, steps, groups, hosts = 11, 600, 5, 4
	t.Log("seed", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	now := time.Second
	l, state, d := tablesLeader(1), control.NewState(), newTestDirectory(&now)
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
			d.setTables(*l.tables(d.tables.Version))
		}
		if step%4 == 0 {
			d.setView(state.View())
		}
		whole := newTestDirectory(&now)
		whole.setView(d.view.Load())
		whole.setTables(d.tables)
		for g := range groups {
			name := table.GroupName(fmt.Sprint("g", g))
			assert.Equal(t, fmt.Sprintf("%+v", d.groups.Lookup(name)), fmt.Sprintf("%+v", whole.groups.Lookup(name)), "step %d", step)
		}
	}
}
