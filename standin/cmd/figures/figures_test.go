package main

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/bench"
	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
)

const output = `=== RUN   TestScenarios
=== RUN   TestScenarios/primary_killed,_leader_beside_it
    scenario_test.go:166: gap median 212ms, longest 1.6s, bound 1.5s
{"name":"control_idle_leader","value":40,"unit":"1/s","bound":42,"pass":true}
PASS: {"name":"kept","value":0.9,"unit":"share","bound":">= 0.95","pass":false}
pkg: example.org/internal/system/routing
BenchmarkChoose
BenchmarkChoose/groups=3-10         	 2262642	       108.6 ns/op	       0 B/op	       2 allocs/op
BenchmarkHostLost-10        	   17193	     15924 ns/op	         6.828 moves/op
{"name":"memory","value":8,"unit":"MiB","bound":9,"pass":true}
{"name":"memory","value":7,"unit":"MiB","bound":9,"pass":true}
BenchmarkMemory-10        	   4	     15924 ns/op
ok  	example.org	0.1s
`

func TestReadOutput(t *testing.T) {
	figures, err := readOutput([]byte(output), map[string]float64{"routing_choose_groups_3_ns": 2000, "routing_choose_groups_3_allocs": 0})
	assert.NilError(t, err)
	const gap = "virtual_gap_scenarios_primary_killed_leader_beside_it"
	assert.DeepEqual(t, figures, []figure{
		{gap + "_median", 212, "ms", "<= 1500", true},
		{gap + "_longest", 1600, "ms", "<= 1500", false},
		{"control_idle_leader", 40, "1/s", "<= 42", true},
		{"kept", 0.9, "share", ">= 0.95", false},
		{"routing_choose_groups_3_ns", 108.6, "ns/op", "<= 2000", true},
		{"routing_choose_groups_3_b", 0, "B/op", "", true},
		{"routing_choose_groups_3_allocs", 2, "allocs/op", "<= 0", false},
		{"routing_host_lost_ns", 15924, "ns/op", "", true},
		{"routing_host_lost_moves", 6.828, "moves/op", "", true},
		{"memory", 7, "MiB", "<= 9", true},
	})
	figures, err = readOutput([]byte(`{"name":"slope","value":3,"unit":"B"}`), nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, figures, []figure{unbounded("slope", 3, "B")})
	_, err = readOutput([]byte(`{"name":1}`), nil)
	assert.ErrorContains(t, err, "name")
}

func TestABoundNeedsItsFigure(t *testing.T) {
	s := suite{bounds: map[string]float64{"a": 1}}
	assert.ErrorContains(t, s.complete(nil), "no figure")
	assert.ErrorContains(t, s.complete([]figure{atMost("b", 0, 1, "n")}), "no figure a, which has a bound")
	assert.NilError(t, s.complete([]figure{atMost("b", 0, 1, "n"), atMost("a", 0, 1, "n")}))
}

func TestRecordAndComparison(t *testing.T) {
	file := filepath.Join(t.TempDir(), "figures.jsonl")
	before := record{Commit: "abc", Machine: "m", figures: []figure{
		atMost("slower", 100, 200, "ms"), atMost("broken", 100, 200, "ms"), unbounded("gone", 7, "n"), atMost("zero", 0, 0, "n"),
	}}
	assert.NilError(t, before.write(file))
	earlier, err := readRecord(file)
	assert.NilError(t, err)
	assert.DeepEqual(t, earlier.figures, before.figures)
	var out strings.Builder
	compare(&out, earlier, []figure{atMost("slower", 150, 200, "ms"), atMost("broken", 300, 200, "ms"), unbounded("fresh", 1, "n"), atMost("zero", 0, 0, "n")})
	for _, want := range []string{"figures of abc on m", "+50%", "WORSE", "the bound is <= 200", "new ", "not run  gone", "same"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q in\n%s", want, out.String())
	}
	w := &writer{out: &out, figures: []figure{atMost("a", 2, 1, "n"), atMost("b", 1, 1, "n")}}
	assert.Equal(t, w.failed(), 1)
}

func TestPercentile(t *testing.T) {
	var list []time.Duration
	assert.Equal(t, percentile(list, percentile99), time.Duration(0))
	for i := range 50 {
		list = append(list, time.Duration(50-i))
	}
	assert.Equal(t, percentile(list, percentileMedian), time.Duration(25))
	assert.Equal(t, percentile(list, percentile99), time.Duration(50))
	assert.Equal(t, percentile(list, percentileLargest), time.Duration(50))
	assert.Equal(t, percentile(list[:1], percentileMedian), time.Duration(50))
}

func TestFloodFigures(t *testing.T) {
	p := profiles("examples")[1]
	report := func(ticketP99 int64, refused, lookups int) *bench.Report {
		return &bench.Report{Classes: []bench.RequestStats{
			{Name: "booking-lookup", Sent: 100, InTime: lookups},
			{Name: "stock-report", Sent: 100, InTime: 10},
			{Name: "weighbridge-ticket", Sent: 100, InTime: 100 - refused, NotRun: refused, P99Micros: ticketP99},
		}}
	}
	calm := report(1000, 0, 100)
	failing := func(flooded *bench.Report, class string) (names []string) {
		for _, f := range p.figures(calm, flooded, class) {
			if !f.Pass {
				names = append(names, strings.TrimPrefix(f.Name, "process_flood_"))
			}
		}
		return names
	}
	broken := report(1000, 0, 100)
	broken.Verdicts = []ledger.Verdict{{Result: ledger.Kept}, {Result: ledger.Broken}}
	for _, c := range []struct {
		flooded *bench.Report
		class   string
		want    []string
	}{
		{report(1200, 0, 95), p.low, nil},
		{report(1201, 0, 100), p.low, []string{"stock_report_urgent_p99_ratio"}},
		{report(1000, 1, 100), p.low, []string{"stock_report_urgent_refused"}},
		{report(1000, 0, 94), p.low, []string{"stock_report_least_kept"}},
		{report(9000, 50, 20), p.high, nil},
		{broken, p.low, []string{"stock_report_promises_broken"}},
	} {
		assert.DeepEqual(t, failing(c.flooded, c.class), c.want)
	}
}
