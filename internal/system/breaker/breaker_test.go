package breaker

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

var key = Key{Instance: "g-1", Owner: "h1"}

// The instance of an owner does not answer for a second, while pending requests
// at many hosts each retry every 25 ms. The breakers must pass on far fewer
// requests, and must detect within maxBackoff that the owner serves again.
func TestOwnerThatRefusesIsNotFlooded(t *testing.T) {
	const hosts, pending, outage = 78, 6, 1000
	random := rand.New(rand.NewPCG(1, 2))
	sent, slowest := 0, time.Duration(0)
	for range hosts {
		var b Breaker
		assert.Assert(t, b.Allow(0, key, 0))
		b.Served(key)
		b.Refused(0, key)
		for at := range outage {
			for r := range pending {
				now := time.Duration(at) * ms
				if (at+4*r)%25 != 0 || !b.Allow(now, key, random.Float64()) {
					continue
				}
				sent++
				b.Refused(now, key)
			}
		}
		detectedAt := time.Duration(outage) * ms
		for !b.Allow(detectedAt, key, random.Float64()) {
			detectedAt += 5 * ms
		}
		slowest = max(slowest, detectedAt-outage*ms)
	}
	t.Logf("%d sent, %d without the breaker; recovery detected after at most %v", sent, hosts*pending*outage/25, slowest)
	assert.Assert(t, sent <= hosts*8, "%d sent", sent)
	assert.Assert(t, slowest <= maxBackoff, "recovery detected after %v", slowest)
}

// After a move, all pending requests of a host are retried at once. The new
// owner must get only one of them until it has served it.
func TestNewOwnerGetsOneRequestUntilItServes(t *testing.T) {
	var b Breaker
	b.Allow(0, key, 0)
	next := Key{Instance: key.Instance, Owner: "h2"}
	assert.Assert(t, b.Allow(10*ms, next, 0), "the first request")
	for range 20 {
		assert.Assert(t, !b.Allow(11*ms, next, 0), "further requests")
	}
	b.Served(next)
	for range 20 {
		assert.Assert(t, b.Allow(12*ms, next, 0))
	}
}

// The answer to a trial may be lost. Further trials must follow with increasing
// backoff.
func TestUnansweredTrialsBackOff(t *testing.T) {
	var b Breaker
	var trials []time.Duration
	for now := time.Duration(0); now <= time.Second; now += ms {
		if b.Allow(now, key, 0) {
			trials = append(trials, now)
		}
	}
	assert.DeepEqual(t, trials, []time.Duration{0, 20 * ms, 60 * ms, 140 * ms, 300 * ms, 620 * ms, 940 * ms})
}

func TestUnusedKeysExpire(t *testing.T) {
	var b Breaker
	b.Allow(0, key, 0)
	b.Allow(2*idleTTL, Key{Instance: "g-2", Owner: "h1"}, 0)
	assert.Equal(t, len(b.byKey), 1)
}
