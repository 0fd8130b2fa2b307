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

// started runs body on a network of three hosts with a leader.
func started(t *testing.T, body func(t *testing.T, n *network, leader *Server)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3)
		n.startAll(t)
		defer n.stopAll(t)
		body(t, n, n.leader(t))
	})
}

// persist proposes c to whoever leads until there is an answer.
func (n *network) persist(t *testing.T, c Command) Result {
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

func (n *network) checkSame(t *testing.T, version uint64) {
	t.Helper()
	time.Sleep(2 * time.Second)
	for _, host := range n.voters {
		s := n.servers[host]
		assert.Assert(t, s.CaughtUp(), host)
		assert.Equal(t, s.View().Documents["s"].Version, version, host)
		assert.Equal(t, s.Revision(), n.leader(t).Revision(), host)
	}
}

func TestTwoOperatorsOneVersion(t *testing.T) {
	started(t, func(t *testing.T, n *network, leader *Server) {
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
			winner, loser := results[0], results[1]
			if winner.Refusal != Accepted {
				winner, loser = loser, winner
			}
			assert.Equal(t, winner.Refusal, Accepted)
			assert.Equal(t, loser.Refusal, RefusedConflict)
			assert.DeepEqual(t, loser.Document, winner.Document)
		}
		n.checkSame(t, 20)
	})
}

// TestResendGetsTheFirstAnswer loses the answer of each change in another way
// and sends the change again.
func TestResendGetsTheFirstAnswer(t *testing.T) {
	lose := map[string]func(t *testing.T, n *network, leader *Server, send func()){
		"caller gone": func(_ *testing.T, _ *network, _ *Server, send func()) { send() },
		"leader isolated before": func(t *testing.T, n *network, leader *Server, send func()) {
			n.isolate(leader.cfg.Host, true)
			send()
			n.isolate(leader.cfg.Host, false)
			assert.NilError(t, t.Context().Err())
		},
		"leader isolated after": func(_ *testing.T, n *network, leader *Server, send func()) {
			send()
			n.isolate(leader.cfg.Host, true)
			time.Sleep(time.Second)
			n.isolate(leader.cfg.Host, false)
		},
		"leader crashed": func(t *testing.T, n *network, leader *Server, send func()) {
			send()
			n.stop(t, leader.cfg.Host)
			n.start(t, leader.cfg.Host)
		},
		"all crashed": func(t *testing.T, n *network, _ *Server, send func()) {
			send()
			n.stopAll(t)
			n.startAll(t)
		},
	}
	for name, loseAnswer := range lose {
		t.Run(name, func(t *testing.T) {
			started(t, func(t *testing.T, n *network, leader *Server) {
				change := put("s", 1, "mine")
				loseAnswer(t, n, leader, func() {
					ctx, cancel := context.WithCancel(t.Context())
					go func() { _, _ = leader.Propose(ctx, change) }()
					time.Sleep(time.Millisecond)
					cancel()
				})
				first := n.persist(t, change)
				assert.NilError(t, first.Err())
				assert.NilError(t, n.persist(t, put("s", 2, "of another")).Err())
				again := n.persist(t, change)
				assert.Equal(t, again.Refusal, Accepted)
				assert.Equal(t, again.Revision, first.Revision)
				n.checkSame(t, 2)
			})
		})
	}
}

// TestIsolatedLeader cuts the leader off silently for long while operators go
// on at the other side.
func TestIsolatedLeader(t *testing.T) {
	started(t, func(t *testing.T, n *network, old *Server) {
		n.persist(t, put("s", 1, "before"))
		n.isolate(old.cfg.Host, true)
		_, err := propose(t, old, put("s", 2, "nowhere"))
		assert.Assert(t, errkind.Is(err, errkind.NoQuorum))
		_, _, leased := old.Leader()
		assert.Assert(t, !leased)
		for version := uint64(2); version <= 40; version++ {
			assert.NilError(t, n.persist(t, put("s", version, "other side")).Err())
			time.Sleep(time.Minute)
		}
		assert.Equal(t, old.View().Documents["s"].Version, uint64(1))
		n.isolate(old.cfg.Host, false)
		n.checkSame(t, 40)
	})
}

// TestLeaseEndsBeforeTheNextLeader watches the lease of an isolated leader.
func TestLeaseEndsBeforeTheNextLeader(t *testing.T) {
	started(t, func(t *testing.T, n *network, old *Server) {
		n.isolate(old.cfg.Host, true)
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

// TestFrozenLeaderHoldsNoLease lets the clock of a leader run on while its
// loop stands still.
func TestFrozenLeaderHoldsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1)
		var frozen time.Duration
		start := time.Now()
		n.tune = func(c *ServerConfig) { c.Now = func() time.Duration { return time.Since(start) + frozen } }
		n.startAll(t)
		defer n.stopAll(t)
		s := n.leader(t)
		synctest.Wait()
		frozen = DefaultElectionTicks * DefaultTickInterval
		_, self, leased := s.Leader()
		assert.Assert(t, self && !leased)
	})
}

func TestFoundingNeedsEveryVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3)
		n.start(t, "h1")
		n.start(t, "h2")
		defer n.stopAll(t)
		time.Sleep(time.Minute)
		for _, s := range n.servers {
			host, _, _ := s.Leader()
			assert.Equal(t, host, table.HostID(""))
		}
		n.start(t, "h3")
		n.persist(t, put("s", 1, "a"))
		n.checkSame(t, 1)
	})
}

// TestLostDiskWhileFounding pins the founding membership on two hosts only,
// then the third one loses its disk: nobody may count it twice.
func TestLostDiskWhileFounding(t *testing.T) {
	f := newFounding(node("h1", 1), members(node("h1", 1), node("h2", 1), node("h3", 1)))
	voters := []table.HostID{"h1", "h2", "h3"}
	f.take(hello{From: node("h2", 1), Blank: true, Pinned: f.pinned})
	assert.Assert(t, !f.settled("h1", voters))
	again := members(node("h1", 1), node("h2", 1), node("h3", 2)).Voters
	assert.Assert(t, f.take(hello{From: node("h3", 2), Blank: true, Pinned: again}))
	assert.Assert(t, f.take(hello{From: node("h3", 2), Blank: true, Pinned: f.pinned}))
	assert.Assert(t, !f.settled("h1", voters))
	f.take(hello{From: node("h3", 1), Pinned: f.pinned})
	assert.Assert(t, f.settled("h1", voters))
}

// TestSecondHostLostRightAfterARepair takes the disk of one host and, as soon
// as it is a voter again, each other host.
func TestSecondHostLostRightAfterARepair(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		t.Run(fmt.Sprint("wiped ", wiped), func(t *testing.T) {
			started(t, func(t *testing.T, n *network, _ *Server) {
				version := uint64(1)
				n.persist(t, put("s", version, "a"))
				for _, host := range n.voters {
					n.stop(t, host)
					n.folders[host] = waltest.NewFolder()
					version++
					n.persist(t, put("s", version, "while away"))
					n.start(t, host)
					n.awaitVoter(t, host)
					other := n.voters[0]
					if other == host {
						other = n.voters[1]
					}
					n.stop(t, other)
					version++
					assert.NilError(t, n.persist(t, put("s", version, "second lost")).Err())
					if wiped {
						n.folders[other] = waltest.NewFolder()
					}
					n.start(t, other)
					n.awaitVoter(t, other)
				}
				n.checkSame(t, version)
				assert.Equal(t, len(n.leader(t).Members().Voters), 3)
			})
		})
	}
}

// TestLateHelloDisplacesNobody replays what the host said before it joined.
func TestLateHelloDisplacesNobody(t *testing.T) {
	started(t, func(t *testing.T, n *network, leader *Server) {
		host := n.voters[0]
		if host == leader.cfg.Host {
			host = n.voters[1]
		}
		for _, echo := range []uint64{0, leader.replica.token - 1, leader.replica.token + 1<<40} {
			late := hello{From: node(host, 999), To: leader.cfg.Host, Ask: true, Blank: true, Echo: echo}
			assert.NilError(t, leader.Receive(encodeHello(late)))
			time.Sleep(time.Second)
			assert.Assert(t, leader.Members().IsVoter(n.servers[host].replica.id))
		}
	})
}

// TestPowerLossAtEachStep takes the power of one host at each step, a write to
// its disk or a message it sends, that follows a change: once for the leader
// and once for a follower. The change is sent again until it is answered.
func TestPowerLossAtEachStep(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			steps := 0
			for reached := true; reached; steps++ {
				started(t, func(t *testing.T, n *network, leader *Server) {
					reached = n.losePower(t, leader, role == "leader", steps)
				})
			}
			assert.Assert(t, steps > 3, "%d steps", steps)
		})
	}
}

// losePower takes the power of a host before one of its steps and reports
// whether it came that far.
func (n *network) losePower(t *testing.T, leader *Server, ofLeader bool, step int) (reached bool) {
	victim := leader.cfg.Host
	for _, host := range n.voters {
		if !ofLeader && host != leader.cfg.Host {
			victim = host
		}
	}
	n.persist(t, put("s", 1, "before"))
	time.Sleep(time.Second)
	var left atomic.Int64
	left.Store(int64(step))
	folder := n.folders[victim]
	hasPower := func() bool { return left.Add(-1) >= 0 }
	n.setPower(func(host table.HostID) bool { return host != victim || hasPower() })
	folder.SetBefore(hasPower)
	change := put("s", 2, "mine")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	_, _ = leader.Propose(ctx, change)
	cancel()
	synctest.Wait()
	if left.Load() >= 0 {
		n.setPower(nil)
		folder.SetBefore(nil)
		return false
	}
	n.stop(t, victim)
	n.setPower(nil)
	first := n.persist(t, change)
	assert.NilError(t, first.Err())
	assert.Equal(t, first.Revision, uint64(2))
	n.start(t, victim)
	assert.NilError(t, n.persist(t, put("s", 3, "next")).Err())
	n.checkSame(t, 3)
	return true
}

func (n *network) setPower(power func(host table.HostID) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.power = power
}

func TestRemovalNeedsAMajority(t *testing.T) {
	started(t, func(t *testing.T, n *network, leader *Server) {
		var others []table.HostID
		for _, host := range n.voters {
			if host != leader.cfg.Host {
				others = append(others, host)
			}
		}
		n.isolate(others[1], true)
		err := leader.RemoveMember(t.Context(), others[0])
		assert.Assert(t, errkind.Is(err, errkind.NoQuorum))
		n.isolate(others[1], false)
		n.persist(t, put("s", 1, "a"))
	})
}

func TestRemovalsWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(5)
		n.startAll(t)
		defer n.stopAll(t)
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
		n.persist(t, put("s", 1, "a"))
	})
}

func TestRemoveMember(t *testing.T) {
	started(t, func(t *testing.T, n *network, leader *Server) {
		var others []table.HostID
		for _, host := range n.voters {
			if host != leader.cfg.Host {
				others = append(others, host)
			}
		}
		n.persist(t, put("s", 1, "a"))
		assert.Assert(t, errkind.Is(leader.RemoveMember(t.Context(), leader.cfg.Host), errkind.BadRequest))
		assert.Assert(t, errkind.Is(n.servers[others[0]].RemoveMember(t.Context(), others[1]), errkind.NotLeader))
		assert.NilError(t, leader.RemoveMember(t.Context(), others[0]))
		assert.Assert(t, !leader.Members().Contains(n.servers[others[0]].replica.id))
		n.awaitVoter(t, others[0]) // it runs and is listed, so it comes back
		n.stop(t, others[0])
		for range 2 {
			assert.NilError(t, leader.RemoveMember(t.Context(), others[0]))
		}
		time.Sleep(time.Minute)
		assert.Equal(t, len(n.leader(t).Members().All()), 2)
		n.persist(t, put("s", 2, "b"))
	})
}

// TestOldDiskDisplacesNobody starts a host on the disk that it had before it
// was replaced: it must not push its successor out.
func TestOldDiskDisplacesNobody(t *testing.T) {
	started(t, func(t *testing.T, n *network, leader *Server) {
		host := n.voters[0]
		if host == leader.cfg.Host {
			host = n.voters[1]
		}
		n.persist(t, put("s", 1, "a"))
		n.stop(t, host)
		old := n.folders[host]
		n.folders[host] = waltest.NewFolder()
		n.start(t, host)
		n.awaitVoter(t, host)
		successor := n.server(host).replica.id
		n.stop(t, host)
		n.folders[host] = old
		n.start(t, host)
		time.Sleep(time.Minute)
		assert.Assert(t, n.leader(t).Members().IsVoter(successor))
		n.persist(t, put("s", 2, "b"))
	})
}

// awaitVoter waits until the leader counts the identity that host has now.
func (n *network) awaitVoter(t *testing.T, host table.HostID) {
	t.Helper()
	for range 1000 {
		if n.leader(t).Members().IsVoter(n.servers[host].replica.id) {
			return
		}
		time.Sleep(DefaultTickInterval)
	}
	t.Fatalf("%s is no voter", host)
}

func TestRestartOfAllAfter500Changes(t *testing.T) {
	for _, every := range []uint64{50, 100000} {
		t.Run(fmt.Sprint("snapshot every ", every), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(3)
				n.tune = func(c *ServerConfig) { c.SnapshotEvery, c.KeepEntries, c.SegmentBytes = every, 10, 16<<10 }
				n.startAll(t)
				defer n.stopAll(t)
				for version := uint64(1); version <= 500; version++ {
					assert.NilError(t, n.persist(t, put("s", version, fmt.Sprint(version))).Err())
				}
				revision := n.leader(t).Revision()
				for range 3 {
					n.stopAll(t)
					n.startAll(t)
					n.checkSame(t, 500)
					assert.Equal(t, n.leader(t).Revision(), revision)
				}
				again := n.persist(t, put("s", 500, "500"))
				assert.Equal(t, again.Revision, revision)
			})
		})
	}
}

func TestProposalsShareSyncs(t *testing.T) {
	started(t, func(t *testing.T, n *network, leader *Server) {
		folder := n.folders[leader.cfg.Host]
		folder.SetSyncTime(time.Millisecond)
		before := folder.Syncs
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				r, err := propose(t, leader, put(fmt.Sprint("s", i), 1, "a"))
				assert.Check(t, err)
				assert.Check(t, r.Err())
				_, ok := leader.View().Documents[fmt.Sprint("s", i)]
				assert.Check(t, ok, "an answered change can be read")
			})
		}
		wg.Wait()
		synctest.Wait()
		assert.Assert(t, folder.Syncs-before <= 20, "%d syncs for 200 changes", folder.Syncs-before)
	})
}
