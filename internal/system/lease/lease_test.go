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

// clock is a local clock that differs from true time in its rate and offset.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) read(t time.Duration) time.Duration {
	return time.Duration(float64(t)*c.rate) + c.offset
}

// event is an action that takes place at a moment of true time.
type event struct {
	at    time.Duration
	apply func(*fixture)
}

// fixture holds a lease holder and the grantors of two successive leaders.
type fixture struct {
	holder      Holder
	first       *Grantor
	second      *Grantor
	holderClock clock
	firstClock  clock
	secondClock clock
}

func newFixture(holderRate, grantorRate float64) *fixture {
	f := &fixture{
		first:       NewGrantor(DefaultConfig()),
		second:      NewGrantor(DefaultConfig()),
		holderClock: clock{holderRate, time.Hour},
		firstClock:  clock{grantorRate, time.Minute},
		secondClock: clock{grantorRate, time.Second},
	}
	f.first.Lead(f.firstClock.read(0), forever, nil)
	return f
}

// heartbeatEvents returns the events of a heartbeat that is sent at sent,
// granted at granted and answered at every moment in answered. The second
// leader grants it if second is set.
func heartbeatEvents(seq uint64, second bool, sent, granted time.Duration, answered ...time.Duration) []event {
	var duration time.Duration
	var ok bool
	events := []event{{granted, func(f *fixture) {
		g, c := f.first, f.firstClock
		if second {
			g, c = f.second, f.secondClock
		}
		duration, ok = g.Grant(c.read(granted), host, HeartbeatID{1, seq})
	}}}
	for _, at := range answered {
		events = append(events, event{at, func(f *fixture) {
			if ok {
				f.holder.Renew(f.holderClock.read(sent), duration)
			}
		}})
	}
	return events
}

func leaderChangeEvents(at time.Duration) []event {
	return []event{{at, func(f *fixture) {
		f.first.StepDown()
		f.second.Lead(f.secondClock.read(at), forever, nil)
	}}}
}

func releaseEvents(seq uint64, at, arrives time.Duration) []event {
	return []event{
		{at, func(f *fixture) { f.holder.Release(f.holderClock.read(at)) }},
		{arrives, func(f *fixture) { f.first.Release(host, HeartbeatID{1, seq}) }},
	}
}

// schedule is a test case of TestNeverValidAndExpired.
type schedule struct {
	name      string
	events    [][]event
	validAt   []time.Duration // true times at which the lease must be valid
	expiredAt []time.Duration // true times at which the lease must count as expired
}

var schedules = []schedule{
	{
		"prompt answers",
		[][]event{heartbeatEvents(1, false, 0, ms, 2*ms), heartbeatEvents(2, false, 150*ms, 151*ms, 152*ms)},
		[]time.Duration{5 * ms, 900 * ms},
		[]time.Duration{1250 * ms},
	},
	{
		"answer delayed",
		[][]event{heartbeatEvents(1, false, 0, ms, 900*ms)},
		[]time.Duration{920 * ms},
		[]time.Duration{1100 * ms},
	},
	{"answer later than the lease", [][]event{heartbeatEvents(1, false, 0, ms, 1500*ms)}, nil, []time.Duration{1500 * ms}},
	{
		"answer duplicated",
		[][]event{heartbeatEvents(1, false, 0, ms, 2*ms, 600*ms, 1800*ms)},
		[]time.Duration{900 * ms},
		[]time.Duration{1100 * ms},
	},
	{
		"answers reordered",
		[][]event{heartbeatEvents(1, false, 0, ms, 800*ms), heartbeatEvents(2, false, 500*ms, 501*ms, 502*ms)},
		[]time.Duration{1400 * ms},
		[]time.Duration{1700 * ms},
	},
	{
		"heartbeat delayed on its way",
		[][]event{heartbeatEvents(1, false, 0, 950*ms, 951*ms)},
		[]time.Duration{955 * ms},
		[]time.Duration{2100 * ms},
	},
	{
		"holder frozen past its lease",
		[][]event{heartbeatEvents(1, false, 0, ms, 2*ms), heartbeatEvents(2, false, 150*ms, 151*ms, 3*time.Second)},
		[]time.Duration{100 * ms},
		[]time.Duration{1300 * ms, 3 * time.Second},
	},
	{
		"leader changes",
		[][]event{heartbeatEvents(1, false, 0, ms, 2*ms), leaderChangeEvents(10 * ms)},
		[]time.Duration{900 * ms},
		[]time.Duration{1150 * ms},
	},
	{
		"leader changes, renewed by the second",
		[][]event{
			heartbeatEvents(1, false, 0, ms, 2*ms), leaderChangeEvents(10 * ms), heartbeatEvents(2, true, 500*ms, 510*ms, 520*ms),
		},
		[]time.Duration{1400 * ms},
		[]time.Duration{1700 * ms},
	},
	{
		"answer of the first leader after the change",
		[][]event{heartbeatEvents(1, false, 0, 5*ms, 700*ms), leaderChangeEvents(6 * ms)},
		[]time.Duration{900 * ms},
		[]time.Duration{1150 * ms},
	},
	{
		"released",
		[][]event{heartbeatEvents(1, false, 0, ms, 2*ms), releaseEvents(2, 100*ms, 120*ms)},
		[]time.Duration{50 * ms},
		[]time.Duration{121 * ms},
	},
	{
		"answer to a heartbeat from before the release arrives after it",
		[][]event{
			heartbeatEvents(1, false, 0, ms, 2*ms), heartbeatEvents(2, false, 90*ms, 95*ms, 140*ms), releaseEvents(3, 100*ms, 120*ms),
		},
		[]time.Duration{50 * ms},
		[]time.Duration{150 * ms},
	},
	{
		"release overtaken by a later heartbeat",
		[][]event{
			heartbeatEvents(1, false, 0, ms, 2*ms), releaseEvents(2, 100*ms, 400*ms), heartbeatEvents(3, false, 200*ms, 210*ms, 220*ms),
		},
		[]time.Duration{500 * ms, 1100 * ms},
		[]time.Duration{1500 * ms},
	},
	{
		"heartbeat from before the release arrives after it",
		[][]event{
			heartbeatEvents(1, false, 0, ms, 2*ms), releaseEvents(3, 100*ms, 110*ms), heartbeatEvents(2, false, 90*ms, 300*ms, 310*ms),
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
				f := newFixture(1, ratio)
				checkSchedule(t, f, r.events, r.validAt, r.expiredAt)
			})
		}
	}
}

func checkSchedule(t *testing.T, f *fixture, events [][]event, validAt, expiredAt []time.Duration) {
	t.Helper()
	due := map[time.Duration][]event{}
	for _, sequence := range events {
		for _, e := range sequence {
			due[e.at] = append(due[e.at], e)
		}
	}
	contains := func(moments []time.Duration, now time.Duration) bool {
		for _, m := range moments {
			if m == now {
				return true
			}
		}
		return false
	}
	for now := time.Duration(0); now < 4*time.Second; now += ms {
		for _, e := range due[now] {
			e.apply(f)
		}
		valid := f.holder.Valid(f.holderClock.read(now))
		expired := f.first.Expired(f.firstClock.read(now), host) || f.second.Expired(f.secondClock.read(now), host)
		switch {
		case valid && expired:
			t.Fatalf("valid and expired at %v", now)
		case !valid && contains(validAt, now):
			t.Fatalf("not valid at %v", now)
		case !expired && contains(expiredAt, now):
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
		f := newFixture(1, ratio)
		change := time.Duration(rng.IntN(2500)) * ms
		events := [][]event{leaderChangeEvents(change)}
		sent := time.Duration(0)
		for seq := range uint64(8) {
			sent += time.Duration(rng.IntN(500)) * ms
			granted := sent + delay()
			answer := granted + delay()
			events = append(events, heartbeatEvents(seq+1, granted > change, sent, granted, answer, answer+delay()))
		}
		checkSchedule(t, f, events, nil, nil)
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
	g.Grant(0, "b", HeartbeatID{1, 1})
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

func TestStaleHeartbeat(t *testing.T) {
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

// A new leader must not call every host late because their heartbeats to the old
// leader have to time out first. With hundreds of hosts, all tables were then sent
// to all hosts twice, and all primaries were out of use meanwhile. A host that has
// found the leader and falls silent is late as soon as ever, and no lease lasts
// longer.
func TestHostsFindNewLeader(t *testing.T) {
	cfg := DefaultConfig()
	g := NewGrantor(cfg)
	g.Lead(0, forever, []table.HostID{"searching", "silent"})
	g.Grant(50*ms, "silent", HeartbeatID{1, 1})
	assert.Equal(t, len(g.Sweep(cfg.LateAfter+10*ms)), 0)
	assert.DeepEqual(t, g.Sweep(cfg.LateAfter+50*ms), []Change{{"silent", Late}})
	assert.Assert(t, !g.Late(cfg.LateAfter+cfg.FindLeader-1, "searching"))
	assert.Assert(t, !g.Late(cfg.LateAfter+cfg.FindLeader-1, "unlisted"))
	assert.DeepEqual(t, g.Sweep(cfg.LateAfter+cfg.FindLeader), []Change{{"searching", Late}})
	assert.Assert(t, g.Expired(GrantorTime(cfg.Duration), "searching"))
}
