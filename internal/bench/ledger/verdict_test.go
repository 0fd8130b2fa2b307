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
	row     = Row{"g", "t", "r"}
	beat    = Row{"g", "b", "beat"}
	refused = Outcome{"no_primary", errkind.NotRun}
	inDoubt = Outcome{"outcome_unknown", errkind.Unknown}
	twice   = Outcome{KindRanTwice, errkind.Unknown}
)

func wrote(o Outcome) Record { return Record{Op: OpWrite, Row: row, Outcome: o, End: 100 * ms} }

func read(begin time.Duration, found bool) Record {
	return Record{Op: OpRead, Row: row, Outcome: Acknowledged, Begin: begin, Found: found}
}

func heartbeat(o Outcome, counter int64, end time.Duration) Record {
	return Record{Op: OpHeartbeat, Row: beat, Outcome: o, Counter: counter, End: end}
}

func shows(counter int64, begin, staleness time.Duration) Record {
	return Record{Op: OpHeartbeatRead, Row: beat, Outcome: Acknowledged, Counter: counter, Begin: begin, Staleness: staleness}
}

// TestVerdicts feeds each verdict good histories and broken ones.
func TestVerdicts(t *testing.T) {
	inOtherSession, failedRead := read(100*ms, false), read(100*ms, false)
	inOtherSession.Session = 1
	failedRead.Outcome = refused
	beats := []Record{heartbeat(Acknowledged, 1, 100*ms), heartbeat(Acknowledged, 2, 200*ms), heartbeat(inDoubt, 3, 300*ms)}
	with := func(r Record) []Record { return append(beats[:len(beats):len(beats)], r) }
	cases := []struct {
		name    string
		promise func(*History) Verdict
		records []Record
		there   int
		want    Result
	}{
		{"acknowledged and there", (*History).ExactlyOnce, []Record{wrote(Acknowledged)}, 1, Kept},
		{"acknowledged and lost", (*History).ExactlyOnce, []Record{wrote(Acknowledged)}, 0, Broken},
		{"acknowledged and there twice", (*History).ExactlyOnce, []Record{wrote(Acknowledged)}, 2, Broken},
		{"run twice", (*History).ExactlyOnce, []Record{wrote(twice)}, 1, Broken},
		{"in doubt and lost", (*History).ExactlyOnce, []Record{wrote(inDoubt)}, 0, NotChecked},
		{"refused and not there", (*History).NotRunTrue, []Record{wrote(refused)}, 0, Kept},
		{"refused and there", (*History).NotRunTrue, []Record{wrote(refused)}, 1, Broken},
		{"in doubt and there", (*History).NotRunTrue, []Record{wrote(inDoubt)}, 1, NotChecked},
		{"refused heartbeat not shown", (*History).NotRunTrue, []Record{heartbeat(refused, 2, 1), shows(1, 2, 0)}, 0, Kept},
		{"refused heartbeat shown", (*History).NotRunTrue, []Record{heartbeat(refused, 2, 1), shows(2, 2, 0)}, 0, Broken},
		{"own write seen", (*History).ReadYourWrites, []Record{wrote(Acknowledged), read(100*ms, true)}, 1, Kept},
		{"own write missed", (*History).ReadYourWrites, []Record{wrote(Acknowledged), read(100*ms, false)}, 1, Broken},
		{"read before the acknowledgement", (*History).ReadYourWrites, []Record{wrote(Acknowledged), read(99*ms, false)}, 1, NotChecked},
		{"write of another session", (*History).ReadYourWrites, []Record{wrote(Acknowledged), inOtherSession}, 1, NotChecked},
		{"write in doubt", (*History).ReadYourWrites, []Record{wrote(inDoubt), read(100*ms, false)}, 1, NotChecked},
		{"read failed", (*History).ReadYourWrites, []Record{wrote(Acknowledged), failedRead}, 1, NotChecked},
		{"current", (*History).Staleness, with(shows(2, 200*ms, 0)), 0, Kept},
		{"old though it must be current", (*History).Staleness, with(shows(1, 200*ms, 0)), 0, Broken},
		{"as old as stated", (*History).Staleness, with(shows(1, 299*ms, 100*ms)), 0, Kept},
		{"older than stated", (*History).Staleness, with(shows(1, 300*ms, 100*ms)), 0, Broken},
		{"nothing shown though due", (*History).Staleness, with(shows(0, 150*ms, 50*ms)), 0, Broken},
		{"nothing due yet", (*History).Staleness, with(shows(0, 150*ms, 100*ms)), 0, NotChecked},
		{"what is in doubt is not due", (*History).Staleness, with(shows(2, 400*ms, 0)), 0, Kept},
		{"beyond what was acknowledged", (*History).Staleness, with(shows(3, 400*ms, 0)), 0, Kept},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &History{Records: c.records, There: map[Row]int{row: c.there}}
			v := c.promise(h)
			assert.Equal(t, v.Result, c.want, "%+v", v)
			assert.Equal(t, len(v.Evidence) > 0, c.want == Broken)
			seen := false
			for _, all := range h.Verdicts() {
				seen = seen || all.Promise == v.Promise && all.Result == c.want
			}
			assert.Assert(t, seen)
		})
	}
}

func TestEvidenceIsBounded(t *testing.T) {
	h := &History{}
	for range 2 * maxEvidence {
		h.Records = append(h.Records, wrote(Acknowledged))
	}
	v := h.ExactlyOnce()
	assert.Equal(t, v.Failed, 2*maxEvidence)
	assert.Equal(t, len(v.Evidence), maxEvidence)
	assert.Assert(t, strings.Contains(v.Evidence[0], "0 times"))
}

func TestGaps(t *testing.T) {
	other := wrote(Acknowledged)
	other.Row.Group, other.End = "h", 450*ms
	h := &History{Records: []Record{heartbeat(Acknowledged, 1, 700*ms), wrote(Acknowledged), heartbeat(inDoubt, 2, 300*ms), other}}
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
		r := wrote(c.outcome)
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
		{&pgconn.PgError{Code: "08007", Detail: "kind: outcome_unknown; effect: unknown"}, inDoubt},
		{&pgconn.PgError{Code: "23505"}, twice},
		{&pgconn.PgError{Code: "25006"}, Outcome{"sqlstate_25006", errkind.Unknown}},
	} {
		assert.Equal(t, OutcomeOf(c.err), c.want)
	}
}

func TestSettle(t *testing.T) {
	for _, c := range []struct{ first, again, want Outcome }{
		{inDoubt, Acknowledged, Acknowledged},
		{inDoubt, inDoubt, inDoubt},
		{inDoubt, refused, inDoubt},
		{inDoubt, twice, twice},
		{Acknowledged, inDoubt, Acknowledged},
		{Acknowledged, refused, Acknowledged},
		{Acknowledged, twice, twice},
	} {
		assert.Equal(t, MergeOutcomes(c.first, c.again), c.want, "%v, then %v", c.first, c.again)
	}
}

func TestLedgerCounts(t *testing.T) {
	l := New()
	l.Add(wrote(refused))
	l.Add(read(0, false))
	l.CountRefusal("connect: no_answer")
	l.Repeated(inDoubt, Acknowledged)
	l.Repeated(Acknowledged, Acknowledged)
	assert.Equal(t, len(l.Writes()), 1)
	assert.Equal(t, l.Count(), Counts{OK: 1, NotRun: 1})
	l.Add(wrote(inDoubt))
	h := l.History(map[Row]int{row: 1})
	assert.DeepEqual(t, h.Repeats, Repeats{Sent: 2, Settled: 1, AfterAck: 1})
	assert.DeepEqual(t, h.RefusalsByKind(), map[string]int{"no_primary": 1, "connect: no_answer": 1, "outcome_unknown": 1})
	there, gone := h.UnknownWrites()
	assert.Equal(t, there, 1)
	assert.Equal(t, gone, 0)
}
