package owner

import (
	"context"
	"sync"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
)

// sampler runs one probe at a time and shares its outcome among all who asked
// before it began. Who asks during a probe waits for the next one, so an
// outcome is never older than the question.
type sampler struct {
	probe func(ctx context.Context) (dbedge.Status, error)

	mu   sync.Mutex
	next *flight
	busy bool
}

// flight is one probe and those who wait for it.
type flight struct {
	done   chan struct{}
	status dbedge.Status
	err    error
}

func newSampler(probe func(ctx context.Context) (dbedge.Status, error)) *sampler {
	return &sampler{probe: probe}
}

// sample returns the outcome of a probe that began after the call.
func (s *sampler) sample(ctx context.Context) (dbedge.Status, error) {
	s.mu.Lock()
	if s.next == nil {
		s.next = &flight{done: make(chan struct{})}
	}
	f := s.next
	if !s.busy {
		s.busy = true
		go s.run()
	}
	s.mu.Unlock()
	select {
	case <-f.done:
		return f.status, f.err
	case <-ctx.Done():
		return dbedge.Status{}, ctx.Err()
	}
}

// run does probes until nobody waits. It does not end with the context of one
// caller, for others share the outcome; the probe has its own time-out.
func (s *sampler) run() {
	for {
		s.mu.Lock()
		f := s.next
		s.next = nil
		if f == nil {
			s.busy = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		f.status, f.err = s.probe(context.Background())
		close(f.done)
	}
}
