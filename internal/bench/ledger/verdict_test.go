package ledger

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

const ms = time.Millisecond

var (
	row          = Row{"g", "t", "r"}
	heartbeatRow = Row{"g", "b", "beat"}
	refused      = Outcome{"no_primary", errkind.NotRun}
	unknown      = Outcome{"outcome_unknown", errkind.Unknown}
	ranTwice     = Outcome{KindRanTwice, errkind.Unknown}
)

func writeRecord(o Outcome) Record { return Record{Op: OpWrite, Row: row, Outcome: o, End: 100 * ms} }

func readRecord(begin time.Duration, found bool) Record {
	return Record{Op: OpRead, Row: row, Outcome: Acknowledged, Begin: begin, Found: found}
}

func heartbeatRecord(o Outcome, counter int64, end time.Duration) Record {
	return Record{Op: OpHeartbeat, Row: heartbeatRow, Outcome: o, Counter: counter, End: end}
}

func heartbeatReadRecord(counter int64, begin, staleness time.Duration) Record {
	return Record{Op: OpHeartbeatRead, Row: heartbeatRow, Outcome: Acknowledged, Counter: counter, Begin: begin, Staleness: staleness}
}

// TestVerdicts checks each verdict on histories that keep the promise, break it, or
// do not test it.
func TestVerdicts(t *testing.T) {
	otherSessionRead, failedRead := readRecord(100*ms, false), readRecord(100*ms, false)
	otherSessionRead.Session = 1
	failedRead.Outcome = refused
	heartbeats := []Record{heartbeatRecord(Acknowledged, 1, 100*ms), heartbeatRecord(Acknowledged, 2, 200*ms), heartbeatRecord(unknown, 3, 300*ms)}
	withHeartbeats := func(r Record) []Record { return append(heartbeats[:len(heartbeats):len(heartbeats)], r) }
	cases := []struct {
		name    string
		verdict func(*History) Verdict
		records []Record
		count   int // how often the row was found after the load
		want    Result
	}{
		{"acknowledged and there", (*History).ExactlyOnce, []Record{writeRecord(Acknowledged)}, 1, Kept},
		{"acknowledged and lost", (*History).ExactlyOnce, []Record{writeRecord(Acknowledged)}, 0, Broken},
		{"acknowledged and there twice", (*History).ExactlyOnce, []Record{writeRecord(Acknowledged)}, 2, Broken},
		{"run twice", (*History).ExactlyOnce, []Record{writeRecord(ranTwice)}, 1, Broken},
		{"unknown and lost", (*History).ExactlyOnce, []Record{writeRecord(unknown)}, 0, NotChecked},
		{"refused and not there", (*History).NotRunNotApplied, []Record{writeRecord(refused)}, 0, Kept},
		{"refused and there", (*History).NotRunNotApplied, []Record{writeRecord(refused)}, 1, Broken},
		{"unknown and there", (*History).NotRunNotApplied, []Record{writeRecord(unknown)}, 1, NotChecked},
		{"refused heartbeat not shown", (*History).NotRunNotApplied, []Record{heartbeatRecord(refused, 2, 1), heartbeatReadRecord(1, 2, 0)}, 0, Kept},
		{"refused heartbeat shown", (*History).NotRunNotApplied, []Record{heartbeatRecord(refused, 2, 1), heartbeatReadRecord(2, 2, 0)}, 0, Broken},
		{"own write seen", (*History).ReadYourWrites, []Record{writeRecord(Acknowledged), readRecord(100*ms, true)}, 1, Kept},
		{"own write missed", (*History).ReadYourWrites, []Record{writeRecord(Acknowledged), readRecord(100*ms, false)}, 1, Broken},
		{"read before the acknowledgement", (*History).ReadYourWrites, []Record{writeRecord(Acknowledged), readRecord(99*ms, false)}, 1, NotChecked},
		{"write of another session", (*History).ReadYourWrites, []Record{writeRecord(Acknowledged), otherSessionRead}, 1, NotChecked},
		{"write with unknown outcome", (*History).ReadYourWrites, []Record{writeRecord(unknown), readRecord(100*ms, false)}, 1, NotChecked},
		{"read failed", (*History).ReadYourWrites, []Record{writeRecord(Acknowledged), failedRead}, 1, NotChecked},
		{"current", (*History).Staleness, withHeartbeats(heartbeatReadRecord(2, 200*ms, 0)), 0, Kept},
		{"stale though it must be current", (*History).Staleness, withHeartbeats(heartbeatReadRecord(1, 200*ms, 0)), 0, Broken},
		{"as old as stated", (*History).Staleness, withHeartbeats(heartbeatReadRecord(1, 299*ms, 100*ms)), 0, Kept},
		{"older than stated", (*History).Staleness, withHeartbeats(heartbeatReadRecord(1, 300*ms, 100*ms)), 0, Broken},
		{"no counter though one is required", (*History).Staleness, withHeartbeats(heartbeatReadRecord(0, 150*ms, 50*ms)), 0, Broken},
		{"no heartbeat required yet", (*History).Staleness, withHeartbeats(heartbeatReadRecord(0, 150*ms, 100*ms)), 0, NotChecked},
		{"unknown outcome is not required", (*History).Staleness, withHeartbeats(heartbeatReadRecord(2, 400*ms, 0)), 0, Kept},
		{"newer than acknowledged", (*History).Staleness, withHeartbeats(heartbeatReadRecord(3, 400*ms, 0)), 0, Kept},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &History{Records: c.records, RowCounts: map[Row]int{row: c.count}}
			v := c.verdict(h)
			assert.Equal(t, v.Result, c.want, "%+v", v)
			assert.Equal(t, len(v.Evidence) > 0, c.want == Broken)
			listed := false
			for _, other := range h.Verdicts() {
				listed = listed || other.Promise == v.Promise && other.Result == c.want
			}
			assert.Assert(t, listed)
		})
	}
}

func TestEvidenceIsBounded(t *testing.T) {
	h := &History{}
	for range 2 * maxEvidence {
		h.Records = append(h.Records, writeRecord(Acknowledged))
	}
	v := h.ExactlyOnce()
	assert.Equal(t, v.Failed, 2*maxEvidence)
	assert.Equal(t, len(v.Evidence), maxEvidence)
	assert.Assert(t, strings.Contains(v.Evidence[0], "0 times"))
}

func TestGaps(t *testing.T) {
	otherGroup := writeRecord(Acknowledged)
	otherGroup.Row.Group, otherGroup.End = "h", 450*ms
	h := &History{Records: []Record{heartbeatRecord(Acknowledged, 1, 700*ms), writeRecord(Acknowledged), heartbeatRecord(unknown, 2, 300*ms), otherGroup}}
	assert.DeepEqual(t, h.LongestGaps(800*ms), map[string]time.Duration{"g": 600 * ms, "h": 350 * ms})
	assert.DeepEqual(t, h.LongestGaps(2000 * ms)["g"], 1300*ms)

	for name, c := range map[string]struct {
		group   string
		outcome Outcome
		begin   time.Duration
		found   bool
	}{
		"sent before":   {"g", Acknowledged, 99 * ms, false},
		"another group": {"h", Acknowledged, 150 * ms, false},
		"refused":       {"g", refused, 150 * ms, false},
		"acknowledged":  {"g", Acknowledged, 150 * ms, true},
	} {
		r := writeRecord(c.outcome)
		r.Row.Group, r.Begin, r.End = c.group, c.begin, 180*ms
		gap, found := (&History{Records: []Record{r}}).GapAfter(100*ms, "g")
		assert.Equal(t, found, c.found, name)
		assert.Equal(t, gap == 80*ms, c.found, name)
	}
}

func TestOutcomeOf(t *testing.T) {
	for _, c := range []struct {
		err  error
		want Outcome
	}{
		{nil, Acknowledged},
		{errors.New("connection reset"), Outcome{KindNoAnswer, errkind.Unknown}},
		{&pgconn.PgError{Code: "57P03", Detail: "kind: no_primary; effect: not run"}, refused},
		{&pgconn.PgError{Code: "08007", Detail: "kind: outcome_unknown; effect: unknown"}, unknown},
		{&pgconn.PgError{Code: "23505"}, ranTwice},
		{&pgconn.PgError{Code: "25006"}, Outcome{"sqlstate_25006", errkind.Unknown}},
	} {
		assert.Equal(t, OutcomeOf(c.err), c.want)
	}
}

func TestMergeOutcomes(t *testing.T) {
	for _, c := range []struct{ first, repeat, want Outcome }{
		{unknown, Acknowledged, Acknowledged},
		{unknown, unknown, unknown},
		{unknown, refused, unknown},
		{unknown, ranTwice, ranTwice},
		{Acknowledged, unknown, Acknowledged},
		{Acknowledged, refused, Acknowledged},
		{Acknowledged, ranTwice, ranTwice},
	} {
		assert.Equal(t, MergeOutcomes(c.first, c.repeat), c.want, "%v, then %v", c.first, c.repeat)
	}
}

func TestLedgerCounts(t *testing.T) {
	l := New()
	l.Add(writeRecord(refused))
	l.Add(readRecord(0, false))
	l.CountRefusal("connect: no_answer")
	l.CountRepeat(unknown, Acknowledged)
	l.CountRepeat(Acknowledged, Acknowledged)
	assert.Equal(t, len(l.Writes()), 1)
	assert.Equal(t, l.Count(), Counts{OK: 1, NotRun: 1})
	l.Add(writeRecord(unknown))
	h := l.History(map[Row]int{row: 1})
	assert.DeepEqual(t, h.Repeats, Repeats{Sent: 2, Settled: 1, AfterAck: 1})
	assert.DeepEqual(t, h.RefusalsByKind(), map[string]int{"no_primary": 1, "connect: no_answer": 1, "outcome_unknown": 1})
	present, absent := h.UnknownWrites()
	assert.Equal(t, present, 1)
	assert.Equal(t, absent, 0)
}
