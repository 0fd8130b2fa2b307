package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

// With short urgent and long background work, the last free slot must be held
// for urgent work after one long request has started, and no longer than the
// idle share allows.
func TestLastSlotIsHeldForUrgentWork(t *testing.T) {
	cfg := testConfig()
	cfg.Slots, cfg.IdlePercent = 2, 5
	q := newQueue(t, cfg)
	now := time.Duration(0)
	for range 200 { // build up the usage of urgent work and the service time estimates
		now += 20 * ms
		for _, r := range []*Request{request("rush", "1", now+time.Hour), request("proof", "2", now+time.Hour)} {
			q.Offer(now, r)
			ran := 2 * ms
			if r.Rank == config.RankBackground {
				ran = 40 * ms
			}
			q.Finish(now+2*ms, r, ran)
		}
		now += 2 * ms
	}
	q.Ready(nil)
	long := []*Request{request("proof", "2", now+time.Hour), request("proof", "2", now+time.Hour)}
	q.Offer(now, long[0])
	q.Offer(now, long[1])
	assert.Equal(t, len(q.Ready(nil)), 1, "the last slot is held")
	rush := request("rush", "1", now+time.Hour)
	q.Offer(now+ms, rush)
	out := q.Ready(nil)
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].Request, rush, "urgent work takes the held slot at once")
	q.Finish(now+3*ms, rush, 2*ms)
	assert.Equal(t, len(q.Ready(nil)), 0, "the slot is held again")
	held := time.Duration(0)
	for at := now + 4*ms; len(q.Ready(nil)) == 0; at += ms {
		q.Tick(at)
		held += ms
	}
	maxHeld := time.Duration(float64(cfg.Slots) * 0.05 * float64(holdWindow))
	assert.Assert(t, held <= maxHeld, "held for %v, the share allows %v", held, maxHeld)
}
