package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// slots lets a fixed number of statements run at once, first come first
// served.
type slots struct {
	free *semaphore.Weighted

	mu         sync.Mutex
	waiting    int
	running    int
	maxRunning int
	finished   int
}

func newSlots(n int) *slots { return &slots{free: semaphore.NewWeighted(int64(n))} }

// run holds a slot for d.
func (s *slots) run(ctx context.Context, d time.Duration) error {
	s.count(func() { s.waiting++ })
	err := s.free.Acquire(ctx, 1)
	s.count(func() { s.waiting-- })
	if err != nil {
		return err
	}
	defer s.free.Release(1)
	s.count(func() {
		s.running++
		s.maxRunning = max(s.maxRunning, s.running)
	})
	err = sleep(ctx, d)
	s.count(func() {
		s.running--
		s.finished++
	})
	return err
}

func (s *slots) count(update func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update()
}
