package policybench

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/system/admission"
)

// maxQueued bounds the queue of one instance, for each rank.
const maxQueued = 1024

// Policy is what a run drives; admission.Queue is one.
type Policy interface {
	Offer(now time.Duration, r *admission.Request)
	Cancel(now time.Duration, r *admission.Request) bool
	Finish(now time.Duration, r *admission.Request, ran time.Duration)
	Tick(now time.Duration)
	Ready(dst []admission.Outcome) []admission.Outcome
}

// Maker makes the policy of one instance.
type Maker func(Profile) (Policy, error)

// Chosen makes the policy of the project.
func Chosen(p Profile) (Policy, error) { return admission.New(p.AdmissionConfig()) }

// FIFO makes one queue in order of arrival.
func FIFO(p Profile) (Policy, error) { return &plain{free: p.Slots}, nil }

// Strict makes one queue for each rank; a rank is served when no more urgent
// one waits.
func Strict(p Profile) (Policy, error) { return &plain{free: p.Slots, ranked: true}, nil }

// plain is the policies to compare with. They refuse only what finds a full
// queue and drop what was cancelled.
type plain struct {
	free   int
	ranked bool
	queues [config.RankCount]plainQueue
	ready  []admission.Outcome
}

type plainQueue struct {
	waiting []*admission.Request
	gone    map[*admission.Request]bool
	count   int
}

func (p *plain) queue(r *admission.Request) *plainQueue {
	if p.ranked {
		return &p.queues[r.Rank]
	}
	return &p.queues[0]
}

func (p *plain) Offer(_ time.Duration, r *admission.Request) {
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

func (p *plain) Cancel(_ time.Duration, r *admission.Request) bool {
	q := p.queue(r)
	if q.gone == nil {
		q.gone = map[*admission.Request]bool{}
	}
	q.gone[r] = true
	q.count--
	return true
}

func (p *plain) Finish(time.Duration, *admission.Request, time.Duration) {
	p.free++
	p.dispatch()
}

func (*plain) Tick(time.Duration) {}

func (p *plain) Ready(dst []admission.Outcome) []admission.Outcome {
	dst = append(dst, p.ready...)
	p.ready = p.ready[:0]
	return dst
}

func (p *plain) dispatch() {
	for i := range p.queues {
		q := &p.queues[i]
		for p.free > 0 && len(q.waiting) > 0 {
			r := q.waiting[0]
			q.waiting = q.waiting[1:]
			if q.gone[r] {
				delete(q.gone, r)
				continue
			}
			q.count--
			p.free--
			p.ready = append(p.ready, admission.Outcome{Request: r, Verdict: admission.Start})
		}
	}
}
