package policybench

import (
	"strconv"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// groupSize is how many instances a group has, its primary first.
const groupSize = 3

// waitEstimator is a policy whose estimates guide the routing.
type waitEstimator interface {
	WaitEstimate(now time.Duration, rank config.Rank) time.Duration
}

// topology chooses the instance of a request.
type topology struct {
	views []*routing.GroupView
}

func newTopology(instances int) *topology {
	t := &topology{}
	for g := range instances / groupSize {
		v := &routing.GroupView{Primary: instanceID(g * groupSize)}
		for i := range groupSize {
			v.Candidates = append(v.Candidates, routing.Candidate{Instance: instanceID(g*groupSize + i), Owner: "host"})
		}
		t.views = append(t.views, v)
	}
	return t
}

func instanceID(i int) table.InstanceID { return table.InstanceID(strconv.Itoa(i)) }

// refresh brings the hints of every group up to date.
func (t *topology) refresh(now time.Duration, policies []Policy) {
	for g, v := range t.views {
		for i := range v.Candidates {
			h := routing.Hint{At: now, AgeKnown: true}
			if e, ok := policies[g*groupSize+i].(waitEstimator); ok {
				for rank := range h.QueueWait {
					h.QueueWait[rank] = e.WaitEstimate(now, config.Rank(rank))
				}
			}
			v.Candidates[i].Hint = h
		}
	}
}

// choose routes one request of l to an instance.
func (t *topology) choose(now time.Duration, l *Load, seed uint64) int {
	v := t.views[(seed>>48)%uint64(len(t.views))]
	q := routing.Query{Staleness: l.Staleness, Deadline: now + l.Deadline, Rank: l.Rank, Seed: seed}
	d := routing.Choose(now, &q, v)
	i, _ := strconv.Atoi(string(d.Instance))
	return i
}
