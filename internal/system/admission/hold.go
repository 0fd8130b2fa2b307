package admission

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

const (
	// holdWindow is how long the idle share can be saved up.
	holdWindow = time.Second
	// holdUsage is the share of the slots that urgent work must recently have
	// used before a slot is held for it.
	holdUsage = 0.02
	// holdSpan is the minimum expected time until the next slot becomes free,
	// in mean service times of urgent work, for a slot to be held.
	holdSpan = 0.75
)

// holder decides when the last free slot is held for urgent work because every
// other slot is expected to stay busy for long. A budget of idle slot time
// limits the holding to a small share of the slots, so that utilization stays
// close to capacity.
type holder struct {
	share   float64       // share of the slots that may stay idle
	credit  time.Duration // idle slot time that may still be spent
	holding bool
	running []*Request // all running requests
}

// accrue adds the idle budget for the time dt and, if a slot was held,
// subtracts that time.
func (h *holder) accrue(dt time.Duration, slots int) {
	gain := h.share * float64(slots)
	h.credit += time.Duration(gain * float64(dt))
	if h.holding {
		h.credit -= dt
	}
	h.credit = min(h.credit, time.Duration(gain*float64(holdWindow)))
}

func (h *holder) started(r *Request) { h.running = append(h.running, r) }

func (h *holder) finished(r *Request) { h.running = removeUnordered(h.running, r) }

// nextFree estimates the time until the next running request ends.
func (h *holder) nextFree(now time.Duration) time.Duration {
	least := h.running[0].remaining(now)
	for _, r := range h.running[1:] {
		least = min(least, r.remaining(now))
	}
	return least
}

// remaining estimates how much longer r will run.
func (r *Request) remaining(now time.Duration) time.Duration {
	return max(0, r.startedAt+r.cost-now)
}

// shouldHold decides whether the last free slot is held for urgent work, and
// records the decision.
func (q *Queue) shouldHold(now time.Duration) bool {
	urgent := &q.ranks[config.RankUrgent]
	h := &q.holder
	h.holding = h.credit > 0 && q.running > 0 && q.running == q.slots-1 &&
		urgent.usage >= holdUsage &&
		float64(h.nextFree(now)) >= holdSpan*float64(urgent.mean)
	return h.holding
}
