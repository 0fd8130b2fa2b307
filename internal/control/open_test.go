package control

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/wal/waltest"
)

// openNetwork is a network of hosts with an open membership. The first three
// found the deployment. seeds holds the hosts that the settings of a host list,
// if these are not the founders.
type openNetwork struct {
	*network
	seeds     map[table.HostID][]table.HostID
	tolerance int // disks that may be lost at once, if it is set
}

func newOpenNetworkOf(hosts int) *openNetwork {
	n := &openNetwork{network: newNetwork(hosts), seeds: map[table.HostID][]table.HostID{}}
	founders := n.voters[:3:3]
	n.configure = func(c *ServerConfig) {
		c.Voters, c.Open, c.AllowFounding, c.Tolerance = founders, true, true, n.tolerance
		if seeds := n.seeds[c.Host]; seeds != nil {
			c.Voters, c.AllowFounding = seeds, false
		}
	}
	return n
}

// add starts a new host without a log whose settings list seeds.
func (n *openNetwork) add(t *testing.T, host table.HostID, seeds []table.HostID) {
	t.Helper()
	if !slices.Contains(n.voters, host) {
		n.voters = append(slices.Clone(n.voters), host)
	}
	n.folders[host], n.seeds[host] = waltest.NewFolder(), seeds
	n.start(t, host)
}

// waitForMembership waits long enough for pending membership changes.
func waitForMembership() { time.Sleep(5 * time.Second) }

// voters returns the hosts of the voters that s knows of.
func voters(s *Server) (hosts []table.HostID) {
	for _, id := range s.Members().Voters {
		hosts = append(hosts, id.Host)
	}
	return hosts
}

// A fourth host that the settings do not list joins as a standby learner and not
// as a voter. With four voters, a partition into two halves would leave no
// majority.
func TestOpenMembershipKeepsOddVoterCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOpenNetworkOf(4)
		n.startAll(t)
		defer n.crashAll(t)
		n.leader(t)
		waitForMembership()
		members := n.leader(t).Members()
		assert.Equal(t, len(members.Voters), 3)
		assert.Equal(t, len(members.Learners), 1)

		standby := members.Learners[0].Host
		n.setIsolated(standby, true)
		var other table.HostID
		leader, _, _ := n.leader(t).Leader()
		for _, id := range members.Voters {
			if id.Host != leader {
				other = id.Host
			}
		}
		n.setIsolated(other, true)
		_, err := propose(t, n.leader(t), put("ledger", 1, "body"))
		assert.NilError(t, err, "two of three voters are connected")
	})
}

// The standby learner replaces a voter that never comes back. The membership can
// then tolerate the loss of another voter.
func TestUnresponsiveVoterIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOpenNetworkOf(4)
		n.startAll(t)
		defer n.crashAll(t)
		n.leader(t)
		waitForMembership()
		leader, _, _ := n.leader(t).Leader()
		var lost table.HostID
		for _, host := range voters(n.leader(t)) {
			if host != leader {
				lost = host
			}
		}
		n.crash(t, lost)
		waitForMembership()
		remaining := voters(n.leader(t))
		assert.Equal(t, len(remaining), 3)
		for _, host := range remaining {
			assert.Assert(t, host != lost)
		}
		for _, host := range remaining {
			if host != leader {
				n.crash(t, host)
				break
			}
		}
		_, err := propose(t, n.leader(t), put("ledger", 1, "body"))
		assert.NilError(t, err)
	})
}

// Blank hosts whose settings do not allow founding, because the deployment
// exists already, must not found another one.
func TestBlankHostsDoNotFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOpenNetworkOf(4)
		configure := n.configure
		n.configure = func(c *ServerConfig) {
			configure(c)
			c.AllowFounding = false
		}
		n.startAll(t)
		defer n.crashAll(t)
		waitForMembership()
		for _, host := range n.voters {
			assert.Equal(t, len(n.server(host).Members().Voters), 0)
		}
	})
}

// The deployment with the highest version is in force. An equal or lower version
// is accepted but changes nothing.
func TestReplaceDeployment(t *testing.T) {
	s := NewState()
	replace := func(version uint64, body string) Result {
		return s.Apply(Command{ReplaceDeployment: &ReplaceDeployment{Version: version, Body: []byte(body)}})
	}
	for _, c := range []struct {
		version uint64
		body    string
		want    string
	}{{4, "four", "four"}, {4, "other", "four"}, {3, "three", "four"}, {9, "nine", "nine"}} {
		r := replace(c.version, c.body)
		assert.Equal(t, r.Refusal, Accepted)
		assert.Equal(t, string(s.View().Deployment.Body), c.want)
	}
	data, err := s.Snapshot()
	assert.NilError(t, err)
	restored := NewState()
	assert.NilError(t, restored.Restore(data))
	assert.DeepEqual(t, restored.View().Deployment, s.View().Deployment)
	delta, err := s.View().EncodeDelta(0)
	assert.NilError(t, err)
	follower, err := NewView().ApplyDelta(delta)
	assert.NilError(t, err)
	assert.Equal(t, follower.Deployment.Version, uint64(9))
	delta, err = s.View().EncodeDelta(1)
	assert.NilError(t, err)
	_, err = NewView().ApplyDelta(delta)
	assert.ErrorIs(t, err, ErrDeltaGap, "a view without the first change")
}

func TestInstancesAreRecorded(t *testing.T) {
	s := NewState()
	in := table.Instance{ID: "i-1", Group: "g", Address: "10.0.0.1:80", Slots: 2}
	s.Apply(Command{NoteInstances: &NoteInstances{Known: []table.Instance{in}}})
	old := s.View()
	s.Apply(Command{NoteInstances: &NoteInstances{Known: []table.Instance{{ID: "i-2"}}, Gone: []table.InstanceID{"i-1"}}})
	assert.DeepEqual(t, old.Instances["i-1"], in) // a View is immutable
	data, err := s.Snapshot()
	assert.NilError(t, err)
	restored := NewState()
	assert.NilError(t, restored.Restore(data))
	assert.Equal(t, len(restored.View().Instances), 1)
}
