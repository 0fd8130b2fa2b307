package host

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/owner"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

func newTestDirectory(now *time.Duration) *directory {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return newDirectory("h1", func() time.Duration { return *now }, log)
}

func tablesWithHosts(ids ...table.HostID) tables {
	var t tables
	for _, id := range ids {
		t.Hosts = append(t.Hosts, table.Host{ID: id, PeerAddress: "127.0.0.1:1"})
	}
	return t
}

// TestLinkIsKeptWhileItsHostIsUnlisted guards against cutting in-flight requests
// to a host that is missing from the tables only because a new leader has not
// received its heartbeat yet.
func TestLinkIsKeptWhileItsHostIsUnlisted(t *testing.T) {
	now := time.Second
	d := newTestDirectory(&now)
	d.setTables(tablesWithHosts("h1", "h2"))
	before, ok := d.Executor("h2")
	assert.Assert(t, ok)
	d.setTables(tablesWithHosts("h1"))
	now += unlistedLinkTTL
	d.setTables(tablesWithHosts("h1", "h2"))
	after, ok := d.Executor("h2")
	assert.Assert(t, ok && before == after, "the link was replaced while its host was unlisted")
	d.setTables(tablesWithHosts("h1"))
	now += unlistedLinkTTL + 1
	d.setTables(tablesWithHosts("h1"))
	_, ok = d.Executor("h2")
	assert.Assert(t, !ok, "the link is kept after unlistedLinkTTL")
}

// viewAt returns a control state with one group and the given owners.
func viewAt(revision uint64, g table.Group, owners ...table.Ownership) *control.View {
	v := control.NewView()
	v.Revision = revision
	v.Groups = map[table.GroupName]table.Group{g.Name: g}
	v.Owners = map[table.InstanceID]table.Ownership{}
	for _, o := range owners {
		v.Owners[o.Instance] = o
	}
	return v
}

func TestMayAcknowledge(t *testing.T) {
	stable := table.Group{Name: "g", Term: 3, Primary: "g-1", Phase: table.PhaseStable}
	promoting := stable
	promoting.Phase = table.PhasePromoting
	other := stable
	other.Primary = "g-2"
	owned := table.Ownership{Instance: "g-1", Host: "h1", Epoch: 1}
	for _, c := range []struct {
		name  string
		group table.Group
		owner table.Ownership
		term  table.Term
		after time.Duration // since the renewal
		ok    bool
	}{
		{"all conditions are met", stable, owned, 3, 0, true},
		{"an old term", stable, owned, 2, 0, false},
		{"a term that has not begun", stable, owned, 4, 0, false},
		{"another primary is being promoted", promoting, owned, 3, 0, false},
		{"another instance is the primary", other, owned, 3, 0, false},
		{"another host owns it", stable, table.Ownership{Instance: "g-1", Host: "h2", Epoch: 2}, 3, 0, false},
		{"the lease ran out", stable, owned, 3, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Second
			d := newTestDirectory(&now)
			d.setView(viewAt(1, c.group, c.owner))
			d.renewLease(now, time.Second)
			now += c.after
			err := d.MayAcknowledge("g", "g-1", c.term)
			assert.Equal(t, err == nil, c.ok, "%v", err)
		})
	}
}

func TestSetViewIgnoresOlderRevisions(t *testing.T) {
	now := time.Second
	d := newTestDirectory(&now)
	d.setView(viewAt(5, table.Group{Name: "g", Term: 5}))
	d.setView(viewAt(4, table.Group{Name: "g", Term: 4}))
	term, _ := d.Term("g", "g-1")
	assert.Equal(t, term, table.Term(5))
}

func TestWriteOutcome(t *testing.T) {
	now := time.Second
	d := newTestDirectory(&now)
	g := table.Group{Name: "g", Term: 2, Phase: table.PhaseStable}
	g.History.Add(1, 0)
	g.History.Add(2, 10)
	d.setView(viewAt(1, g))
	assert.Equal(t, d.WriteOutcome("g", table.Mark{Term: 1, Position: 10}), owner.OutcomeKept)
	assert.Equal(t, d.WriteOutcome("g", table.Mark{Term: 1, Position: 11}), owner.OutcomeLost)
	assert.Equal(t, d.WriteOutcome("g", table.Mark{Term: 2, Position: 11}), owner.OutcomePending, "the term has not ended")
	g.Phase = table.PhasePromoting
	d.setView(viewAt(2, g))
	assert.Equal(t, d.WriteOutcome("g", table.Mark{Term: 1, Position: 10}), owner.OutcomePending, "no primary yet")
}
