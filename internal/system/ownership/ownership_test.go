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

// fixture drives a system and applies what it proposes.
type fixture struct {
	*System
	now    time.Duration
	owners map[table.InstanceID]table.Ownership
	drop   bool // lose proposals instead of applying them
	moves  int
	told   []HandOver
	cuts   []DomainCut
}

func newFixture(domains, hostsEach int) *fixture {
	f := &fixture{System: New(DefaultConfig()), owners: map[table.InstanceID]table.Ownership{}}
	f.Lead(0)
	for d := range domains {
		for h := range hostsEach {
			f.beat(d, h)
		}
	}
	return f
}

func hostID(domain, n int) table.HostID { return table.HostID(fmt.Sprintf("h%d-%d", domain, n)) }

func instanceID(domain, n int) table.InstanceID {
	return table.InstanceID(fmt.Sprintf("i%d-%d", domain, n))
}

func domainName(n int) table.Domain { return table.Domain(fmt.Sprint("d", n)) }

func (f *fixture) beat(domain, n int) {
	f.HostSeen(f.now, table.Host{ID: hostID(domain, n), Domain: domainName(domain)})
}

func (f *fixture) drain(domain, n int) {
	f.HostSeen(f.now, table.Host{ID: hostID(domain, n), Domain: domainName(domain), Draining: true})
}

func (f *fixture) expire(domain, n int) { f.LeaseChanged(f.now, hostID(domain, n), lease.Expired) }

func (f *fixture) announce(domain, n int) {
	f.Announced(table.Instance{ID: instanceID(domain, n), Domain: domainName(domain), SeenAt: f.now})
}

func (f *fixture) owner(domain, n int) table.HostID { return f.owners[instanceID(domain, n)].Host }

// run steps for d and applies proposals after each step.
func (f *fixture) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 20 * ms {
		for _, a := range f.Step(f.now) {
			switch a := a.(type) {
			case Propose:
				f.apply(a.Command.AssignOwners.Ownerships)
			case HandOver:
				f.told = append(f.told, a)
			case DomainCut:
				f.cuts = append(f.cuts, a)
			}
		}
	}
}

func (f *fixture) apply(ownerships []table.Ownership) {
	if f.drop {
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
		f.Assigned(f.now, o)
	}
}

// placement is a row of TestPlacement: three failure domains with two hosts and
// six instances each.
type placement struct {
	name string
	do   func(f *fixture)
	want func(f *fixture) error
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
	{"balanced", func(*fixture) {}, func(f *fixture) error { return f.loads(0, 3, 3) }},
	{"late host keeps its instances", func(f *fixture) {
		f.LeaseChanged(f.now, hostID(0, 0), lease.Late)
	}, func(f *fixture) error { return f.loads(0, 3, 3) }},
	{
		"dead host: moves within the failure domain", func(f *fixture) { f.expire(0, 0) },
		func(f *fixture) error { return f.loads(0, 0, 6) },
	},
	{"proposal lost: proposed again", func(f *fixture) {
		f.drop = true
		f.expire(0, 0)
		f.run(100 * ms)
		f.drop = false
		f.run(400 * ms)
	}, func(f *fixture) error { return f.loads(0, 0, 6) }},
	{"draining: stays until released", func(f *fixture) { f.drain(0, 0) }, func(f *fixture) error {
		if len(f.told) != 3 || len(f.HandOvers(hostID(0, 0))) != 3 {
			return fmt.Errorf("told %v", f.told)
		}
		return f.loads(0, 3, 3)
	}},
	{"draining: moves once released", func(f *fixture) {
		f.drain(0, 0)
		f.run(40 * ms)
		for _, o := range f.told {
			f.Released(o.Host, o.Instance, o.Epoch)
		}
	}, func(f *fixture) error { return f.loads(0, 0, 6) }},
	{"release of an older epoch", func(f *fixture) {
		f.Released(f.owner(0, 0), instanceID(0, 0), 0)
	}, func(f *fixture) error {
		if f.owners[instanceID(0, 0)].Epoch != 1 {
			return fmt.Errorf("assigned anew: %v", f.owners[instanceID(0, 0)])
		}
		return f.noMoves()
	}},
	{"owner cannot reach it, no other named: stays in the failure domain", func(f *fixture) {
		for n := range 6 {
			o := f.owners[instanceID(0, n)]
			f.Move(f.now, o.Instance, hostID(0, 0), "")
			f.run(40 * ms)
			f.Released(hostID(0, 0), o.Instance, o.Epoch)
		}
	}, func(f *fixture) error { return f.loads(0, 0, 6) }},
	{"owner cannot reach it: handed to the one that can", func(f *fixture) {
		o := f.owners[instanceID(0, 0)]
		f.Move(f.now, o.Instance, o.Host, hostID(1, 0))
		f.run(40 * ms)
		f.Released(o.Host, o.Instance, o.Epoch)
	}, func(f *fixture) error {
		if f.owner(0, 0) != hostID(1, 0) {
			return fmt.Errorf("owned by %v", f.owner(0, 0))
		}
		return nil
	}},
	{"moved away: no return before the hold-off", func(f *fixture) {
		o := f.owners[instanceID(0, 0)]
		f.Move(f.now, o.Instance, o.Host, hostID(1, 0))
		f.run(40 * ms)
		f.Released(o.Host, o.Instance, o.Epoch)
		f.run(40 * ms)
		f.moves, f.told = 0, nil
		f.run(9 * time.Second)
	}, func(f *fixture) error { return f.noMoves() }},
	{"moved away: returns after the hold-off", func(f *fixture) {
		o := f.owners[instanceID(0, 0)]
		f.Move(f.now, o.Instance, o.Host, hostID(1, 0))
		f.run(40 * ms)
		f.Released(o.Host, o.Instance, o.Epoch)
		f.run(20 * time.Second)
		last := f.told[len(f.told)-1]
		f.Released(last.Host, last.Instance, last.Epoch)
	}, func(f *fixture) error { return f.loads(0, 3, 3) }},
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
			r.do(f)
			f.run(60 * ms)
			assert.NilError(t, r.want(f))
		})
	}
}

// loads compares how many instances each of the two hosts of a domain owns.
func (f *fixture) loads(domain, first, second int) error {
	count := map[table.HostID]int{}
	for _, o := range f.owners {
		count[o.Host]++
	}
	if count[hostID(domain, 0)] != first || count[hostID(domain, 1)] != second {
		return fmt.Errorf("owned: %v", count)
	}
	return nil
}

func (f *fixture) noMoves() error {
	if f.moves != 0 || len(f.told) != 0 {
		return fmt.Errorf("%d moves, asked to hand over %v", f.moves, f.told)
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
	f.announce(0, 5) // still reaches this side
	f.expire(0, 0)
	f.run(60 * ms)
	assert.Assert(t, f.moves > 0, "one host alone is no cut: its instances move")
	f.moves = 0
	f.expire(0, 1)
	f.run(60 * ms)
	assert.DeepEqual(t, f.cuts, []DomainCut{{Domain: "d0", Lost: true}})
	assert.DeepEqual(t, f.CutDomains(), []table.Domain{"d0"})
	assert.Equal(t, f.moves, 1, "only the instance that still announces itself moves")
	assert.Assert(t, f.owner(0, 5) != hostID(0, 1))
	f.now += time.Second
	f.announce(0, 4)
	f.run(60 * ms)
	assert.Equal(t, f.moves, 2, "an instance that announces itself again moves")
	f.beat(0, 1)
	f.run(100 * ms)
	assert.Equal(t, len(f.CutDomains()), 0)
	assert.Equal(t, f.owner(0, 0), hostID(0, 1), "the rest was never taken away")
	assert.Equal(t, f.moves, 2)
}

func TestDomainBackWithOtherHost(t *testing.T) {
	f := newFixture(2, 2)
	f.announce(0, 0)
	f.run(40 * ms)
	f.now = 2 * time.Second
	f.expire(0, 0)
	f.expire(0, 1)
	f.run(40 * ms)
	back := 1
	if f.owner(0, 0) == hostID(0, 1) {
		back = 0
	}
	f.beat(0, back)
	f.run(40 * ms)
	assert.Equal(t, f.owner(0, 0), hostID(0, back))
}

// TestBarred checks that an owner whose lease expired gets none before the
// assignment to another host took effect.
func TestBarred(t *testing.T) {
	f := newFixture(1, 2)
	f.announce(0, 0)
	f.run(40 * ms)
	old := f.owner(0, 0)
	f.drop = true
	f.LeaseChanged(f.now, old, lease.Expired)
	f.run(20 * ms)
	assert.Assert(t, f.Barred(old))
	f.run(time.Second)
	assert.Assert(t, f.Barred(old), "a retry does not lift it")
	f.drop = false
	f.run(time.Second)
	assert.Assert(t, f.owner(0, 0) != old)
	assert.Assert(t, !f.Barred(old))
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
	f.beat(0, 0)
	f.announce(0, 0)
	f.run(500 * ms)
	assert.NilError(t, f.noMoves(), "hosts not heard of yet keep what they own")
	f.beat(1, 0)
	f.beat(1, 1)
	f.expire(0, 1)
	for n := range 8 {
		f.announce(n/4, n%4)
	}
	f.run(60 * ms)
	assert.NilError(t, f.loads(0, 4, 0))
}

func TestNewLeaderWaitsForHosts(t *testing.T) {
	f := newFixture(0, 0)
	f.beat(1, 0)
	f.announce(0, 0)
	f.run(900 * ms)
	assert.Equal(t, len(f.owners), 0, "hosts of its failure domain may not have been heard of yet")
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
	f.beat(0, 2)
	f.beat(0, 3)
	f.run(9 * time.Second)
	assert.NilError(t, f.noMoves(), "not before the hold-off")
	for range 2000 {
		f.run(20 * ms)
		for _, o := range f.told {
			f.Released(o.Host, o.Instance, o.Epoch)
		}
		f.told = nil
	}
	assert.Assert(t, f.moves > 0 && f.moves <= 24, "%d moves", f.moves)
	assert.Assert(t, f.hosts[hostID(0, 2)].load() >= 3 && f.hosts[hostID(0, 3)].load() >= 3)
	moved := f.moves
	f.run(20 * time.Second)
	assert.Equal(t, f.moves, moved, "it settles")
}

func TestConfigValidate(t *testing.T) {
	assert.NilError(t, DefaultConfig().Validate())
	c := DefaultConfig()
	c.LoadPercent = 100
	assert.Assert(t, c.Validate() != nil)
	assert.Assert(t, Config{}.Validate() != nil)
}

// TestDrainingOwnerMeetsANewLeader has the new leader hear of the draining
// owner before the instance announces itself.
func TestDrainingOwnerMeetsANewLeader(t *testing.T) {
	f := newFixture(1, 2)
	f.announce(0, 0)
	f.run(40 * ms)
	n := 0
	if f.owner(0, 0) == hostID(0, 1) {
		n = 1
	}
	f.now = 5 * time.Second
	f.Lead(f.now)
	f.beat(0, 1-n)
	f.drain(0, n)
	f.run(100 * ms)
	assert.Equal(t, len(f.told), 0, "nothing is known of the instance yet")
	f.announce(0, 0)
	f.run(100 * ms)
	assert.Equal(t, len(f.told), 1, "the draining owner is asked to hand over")
}
