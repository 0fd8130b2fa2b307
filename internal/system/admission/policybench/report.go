package policybench

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

// floodTimes is the offered work of a flood as a multiple of the capacity.
const floodTimes = 10

// The targets.
const (
	maxUrgentRatio = 1.2
	minKept        = 0.95
	minUseful      = 0.95
)

// Line is one measured value with its bound, from below or above.
type Line struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Bound float64 `json:"bound"`
	Pass  bool    `json:"pass"`
}

func atMost(name string, value, bound float64, unit string) Line {
	return Line{Name: name, Value: value, Unit: unit, Bound: bound, Pass: value <= bound}
}

func atLeast(name string, value, bound float64, unit string) Line {
	return Line{Name: name, Value: value, Unit: unit, Bound: bound, Pass: value >= bound}
}

// Trio is the three runs of one policy on one profile.
type Trio struct {
	Profile Profile
	Policy  string
	// Calm has no flood, Low a flood of the lowest rank, High one of the most
	// urgent; routed profiles have no High.
	Calm, Low, High *Result
}

// Measure runs one policy on p without a flood, with one of the lowest rank
// and with one of the most urgent. In a routed profile only the primaries
// could take the latter, so it is left out.
func Measure(p Profile, policy string, mk Maker, length time.Duration, seed uint64) (*Trio, error) {
	t := &Trio{Profile: p, Policy: policy}
	var err error
	if t.Calm, err = Run(p, mk, length, seed); err != nil {
		return nil, err
	}
	if t.Low, err = Run(p.Flood(p.Loads[len(p.Loads)-1].Class, floodTimes), mk, length, seed); err != nil {
		return nil, err
	}
	if !p.Routed {
		t.High, err = Run(p.Flood(p.Loads[0].Class, floodTimes), mk, length, seed)
	}
	return t, err
}

// Lines holds the runs against the targets.
func (t *Trio) Lines() []Line {
	lines := t.lowLines()
	if t.High != nil {
		lines = append(lines, t.highLines()...)
	}
	return lines
}

func (t *Trio) name(s string) string {
	return "admission_" + t.Profile.Name + "_" + t.Policy + "_" + s
}

func (t *Trio) lowLines() []Line {
	calm, low := t.Calm.ordinary(config.RankUrgent), t.Low.ordinary(config.RankUrgent)
	return []Line{
		atMost(t.name("low_flood_urgent_p99_ratio"), ratio(low.P99(), calm.P99()), maxUrgentRatio, "ratio"),
		atMost(t.name("low_flood_urgent_refused"), float64(low.Refused+low.GaveUp), 0, "requests"),
		atLeast(t.name("low_flood_least_kept"), t.Low.leastKept(config.RankUrgent), minKept, "share"),
		atLeast(t.name("low_flood_useful"), t.Low.Useful(), minUseful, "share"),
	}
}

func (t *Trio) highLines() []Line {
	high := t.High.ordinary(config.RankUrgent)
	return []Line{
		atLeast(t.name("high_flood_normal_floor"), t.floorKept(config.RankNormal), 1, "share of floor"),
		atLeast(t.name("high_flood_background_floor"), t.floorKept(config.RankBackground), 1, "share of floor"),
		atMost(t.name("high_flood_other_urgent_p99_ratio"), t.otherUrgent(), maxUrgentRatio, "ratio"),
		atMost(t.name("high_flood_urgent_in_rate_p99"), t.High.worstOfDeadline(t.Profile), 1, "share of deadline"),
		atMost(t.name("high_flood_urgent_in_rate_refused"), float64(high.Refused+high.GaveUp), 0, "requests"),
		atLeast(t.name("high_flood_useful"), t.High.Useful(), minUseful, "share"),
	}
}

// otherUrgent is the highest 99th percentile among the urgent classes that do
// not flood, over what it is without a flood.
func (t *Trio) otherUrgent() float64 {
	worst := 0.0
	for i := 1; i < len(t.Calm.Classes); i++ {
		if c := &t.Calm.Classes[i]; c.Rank == config.RankUrgent {
			worst = max(worst, ratio(t.High.Classes[i].P99(), c.P99()))
		}
	}
	return worst
}

// floorKept is the slot time that a rank got under the urgent flood, over its
// floor or over what it wanted if that was less.
func (t *Trio) floorKept(rank config.Rank) float64 {
	want := float64(t.Profile.Floors[rank]) / 100
	offered := 0.0
	for _, l := range t.Profile.Loads {
		if l.Rank == rank {
			offered += l.Share
		}
	}
	got := float64(t.High.Rank(rank).Useful) / float64(t.High.Capacity)
	return got / min(want, offered)
}

// ordinary sums up the callers of a rank that do not flood.
func (r *Result) ordinary(rank config.Rank) ClassResult {
	calm := Result{Capacity: r.Capacity}
	for _, c := range r.Classes {
		if !c.Flooding {
			calm.Classes = append(calm.Classes, c)
		}
	}
	return calm.Rank(rank)
}

// leastKept is the least share of offered work in time among the classes from
// rank on, without the callers that flood.
func (r *Result) leastKept(from config.Rank) float64 {
	least := 1.0
	for i := range r.Classes {
		if c := &r.Classes[i]; !c.Flooding && c.Rank >= from {
			least = min(least, c.Kept())
		}
	}
	return least
}

// worstOfDeadline is the highest 99th percentile of the urgent classes, as a
// share of the deadline, without the callers that flood.
func (r *Result) worstOfDeadline(p Profile) float64 {
	worst := 0.0
	for i := range p.Loads {
		l := &p.Loads[i]
		if l.Rank == config.RankUrgent {
			worst = max(worst, ratio(r.Classes[i].P99(), l.Deadline))
		}
	}
	return worst
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(1, b)) }

// Report measures every policy on p, writes the comparison and then the lines
// of the chosen policy as JSON, and returns these.
func Report(w io.Writer, profiles []Profile, length time.Duration, seed uint64) ([]Line, error) {
	policies := []struct {
		name string
		make Maker
	}{{"fifo", FIFO}, {"strict", Strict}, {"chosen", Chosen}}
	var trios []*Trio
	var lines []Line
	for _, p := range profiles {
		for _, policy := range policies {
			t, err := Measure(p, policy.name, policy.make, length, seed)
			if err != nil {
				return nil, err
			}
			trios = append(trios, t)
		}
		lines = append(lines, trios[len(trios)-1].Lines()...)
	}
	writeTable(w, trios)
	out := json.NewEncoder(w)
	for _, l := range lines {
		if err := out.Encode(l); err != nil {
			return nil, err
		}
	}
	return lines, nil
}

// tableHead and tableRow lay out the comparison.
const (
	tableHead = "%-16s %-7s %-6s %12s %14s %12s %12s %8s\n"
	tableRow  = "%-16s %-7s %-6s %12v %14d %12.3f %12.3f %8.3f\n"
)

// writeTable compares the runs: the callers that do not flood, and the use of
// the slots.
func writeTable(w io.Writer, trios []*Trio) {
	fmt.Fprintf(w, tableHead, "profile", "policy", "flood", "urgent p99", "urgent refused", "normal kept", "backgr. kept", "useful")
	for _, t := range trios {
		for _, run := range []struct {
			name   string
			result *Result
		}{{"none", t.Calm}, {"low", t.Low}, {"high", t.High}} {
			if run.result == nil {
				continue
			}
			urgent := run.result.ordinary(config.RankUrgent)
			normal := run.result.ordinary(config.RankNormal)
			background := run.result.ordinary(config.RankBackground)
			fmt.Fprintf(w, tableRow, t.Profile.Name, t.Policy, run.name, urgent.P99(), urgent.Refused+urgent.GaveUp,
				normal.Kept(), background.Kept(), run.result.Useful())
		}
	}
}
