package typededge_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/dbedge/typededge"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/typedproto/typedtest"
	"github.com/amaranthweir/amaranthweir/standin/typed"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// groupRequester is a Requester that promotes instances of a stand-in group
// directly.
type groupRequester struct{ group *typed.Group }

func (r groupRequester) RequestPromotion(_ context.Context, p dbedge.Promotion) error {
	return r.group.Promote(p.Instance)
}

// fixture is a group with a primary (instance 0) and a replica (instance 1), and
// the Client under test.
type fixture struct {
	group            *typed.Group
	client           *typededge.Client
	primary, replica dbedge.Target
	instances        [2]*typed.Instance
}

func start(t *testing.T) *fixture {
	t.Helper()
	g := typed.NewGroup("g", typedtest.Codec{})
	t.Cleanup(g.Close)
	f := &fixture{group: g, client: typededge.New(typedtest.Codec{}, groupRequester{g})}
	t.Cleanup(f.client.Close)
	targets := [2]*dbedge.Target{&f.primary, &f.replica}
	for n, id := range []table.InstanceID{"g-1", "g-2"} {
		in, err := g.Add(id, "127.0.0.1:0")
		assert.NilError(t, err)
		f.instances[n] = in
		*targets[n] = dbedge.Target{Group: "g", Instance: id, Address: in.Address}
	}
	return f
}

// within returns a context that ends after d.
func within(t *testing.T, d time.Duration) context.Context {
	ctx, stop := context.WithTimeout(t.Context(), d)
	t.Cleanup(stop)
	return ctx
}

// callTimeout bounds calls that are expected to be answered.
const callTimeout = 10 * time.Second

// A probe returns the role of the instance, and fails if another instance listens at
// the address.
func TestProbe(t *testing.T) {
	f := start(t)
	for target, role := range map[dbedge.Target]table.Role{f.primary: table.RolePrimary, f.replica: table.RoleReplica} {
		st, err := f.client.Probe(within(t, callTimeout), target)
		assert.NilError(t, err)
		assert.Equal(t, st.Role, role)
	}
	other := f.primary
	other.Instance = "g-9"
	_, err := f.client.Probe(within(t, callTimeout), other)
	assert.Assert(t, err != nil, "another instance has the address")
}

// A probe of an instance that does not answer ends with its context. Later probes do
// not depend on the connection that received no answer.
func TestProbeOfSilentInstanceTimesOut(t *testing.T) {
	f := start(t)
	_, err := f.client.Probe(within(t, callTimeout), f.primary)
	assert.NilError(t, err)
	f.instances[0].Silence(true)
	_, err = f.client.Probe(within(t, 30*time.Millisecond), f.primary)
	assert.Assert(t, err != nil)
	f.instances[0].Silence(false)
	_, err = f.client.Probe(within(t, callTimeout), f.primary)
	assert.NilError(t, err)
}

// TestProbeTellsStartsApart guards against positions that are taken for those of an
// earlier start of the instance. Probes over one connection state the same time, and
// a probe after the connection broke states a later one.
func TestProbeTellsStartsApart(t *testing.T) {
	f := start(t)
	probe := func() time.Time {
		st, err := f.client.Probe(within(t, callTimeout), f.replica)
		assert.NilError(t, err)
		return st.ConnectedAt
	}
	first := probe()
	assert.Assert(t, !first.IsZero())
	assert.Equal(t, probe(), first)
	f.client.Close()
	assert.Assert(t, probe().After(first))
}

// A probe of a busy instance returns ErrBusy, which shows that the instance is
// alive.
func TestProbeOfBusyInstance(t *testing.T) {
	f := start(t)
	f.instances[0].RefuseBusy(1)
	_, err := f.client.Probe(within(t, callTimeout), f.primary)
	assert.Assert(t, errors.Is(err, dbedge.ErrBusy), "%v", err)
	_, err = f.client.Probe(within(t, callTimeout), f.primary)
	assert.NilError(t, err)
}

// Promote is idempotent, and Fence affects only the primary of an older term.
func TestPromoteAndFence(t *testing.T) {
	f := start(t)
	st, err := f.client.Promote(within(t, callTimeout), dbedge.Promotion{Target: f.replica, Term: 7})
	assert.NilError(t, err)
	assert.Equal(t, st.Role, table.RolePrimary)
	assert.Equal(t, st.Mark.Term, table.Term(2), "the platform assigns the term")
	again, err := f.client.Promote(within(t, callTimeout), dbedge.Promotion{Target: f.replica, Term: 7})
	assert.NilError(t, err)
	assert.DeepEqual(t, again, st)
	assert.Equal(t, f.instances[0].Role(), table.RolePrimary, "the old primary has not been informed")
	assert.NilError(t, f.client.Fence(within(t, callTimeout), f.primary, 2, 0))
	assert.Equal(t, f.instances[0].Role(), table.RoleReplica)
	assert.NilError(t, f.client.Fence(within(t, callTimeout), f.replica, 2, 0))
	assert.Equal(t, f.instances[1].Role(), table.RolePrimary, "its term is not stale")
}

func TestPromoteFailsIfInstanceIsDown(t *testing.T) {
	f := start(t)
	f.instances[1].Kill()
	_, err := f.client.Promote(within(t, callTimeout), dbedge.Promotion{Target: f.replica})
	assert.Assert(t, err != nil)
}

// Hold records the term on the replica, and Resume clears it.
func TestHoldAndResume(t *testing.T) {
	f := start(t)
	st, err := f.client.Hold(within(t, callTimeout), f.replica, 2)
	assert.NilError(t, err)
	assert.Equal(t, st.Held, table.Term(2))
	assert.NilError(t, f.client.Resume(within(t, callTimeout), f.replica))
	st, err = f.client.Probe(within(t, callTimeout), f.replica)
	assert.NilError(t, err)
	assert.Equal(t, st.Held, table.Term(0))
}
