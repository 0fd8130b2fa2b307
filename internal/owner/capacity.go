package owner

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Capacity describes how many statements are sent to an owned instance at once.
type Capacity struct {
	Instance table.InstanceID
	Slots    int // announced by the instance
	Limit    int
	// Reason is why Limit changed last.
	Reason string
	// Slowdown is the factor by which statements run longer than usual.
	Slowdown float64
	// Trials is how many times another limit was tried.
	Trials int
	// Services holds the usual service time of each class.
	Services map[string]time.Duration
}

// Capacities returns the capacity of each owned instance for which it is learned.
func (o *Owner) Capacities() []Capacity {
	o.mu.RLock()
	defer o.mu.RUnlock()
	var capacities []Capacity
	for id, in := range o.instances {
		if c, ok := in.slots.capacity(); ok {
			c.Instance = id
			capacities = append(capacities, c)
		}
	}
	return capacities
}

// capacity returns false if the capacity of the instance is not learned.
func (s *slots) capacity() (Capacity, bool) {
	if s.limiter == nil {
		return Capacity{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, reason := s.limiter.Changed()
	return Capacity{
		Slots:    s.size,
		Limit:    s.limiter.Limit(),
		Reason:   reason.String(),
		Slowdown: s.limiter.Slowdown(),
		Trials:   s.limiter.Trials(),
		Services: s.limiter.Services(),
	}, true
}
