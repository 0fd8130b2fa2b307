package owner

import (
	"context"
	"fmt"
	"sync"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
)

// slots gives out the slots of one instance.
type slots struct {
	free chan struct{}
}

func newSlots(n int) (*slots, error) {
	if n < 1 {
		return nil, fmt.Errorf("an instance needs at least one slot, got %d", n)
	}
	s := &slots{free: make(chan struct{}, n)}
	for range n {
		s.free <- struct{}{}
	}
	return s, nil
}

func (s *slots) resize(int) error { return nil }

// ticket is the right to use one slot.
type ticket struct {
	once  sync.Once
	slots *slots
}

func (s *slots) acquire(ctx context.Context, _ *request.Request) (*ticket, error) {
	select {
	case <-s.free:
		return &ticket{slots: s}, nil
	case <-ctx.Done():
		return nil, errkind.Wrap(ctx.Err(), errkind.DeadlineUnreachable, "waited for a slot")
	}
}

// release gives the slot back; further calls do nothing.
func (t *ticket) release() {
	t.once.Do(func() { t.slots.free <- struct{}{} })
}
