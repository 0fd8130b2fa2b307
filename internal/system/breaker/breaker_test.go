package breaker

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

var key = Key{Instance: "g-1", Owner: "h1"}

// An owner whose instance does not answer for a second, and requests that all
// wait for it at many hosts, each trying again every 25 ms. The owner is asked
// far less often than that, and found soon after it serves again.
func TestOwnerThatRefusesIsNotFlooded(t *testing.T) {
	const hosts, waiting, outage = 78, 6, 1000
	random := rand.New(rand.NewPCG(1, 2))
	sent, slowest := 0, time.Duration(0)
	for range hosts {
		var b Breaker
		assert.Assert(t, b.Allow(0, key, 0))
		b.Served(key)
		b.Refused(0, key)
		for at := range outage {
			for r := range waiting {
				now := time.Duration(at) * ms
				if (at+4*r)%25 != 0 || !b.Allow(now, key, random.Float64()) {
					continue
				}
				sent++
				b.Refused(now, key)
			}
		}
		back := time.Duration(outage) * ms
		for !b.Allow(back, key, random.Float64()) {
			back += 5 * ms
		}
		slowest = max(slowest, back-outage*ms)
	}
	t.Logf("%d sent, %d without the breaker; found after %v at the latest", sent, hosts*waiting*outage/25, slowest)
	assert.Assert(t, sent <= hosts*8, "%d sent", sent)
	assert.Assert(t, slowest <= maxPause, "found after %v", slowest)
}

// After a move all that waits at a host comes at once. The next owner gets one
// request of each host until it has served it.
func TestNextOwnerIsAskedAtOnceAndGently(t *testing.T) {
	var b Breaker
	b.Allow(0, key, 0)
	next := Key{Instance: key.Instance, Owner: "h2"}
	assert.Assert(t, b.Allow(10*ms, next, 0), "the first")
	for range 20 {
		assert.Assert(t, !b.Allow(11*ms, next, 0), "the others")
	}
	b.Served(next)
	for range 20 {
		assert.Assert(t, b.Allow(12*ms, next, 0))
	}
}

// The trial itself may be lost: others follow it, further and further apart.
func TestTrialWithoutAnAnswerIsFollowedByOthers(t *testing.T) {
	var b Breaker
	var trials []time.Duration
	for now := time.Duration(0); now <= time.Second; now += ms {
		if b.Allow(now, key, 0) {
			trials = append(trials, now)
		}
	}
	assert.DeepEqual(t, trials, []time.Duration{0, 20 * ms, 60 * ms, 140 * ms, 300 * ms, 620 * ms, 940 * ms})
}

func TestOwnersOfLongAgoAreForgotten(t *testing.T) {
	var b Breaker
	b.Allow(0, key, 0)
	b.Allow(2*kept, Key{Instance: "g-2", Owner: "h1"}, 0)
	assert.Equal(t, len(b.by), 1)
}
