package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/bench"
	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
)

// report is the result of the load.
type report struct {
	history   *ledger.History
	verdicts  []ledger.Verdict
	classes   map[string]*classStats
	reads     map[string]int
	fault     *fault
	gap       time.Duration
	recovered bool
}

// classStats counts the outcomes of the requests of a class.
type classStats struct {
	ledger.Counts
	latencies []time.Duration // of the acknowledged requests
}

func newReport(h *ledger.History, reads map[string]int, f *fault) *report {
	r := &report{history: h, classes: map[string]*classStats{}, reads: reads, fault: f}
	r.verdicts = []ledger.Verdict{h.ExactlyOnce(), h.NotRunNotApplied(), h.ReadYourWrites()}
	for _, rec := range h.Records {
		a := r.classes[rec.Class]
		if a == nil {
			a = &classStats{}
			r.classes[rec.Class] = a
		}
		a.Add(rec.Outcome)
		if rec.Outcome.OK() {
			a.latencies = append(a.latencies, rec.End-rec.Begin)
		}
	}
	if f != nil {
		r.gap, r.recovered = h.GapAfter(f.at, f.group)
	}
	return r
}

// print writes the report as tables.
func (r *report) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nclass\tok\tnot run\tunknown\tmedian\t99th percentile")
	for _, class := range slices.Sorted(maps.Keys(r.classes)) {
		a := r.classes[class]
		slices.Sort(a.latencies)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%v\t%v\n", class, a.OK, a.NotRun, a.Unknown, percentile(a.latencies, 50), percentile(a.latencies, 99))
	}
	fmt.Fprintln(w, "\nrefusals by kind\tcount")
	refusals := r.history.RefusalsByKind()
	for _, kind := range slices.Sorted(maps.Keys(refusals)) {
		fmt.Fprintf(w, "%s\t%d\n", kind, refusals[kind])
	}
	if len(refusals) == 0 {
		fmt.Fprintln(w, "none\t")
	}
	fmt.Fprintln(w)
	present, absent := r.history.UnknownWrites()
	repeats := r.history.Repeats
	fmt.Fprintf(w, "stock reports served by replicas\t%s\n", r.replicaShare())
	fmt.Fprintf(w, "failover gap (fault to next acknowledged write)\t%s\n", r.gapText())
	fmt.Fprintf(w, "writes sent again\t%d (%d after an acknowledgement; %d unknown outcomes settled)\n",
		repeats.Sent, repeats.AfterAck, repeats.Settled)
	fmt.Fprintf(w, "outcome unknown\t%d present, %d absent\n", present, absent)
	bench.PrintVerdicts(w, r.verdicts)
	_ = w.Flush() // there is no other place to report the error
}

func percentile(sorted []time.Duration, p int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*p/100, len(sorted)-1)].Round(10 * time.Microsecond)
}

// replicaShare returns the share of the stock reports that replicas served. No
// other class allows reads from replicas, so all reads of replicas are stock
// reports.
func (r *report) replicaShare() string {
	a := r.classes[classReport]
	if a == nil || a.OK == 0 {
		return "no report was answered"
	}
	return fmt.Sprintf("%.1f %% (%d of %d)", 100*float64(r.reads["replica"])/float64(a.OK), r.reads["replica"], a.OK)
}

func (r *report) gapText() string {
	switch {
	case r.fault == nil:
		return "no fault was injected"
	case !r.recovered:
		return "no write was acknowledged after the fault"
	}
	return r.gap.Round(time.Millisecond).String()
}

// verdict returns an error if a promise to callers was broken, no write was acknowledged, or
// the group did not recover from the fault.
func (r *report) verdict() error {
	var errs []error
	for _, v := range r.verdicts {
		if v.Result == ledger.Broken {
			errs = append(errs, fmt.Errorf("%s: broken %d times: %v", v.Promise, v.Failed, v.Evidence))
		}
	}
	if r.verdicts[0].Checked == 0 {
		errs = append(errs, errors.New("no write was acknowledged"))
	}
	if r.fault != nil && !r.recovered {
		errs = append(errs, fmt.Errorf("no write of %s was acknowledged after the fault", r.fault.group))
	}
	return errors.Join(errs...)
}
