package admission

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

const (
	// holdWindow is how much of the idle share can be saved up.
	holdWindow = time.Second
	// holdUsage is the share of the slots that urgent work must have had
	// lately for a slot to be held for it.
	holdUsage = 0.02
	// holdSpan is how far off the next free slot must be, in mean service
	// times of urgent work, for a slot to be held.
	holdSpan = 0.75
)

// holder keeps the last free slot from less urgent work for a while, when
// every other slot is expected to be taken for long. What may be spent on it
// is a small share of the slots, so that useful work stays near capacity.
type holder struct {
	share   float64 // of the slots that may stay idle for it
	credit  time.Duration
	holding bool
	running []*Request // every started request
}

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

// nextFree estimates how long it takes until the next running request ends.
func (h *holder) nextFree(now time.Duration) time.Duration {
	least := h.running[0].left(now)
	for _, r := range h.running[1:] {
		least = min(least, r.left(now))
	}
	return least
}

// left estimates how long r goes on running.
func (r *Request) left(now time.Duration) time.Duration {
	return max(0, r.startedAt+r.cost-now)
}

// hold decides whether the last free slot stays free for urgent work.
func (q *Queue) hold(now time.Duration) bool {
	urgent := &q.ranks[config.RankUrgent]
	h := &q.holder
	h.holding = h.credit > 0 && q.running > 0 && q.running == q.slots-1 &&
		urgent.usage >= holdUsage &&
		float64(h.nextFree(now)) >= holdSpan*float64(urgent.mean)
	return h.holding
}
