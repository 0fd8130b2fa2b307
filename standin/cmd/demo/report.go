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

// report is what the demo shows in the end.
type report struct {
	history  *ledger.History
	verdicts []ledger.Verdict
	classes  map[string]*answers
	reads    map[string]int
	fault    *fault
	gap      time.Duration
	healed   bool
}

// answers counts the answers of one class.
type answers struct {
	ledger.Counts
	took []time.Duration // of those that are ok
}

func newReport(h *ledger.History, reads map[string]int, f *fault) *report {
	r := &report{history: h, classes: map[string]*answers{}, reads: reads, fault: f}
	r.verdicts = []ledger.Verdict{h.ExactlyOnce(), h.NotRunTrue(), h.ReadYourWrites()}
	for _, rec := range h.Records {
		a := r.classes[rec.Class]
		if a == nil {
			a = &answers{}
			r.classes[rec.Class] = a
		}
		a.Add(rec.Outcome)
		if rec.Outcome.OK() {
			a.took = append(a.took, rec.End-rec.Begin)
		}
	}
	if f != nil {
		r.gap, r.healed = h.GapAfter(f.at, f.group)
	}
	return r
}

// print writes the tables.
func (r *report) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nclass\tok\tnot run\tunknown\tmedian\t99th percentile")
	for _, class := range slices.Sorted(maps.Keys(r.classes)) {
		a := r.classes[class]
		slices.Sort(a.took)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%v\t%v\n", class, a.OK, a.NotRun, a.Unknown, percentile(a.took, 50), percentile(a.took, 99))
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
	there, gone := r.history.UnknownWrites()
	repeats := r.history.Repeats
	fmt.Fprintf(w, "stock reports served by replicas\t%s\n", r.replicaShare())
	fmt.Fprintf(w, "failover gap (fault to next acknowledged write)\t%s\n", r.gapText())
	fmt.Fprintf(w, "writes sent again\t%d (%d after an acknowledgement; %d unknown outcomes settled)\n",
		repeats.Sent, repeats.AfterAck, repeats.Settled)
	fmt.Fprintf(w, "outcome unknown\t%d there, %d not\n", there, gone)
	bench.PrintVerdicts(w, r.verdicts)
	_ = w.Flush() // what can't be printed can't be told
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
	a := r.classes[classReport]
	if a == nil || a.OK == 0 {
		return "no report was answered"
	}
	return fmt.Sprintf("%.1f %% (%d of %d)", 100*float64(r.reads["replica"])/float64(a.OK), r.reads["replica"], a.OK)
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
	for _, v := range r.verdicts {
		if v.Result == ledger.Broken {
			errs = append(errs, fmt.Errorf("%s: broken %d times: %v", v.Promise, v.Failed, v.Evidence))
		}
	}
	if r.verdicts[0].Checked == 0 {
		errs = append(errs, errors.New("no write was acknowledged"))
	}
	if r.fault != nil && !r.healed {
		errs = append(errs, fmt.Errorf("no write of %s was acknowledged after the fault", r.fault.group))
	}
	return errors.Join(errs...)
}
