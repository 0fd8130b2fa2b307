package admission

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

const (
	// initialService is the assumed service time of a class before its first
	// answer.
	initialService = 5 * time.Millisecond
	// minService is the lower limit of the expected service time of a request.
	minService = 50 * time.Microsecond
	// ewmaDivisor is the inverse weight of one sample in the smoothed service
	// time.
	ewmaDivisor = 16
	// burstWindow is how long a class can save up its declared rate.
	burstWindow = 500 * time.Millisecond
)

// class holds the work of one class at this instance.
type class struct {
	name   string
	rank   config.Rank
	rate   float64 // declared requests per second, zero if none
	weight float64
	// objective is the time within which an answer has its full worth, zero if
	// none.
	objective time.Duration

	tokens   float64 // starts that remain within the declared rate
	tokensAt time.Duration

	mean      time.Duration // smoothed service time
	deviation time.Duration // smoothed mean deviation of the service time
	hasSample bool

	startTag float64       // start tag for fair queueing, in nanoseconds of slot time per weight
	count    int           // queued requests without continuations
	work     time.Duration // expected service time of the requests in count

	// workspaces are the competitors for the slots of the class. Callers without
	// a workspace share one whose name is empty.
	workspaces flowSet
}

func newClass(name string, rank config.Rank) *class {
	return &class{name: name, rank: rank, weight: 1, mean: initialService}
}

// declare sets the declared rate, the objective and the weight among the
// classes of the rank.
func (c *class) declare(now time.Duration, d Class) {
	if c.rate == 0 {
		c.tokens = burst(d.RatePerSecond)
		c.tokensAt = now
	}
	c.rate = d.RatePerSecond
	c.weight = max(1, float64(d.Weight))
	c.objective = d.Objective
}

// refill adds the tokens that the declared rate has yielded since the last
// call.
func (c *class) refill(now time.Duration) {
	if c.rate == 0 {
		return
	}
	c.tokens += (now - c.tokensAt).Seconds() * c.rate
	c.tokens = min(c.tokens, burst(c.rate))
	c.tokensAt = now
}

// burst returns the number of tokens that a class with the given rate can save
// up.
func burst(rate float64) float64 {
	if rate == 0 {
		return 0
	}
	return max(1, rate*burstWindow.Seconds())
}

// withinRate reports whether the next start is within the declared rate.
func (c *class) withinRate() bool { return c.tokens >= 1 }

// observe adds one service time to the smoothed mean and deviation.
func (c *class) observe(ran time.Duration) {
	if !c.hasSample {
		c.hasSample = true
		c.mean = ran
		c.deviation = ran / 2
		return
	}
	delta := ran - c.mean
	c.mean += delta / ewmaDivisor
	if delta < 0 {
		delta = -delta
	}
	c.deviation += (delta - c.deviation) / ewmaDivisor
}

// enqueue appends r to the queue of its caller.
func (c *class) enqueue(r *Request) {
	w := c.workspaces.get(r.Workspace)
	k := w.callers.get(r.Caller)
	r.workspace, r.caller = w, k
	k.queue.push(r)
	w.callers.enqueue(k, r.cost)
	c.workspaces.enqueue(w, r.cost)
	c.count++
	c.work += r.cost
}

// dequeue removes r from the queue of its caller.
func (c *class) dequeue(r *Request) {
	r.caller.queue.remove(r)
	r.workspace.callers.dequeue(r.caller, r.cost)
	c.workspaces.dequeue(r.workspace, r.cost)
	c.count--
	c.work -= r.cost
}

// selection restricts which queued requests may start at a time.
type selection struct {
	now time.Duration
	// skipAhead excludes workspaces that have used up their fair share.
	skipAhead bool
	shares    *shares
}

// excludes reports whether no request of the workspace w of a class may start.
func (s *selection) excludes(w *flow) bool {
	return s.skipAhead && s.shares.isAhead(s.now, w.name)
}

// first returns the selected request to serve next, or nil. Workspaces take turns,
// and so do the callers of a workspace, so a workspace gets no more by having more
// callers. A workspace whose requests have all missed their objective is passed over
// as long as a request of another workspace can still meet it.
func (c *class) first(sel *selection) *Request {
	var inTime, late *flow // the workspaces to serve next
	for _, w := range c.workspaces.active {
		if sel.excludes(w) {
			continue
		}
		best := &inTime
		if w.first(sel.now).missesObjective(sel.now) {
			best = &late
		}
		if *best == nil || w.before(*best) {
			*best = w
		}
	}
	switch {
	case inTime != nil:
		return inTime.first(sel.now)
	case late != nil:
		return late.first(sel.now)
	}
	return nil
}

// missesObjective reports whether a start at now is too late for the objective.
func (r *Request) missesObjective(now time.Duration) bool {
	return r.objectiveStartBy > 0 && now > r.objectiveStartBy
}

// charge advances the start tags of the caller and of the workspace of r by the
// expected cost of r.
func (c *class) charge(r *Request) {
	r.workspace.callers.charge(r.caller, r.cost)
	c.workspaces.charge(r.workspace, r.cost)
}

// correctCharge adjusts the start tags of the caller and of the workspace of r to
// the service time ran.
func (c *class) correctCharge(r *Request, ran time.Duration) {
	r.workspace.callers.correctCharge(r.caller, ran-r.cost)
	c.workspaces.correctCharge(r.workspace, ran-r.cost)
}
