package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/wal/waltest"
)

// lossKind is a way in which a host is lost.
type lossKind string

const (
	lossNone    lossKind = ""
	lossStopped lossKind = "stopped" // the process ends and keeps its disk
	lossSilent  lossKind = "silent"  // it sends nothing
	lossWiped   lossKind = "wiped"   // it starts again with an empty disk
	lossCutOff  lossKind = "cut off" // it sends and receives nothing
)

// plannedStopRun is a random schedule of planned replacements, during or right after
// each of which as many other hosts are lost as the deployment tolerates.
type plannedStopRun struct {
	*diskLossRun
	absent map[table.HostID]lossKind // lost hosts that are not back
}

func newPlannedStopRun(t *testing.T, c promise, seed uint64) *plannedStopRun {
	r := &plannedStopRun{diskLossRun: newDiskLossRun(t, c, seed), absent: map[table.HostID]lossKind{}}
	r.rng = rand.New(rand.NewPCG(seed, 42))
	return r
}

// lose loses a host that is not lost yet.
func (r *plannedStopRun) lose(stopping table.HostID) {
	hosts := slices.DeleteFunc(r.running(), func(h table.HostID) bool { return h == stopping || r.absent[h] != lossNone })
	host := hosts[0]
	switch r.rng.IntN(3) {
	case 0:
		r.record(host, lossStopped)
		r.crash(r.t, host)
	case 1:
		r.record(host, lossWiped)
		r.crash(r.t, host)
		r.add(r.t, host, r.pickSeeds(""))
	default:
		r.disconnect(host)
	}
}

// disconnect cuts a host off or silences it.
func (r *plannedStopRun) disconnect(host table.HostID) {
	if r.rng.IntN(2) == 0 {
		r.record(host, lossSilent)
		r.muteAbsent()
		return
	}
	r.record(host, lossCutOff)
	r.setIsolated(host, true)
}

func (r *plannedStopRun) record(host table.HostID, kind lossKind) {
	r.note("%s %s", host, kind)
	r.absent[host] = kind
}

// muteAbsent lets the silent hosts send nothing.
func (r *plannedStopRun) muteAbsent() {
	muted := map[table.HostID]bool{}
	for host, kind := range r.absent {
		muted[host] = kind == lossSilent
	}
	r.setPower(func(h table.HostID) bool { return !muted[h] })
}

// returnAll brings all lost hosts back.
func (r *plannedStopRun) returnAll() {
	for host, kind := range r.absent {
		delete(r.absent, host)
		if kind == lossStopped {
			r.start(r.t, host)
		}
		r.setIsolated(host, false)
	}
	r.setPower(nil)
}

// replaceAsPlanned adds a successor, lets it catch up and stops another host for good.
// At random times from before the request to stop until 2 s after the exit, as many
// hosts are lost as the deployment tolerates. The host that stops may be one of them; it
// no longer counts once it has stopped.
func (r *plannedStopRun) replaceAsPlanned() {
	r.added++
	next := table.HostID(fmt.Sprint("n", r.added))
	r.add(r.t, next, r.pickSeeds(""))
	r.pass(r.catchUp)
	old := r.running()[0]
	losses := r.disks
	if r.rng.IntN(3) == 0 { // some are lost before
		r.lose(old)
		losses--
		r.pass(time.Duration(r.rng.IntN(3000)) * time.Millisecond)
	}
	r.note("%s asked to stop, successor %s", old, next)
	isOldLost := losses == r.disks && r.rng.IntN(3) == 0
	if isOldLost && r.rng.IntN(2) == 0 {
		r.disconnect(old)
	}
	left := r.leaving(r.t, old)
	if isOldLost && r.absent[old] == lossNone {
		time.Sleep(time.Duration(r.rng.IntN(400)) * time.Millisecond)
		r.disconnect(old)
	}
	for losses > 0 && !isOldLost && r.rng.IntN(2) == 0 { // some are lost while it stops
		time.Sleep(time.Duration(r.rng.IntN(400)) * time.Millisecond)
		r.lose(old)
		losses--
	}
	r.note("%s has stopped, left: %t", old, <-left)
	r.endServer(r.t, old, true)
	r.voters = slices.DeleteFunc(slices.Clone(r.voters), func(h table.HostID) bool { return h == old })
	delete(r.absent, old)
	for ; losses > 0; losses-- {
		time.Sleep(time.Duration(r.rng.IntN(2000)) * time.Millisecond)
		r.lose(old)
	}
}

// checkServing checks that a leader has every acknowledged change and accepts another
// one, with the lost hosts still lost.
func (r *plannedStopRun) checkServing() {
	r.t.Helper()
	got := r.versionWithin(r.t, r.recovery)
	assert.Assert(r.t, got >= r.version, "version %d, acknowledged %d: %v", got, r.version, r.history)
	before := r.version
	r.change()
	assert.Assert(r.t, r.version > before, "no change is accepted: %v", r.history)
}

// Guards against a planned stop that keeps the vote of the host until the host has been
// silent for some time: when another host was lost meanwhile, no leader was left, for
// good, although the successor held the whole log.
func TestLossesAroundPlannedReplacements(t *testing.T) {
	for _, c := range []promise{
		{hosts: 3, disks: 1, catchUp: 4 * time.Second, recovery: 12 * time.Second},
		{hosts: 4, disks: 1, catchUp: 4 * time.Second, recovery: 12 * time.Second},
		{hosts: 5, disks: 2, catchUp: 6 * time.Second, recovery: 15 * time.Second},
		{hosts: 6, disks: 2, catchUp: 6 * time.Second, recovery: 15 * time.Second},
	} {
		for seed := range uint64(plannedStopSeeds) {
			t.Run(fmt.Sprintf("%d of %d hosts, seed %d", c.disks, c.hosts, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newPlannedStopRun(t, c, seed)
					r.startAll(t)
					defer r.crashAll(t)
					r.pass(10 * time.Second)
					for range 3 {
						r.change()
						r.replaceAsPlanned()
						r.checkServing()
						r.returnAll()
						r.pass(r.catchUp + time.Duration(r.rng.IntN(2000))*time.Millisecond)
					}
				})
			})
		}
	}
}

// plannedStopSeeds is the number of schedules for each deployment.
const plannedStopSeeds = 30

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
