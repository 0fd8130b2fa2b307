// Package admission gives out the slots of one upstream instance. One Queue
// lives at the instance's owner: urgent work goes first, every other rank
// keeps a floor, classes of a rank and callers of a class get fair shares, and
// work whose deadline cannot be met is refused before any byte of it is sent.
// All moments are on the owner's local monotonic clock.
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
	// RatePerSecond is the part of the class's declared arrival rate that
	// this instance stands for; zero means none is declared.
	RatePerSecond float64
	// Objective is how long after its offer an answer is worth most; zero means
	// that none is declared. Work that can still meet it goes before work of
	// its class that cannot.
	Objective time.Duration
	// Weight is the share among classes of the rank; values below 1 count as 1.
	Weight int
}

// Config configures a Queue.
type Config struct {
	// Slots is how many statements the instance runs at once; zero stops
	// starts without refusing work that can wait.
	Slots int
	// Floors is the share of the slots, in percent, that each rank keeps while
	// others flood. The floor of the most urgent rank has no effect.
	Floors [config.RankCount]int
	// MaxQueued is how many requests of one rank may wait. A caller below its
	// fair share of them may exceed it, up to twice the number.
	MaxQueued int
	// IdlePercent is the share of the slots that may stay idle, while less
	// urgent work waits, so that urgent work finds one free. Zero never does.
	IdlePercent int
	// Classes are the declared classes. Others are taken as they come,
	// without a declared rate.
	Classes []Class
}

// maxIdlePercent is the highest IdlePercent.
const maxIdlePercent = 50

// maxFloorSum is the highest sum of floors, in percent.
const maxFloorSum = 100

// percent is how many percent make a whole.
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

func validateIdle(share int) error {
	if share < 0 || share > maxIdlePercent {
		return fmt.Errorf("idle percent: %d is not within 0 to %d", share, maxIdlePercent)
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
	slots     int
	maxQueued int
	running   int
	ranks     [config.RankCount]rankQueue
	classes   map[string]*class
	limits    heap[*Request] // queued requests by the latest useful start
	ready     []Outcome
	accruedAt time.Duration
	holder    holder
}

// New returns an empty queue, or an error that names the bad field.
func New(cfg Config) (*Queue, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	q := &Queue{slots: cfg.Slots, maxQueued: cfg.MaxQueued, classes: map[string]*class{}}
	q.holder.share = float64(cfg.IdlePercent) / percent
	q.setFloors(cfg.Floors)
	q.declare(0, cfg.Classes)
	return q, nil
}

// Offer takes a request. Its outcome comes from Ready, now or after a later
// call; there is exactly one unless Cancel takes the request back.
func (q *Queue) Offer(now time.Duration, r *Request) {
	q.accrue(now)
	r.state = stateNew
	r.cancelled = false
	r.class = q.classOf(r)
	r.caller = nil
	r.cost = r.Expected
	if r.cost <= 0 {
		r.cost = max(r.class.mean, minService)
	}
	r.startBy = startLimit(now, r)
	r.wantedBy = wantedLimit(now, r)
	if reason, ok := q.refusal(now, r); ok {
		q.refuse(r, reason)
		return
	}
	r.state = stateQueued
	q.ranks[r.class.rank].enqueue(r)
	q.limits.push(r)
	q.dispatch(now, ReasonFree)
}

// Cancel takes back a request whose caller gave up. It reports whether the
// request was still queued: then it has not run and no outcome comes. A
// request that has been started keeps its slot until Finish.
func (q *Queue) Cancel(now time.Duration, r *Request) bool {
	r.cancelled = true
	if r.state != stateQueued {
		return false
	}
	q.accrue(now)
	q.take(r)
	r.state = stateDone
	return true
}

// Finish frees the slot of a started request, which held it for ran. The class
// learns from it unless the request was cancelled.
func (q *Queue) Finish(now time.Duration, r *Request, ran time.Duration) {
	if r.state != stateRunning {
		return
	}
	q.accrue(now)
	r.state = stateDone
	if !r.cancelled {
		r.class.learn(ran)
	}
	q.running--
	q.holder.finished(r)
	q.ranks[r.class.rank].finished(r, ran)
	q.dispatch(now, ReasonTurn)
}

// Tick refuses the work whose deadline can no longer be met.
func (q *Queue) Tick(now time.Duration) {
	q.accrue(now)
	q.dispatch(now, ReasonTurn)
}

// SetSlots changes the number of slots. Requests that run keep theirs.
func (q *Queue) SetSlots(now time.Duration, slots int) {
	q.accrue(now)
	q.slots = max(0, slots)
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

// SetIdlePercent changes the share of the slots that may stay idle.
func (q *Queue) SetIdlePercent(now time.Duration, share int) error {
	if err := validateIdle(share); err != nil {
		return err
	}
	q.accrue(now)
	q.holder.share = float64(share) / percent
	return nil
}

// SetClasses changes the declared classes. Requests that are queued keep the
// rank that they had.
func (q *Queue) SetClasses(now time.Duration, classes []Class) error {
	for _, d := range classes {
		if err := d.validate(); err != nil {
			return err
		}
	}
	q.declare(now, classes)
	return nil
}

// Ready appends the outcomes since the last call to dst.
func (q *Queue) Ready(dst []Outcome) []Outcome {
	dst = append(dst, q.ready...)
	clear(q.ready)
	q.ready = q.ready[:0]
	return dst
}

// Queued returns how many requests of a rank wait.
func (q *Queue) Queued(rank config.Rank) int { return q.ranks[rank].count }

// Running returns how many slots are in use.
func (q *Queue) Running() int { return q.running }

func (q *Queue) setFloors(floors [config.RankCount]int) {
	for rank := range q.ranks {
		q.ranks[rank].floor = float64(floors[rank]) / percent
	}
	q.ranks[config.RankUrgent].floor = 0
}

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

// classOf returns the class of r, which is made when it is not declared.
func (q *Queue) classOf(r *Request) *class {
	c := q.classes[r.Class]
	if c == nil {
		c = newClass(r.Class, min(r.Rank, config.RankBackground))
		q.classes[r.Class] = c
	}
	return c
}

// accrue accounts for the time since the last call.
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

// dispatch fills the free slots and refuses what is too late.
func (q *Queue) dispatch(now time.Duration, why Reason) {
	for len(q.limits) > 0 && q.limits[0].startBy < now {
		r := q.limits[0]
		q.take(r)
		q.refuse(r, ReasonTooLate)
	}
	q.holder.holding = false
	for q.running < q.slots {
		r, reason := q.next(now, why)
		if r == nil {
			return
		}
		q.take(r)
		q.start(now, r, reason)
	}
}

// take removes r from the queues.
func (q *Queue) take(r *Request) {
	q.ranks[r.class.rank].dequeue(r)
	q.limits.remove(r)
}

func (q *Queue) start(now time.Duration, r *Request, reason Reason) {
	r.state = stateRunning
	r.startedAt = now
	q.running++
	q.holder.started(r)
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

// next returns the request that gets the next free slot:
//
//  1. a rank that got nothing for a whole credit window,
//  2. urgent work within its declared rates,
//  3. ranks that are behind their floors,
//  4. the rest by rank, unless the last free slot is held for urgent work.
func (q *Queue) next(now time.Duration, why Reason) (*Request, Reason) {
	for rank := config.RankNormal; rank < config.RankCount; rank++ {
		if q.ranks[rank].overdue(q.slots) {
			return q.ranks[rank].first(now, false), ReasonFloor
		}
	}
	if r := q.ranks[config.RankUrgent].first(now, true); r != nil {
		return r, why
	}
	for rank := config.RankNormal; rank < config.RankCount; rank++ {
		if q.ranks[rank].owed(q.slots) {
			return q.ranks[rank].first(now, false), ReasonFloor
		}
	}
	if r := q.ranks[config.RankUrgent].first(now, false); r != nil {
		return r, why
	}
	for rank := config.RankNormal; rank < config.RankCount; rank++ {
		r := q.ranks[rank].first(now, false)
		if r != nil && !q.hold(now) {
			return r, why
		}
	}
	return nil, why
}
