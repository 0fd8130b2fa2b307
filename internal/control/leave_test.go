package control

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/wal/waltest"
)

// leaving starts the planned stop of host and returns its outcome.
func (n *openNetwork) leaving(t *testing.T, host table.HostID) <-chan bool {
	t.Helper()
	left := make(chan bool, 1)
	s := n.server(host)
	go func() { left <- s.Leave(t.Context()) }()
	return left
}

// Guards against a planned stop that ends while the host is a voter although a standby
// could take its place, and against one that gives up a vote that nobody can take. Both
// hold for the leader and for a follower.
func TestPlannedStopGivesUpTheVoteToAStandby(t *testing.T) {
	for hosts, want := range map[int]bool{3: false, 4: true} {
		for _, leads := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d hosts, leads: %t", hosts, leads), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newOpenNetworkOf(hosts)
					n.startAll(t)
					defer n.crashAll(t)
					waitForMembership()
					host := n.leader(t).cfg.Host
					if !leads {
						host = slices.DeleteFunc(voters(n.leader(t)), func(h table.HostID) bool { return h == host })[0]
					}
					start := time.Now()
					left := <-n.leaving(t, host)
					assert.Equal(t, left, want)
					assert.Assert(t, time.Since(start) < time.Second, "took %v", time.Since(start))
					n.endServer(t, host, true)
					members := n.leader(t).Members()
					assert.Equal(t, len(members.Voters), 3)
					assert.Equal(t, slices.Contains(voters(n.leader(t)), host), !want)
				})
			})
		}
	}
}

// Guards against a standby that is promoted although it stops as well, and against a
// wait for a leader that cannot exist when all hosts stop at once.
func TestAllControlHostsStopAtOnce(t *testing.T) {
	for _, hosts := range []int{1, 3, 4, 6} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newOpenNetworkOf(max(hosts, 3))
				n.voters = n.voters[:max(hosts, 3)]
				n.startAll(t)
				defer n.crashAll(t)
				waitForMembership()
				n.proposeUntilAnswered(t, put("s", 1, "acknowledged"))
				for _, host := range n.voters[:len(n.voters)-hosts] {
					n.stopServer(t, host, true)
				}
				start := time.Now()
				var stops []<-chan bool
				for _, host := range n.voters[len(n.voters)-hosts:] {
					stops = append(stops, n.leaving(t, host))
				}
				for _, left := range stops {
					<-left
				}
				assert.Assert(t, time.Since(start) < time.Second, "took %v", time.Since(start))
				for _, host := range n.voters[len(n.voters)-hosts:] {
					n.endServer(t, host, true)
				}
				n.startAll(t)
				assert.Equal(t, n.versionWithin(t, 12*time.Second), uint64(1))
			})
		})
	}
}

// Guards against a host that started again and is taken for one that leaves: a request
// to leave that was delivered late, or one from before the restart, removed it.
func TestRestartedHostIsNotTakenForLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOpenNetworkOf(3)
		n.startAll(t)
		defer n.crashAll(t)
		waitForMembership()
		host := n.followers(t)[0]
		n.stopServer(t, host, true)
		n.start(t, host)
		waitForMembership()
		n.add(t, "h4", n.followers(t))
		waitForMembership()
		leader := n.leader(t)
		for _, echo := range []uint64{0, leader.replica.stampBase - 1, leader.replica.stampBase + 1<<40} {
			stale := hello{From: n.server(host).replica.id, To: leader.cfg.Host, Ask: true, Leave: true, Echo: echo}
			assert.NilError(t, leader.Receive(encodeHello(stale)))
			time.Sleep(time.Second)
			assert.Assert(t, slices.Contains(voters(n.leader(t)), host))
		}
	})
}

// Guards against a wiped host that is admitted as the successor of its own planned stop.
func TestLeavingHostDoesNotJoinAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOpenNetworkOf(4)
		n.startAll(t)
		defer n.crashAll(t)
		waitForMembership()
		host := n.followers(t)[0]
		assert.Assert(t, <-n.leaving(t, host))
		waitForMembership() // the process still runs
		_, isMember := n.leader(t).Members().OnHost(host)
		assert.Assert(t, !isMember)
		n.endServer(t, host, true)
		n.folders[host] = waltest.NewFolder()
		n.start(t, host)
		waitForMembership()
		assert.Assert(t, n.isMember(t, host))
	})
}

// Guards against a host that left as planned, starts again with its disk and waits for
// the leader, which does not know it any more, as long as a member waits that has been
// cut off.
func TestHostThatLeftIsBackSoonAfterItsRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOpenNetworkOf(4)
		n.startAll(t)
		defer n.crashAll(t)
		waitForMembership()
		host := n.followers(t)[0]
		n.stopServer(t, host, true)
		time.Sleep(time.Second)
		start := time.Now()
		n.start(t, host)
		for !n.server(host).CaughtUp() && time.Since(start) < 10*time.Second {
			time.Sleep(DefaultTickInterval)
		}
		assert.Assert(t, time.Since(start) < time.Second, "took %v", time.Since(start))
	})
}

// Guards against a host that is cut off while it stops and exits while the others still
// count its vote: from then on another host may be lost.
func TestHostCutOffWhileItStopsIsReplacedBeforeItExits(t *testing.T) {
	for _, leads := range []bool{false, true} {
		for _, delay := range []time.Duration{0, 20, 60, 110, 160} { // milliseconds
			t.Run(fmt.Sprintf("leads: %t, cut off after %d ms", leads, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newOpenNetworkOf(4)
					n.startAll(t)
					defer n.crashAll(t)
					waitForMembership()
					host := n.leader(t).cfg.Host
					if !leads {
						host = slices.DeleteFunc(voters(n.leader(t)), func(h table.HostID) bool { return h == host })[0]
					}
					if delay == 0 {
						n.setIsolated(host, true)
					}
					left := n.leaving(t, host)
					time.Sleep(delay * time.Millisecond)
					n.setIsolated(host, true)
					<-left
					n.endServer(t, host, true)
					assert.Assert(t, !slices.Contains(voters(n.leader(t)), host), "%v", n.leader(t).Members())
				})
			})
		}
	}
}

// Guards against a new leader that removes a voter that runs, because it does not know yet
// which one is silent: the standby that has just replaced a lost voter was removed again.
func TestNewLeaderKeepsTheStandbyThatReplacedALostVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOpenNetworkOf(4)
		n.startAll(t)
		defer n.crashAll(t)
		waitForMembership()
		leader := n.leader(t)
		standby := leader.Members().Learners[0].Host
		lost := slices.DeleteFunc(voters(leader), func(h table.HostID) bool { return h == leader.cfg.Host })[0]
		n.crash(t, lost)
		for len(leader.Members().Voters) != 4 {
			time.Sleep(time.Millisecond)
		}
		n.leaving(t, leader.cfg.Host)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			assert.Assert(t, slices.Contains(voters(n.leader(t)), standby), "%v", n.leader(t).Members())
		}
		assert.Equal(t, len(n.leader(t).Members().Voters), 3)
	})
}
