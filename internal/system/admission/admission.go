// Package admission allocates the slots of one upstream instance. The owner of
// the instance keeps one Queue. Urgent work is served first, every other rank
// keeps a floor, the classes of a rank, the workspaces of a class and the callers
// of a workspace get fair shares, and a request whose deadline cannot be met is
// refused before any byte of it is sent. All times are readings of the owner's
// local monotonic clock.
package admission

import (
	"errors"
	"fmt"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// Class declares one class of work at an instance.
type Class struct {
	Name string
	Rank config.Rank
	// RatePerSecond is this instance's part of the declared arrival rate of the
	// class. Zero means that no rate is declared.
	RatePerSecond float64
	// Objective is the time after the offer of a request within which its answer
	// has its full worth. Zero means that no objective is declared. Requests
	// that can still meet the objective are served before requests of the same
	// class that cannot.
	Objective time.Duration
	// Weight is the relative share among the classes of the rank. Values below
	// 1 count as 1.
	Weight int
}

// Config configures a Queue.
type Config struct {
	// Slots is the number of statements that the instance runs at once. With
	// zero slots nothing starts, and requests that can wait are queued.
	Slots int
	// Floors is the share of the slots, in percent, that each rank keeps while
	// other ranks are flooded. The floor of the most urgent rank has no effect.
	Floors [config.RankCount]int
	// MaxQueued is the number of requests of one rank that may wait. Requests of
	// a caller below its fair share of the queue are accepted until twice that
	// number wait.
	MaxQueued int
	// IdlePercent is the share of the slots, in percent, that may stay idle
	// while less urgent work waits, so that urgent work finds a free slot. Zero
	// disables holding slots.
	IdlePercent int
	// Classes are the declared classes. Any other class is created without a
	// declared rate when its first request arrives.
	Classes []Class
	// Weights are the relative shares of the workspaces that compete for the
	// slots. A workspace without a weight has the mean weight.
	Weights map[string]float64
}

// maxIdlePercent is the upper limit of Config.IdlePercent.
const maxIdlePercent = 50

// maxFloorSum is the upper limit of the sum of the floors, in percent.
const maxFloorSum = 100

// percent converts percentages to shares.
const percent = 100.0

func (c *Config) validate() error {
	if c.Slots < 0 {
		return fmt.Errorf("slots: %d is negative", c.Slots)
	}
	if c.MaxQueued < 1 {
		return fmt.Errorf("max queued: %d is below 1", c.MaxQueued)
	}
	if err := validateIdle(c.IdlePercent); err != nil {
		return err
	}
	for _, d := range c.Classes {
		if err := d.validate(); err != nil {
			return err
		}
	}
	return validateFloors(c.Floors)
}

func validateIdle(idlePercent int) error {
	if idlePercent < 0 || idlePercent > maxIdlePercent {
		return fmt.Errorf("idle percent: %d is not within 0 to %d", idlePercent, maxIdlePercent)
	}
	return nil
}

func (d *Class) validate() error {
	if d.Name == "" {
		return errors.New("class without a name")
	}
	if d.Rank >= config.RankCount {
		return fmt.Errorf("class %q: no rank %d", d.Name, d.Rank)
	}
	if d.Objective < 0 {
		return fmt.Errorf("class %q: objective %v is negative", d.Name, d.Objective)
	}
	if !(d.RatePerSecond >= 0) || d.Weight < 0 {
		return fmt.Errorf("class %q: rate %v or weight %d is negative", d.Name, d.RatePerSecond, d.Weight)
	}
	return nil
}

func validateFloors(floors [config.RankCount]int) error {
	sum := 0
	for rank, f := range floors {
		if f < 0 {
			return fmt.Errorf("floor of rank %d: %d %% is negative", rank, f)
		}
		sum += f
	}
	if sum > maxFloorSum {
		return fmt.Errorf("floors: %d %% in all is over %d %%", sum, maxFloorSum)
	}
	return nil
}

// Queue is the admission queue of one instance. It is not safe for concurrent
// use.
type Queue struct {
	slots        int
	maxQueued    int
	running      int
	ranks        [config.RankCount]rankQueue
	classes      map[string]*class
	byStartLimit heap[*Request] // queued requests, ordered by their latest useful start
	ready        []Outcome
	accruedAt    time.Duration
	holder       holder
	shares       shares
}

// New returns an empty queue. The error names the invalid field.
func New(cfg Config) (*Queue, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	q := &Queue{slots: cfg.Slots, maxQueued: cfg.MaxQueued, classes: map[string]*class{}}
	q.shares.setWeights(cfg.Weights)
	q.shares.slots = cfg.Slots
	q.holder.share = float64(cfg.IdlePercent) / percent
	q.setFloors(cfg.Floors)
	q.declare(0, cfg.Classes)
	return q, nil
}

// Offer submits a request. Ready returns its outcome, after this call or after
// a later one. Each request has exactly one outcome, unless Cancel removes the
// request first.
func (q *Queue) Offer(now time.Duration, r *Request) {
	q.accrue(now)
	r.state = stateNew
	r.cancelled = false
	r.class = q.classOf(r)
	r.workspace, r.caller, r.share = nil, nil, nil
	r.cost = r.Expected
	if r.cost <= 0 {
		r.cost = max(r.class.mean, minService)
	}
	r.startBy = startLimit(now, r)
	r.objectiveStartBy = objectiveStartLimit(now, r)
	if reason, ok := q.refusal(now, r); ok {
		q.refuse(r, reason)
		return
	}
	r.state = stateQueued
	q.shares.enqueue(now, r)
	q.ranks[r.class.rank].enqueue(r)
	q.byStartLimit.push(r)
	q.dispatch(now, ReasonFree)
}

// Cancel withdraws a request whose caller gave up. It reports whether the
// request was still queued; such a request has not run and has no outcome. A
// request that has started keeps its slot until Finish.
func (q *Queue) Cancel(now time.Duration, r *Request) bool {
	r.cancelled = true
	if r.state != stateQueued {
		return false
	}
	q.accrue(now)
	q.dequeue(r)
	r.state = stateDone
	return true
}

// Finish frees the slot of a started request, which occupied the slot for ran.
// Unless the request was cancelled, ran updates the service time estimate of
// the class.
func (q *Queue) Finish(now time.Duration, r *Request, ran time.Duration) {
	if r.state != stateRunning {
		return
	}
	q.accrue(now)
	r.state = stateDone
	if !r.cancelled {
		r.class.observe(ran)
	}
	q.running--
	q.holder.finished(r)
	q.shares.finished(r, ran)
	q.ranks[r.class.rank].finished(r, ran)
	q.dispatch(now, ReasonTurn)
}

// Tick refuses queued requests whose deadline can no longer be met.
func (q *Queue) Tick(now time.Duration) {
	q.accrue(now)
	q.dispatch(now, ReasonTurn)
}

// SetSlots changes the number of slots. Running requests keep their slots.
func (q *Queue) SetSlots(now time.Duration, slots int) {
	q.accrue(now)
	q.slots = max(0, slots)
	q.shares.slots = q.slots
	q.dispatch(now, ReasonTurn)
}

// SetFloors changes the floors, in percent.
func (q *Queue) SetFloors(now time.Duration, floors [config.RankCount]int) error {
	if err := validateFloors(floors); err != nil {
		return err
	}
	q.accrue(now)
	q.setFloors(floors)
	return nil
}

// SetIdlePercent changes the share of the slots, in percent, that may stay idle
// for urgent work.
func (q *Queue) SetIdlePercent(now time.Duration, idlePercent int) error {
	if err := validateIdle(idlePercent); err != nil {
		return err
	}
	q.accrue(now)
	q.holder.share = float64(idlePercent) / percent
	return nil
}

// SetClasses replaces the declared classes. Queued requests keep the rank that
// they were queued with.
func (q *Queue) SetClasses(now time.Duration, classes []Class) error {
	for _, d := range classes {
		if err := d.validate(); err != nil {
			return err
		}
	}
	q.declare(now, classes)
	return nil
}

// SetWeights changes the relative shares of the workspaces.
func (q *Queue) SetWeights(weights map[string]float64) { q.shares.setWeights(weights) }

// Ready appends the outcomes since the last call to dst.
func (q *Queue) Ready(dst []Outcome) []Outcome {
	dst = append(dst, q.ready...)
	clear(q.ready)
	q.ready = q.ready[:0]
	return dst
}

// Queued returns the number of queued requests of a rank.
func (q *Queue) Queued(rank config.Rank) int { return q.ranks[rank].count }

// Running returns the number of slots in use.
func (q *Queue) Running() int { return q.running }

func (q *Queue) setFloors(floors [config.RankCount]int) {
	for rank := range q.ranks {
		q.ranks[rank].floor = float64(floors[rank]) / percent
	}
	q.ranks[config.RankUrgent].floor = 0
}

// declare replaces the classes by the declared ones. A class whose rank is
// unchanged keeps its queues and estimates.
func (q *Queue) declare(now time.Duration, classes []Class) {
	declared := make(map[string]*class, len(classes))
	for _, d := range classes {
		c := q.classes[d.Name]
		if c == nil || c.rank != d.Rank {
			c = newClass(d.Name, d.Rank)
		}
		c.declare(now, d)
		declared[d.Name] = c
	}
	q.classes = declared
}

// classOf returns the class of r and creates it if it is not declared.
func (q *Queue) classOf(r *Request) *class {
	c := q.classes[r.Class]
	if c == nil {
		c = newClass(r.Class, min(r.Rank, config.RankBackground))
		q.classes[r.Class] = c
	}
	return c
}

// accrue credits the time since the last call to the ranks and to the idle
// budget of the holder.
func (q *Queue) accrue(now time.Duration) {
	dt := now - q.accruedAt
	if dt <= 0 {
		return
	}
	q.accruedAt = now
	q.holder.accrue(dt, q.slots)
	for rank := range q.ranks {
		q.ranks[rank].accrue(dt, q.slots)
	}
}

// dispatch refuses requests whose latest useful start has passed and fills the
// free slots. A start is reported with defaultReason unless a floor caused it.
func (q *Queue) dispatch(now time.Duration, defaultReason Reason) {
	for len(q.byStartLimit) > 0 && q.byStartLimit[0].startBy < now {
		r := q.byStartLimit[0]
		q.dequeue(r)
		q.refuse(r, ReasonTooLate)
	}
	q.holder.holding = false
	for q.running < q.slots {
		r, reason := q.next(now, defaultReason)
		if r == nil {
			return
		}
		q.dequeue(r)
		q.start(now, r, reason)
	}
}

// dequeue removes r from the queues.
func (q *Queue) dequeue(r *Request) {
	q.shares.dequeue(r)
	q.ranks[r.class.rank].dequeue(r)
	q.byStartLimit.remove(r)
}

func (q *Queue) start(now time.Duration, r *Request, reason Reason) {
	r.state = stateRunning
	r.startedAt = now
	q.running++
	q.holder.started(r)
	q.shares.started(r)
	q.ranks[r.class.rank].started(r)
	q.ready = append(q.ready, Outcome{Request: r, Verdict: Start, Reason: reason})
}

func (q *Queue) refuse(r *Request, reason Reason) {
	r.state = stateDone
	kind := errkind.DeadlineUnreachable
	if reason == ReasonQueueFull {
		kind = errkind.CallerLimit
	}
	q.ready = append(q.ready, Outcome{Request: r, Verdict: Refuse, Kind: kind, Reason: reason})
}

// next returns the request that gets the next free slot. Where workspaces compete,
// one that has used up its fair share gets it only if no other can use it.
func (q *Queue) next(now time.Duration, defaultReason Reason) (*Request, Reason) {
	if q.shares.contended() {
		r, reason := q.nextOf(&selection{now: now, skipAhead: true, shares: &q.shares}, defaultReason)
		if r != nil {
			return r, reason
		}
	}
	return q.nextOf(&selection{now: now}, defaultReason)
}

// nextOf returns the selected request that gets the next free slot, in this order
// of precedence:
//
//  1. a rank with queued work that has reached its credit limit,
//  2. urgent work within its declared rates,
//  3. ranks that are behind their floors,
//  4. the remaining work by rank, unless the last free slot is held for
//     urgent work.
func (q *Queue) nextOf(sel *selection, defaultReason Reason) (*Request, Reason) {
	for rank := config.RankNormal; rank < config.RankCount; rank++ {
		if !q.ranks[rank].isStarved(q.slots) {
			continue
		}
		if r := q.ranks[rank].first(sel, false); r != nil {
			return r, ReasonFloor
		}
	}
	if r := q.ranks[config.RankUrgent].first(sel, true); r != nil {
		return r, defaultReason
	}
	for rank := config.RankNormal; rank < config.RankCount; rank++ {
		if !q.ranks[rank].isBehindFloor(q.slots) {
			continue
		}
		if r := q.ranks[rank].first(sel, false); r != nil {
			return r, ReasonFloor
		}
	}
	if r := q.ranks[config.RankUrgent].first(sel, false); r != nil {
		return r, defaultReason
	}
	for rank := config.RankNormal; rank < config.RankCount; rank++ {
		r := q.ranks[rank].first(sel, false)
		if r != nil && !q.shouldHold(sel.now) {
			return r, defaultReason
		}
	}
	return nil, defaultReason
}
