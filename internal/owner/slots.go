package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/system/admission"
	"github.com/amaranthweir/amaranthweir/internal/system/capacity"
)

// maxQueued is the maximum number of requests of one rank that may wait for a
// slot of an instance.
const maxQueued = 1000

// idlePercent is the share of an instance's slots that may stay idle so that
// urgent requests find a free slot.
const idlePercent = 8

const (
	// overcommitDivisor sets how many statements may be in flight beyond the
	// slots: one for each group of overcommitDivisor slots, rounded up. The
	// round trip to the instance takes about a tenth of the time of a
	// statement, during which a slot would otherwise be idle.
	overcommitDivisor = 4
	// overcommitPause is how long slots are not overcommitted after the
	// instance refused a statement as busy. Such a refusal means that the
	// instance keeps no queue or that other clients use its slots.
	overcommitPause = 2 * time.Second
)

// AdmissionConfig holds the admission settings of a group in the documents in
// force.
type AdmissionConfig struct {
	Floors  [config.RankCount]int // percent
	Classes []admission.Class
	// Weights are the relative shares of workspaces that compete for slots.
	Weights map[string]float64
}

// slots controls the slots of one instance through an admission queue.
type slots struct {
	log logrus.FieldLogger

	mu        sync.Mutex
	queue     *admission.Queue
	outcomes  []admission.Outcome // reused between calls
	size      int                 // number of slots
	admission AdmissionConfig
	// overcommit is set where a statement may be sent to the instance before a
	// slot is free.
	overcommit bool
	// pausedUntil is when slots may be overcommitted again.
	pausedUntil time.Time
	// limiter finds how many statements the instance runs well at once. It is
	// nil where the announced slots are always used.
	limiter  *capacity.Limiter
	loggedAt time.Duration // of the latest log line on the learned limit
}

// limitLogInterval is the least time between two log lines on the learned limit
// of an instance.
const limitLogInterval = time.Second

// newSlots returns the slots of an instance that announced n of them.
func newSlots(n int, overcommit bool, cfg AdmissionConfig, log logrus.FieldLogger) (*slots, error) {
	s := &slots{log: log, size: n, admission: cfg, overcommit: overcommit}
	queue, err := admission.New(admission.Config{
		Slots:     s.maxInFlight(time.Now()),
		Floors:    cfg.Floors,
		Classes:   cfg.Classes,
		Weights:   cfg.Weights,
		MaxQueued: maxQueued,

		IdlePercent: idlePercent,
	})
	if err != nil {
		return nil, err
	}
	s.queue = queue
	return s, nil
}

// learnCapacity makes s find how many statements the instance runs well at once.
// It is called before the first request.
func (s *slots) learnCapacity() { s.limiter = capacity.New(s.size) }

// maxInFlight returns how many statements may be in flight to the instance.
func (s *slots) maxInFlight(now time.Time) int {
	if s.limiter != nil && s.limiter.Limit() < s.size {
		return s.limiter.Limit()
	}
	if !s.overcommit || now.Before(s.pausedUntil) {
		return s.size
	}
	return s.size + (s.size+overcommitDivisor-1)/overcommitDivisor
}

// pauseOvercommit stops overcommitting for a while, after the instance refused
// a statement as busy.
func (s *slots) pauseOvercommit() {
	if !s.overcommit {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.pausedUntil = now.Add(overcommitPause)
	s.queue.SetSlots(sinceStart(now), s.maxInFlight(now))
	s.deliverOutcomes()
}

// update applies a new number of slots and new admission settings.
func (s *slots) update(n int, cfg AdmissionConfig) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now()
	now := sinceStart(at)
	s.size = n
	if s.limiter != nil {
		s.limiter.SetSlots(now, n)
	}
	s.queue.SetSlots(now, s.maxInFlight(at))
	s.queue.SetWeights(cfg.Weights)
	if err := s.queue.SetFloors(now, cfg.Floors); err != nil {
		return err
	}
	err := s.queue.SetClasses(now, cfg.Classes)
	s.deliverOutcomes()
	return err
}

// ticket is a request for a slot, and the slot once the request is admitted.
type ticket struct {
	slots   *slots
	request admission.Request
	decided chan admission.Outcome // buffered for one outcome
	started time.Time
	once    sync.Once
	// inFlight is the number of statements in flight when the request was
	// admitted, itself included.
	inFlight int
}

// acquire waits for a slot. Every error has the effect NotRun.
func (s *slots) acquire(ctx context.Context, r *request.Request) (*ticket, error) {
	t := &ticket{slots: s, decided: make(chan admission.Outcome, 1)}
	t.request = admission.Request{
		Class:        r.Class,
		Rank:         r.Rank,
		Workspace:    r.Workspace,
		Caller:       r.Caller,
		Deadline:     sinceStart(r.Deadline),
		Continuation: r.Continues,
		User:         t,
	}
	s.mu.Lock()
	s.queue.Offer(sinceStart(time.Now()), &t.request)
	s.deliverOutcomes()
	s.mu.Unlock()
	select {
	case o := <-t.decided:
		return s.admit(t, r, o)
	case <-ctx.Done():
	}
	s.mu.Lock()
	queued := s.queue.Cancel(sinceStart(time.Now()), &t.request)
	s.deliverOutcomes()
	s.mu.Unlock()
	if !queued { // the queue decided at the same moment
		if o := <-t.decided; o.Verdict == admission.Start {
			t.started = time.Now()
			t.release()
		}
	}
	return nil, errkind.Wrap(ctx.Err(), errkind.DeadlineUnreachable, "gave up waiting for a slot")
}

// admit converts the decision of the queue into a result. Refusals are logged.
func (s *slots) admit(t *ticket, r *request.Request, o admission.Outcome) (*ticket, error) {
	if o.Verdict != admission.Start {
		s.log.WithFields(logrus.Fields{
			"request": r.ID, "class": r.Class, "rank": r.Rank.String(), "reason": o.Reason.String(),
		}).Info("not admitted")
		return nil, errkind.New(o.Kind, "%s", o.Reason)
	}
	t.started = time.Now()
	return t, nil
}

// deliverOutcomes passes the decisions of the queue to the waiting requests.
// The caller holds the lock. The sends do not block, because each channel is
// buffered for its only outcome.
func (s *slots) deliverOutcomes() {
	s.outcomes = s.queue.Ready(s.outcomes[:0])
	for _, o := range s.outcomes {
		o.Request.User.(*ticket).inFlight = s.queue.Running()
		o.Request.User.(*ticket).decided <- o
	}
}

// release frees the slot. Repeated calls have no effect.
func (t *ticket) release() {
	t.once.Do(func() {
		t.slots.mu.Lock()
		defer t.slots.mu.Unlock()
		now := time.Now()
		t.slots.queue.Finish(sinceStart(now), &t.request, now.Sub(t.started))
		t.slots.deliverOutcomes()
	})
}

// observe tells the limiter how long the instance took for the statement of t. It
// is called before t is released.
func (s *slots) observe(t *ticket, ran time.Duration) {
	if s.limiter == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now()
	now, before := sinceStart(at), s.limiter.Limit()
	s.limiter.Observe(now, capacity.Sample{
		Class:    t.request.Class,
		Ran:      ran,
		InFlight: (t.inFlight + s.queue.Running() + 1) / 2,
	})
	if s.limiter.Limit() != before {
		s.queue.SetSlots(now, s.maxInFlight(at))
		s.deliverOutcomes()
	}
	s.logLimit(now)
}

// logLimit logs a change of the learned limit.
func (s *slots) logLimit(now time.Duration) {
	changedAt, reason := s.limiter.Changed()
	if changedAt <= s.loggedAt || now-s.loggedAt < limitLogInterval {
		return
	}
	s.loggedAt = now
	s.log.WithFields(logrus.Fields{
		"limit": s.limiter.Limit(), "slots": s.size, "reason": reason.String(),
		"slowdown": s.limiter.Slowdown(), "trials": s.limiter.Trials(),
	}).Info("learned capacity changed")
}

// tick lets the queue refuse requests that can no longer be served in time.
func (s *slots) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.limiter != nil {
		s.limiter.Tick(sinceStart(now))
	}
	s.queue.SetSlots(sinceStart(now), s.maxInFlight(now)) // the pause may be over; SetSlots also ticks the queue
	s.deliverOutcomes()
}

// queueWaits estimates how long a request of each rank would wait for a slot
// now.
func (s *slots) queueWaits() (waits [config.RankCount]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := sinceStart(time.Now())
	for rank := range waits {
		waits[rank] = s.queue.WaitEstimate(now, config.Rank(rank))
	}
	return waits
}
