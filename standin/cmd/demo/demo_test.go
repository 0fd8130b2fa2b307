package main

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/standin"
	"github.com/amaranthweir/amaranthweir/standin/deploy"
)

var (
	refused  = ledger.Outcome{Kind: "no_primary", Effect: errkind.NotRun}
	unknown  = ledger.Outcome{Kind: "outcome_unknown", Effect: errkind.Unknown}
	ranTwice = ledger.Outcome{Kind: ledger.KindRanTwice, Effect: errkind.Unknown}
)

func TestVerdict(t *testing.T) {
	r := ledger.Row{Group: "g", Table: tickets, Key: "r"}
	base := ledger.Row{Group: "g", Table: tickets, Key: "base"} // an acknowledged write that is present
	cases := map[string]struct {
		outcome ledger.Outcome
		present int
		missed  bool
		want    string // part of the error, or empty
	}{
		"acknowledged and present":    {ledger.Acknowledged, 1, false, ""},
		"acknowledged and lost":       {ledger.Acknowledged, 0, false, "there exactly once: broken"},
		"refused and absent":          {refused, 0, false, ""},
		"refused and present":         {refused, 1, false, `"not run" is there: broken`},
		"unknown and present":         {unknown, 1, false, ""},
		"unknown and absent":          {unknown, 0, false, ""},
		"sent once and run twice":     {ranTwice, 1, false, "there exactly once: broken"},
		"not seen by its own session": {ledger.Acknowledged, 1, true, "its own writes: broken"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger.New()
			l.Add(ledger.Record{Class: classTicket, Row: base, Outcome: ledger.Acknowledged})
			l.Add(ledger.Record{Class: classTicket, Row: r, Outcome: c.outcome})
			l.Add(ledger.Record{Op: ledger.OpRead, Class: classLookup, Row: r, Outcome: ledger.Acknowledged, Found: !c.missed})
			rep := newReport(l.History(map[ledger.Row]int{base: 1, r: c.present}), nil, nil)
			var text strings.Builder
			rep.print(&text)
			assert.Equal(t, strings.Contains(text.String(), string(ledger.Broken)), c.want != "", text.String())
			err := rep.verdict()
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
		})
	}
	assert.ErrorContains(t, newReport(ledger.New().History(nil), nil, nil).verdict(), "no write was acknowledged")
}

func TestGapCountsAcknowledgedWritesAfterTheFault(t *testing.T) {
	const at = 100 * time.Second
	f := fault{"kill", "g", at}
	cases := map[string]struct {
		group      string
		outcome    ledger.Outcome
		begin, end time.Duration // relative to the fault
		found      bool
	}{
		"sent before":   {"g", ledger.Acknowledged, -time.Second, time.Second, false},
		"another group": {"h", ledger.Acknowledged, time.Second, 2 * time.Second, false},
		"refused":       {"g", refused, time.Second, 2 * time.Second, false},
		"acknowledged":  {"g", ledger.Acknowledged, time.Second, 2 * time.Second, true},
	}
	for name, c := range cases {
		l := ledger.New()
		r := ledger.Row{Group: c.group, Table: tickets, Key: "r"}
		before := ledger.Row{Group: "g", Table: tickets, Key: "before"}
		l.Add(ledger.Record{Class: classTicket, Row: before, Outcome: ledger.Acknowledged})
		l.Add(ledger.Record{Class: classTicket, Row: r, Outcome: c.outcome, Begin: at + c.begin, End: at + c.end})
		present := map[ledger.Row]int{before: 1}
		if c.outcome.OK() {
			present[r] = 1
		}
		rep := newReport(l.History(present), nil, &f)
		assert.Equal(t, rep.recovered, c.found, name)
		assert.Equal(t, rep.verdict() == nil, c.found, name)
		if c.found {
			assert.Equal(t, rep.gap, c.end, name)
		}
	}
}

func TestStandInHasASwitchForEveryFault(t *testing.T) {
	in, err := standin.Start(standin.DefaultConfig("g", "a"))
	assert.NilError(t, err)
	defer in.Close()
	c := &deploy.Cluster{Upstreams: []deploy.Upstream{{Name: "a", ControlAddress: in.ControlAddress()}}}
	for kind, switches := range faults {
		for _, s := range []string{switches.begin, switches.end} {
			if s != "" {
				assert.NilError(t, c.SetFaults(t.Context(), "a", s), kind)
			}
		}
	}
	assert.ErrorContains(t, c.SetFaults(t.Context(), "a", "explode=true"), "400")
	assert.ErrorContains(t, c.SetFaults(t.Context(), "b", "lose=1"), "no stand-in")
}
