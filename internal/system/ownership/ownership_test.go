package ownership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const ms = time.Millisecond

// fixture drives a System and applies its proposals.
type fixture struct {
	*System
	now              time.Duration
	owners           map[table.InstanceID]table.Ownership
	dropProposals    bool // drop proposals instead of applying them
	moves            int
	handOverRequests []HandOver
	domainChanges    []DomainChange
}

func newFixture(domains, hostsEach int) *fixture {
	f := &fixture{System: New(DefaultConfig()), owners: map[table.InstanceID]table.Ownership{}}
	f.Lead(0)
	for d := range domains {
		for h := range hostsEach {
			f.heartbeat(d, h)
		}
	}
	return f
}

func hostID(domain, n int) table.HostID { return table.HostID(fmt.Sprintf("h%d-%d", domain, n)) }

func instanceID(domain, n int) table.InstanceID {
	return table.InstanceID(fmt.Sprintf("i%d-%d", domain, n))
}

func domainName(n int) table.Domain { return table.Domain(fmt.Sprint("d", n)) }

func (f *fixture) heartbeat(domain, n int) {
	f.HandleHeartbeat(f.now, table.Host{ID: hostID(domain, n), Domain: domainName(domain)})
}

func (f *fixture) drain(domain, n int) {
	f.HandleHeartbeat(f.now, table.Host{ID: hostID(domain, n), Domain: domainName(domain), Draining: true})
}

func (f *fixture) expire(domain, n int) { f.HandleLeaseChange(f.now, hostID(domain, n), lease.Expired) }

func (f *fixture) announce(domain, n int) {
	f.HandleAnnouncement(table.Instance{ID: instanceID(domain, n), Domain: domainName(domain), SeenAt: f.now})
}

func (f *fixture) owner(domain, n int) table.HostID { return f.owners[instanceID(domain, n)].Host }

// run calls Step every 20 ms for d and applies the proposals after each step.
func (f *fixture) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 20 * ms {
		for _, a := range f.Step(f.now) {
			switch a := a.(type) {
			case Propose:
				f.apply(a.Command.AssignOwners.Ownerships)
			case HandOver:
				f.handOverRequests = append(f.handOverRequests, a)
			case DomainChange:
				f.domainChanges = append(f.domainChanges, a)
			}
		}
	}
}

func (f *fixture) apply(ownerships []table.Ownership) {
	if f.dropProposals {
		return
	}
	for _, o := range ownerships {
		if o.Epoch != f.owners[o.Instance].Epoch+1 {
			continue
		}
		if f.owners[o.Instance].Host != o.Host {
			f.moves++
		}
		f.owners[o.Instance] = o
		f.SetOwner(f.now, o)
	}
}

// placement is a test case of TestPlacement, which has three failure domains
// with two hosts and six instances each.
type placement struct {
	name   string
	change func(f *fixture)
	check  func(f *fixture) error
}

var placements = []placement{
	{"chosen in its failure domain", func(*fixture) {}, func(f *fixture) error {
		for d := range 3 {
			for n := range 6 {
				if f.owner(d, n) != hostID(d, 0) && f.owner(d, n) != hostID(d, 1) {
					return fmt.Errorf("%v owned by %v", instanceID(d, n), f.owner(d, n))
				}
			}
		}
		return nil
	}},
	{"balanced", func(*fixture) {}, func(f *fixture) error { return f.checkLoads(0, 3, 3) }},
	{"late host keeps its instances", func(f *fixture) {
		f.HandleLeaseChange(f.now, hostID(0, 0), lease.Late)
	}, func(f *fixture) error { return f.checkLoads(0, 3, 3) }},
	{
		"dead host: moves within the failure domain", func(f *fixture) { f.expire(0, 0) },
		func(f *fixture) error { return f.checkLoads(0, 0, 6) },
	},
	{"proposal lost: proposed again", func(f *fixture) {
		f.dropProposals = true
		f.expire(0, 0)
		f.run(100 * ms)
		f.dropProposals = false
		f.run(400 * ms)
	}, func(f *fixture) error { return f.checkLoads(0, 0, 6) }},
	{"draining: stays until released", func(f *fixture) { f.drain(0, 0) }, func(f *fixture) error {
		if len(f.handOverRequests) != 3 || len(f.HandOvers(hostID(0, 0))) != 3 {
			return fmt.Errorf("hand-over requests: %v", f.handOverRequests)
		}
		return f.checkLoads(0, 3, 3)
	}},
	{"draining: moves once released", func(f *fixture) {
		f.drain(0, 0)
		f.run(40 * ms)
		for _, o := range f.handOverRequests {
			f.HandleRelease(o.Host, o.Instance, o.Epoch)
		}
	}, func(f *fixture) error { return f.checkLoads(0, 0, 6) }},
	{"release of an older epoch", func(f *fixture) {
		f.HandleRelease(f.owner(0, 0), instanceID(0, 0), 0)
	}, func(f *fixture) error {
		if f.owners[instanceID(0, 0)].Epoch != 1 {
			return fmt.Errorf("reassigned: %v", f.owners[instanceID(0, 0)])
		}
		return f.checkNoMoves()
	}},
	{"owner cannot reach it, no next owner requested: stays in the failure domain", func(f *fixture) {
		for n := range 6 {
			o := f.owners[instanceID(0, n)]
			f.RequestMove(f.now, o.Instance, hostID(0, 0), "")
			f.run(40 * ms)
			f.HandleRelease(hostID(0, 0), o.Instance, o.Epoch)
		}
	}, func(f *fixture) error { return f.checkLoads(0, 0, 6) }},
	{"owner cannot reach it: moves to the requested owner", func(f *fixture) {
		o := f.owners[instanceID(0, 0)]
		f.RequestMove(f.now, o.Instance, o.Host, hostID(1, 0))
		f.run(40 * ms)
		f.HandleRelease(o.Host, o.Instance, o.Epoch)
	}, func(f *fixture) error {
		if f.owner(0, 0) != hostID(1, 0) {
			return fmt.Errorf("owned by %v", f.owner(0, 0))
		}
		return nil
	}},
	{"moved away: no return before the hold-off", func(f *fixture) {
		o := f.owners[instanceID(0, 0)]
		f.RequestMove(f.now, o.Instance, o.Host, hostID(1, 0))
		f.run(40 * ms)
		f.HandleRelease(o.Host, o.Instance, o.Epoch)
		f.run(40 * ms)
		f.moves, f.handOverRequests = 0, nil
		f.run(9 * time.Second)
	}, func(f *fixture) error { return f.checkNoMoves() }},
	{"moved away: returns after the hold-off", func(f *fixture) {
		o := f.owners[instanceID(0, 0)]
		f.RequestMove(f.now, o.Instance, o.Host, hostID(1, 0))
		f.run(40 * ms)
		f.HandleRelease(o.Host, o.Instance, o.Epoch)
		f.run(20 * time.Second)
		last := f.handOverRequests[len(f.handOverRequests)-1]
		f.HandleRelease(last.Host, last.Instance, last.Epoch)
	}, func(f *fixture) error { return f.checkLoads(0, 3, 3) }},
}

func TestPlacement(t *testing.T) {
	for _, r := range placements {
		t.Run(r.name, func(t *testing.T) {
			f := newFixture(3, 2)
			f.now = time.Second
			for n := range 18 {
				f.announce(n/6, n%6)
			}
			f.run(40 * ms)
			f.moves = 0
			r.change(f)
			f.run(60 * ms)
			assert.NilError(t, r.check(f))
		})
	}
}

// checkLoads checks how many instances each of the two hosts of a domain owns.
func (f *fixture) checkLoads(domain, first, second int) error {
	count := map[table.HostID]int{}
	for _, o := range f.owners {
		count[o.Host]++
	}
	if count[hostID(domain, 0)] != first || count[hostID(domain, 1)] != second {
		return fmt.Errorf("instances by owner: %v", count)
	}
	return nil
}

func (f *fixture) checkNoMoves() error {
	if f.moves != 0 || len(f.handOverRequests) != 0 {
		return fmt.Errorf("%d moves, hand-over requests: %v", f.moves, f.handOverRequests)
	}
	return nil
}

func TestDomainCut(t *testing.T) {
	f := newFixture(3, 2)
	for n := range 18 {
		f.announce(n/6, n%6)
	}
	f.run(40 * ms)
	f.moves = 0
	f.now = 1500 * ms
	f.announce(0, 5) // its announcements still reach the leader
	f.expire(0, 0)
	f.run(60 * ms)
	assert.Assert(t, f.moves > 0, "the loss of one host is not a cut: its instances must move")
	f.moves = 0
	f.expire(0, 1)
	f.run(60 * ms)
	assert.DeepEqual(t, f.domainChanges, []DomainChange{{Domain: "d0", Cut: true}})
	assert.DeepEqual(t, f.CutDomains(), []table.Domain{"d0"})
	assert.Equal(t, f.moves, 1, "only the instance that still announces itself must move")
	assert.Assert(t, f.owner(0, 5) != hostID(0, 1))
	f.now += time.Second
	f.announce(0, 4)
	f.run(60 * ms)
	assert.Equal(t, f.moves, 2, "an instance that announces itself again must move")
	f.heartbeat(0, 1)
	f.run(100 * ms)
	assert.Equal(t, len(f.CutDomains()), 0)
	assert.Equal(t, f.owner(0, 0), hostID(0, 1), "the other instances must keep their owner")
	assert.Equal(t, f.moves, 2)
}

func TestDomainRecoversWithAnotherHost(t *testing.T) {
	f := newFixture(2, 2)
	f.announce(0, 0)
	f.run(40 * ms)
	f.now = 2 * time.Second
	f.expire(0, 0)
	f.expire(0, 1)
	f.run(40 * ms)
	recovered := 1
	if f.owner(0, 0) == hostID(0, 1) {
		recovered = 0
	}
	f.heartbeat(0, recovered)
	f.run(40 * ms)
	assert.Equal(t, f.owner(0, 0), hostID(0, recovered))
}

// TestLeaseBlockedUntilReassigned checks that an owner whose lease expired is
// granted no lease before the assignment of its instance to another host takes
// effect. Otherwise it could use the instance as well as the new owner.
func TestLeaseBlockedUntilReassigned(t *testing.T) {
	f := newFixture(1, 2)
	f.announce(0, 0)
	f.run(40 * ms)
	old := f.owner(0, 0)
	f.dropProposals = true
	f.HandleLeaseChange(f.now, old, lease.Expired)
	f.run(20 * ms)
	assert.Assert(t, f.LeaseBlocked(old))
	f.run(time.Second)
	assert.Assert(t, f.LeaseBlocked(old), "a retry must not unblock the lease")
	f.dropProposals = false
	f.run(time.Second)
	assert.Assert(t, f.owner(0, 0) != old)
	assert.Assert(t, !f.LeaseBlocked(old))
}

func TestNewLeader(t *testing.T) {
	f := newFixture(2, 2)
	for n := range 8 {
		f.announce(n/4, n%4)
	}
	f.run(40 * ms)
	f.moves = 0
	f.now = 5 * time.Second
	f.Lead(f.now)
	f.heartbeat(0, 0)
	f.announce(0, 0)
	f.run(500 * ms)
	assert.NilError(t, f.checkNoMoves(), "hosts without a heartbeat yet must keep their instances")
	f.heartbeat(1, 0)
	f.heartbeat(1, 1)
	f.expire(0, 1)
	for n := range 8 {
		f.announce(n/4, n%4)
	}
	f.run(60 * ms)
	assert.NilError(t, f.checkLoads(0, 4, 0))
}

func TestNewLeaderWaitsForHosts(t *testing.T) {
	f := newFixture(0, 0)
	f.heartbeat(1, 0)
	f.announce(0, 0)
	f.run(900 * ms)
	assert.Equal(t, len(f.owners), 0, "heartbeats of hosts in its failure domain may not have arrived yet")
	f.run(200 * ms)
	assert.Equal(t, f.owner(0, 0), hostID(1, 0))
}

func TestJoiningHostGetsItsShare(t *testing.T) {
	f := newFixture(1, 2)
	for n := range 24 {
		f.announce(0, n)
	}
	f.run(40 * ms)
	f.moves = 0
	f.heartbeat(0, 2)
	f.heartbeat(0, 3)
	f.run(9 * time.Second)
	assert.NilError(t, f.checkNoMoves(), "no moves before the hold-off ends")
	for range 2000 {
		f.run(20 * ms)
		for _, o := range f.handOverRequests {
			f.HandleRelease(o.Host, o.Instance, o.Epoch)
		}
		f.handOverRequests = nil
	}
	assert.Assert(t, f.moves > 0 && f.moves <= 24, "%d moves", f.moves)
	assert.Assert(t, f.hosts[hostID(0, 2)].load() >= 3 && f.hosts[hostID(0, 3)].load() >= 3)
	moved := f.moves
	f.run(20 * time.Second)
	assert.Equal(t, f.moves, moved, "moves must stop once the load is balanced")
}

func TestConfigValidate(t *testing.T) {
	assert.NilError(t, DefaultConfig().Validate())
	c := DefaultConfig()
	c.LoadPercent = 100
	assert.Assert(t, c.Validate() != nil)
	assert.Assert(t, Config{}.Validate() != nil)
}

// TestDrainingOwnerUnderNewLeader checks that a draining owner is asked to hand
// over an instance whose failure domain the new leader does not know yet. The
// leader learns that the owner is draining before the instance announces itself.
func TestDrainingOwnerUnderNewLeader(t *testing.T) {
	f := newFixture(1, 2)
	f.announce(0, 0)
	f.run(40 * ms)
	n := 0
	if f.owner(0, 0) == hostID(0, 1) {
		n = 1
	}
	f.now = 5 * time.Second
	f.Lead(f.now)
	f.heartbeat(0, 1-n)
	f.drain(0, n)
	f.run(100 * ms)
	assert.Equal(t, len(f.handOverRequests), 0, "the failure domain of the instance is not known yet")
	f.announce(0, 0)
	f.run(100 * ms)
	assert.Equal(t, len(f.handOverRequests), 1, "the draining owner must be asked to hand over")
}
