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

// suite is one call of go test that gives figures.
type suite struct {
	name string
	args []string
	// bounds gives the bound of a metric of a benchmark, by the name of the
	// figure; others are there for comparison.
	bounds map[string]float64
	// sameEachTime says that the figures don't depend on the machine.
	sameEachTime bool
}

const module = "./internal/"

// suites are the figures that tests and benchmarks give. The bounds are the
// stated targets.
var suites = []suite{
	{
		name: "admission", sameEachTime: true,
		args: []string{"-run", "PolicyKeepsItsTargets", module + "system/admission/policybench"},
	},
	{
		name: "failover", sameEachTime: true,
		args: []string{"-run", "TestScenarios|TestSwitchOver", module + "system/failover"},
	},
	{
		name: "control", sameEachTime: true,
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

// run runs the suite and returns its figures.
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
	return figures, s.complete(figures)
}

// complete checks that there are figures, and one for each bound: a benchmark
// that was renamed must not lose its bound in silence.
func (s suite) complete(figures []figure) error {
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

// tail returns the last part of an output.
func tail(out []byte) []byte {
	const most = 2000
	return out[max(0, len(out)-most):]
}

var (
	packageLine   = regexp.MustCompile(`^pkg: .*/([a-z]+)$`)
	benchmarkLine = regexp.MustCompile(`^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+(.*)$`)
	subtestLine   = regexp.MustCompile(`^=== RUN\s+Test(\S+)$`)
	gapLine       = regexp.MustCompile(`gap median (\S+), longest (\S+), bound (\S+)$`)
	notInNames    = regexp.MustCompile(`[^a-z0-9]+`)
	inCapital     = regexp.MustCompile(`([a-z0-9])([A-Z])`)
)

// readOutput finds the figures in what go test printed: JSON lines, lines of
// benchmarks, and gaps in virtual time. A benchmark that printed figures itself
// needs no others, unless they have a bound. What is printed twice counts as
// printed last.
func readOutput(out []byte, bounds map[string]float64) ([]figure, error) {
	var figures []figure
	pkg, test, printed := "", "", false
	lines := bufio.NewScanner(bytes.NewReader(out))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if m := packageLine.FindStringSubmatch(line); m != nil {
			pkg, printed = m[1], false
		}
		if m := subtestLine.FindStringSubmatch(line); m != nil {
			test = m[1]
		}
		found, err := readLine(line, pkg, test, bounds)
		if err != nil {
			return nil, fmt.Errorf("%q: %w", line, err)
		}
		isBenchmark := benchmarkLine.MatchString(line)
		for _, f := range found {
			if !isBenchmark || !printed || f.Bound != "" {
				figures = replace(figures, f)
			}
		}
		printed = !isBenchmark && (printed || len(found) > 0)
	}
	return figures, lines.Err()
}

// replace puts f in the place of the figure of its name, or at the end.
func replace(figures []figure, f figure) []figure {
	for i := range figures {
		if figures[i].Name == f.Name {
			figures[i] = f
			return figures
		}
	}
	return append(figures, f)
}

func readLine(line, pkg, test string, bounds map[string]float64) ([]figure, error) {
	if i := strings.Index(line, `{"name":`); i >= 0 {
		var f figure
		err := json.Unmarshal([]byte(line[i:]), &f)
		f.Pass = f.Pass || f.Bound == "" // a slope has no bound to pass
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

// gapFigures returns the median and the longest gap of a scenario.
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

// benchmarkFigures returns a figure for each metric of a benchmark.
func benchmarkFigures(name, metrics string, bounds map[string]float64) ([]figure, error) {
	var figures []figure
	words := strings.Fields(metrics)
	for i := 0; i+1 < len(words); i += 2 {
		value, err := strconv.ParseFloat(words[i], 64)
		if err != nil {
			return nil, err
		}
		unit := words[i+1]
		full := name + "_" + snake(strings.TrimSuffix(unit, "/op"))
		if bound, ok := bounds[full]; ok {
			figures = append(figures, atMost(full, value, bound, unit))
			continue
		}
		figures = append(figures, unbounded(full, value, unit))
	}
	return figures, nil
}

// snake returns a name in lower case, with its words joined by underscores.
func snake(name string) string {
	name = strings.ToLower(inCapital.ReplaceAllString(name, "${1}_${2}"))
	return strings.Trim(notInNames.ReplaceAllString(name, "_"), "_")
}
