package host

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// deploymentState is a control state in which each change is a new deployment. Its
// version is the revision of the state.
type deploymentState struct{ state *control.State }

func newDeploymentState() deploymentState { return deploymentState{control.NewState()} }

// change installs the next deployment and returns the view after it.
func (s deploymentState) change() *control.View {
	version := s.state.Revision() + 1
	s.state.Apply(control.Command{ReplaceDeployment: &control.ReplaceDeployment{
		Version: version, Body: fmt.Append(nil, version),
	}})
	return s.state.View()
}

// decodeVersion decodes a deployment of deploymentState.
func decodeVersion(body []byte) (*config.Deployment, error) {
	d := &config.Deployment{}
	_, err := fmt.Sscan(string(body), &d.Version)
	return d, err
}

// replyTo returns a reply that takes a host from revision since to the view.
func replyTo(t *testing.T, v *control.View, since uint64) heartbeatReply {
	t.Helper()
	delta, err := v.EncodeDelta(since)
	assert.NilError(t, err)
	return heartbeatReply{Leads: true, Lease: time.Second, Control: delta}
}

// A control host also follows its own replica, so its control state may be later than
// that in the reply of the leader. Then the host dropped the reply with its lease,
// orders and tables, and counted as a host that hears no leader.
func TestOvertakenReplyIsApplied(t *testing.T) {
	h := newIdleHost(t)
	h.dir.decode = decodeVersion
	s := newDeploymentState()
	sent, answered, ahead := s.change(), s.change(), s.change()
	h.dir.setView(ahead)
	reply := replyTo(t, answered, sent.Revision)
	reply.Stamp = failover.Stamp{Leadership: 4}
	reply.Tables = &tables{Version: tablesVersion{4, 9}, Hosts: []table.Host{{ID: "h2", PeerAddress: "127.0.0.1:1"}}}
	reply.Orders = []failover.Order{{Kind: failover.OrderProbe, Instance: "g1-a"}}
	h.heartbeats.handleReply(t.Context(), h.clock(), &heartbeat{Revision: sent.Revision}, &reply)

	assert.Assert(t, h.dir.leaseValid(), "the lease of the reply was dropped")
	assert.Assert(t, h.heartbeats.caughtUp(), "the reply does not count as an answer of a leader")
	assert.Equal(t, h.heartbeats.latestStamp().Leadership, reply.Stamp.Leadership)
	assert.Equal(t, h.dir.currentTables().Version, reply.Tables.Version, "the tables of the reply were dropped")
	assert.Assert(t, h.heartbeats.reportRequested["g1-a"], "the order of the reply was dropped")
	assert.Equal(t, h.dir.view.Load(), ahead)
	assert.Equal(t, h.dir.deploymentVersion(), ahead.Deployment.Version)
}

// Whatever the order in which changes reach a control host by its replica and by the
// replies to its heartbeats, each reply counts, no older deployment comes into force,
// and the latest one does.
func TestRepliesDuringManyChanges(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 35))
		h := newIdleHost(t)
		h.dir.decode = decodeVersion
		s := newDeploymentState()
		views := []*control.View{s.change(), s.change()} // as the leader had them
		latest := func() *control.View { return views[len(views)-1] }
		// replicate lets the replica of the host go on to any view that the leader had.
		replicate := func() { h.dir.setView(views[rng.IntN(len(views))]) }
		replicate()
		for range 40 {
			hb := &heartbeat{Revision: h.dir.view.Load().Revision}
			sentAt := h.clock()
			for range rng.IntN(4) {
				views = append(views, s.change())
			}
			reply := replyTo(t, latest(), hb.Revision)
			for range rng.IntN(4) {
				views = append(views, s.change())
			}
			replicate()
			before := h.dir.deploymentVersion()
			h.heartbeats.handleReply(t.Context(), sentAt, hb, &reply)
			assert.Equal(t, h.heartbeats.lastAnsweredSentAt, sentAt, "seed %d: the reply was dropped", seed)
			assert.Assert(t, h.dir.deploymentVersion() >= before, "seed %d: an older deployment came into force", seed)
		}
		reply := replyTo(t, latest(), h.dir.view.Load().Revision)
		h.heartbeats.handleReply(t.Context(), h.clock(), &heartbeat{}, &reply)
		assert.Equal(t, h.dir.deploymentVersion(), latest().Deployment.Version, "seed %d", seed)
	}
}
