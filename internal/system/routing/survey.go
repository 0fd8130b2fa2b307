package routing

import "time"

// maxReplicas is how many replicas of a group a decision looks at.
const maxReplicas = 16

// fitness says what the hints tell about a replica for one request.
type fitness uint8

const (
	// barred: bounced lately for the same cause.
	barred fitness = iota
	// doubted: the hints speak against it.
	doubted
	// lagging: expected to reach the floor within a part of the deadline.
	lagging
	// fit: nothing speaks against it.
	fit
	fitnessCount
)

// option is one replica that a request may go to.
type option struct {
	candidate *Candidate
	fitness   fitness
	cost      time.Duration
}

// survey holds the usable replicas of a group for one request.
type survey struct {
	options [maxReplicas]option
	count   int
	per     [fitnessCount]int // number of options of each fitness
}

// take fills s with the replicas that are owned and not leaving.
func (s *survey) take(now time.Duration, q *Query, v *GroupView) {
	for i := range v.Candidates {
		c := &v.Candidates[i]
		if c.Instance == v.Primary || c.Leaving || !owned(c) || s.count == maxReplicas {
			continue
		}
		o := option{candidate: c, fitness: judge(now, q, v, c), cost: cost(now, q, c)}
		if o.fitness == lagging {
			o.cost += c.Hint.Age
		}
		s.options[s.count] = o
		s.count++
		s.per[o.fitness]++
	}
}

// pick returns the cheaper of two options drawn from those of fitness f that
// cost about as little as the best one. There must be one of fitness f.
func (s *survey) pick(seed uint64, f fitness) *option {
	var near [maxReplicas]*option
	limit := s.least(f) + equalCost
	count := uint64(0)
	for i := range s.options[:s.count] {
		if o := &s.options[i]; o.fitness == f && o.cost <= limit {
			near[count] = o
			count++
		}
	}
	a, b := near[seed%count], near[(seed>>32)%count]
	if b.cost < a.cost {
		return b
	}
	return a
}

func (s *survey) least(f fitness) time.Duration {
	least := time.Duration(1<<63 - 1 - equalCost)
	for i := range s.options[:s.count] {
		if o := &s.options[i]; o.fitness == f {
			least = min(least, o.cost)
		}
	}
	return least
}

// judge says what the hints tell about replica c for q.
func judge(now time.Duration, q *Query, v *GroupView, c *Candidate) fitness {
	h := &c.Hint
	switch {
	case c.avoid.covers(now, q):
		return barred
	case !h.recent(now) || c.avoid.over(now, h):
		return fit // nothing recent speaks against it
	case !h.AgeKnown || h.Age > q.Staleness:
		return doubted
	case !behind(now, q, v, c):
		return fit
	case h.Age <= budget(now, q):
		return lagging
	default:
		return doubted
	}
}

// behind reports whether c is expected not to hold the floor of q yet. What
// the primary had acknowledged by the moment of the hint, the replica holds
// about one age later.
func behind(now time.Duration, q *Query, v *GroupView, c *Candidate) bool {
	if !q.HasFloor || q.Floor.Term < v.Term || !c.Hint.Mark.Less(q.Floor) {
		return false
	}
	return now-c.Hint.At < c.Hint.Age
}

// budget is how long a read may wait for a replica.
func budget(now time.Duration, q *Query) time.Duration {
	return (q.Deadline - now) / waitShare
}
