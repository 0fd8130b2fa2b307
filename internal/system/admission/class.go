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
	// evictBatch is the number of idle callers examined for eviction whenever a
	// caller is added.
	evictBatch = 2
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

	startTag    float64       // start tag for fair queueing, in nanoseconds of slot time per weight
	virtualTime float64       // start tag of the caller served last
	count       int           // queued requests without continuations
	work        time.Duration // expected service time of the requests in count

	callers     map[string]*caller
	active      heap[*caller] // callers with queued requests, by start tag
	idle        callerList    // callers without queued requests, kept until virtualTime passes their start tags
	freeCallers *caller       // free list of evicted callers
}

func newClass(name string, rank config.Rank) *class {
	return &class{name: name, rank: rank, weight: 1, mean: initialService, callers: map[string]*caller{}}
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
	k := c.callers[r.Caller]
	if k == nil {
		k = c.newCaller(r.Caller)
	}
	r.caller = k
	k.queue.push(r)
	k.count++
	k.work += r.cost
	c.count++
	c.work += r.cost
	if k.count == 1 {
		c.idle.remove(k)
		k.startTag = max(k.startTag, c.virtualTime)
		c.active.push(k)
	}
}

// dequeue removes r from the queue of its caller.
func (c *class) dequeue(r *Request) {
	k := r.caller
	k.queue.remove(r)
	k.count--
	k.work -= r.cost
	c.count--
	c.work -= r.cost
	if k.count == 0 {
		c.active.remove(k)
		c.idle.push(k)
	}
}

// first returns the request to serve next, nil if none is queued. Under
// overload, strict order of arrival would answer every request late. Therefore
// a caller whose first request has missed its objective is passed over as long
// as the first request of another caller can still meet it.
func (c *class) first(now time.Duration) *Request {
	if len(c.active) == 0 {
		return nil
	}
	next := c.active[0].queue.head
	if !next.missesObjective(now) {
		return next
	}
	var best *caller
	for _, k := range c.active {
		if !k.queue.head.missesObjective(now) && (best == nil || k.before(best)) {
			best = k
		}
	}
	if best == nil {
		return next
	}
	return best.queue.head
}

// missesObjective reports whether a start at now is too late for the objective.
func (r *Request) missesObjective(now time.Duration) bool {
	return r.objectiveStartBy > 0 && now > r.objectiveStartBy
}

// charge advances the start tag of the caller of r by the expected cost of r.
func (c *class) charge(r *Request) {
	k := r.caller
	c.virtualTime = max(c.virtualTime, k.startTag)
	k.running++
	k.startTag += float64(r.cost)
	if k.count > 0 {
		c.active.fix(k.heapIndex)
	}
}

// correctCharge adjusts the start tag of the caller of r to the service time
// ran.
func (c *class) correctCharge(r *Request, ran time.Duration) {
	k := r.caller
	k.running--
	k.startTag += float64(ran - r.cost)
	if k.count > 0 {
		c.active.fix(k.heapIndex)
	}
}

func (c *class) newCaller(name string) *caller {
	c.evictIdle()
	k := c.freeCallers
	if k == nil {
		k = &caller{}
	} else {
		c.freeCallers = k.next
	}
	*k = caller{name: name, heapIndex: -1}
	c.callers[name] = k
	c.idle.push(k)
	return k
}

// evictIdle removes idle callers whose start tags virtualTime has passed. Each
// call examines at most evictBatch callers.
func (c *class) evictIdle() {
	for range evictBatch {
		k := c.idle.head
		if k == nil {
			return
		}
		c.idle.remove(k)
		if k.running > 0 || k.startTag > c.virtualTime {
			c.idle.push(k)
			continue
		}
		delete(c.callers, k.name)
		k.next = c.freeCallers
		c.freeCallers = k
	}
}
