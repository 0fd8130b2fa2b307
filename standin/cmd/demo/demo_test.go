package main

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/standin"
)

var (
	acknowledged = outcome{}
	refused      = outcome{"no_primary", notRun}
	inDoubt      = outcome{"outcome_unknown", unknown}
	duplicate    = outcome{kindRanTwice, unknown}
)

func TestVerdict(t *testing.T) {
	r := row{"g", tickets, "r"}
	base := row{"g", tickets, "base"} // an acknowledged write that is there
	cases := map[string]struct {
		outcome outcome
		there   bool
		missed  bool
		want    string // part of the error, or empty
	}{
		"acknowledged and there":      {acknowledged, true, false, ""},
		"acknowledged and lost":       {acknowledged, false, false, "acknowledged, but lost"},
		"refused and not there":       {refused, false, false, ""},
		"refused and there":           {refused, true, false, "said not to have run, but there"},
		"in doubt and there":          {inDoubt, true, false, ""},
		"in doubt and not there":      {inDoubt, false, false, ""},
		"sent once and run twice":     {duplicate, true, false, "run twice"},
		"not seen by its own session": {acknowledged, true, true, "not seen by its own session"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j := newJournal()
			j.wrote(classTicket, base, acknowledged, time.Time{}, time.Time{})
			j.wrote(classTicket, r, c.outcome, time.Time{}, time.Time{})
			if c.missed {
				j.missedOwnWrite(r)
			}
			rep := newReport(j, map[row]bool{base: true, r: c.there}, nil, nil)
			once := !strings.Contains(c.want, "lost") && !strings.Contains(c.want, "twice")
			assert.Equal(t, rep.exactlyOnce() == "yes", once)
			err := rep.verdict()
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
		})
	}
	assert.ErrorContains(t, newReport(newJournal(), nil, nil, nil).verdict(), "no write was acknowledged")
}

func TestGapCountsWritesSentAfterTheFault(t *testing.T) {
	at := time.Unix(100, 0)
	f := fault{"kill", "g", at}
	cases := map[string]struct {
		group      string
		outcome    outcome
		begin, end time.Duration // after the fault
		found      bool
	}{
		"sent before":   {"g", acknowledged, -time.Second, time.Second, false},
		"another group": {"h", acknowledged, time.Second, 2 * time.Second, false},
		"refused":       {"g", refused, time.Second, 2 * time.Second, false},
		"acknowledged":  {"g", acknowledged, time.Second, 2 * time.Second, true},
	}
	for name, c := range cases {
		j := newJournal()
		r := row{c.group, tickets, "r"}
		j.wrote(classTicket, r, c.outcome, at.Add(c.begin), at.Add(c.end))
		rep := newReport(j, map[row]bool{r: true}, nil, &f)
		assert.Equal(t, rep.healed, c.found, name)
		assert.Equal(t, rep.verdict() == nil, c.found, name)
		if c.found {
			assert.Equal(t, rep.gap, c.end, name)
		}
	}
}

func TestOutcomeOf(t *testing.T) {
	for _, c := range []struct {
		err  error
		want outcome
	}{
		{nil, acknowledged},
		{errors.New("connection reset"), outcome{"no_answer", unknown}},
		{&pgconn.PgError{Code: "57P03", Detail: "kind: no_primary; effect: not run"}, refused},
		{&pgconn.PgError{Code: "08007", Detail: "kind: outcome_unknown; effect: unknown"}, inDoubt},
		{&pgconn.PgError{Code: "23505"}, duplicate},
		{&pgconn.PgError{Code: "25006"}, outcome{"sqlstate_25006", unknown}},
	} {
		assert.Equal(t, outcomeOf(c.err), c.want)
	}
}

func TestAddReads(t *testing.T) {
	page := "# TYPE amaranthweir_reads_total counter\n" +
		"amaranthweir_reads_total{role=\"primary\"} 3\namaranthweir_reads_total{role=\"replica\"} 1.2e+03\nother 9\n"
	sum := map[string]int{"primary": 1}
	assert.NilError(t, addReads(sum, strings.NewReader(page)))
	assert.DeepEqual(t, sum, map[string]int{"primary": 4, "replica": 1200})
	assert.Assert(t, addReads(sum, strings.NewReader("amaranthweir_reads_total{role=\"replica\"} x\n")) != nil)
}

func TestEveryFaultIsASwitchOfTheStandIn(t *testing.T) {
	in, err := standin.Start(standin.DefaultConfig("g", "a"))
	assert.NilError(t, err)
	defer in.Close()
	c := &cluster{upstreams: []upstream{{name: "a", control: in.ControlAddress()}}}
	for kind, switches := range faults {
		for _, s := range []string{switches.begin, switches.end} {
			if s != "" {
				assert.NilError(t, c.switchFault(t.Context(), "a", s), kind)
			}
		}
	}
	assert.ErrorContains(t, c.switchFault(t.Context(), "a", "explode=true"), "400")
	assert.ErrorContains(t, c.switchFault(t.Context(), "b", "lose=1"), "no stand-in")
}
