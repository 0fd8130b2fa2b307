package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// followers returns the running hosts that do not lead.
func (n *openNetwork) followers(t *testing.T) (hosts []table.HostID) {
	t.Helper()
	leader := n.leader(t).cfg.Host
	for _, host := range n.voters {
		if host != leader && n.server(host) != nil {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// isMember reports whether the leader has the current identity of host as a
// member.
func (n *openNetwork) isMember(t *testing.T, host table.HostID) bool {
	t.Helper()
	return n.leader(t).Members().Contains(n.server(host).replica.id)
}

// A new host whose settings list only followers joins. Its requests reached no
// leader: the hosts that it asked did not tell it who the others are, so that
// replaced hosts stayed outside for good, and each one cost a voter.
func TestNewHostJoinsWhenItsSettingsListNoLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOpenNetworkOf(3)
		n.startAll(t)
		defer n.crashAll(t)
		n.add(t, "h4", n.followers(t))
		waitForMembership()
		assert.Assert(t, n.isMember(t, "h4"))
	})
}

// A host that lost its disk joins again although its settings list only
// followers.
func TestHostWithoutDiskJoinsWhenItsSettingsListNoLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOpenNetworkOf(6)
		n.startAll(t)
		defer n.crashAll(t)
		waitForMembership()
		followers := n.followers(t)
		lost, seeds := followers[0], followers[1:4]
		n.crash(t, lost)
		n.add(t, lost, seeds)
		waitForMembership()
		assert.Assert(t, n.isMember(t, lost))
	})
}

// A removed host with a log, all of whose known members have been replaced
// meanwhile, finds the present ones through one host that its settings list.
func TestRemovedHostFindsNewMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOpenNetworkOf(4)
		n.startAll(t)
		defer n.crashAll(t)
		waitForMembership()
		away := n.followers(t)[0]
		n.crash(t, away)
		waitForMembership()
		for _, next := range []table.HostID{"h5", "h6", "h7"} {
			old := n.leader(t).cfg.Host
			n.add(t, next, n.followers(t))
			waitForMembership()
			n.crash(t, old)
			waitForMembership()
		}
		n.seeds[away] = n.followers(t)[:1]
		n.start(t, away)
		waitForMembership()
		assert.Assert(t, n.isMember(t, away))
	})
}

// A learner that never comes back leaves the membership. Learners of replaced
// hosts accumulated, and each made a standby look like a second one.
func TestLearnerThatNeverComesBackIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOpenNetworkOf(4)
		n.startAll(t)
		defer n.crashAll(t)
		waitForMembership()
		members := n.leader(t).Members()
		assert.Equal(t, len(members.Learners), 1)
		n.crash(t, members.Learners[0].Host)
		waitForMembership()
		assert.Equal(t, len(n.leader(t).Members().Learners), 0)
		n.add(t, "h5", n.followers(t))
		waitForMembership()
		members = n.leader(t).Members()
		assert.Equal(t, len(members.Voters), 3)
		assert.Equal(t, len(members.Learners), 1)
	})
}

// A learner that was slow to answer is back as a member soon.
func TestSlowLearnerJoinsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOpenNetworkOf(4)
		n.startAll(t)
		defer n.crashAll(t)
		waitForMembership()
		learner := n.leader(t).Members().Learners[0].Host
		n.setIsolated(learner, true)
		time.Sleep(10 * time.Second)
		n.setIsolated(learner, false)
		waitForMembership()
		assert.Assert(t, n.isMember(t, learner))
	})
}

// A voter that is replaced by a new host leaves an odd number of voters, none of
// which is gone. The new host made the standby and itself voters before the old
// voter counted as unresponsive: six voters of six hosts, which have no majority
// when they are split in two.
func TestReplacedVoterLeavesAnOddMembership(t *testing.T) {
	for _, hosts := range []int{4, 6} {
		synctest.Test(t, func(t *testing.T) {
			n := newOpenNetworkOf(hosts)
			n.startAll(t)
			defer n.crashAll(t)
			waitForMembership()
			want := len(n.leader(t).Members().Voters)
			leader := n.leader(t)
			old := leader.Members().Voters[0].Host
			if old == leader.cfg.Host {
				old = leader.Members().Voters[1].Host
			}
			n.crash(t, old)
			n.add(t, "new", n.followers(t))
			waitForMembership()
			members := n.leader(t).Members()
			assert.Equal(t, len(members.Voters), want)
			assert.Equal(t, len(members.Learners), 1)
			_, isMember := members.OnHost(old)
			assert.Assert(t, !isMember)
		})
	}
}

// A host none of whose listed hosts runs any more joins through its contacts.
func TestNewHostJoinsThroughContacts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOpenNetworkOf(3)
		n.startAll(t)
		defer n.crashAll(t)
		contact := n.followers(t)[0]
		configure := n.configure
		n.configure = func(c *ServerConfig) {
			configure(c)
			c.Contacts = func() []table.HostID { return []table.HostID{contact} }
		}
		n.add(t, "h4", []table.HostID{"gone"})
		waitForMembership()
		assert.Assert(t, n.isMember(t, "h4"))
	})
}
