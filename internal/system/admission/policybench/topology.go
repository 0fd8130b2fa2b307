package policybench

import (
	"cmp"
	"strconv"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// usualGroup is how many instances a group has, its primary first, where the
// profile says nothing else.
const usualGroup = 3

// waitEstimator is a policy whose estimates guide the routing.
type waitEstimator interface {
	WaitEstimate(now time.Duration, rank config.Rank) time.Duration
}

// topology chooses the instance of a request.
type topology struct {
	groupSize int
	// views are those of the groups, by entry host.
	views [][]*routing.GroupView
}

func newTopology(p *Profile) *topology {
	t := &topology{groupSize: cmp.Or(p.GroupSize, usualGroup)}
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

// refresh brings the hints of the first host up to date.
func (t *topology) refresh(now time.Duration, policies []Policy) {
	for i := range len(t.views[0]) * t.groupSize {
		t.hear(now, 0, i, policies[i])
	}
}

// hear gives a host the hint of an instance.
func (t *topology) hear(now time.Duration, host, instance int, p Policy) {
	h := routing.Hint{At: now, AgeKnown: true}
	if e, ok := p.(waitEstimator); ok {
		for rank := range h.QueueWait {
			h.QueueWait[rank] = e.WaitEstimate(now, config.Rank(rank))
		}
	}
	t.views[host][instance/t.groupSize].Candidates[instance%t.groupSize].Hint = h
}

// choose routes one request of l that came to a host to an instance.
func (t *topology) choose(now time.Duration, host int, l *Load, seed uint64) int {
	views := t.views[host]
	v := views[(seed>>48)%uint64(len(views))]
	q := routing.Query{Staleness: l.Staleness, Deadline: now + l.Deadline, Objective: l.Objective, Rank: l.Rank, Seed: seed}
	d := routing.Choose(now, &q, v)
	i, _ := strconv.Atoi(string(d.Instance))
	return i
}
