package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

// answeredInTime offers twice the work that the slots can do, from callers that
// send repeatedly, and returns the share of the slot capacity that was answered
// within the objective.
func answeredInTime(t *testing.T, declared time.Duration) float64 {
	const (
		service   = 14 * ms
		slots     = 2
		interval  = 3500 * time.Microsecond
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
			finished := running[0]
			running = running[1:]
			if finished.ends-offered[finished.r] <= objective {
				inTime++
			}
			q.Finish(now, finished.r, service)
		}
		for next <= now {
			r := request("order", fmt.Sprint("c", n%callers), next+800*ms)
			offered[r] = next
			q.Offer(next, r)
			next += interval
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

// One class floods the instance with twice its capacity, as a burst of readers
// does while another instance of the group is down. Requests that are answered
// must be answered within the objective.
func TestFloodOfOneClassIsAnsweredInTime(t *testing.T) {
	share := answeredInTime(t, 200*ms)
	assert.Assert(t, share >= 0.9, "%.2f of the capacity was answered in time", share)
}

// Without an objective the same flood is served in order of arrival, and most
// answers are late.
func TestFloodWithoutObjectiveIsLate(t *testing.T) {
	share := answeredInTime(t, 0)
	assert.Assert(t, share < 0.3, "%.2f of the capacity was answered in time", share)
}
