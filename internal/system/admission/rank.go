package admission

import (
	"slices"
	"time"
)

const (
	// creditWindow is how much of its floor a rank with queued work can save
	// up. A rank that has saved up all of it goes before everything else.
	creditWindow = 250 * time.Millisecond
	// usageWindow is the time constant of the measured share of the slots.
	usageWindow = time.Second
	// floorMargin makes up for credit that is lost at its limit and for work
	// that ends after its deadline.
	floorMargin = 1.01
)

// rankQueue is the queued work of one rank and what it got of the slots.
type rankQueue struct {
	continuations list
	classes       []*class // classes with queued requests
	count         int
	work          time.Duration
	virtual       float64 // start tag of the class served last

	running int
	floor   float64       // share of the slots that is the rank's own
	credit  time.Duration // slot time that it is behind its floor
	mean    time.Duration // learned service time
	usage   float64       // share of the slots that it had lately
}

// accrue accounts for the time dt that has passed with the given slots.
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
		q.credit = min(0, q.credit) // nothing wanted, nothing owed
	}
}

// creditLimit is the credit that a rank can save up, and as much the debt.
func (q *rankQueue) creditLimit(slots int) time.Duration {
	return time.Duration(q.floor * float64(slots) * float64(creditWindow))
}

// owed reports whether the rank has queued work and is behind its floor by the
// cost of one request.
func (q *rankQueue) owed(slots int) bool {
	if q.count == 0 || q.credit <= 0 {
		return false
	}
	return q.credit >= min(q.work/time.Duration(q.count), q.creditLimit(slots))
}

// overdue reports whether the rank got nothing for so long that it goes
// before urgent work.
func (q *rankQueue) overdue(slots int) bool {
	return q.owed(slots) && q.credit >= q.creditLimit(slots)
}

// enqueue adds r.
func (q *rankQueue) enqueue(r *Request) {
	q.count++
	q.work += r.cost
	if r.Continuation {
		q.continuations.push(r)
		return
	}
	c := r.class
	if c.count == 0 {
		c.virtual = max(c.virtual, q.virtual)
		q.classes = append(q.classes, c)
	}
	c.enqueue(r)
}

// dequeue takes r out.
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

// removeUnordered returns all without x; the last element takes its place.
func removeUnordered[T comparable](all []T, x T) []T {
	i := slices.Index(all, x)
	if i < 0 {
		return all
	}
	var none T
	last := len(all) - 1
	all[i] = all[last]
	all[last] = none
	return all[:last]
}

// first returns the request of the rank whose turn it is: statements of
// running transactions, then classes within their declared rates, then the
// others. withinRate leaves the others out.
func (q *rankQueue) first(now time.Duration, withinRate bool) *Request {
	if q.continuations.head != nil {
		return q.continuations.head
	}
	var best *class
	for _, c := range q.classes {
		c.refill(now)
		if withinRate && !c.withinRate() {
			continue
		}
		if best == nil || c.goesBefore(best) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.first(now)
}

// goesBefore orders classes of one rank.
func (c *class) goesBefore(o *class) bool {
	if c.withinRate() != o.withinRate() {
		return c.withinRate()
	}
	return c.virtual < o.virtual
}

// started charges r to its class and caller.
func (q *rankQueue) started(r *Request) {
	q.running++
	c := r.class
	q.virtual = max(q.virtual, c.virtual)
	c.virtual += float64(r.cost) / c.weight
	if r.Continuation {
		return
	}
	if c.withinRate() {
		c.tokens--
	}
	c.charge(r)
}

// finished corrects the charge once the service time is known.
func (q *rankQueue) finished(r *Request, ran time.Duration) {
	q.running--
	q.mean += (ran - q.mean) / learnShare
	r.class.virtual += float64(ran-r.cost) / r.class.weight
	if r.caller != nil {
		r.class.settle(r, ran)
	}
}
