package control

import (
	"context"
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

// Two voters that are cut off for a while keep their disks, so they count when
// two others lose theirs. They were removed from the voters: of the four voters
// that remained, the two with a disk were no majority, for good.
func TestCutOffVotersStillCountWhenDisksAreLost(t *testing.T) {
	testDisksLostAfterACut(t, 2)
}

// Guards against a deployment that tolerates the loss of one machine or one failure domain
// and has two control hosts in each: those of one domain are cut off for a while, then
// those of another lose their disks while all lose power.
func TestDisksOfADomainLostAfterAnotherWasCutOff(t *testing.T) {
	testDisksLostAfterACut(t, 1)
}

// cutRecovery is how long control hosts may take to lead again once all are back.
const cutRecovery = 12 * time.Second

// testDisksLostAfterACut cuts two of six control hosts off until the membership has
// changed. Then all lose power and two others their disks. What was acknowledged must
// come back.
func testDisksLostAfterACut(t *testing.T, tolerance int) {
	synctest.Test(t, func(t *testing.T) {
		n := newOpenNetworkOf(6)
		n.tolerance = tolerance
		n.startAll(t)
		defer n.crashAll(t)
		waitForMembership()
		leader := n.leader(t)
		others := slices.DeleteFunc(voters(leader), func(h table.HostID) bool { return h == leader.cfg.Host })
		cut, wiped := others[:2], others[2:4]
		for _, host := range cut {
			n.setIsolated(host, true)
		}
		waitForMembership()
		n.proposeUntilAnswered(t, put("s", 1, "acknowledged"))
		n.losePowerOfAll(t, wiped, func(int) int { return 0 })
		for _, host := range cut {
			n.setIsolated(host, false)
		}
		n.startAll(t)
		assert.Equal(t, n.versionWithin(t, cutRecovery), uint64(1))
	})
}

// losePowerOfAll stops all running hosts at once. The hosts in wiped lose their
// disks; keep is passed to Folder.Crash for the others.
func (n *openNetwork) losePowerOfAll(t *testing.T, wiped []table.HostID, keep func(unsynced int) int) {
	t.Helper()
	n.setPower(func(table.HostID) bool { return false })
	for _, host := range n.voters {
		n.folders[host].SetAllowOperation(func() bool { return false })
	}
	for _, host := range n.voters {
		if n.server(host) == nil {
			continue
		}
		folder := n.folders[host]
		n.crash(t, host)
		n.folders[host] = folder.Crash(keep)
		if slices.Contains(wiped, host) {
			n.folders[host] = waltest.NewFolder()
		}
	}
	n.setPower(nil)
}

// versionWithin waits at most d for a leader that may act, and returns the
// version of document "s" there, or 0.
func (n *openNetwork) versionWithin(t *testing.T, d time.Duration) uint64 {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(DefaultTickInterval) {
		for _, host := range n.voters {
			s := n.server(host)
			if s == nil {
				continue
			}
			if _, _, leased := s.Leader(); leased && s.CaughtUp() {
				return s.View().Documents["s"].Version
			}
		}
	}
	return 0
}

// promise is what a deployment survives.
type promise struct {
	hosts, disks int
	// catchUp is how long a host with an empty disk counts as lost after its
	// start. recovery is how long the hosts may take after a power loss of all.
	catchUp, recovery time.Duration
}

// diskLossRun is a random schedule of replaced, wiped, cut and restarted hosts
// that ends in a power loss of all hosts, some of which lose their disks.
type diskLossRun struct {
	*openNetwork
	promise
	t       *testing.T
	rng     *rand.Rand
	added   int
	version uint64                     // last acknowledged version of document "s"
	lost    map[table.HostID]time.Time // hosts without their disk, and when they count again
	cut     map[table.HostID]time.Time // isolated hosts, and when they are connected again
	history []string
}

func newDiskLossRun(t *testing.T, c promise, seed uint64) *diskLossRun {
	n := newOpenNetworkOf(c.hosts)
	n.tolerance = c.disks
	return &diskLossRun{
		openNetwork: n, promise: c, t: t, rng: rand.New(rand.NewPCG(seed, 35)),
		lost: map[table.HostID]time.Time{}, cut: map[table.HostID]time.Time{},
	}
}

func (r *diskLossRun) note(format string, args ...any) {
	r.history = append(r.history, fmt.Sprintf(format, args...))
}

// running returns the running hosts in random order.
func (r *diskLossRun) running() (hosts []table.HostID) {
	for _, host := range r.voters {
		if r.server(host) != nil {
			hosts = append(hosts, host)
		}
	}
	r.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts
}

// pass lets time pass, connects hosts whose cut ends and forgets lost disks that
// have been repaired.
func (r *diskLossRun) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		now := time.Now()
		for host, until := range r.cut {
			if now.After(until) {
				r.setIsolated(host, false)
				delete(r.cut, host)
			}
		}
		for host, until := range r.lost {
			if now.After(until) {
				delete(r.lost, host)
			}
		}
	}
}

// change proposes the next version and records it if it is acknowledged.
func (r *diskLossRun) change() {
	for range 20 {
		for _, host := range r.running() {
			s := r.server(host)
			if _, _, leased := s.Leader(); !leased {
				continue
			}
			ctx, cancel := context.WithTimeout(r.t.Context(), time.Second)
			_, err := s.Propose(ctx, put("s", r.version+1, fmt.Sprint(r.version+1)))
			cancel()
			if err == nil {
				r.version++
				return
			}
		}
		r.pass(100 * time.Millisecond)
	}
}

// pickSeeds returns three hosts of the operator's list, which may still hold the
// host gone.
func (r *diskLossRun) pickSeeds(gone table.HostID) []table.HostID {
	list := r.running()
	if gone != "" && r.rng.IntN(2) == 0 {
		list = slices.Insert(list, r.rng.IntN(min(3, len(list))), gone)
	}
	return list[:min(3, len(list))]
}

// step performs one random disruption of a host that is in use.
func (r *diskLossRun) step() {
	host := r.running()[0]
	mayLoseDisk := len(r.lost) < r.disks && len(r.cut) == 0
	switch action := r.rng.IntN(5); {
	case action == 0 && mayLoseDisk: // replaced by an empty host at another address
		r.stopServer(r.t, host, r.rng.IntN(2) == 0)
		r.lost[host] = time.Now().Add(time.Hour)
		r.pass(time.Duration(r.rng.IntN(3000)) * time.Millisecond)
		r.added++
		next := table.HostID(fmt.Sprint("n", r.added))
		seeds := r.pickSeeds(host)
		r.note("%s replaced by %s, seeds %v", host, next, seeds)
		r.add(r.t, next, seeds)
		r.lost[host] = time.Now().Add(r.catchUp)
	case action == 1 && mayLoseDisk: // loses its disk
		r.crash(r.t, host)
		r.lost[host] = time.Now().Add(time.Hour)
		r.pass(time.Duration(r.rng.IntN(3000)) * time.Millisecond)
		seeds := r.pickSeeds(host)
		r.note("%s wiped, seeds %v", host, seeds)
		r.add(r.t, host, seeds)
		r.lost[host] = time.Now().Add(r.catchUp)
	case action == 2:
		r.cutOff(host, time.Duration(500+r.rng.IntN(5500))*time.Millisecond)
	case action == 3 && len(r.lost)+len(r.cut) < r.disks: // restarted
		r.note("%s restarted", host)
		r.stopServer(r.t, host, r.rng.IntN(2) == 0)
		r.pass(time.Duration(r.rng.IntN(4000)) * time.Millisecond)
		r.start(r.t, host)
	}
}

// cutOff disconnects a host for some time, if the deployment tolerates that. A
// host without its disk cannot catch up meanwhile.
func (r *diskLossRun) cutOff(host table.HostID, d time.Duration) {
	if _, isCut := r.cut[host]; isCut || len(r.lost)+len(r.cut) >= r.disks {
		return
	}
	r.note("%s cut off", host)
	r.setIsolated(host, true)
	r.cut[host] = time.Now().Add(d)
	if _, isLost := r.lost[host]; isLost {
		r.lost[host] = r.cut[host].Add(r.catchUp)
	}
}

// finish loses the power of all hosts and as many disks as may be lost, at times
// while hosts are cut off that keep theirs, and starts them again.
func (r *diskLossRun) finish() {
	if r.rng.IntN(2) == 0 {
		for _, host := range r.running()[:r.disks] {
			r.cutOff(host, time.Minute)
		}
		r.pass(time.Duration(r.rng.IntN(8000)) * time.Millisecond)
	}
	r.change()
	hosts := r.running()
	wiped := slices.Clone(hosts[:max(0, r.disks-len(r.lost))])
	r.note("power lost, wiped %v, lost before %v, cut off %v, members %v", wiped, r.lost, r.cut, r.membership())
	r.losePowerOfAll(r.t, wiped, func(unsynced int) int { return r.rng.IntN(unsynced + 1) })
	for host := range r.cut {
		r.setIsolated(host, false)
	}
	for _, host := range hosts {
		if slices.Contains(wiped, host) {
			r.seeds[host] = hosts[:3]
		}
		r.start(r.t, host)
		time.Sleep(time.Duration(r.rng.IntN(300)) * time.Millisecond)
	}
}

// membership returns the membership of the log that ends last.
func (r *diskLossRun) membership() string {
	for _, host := range r.running() {
		if _, self, _ := r.server(host).Leader(); self {
			return fmt.Sprint(r.server(host).Members())
		}
	}
	return "without leader"
}

// A deployment that loses at most the disks that it promises to survive, while
// all other hosts lose power, elects a leader once they are back and has every
// acknowledged change. A replaced or wiped host counts as lost until it has had
// the time to catch up.
func TestToleratedDisksAndPowerOfAllLost(t *testing.T) {
	for _, c := range []promise{
		{hosts: 3, disks: 1, catchUp: 4 * time.Second, recovery: 12 * time.Second},
		{hosts: 4, disks: 1, catchUp: 4 * time.Second, recovery: 12 * time.Second},
		{hosts: 6, disks: 2, catchUp: 6 * time.Second, recovery: 15 * time.Second},
	} {
		for seed := range uint64(diskLossSeeds) {
			t.Run(fmt.Sprintf("%d of %d hosts, seed %d", c.disks, c.hosts, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newDiskLossRun(t, c, seed)
					r.startAll(t)
					defer r.crashAll(t)
					r.pass(10 * time.Second)
					for range r.rng.IntN(10) {
						r.step()
						r.change()
						r.pass(time.Duration(r.rng.IntN(8000)) * time.Millisecond)
					}
					r.finish()
					got := r.versionWithin(t, r.recovery)
					assert.Assert(t, got >= r.version, "version %d, acknowledged %d: %v", got, r.version, r.history)
				})
			})
		}
	}
}

// diskLossSeeds is the number of schedules for each deployment.
const diskLossSeeds = 30

// A host is replaced as planned: its successor has had the time to catch up when it
// stops for good, so it does not count as lost any more, and the tolerated disks may
// be lost right after that. Its vote still counts until it has been silent for some
// time.
func TestDisksLostRightAfterAPlannedReplacement(t *testing.T) {
	for _, c := range []promise{
		{hosts: 3, disks: 1, catchUp: 4 * time.Second, recovery: 12 * time.Second},
		{hosts: 6, disks: 2, catchUp: 6 * time.Second, recovery: 15 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d of %d hosts", c.disks, c.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newDiskLossRun(t, c, 0)
				r.startAll(t)
				defer r.crashAll(t)
				r.pass(10 * time.Second)
				old := voters(r.leader(t))[0]
				r.add(t, "new", r.followers(t))
				r.pass(c.catchUp)
				r.stopServer(t, old, true)
				r.change()
				wiped := slices.DeleteFunc(voters(r.leader(t)), func(h table.HostID) bool { return h == old })[:c.disks]
				hosts := r.running()
				r.losePowerOfAll(t, wiped, func(int) int { return 0 })
				for _, host := range hosts {
					r.start(t, host)
				}
				assert.Equal(t, r.versionWithin(t, c.recovery), r.version)
			})
		})
	}
}

// Guards against an even number of voters for good, which a split into halves leaves
// without a majority: a voter comes back between the promotion of the standby and its
// own removal.
func TestVoterThatComesBackLateLeavesAnOddMembership(t *testing.T) {
	for _, down := range []time.Duration{1500, 1700, 1750, 1800, 1900, 2200} { // milliseconds
		synctest.Test(t, func(t *testing.T) {
			n := newOpenNetworkOf(4)
			n.startAll(t)
			defer n.crashAll(t)
			waitForMembership()
			host := n.followers(t)[0]
			for _, id := range n.leader(t).Members().Voters {
				if id.Host != n.leader(t).cfg.Host {
					host = id.Host
				}
			}
			n.crash(t, host)
			time.Sleep(down * time.Millisecond)
			n.start(t, host)
			waitForMembership()
			waitForMembership()
			assert.Equal(t, len(n.leader(t).Members().Voters)%2, 1, "down for %d ms", down)
		})
	}
}
