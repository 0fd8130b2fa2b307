package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// suite is a call of go test whose output contains figures.
type suite struct {
	name string
	args []string
	// bounds maps the name of a figure of a benchmark to its upper bound. Figures
	// without a bound are printed for comparison.
	bounds map[string]float64
	// deterministic is true if the figures do not depend on the machine.
	deterministic bool
}

// module is the path prefix of the packages under test.
const module = "./internal/"

// suites are the tests and benchmarks that print figures. The bounds are the
// project's targets.
var suites = []suite{
	{
		name: "admission", deterministic: true,
		args: []string{"-run", "PolicyMeetsTargets", module + "system/admission/policybench"},
	},
	{
		name: "failover", deterministic: true,
		args: []string{"-run", "TestScenarios|TestSwitchOver", module + "system/failover"},
	},
	{
		name: "control", deterministic: true,
		args: []string{"-run", "TestLeaderGap|Idle", module + "control"},
	},
	{
		name: "decisions",
		args: []string{"-run", "^$", "-bench", "Choose|Decision", "-benchmem", module + "system/routing", module + "system/admission"},
		bounds: map[string]float64{
			"routing_choose_groups_3_ns": 2000, "routing_choose_groups_3_allocs": 0,
			"routing_choose_groups_8800_ns": 2000, "routing_choose_groups_8800_allocs": 0,
			"admission_decision_queued_10_ns": 2000, "admission_decision_queued_10_allocs": 0,
			"admission_decision_queued_1000_ns": 2000, "admission_decision_queued_1000_allocs": 0,
		},
	},
	{
		name: "tables",
		args: []string{
			"-run", "^$", "-bench", "Idle|Report|Announcement|NewLeader|Memory|Heartbeat|HostLost|Choice|Grant|Sweep|Period|Bytes", "-benchmem",
			module + "system/failover", module + "system/ownership", module + "system/lease", module + "system/membership",
		},
	},
	{name: "session", args: []string{"-run", "^$", "-bench", ".", "-benchmem", module + "session"}},
	{name: "recovery", args: []string{"-run", "^$", "-bench", ".", "-benchtime", "1x", module + "control"}},
	{name: "wal", args: []string{"-run", "^$", "-bench", ".", "-benchmem", module + "wal"}},
}

// run runs the suite and returns its figures, also if a test of the suite fails.
func (s suite) run(ctx context.Context) ([]figure, error) {
	cmd := exec.CommandContext(ctx, "go", append([]string{"test", "-count=1", "-v"}, s.args...)...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	figures, readErr := readOutput(out.Bytes(), s.bounds)
	if readErr != nil {
		return nil, readErr
	}
	if err != nil {
		return figures, fmt.Errorf("%w\n%s", err, tail(out.Bytes()))
	}
	return figures, s.checkComplete(figures)
}

// checkComplete returns an error if there are no figures, or none for one of the
// bounds: otherwise nobody would notice that a renamed benchmark has lost its
// bound.
func (s suite) checkComplete(figures []figure) error {
	if len(figures) == 0 {
		return errors.New("no figure")
	}
	for name := range s.bounds {
		if !slices.ContainsFunc(figures, func(f figure) bool { return f.Name == name }) {
			return fmt.Errorf("no figure %s, which has a bound", name)
		}
	}
	return nil
}

// tail returns the end of the output of a command.
func tail(out []byte) []byte {
	const maxBytes = 2000
	return out[max(0, len(out)-maxBytes):]
}

var (
	packageLine       = regexp.MustCompile(`^pkg: .*/([a-z]+)$`)
	benchmarkLine     = regexp.MustCompile(`^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+(.*)$`)
	testLine          = regexp.MustCompile(`^=== RUN\s+Test(\S+)$`)
	gapLine           = regexp.MustCompile(`gap median (\S+), longest (\S+), bound (\S+)$`)
	nonNameChars      = regexp.MustCompile(`[^a-z0-9]+`)
	camelCaseBoundary = regexp.MustCompile(`([a-z0-9])([A-Z])`)
)

// readOutput returns the figures in the output of go test: JSON lines, result lines
// of benchmarks, and gaps in virtual time. If a benchmark prints JSON lines, its
// result line counts only for metrics with a bound. If a figure is printed more than
// once, the last value counts.
func readOutput(out []byte, bounds map[string]float64) ([]figure, error) {
	var figures []figure
	// printed is true if a line since the last result line of a benchmark, and of the
	// same package, had figures.
	pkg, test, printed := "", "", false
	lines := bufio.NewScanner(bytes.NewReader(out))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if m := packageLine.FindStringSubmatch(line); m != nil {
			pkg, printed = m[1], false
		}
		if m := testLine.FindStringSubmatch(line); m != nil {
			test = m[1]
		}
		found, err := readLine(line, pkg, test, bounds)
		if err != nil {
			return nil, fmt.Errorf("%q: %w", line, err)
		}
		isBenchmark := benchmarkLine.MatchString(line)
		for _, f := range found {
			if !isBenchmark || !printed || f.Bound != "" {
				figures = putFigure(figures, f)
			}
		}
		printed = !isBenchmark && (printed || len(found) > 0)
	}
	return figures, lines.Err()
}

// putFigure replaces the figure with the name of f, or appends f.
func putFigure(figures []figure, f figure) []figure {
	for i := range figures {
		if figures[i].Name == f.Name {
			figures[i] = f
			return figures
		}
	}
	return append(figures, f)
}

// readLine returns the figures in a line of output. The package and the test are
// those that the line belongs to.
func readLine(line, pkg, test string, bounds map[string]float64) ([]figure, error) {
	if i := strings.Index(line, `{"name":`); i >= 0 {
		var f figure
		err := json.Unmarshal([]byte(line[i:]), &f)
		f.Pass = f.Pass || f.Bound == "" // a figure without a bound passes
		return []figure{f}, err
	}
	if m := gapLine.FindStringSubmatch(line); m != nil {
		return gapFigures(test, m[1:])
	}
	if m := benchmarkLine.FindStringSubmatch(line); m != nil {
		return benchmarkFigures(pkg+"_"+snake(m[1]), m[2], bounds)
	}
	return nil, nil
}

// gapFigures returns the figures of the median and the longest gap of a scenario.
// The texts are the median, the longest gap and the bound as durations.
func gapFigures(test string, texts []string) ([]figure, error) {
	var ms [3]float64
	for i, text := range texts {
		d, err := time.ParseDuration(text)
		if err != nil {
			return nil, err
		}
		ms[i] = float64(d) / float64(time.Millisecond)
	}
	name := "virtual_gap_" + snake(test)
	return []figure{atMost(name+"_median", ms[0], ms[2], "ms"), atMost(name+"_longest", ms[1], ms[2], "ms")}, nil
}

// benchmarkFigures returns a figure for each metric in the result line of a
// benchmark.
func benchmarkFigures(name, metrics string, bounds map[string]float64) ([]figure, error) {
	var figures []figure
	fields := strings.Fields(metrics)
	for i := 0; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return nil, err
		}
		unit := fields[i+1]
		fullName := name + "_" + snake(strings.TrimSuffix(unit, "/op"))
		if bound, ok := bounds[fullName]; ok {
			figures = append(figures, atMost(fullName, value, bound, unit))
			continue
		}
		figures = append(figures, unbounded(fullName, value, unit))
	}
	return figures, nil
}

// snake converts a name to snake case.
func snake(name string) string {
	name = strings.ToLower(camelCaseBoundary.ReplaceAllString(name, "${1}_${2}"))
	return strings.Trim(nonNameChars.ReplaceAllString(name, "_"), "_")
}
