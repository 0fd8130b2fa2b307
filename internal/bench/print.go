package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
)

// Print writes the report as text tables.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "service %s, version %d, %v, seed %d\n", r.Service, r.Version, seconds(r.Seconds), r.Seed)
	for _, f := range r.Floods {
		fmt.Fprintf(w, "flood: %s at %v times its rate from %v to %v\n", f.Class, f.Factor, f.From, f.To)
	}
	printStats(w, "CLASS", r.Classes)
	printStats(w, "RANK", r.Ranks)
	fmt.Fprintln(w, "\nREFUSED OR FAILED\tCOUNT")
	for _, c := range r.Refusals {
		fmt.Fprintf(w, "%s\t%d\n", c.Kind, c.Count)
	}
	fmt.Fprintln(w, "\nGROUP\tLONGEST GAP IN ACKNOWLEDGED WRITES")
	for _, group := range slices.Sorted(maps.Keys(r.GapsMillis)) {
		fmt.Fprintf(w, "%s\t%v\n", group, time.Duration(r.GapsMillis[group])*time.Millisecond)
	}
	fmt.Fprintln(w)
	r.printReads(w)
	fmt.Fprintf(w, "writes sent again\t%d (%d unknown outcomes settled)\n", r.Repeats.Sent, r.Repeats.Settled)
	fmt.Fprintf(w, "writes whose outcome stayed unknown\t%d present, %d absent\n", r.UnknownPresent, r.UnknownAbsent)
	PrintVerdicts(w, r.Verdicts)
	return w.Flush()
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// printStats writes one line per class or rank.
func printStats(w io.Writer, header string, stats []RequestStats) {
	fmt.Fprintf(w, "\n%s\tSENT\tOK\tIN TIME\tNOT RUN\tUNKNOWN\tMEDIAN\tP99\tP99.9\tMAX\n", header)
	for _, s := range stats {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t%v\n", s.Name, s.Sent, s.OK, s.InTime, s.NotRun, s.Unknown,
			micros(s.MedianMicros), micros(s.P99Micros), micros(s.P999Micros), micros(s.MaxMicros))
	}
}

// micros converts microseconds to a duration, rounded to 10 microseconds.
func micros(n int64) time.Duration {
	return (time.Duration(n) * time.Microsecond).Round(10 * time.Microsecond)
}

// printReads writes the share of stale reads that replicas served.
func (r *Report) printReads(w io.Writer) {
	if len(r.ReadsByRole) == 0 || r.StaleReads == 0 {
		fmt.Fprintln(w, "reads served by replicas\tnot measured")
		return
	}
	if n := r.ReadsByRole["replica"]; n > r.StaleReads {
		fmt.Fprintf(w, "reads served by replicas\tnot measured: replicas served %d, but only %d answers arrived; there were other callers, or callers gave up waiting\n", n, r.StaleReads)
		return
	}
	fmt.Fprintf(w, "reads served by replicas\t%.1f %% of the reads that allow staleness (%d of %d)\n",
		100*r.StaleShare, r.ReadsByRole["replica"], r.StaleReads)
}

// PrintVerdicts writes the verdicts and their evidence as a table.
func PrintVerdicts(w io.Writer, verdicts []ledger.Verdict) {
	fmt.Fprintln(w, "\nPROMISE\tVERDICT\tCHECKED\tVIOLATIONS")
	for _, v := range verdicts {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", v.Promise, v.Result, v.Checked, v.Failed)
		for _, e := range v.Evidence {
			fmt.Fprintf(w, "  %s\n", e)
		}
	}
}
