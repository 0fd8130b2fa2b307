package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An instance under a steady load is probed seldom; one that is silent, out of
// reach or new at each interval.
func TestProbesRestWhileTheInstanceAnswers(t *testing.T) {
	const interval = 200 * time.Millisecond
	now := time.Minute
	well := health{probed: true, reachable: true, probedAt: now - interval}
	for name, c := range map[string]struct {
		h     health
		heard time.Duration
		rests bool
	}{
		"it answers":                   {well, now - 10*time.Millisecond, true},
		"it has been silent":           {well, now - interval, false},
		"it was not probed yet":        {health{}, now, false},
		"it is out of reach":           {health{probed: true, probedAt: now}, now, false},
		"its latest probe is long ago": {health{probed: true, reachable: true, probedAt: now - restingProbes*interval}, now, false},
	} {
		assert.Equal(t, c.h.rests(now, c.heard, interval), c.rests, name)
	}
}
