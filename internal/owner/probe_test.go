package owner

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
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

// The link of an owner is so busy that a probe is late: an instance that
// answers statements all the same lives. One that refuses connections, or that
// answered last long ago, does not.
func TestLateProbeOfAnInstanceThatAnswers(t *testing.T) {
	const timeout = time.Second
	refused := errors.New("connection refused")
	for name, c := range map[string]struct {
		err       error
		heardAgo  time.Duration
		reachable bool
	}{
		"late, and statements are answered":  {context.DeadlineExceeded, 0, true},
		"late, and nothing else was heard":   {context.DeadlineExceeded, timeout, false},
		"refused, though it answered before": {refused, 0, false},
	} {
		in := &instance{log: silentLog(), cfg: Config{
			Timing: Timing{ProbeTimeout: timeout},
			Stamp:  func() failover.Stamp { return failover.Stamp{} },
		}}
		in.health = health{probed: true, reachable: true}
		in.heardAt.Store(int64(since(time.Now()) - c.heardAgo))
		in.probe = newSampler(func(context.Context) (dbedge.Status, error) { return dbedge.Status{}, c.err })
		assert.Equal(t, in.probeOnce(t.Context()), !c.reachable, name)
		assert.Equal(t, in.health.reachable, c.reachable, name)
	}
}
