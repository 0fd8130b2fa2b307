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

// The targets that a policy has to meet.
const (
	maxUrgentRatio = 1.2  // p99 of urgent work, relative to the run without a flood
	minInTimeShare = 0.95 // offered requests that are answered in time
	minUseful      = 0.95 // capacity spent on answers in time
)

// Line is one measured value with its bound. Pass tells whether the value is on
// the right side of the bound.
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

// Comparison holds the runs of one policy on one profile without and with
// floods.
type Comparison struct {
	Profile Profile
	Policy  string
	// NoFlood is a run without a flood, LowFlood one with a flood of the lowest
	// rank and HighFlood one with a flood of the most urgent rank. Routed
	// profiles have no HighFlood.
	NoFlood, LowFlood, HighFlood *Result
}

// Measure runs one policy on p without a flood, with a flood of the lowest rank
// and with a flood of the most urgent rank. A routed profile omits the last
// run, because only its primaries could take that flood.
func Measure(p Profile, policy string, factory Factory, length time.Duration, seed uint64) (*Comparison, error) {
	c := &Comparison{Profile: p, Policy: policy}
	var err error
	if c.NoFlood, err = Run(p, factory, length, seed); err != nil {
		return nil, err
	}
	if c.LowFlood, err = Run(p.Flood(p.Loads[len(p.Loads)-1].Class, floodTimes), factory, length, seed); err != nil {
		return nil, err
	}
	if !p.Routed {
		c.HighFlood, err = Run(p.Flood(p.Loads[0].Class, floodTimes), factory, length, seed)
	}
	return c, err
}

// Lines compares the runs with the targets.
func (c *Comparison) Lines() []Line {
	lines := c.lowLines()
	if c.HighFlood != nil {
		lines = append(lines, c.highLines()...)
	}
	return lines
}

func (c *Comparison) name(s string) string {
	return "admission_" + c.Profile.Name + "_" + c.Policy + "_" + s
}

func (c *Comparison) lowLines() []Line {
	noFlood, lowFlood := c.NoFlood.nonFlooding(config.RankUrgent), c.LowFlood.nonFlooding(config.RankUrgent)
	return []Line{
		atMost(c.name("low_flood_urgent_p99_ratio"), ratio(lowFlood.P99(), noFlood.P99()), maxUrgentRatio, "ratio"),
		atMost(c.name("low_flood_urgent_refused"), float64(lowFlood.Refused+lowFlood.Abandoned), 0, "requests"),
		atLeast(c.name("low_flood_least_kept"), c.LowFlood.lowestInTimeShare(config.RankUrgent), minInTimeShare, "share"),
		atLeast(c.name("low_flood_useful"), c.LowFlood.Useful(), minUseful, "share"),
	}
}

func (c *Comparison) highLines() []Line {
	highFlood := c.HighFlood.nonFlooding(config.RankUrgent)
	return []Line{
		atLeast(c.name("high_flood_normal_floor"), c.floorRatio(config.RankNormal), 1, "share of floor"),
		atLeast(c.name("high_flood_background_floor"), c.floorRatio(config.RankBackground), 1, "share of floor"),
		atMost(c.name("high_flood_other_urgent_p99_ratio"), c.otherUrgentRatio(), maxUrgentRatio, "ratio"),
		atMost(c.name("high_flood_urgent_in_rate_p99"), c.HighFlood.worstDeadlineShare(c.Profile), 1, "share of deadline"),
		atMost(c.name("high_flood_urgent_in_rate_refused"), float64(highFlood.Refused+highFlood.Abandoned), 0, "requests"),
		atLeast(c.name("high_flood_useful"), c.HighFlood.Useful(), minUseful, "share"),
	}
}

// otherUrgentRatio returns the highest ratio of the 99th percentile under the
// urgent flood to that without a flood, among the urgent classes that do not
// flood.
func (c *Comparison) otherUrgentRatio() float64 {
	worst := 0.0
	for i := 1; i < len(c.NoFlood.Classes); i++ {
		if class := &c.NoFlood.Classes[i]; class.Rank == config.RankUrgent {
			worst = max(worst, ratio(c.HighFlood.Classes[i].P99(), class.P99()))
		}
	}
	return worst
}

// floorRatio returns the useful slot time of a rank under the urgent flood,
// relative to its floor or to its offered work if that is less.
func (c *Comparison) floorRatio(rank config.Rank) float64 {
	want := float64(c.Profile.Floors[rank]) / 100
	offered := 0.0
	for _, l := range c.Profile.Loads {
		if l.Rank == rank {
			offered += l.Share
		}
	}
	got := float64(c.HighFlood.Rank(rank).Useful) / float64(c.HighFlood.Capacity)
	return got / min(want, offered)
}

// nonFlooding sums up the results of a rank without the flooding callers.
func (r *Result) nonFlooding(rank config.Rank) ClassResult {
	filtered := Result{Capacity: r.Capacity}
	for _, c := range r.Classes {
		if !c.Flooding {
			filtered.Classes = append(filtered.Classes, c)
		}
	}
	return filtered.Rank(rank)
}

// lowestInTimeShare returns the lowest share of offered requests that were
// answered in time, among the classes of rank from and less urgent ranks,
// without the flooding callers.
func (r *Result) lowestInTimeShare(from config.Rank) float64 {
	lowest := 1.0
	for i := range r.Classes {
		if c := &r.Classes[i]; !c.Flooding && c.Rank >= from {
			lowest = min(lowest, c.InTimeShare())
		}
	}
	return lowest
}

// worstDeadlineShare returns the highest 99th percentile of the response time
// among the urgent classes, as a share of the deadline, without the flooding
// callers.
func (r *Result) worstDeadlineShare(p Profile) float64 {
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

// Report measures every policy on the profiles, writes a table that compares
// them and then the lines of the admission queue as JSON, and returns these
// lines.
func Report(w io.Writer, profiles []Profile, length time.Duration, seed uint64) ([]Line, error) {
	policies := []struct {
		name    string
		factory Factory
	}{{"fifo", FIFO}, {"strict", Strict}, {"chosen", AdmissionQueue}}
	var comparisons []*Comparison
	var lines []Line
	for _, p := range profiles {
		for _, policy := range policies {
			c, err := Measure(p, policy.name, policy.factory, length, seed)
			if err != nil {
				return nil, err
			}
			comparisons = append(comparisons, c)
		}
		lines = append(lines, comparisons[len(comparisons)-1].Lines()...)
	}
	writeTable(w, comparisons)
	out := json.NewEncoder(w)
	for _, l := range lines {
		if err := out.Encode(l); err != nil {
			return nil, err
		}
	}
	return lines, nil
}

// tableHead and tableRow are the formats of the comparison table.
const (
	tableHead = "%-16s %-7s %-6s %12s %14s %12s %12s %8s\n"
	tableRow  = "%-16s %-7s %-6s %12v %14d %12.3f %12.3f %8.3f\n"
)

// writeTable writes one row for each run, with the results of the callers that
// do not flood and the useful share of the capacity.
func writeTable(w io.Writer, comparisons []*Comparison) {
	fmt.Fprintf(w, tableHead, "profile", "policy", "flood", "urgent p99", "urgent refused", "normal kept", "backgr. kept", "useful")
	for _, c := range comparisons {
		for _, run := range []struct {
			name   string
			result *Result
		}{{"none", c.NoFlood}, {"low", c.LowFlood}, {"high", c.HighFlood}} {
			if run.result == nil {
				continue
			}
			urgent := run.result.nonFlooding(config.RankUrgent)
			normal := run.result.nonFlooding(config.RankNormal)
			background := run.result.nonFlooding(config.RankBackground)
			fmt.Fprintf(w, tableRow, c.Profile.Name, c.Policy, run.name, urgent.P99(), urgent.Refused+urgent.Abandoned,
				normal.InTimeShare(), background.InTimeShare(), run.result.Useful())
		}
	}
}
