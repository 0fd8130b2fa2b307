package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/wal/waltest"
	"gotest.tools/v3/assert"
)

// withLeader runs body on a network of three hosts, once one of them is the
// leader.
func withLeader(t *testing.T, body func(t *testing.T, n *network, leader *Server)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3)
		n.startAll(t)
		defer n.crashAll(t)
		body(t, n, n.leader(t))
	})
}

// proposeUntilAnswered proposes c to the current leader and retries until it gets
// an answer.
func (n *network) proposeUntilAnswered(t *testing.T, c Command) Result {
	t.Helper()
	for range 100 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		r, err := n.leader(t).Propose(ctx, c)
		cancel()
		if err == nil {
			return r
		}
		time.Sleep(DefaultTickInterval)
	}
	t.Fatal("no answer")
	return Result{}
}

// assertConverged waits 2 s and checks that every host is caught up, has the
// given version of document "s" and has the revision of the leader.
func (n *network) assertConverged(t *testing.T, version uint64) {
	t.Helper()
	time.Sleep(2 * time.Second)
	for _, host := range n.voters {
		s := n.servers[host]
		assert.Assert(t, s.CaughtUp(), host)
		assert.Equal(t, s.View().Documents["s"].Version, version, host)
		assert.Equal(t, s.Revision(), n.leader(t).Revision(), host)
	}
}

// Of two operators that put the same version at the same time, exactly one must
// be accepted, and the other must learn which document is in force.
func TestConcurrentPutsOfOneVersion(t *testing.T) {
	withLeader(t, func(t *testing.T, n *network, leader *Server) {
		for version := uint64(1); version <= 20; version++ {
			var results [2]Result
			var wg sync.WaitGroup
			for i := range results {
				wg.Go(func() {
					var err error
					results[i], err = propose(t, leader, put("s", version, fmt.Sprint("operator ", i)))
					assert.Check(t, err)
				})
			}
			wg.Wait()
			accepted, refused := results[0], results[1]
			if accepted.Refusal != Accepted {
				accepted, refused = refused, accepted
			}
			assert.Equal(t, accepted.Refusal, Accepted)
			assert.Equal(t, refused.Refusal, RefusedConflict)
			assert.DeepEqual(t, refused.Document, accepted.Document)
		}
		n.assertConverged(t, 20)
	})
}

// TestResendGetsTheFirstAnswer loses the answer to a change in several ways and
// sends the change again, also after a later version. The resend must get the
// original answer.
func TestResendGetsTheFirstAnswer(t *testing.T) {
	cases := map[string]func(t *testing.T, n *network, leader *Server, send func()){
		"caller canceled": func(_ *testing.T, _ *network, _ *Server, send func()) { send() },
		"leader isolated before": func(t *testing.T, n *network, leader *Server, send func()) {
			n.setIsolated(leader.cfg.Host, true)
			send()
			n.setIsolated(leader.cfg.Host, false)
			assert.NilError(t, t.Context().Err())
		},
		"leader isolated after": func(_ *testing.T, n *network, leader *Server, send func()) {
			send()
			n.setIsolated(leader.cfg.Host, true)
			time.Sleep(time.Second)
			n.setIsolated(leader.cfg.Host, false)
		},
		"leader crashed": func(t *testing.T, n *network, leader *Server, send func()) {
			send()
			n.crash(t, leader.cfg.Host)
			n.start(t, leader.cfg.Host)
		},
		"all crashed": func(t *testing.T, n *network, _ *Server, send func()) {
			send()
			n.crashAll(t)
			n.startAll(t)
		},
	}
	for name, loseAnswer := range cases {
		t.Run(name, func(t *testing.T) {
			withLeader(t, func(t *testing.T, n *network, leader *Server) {
				change := put("s", 1, "mine")
				loseAnswer(t, n, leader, func() {
					ctx, cancel := context.WithCancel(t.Context())
					go func() { _, _ = leader.Propose(ctx, change) }()
					time.Sleep(time.Millisecond)
					cancel()
				})
				first := n.proposeUntilAnswered(t, change)
				assert.NilError(t, first.Err())
				assert.NilError(t, n.proposeUntilAnswered(t, put("s", 2, "of another")).Err())
				resent := n.proposeUntilAnswered(t, change)
				assert.Equal(t, resent.Refusal, Accepted)
				assert.Equal(t, resent.Revision, first.Revision)
				n.assertConverged(t, 2)
			})
		})
	}
}

// TestIsolatedLeader isolates the leader for 39 minutes while operators propose
// changes on the majority side. The isolated leader must lose its lease, accept
// no change, and catch up afterwards.
func TestIsolatedLeader(t *testing.T) {
	withLeader(t, func(t *testing.T, n *network, old *Server) {
		n.proposeUntilAnswered(t, put("s", 1, "before"))
		n.setIsolated(old.cfg.Host, true)
		_, err := propose(t, old, put("s", 2, "nowhere"))
		assert.Assert(t, errkind.Is(err, errkind.NoQuorum))
		_, _, leased := old.Leader()
		assert.Assert(t, !leased)
		for version := uint64(2); version <= 40; version++ {
			assert.NilError(t, n.proposeUntilAnswered(t, put("s", version, "other side")).Err())
			time.Sleep(time.Minute)
		}
		assert.Equal(t, old.View().Documents["s"].Version, uint64(1))
		n.setIsolated(old.cfg.Host, false)
		n.assertConverged(t, 40)
	})
}

// The lease of an isolated leader must expire before another host gets one.
func TestLeaseEndsBeforeTheNextLeader(t *testing.T) {
	withLeader(t, func(t *testing.T, n *network, old *Server) {
		n.setIsolated(old.cfg.Host, true)
		for {
			holders := 0
			for _, s := range n.servers {
				if _, _, leased := s.Leader(); leased {
					holders++
				}
			}
			assert.Assert(t, holders <= 1)
			if holders == 1 && n.leader(t) != old {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
}

// A leader whose Run loop stands still, for example because the process was
// paused, must not report a valid lease after the lease has expired by its clock.
func TestFrozenLeaderHoldsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1)
		var frozen time.Duration
		start := time.Now()
		n.configure = func(c *ServerConfig) { c.Now = func() time.Duration { return time.Since(start) + frozen } }
		n.startAll(t)
		defer n.crashAll(t)
		s := n.leader(t)
		synctest.Wait()
		frozen = DefaultElectionTicks * DefaultTickInterval
		_, self, leased := s.Leader()
		assert.Assert(t, self && !leased)
	})
}

// Two of three listed hosts must not found a deployment: every voter must pin
// the founding membership first.
func TestFoundingNeedsEveryVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3)
		n.start(t, "h1")
		n.start(t, "h2")
		defer n.crashAll(t)
		time.Sleep(time.Minute)
		for _, s := range n.servers {
			host, _, _ := s.Leader()
			assert.Equal(t, host, table.HostID(""))
		}
		n.start(t, "h3")
		n.proposeUntilAnswered(t, put("s", 1, "a"))
		n.assertConverged(t, 1)
	})
}

// A host that loses its disk after another host has pinned the founding
// membership comes back with another incarnation. It must not count as the
// pinned voter, or it could count twice towards a quorum.
func TestDiskLossDuringFounding(t *testing.T) {
	f := newFounding(node("h1", 1), members(node("h1", 1), node("h2", 1), node("h3", 1)))
	voters := []table.HostID{"h1", "h2", "h3"}
	f.record(hello{From: node("h2", 1), Blank: true, Pinned: f.pinned})
	assert.Assert(t, !f.isPinnedByAll("h1", voters))
	other := members(node("h1", 1), node("h2", 1), node("h3", 2)).Voters
	assert.Assert(t, f.record(hello{From: node("h3", 2), Blank: true, Pinned: other}))
	assert.Assert(t, f.record(hello{From: node("h3", 2), Blank: true, Pinned: f.pinned}))
	assert.Assert(t, !f.isPinnedByAll("h1", voters))
	f.record(hello{From: node("h3", 1), Pinned: f.pinned})
	assert.Assert(t, f.isPinnedByAll("h1", voters))
}

// TestSecondHostLostRightAfterARepair wipes the disk of each host in turn and, as
// soon as that host is a voter again, stops another one, with or without wiping
// its disk. The repaired host must hold all committed entries by then.
func TestSecondHostLostRightAfterARepair(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		t.Run(fmt.Sprint("wiped ", wiped), func(t *testing.T) {
			withLeader(t, func(t *testing.T, n *network, _ *Server) {
				version := uint64(1)
				n.proposeUntilAnswered(t, put("s", version, "a"))
				for _, host := range n.voters {
					n.crash(t, host)
					n.folders[host] = waltest.NewFolder()
					version++
					n.proposeUntilAnswered(t, put("s", version, "while away"))
					n.start(t, host)
					n.awaitVoter(t, host)
					other := n.voters[0]
					if other == host {
						other = n.voters[1]
					}
					n.crash(t, other)
					version++
					assert.NilError(t, n.proposeUntilAnswered(t, put("s", version, "second lost")).Err())
					if wiped {
						n.folders[other] = waltest.NewFolder()
					}
					n.start(t, other)
					n.awaitVoter(t, other)
				}
				n.assertConverged(t, version)
				assert.Equal(t, len(n.leader(t).Members().Voters), 3)
			})
		})
	}
}

// A delayed hello that a host sent with an earlier incarnation must not replace
// the current one. It carries no fresh echo.
func TestStaleHelloDoesNotReplaceMember(t *testing.T) {
	withLeader(t, func(t *testing.T, n *network, leader *Server) {
		host := n.voters[0]
		if host == leader.cfg.Host {
			host = n.voters[1]
		}
		for _, echo := range []uint64{0, leader.replica.stampBase - 1, leader.replica.stampBase + 1<<40} {
			stale := hello{From: node(host, 999), To: leader.cfg.Host, Ask: true, Blank: true, Echo: echo}
			assert.NilError(t, leader.Receive(encodeHello(stale)))
			time.Sleep(time.Second)
			assert.Assert(t, leader.Members().IsVoter(n.servers[host].replica.id))
		}
	})
}

// TestPowerLossAtEachStep simulates a power loss of the leader or of a follower
// at each step after a change is proposed. A step is a write to the host's disk
// or a message that it sends. The change is resent until it is answered; it must
// take effect exactly once.
func TestPowerLossAtEachStep(t *testing.T) {
	atEachStep(t, 4, (*network).losePower)
}

// atEachStep calls fault for the leader and for a follower, with the step before
// which the fault occurs, until fault reports that the host did not reach that step.
// The test fails if that takes fewer than minSteps.
func atEachStep(t *testing.T, minSteps int, fault func(n *network, t *testing.T, leader *Server, victim table.HostID, step int) (reached bool)) {
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			steps := 0
			for reached := true; reached; steps++ {
				withLeader(t, func(t *testing.T, n *network, leader *Server) {
					reached = fault(n, t, leader, n.hostInRole(leader, role), steps)
				})
			}
			assert.Assert(t, steps >= minSteps, "%d steps", steps)
		})
	}
}

// hostInRole returns the leader, or the last of the other voters.
func (n *network) hostInRole(leader *Server, role string) table.HostID {
	host := leader.cfg.Host
	for _, other := range n.voters {
		if role != "leader" && other != leader.cfg.Host {
			host = other
		}
	}
	return host
}

// losePower simulates a power loss of a host before the given step and reports
// whether the host reached that step.
func (n *network) losePower(t *testing.T, leader *Server, victim table.HostID, step int) (reached bool) {
	n.proposeUntilAnswered(t, put("s", 1, "before"))
	time.Sleep(time.Second)
	var remaining atomic.Int64
	remaining.Store(int64(step))
	folder := n.folders[victim]
	hasPower := func() bool { return remaining.Add(-1) >= 0 }
	n.setPower(func(host table.HostID) bool { return host != victim || hasPower() })
	folder.SetAllowOperation(hasPower)
	change := put("s", 2, "mine")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	_, _ = leader.Propose(ctx, change)
	cancel()
	synctest.Wait()
	if remaining.Load() >= 0 {
		n.setPower(nil)
		folder.SetAllowOperation(nil)
		return false
	}
	n.crash(t, victim)
	n.setPower(nil)
	first := n.proposeUntilAnswered(t, change)
	assert.NilError(t, first.Err())
	assert.Equal(t, first.Revision, uint64(2))
	n.start(t, victim)
	assert.NilError(t, n.proposeUntilAnswered(t, put("s", 3, "next")).Err())
	n.assertConverged(t, 3)
	return true
}

func (n *network) setPower(hasPower func(host table.HostID) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hasPower = hasPower
}

func TestRemovalRequiresQuorum(t *testing.T) {
	withLeader(t, func(t *testing.T, n *network, leader *Server) {
		var others []table.HostID
		for _, host := range n.voters {
			if host != leader.cfg.Host {
				others = append(others, host)
			}
		}
		n.setIsolated(others[1], true)
		err := leader.RemoveMember(t.Context(), others[0])
		assert.Assert(t, errkind.Is(err, errkind.NoQuorum))
		n.setIsolated(others[1], false)
		n.proposeUntilAnswered(t, put("s", 1, "a"))
	})
}

// A removal that comes while another is not committed must wait and then
// succeed: only one member may change at a time.
func TestConcurrentRemovalsAreSerialized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(5)
		n.startAll(t)
		defer n.crashAll(t)
		leader := n.leader(t)
		var wg sync.WaitGroup
		removed := 0
		for _, host := range n.voters {
			if host != leader.cfg.Host && removed < 2 {
				removed++
				wg.Go(func() { assert.Check(t, leader.RemoveMember(t.Context(), host)) })
			}
		}
		wg.Wait()
		assert.Equal(t, len(leader.Members().Voters), 3)
		n.proposeUntilAnswered(t, put("s", 1, "a"))
	})
}

func TestRemoveMember(t *testing.T) {
	withLeader(t, func(t *testing.T, n *network, leader *Server) {
		var others []table.HostID
		for _, host := range n.voters {
			if host != leader.cfg.Host {
				others = append(others, host)
			}
		}
		n.proposeUntilAnswered(t, put("s", 1, "a"))
		assert.Assert(t, errkind.Is(leader.RemoveMember(t.Context(), leader.cfg.Host), errkind.BadRequest))
		assert.Assert(t, errkind.Is(n.servers[others[0]].RemoveMember(t.Context(), others[1]), errkind.NotLeader))
		assert.NilError(t, leader.RemoveMember(t.Context(), others[0]))
		assert.Assert(t, !leader.Members().Contains(n.servers[others[0]].replica.id))
		n.awaitVoter(t, others[0]) // a running host that the settings list joins again
		n.crash(t, others[0])
		for range 2 {
			assert.NilError(t, leader.RemoveMember(t.Context(), others[0]))
		}
		time.Sleep(time.Minute)
		assert.Equal(t, len(n.leader(t).Members().All()), 2)
		n.proposeUntilAnswered(t, put("s", 2, "b"))
	})
}

// A host that starts with the old disk of a replaced member has an old identity.
// It must not replace the current member.
func TestOldDiskDoesNotReplaceMember(t *testing.T) {
	withLeader(t, func(t *testing.T, n *network, leader *Server) {
		host := n.voters[0]
		if host == leader.cfg.Host {
			host = n.voters[1]
		}
		n.proposeUntilAnswered(t, put("s", 1, "a"))
		n.crash(t, host)
		old := n.folders[host]
		n.folders[host] = waltest.NewFolder()
		n.start(t, host)
		n.awaitVoter(t, host)
		current := n.server(host).replica.id
		n.crash(t, host)
		n.folders[host] = old
		n.start(t, host)
		time.Sleep(time.Minute)
		assert.Assert(t, n.leader(t).Members().IsVoter(current))
		n.proposeUntilAnswered(t, put("s", 2, "b"))
	})
}

// awaitVoter waits until the current identity of host is a voter.
func (n *network) awaitVoter(t *testing.T, host table.HostID) {
	t.Helper()
	for range 1000 {
		if n.leader(t).Members().IsVoter(n.servers[host].replica.id) {
			return
		}
		time.Sleep(DefaultTickInterval)
	}
	t.Fatalf("%s is not a voter within 10 s", host)
}

func TestRestartOfAllAfter500Changes(t *testing.T) {
	for _, every := range []uint64{50, 100000} {
		t.Run(fmt.Sprint("snapshot every ", every), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(3)
				n.configure = func(c *ServerConfig) { c.SnapshotEvery, c.KeepEntries, c.SegmentBytes = every, 10, 16<<10 }
				n.startAll(t)
				defer n.crashAll(t)
				for version := uint64(1); version <= 500; version++ {
					assert.NilError(t, n.proposeUntilAnswered(t, put("s", version, fmt.Sprint(version))).Err())
				}
				revision := n.leader(t).Revision()
				for range 3 {
					n.crashAll(t)
					n.startAll(t)
					n.assertConverged(t, 500)
					assert.Equal(t, n.leader(t).Revision(), revision)
				}
				resent := n.proposeUntilAnswered(t, put("s", 500, "500"))
				assert.Equal(t, resent.Revision, revision)
			})
		})
	}
}

// Concurrent proposals must be written in batches. One sync per proposal would
// limit the throughput of changes to the sync rate of the disk.
func TestProposalsShareSyncs(t *testing.T) {
	withLeader(t, func(t *testing.T, n *network, leader *Server) {
		folder := n.folders[leader.cfg.Host]
		folder.SetSyncTime(time.Millisecond)
		before := folder.SyncCount
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				r, err := propose(t, leader, put(fmt.Sprint("s", i), 1, "a"))
				assert.Check(t, err)
				assert.Check(t, r.Err())
				_, ok := leader.View().Documents[fmt.Sprint("s", i)]
				assert.Check(t, ok, "an answered change must be visible to readers")
			})
		}
		wg.Wait()
		synctest.Wait()
		assert.Assert(t, folder.SyncCount-before <= 20, "%d syncs for 200 changes", folder.SyncCount-before)
	})
}
