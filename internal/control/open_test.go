package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// openNetwork is a network of four hosts of which the first three found the
// deployment; the settings of all list only those.
func openNetwork() *network {
	n := newNetwork(4)
	founders := n.voters[:3:3]
	n.tune = func(c *ServerConfig) { c.Voters, c.Open, c.AllowFounding = founders, true, true }
	return n
}

// settle waits until the membership has come to rest.
func settle() { time.Sleep(5 * time.Second) }

func voters(s *Server) (hosts []table.HostID) {
	for _, id := range s.Members().Voters {
		hosts = append(hosts, id.Host)
	}
	return hosts
}

// A host that the settings do not list joins, and stands by: an even number of
// voters would have no majority when the hosts are cut into two halves.
func TestOpenMembershipStaysOdd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := openNetwork()
		n.startAll(t)
		defer n.stopAll(t)
		n.leader(t)
		settle()
		members := n.leader(t).Members()
		assert.Equal(t, len(members.Voters), 3)
		assert.Equal(t, len(members.Learners), 1)

		half := members.Learners[0].Host
		n.isolate(half, true)
		var other table.HostID
		leader, _, _ := n.leader(t).Leader()
		for _, id := range members.Voters {
			if id.Host != leader {
				other = id.Host
			}
		}
		n.isolate(other, true)
		_, err := propose(t, n.leader(t), put("ledger", 1, "body"))
		assert.NilError(t, err, "two of three voters are together")
	})
}

// The host that stands by takes the place of a voter that never comes back, and
// the membership bears the next loss.
func TestSilentVoterIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := openNetwork()
		n.startAll(t)
		defer n.stopAll(t)
		n.leader(t)
		settle()
		leader, _, _ := n.leader(t).Leader()
		var gone table.HostID
		for _, host := range voters(n.leader(t)) {
			if host != leader {
				gone = host
			}
		}
		n.stop(t, gone)
		settle()
		now := voters(n.leader(t))
		assert.Equal(t, len(now), 3)
		for _, host := range now {
			assert.Assert(t, host != gone)
		}
		for _, host := range now {
			if host != leader {
				n.stop(t, host)
				break
			}
		}
		_, err := propose(t, n.leader(t), put("ledger", 1, "body"))
		assert.NilError(t, err)
	})
}

// A blank host whose settings say that the deployment exists founds none.
func TestBlankHostsDoNotFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := openNetwork()
		tune := n.tune
		n.tune = func(c *ServerConfig) {
			tune(c)
			c.AllowFounding = false
		}
		n.startAll(t)
		defer n.stopAll(t)
		settle()
		for _, host := range n.voters {
			assert.Equal(t, len(n.server(host).Members().Voters), 0)
		}
	})
}

// The highest version is in force; the same or a lower one changes nothing and
// is acknowledged.
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
	again := NewState()
	assert.NilError(t, again.Restore(data))
	assert.DeepEqual(t, again.View().Deployment, s.View().Deployment)
	delta, err := s.View().EncodeDelta(1)
	assert.NilError(t, err)
	follower, err := NewView().ApplyDelta(delta)
	if err == nil {
		assert.Equal(t, follower.Deployment.Version, uint64(9))
	}
}

func TestInstancesAreRecorded(t *testing.T) {
	s := NewState()
	in := table.Instance{ID: "i-1", Group: "g", Address: "10.0.0.1:80", Slots: 2}
	s.Apply(Command{NoteInstances: &NoteInstances{Known: []table.Instance{in}}})
	old := s.View()
	s.Apply(Command{NoteInstances: &NoteInstances{Known: []table.Instance{{ID: "i-2"}}, Gone: []table.InstanceID{"i-1"}}})
	assert.DeepEqual(t, old.Instances["i-1"], in) // a view does not change
	data, err := s.Snapshot()
	assert.NilError(t, err)
	again := NewState()
	assert.NilError(t, again.Restore(data))
	assert.Equal(t, len(again.View().Instances), 1)
}
