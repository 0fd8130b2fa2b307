package admission

import (
	"slices"
	"time"
)

const (
	// creditWindow is how long a rank with queued work can save up its floor. A
	// rank that has reached this limit is served before all other work.
	creditWindow = 250 * time.Millisecond
	// usageWindow is the time constant of the smoothed slot usage.
	usageWindow = time.Second
	// floorMargin compensates for credit that is lost at its limit and for work
	// that ends after its deadline.
	floorMargin = 1.01
)

// rankQueue holds the queued work of one rank and accounts for the slots that
// the rank has used.
type rankQueue struct {
	continuations list
	classes       []*class // classes with queued requests
	count         int
	work          time.Duration // expected service time of the queued requests
	virtualTime   float64       // start tag of the class served last

	running int
	floor   float64       // share of the slots reserved for the rank
	credit  time.Duration // slot time by which the rank is behind its floor
	mean    time.Duration // smoothed service time
	usage   float64       // smoothed share of the slots in use
}

// accrue updates usage and credit for the time dt with the given number of
// slots.
func (q *rankQueue) accrue(dt time.Duration, slots int) {
	if slots == 0 {
		return
	}
	weight := float64(dt) / float64(dt+usageWindow)
	q.usage += (float64(q.running)/float64(slots) - q.usage) * weight
	due := time.Duration(floorMargin * q.floor * float64(slots) * float64(dt))
	q.credit += due - time.Duration(q.running)*dt
	limit := q.creditLimit(slots)
	q.credit = max(-limit, min(limit, q.credit))
	if q.count == 0 {
		q.credit = min(0, q.credit) // a rank without queued work earns no credit
	}
}

// creditLimit returns the limit of the credit and of the debt of a rank.
func (q *rankQueue) creditLimit(slots int) time.Duration {
	return time.Duration(q.floor * float64(slots) * float64(creditWindow))
}

// isBehindFloor reports whether the rank has queued work and is behind its
// floor by at least the mean cost of a queued request, or by its credit limit.
func (q *rankQueue) isBehindFloor(slots int) bool {
	if q.count == 0 || q.credit <= 0 {
		return false
	}
	return q.credit >= min(q.work/time.Duration(q.count), q.creditLimit(slots))
}

// isStarved reports whether the rank has queued work and has reached its credit
// limit, so that it is served before urgent work.
func (q *rankQueue) isStarved(slots int) bool {
	return q.isBehindFloor(slots) && q.credit >= q.creditLimit(slots)
}

// enqueue adds r to the continuations or to its class.
func (q *rankQueue) enqueue(r *Request) {
	q.count++
	q.work += r.cost
	if r.Continuation {
		q.continuations.push(r)
		return
	}
	c := r.class
	if c.count == 0 {
		c.startTag = max(c.startTag, q.virtualTime)
		q.classes = append(q.classes, c)
	}
	c.enqueue(r)
}

// dequeue removes r from the continuations or from its class.
func (q *rankQueue) dequeue(r *Request) {
	q.count--
	q.work -= r.cost
	if r.Continuation {
		q.continuations.remove(r)
		return
	}
	c := r.class
	c.dequeue(r)
	if c.count == 0 {
		q.classes = removeUnordered(q.classes, c)
	}
}

// removeUnordered returns all without x. It moves the last element to the place
// of x.
func removeUnordered[T comparable](all []T, x T) []T {
	i := slices.Index(all, x)
	if i < 0 {
		return all
	}
	var zero T
	last := len(all) - 1
	all[i] = all[last]
	all[last] = zero
	return all[:last]
}

// first returns the request of the rank to serve next: statements of running
// transactions come first, then classes within their declared rates, then all
// other classes. With withinRate set, the other classes are skipped. It returns nil
// if no request is selected.
func (q *rankQueue) first(sel *selection, withinRate bool) *Request {
	if q.continuations.head != nil {
		return q.continuations.head
	}
	var best *class
	var next *Request
	for _, c := range q.classes {
		c.refill(sel.now)
		if withinRate && !c.withinRate() || best != nil && !c.precedes(best) {
			continue
		}
		if r := c.first(sel); r != nil {
			best, next = c, r
		}
	}
	return next
}

// precedes orders the classes of a rank: classes within their declared rates
// first, then by start tag.
func (c *class) precedes(o *class) bool {
	if c.withinRate() != o.withinRate() {
		return c.withinRate()
	}
	return c.startTag < o.startTag
}

// started charges the expected cost of r to its class and caller.
func (q *rankQueue) started(r *Request) {
	q.running++
	c := r.class
	q.virtualTime = max(q.virtualTime, c.startTag)
	c.startTag += float64(r.cost) / c.weight
	if r.Continuation {
		return
	}
	if c.withinRate() {
		c.tokens--
	}
	c.charge(r)
}

// finished corrects the charges for r to the service time ran.
func (q *rankQueue) finished(r *Request, ran time.Duration) {
	q.running--
	q.mean += (ran - q.mean) / ewmaDivisor
	r.class.startTag += float64(ran-r.cost) / r.class.weight
	if r.caller != nil {
		r.class.correctCharge(r, ran)
	}
}
