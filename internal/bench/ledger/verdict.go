package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// maxEvidence bounds the evidence that a verdict carries.
const maxEvidence = 5

// History is a finished run.
type History struct {
	Records []Record
	// There says how often each written row was found at the end.
	There map[Row]int
	// Refusals are those that belong to no record.
	Refusals map[string]int
	Repeats  Repeats
}

// Result is the word of a verdict.
type Result string

// The results.
const (
	Kept       Result = "kept"
	Broken     Result = "broken"
	NotChecked Result = "not checked" // the history has nothing to check it by
)

// Verdict judges one promise.
type Verdict struct {
	Promise string `json:"promise"`
	Result  Result `json:"result"`
	// Checked is how many records the verdict rests on, Failed how many of
	// them broke the promise.
	Checked int `json:"checked"`
	Failed  int `json:"failed"`
	// Evidence describes the first records that broke it.
	Evidence []string `json:"evidence,omitempty"`
}

// judge makes a verdict record by record.
type judge struct{ v Verdict }

func (j *judge) fail(format string, args ...any) {
	j.v.Failed++
	if len(j.v.Evidence) < maxEvidence {
		j.v.Evidence = append(j.v.Evidence, fmt.Sprintf(format, args...))
	}
}

func (j *judge) verdict(promise string) Verdict {
	j.v.Promise = promise
	switch {
	case j.v.Failed > 0:
		j.v.Result = Broken
	case j.v.Checked == 0:
		j.v.Result = NotChecked
	default:
		j.v.Result = Kept
	}
	return j.v
}

// Verdicts judges every promise.
func (h *History) Verdicts() []Verdict {
	return []Verdict{h.ExactlyOnce(), h.NotRunTrue(), h.ReadYourWrites(), h.Staleness()}
}

// ExactlyOnce checks that each acknowledged write is there exactly once, and
// that no write ran twice.
func (h *History) ExactlyOnce() Verdict {
	var j judge
	for _, r := range h.Records {
		if r.Op != OpWrite {
			continue
		}
		if r.Outcome.Kind == KindRanTwice {
			j.fail("%s ran twice: %v was there before it ran", r.Class, r.Row)
		}
		if !r.Outcome.OK() {
			continue
		}
		j.v.Checked++
		if n := h.There[r.Row]; n != 1 {
			j.fail("%s acknowledged at %v: %v is there %d times", r.Class, r.End, r.Row, n)
		}
	}
	return j.verdict("each acknowledged write is there exactly once")
}

// NotRunTrue checks that no write that was said not to have run is there, and
// that no read shows the counter of such a heartbeat.
func (h *History) NotRunTrue() Verdict {
	var j judge
	h.notRunHeartbeats(&j)
	for _, r := range h.Records {
		if r.Op != OpWrite || !r.Outcome.NotRun() {
			continue
		}
		j.v.Checked++
		if h.There[r.Row] > 0 {
			j.fail("%s refused at %v as not run (%s): %v is there", r.Class, r.End, r.Outcome.Kind, r.Row)
		}
	}
	return j.verdict("nothing said to be \"not run\" is there")
}

func (h *History) notRunHeartbeats(j *judge) {
	type beat struct {
		row     Row
		counter int64
	}
	refused := map[beat]Record{}
	for _, r := range h.Records {
		if r.Op == OpHeartbeat && r.Outcome.NotRun() {
			refused[beat{r.Row, r.Counter}] = r
			j.v.Checked++
		}
	}
	for _, r := range h.Records {
		if r.Op != OpHeartbeatRead || !r.Outcome.OK() {
			continue
		}
		if w, ok := refused[beat{r.Row, r.Counter}]; ok {
			j.fail("heartbeat refused at %v as not run (%s): a read at %v shows %d", w.End, w.Outcome.Kind, r.Begin, r.Counter)
		}
	}
}

// ReadYourWrites checks that each read shows the row that it looked for, if
// its own session had the write of that row acknowledged before.
func (h *History) ReadYourWrites() Verdict {
	type own struct {
		session int
		row     Row
	}
	written := map[own]time.Duration{}
	for _, r := range h.Records {
		if r.Op == OpWrite && r.Outcome.OK() {
			written[own{r.Session, r.Row}] = r.End
		}
	}
	var j judge
	for _, r := range h.Records {
		if r.Op != OpRead || !r.Outcome.OK() {
			continue
		}
		end, ok := written[own{r.Session, r.Row}]
		if !ok || end > r.Begin {
			continue
		}
		j.v.Checked++
		if !r.Found {
			j.fail("%s at %v in session %d does not show %v, acknowledged at %v", r.Class, r.Begin, r.Session, r.Row, end)
		}
	}
	return j.verdict("a session sees its own writes")
}

// Staleness checks that each read of a heartbeat shows a counter at least as
// high as the last one that was acknowledged more than the stated staleness
// before the read was sent.
func (h *History) Staleness() Verdict {
	beats := h.heartbeats()
	var j judge
	for _, r := range h.Records {
		if r.Op != OpHeartbeatRead || !r.Outcome.OK() {
			continue
		}
		list := beats[r.Row]
		n := sortedBefore(list, r.Begin-r.Staleness)
		if n == 0 {
			continue
		}
		j.v.Checked++
		if due := list[n-1]; r.Counter < due.Counter {
			j.fail("%s at %v may be %v old: %v shows %d, but %d was acknowledged at %v",
				r.Class, r.Begin, r.Staleness, r.Row, r.Counter, due.Counter, due.End)
		}
	}
	return j.verdict("no read is older than its class states")
}

// heartbeats returns the acknowledged heartbeats of each row in the order of
// their acknowledgement. The writer of a row sends one after the other.
func (h *History) heartbeats() map[Row][]Record {
	beats := map[Row][]Record{}
	for _, r := range h.Records {
		if r.Op == OpHeartbeat && r.Outcome.OK() {
			beats[r.Row] = append(beats[r.Row], r)
		}
	}
	for _, list := range beats {
		slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.End, b.End) })
	}
	return beats
}

// sortedBefore returns how many records ended by t.
func sortedBefore(list []Record, t time.Duration) int {
	n, _ := slices.BinarySearchFunc(list, t+1, func(r Record, t time.Duration) int { return cmp.Compare(r.End, t) })
	return n
}

// LongestGaps returns, for each group, the longest time without an
// acknowledged write or heartbeat, up to the end of the load.
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

// GapAfter returns the time from a fault to the first acknowledgement of a
// write of the group that was sent after it.
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

// UnknownWrites counts the writes whose outcome the caller does not know: those that
// are there and those that are not.
func (h *History) UnknownWrites() (there, gone int) {
	for _, r := range h.Records {
		if r.Op != OpWrite || !r.Outcome.Unsettled() {
			continue
		}
		if h.There[r.Row] > 0 {
			there++
		} else {
			gone++
		}
	}
	return there, gone
}

// RefusalsByKind counts the refusals, those of records included.
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
