package policybench

import (
	"cmp"
	"strconv"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// defaultGroupSize is the number of instances in a group, the primary included,
// if the profile sets none.
const defaultGroupSize = 3

// waitEstimator is a policy that provides the queueing delays for routing
// hints.
type waitEstimator interface {
	WaitEstimate(now time.Duration, rank config.Rank) time.Duration
}

// topology routes requests to instances.
type topology struct {
	groupSize int
	// views holds the group views of each entry host.
	views [][]*routing.GroupView
}

func newTopology(p *Profile) *topology {
	t := &topology{groupSize: cmp.Or(p.GroupSize, defaultGroupSize)}
	for range max(1, p.Hosts) {
		t.views = append(t.views, t.newViews(p.Instances))
	}
	return t
}

func (t *topology) newViews(instances int) []*routing.GroupView {
	var views []*routing.GroupView
	for g := range instances / t.groupSize {
		v := &routing.GroupView{Primary: instanceID(g * t.groupSize)}
		for i := range t.groupSize {
			v.Candidates = append(v.Candidates, routing.Candidate{Instance: instanceID(g*t.groupSize + i), Owner: "host"})
		}
		views = append(views, v)
	}
	return views
}

func instanceID(i int) table.InstanceID { return table.InstanceID(strconv.Itoa(i)) }

// refresh updates all hints of the first host.
func (t *topology) refresh(now time.Duration, policies []Policy) {
	for i := range len(t.views[0]) * t.groupSize {
		t.updateHint(now, 0, i, policies[i])
	}
}

// updateHint updates the hint that a host has of an instance.
func (t *topology) updateHint(now time.Duration, host, instance int, p Policy) {
	h := routing.Hint{At: now, AgeKnown: true}
	if e, ok := p.(waitEstimator); ok {
		for rank := range h.QueueWait {
			h.QueueWait[rank] = e.WaitEstimate(now, config.Rank(rank))
		}
	}
	t.views[host][instance/t.groupSize].Candidates[instance%t.groupSize].Hint = h
}

// choose routes one request of l that arrived at a host, and returns the
// instance.
func (t *topology) choose(now time.Duration, host int, l *Load, seed uint64) int {
	views := t.views[host]
	v := views[(seed>>48)%uint64(len(views))]
	q := routing.Query{Staleness: l.Staleness, Deadline: now + l.Deadline, Objective: l.Objective, Rank: l.Rank, Seed: seed}
	d := routing.Choose(now, &q, v)
	i, _ := strconv.Atoi(string(d.Instance))
	return i
}
