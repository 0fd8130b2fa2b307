package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// report is what the demo shows in the end.
type report struct {
	journal *journal
	check   check
	reads   map[string]int
	fault   *fault
	gap     time.Duration
	healed  bool
}

func newReport(j *journal, there map[row]bool, reads map[string]int, f *fault) *report {
	r := &report{journal: j, check: j.check(there), reads: reads, fault: f}
	if f != nil {
		r.gap, r.healed = j.gap(*f)
	}
	return r
}

// print writes the tables.
func (r *report) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nclass\tok\tnot run\tunknown\tmedian\t99th percentile")
	for _, class := range slices.Sorted(maps.Keys(r.journal.classes)) {
		a := r.journal.classes[class]
		slices.Sort(a.took)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%v\t%v\n", class, a.ok, a.notRun, a.unknown, percentile(a.took, 50), percentile(a.took, 99))
	}
	fmt.Fprintln(w, "\nrefusals by kind\tcount")
	for _, kind := range slices.Sorted(maps.Keys(r.journal.refusals)) {
		fmt.Fprintf(w, "%s\t%d\n", kind, r.journal.refusals[kind])
	}
	if len(r.journal.refusals) == 0 {
		fmt.Fprintln(w, "none\t")
	}
	fmt.Fprintln(w)
	fmt.Fprintf(w, "stock reports served by replicas\t%s\n", r.replicaShare())
	fmt.Fprintf(w, "failover gap (fault to next acknowledged write)\t%s\n", r.gapText())
	fmt.Fprintf(w, "acknowledged writes\t%d\n", r.check.acknowledged)
	fmt.Fprintf(w, "  each there exactly once\t%s\n", r.exactlyOnce())
	fmt.Fprintf(w, "  lost\t%d\n", len(r.check.lost))
	fmt.Fprintf(w, "  run twice\t%d\n", len(r.check.ranTwice))
	fmt.Fprintf(w, "\"not run\", but there\t%d\n", len(r.check.falseNotRun))
	fmt.Fprintf(w, "outcome unknown\t%d there, %d not\n", r.check.unknownThere, r.check.unknownGone)
	fmt.Fprintf(w, "writes sent again\t%d (%d after an acknowledgement; %d unknown outcomes settled)\n",
		r.journal.repeats, r.journal.acked, r.journal.settled)
	fmt.Fprintf(w, "own writes that a session did not see\t%d\n", len(r.journal.missed))
	_ = w.Flush() // what can't be printed can't be told
}

func (r *report) exactlyOnce() string {
	if len(r.check.lost)+len(r.check.ranTwice) > 0 {
		return "no"
	}
	return "yes"
}

func percentile(sorted []time.Duration, p int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*p/100, len(sorted)-1)].Round(10 * time.Microsecond)
}

// replicaShare relates the reads that replicas served to the stock reports:
// nothing else may be served by a replica.
func (r *report) replicaShare() string {
	a := r.journal.classes[classReport]
	if a == nil || a.ok == 0 {
		return "no report was answered"
	}
	return fmt.Sprintf("%.1f %% (%d of %d)", 100*float64(r.reads["replica"])/float64(a.ok), r.reads["replica"], a.ok)
}

func (r *report) gapText() string {
	switch {
	case r.fault == nil:
		return "the fault was left out"
	case !r.healed:
		return "no write was acknowledged after the fault"
	}
	return r.gap.Round(time.Millisecond).String()
}

// verdict returns an error unless all went as it must.
func (r *report) verdict() error {
	var errs []error
	for what, rows := range map[string][]row{
		"acknowledged, but lost":                   r.check.lost,
		"run twice":                                r.check.ranTwice,
		"said not to have run, but there":          r.check.falseNotRun,
		"written, but not seen by its own session": r.journal.missed,
	} {
		if len(rows) > 0 {
			errs = append(errs, fmt.Errorf("%d rows were %s: %v", len(rows), what, rows[:min(len(rows), 5)]))
		}
	}
	if r.check.acknowledged == 0 {
		errs = append(errs, errors.New("no write was acknowledged"))
	}
	if r.fault != nil && !r.healed {
		errs = append(errs, fmt.Errorf("no write of %s was acknowledged after the fault", r.fault.group))
	}
	return errors.Join(errs...)
}
