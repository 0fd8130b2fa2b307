package stmtedge_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/dbedge/stmtedge"
	"github.com/amaranthweir/amaranthweir/internal/stmt/stmttest"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/standin/typed"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// direct asks the group itself for promotions.
type direct struct{ group *typed.Group }

func (d direct) RequestPromotion(_ context.Context, p dbedge.Promotion) error {
	return d.group.Promote(p.Instance)
}

type fixture struct {
	group            *typed.Group
	edge             *stmtedge.Edge
	primary, replica dbedge.Target
	instances        [2]*typed.Instance
}

func start(t *testing.T) *fixture {
	t.Helper()
	g := typed.NewGroup("g", stmttest.Codec{})
	t.Cleanup(g.Close)
	f := &fixture{group: g, edge: stmtedge.New(stmttest.Codec{}, direct{g})}
	t.Cleanup(f.edge.Close)
	targets := [2]*dbedge.Target{&f.primary, &f.replica}
	for n, id := range []table.InstanceID{"g-1", "g-2"} {
		in, err := g.Add(id, "127.0.0.1:0")
		assert.NilError(t, err)
		f.instances[n] = in
		*targets[n] = dbedge.Target{Group: "g", Instance: id, Address: in.Address}
	}
	return f
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, stop := context.WithTimeout(t.Context(), d)
	t.Cleanup(stop)
	return ctx
}

const patience = 10 * time.Second

func TestProbe(t *testing.T) {
	f := start(t)
	for target, role := range map[dbedge.Target]table.Role{f.primary: table.RolePrimary, f.replica: table.RoleReplica} {
		st, err := f.edge.Probe(within(t, patience), target)
		assert.NilError(t, err)
		assert.Equal(t, st.Role, role)
	}
	other := f.primary
	other.Instance = "g-9"
	_, err := f.edge.Probe(within(t, patience), other)
	assert.Assert(t, err != nil, "another instance lives at the address")
}

func TestProbeOfASilentInstanceEndsWithItsContext(t *testing.T) {
	f := start(t)
	_, err := f.edge.Probe(within(t, patience), f.primary)
	assert.NilError(t, err)
	f.instances[0].Silence(true)
	_, err = f.edge.Probe(within(t, 30*time.Millisecond), f.primary)
	assert.Assert(t, err != nil)
	f.instances[0].Silence(false)
	_, err = f.edge.Probe(within(t, patience), f.primary)
	assert.NilError(t, err)
}

// An instance that has no room for the question lives.
func TestProbeOfABusyInstance(t *testing.T) {
	f := start(t)
	f.instances[0].RefuseBusy(1)
	_, err := f.edge.Probe(within(t, patience), f.primary)
	assert.Assert(t, errors.Is(err, dbedge.ErrBusy), "%v", err)
	_, err = f.edge.Probe(within(t, patience), f.primary)
	assert.NilError(t, err)
}

func TestPromoteAndFence(t *testing.T) {
	f := start(t)
	st, err := f.edge.Promote(within(t, patience), dbedge.Promotion{Target: f.replica, Term: 7})
	assert.NilError(t, err)
	assert.Equal(t, st.Role, table.RolePrimary)
	assert.Equal(t, st.Mark.Term, table.Term(2), "the platform numbers the terms")
	again, err := f.edge.Promote(within(t, patience), dbedge.Promotion{Target: f.replica, Term: 7})
	assert.NilError(t, err)
	assert.DeepEqual(t, again, st)
	assert.Equal(t, f.instances[0].Role(), table.RolePrimary, "nobody told it")
	assert.NilError(t, f.edge.Fence(within(t, patience), f.primary, 2, 0))
	assert.Equal(t, f.instances[0].Role(), table.RoleReplica)
	assert.NilError(t, f.edge.Fence(within(t, patience), f.replica, 2, 0))
	assert.Equal(t, f.instances[1].Role(), table.RolePrimary, "its term is not over")
}

func TestPromotionOfAnInstanceThatIsDown(t *testing.T) {
	f := start(t)
	f.instances[1].Kill()
	_, err := f.edge.Promote(within(t, patience), dbedge.Promotion{Target: f.replica})
	assert.Assert(t, err != nil)
}

func TestHoldAndResume(t *testing.T) {
	f := start(t)
	st, err := f.edge.Hold(within(t, patience), f.replica, 2)
	assert.NilError(t, err)
	assert.Equal(t, st.Held, table.Term(2))
	assert.NilError(t, f.edge.Resume(within(t, patience), f.replica))
	st, err = f.edge.Probe(within(t, patience), f.replica)
	assert.NilError(t, err)
	assert.Equal(t, st.Held, table.Term(0))
}
