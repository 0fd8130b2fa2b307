package policybench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

// manyHosts is a group whose work comes over many entry hosts: each hears of an
// instance only a few times a second. The work is a share of the capacity.
func manyHosts(instances int, share float64) Profile {
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

// soon is the share of the answers within their objectives.
func (r *Result) soon() (all, least float64) {
	offered, inTime := 0, 0
	least = 1
	for i := range r.Classes {
		c := &r.Classes[i]
		offered += c.Offered
		inTime += c.Soon
		least = min(least, float64(c.Soon)/float64(max(1, c.Offered)))
	}
	return float64(inTime) / float64(offered), least
}

// checkSoon holds the share of answers within their objectives against what
// callers are to see, for every class.
func checkSoon(t *testing.T, instances int) {
	t.Helper()
	t.Logf("seed %d", seed)
	for _, share := range []float64{0.5, 0.65, 0.8} {
		r, err := Run(manyHosts(instances, share), Chosen, routedLength, seed)
		assert.NilError(t, err)
		all, least := r.soon()
		t.Logf("load %v: %v within the objective, the least of a class %v", share, all, least)
		for i := range r.Classes {
			c := &r.Classes[i]
			t.Logf("  %s: offered %d, soon %d, in time %d, refused %d, p99 %v", c.Class, c.Offered, c.Soon, c.InTime, c.Refused, c.P99())
		}
		assert.Check(t, least >= 0.95, "load %v", share)
	}
}

// A group that lost one of its two replicas, under its usual work: the primary
// has room for the reads that the other replica cannot take, so that none of
// them has to wait for long or be refused.
func TestGroupWithOneReplicaLeft(t *testing.T) { checkSoon(t, 2) }

// The same with all replicas, whose slots are enough for the reads.
func TestGroupWithAllReplicas(t *testing.T) { checkSoon(t, 3) }
