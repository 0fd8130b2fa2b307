// Command figures measures the system and prints each figure as a JSON line with
// its name, value, unit, bound and whether it meets the bound. It runs the tests and
// benchmarks that print figures, then deployments of processes: one whose primaries
// it kills, cuts off and switches over, and others that it floods with requests. It
// compares the figures with those of an earlier version.
//
// The exit code is 0 only if every figure meets its bound.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// flags are the flags of the command line.
type flags struct {
	Bin        string        `default:"bin" help:"Folder of the binaries."`
	Document   string        `default:"examples/ledger.jsonc" help:"Service document of the deployment."`
	Only       string        `default:"all" enum:"all,same,suites,processes,floods" help:"What to run: all, suites (tests and benchmarks), same (only those that give the same verdict each time), processes, or floods."`
	Kills      int           `default:"50" help:"How many primaries to kill."`
	Cuts       int           `default:"10" help:"How often to cut a primary and its owner off."`
	Switches   int           `default:"20" help:"How often to change the primary as planned."`
	Applies    int           `default:"10" help:"How often to apply a changed document."`
	Statements int           `default:"2000" help:"Statements of each way whose time is compared."`
	FloodTime  time.Duration `default:"10s" help:"How long each flood lasts; 0 leaves the floods out."`
	FloodTimes float64       `default:"10" help:"Offered work of a flood as a multiple of the capacity."`
	Hosts      int           `default:"9" help:"Hosts of the deployment."`
	Lag        time.Duration `default:"20ms" help:"Replication lag of the stand-ins."`
	Earlier    string        `default:"bench/figures.jsonl" help:"Figures to compare with."`
	Out        string        `help:"File for the figures, with the commit and the machine."`
	Logs       string        `help:"Folder for the logs of the processes; by default one that is removed when all went well."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("figures"), kong.Description("Measure the system and print figures as JSON lines."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, f); err != nil {
		fmt.Fprintln(os.Stderr, "figures:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, f flags) error {
	w := &writer{out: os.Stdout}
	var errs []error
	if f.Only == "all" || f.Only == "suites" || f.Only == "same" {
		errs = append(errs, runSuites(ctx, w, f.Only == "same"))
	}
	if f.Only == "all" || f.Only == "processes" {
		errs = append(errs, runProcesses(ctx, w, f))
	}
	if f.Only == "all" || f.Only == "floods" {
		errs = append(errs, runFloods(ctx, w, f))
	}
	earlier, err := readRecord(f.Earlier)
	switch {
	case err == nil:
		compare(os.Stderr, earlier, w.figures)
	case errors.Is(err, os.ErrNotExist):
		fmt.Fprintln(os.Stderr, "no earlier figures at", f.Earlier)
	default:
		errs = append(errs, err)
	}
	if f.Out != "" {
		r := record{Commit: commit(), Machine: machine(), figures: w.figures}
		errs = append(errs, os.MkdirAll(filepath.Dir(f.Out), 0o755), r.write(f.Out))
	}
	if n := w.countFailed(); n > 0 {
		errs = append(errs, fmt.Errorf("%d of %d figures are beyond their bound", n, len(w.figures)))
	}
	return errors.Join(errs...)
}

// runSuites runs the suites one after the other, because concurrent measurements
// would affect each other.
func runSuites(ctx context.Context, w *writer, onlyDeterministic bool) error {
	var errs []error
	for _, s := range suites {
		if onlyDeterministic && !s.deterministic {
			continue
		}
		fmt.Fprintln(os.Stderr, "running:", s.name)
		figures, err := s.run(ctx)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", s.name, err))
		}
		errs = append(errs, w.add(figures...))
	}
	return errors.Join(errs...)
}

// commit returns the name of the measured commit.
func commit() string {
	out, err := exec.Command("git", "describe", "--always", "--dirty", "--exclude=*").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

// machine returns a description of the measuring machine.
func machine() string {
	return fmt.Sprintf("%s/%s, %d processors, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
}
