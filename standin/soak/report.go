package soak

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
)

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Folder   string // holds the schedule, the logs and the report
	Verdicts []ledger.Verdict
	Size     Size
	// Connections counts the connections through the links by kind.
	Connections map[string]int
	history     *History
}

func newReport(r *run, h *History) *Report {
	return &Report{Seed: r.cfg.Seed, Folder: r.folder, Verdicts: h.Verdicts(), Size: r.size, Connections: r.network.connections(), history: h}
}

// Verdict returns an error if a promise was broken or no write was acknowledged.
func (r *Report) Verdict() error {
	var err error
	for _, v := range r.Verdicts {
		if v.Result == ledger.Broken {
			err = errors.Join(err, fmt.Errorf("seed %d: %s: broken %d times, %s", r.Seed, v.Promise, v.Failed, strings.Join(v.Evidence, "; ")))
		}
		if v.Promise == r.Verdicts[0].Promise && v.Checked == 0 {
			err = errors.Join(err, fmt.Errorf("seed %d: no write was acknowledged", r.Seed))
		}
	}
	return err
}

// Summary returns the result in one line.
func (r *Report) Summary() string {
	checks, broken := 0, 0
	for _, v := range r.Verdicts {
		checks += v.Checked
		if v.Result == ledger.Broken {
			broken++
		}
	}
	var gap time.Duration
	for _, g := range r.gaps() {
		gap = max(gap, g)
	}
	counts := r.counts()
	return fmt.Sprintf("seed %d: %d events, %d served, %d not run, %d unknown, %d checks, %d promises broken, longest gap %v",
		r.Seed, len(r.history.Faults), counts.OK, counts.NotRun, counts.Unknown, checks, broken, gap.Round(time.Millisecond))
}

func (r *Report) counts() (c ledger.Counts) {
	for _, rec := range r.history.Records {
		if rec.Outcome != rolledBack {
			c.Add(rec.Outcome)
		}
	}
	return c
}

// gaps returns the longest time without an acknowledged write in each group.
func (r *Report) gaps() map[string]time.Duration { return r.history.LongestGaps(r.history.Healed) }

// Text returns the report for a person.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n%d hosts, %d of them control hosts; %d groups of %d instances\n\n", r.Summary(), len(r.Size.Hosts), r.Size.ControlHosts, len(r.Size.Groups), instancesPerGroup)
	fmt.Fprintln(&b, "events by kind:")
	writeCounts(&b, r.eventsByKind())
	fmt.Fprintln(&b, "\nconnections through the links, by where they come from:")
	writeCounts(&b, r.Connections)
	fmt.Fprintln(&b, "\npromises:")
	for _, v := range r.Verdicts {
		fmt.Fprintf(&b, "  %-11s  %7d checked  %s\n", v.Result, v.Checked, v.Promise)
		for _, e := range v.Evidence {
			fmt.Fprintf(&b, "      %s\n", e)
		}
	}
	fmt.Fprintln(&b, "\nlongest time without an acknowledged write:")
	for _, group := range slices.Sorted(maps.Keys(r.gaps())) {
		fmt.Fprintf(&b, "  %-10s  %v\n", group, r.gaps()[group].Round(time.Millisecond))
	}
	fmt.Fprintln(&b, "\nrequests refused or failed, by kind:")
	writeCounts(&b, r.history.RefusalsByKind())
	fmt.Fprintf(&b, "\n%s", r.plot())
	return b.String()
}

func writeCounts(b *strings.Builder, counts map[string]int) {
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(b, "  %6d  %s\n", counts[kind], kind)
	}
}

func (r *Report) eventsByKind() map[string]int {
	counts := map[string]int{}
	for _, f := range r.history.Faults {
		counts[string(f.Event.Kind)]++
	}
	return counts
}

// barWidth is the width of the widest bar of the plot.
const barWidth = 50

// plot returns one line for each second: a bar of the requests that were served (#),
// refused as not run (-) and ended otherwise (?), and the events that began.
func (r *Report) plot() string {
	var seconds []ledger.Counts
	for _, rec := range r.history.Records {
		i := int(rec.End / time.Second)
		for len(seconds) <= i {
			seconds = append(seconds, ledger.Counts{})
		}
		if rec.Outcome != rolledBack {
			seconds[i].Add(rec.Outcome)
		}
	}
	most := 1
	for _, c := range seconds {
		most = max(most, c.OK+c.NotRun+c.Unknown)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "requests each second (the widest bar is %d): # served, - refused as not run, ? other; events that began\n", most)
	for i, c := range seconds {
		bar := strings.Repeat("#", scale(c.OK, most)) + strings.Repeat("-", scale(c.NotRun, most)) + strings.Repeat("?", scale(c.Unknown, most))
		fmt.Fprintf(&b, "%4d s  %-*s  %s\n", i, barWidth+2, bar, r.eventsIn(i))
	}
	return b.String()
}

// scale returns the length of a bar. A count above zero has at least one character.
func scale(n, most int) int { return (n*barWidth + most - 1) / most }

// eventsIn returns the events that began in a second.
func (r *Report) eventsIn(second int) string {
	var list []string
	for _, f := range r.history.Faults {
		if int(f.Begin/time.Second) == second {
			list = append(list, strings.TrimSpace(fmt.Sprintf("%s %s", f.Event.Kind, f.Event.Target)))
		}
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// writeReport writes the report into the folder of the run.
func (r *run) writeReport(rep *Report) error {
	return os.WriteFile(filepath.Join(r.folder, "report.txt"), []byte(rep.Text()), 0o600)
}
