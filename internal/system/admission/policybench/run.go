package policybench

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/system/admission"
)

const (
	// warmUp is the initial part of a run that does not count.
	warmUp = 2 * time.Second
	// tickInterval is the interval between two ticks of the queues.
	tickInterval = 5 * time.Millisecond
	// maxResponseTime is the upper end of the response time histogram. Longer
	// times count as this value.
	maxResponseTime = time.Minute
)

// ClassResult holds the results of one load.
type ClassResult struct {
	Class           string
	Rank            config.Rank
	Flooding        bool // the callers of the load flood
	Offered         int  // offered after the warm-up, like all counts below
	InTime          int  // answered by the deadline
	WithinObjective int  // answered within the objective, if the class has one
	Late            int  // answered after the deadline
	Refused         int
	Abandoned       int // cancelled by the caller while queued
	ResponseTimes   *hdrhistogram.Histogram
	// Useful is the slot time after the warm-up that was spent on answers in
	// time, including requests that were offered during the warm-up.
	Useful time.Duration
}

// Result holds the results of one run.
type Result struct {
	Classes  []ClassResult
	Capacity time.Duration // slot time of all instances after the warm-up
}

// Rank sums up the results of a rank.
func (r *Result) Rank(rank config.Rank) ClassResult {
	sum := ClassResult{Rank: rank, ResponseTimes: newHistogram()}
	for i := range r.Classes {
		c := &r.Classes[i]
		if c.Rank != rank {
			continue
		}
		sum.Offered += c.Offered
		sum.InTime += c.InTime
		sum.Late += c.Late
		sum.Refused += c.Refused
		sum.Abandoned += c.Abandoned
		sum.Useful += c.Useful
		sum.ResponseTimes.Merge(c.ResponseTimes)
	}
	return sum
}

// Useful returns the share of the capacity that was spent on answers in time.
func (r *Result) Useful() float64 {
	sum := time.Duration(0)
	for i := range r.Classes {
		sum += r.Classes[i].Useful
	}
	return float64(sum) / float64(r.Capacity)
}

// P99 returns the 99th percentile of the response times.
func (c *ClassResult) P99() time.Duration {
	return time.Duration(c.ResponseTimes.ValueAtQuantile(99)) * time.Microsecond
}

// InTimeShare returns the share of the offered requests that were answered in
// time.
func (c *ClassResult) InTimeShare() float64 { return float64(c.InTime) / float64(max(1, c.Offered)) }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxResponseTime.Microseconds(), 3)
}

// job is one request in the simulation.
type job struct {
	request  admission.Request
	load     int
	host     int
	instance int
	offered  time.Duration
	service  time.Duration
	counted  bool // offered after the warm-up
	waiting  bool // without an outcome so far
}

type eventKind uint8

const (
	arrive eventKind = iota
	finish
	abandon
	tick
)

type event struct {
	at   time.Duration
	seq  uint64
	kind eventKind
	load int // load of an arrive event
	job  *job
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type simulation struct {
	profile  Profile
	policies []Policy
	random   *rand.Rand
	events   eventHeap
	seq      uint64
	now      time.Duration
	result   Result
	outcomes []admission.Outcome
	callers  []string
	topology *topology
}

// Run offers the work of p for the given time after a warm-up. Each instance
// has a policy of its own, which factory creates.
func Run(p Profile, factory Factory, length time.Duration, seed uint64) (*Result, error) {
	s := &simulation{profile: p, random: rand.New(rand.NewPCG(seed, seed))}
	s.result.Capacity = length * time.Duration(p.Instances*p.Slots)
	maxCallers := 0
	for i := range p.Loads {
		l := &p.Loads[i]
		s.result.Classes = append(s.result.Classes, ClassResult{
			Class: l.Class, Rank: l.Rank, Flooding: l.Flooding, ResponseTimes: newHistogram(),
		})
		s.schedule(s.gap(i), event{kind: arrive, load: i})
		maxCallers = max(maxCallers, l.Callers)
	}
	for i := range maxCallers {
		s.callers = append(s.callers, strconv.Itoa(i))
	}
	for range p.Instances {
		policy, err := factory(p)
		if err != nil {
			return nil, err
		}
		s.policies = append(s.policies, policy)
	}
	s.topology = newTopology(&p)
	s.schedule(0, event{kind: tick})
	end := warmUp + length
	for s.events[0].at < end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		s.handle(e)
	}
	return &s.result, nil
}

// schedule adds an event at the given time from now.
func (s *simulation) schedule(after time.Duration, e event) {
	s.seq++
	e.at = s.now + after
	e.seq = s.seq
	heap.Push(&s.events, e)
}

// gap draws the time until the next arrival of a load at any instance.
func (s *simulation) gap(load int) time.Duration {
	rate := s.profile.rate(&s.profile.Loads[load]) * float64(s.profile.Instances)
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

// service draws a lognormal service time.
func (s *simulation) service(l *Load) time.Duration {
	sigma2 := math.Log(1 + l.Variation*l.Variation)
	factor := math.Exp(s.random.NormFloat64()*math.Sqrt(sigma2) - sigma2/2)
	return time.Duration(factor * float64(l.Mean))
}

func (s *simulation) handle(e event) {
	switch e.kind {
	case arrive:
		s.arrive(e.load)
	case finish:
		s.finish(e.job)
	case abandon:
		if j := e.job; j.waiting && s.policies[j.instance].Cancel(s.now, &j.request) {
			j.waiting = false
			s.count(j, func(c *ClassResult) { c.Abandoned++ })
		}
	case tick:
		for i := range s.policies {
			s.policies[i].Tick(s.now)
			s.processOutcomes(i)
		}
		if s.profile.Hosts == 0 {
			s.topology.refresh(s.now, s.policies)
		}
		s.schedule(tickInterval, event{kind: tick})
	}
}

func (s *simulation) arrive(load int) {
	s.schedule(s.gap(load), event{kind: arrive, load: load})
	l := &s.profile.Loads[load]
	j := &job{load: load, host: s.host(), offered: s.now, waiting: true}
	j.instance = s.instance(j.host, l)
	j.service = s.service(l)
	j.counted = s.now >= warmUp
	j.request = admission.Request{
		Class: l.Class, Rank: l.Rank, Workspace: l.Workspace, Caller: l.CallerPrefix + s.callers[s.random.IntN(l.Callers)],
		Deadline: s.now + l.Deadline, User: j,
	}
	s.count(j, func(c *ClassResult) { c.Offered++ })
	s.policies[j.instance].Offer(s.now, &j.request)
	s.processOutcomes(j.instance)
	if j.waiting {
		s.schedule(l.Deadline, event{kind: abandon, job: j})
	}
}

// host draws the entry host of a request.
func (s *simulation) host() int {
	if s.profile.Hosts == 0 {
		return 0
	}
	return s.random.IntN(s.profile.Hosts)
}

// instance selects the instance of a request that arrived at a host, by routing
// or at random.
func (s *simulation) instance(host int, l *Load) int {
	if s.profile.Routed {
		return s.topology.choose(s.now, host, l, s.random.Uint64())
	}
	return s.random.IntN(len(s.policies))
}

func (s *simulation) finish(j *job) {
	if s.now <= j.request.Deadline && s.now >= warmUp {
		s.result.Classes[j.load].Useful += min(j.service, s.now-warmUp)
	}
	s.count(j, func(c *ClassResult) {
		c.ResponseTimes.RecordValue(min(s.now-j.offered, maxResponseTime).Microseconds())
		if s.now-j.offered <= s.profile.Loads[j.load].Objective {
			c.WithinObjective++
		}
		if s.now <= j.request.Deadline {
			c.InTime++
		} else {
			c.Late++
		}
	})
	s.policies[j.instance].Finish(s.now, &j.request, j.service)
	s.processOutcomes(j.instance)
	s.deliverHint(j)
}

// deliverHint updates the hint that the host of j has of the instance. A hint
// comes with every answer and refusal.
func (s *simulation) deliverHint(j *job) {
	if s.profile.Hosts > 0 {
		s.topology.updateHint(s.now, j.host, j.instance, s.policies[j.instance])
	}
}

// processOutcomes schedules the ends of the requests that one instance started
// and counts those that it refused.
func (s *simulation) processOutcomes(instance int) {
	s.outcomes = s.policies[instance].Ready(s.outcomes[:0])
	for i := range s.outcomes {
		o := &s.outcomes[i]
		j := o.Request.User.(*job)
		j.waiting = false
		if o.Verdict == admission.Refuse {
			s.count(j, func(c *ClassResult) { c.Refused++ })
			s.deliverHint(j)
			continue
		}
		s.schedule(j.service, event{kind: finish, job: j})
	}
}

// count applies record to the result of the load of j, unless j was offered
// during the warm-up.
func (s *simulation) count(j *job, record func(*ClassResult)) {
	if j.counted {
		record(&s.result.Classes[j.load])
	}
}
