package policybench

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/system/admission"
)

// maxQueued limits the queue of one instance for each rank.
const maxQueued = 1024

// Policy is the admission policy that a run exercises. *admission.Queue
// implements it.
type Policy interface {
	Offer(now time.Duration, r *admission.Request)
	Cancel(now time.Duration, r *admission.Request) bool
	Finish(now time.Duration, r *admission.Request, ran time.Duration)
	Tick(now time.Duration)
	Ready(dst []admission.Outcome) []admission.Outcome
}

// Factory creates the policy of one instance.
type Factory func(Profile) (Policy, error)

// AdmissionQueue creates the admission queue of the proxy.
func AdmissionQueue(p Profile) (Policy, error) { return admission.New(p.AdmissionConfig()) }

// FIFO creates a policy with one queue in order of arrival.
func FIFO(p Profile) (Policy, error) { return &baseline{free: p.Slots}, nil }

// Strict creates a policy with one queue for each rank. A rank is served only
// while no more urgent rank waits.
func Strict(p Profile) (Policy, error) { return &baseline{free: p.Slots, ranked: true}, nil }

// baseline implements the policies for comparison. It refuses a request only if
// the queue is full, and skips cancelled requests when it starts work.
type baseline struct {
	free   int
	ranked bool // one queue for each rank
	queues [config.RankCount]baselineQueue
	ready  []admission.Outcome
}

type baselineQueue struct {
	waiting   []*admission.Request
	cancelled map[*admission.Request]bool
	count     int
}

func (p *baseline) queue(r *admission.Request) *baselineQueue {
	if p.ranked {
		return &p.queues[r.Rank]
	}
	return &p.queues[0]
}

func (p *baseline) Offer(_ time.Duration, r *admission.Request) {
	q := p.queue(r)
	if q.count >= maxQueued {
		p.ready = append(p.ready, admission.Outcome{
			Request: r, Verdict: admission.Refuse, Kind: errkind.CallerLimit, Reason: admission.ReasonQueueFull,
		})
		return
	}
	q.waiting = append(q.waiting, r)
	q.count++
	p.dispatch()
}

func (p *baseline) Cancel(_ time.Duration, r *admission.Request) bool {
	q := p.queue(r)
	if q.cancelled == nil {
		q.cancelled = map[*admission.Request]bool{}
	}
	q.cancelled[r] = true
	q.count--
	return true
}

func (p *baseline) Finish(time.Duration, *admission.Request, time.Duration) {
	p.free++
	p.dispatch()
}

func (*baseline) Tick(time.Duration) {}

func (p *baseline) Ready(dst []admission.Outcome) []admission.Outcome {
	dst = append(dst, p.ready...)
	p.ready = p.ready[:0]
	return dst
}

func (p *baseline) dispatch() {
	for i := range p.queues {
		q := &p.queues[i]
		for p.free > 0 && len(q.waiting) > 0 {
			r := q.waiting[0]
			q.waiting = q.waiting[1:]
			if q.cancelled[r] {
				delete(q.cancelled, r)
				continue
			}
			q.count--
			p.free--
			p.ready = append(p.ready, admission.Outcome{Request: r, Verdict: admission.Start})
		}
	}
}
