package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

// flooded offers twice the work that the slots take, from callers that come
// back, and returns the share of the slots' capacity that was answered
// within the objective.
func flooded(t *testing.T, declared time.Duration) float64 {
	const (
		service   = 14 * ms
		slots     = 2
		every     = 3500 * time.Microsecond
		objective = 200 * ms
		length    = 10 * time.Second
		callers   = 50
	)
	q := newQueue(t, Config{
		Slots: slots, MaxQueued: 1000,
		Classes: []Class{{Name: "order", Rank: config.RankNormal, Objective: declared}},
	})
	type run struct {
		ends time.Duration
		r    *Request
	}
	offered := map[*Request]time.Duration{}
	var running []run
	inTime, next, n := 0, time.Duration(0), 0
	for now := time.Duration(0); now < length; now += ms / 2 {
		for len(running) > 0 && running[0].ends <= now {
			done := running[0]
			running = running[1:]
			if done.ends-offered[done.r] <= objective {
				inTime++
			}
			q.Finish(now, done.r, service)
		}
		for next <= now {
			r := request("order", fmt.Sprint("c", n%callers), next+800*ms)
			offered[r] = next
			q.Offer(next, r)
			next += every
			n++
		}
		q.Tick(now)
		for _, o := range q.Ready(nil) {
			if o.Verdict == Start {
				running = append(running, run{now + service, o.Request})
			}
		}
	}
	capacity := float64(length) / float64(service) * slots
	return float64(inTime) / capacity
}

// A flood of one class at twice the capacity (a burst of readers while an
// instance of the group is down): what is answered should be answered in time.
func TestFloodOfOneClassIsAnsweredInTime(t *testing.T) {
	share := flooded(t, 200*ms)
	assert.Assert(t, share >= 0.9, "%.2f of the capacity was answered in time", share)
}

// Without an objective the same flood is answered first come, first served,
// and late: this is what the objective is for.
func TestFloodWithoutObjectiveIsLate(t *testing.T) {
	share := flooded(t, 0)
	assert.Assert(t, share < 0.3, "%.2f of the capacity was answered in time", share)
}
