package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	host    = table.HostID("h1")
	ms      = time.Millisecond
	forever = time.Duration(1 << 62)
)

// clock reads true time at another rate and from another start.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) at(t time.Duration) time.Duration {
	return time.Duration(float64(t)*c.rate) + c.offset
}

// event is one thing that happens at a true moment.
type event struct {
	at time.Duration
	do func(*pair)
}

// pair is a holder and the grantors of two successive leaders.
type pair struct {
	holder  Holder
	first   *Grantor
	second  *Grantor
	hClock  clock
	gClock  clock
	gClock2 clock
}

func newPair(hRate, gRate float64) *pair {
	p := &pair{
		first:   NewGrantor(DefaultConfig()),
		second:  NewGrantor(DefaultConfig()),
		hClock:  clock{hRate, time.Hour},
		gClock:  clock{gRate, time.Minute},
		gClock2: clock{gRate, time.Second},
	}
	p.first.Lead(p.gClock.at(0), forever, nil)
	return p
}

// beat is a heartbeat sent at sent, granted at granted and answered at every
// moment in answered. The second leader grants it if second is set.
func beat(seq uint64, second bool, sent, granted time.Duration, answered ...time.Duration) []event {
	var duration time.Duration
	var ok bool
	events := []event{{granted, func(p *pair) {
		g, c := p.first, p.gClock
		if second {
			g, c = p.second, p.gClock2
		}
		duration, ok = g.Grant(c.at(granted), host, HeartbeatID{1, seq})
	}}}
	for _, at := range answered {
		events = append(events, event{at, func(p *pair) {
			if ok {
				p.holder.Renew(p.hClock.at(sent), duration)
			}
		}})
	}
	return events
}

func lead(at time.Duration) []event {
	return []event{{at, func(p *pair) {
		p.first.StepDown()
		p.second.Lead(p.gClock2.at(at), forever, nil)
	}}}
}

func release(seq uint64, at, arrives time.Duration) []event {
	return []event{
		{at, func(p *pair) { p.holder.Release(p.hClock.at(at)) }},
		{arrives, func(p *pair) { p.first.Release(host, HeartbeatID{1, seq}) }},
	}
}

// schedule is a row of TestNeverValidAndExpired.
type schedule struct {
	name      string
	events    [][]event
	validAt   []time.Duration // true moments at which the lease must be usable
	expiredAt []time.Duration // true moments at which it must count as expired
}

var schedules = []schedule{
	{
		"prompt answers",
		[][]event{beat(1, false, 0, ms, 2*ms), beat(2, false, 150*ms, 151*ms, 152*ms)},
		[]time.Duration{5 * ms, 900 * ms},
		[]time.Duration{1250 * ms},
	},
	{
		"answer delayed",
		[][]event{beat(1, false, 0, ms, 900*ms)},
		[]time.Duration{920 * ms},
		[]time.Duration{1100 * ms},
	},
	{"answer later than the lease", [][]event{beat(1, false, 0, ms, 1500*ms)}, nil, []time.Duration{1500 * ms}},
	{
		"answer duplicated",
		[][]event{beat(1, false, 0, ms, 2*ms, 600*ms, 1800*ms)},
		[]time.Duration{900 * ms},
		[]time.Duration{1100 * ms},
	},
	{
		"answers reordered",
		[][]event{beat(1, false, 0, ms, 800*ms), beat(2, false, 500*ms, 501*ms, 502*ms)},
		[]time.Duration{1400 * ms},
		[]time.Duration{1700 * ms},
	},
	{
		"heartbeat delayed on its way",
		[][]event{beat(1, false, 0, 950*ms, 951*ms)},
		[]time.Duration{955 * ms},
		[]time.Duration{2100 * ms},
	},
	{
		"holder frozen past its lease",
		[][]event{beat(1, false, 0, ms, 2*ms), beat(2, false, 150*ms, 151*ms, 3*time.Second)},
		[]time.Duration{100 * ms},
		[]time.Duration{1300 * ms, 3 * time.Second},
	},
	{
		"leader changes",
		[][]event{beat(1, false, 0, ms, 2*ms), lead(10 * ms)},
		[]time.Duration{900 * ms},
		[]time.Duration{1150 * ms},
	},
	{
		"leader changes, renewed by the second",
		[][]event{
			beat(1, false, 0, ms, 2*ms), lead(10 * ms), beat(2, true, 500*ms, 510*ms, 520*ms),
		},
		[]time.Duration{1400 * ms},
		[]time.Duration{1700 * ms},
	},
	{
		"answer of the first leader after the change",
		[][]event{beat(1, false, 0, 5*ms, 700*ms), lead(6 * ms)},
		[]time.Duration{900 * ms},
		[]time.Duration{1150 * ms},
	},
	{
		"released",
		[][]event{beat(1, false, 0, ms, 2*ms), release(2, 100*ms, 120*ms)},
		[]time.Duration{50 * ms},
		[]time.Duration{121 * ms},
	},
	{
		"answer of before the release arrives after it",
		[][]event{
			beat(1, false, 0, ms, 2*ms), beat(2, false, 90*ms, 95*ms, 140*ms), release(3, 100*ms, 120*ms),
		},
		[]time.Duration{50 * ms},
		[]time.Duration{150 * ms},
	},
	{
		"release overtaken by a later heartbeat",
		[][]event{
			beat(1, false, 0, ms, 2*ms), release(2, 100*ms, 400*ms), beat(3, false, 200*ms, 210*ms, 220*ms),
		},
		[]time.Duration{500 * ms, 1100 * ms},
		[]time.Duration{1500 * ms},
	},
	{
		"heartbeat of before the release arrives after it",
		[][]event{
			beat(1, false, 0, ms, 2*ms), release(3, 100*ms, 110*ms), beat(2, false, 90*ms, 300*ms, 310*ms),
		},
		nil,
		[]time.Duration{320 * ms},
	},
}

func TestNeverValidAndExpired(t *testing.T) {
	rates := []float64{1, MaxClockRatio, 1 / MaxClockRatio}
	for _, r := range schedules {
		for _, ratio := range rates {
			t.Run(fmt.Sprintf("%s at ratio %.3f", r.name, ratio), func(t *testing.T) {
				p := newPair(1, ratio)
				checkSchedule(t, p, r.events, r.validAt, r.expiredAt)
			})
		}
	}
}

func checkSchedule(t *testing.T, p *pair, scenario [][]event, validAt, expiredAt []time.Duration) {
	t.Helper()
	due := map[time.Duration][]event{}
	for _, events := range scenario {
		for _, e := range events {
			due[e.at] = append(due[e.at], e)
		}
	}
	want := func(moments []time.Duration, now time.Duration) bool {
		for _, m := range moments {
			if m == now {
				return true
			}
		}
		return false
	}
	for now := time.Duration(0); now < 4*time.Second; now += ms {
		for _, e := range due[now] {
			e.do(p)
		}
		valid := p.holder.Valid(p.hClock.at(now))
		expired := p.first.Expired(p.gClock.at(now), host) || p.second.Expired(p.gClock2.at(now), host)
		switch {
		case valid && expired:
			t.Fatalf("valid and expired at %v", now)
		case !valid && want(validAt, now):
			t.Fatalf("not valid at %v", now)
		case !expired && want(expiredAt, now):
			t.Fatalf("not expired at %v", now)
		}
	}
}

func TestRandomSchedules(t *testing.T) {
	const seed, runs = 4101, 400
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	delay := func() time.Duration { return time.Duration(rng.IntN(600)) * ms }
	for range runs {
		ratio := 1/MaxClockRatio + rng.Float64()*(MaxClockRatio-1/MaxClockRatio)
		p := newPair(1, ratio)
		change := time.Duration(rng.IntN(2500)) * ms
		scenario := [][]event{lead(change)}
		sent := time.Duration(0)
		for seq := range uint64(8) {
			sent += time.Duration(rng.IntN(500)) * ms
			granted := sent + delay()
			answer := granted + delay()
			scenario = append(scenario, beat(seq+1, granted > change, sent, granted, answer, answer+delay()))
		}
		checkSchedule(t, p, scenario, nil, nil)
	}
}

func TestGrantNeedsLeadership(t *testing.T) {
	g := NewGrantor(DefaultConfig())
	_, ok := g.Grant(0, host, HeartbeatID{1, 1})
	assert.Assert(t, !ok)
	assert.Assert(t, !g.Expired(time.Hour, host))
	g.Lead(0, time.Second, nil)
	_, ok = g.Grant(999*ms, host, HeartbeatID{1, 1})
	assert.Assert(t, ok)
	_, ok = g.Grant(time.Second, host, HeartbeatID{1, 2})
	assert.Assert(t, !ok, "granted without a leadership lease")
	assert.Assert(t, !g.Expired(time.Hour, host), "expired without a leadership lease")
	g.Extend(time.Hour + time.Second)
	assert.Assert(t, g.Expired(time.Hour, host))
}

func TestSweep(t *testing.T) {
	g := NewGrantor(DefaultConfig())
	g.Lead(0, forever, []table.HostID{"a", "b"})
	g.Grant(100*ms, "a", HeartbeatID{1, 1})
	assert.Equal(t, len(g.Sweep(399*ms)), 0)
	assert.DeepEqual(t, g.Sweep(450*ms), []Change{{"b", Late}})
	assert.DeepEqual(t, g.Sweep(500*ms), []Change{{"a", Late}})
	g.Grant(510*ms, "a", HeartbeatID{1, 2})
	assert.DeepEqual(t, g.Sweep(1100*ms), []Change{{"b", Expired}, {"a", Late}})
	g.Forget(1100*ms, "b")
	assert.Assert(t, g.Expired(1100*ms, "b"))
	g.Grant(1200*ms, "c", HeartbeatID{1, 1})
	g.Release("c", HeartbeatID{1, 2})
	assert.DeepEqual(t, g.Sweep(1210*ms), []Change{{"c", Expired}})
	assert.Equal(t, len(g.Sweep(1211*ms)), 0)
}

func TestOvertaken(t *testing.T) {
	g := NewGrantor(DefaultConfig())
	g.Lead(0, forever, nil)
	assert.Assert(t, !g.IsStale(host, HeartbeatID{1, 2}))
	g.Grant(0, host, HeartbeatID{1, 2})
	assert.Assert(t, g.IsStale(host, HeartbeatID{1, 1}))
	assert.Assert(t, !g.IsStale(host, HeartbeatID{2, 1}), "the host started again")
}

func TestConfigValidate(t *testing.T) {
	assert.NilError(t, DefaultConfig().Validate())
	for _, c := range []Config{
		{},
		{Heartbeat: 150 * ms, Duration: time.Second, LateAfter: 200 * ms},
		{Heartbeat: 150 * ms, Duration: 500 * ms, LateAfter: 400 * ms},
	} {
		assert.Assert(t, c.Validate() != nil, "%+v", c)
	}
}
