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
)

// maxQueued is how many requests of one rank may wait for a slot of an
// instance.
const maxQueued = 1000

// idlePercent is the share of an instance's slots that may stay idle so that
// urgent work finds one free.
const idlePercent = 8

const (
	// aheadShare is how many slots, as a divisor, stand for one statement that is
	// sent ahead: the way to the instance and back takes about a tenth of a
	// statement, in which the slot would be idle.
	aheadShare = 4
	// aheadPause is how long nothing is sent ahead after the instance refused a
	// statement as busy: it keeps no queue, or others fill its slots.
	aheadPause = 2 * time.Second
)

// AdmissionConfig is what the documents in force say about the work of a group.
type AdmissionConfig struct {
	Floors  [config.RankCount]int // percent
	Classes []admission.Class
}

// slots gives out the slots of one instance by its admission queue.
type slots struct {
	log logrus.FieldLogger

	mu       sync.Mutex
	queue    *admission.Queue
	outcomes []admission.Outcome // reused
	size     int
	work     AdmissionConfig
	// ahead is set where statements may be sent to the instance before a slot
	// is free there.
	ahead bool
	// pausedUntil is when statements may be sent ahead again.
	pausedUntil time.Time
}

func newSlots(n int, ahead bool, work AdmissionConfig, log logrus.FieldLogger) (*slots, error) {
	s := &slots{log: log, size: n, work: work, ahead: ahead}
	queue, err := admission.New(admission.Config{
		Slots:     s.inFlight(time.Now()),
		Floors:    work.Floors,
		Classes:   work.Classes,
		MaxQueued: maxQueued,

		IdlePercent: idlePercent,
	})
	if err != nil {
		return nil, err
	}
	s.queue = queue
	return s, nil
}

// inFlight is how many statements may be under way to the instance.
func (s *slots) inFlight(now time.Time) int {
	if !s.ahead || now.Before(s.pausedUntil) {
		return s.size
	}
	return s.size + (s.size+aheadShare-1)/aheadShare
}

// refused notes that the instance refused a statement as busy.
func (s *slots) refused() {
	if !s.ahead {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.pausedUntil = now.Add(aheadPause)
	s.queue.SetSlots(since(now), s.inFlight(now))
	s.settle()
}

// update takes another number of slots and another declaration.
func (s *slots) update(n int, work AdmissionConfig) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now()
	now := since(at)
	s.size = n
	s.queue.SetSlots(now, s.inFlight(at))
	if err := s.queue.SetFloors(now, work.Floors); err != nil {
		return err
	}
	err := s.queue.SetClasses(now, work.Classes)
	s.settle()
	return err
}

// ticket is the right to use one slot, or the wait for it.
type ticket struct {
	slots   *slots
	request admission.Request
	decided chan admission.Outcome // takes one element
	started time.Time
	once    sync.Once
}

// acquire waits for a slot. Its errors have the effect NotRun.
func (s *slots) acquire(ctx context.Context, r *request.Request) (*ticket, error) {
	t := &ticket{slots: s, decided: make(chan admission.Outcome, 1)}
	t.request = admission.Request{
		Class:        r.Class,
		Rank:         r.Rank,
		Caller:       r.Caller,
		Deadline:     since(r.Deadline),
		Continuation: r.Continues,
		User:         t,
	}
	s.mu.Lock()
	s.queue.Offer(since(time.Now()), &t.request)
	s.settle()
	s.mu.Unlock()
	select {
	case o := <-t.decided:
		return s.started(t, r, o)
	case <-ctx.Done():
	}
	s.mu.Lock()
	queued := s.queue.Cancel(since(time.Now()), &t.request)
	s.settle()
	s.mu.Unlock()
	if !queued { // decided at the same moment
		if o := <-t.decided; o.Verdict == admission.Start {
			t.started = time.Now()
			t.release()
		}
	}
	return nil, errkind.Wrap(ctx.Err(), errkind.DeadlineUnreachable, "gave up waiting for a slot")
}

// started turns the decision of the queue into an answer. A refusal has a log
// line.
func (s *slots) started(t *ticket, r *request.Request, o admission.Outcome) (*ticket, error) {
	if o.Verdict != admission.Start {
		s.log.WithFields(logrus.Fields{
			"request": r.ID, "class": r.Class, "rank": r.Rank.String(), "reason": o.Reason.String(),
		}).Info("not admitted")
		return nil, errkind.New(o.Kind, "%s", o.Reason)
	}
	t.started = time.Now()
	return t, nil
}

// settle hands the queue's decisions to those who wait. It runs under the
// lock; the channels have room.
func (s *slots) settle() {
	s.outcomes = s.queue.Ready(s.outcomes[:0])
	for _, o := range s.outcomes {
		o.Request.User.(*ticket).decided <- o
	}
}

// release gives the slot back; further calls do nothing.
func (t *ticket) release() {
	t.once.Do(func() {
		t.slots.mu.Lock()
		defer t.slots.mu.Unlock()
		now := time.Now()
		t.slots.queue.Finish(since(now), &t.request, now.Sub(t.started))
		t.slots.settle()
	})
}

// tick refuses what waits in vain.
func (s *slots) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.queue.SetSlots(since(now), s.inFlight(now)) // a pause may be over; it ticks too
	s.settle()
}

// waits returns how long work of each rank would wait for a slot now.
func (s *slots) waits() (waits [config.RankCount]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := since(time.Now())
	for rank := range waits {
		waits[rank] = s.queue.WaitEstimate(now, config.Rank(rank))
	}
	return waits
}
