package owner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
)

// An instance that answers statements all the time is rarely probed. An
// instance that is silent, unreachable or not yet probed is probed at each
// interval.
func TestProbesAreSkippedWhileInstanceAnswers(t *testing.T) {
	const interval = 200 * time.Millisecond
	now := time.Minute
	healthy := health{probed: true, reachable: true, probedAt: now - interval}
	for name, c := range map[string]struct {
		h          health
		lastAnswer time.Duration
		skip       bool
	}{
		"answers statements":        {healthy, now - 10*time.Millisecond, true},
		"silent for an interval":    {healthy, now - interval, false},
		"not probed yet":            {health{}, now, false},
		"unreachable":               {health{probed: true, probedAt: now}, now, false},
		"latest probe too long ago": {health{probed: true, reachable: true, probedAt: now - maxProbeIntervals*interval}, now, false},
	} {
		assert.Equal(t, c.h.canSkipProbe(now, c.lastAnswer, interval), c.skip, name)
	}
}

// A probe can time out because the link of the owner is saturated. An instance
// that still answers statements must then stay reachable. An instance that
// refuses connections, or that has not answered for a while, must not.
func TestProbeTimeoutOfAnsweringInstance(t *testing.T) {
	const timeout = time.Second
	refused := errors.New("connection refused")
	for name, c := range map[string]struct {
		err         error
		answeredAgo time.Duration
		reachable   bool
	}{
		"timeout, statements are answered": {context.DeadlineExceeded, 0, true},
		"timeout, no recent answer":        {context.DeadlineExceeded, timeout, false},
		"refused after a recent answer":    {refused, 0, false},
	} {
		in := &instance{log: discardLogger(), cfg: Config{
			Timing: Timing{ProbeTimeout: timeout},
			Stamp:  func() failover.Stamp { return failover.Stamp{} },
		}}
		in.health = health{probed: true, reachable: true}
		in.lastAnswerAt.Store(int64(sinceStart(time.Now()) - c.answeredAgo))
		in.probe = newSampler(func(context.Context) (dbedge.Status, error) { return dbedge.Status{}, c.err })
		assert.Equal(t, in.probeOnce(t.Context()), !c.reachable, name)
		assert.Equal(t, in.health.reachable, c.reachable, name)
	}
}

// While this process gets no processor time, all its probes time out, although
// every instance answers. A probe that ends long after its timeout must not make
// its instance unreachable, but a process that is always late must still find an
// instance that has failed.
func TestProbeOfProcessThatWasHeldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 200 * time.Millisecond
		delay := timeout
		in := &instance{log: discardLogger(), probeNow: make(chan struct{}, 1), cfg: Config{
			Timing: Timing{ProbeTimeout: timeout},
			Stamp:  func() failover.Stamp { return failover.Stamp{} },
		}}
		in.probe = newSampler(func(ctx context.Context) (dbedge.Status, error) {
			return probeInTime(ctx, timeout, func(ctx context.Context) (dbedge.Status, error) {
				time.Sleep(delay)
				return dbedge.Status{}, ctx.Err()
			})
		})
		setUp := func(d time.Duration) {
			time.Sleep(time.Minute)
			in.health = health{probed: true, reachable: true}
			in.lastAnswerAt.Store(int64(sinceStart(time.Now()) - time.Minute))
			delay = d
		}
		setUp(timeout + maxTimeoutDelay/2)
		assert.Assert(t, in.probeOnce(t.Context()), "a timeout on time counts")
		setUp(3 * timeout)
		for range maxLateProbes {
			assert.Assert(t, !in.probeOnce(t.Context()))
			assert.Assert(t, in.health.reachable)
		}
		assert.Assert(t, in.probeOnce(t.Context()))
		assert.Assert(t, !in.health.reachable)
	})
}
