package owner

import (
	"context"
	"sync"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
)

// sampler runs one probe at a time and shares its result among all callers that
// were waiting when the probe began. A call during a probe waits for the next
// one, so a result is never older than the call.
type sampler struct {
	probe func(ctx context.Context) (dbedge.Status, error)

	mu      sync.Mutex
	next    *probeCall
	running bool
}

// probeCall is one probe and its result, shared by all callers that wait for
// it.
type probeCall struct {
	done   chan struct{}
	status dbedge.Status
	err    error
}

func newSampler(probe func(ctx context.Context) (dbedge.Status, error)) *sampler {
	return &sampler{probe: probe}
}

// sample returns the result of a probe that began after the call.
func (s *sampler) sample(ctx context.Context) (dbedge.Status, error) {
	s.mu.Lock()
	if s.next == nil {
		s.next = &probeCall{done: make(chan struct{})}
	}
	call := s.next
	if !s.running {
		s.running = true
		go s.run()
	}
	s.mu.Unlock()
	select {
	case <-call.done:
		return call.status, call.err
	case <-ctx.Done():
		return dbedge.Status{}, ctx.Err()
	}
}

// run probes until no caller waits. Callers share a result, so a probe does not
// end with the context of one caller. The probe function has its own timeout.
func (s *sampler) run() {
	for {
		s.mu.Lock()
		call := s.next
		s.next = nil
		if call == nil {
			s.running = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		call.status, call.err = s.probe(context.Background())
		close(call.done)
	}
}
