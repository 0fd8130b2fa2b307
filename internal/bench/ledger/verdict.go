package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// maxEvidence bounds the number of examples in a verdict.
const maxEvidence = 5

// History holds the records of a finished run.
type History struct {
	Records []Record
	// RowCounts is how often each written row was found after the load.
	RowCounts map[Row]int
	// Refusals counts, by kind, the refusals that belong to no record.
	Refusals map[string]int
	Repeats  Repeats
}

// Result is the result of the check of a promise.
type Result string

// The results.
const (
	Kept       Result = "kept"
	Broken     Result = "broken"
	NotChecked Result = "not checked" // no record in the history tests the promise
)

// Verdict is the result of checking one promise.
type Verdict struct {
	Promise string `json:"promise"`
	Result  Result `json:"result"`
	// Checked counts the records that were checked. Failed counts the violations
	// of the promise.
	Checked int `json:"checked"`
	Failed  int `json:"failed"`
	// Evidence describes the first violations.
	Evidence []string `json:"evidence,omitempty"`
}

// verdictBuilder accumulates a verdict record by record.
type verdictBuilder struct{ v Verdict }

// fail counts a violation and keeps its description as evidence, up to maxEvidence.
func (b *verdictBuilder) fail(format string, args ...any) {
	b.v.Failed++
	if len(b.v.Evidence) < maxEvidence {
		b.v.Evidence = append(b.v.Evidence, fmt.Sprintf(format, args...))
	}
}

// verdict returns the verdict on the promise.
func (b *verdictBuilder) verdict(promise string) Verdict {
	b.v.Promise = promise
	switch {
	case b.v.Failed > 0:
		b.v.Result = Broken
	case b.v.Checked == 0:
		b.v.Result = NotChecked
	default:
		b.v.Result = Kept
	}
	return b.v
}

// Verdicts checks every promise.
func (h *History) Verdicts() []Verdict {
	return []Verdict{h.ExactlyOnce(), h.NotRunNotApplied(), h.ReadYourWrites(), h.Staleness()}
}

// ExactlyOnce checks that the row of each acknowledged write exists exactly once
// and that no write ran twice.
func (h *History) ExactlyOnce() Verdict {
	var b verdictBuilder
	for _, r := range h.Records {
		if r.Op != OpWrite {
			continue
		}
		if r.Outcome.Kind == KindRanTwice {
			b.fail("%s ran twice: %v existed before it ran", r.Class, r.Row)
		}
		if !r.Outcome.OK() {
			continue
		}
		b.v.Checked++
		if n := h.RowCounts[r.Row]; n != 1 {
			b.fail("%s acknowledged at %v: %v found %d times", r.Class, r.End, r.Row, n)
		}
	}
	return b.verdict("each acknowledged write is there exactly once")
}

// NotRunNotApplied checks that a write that was reported as not run left no row,
// and that no read shows the counter of a heartbeat that was reported as not run.
func (h *History) NotRunNotApplied() Verdict {
	var b verdictBuilder
	h.checkNotRunHeartbeats(&b)
	for _, r := range h.Records {
		if r.Op != OpWrite || !r.Outcome.NotRun() {
			continue
		}
		b.v.Checked++
		if h.RowCounts[r.Row] > 0 {
			b.fail("%s refused at %v as not run (%s): %v exists", r.Class, r.End, r.Outcome.Kind, r.Row)
		}
	}
	return b.verdict("nothing said to be \"not run\" is there")
}

// checkNotRunHeartbeats checks the heartbeats for NotRunNotApplied.
func (h *History) checkNotRunHeartbeats(b *verdictBuilder) {
	type heartbeat struct {
		row     Row
		counter int64
	}
	refused := map[heartbeat]Record{}
	for _, r := range h.Records {
		if r.Op == OpHeartbeat && r.Outcome.NotRun() {
			refused[heartbeat{r.Row, r.Counter}] = r
			b.v.Checked++
		}
	}
	for _, r := range h.Records {
		if r.Op != OpHeartbeatRead || !r.Outcome.OK() {
			continue
		}
		if w, ok := refused[heartbeat{r.Row, r.Counter}]; ok {
			b.fail("heartbeat refused at %v as not run (%s): a read at %v shows %d", w.End, w.Outcome.Kind, r.Begin, r.Counter)
		}
	}
}

// ReadYourWrites checks that each read finds the row that it looks for if the write
// of that row was acknowledged to the same session before the read was sent.
func (h *History) ReadYourWrites() Verdict {
	type sessionRow struct {
		session int
		row     Row
	}
	written := map[sessionRow]time.Duration{}
	for _, r := range h.Records {
		if r.Op == OpWrite && r.Outcome.OK() {
			written[sessionRow{r.Session, r.Row}] = r.End
		}
	}
	var b verdictBuilder
	for _, r := range h.Records {
		if r.Op != OpRead || !r.Outcome.OK() {
			continue
		}
		end, ok := written[sessionRow{r.Session, r.Row}]
		if !ok || end > r.Begin {
			continue
		}
		b.v.Checked++
		if !r.Found {
			b.fail("%s at %v in session %d does not show %v, acknowledged at %v", r.Class, r.Begin, r.Session, r.Row, end)
		}
	}
	return b.verdict("a session sees its own writes")
}

// Staleness checks that no heartbeat read is older than the staleness of its class:
// the read must show at least the counter of the last heartbeat that was acknowledged
// at or before the beginning of the read minus that staleness.
func (h *History) Staleness() Verdict {
	heartbeats := h.acknowledgedHeartbeats()
	var b verdictBuilder
	for _, r := range h.Records {
		if r.Op != OpHeartbeatRead || !r.Outcome.OK() {
			continue
		}
		list := heartbeats[r.Row]
		n := countEndedBy(list, r.Begin-r.Staleness)
		if n == 0 {
			continue
		}
		b.v.Checked++
		if expected := list[n-1]; r.Counter < expected.Counter {
			b.fail("%s at %v may be %v old: %v shows %d, but %d was acknowledged at %v",
				r.Class, r.Begin, r.Staleness, r.Row, r.Counter, expected.Counter, expected.End)
		}
	}
	return b.verdict("no read is older than its class states")
}

// acknowledgedHeartbeats returns the acknowledged heartbeats of each row in the
// order of their acknowledgement. That order is also the order of their counters,
// because the writer of a row sends one heartbeat at a time.
func (h *History) acknowledgedHeartbeats() map[Row][]Record {
	heartbeats := map[Row][]Record{}
	for _, r := range h.Records {
		if r.Op == OpHeartbeat && r.Outcome.OK() {
			heartbeats[r.Row] = append(heartbeats[r.Row], r)
		}
	}
	for _, list := range heartbeats {
		slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.End, b.End) })
	}
	return heartbeats
}

// countEndedBy returns how many records of the list, which is sorted by End, ended
// at or before t.
func countEndedBy(list []Record, t time.Duration) int {
	n, _ := slices.BinarySearchFunc(list, t+1, func(r Record, t time.Duration) int { return cmp.Compare(r.End, t) })
	return n
}

// LongestGaps returns, for each group, the longest time without an acknowledged
// write or heartbeat, from the first acknowledgement to the end of the load.
func (h *History) LongestGaps(end time.Duration) map[string]time.Duration {
	acks := map[string][]time.Duration{}
	for _, r := range h.Records {
		if (r.Op == OpWrite || r.Op == OpHeartbeat) && r.Outcome.OK() {
			acks[r.Row.Group] = append(acks[r.Row.Group], r.End)
		}
	}
	gaps := map[string]time.Duration{}
	for group, list := range acks {
		slices.Sort(list)
		list = append(list, max(end, list[len(list)-1]))
		for i := 1; i < len(list); i++ {
			gaps[group] = max(gaps[group], list[i]-list[i-1])
		}
	}
	return gaps
}

// GapAfter returns the time from a fault to the first acknowledgement of a write or
// heartbeat of the group that was sent at or after the fault. It returns false if
// there is none.
func (h *History) GapAfter(fault time.Duration, group string) (gap time.Duration, found bool) {
	for _, r := range h.Records {
		isWrite := r.Op == OpWrite || r.Op == OpHeartbeat
		if !isWrite || r.Row.Group != group || !r.Outcome.OK() || r.Begin < fault {
			continue
		}
		if d := r.End - fault; !found || d < gap {
			gap, found = d, true
		}
	}
	return gap, found
}

// UnknownWrites counts the writes with an unknown outcome whose row exists and those
// whose row does not exist.
func (h *History) UnknownWrites() (present, absent int) {
	for _, r := range h.Records {
		if r.Op != OpWrite || !r.Outcome.Unsettled() {
			continue
		}
		if h.RowCounts[r.Row] > 0 {
			present++
		} else {
			absent++
		}
	}
	return present, absent
}

// RefusalsByKind returns the number of refused or failed requests by kind, together
// with the refusals that belong to no record.
func (h *History) RefusalsByKind() map[string]int {
	kinds := map[string]int{}
	for kind, n := range h.Refusals {
		kinds[kind] += n
	}
	for _, r := range h.Records {
		if !r.Outcome.OK() {
			kinds[r.Outcome.Kind]++
		}
	}
	return kinds
}
