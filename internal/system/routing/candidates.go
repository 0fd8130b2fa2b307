package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxReplicas is the number of replicas of a group that a decision considers.
const maxReplicas = 16

// suitability rates a replica for one request by its hints.
type suitability uint8

const (
	// avoided: the owner recently rejected a request for the same cause, or does
	// not respond.
	avoided suitability = iota
	// unlikely: the hints suggest that the replica is not fresh enough.
	unlikely
	// lagging: the replica is expected to reach the floor within the wait budget.
	lagging
	// suitable: no current hint suggests otherwise.
	suitable
	suitabilityCount
)

// option is one replica that a request may be routed to.
type option struct {
	candidate   *Candidate
	suitability suitability
	cost        time.Duration
	// trial is set if the replica rejected an equally strict request and the
	// time to avoid it has passed.
	trial bool
}

// candidateSet holds the usable replicas of a group for one request.
type candidateSet struct {
	options [maxReplicas]option
	count   int
	countBy [suitabilityCount]int // number of options by suitability
}

// collect fills s with the replicas that have a live owner and are not leaving.
func (s *candidateSet) collect(now time.Duration, q *Query, v *GroupView) {
	for i := range v.Candidates {
		c := &v.Candidates[i]
		if c.Instance == v.Primary || c.Leaving || !hasLiveOwner(c) || s.count == maxReplicas {
			continue
		}
		o := option{candidate: c, suitability: classify(now, q, v, c), cost: cost(now, q, c)}
		o.trial = o.suitability != avoided && c.avoid.matches(q, &c.Hint)
		if o.suitability == lagging {
			o.cost += c.Hint.Age
		}
		s.options[s.count] = o
		s.count++
		s.countBy[o.suitability]++
	}
}

// pick returns one of the options of suitability wanted whose cost is close to
// the lowest: the one that the affinity of q selects, or the cheaper of two that
// it draws. There must be at least one option of suitability wanted.
func (s *candidateSet) pick(q *Query, wanted suitability) *option {
	var near [maxReplicas]*option
	limit := s.lowestCost(wanted) + equalCostMargin
	count := uint64(0)
	for i := range s.options[:s.count] {
		if o := &s.options[i]; o.suitability == wanted && o.cost <= limit {
			near[count] = o
			count++
		}
	}
	if q.Affinity != 0 {
		return preferred(near[:count], q.Affinity)
	}
	a, b := near[q.Seed%count], near[(q.Seed>>32)%count]
	if b.cost < a.cost {
		return b
	}
	return a
}

// preferred returns the option of near that an affinity selects by rendezvous
// hashing: the same one on all hosts, and another one only while that is not
// among the options. There must be at least one option.
func preferred(near []*option, affinity uint64) *option {
	best, highest := near[0], uint64(0)
	for _, o := range near {
		if w := mix(affinity ^ xxhash.Sum64String(string(o.candidate.Instance))); w >= highest {
			best, highest = o, w
		}
	}
	return best
}

// mix distributes the bits of x.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (s *candidateSet) lowestCost(wanted suitability) time.Duration {
	lowest := time.Duration(1<<63 - 1 - equalCostMargin)
	for i := range s.options[:s.count] {
		if o := &s.options[i]; o.suitability == wanted {
			lowest = min(lowest, o.cost)
		}
	}
	return lowest
}

// classify rates the replica c for q by its hint and its recent rejections.
func classify(now time.Duration, q *Query, v *GroupView, c *Candidate) suitability {
	h := &c.Hint
	switch {
	case c.avoid.applies(now, q, h), !q.responds(c):
		return avoided
	case !h.isCurrent(now) || c.avoid.isRetryDue(now, h):
		return suitable // no current hint, or due for a retry
	case !h.AgeKnown || h.Age > q.Staleness:
		return unlikely
	case !isBehindFloor(now, q, v, c):
		return suitable
	case h.Age <= waitBudget(now, q):
		return lagging
	default:
		return unlikely
	}
}

// isBehindFloor reports whether c is not yet expected to hold the floor of q.
// The estimate is that the replica will hold everything that the primary had
// acknowledged at the time of the hint once Hint.Age has passed since then.
func isBehindFloor(now time.Duration, q *Query, v *GroupView, c *Candidate) bool {
	if !q.HasFloor || q.Floor.Term < v.Term || !c.Hint.Mark.Less(q.Floor) {
		return false
	}
	return now-c.Hint.At < c.Hint.Age
}

// waitBudget is how long a read may wait for a replica.
func waitBudget(now time.Duration, q *Query) time.Duration {
	return (q.Deadline - now) / waitDivisor
}
