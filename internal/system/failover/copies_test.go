package failover_test

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// copiesSeed is the seed of the random histories, unless -rapid.seed is set.
	copiesSeed = "36"
	// copiesChecks is the number of histories of each kind, unless -rapid.checks is
	// set.
	copiesChecks = "1500"
	// copiesRecovery is how long after the last fault a group may take to serve. It
	// includes the time in which an old primary steps down.
	copiesRecovery = 8 * time.Second
	// changeTarget is the longest time that a change of primary may take.
	changeTarget = 16 * time.Second
	maxCopies    = 8
)

// event is a kind of event of a history. It reports whether it could happen.
type event struct {
	name  string
	apply func(w *copiesWorld, t *rapid.T) bool
}

var (
	writes = event{"write", func(w *copiesWorld, t *rapid.T) bool {
		first := rapid.IntRange(0, 2).Draw(t, "first receiver")
		for range rapid.IntRange(1, 3).Draw(t, "writes") {
			for _, c := range w.copies {
				w.writeTo(c, first)
			}
		}
		return true
	}}
	passes = event{"pass", func(w *copiesWorld, t *rapid.T) bool {
		w.run(time.Duration(rapid.SampledFrom([]int{20, 100, 300, 700, 1500, 4000}).Draw(t, "ms")) * ms)
		return true
	}}
	cuts = event{"cut", func(w *copiesWorld, t *rapid.T) bool {
		if w.cut >= 0 {
			return false
		}
		w.cut = rapid.IntRange(0, worldZones-1).Draw(t, "zone")
		return true
	}}
	heals = event{"heal", func(w *copiesWorld, _ *rapid.T) bool {
		healed := w.cut >= 0
		w.cut = -1
		return healed
	}}
	joins = event{"join", func(w *copiesWorld, t *rapid.T) bool {
		if len(w.copies) >= maxCopies {
			return false
		}
		w.join(rapid.IntRange(0, worldZones-1).Draw(t, "zone"))
		return true
	}}
	leaves = event{"leave", func(w *copiesWorld, t *rapid.T) bool {
		c := w.draw(t, func(c *nodeCopy) bool { return c.up && !c.leaving })
		if c != nil {
			c.leaving, c.exitAt, c.nextAnnounceAt = true, w.now+3*time.Second, w.now
		}
		return c != nil
	}}
	crashes = event{"crash", func(w *copiesWorld, t *rapid.T) bool {
		c := w.draw(t, func(c *nodeCopy) bool { return c.up })
		if c != nil {
			w.crash(c)
		}
		return c != nil
	}}
	returns = event{"return", func(w *copiesWorld, t *rapid.T) bool {
		c := w.draw(t, w.mayReturn)
		if c != nil {
			w.comeBack(c, rapid.Bool().Draw(t, "new id"))
		}
		return c != nil
	}}
	deafens = event{"deaf", func(w *copiesWorld, t *rapid.T) bool {
		c := w.draw(t, func(c *nodeCopy) bool { return c.up })
		if c != nil {
			c.deaf = !c.deaf
		}
		return c != nil
	}}
	powerLoss = event{"power loss", func(w *copiesWorld, t *rapid.T) bool {
		w.powerOff()
		w.run(time.Duration(rapid.IntRange(1, 50).Draw(t, "ticks")) * worldTick)
		w.powerOn()
		return true
	}}
	elections = event{"election", func(w *copiesWorld, _ *rapid.T) bool {
		w.startLeading()
		return true
	}}
)

// draw draws one of the copies that fit, nil if none does.
func (w *copiesWorld) draw(t *rapid.T, fits func(*nodeCopy) bool) *nodeCopy {
	var all []*nodeCopy
	for _, c := range w.copies {
		if fits(c) {
			all = append(all, c)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[rapid.IntRange(0, len(all)-1).Draw(t, "copy")]
}

// join starts a new instance in a zone, which receives at once.
func (w *copiesWorld) join(zone int) *nodeCopy {
	id := table.InstanceID(fmt.Sprint("i-", len(w.copies)))
	return w.start(id, fmt.Sprint("10.0.0.1:", len(w.copies)), zone, nil)
}

// crash ends a copy. Only a primary keeps its log.
func (w *copiesWorld) crash(c *nodeCopy) {
	c.up = false
	if c.role != table.RolePrimary {
		c.log = nil
	}
}

// mayReturn reports whether a copy has crashed and no later one runs at its address.
func (w *copiesWorld) mayReturn(c *nodeCopy) bool {
	if c.up || c.leaving {
		return false
	}
	for _, other := range w.copies {
		if other.address == c.address && other.born > c.born {
			return false
		}
	}
	return true
}

// comeBack starts an instance again that has crashed. The primary of the latest
// term continues; an older one follows once it reaches the new one; a replica copies
// the log of the primary.
func (w *copiesWorld) comeBack(c *nodeCopy, newID bool) *nodeCopy {
	id := c.id
	if newID {
		id = table.InstanceID(fmt.Sprint("i-", len(w.copies)))
	}
	next := w.start(id, c.address, c.zone, c.log)
	switch {
	case w.lead == c:
		next.role, next.term = table.RolePrimary, c.term
		w.lead = next
	case c.role == table.RolePrimary:
		next.role, next.term = table.RoleReplica, c.term
	default:
		next.copying = w.now + time.Second
	}
	return next
}

// recover ends all faults, brings the primary of the latest term back if it crashed,
// and checks that the group then serves: that primary holds every acknowledged write.
func (w *copiesWorld) recover(t fataler, within time.Duration) {
	w.cut = -1
	w.platform.faults = platformFaults{}
	for _, c := range w.copies {
		c.deaf, c.hidden, c.alone = false, false, false
	}
	if !w.lead.up {
		if !w.mayReturn(w.lead) {
			return // it left for good
		}
		w.comeBack(w.lead, true)
	}
	if !w.leading {
		w.powerOn()
	}
	if w.lead.leaving {
		return
	}
	if len(w.replicas()) == 0 {
		w.join(0) // a primary acknowledges nothing without a replica
	}
	w.run(within)
	if w.lead.leaving {
		return // an instance that was leaving was promoted meanwhile
	}
	if !w.serves() {
		t.Fatalf("RECOVER: the primary of the latest term is back, and the group serves nothing: %v", w.describe())
	}
}

func (w *copiesWorld) replicas() []*nodeCopy {
	var all []*nodeCopy
	for _, c := range w.copies {
		if c.up && c != w.lead && !c.leaving {
			all = append(all, c)
		}
	}
	return all
}

// checkHistories plays random histories of events. At each promotion it checks that
// nothing acknowledged is lost, and at the end, unless recovery is zero, that the group
// serves after that time.
func checkHistories(t *testing.T, recovery time.Duration, events ...event) {
	t.Helper()
	assert.NilError(t, setRapidFlags())
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		w := newCopiesWorld(rt)
		for range rapid.IntRange(1, 25).Draw(rt, "events") {
			e := events[rapid.IntRange(0, len(events)-1).Draw(rt, "event")]
			w.note("%s", e.name)
			e.apply(w, rt)
		}
		if recovery > 0 {
			w.recover(rt, recovery)
		}
	})
}

// setRapidFlags sets the flags of rapid that the command line does not set.
var setRapidFlags = sync.OnceValue(func() error {
	defaults := map[string]string{
		"rapid.seed": copiesSeed, "rapid.checks": copiesChecks, "rapid.nofailfile": "true", "rapid.shrinktime": "2s",
	}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			return err
		}
	}
	return nil
})

// TestHistoriesOfUnknownReplicas guards against the loss of writes that only a
// replica confirmed that control had not heard of.
func TestHistoriesOfUnknownReplicas(t *testing.T) {
	checkHistories(t, copiesRecovery, writes, writes, passes, cuts, heals, joins)
}

// TestHistoriesOfEmptiedReplicas guards against the loss of writes that only a
// replica confirmed that started again without its log.
func TestHistoriesOfEmptiedReplicas(t *testing.T) {
	checkHistories(t, 0, writes, writes, passes, deafens, crashes, returns)
}

// TestHistoriesOfCopiesThatNeverReturn guards against a group that serves nothing
// although the primary that holds every acknowledged write is back.
func TestHistoriesOfCopiesThatNeverReturn(t *testing.T) {
	checkHistories(t, copiesRecovery, writes, passes, crashes, returns, powerLoss)
}

// TestHistoriesOfAllKinds guards against the faults above where they meet, and
// beside replicas that leave and changes of the leader.
func TestHistoriesOfAllKinds(t *testing.T) {
	checkHistories(t, copiesRecovery, writes, writes, passes, cuts, heals, joins, leaves, crashes, returns, deafens, powerLoss, elections)
}
