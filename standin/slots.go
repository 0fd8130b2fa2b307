package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// slots limits how many statements run concurrently. Statements get a slot in
// the order in which they asked for one.
type slots struct {
	free *semaphore.Weighted

	mu         sync.Mutex
	waiting    int
	running    int
	maxRunning int
	finished   int
}

func newSlots(n int) *slots { return &slots{free: semaphore.NewWeighted(int64(n))} }

// run waits for a slot and holds it for d. It returns the error of ctx if ctx
// ends before that.
func (s *slots) run(ctx context.Context, d time.Duration) error {
	s.updateCounts(func() { s.waiting++ })
	err := s.free.Acquire(ctx, 1)
	s.updateCounts(func() { s.waiting-- })
	if err != nil {
		return err
	}
	defer s.free.Release(1)
	s.updateCounts(func() {
		s.running++
		s.maxRunning = max(s.maxRunning, s.running)
	})
	err = sleep(ctx, d)
	s.updateCounts(func() {
		s.running--
		s.finished++
	})
	return err
}

func (s *slots) updateCounts(update func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update()
}
