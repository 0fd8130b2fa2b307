package policybench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

// manyHostsProfile is one group whose work arrives at many entry hosts, each of
// which gets hints of an instance only a few times a second. share is the
// offered work as a share of the capacity.
func manyHostsProfile(instances int, share float64) Profile {
	weigh := Load{
		Class: "weigh", Rank: config.RankNormal, Mean: 18 * time.Millisecond, Variation: variation,
		Deadline: 1500 * time.Millisecond, Share: 0.62 * share, Callers: 200, Staleness: 2500 * time.Millisecond,
		Objective: 250 * time.Millisecond,
	}
	book := weigh
	book.Class, book.Share, book.Staleness = "book", 0.10*share, 0
	settle := Load{
		Class: "settle", Rank: config.RankUrgent, Mean: 6 * time.Millisecond, Variation: variation,
		Deadline: 1500 * time.Millisecond, Share: 0.05 * share, Callers: 50, Objective: 150 * time.Millisecond,
	}
	report := Load{
		Class: "report", Rank: config.RankBackground, Mean: 30 * time.Millisecond, Variation: variation,
		Deadline: 5 * time.Second, Share: 0.23 * share, Callers: 50, Staleness: 1500 * time.Millisecond,
		Objective: time.Second,
	}
	return Profile{
		Name: "many_hosts", Instances: instances, Slots: 4, GroupSize: instances, Hosts: 78,
		Floors: [config.RankCount]int{0, 20, 10}, IdlePercent: routedIdle, Routed: true,
		Loads: []Load{settle, book, weigh, report},
	}
}

// withinObjective returns the share of the offered requests that were answered
// within their objectives, over all classes and for the lowest class.
func (r *Result) withinObjective() (all, lowest float64) {
	offered, within := 0, 0
	lowest = 1
	for i := range r.Classes {
		c := &r.Classes[i]
		offered += c.Offered
		within += c.WithinObjective
		lowest = min(lowest, float64(c.WithinObjective)/float64(max(1, c.Offered)))
	}
	return float64(within) / float64(offered), lowest
}

// checkObjectives requires that at least 95 % of the requests of every class
// are answered within their objectives.
func checkObjectives(t *testing.T, instances int) {
	t.Helper()
	t.Logf("seed %d", seed)
	for _, share := range []float64{0.5, 0.65, 0.8} {
		r, err := Run(manyHostsProfile(instances, share), AdmissionQueue, routedLength, seed)
		assert.NilError(t, err)
		all, lowest := r.withinObjective()
		t.Logf("load %v: %v within the objective, lowest class %v", share, all, lowest)
		for i := range r.Classes {
			c := &r.Classes[i]
			t.Logf("  %s: offered %d, within objective %d, in time %d, refused %d, p99 %v", c.Class, c.Offered, c.WithinObjective, c.InTime, c.Refused, c.P99())
		}
		assert.Check(t, lowest >= 0.95, "load %v", share)
	}
}

// A group that has lost one of its two replicas serves its usual work. The
// primary has to take the reads that exceed the remaining replica, so that no
// read waits long or is refused.
func TestGroupWithOneReplicaLeft(t *testing.T) { checkObjectives(t, 2) }

// With both replicas there are enough slots for the reads.
func TestGroupWithAllReplicas(t *testing.T) { checkObjectives(t, 3) }
