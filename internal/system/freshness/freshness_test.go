package freshness

import (
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

const ms = time.Millisecond

func mark(term table.Term, p table.Position) table.Mark {
	return table.Mark{Term: term, Position: p}
}

func TestAge(t *testing.T) {
	tests := map[string]struct {
		observe func(*Tracker)
		age     time.Duration
		ok      bool
	}{
		"nothing known":          {func(*Tracker) {}, 0, false},
		"replica only":           {func(k *Tracker) { k.ObserveReplica(90*ms, mark(1, 50)) }, 0, false},
		"reached":                {func(k *Tracker) { k.ObservePrimary(40*ms, 45*ms, mark(1, 50)); k.ObserveReplica(90*ms, mark(1, 50)) }, 60 * ms, true},
		"not reached":            {func(k *Tracker) { k.ObservePrimary(40*ms, 45*ms, mark(1, 50)); k.ObserveReplica(90*ms, mark(1, 49)) }, 0, false},
		"idle primary":           {func(k *Tracker) { k.ObserveReplica(10*ms, mark(1, 50)); k.ObservePrimary(95*ms, 99*ms, mark(1, 50)) }, 5 * ms, true},
		"sample from the future": {func(k *Tracker) { k.ObserveReplica(10*ms, mark(1, 50)); k.ObservePrimary(95*ms, 94*ms, mark(1, 50)) }, 0, false},
		"replica of an older term": {func(k *Tracker) {
			k.ObservePrimary(40*ms, 45*ms, mark(2, 50))
			k.ObserveReplica(90*ms, mark(1, 60))
		}, 0, false},
		"samples of an older term": {func(k *Tracker) {
			k.ObservePrimary(40*ms, 45*ms, mark(1, 50))
			k.ObserveReplica(50*ms, mark(1, 60))
			k.SetTerm(2, 55)
			k.ObservePrimary(60*ms, 65*ms, mark(1, 50))
		}, 0, false},
		"sample of a lost history": {func(k *Tracker) {
			k.ObservePrimary(40*ms, 45*ms, mark(1, 50))
			k.SetTerm(2, 45)
			k.ObserveReplica(50*ms, mark(2, 60))
		}, 0, false},
		"replica rebuilt": {func(k *Tracker) {
			k.ObservePrimary(40*ms, 45*ms, mark(1, 50))
			k.ObserveReplica(50*ms, mark(1, 60))
			k.ObserveReplica(60*ms, mark(1, 20))
		}, 0, false},
		"reports out of order": {func(k *Tracker) {
			k.ObservePrimary(40*ms, 45*ms, mark(1, 50))
			k.ObserveReplica(60*ms, mark(1, 20))
			k.ObserveReplica(50*ms, mark(1, 60))
		}, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var k Tracker
			tt.observe(&k)
			age, ok := k.Age(100 * ms)
			assert.Equal(t, ok, tt.ok)
			assert.Equal(t, age, tt.age)
		})
	}
}

func TestHolds(t *testing.T) {
	tests := map[string]struct {
		terms   []table.Mark // terms and their starts
		replica table.Mark
		floor   table.Mark
		want    bool
		verdict Verdict
	}{
		"same term":                            {[]table.Mark{mark(1, 0)}, mark(1, 50), mark(1, 50), true, Kept},
		"not yet":                              {[]table.Mark{mark(1, 0)}, mark(1, 49), mark(1, 50), false, Kept},
		"older term, kept":                     {[]table.Mark{mark(2, 50)}, mark(2, 60), mark(1, 50), true, Kept},
		"older term, lost":                     {[]table.Mark{mark(2, 50)}, mark(2, 60), mark(1, 51), false, Lost},
		"replica still replays the older term": {[]table.Mark{mark(2, 50)}, mark(2, 30), mark(1, 40), false, Kept},
		"replica in an older term":             {[]table.Mark{mark(2, 50)}, mark(1, 60), mark(1, 40), false, Kept},
		"lost two terms ago":                   {[]table.Mark{mark(2, 45), mark(3, 60)}, mark(3, 70), mark(1, 50), false, Lost},
		"kept over two terms":                  {[]table.Mark{mark(2, 45), mark(3, 60)}, mark(3, 70), mark(1, 45), true, Kept},
		"unknown term in between":              {[]table.Mark{mark(3, 60)}, mark(3, 70), mark(1, 45), false, Unproven},
		"floor of a later term":                {[]table.Mark{mark(2, 45)}, mark(2, 70), mark(3, 45), false, Unproven},
		"lower term recorded late":             {[]table.Mark{mark(2, 45), mark(1, 0)}, mark(2, 70), mark(1, 45), true, Kept},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var k Tracker
			for _, m := range tt.terms {
				k.SetTerm(m.Term, m.Position)
			}
			k.ObserveReplica(0, tt.replica)
			assert.Equal(t, k.Holds(tt.floor), tt.want)
			assert.Equal(t, k.History().Check(tt.floor), tt.verdict)
		})
	}
}

// simulation holds the true state of one group, and a Tracker that receives its
// observations late, out of order and incompletely.
type simulation struct {
	*rapid.T
	tracker     Tracker
	now         time.Duration
	acked       []time.Duration // acknowledgement times; acked[i] is that of the write at position i+1
	term        table.Term
	replica     table.Position
	undelivered []func()
}

func (s *simulation) step() {
	s.now += time.Duration(rapid.IntRange(1, 50).Draw(s.T, "pass")) * ms
	switch rapid.IntRange(0, 8).Draw(s.T, "event") {
	case 0, 1:
		s.acked = append(s.acked, s.now)
	case 2, 3:
		s.replica += table.Position(rapid.IntRange(0, len(s.acked)-int(s.replica)).Draw(s.T, "applied"))
	case 4: // a sample that was requested up to 20 ms ago
		t0 := max(0, s.now-time.Duration(rapid.IntRange(0, 20).Draw(s.T, "asked"))*ms)
		count := sort.Search(len(s.acked), func(i int) bool { return s.acked[i] >= t0 })
		m := mark(s.term, table.Position(count))
		s.undelivered = append(s.undelivered, func() { s.tracker.ObservePrimary(t0, s.now, m) })
	case 5:
		sentAt, m := s.now, mark(s.term, s.replica)
		s.undelivered = append(s.undelivered, func() { s.tracker.ObserveReplica(sentAt, m) })
	case 6, 7:
		s.deliver(rapid.IntRange(0, len(s.undelivered)).Draw(s.T, "deliver"))
	case 8:
		s.rareEvent()
	}
}

func (s *simulation) rareEvent() {
	switch rapid.IntRange(0, 9).Draw(s.T, "rare") {
	case 0:
		s.replica /= 2 // replica rebuilt from a backup
	case 1:
		s.term++
		s.tracker.SetTerm(s.term, table.Position(len(s.acked)))
	}
}

func (s *simulation) deliver(i int) {
	if i < len(s.undelivered) {
		s.undelivered[i]()
		s.undelivered = append(s.undelivered[:i], s.undelivered[i+1:]...)
	}
}

// A proven age must never be lower than the true age: the time since the
// acknowledgement of the first write that the replica was missing at its latest
// report. rapid prints the seed of a failing run.
func TestProvenAgeIsNeverTooLow(t *testing.T) {
	proven := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{T: t, term: 1}
		s.tracker.SetTerm(1, 0)
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			s.step()
			age, ok := s.tracker.Age(s.now)
			if !ok {
				continue
			}
			proven++
			m, _, _ := s.tracker.Mark()
			if i := int(m.Position); i < len(s.acked) && age < s.now-s.acked[i] {
				t.Fatalf("age %v proven at %v, the true age is %v", age, s.now, s.now-s.acked[i])
			}
		}
	})
	t.Logf("%d ages proven", proven)
	assert.Assert(t, proven > 100, "only %d ages were proven", proven)
}

// The age of a replica must stay provable, within 10 %, while it lags far
// longer than sampleCapacity samples cover at the sampling interval.
func TestLongLagRemainsProvable(t *testing.T) {
	const lag, interval = 60 * time.Second, 100 * ms
	var k Tracker
	for now := time.Duration(0); now < 10*lag; now += interval {
		k.ObservePrimary(now, now, mark(1, table.Position(now)))
		k.ObserveReplica(now, mark(1, table.Position(max(0, now-lag))))
		if age, ok := k.Age(now); now > 2*lag {
			assert.Assert(t, ok && age >= lag && age < lag+lag/10, "age %v %v at %v", age, ok, now)
		}
	}
}

func TestNoAllocation(t *testing.T) {
	var k Tracker
	now := time.Duration(0)
	assert.Equal(t, testing.AllocsPerRun(1000, func() {
		now += ms
		k.ObservePrimary(now, now, mark(1, table.Position(now)))
		k.ObserveReplica(now, mark(1, table.Position(now-3*ms)))
		k.Age(now)
		k.Holds(mark(1, 5))
	}), 0.0)
}
