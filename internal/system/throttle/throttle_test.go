package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

var (
	urgent     = Key{Instance: "g-1", Rank: config.RankUrgent}
	background = Key{Instance: "g-1", Rank: config.RankBackground}
)

// host is one of many entry hosts that share an instance.
type host struct{ Throttle }

// offer plays one second of the hosts, each with rate requests, against an
// instance that admits capacity requests a second. It returns how many were
// sent to the instance.
func offer(hosts []*host, from time.Duration, rate, capacity int, random *rand.Rand) (sent, admitted int) {
	step := time.Second / time.Duration(rate)
	room := 0.0
	for n := range rate {
		now := from + time.Duration(n)*step
		room = min(room+float64(capacity)/float64(rate), float64(capacity))
		for _, h := range hosts {
			if !h.Allow(now, background, random.Float64()) {
				continue
			}
			sent++
			h.Answered(now, background, room < 1)
			if room >= 1 {
				room--
				admitted++
			}
		}
	}
	return sent, admitted
}

func newHosts(n int) []*host {
	hosts := make([]*host, n)
	for i := range hosts {
		hosts[i] = &host{}
	}
	return hosts
}

// The burst of one class that all hosts send to one instance: five times what
// it can do. Refused work must not use up the link of the owner, and no slot
// may stay empty for it.
func TestRefusedWorkStaysBehindAdmittedWork(t *testing.T) {
	const capacity = 200
	random := rand.New(rand.NewPCG(1, 2))
	hosts := newHosts(50)
	for second := range 6 {
		sent, admitted := offer(hosts, time.Duration(second)*time.Second, 20, capacity, random)
		if second < 2 {
			continue // the hosts have still to find out
		}
		bound := overshoot*capacity + spared*len(hosts)*int(time.Second/(2*period))
		assert.Assert(t, sent <= bound, "second %d: %d sent, the bound is %d", second, sent, bound)
		assert.Assert(t, admitted >= capacity*95/100, "second %d: %d admitted", second, admitted)
	}
}

// When the burst is over, or the instance has room again, nothing is held back.
func TestAllIsSentAgainOnceThereIsRoom(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	hosts := newHosts(50)
	for second := range 4 {
		offer(hosts, time.Duration(second)*time.Second, 20, 100, random)
	}
	for second := 4; second < 7; second++ {
		offer(hosts, time.Duration(second)*time.Second, 20, 2000, random)
	}
	sent, admitted := offer(hosts, 7*time.Second, 20, 2000, random)
	assert.Equal(t, sent, 50*20)
	assert.Equal(t, admitted, sent)
}

// refuse counts n refusals of the instance.
func refuse(h *Throttle, k Key, n int) {
	for range n {
		h.Answered(0, k, true)
	}
}

func TestFewRefusalsChangeNothing(t *testing.T) {
	var h Throttle
	refuse(&h, urgent, spared)
	assert.Assert(t, h.Allow(0, urgent, 0))
	refuse(&h, urgent, 1)
	assert.Assert(t, !h.Allow(0, urgent, 0))
}

// After an outage much is sent before the first answer comes: what has no answer
// yet was not refused.
func TestRequestsWithoutAnAnswerHoldNothingBack(t *testing.T) {
	var h Throttle
	for range 100 {
		assert.Assert(t, h.Allow(0, urgent, 0))
	}
}

// Refused work of one rank holds back only that rank.
func TestRanksAreThrottledByThemselves(t *testing.T) {
	var h Throttle
	refuse(&h, background, 100)
	assert.Assert(t, !h.Allow(0, background, 0.5))
	assert.Assert(t, h.Allow(0, urgent, 0))
}

func TestWhatIsLongAgoIsForgotten(t *testing.T) {
	var h Throttle
	refuse(&h, background, 100)
	assert.Assert(t, h.Allow(2*period, background, 0))
	assert.Equal(t, len(h.by), 1)
	h.Allow(5*period, urgent, 0)
	assert.Equal(t, len(h.by), 1, "what counts no more takes no room")
}
