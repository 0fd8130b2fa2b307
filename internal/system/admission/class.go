package admission

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

const (
	// initialService is the service time of a class before its first answer.
	initialService = 5 * time.Millisecond
	// minService is the least service time that is assumed.
	minService = 50 * time.Microsecond
	// learnShare is the weight of one answer in the learned service time, as
	// a divisor.
	learnShare = 16
	// burstWindow is how much of its declared rate a class may save up.
	burstWindow = 500 * time.Millisecond
	// forgetBatch is how many idle callers are looked at for each new one.
	forgetBatch = 2
)

// class is the work of one class at this instance.
type class struct {
	name   string
	rank   config.Rank
	rate   float64 // declared requests a second, zero when none
	weight float64
	// objective is how soon an answer is worth most, zero when none.
	objective time.Duration

	tokens   float64 // starts that are left within the declared rate
	tokensAt time.Duration

	mean    time.Duration // learned service time
	spread  time.Duration // learned mean deviation from it
	learned bool

	virtual float64       // fair-queueing start tag, slot nanoseconds by weight
	floor   float64       // start tag of the caller served last
	count   int           // queued requests, continuations left out
	work    time.Duration // their expected service time

	callers map[string]*caller
	active  heap[*caller] // callers with queued requests, by tag
	idle    callerList    // callers without, until their tags lie in the past
	spare   *caller       // forgotten callers, for use again
}

func newClass(name string, rank config.Rank) *class {
	return &class{name: name, rank: rank, weight: 1, mean: initialService, callers: map[string]*caller{}}
}

// declare sets the declared rate and the weight among classes of the rank.
func (c *class) declare(now time.Duration, d Class) {
	if c.rate == 0 {
		c.tokens = burst(d.RatePerSecond)
		c.tokensAt = now
	}
	c.rate = d.RatePerSecond
	c.weight = max(1, float64(d.Weight))
	c.objective = d.Objective
}

// refill adds the tokens that the declared rate gave since the last call.
func (c *class) refill(now time.Duration) {
	if c.rate == 0 {
		return
	}
	c.tokens += (now - c.tokensAt).Seconds() * c.rate
	c.tokens = min(c.tokens, burst(c.rate))
	c.tokensAt = now
}

// burst is how many tokens a class with the given rate can save up.
func burst(rate float64) float64 {
	if rate == 0 {
		return 0
	}
	return max(1, rate*burstWindow.Seconds())
}

// withinRate reports whether the next start is within the declared rate.
func (c *class) withinRate() bool { return c.tokens >= 1 }

// learn takes one service time.
func (c *class) learn(ran time.Duration) {
	if !c.learned {
		c.learned = true
		c.mean = ran
		c.spread = ran / 2
		return
	}
	off := ran - c.mean
	c.mean += off / learnShare
	if off < 0 {
		off = -off
	}
	c.spread += (off - c.spread) / learnShare
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
		k.virtual = max(k.virtual, c.floor)
		c.active.push(k)
	}
}

// dequeue takes r out of the queue of its caller.
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

// first returns the request whose turn it is, nil when none is queued. While
// the class has more work than slots, first come, first served would answer all
// of it late: the caller whose turn it is goes on waiting once its objective is
// missed, as long as another one's can be met.
func (c *class) first(now time.Duration) *Request {
	if len(c.active) == 0 {
		return nil
	}
	turn := c.active[0].queue.head
	if !turn.missed(now) {
		return turn
	}
	var best *caller
	for _, k := range c.active {
		if !k.queue.head.missed(now) && (best == nil || k.before(best)) {
			best = k
		}
	}
	if best == nil {
		return turn
	}
	return best.queue.head
}

// missed reports whether a start at now is too late for the objective.
func (r *Request) missed(now time.Duration) bool { return r.wantedBy > 0 && now > r.wantedBy }

// charge moves the tags of the caller of r on by the cost of r.
func (c *class) charge(r *Request) {
	k := r.caller
	c.floor = max(c.floor, k.virtual)
	k.running++
	k.virtual += float64(r.cost)
	if k.count > 0 {
		c.active.fix(k.heapPlace)
	}
}

// settle corrects the tag of the caller once the service time is known.
func (c *class) settle(r *Request, ran time.Duration) {
	k := r.caller
	k.running--
	k.virtual += float64(ran - r.cost)
	if k.count > 0 {
		c.active.fix(k.heapPlace)
	}
}

func (c *class) newCaller(name string) *caller {
	c.forget()
	k := c.spare
	if k == nil {
		k = &caller{}
	} else {
		c.spare = k.next
	}
	*k = caller{name: name, heapPlace: -1}
	c.callers[name] = k
	c.idle.push(k)
	return k
}

// forget drops idle callers whose tags lie in the past, a few at a time.
func (c *class) forget() {
	for range forgetBatch {
		k := c.idle.head
		if k == nil {
			return
		}
		c.idle.remove(k)
		if k.running > 0 || k.virtual > c.floor {
			c.idle.push(k)
			continue
		}
		delete(c.callers, k.name)
		k.next = c.spare
		c.spare = k
	}
}
