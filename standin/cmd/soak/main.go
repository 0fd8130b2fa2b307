// Command soak runs a deployment of real processes on loopback addresses under a
// randomized schedule of faults and checks the promises of the service. It runs one or
// more seeds after each other and exits with 0 only if no promise was broken.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/amaranthweir/amaranthweir/standin/soak"
)

// flags are the flags of the command line.
type flags struct {
	Seed         uint64        `help:"First seed; by default one that no earlier run used."`
	Seeds        int           `default:"1" help:"Seeds to run, counted up from the first."`
	Duration     time.Duration `default:"40s" help:"How long faults are injected with each seed."`
	Hosts        int           `default:"5" help:"Hosts."`
	ControlHosts int           `default:"3" help:"Control hosts among them."`
	Groups       int           `default:"2" help:"Groups of three stand-in instances."`
	Callers      int           `default:"16" help:"Callers that run at once."`
	Bin          string        `help:"Folder of the binaries; by default that of the soak itself."`
	Out          string        `default:"soak-runs" help:"Folder for schedules, logs and reports."`
	Keep         bool          `help:"Keep the folders of runs in which all promises were kept."`
	Regressions  bool          `help:"Run the seeds that failed once instead, with their sizes."`
	GroupCuts    bool          `help:"Cut the instances of groups off at once beside primaries that return, and kill all hosts meanwhile, instead of the usual faults."`
	Schedule     bool          `help:"Print the schedules and run nothing."`
	Verbose      bool          `short:"v" help:"Print the events as they happen and the whole report of each run."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("soak"), kong.Description("Inject faults into a deployment of real processes and check what it promises."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, f); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, f flags) error {
	if f.Bin == "" {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		f.Bin = filepath.Dir(executable)
	}
	if f.Seed == 0 {
		f.Seed = uint64(time.Now().Unix())
	}
	var errs []error
	for _, cfg := range f.configs() {
		if ctx.Err() == nil {
			errs = append(errs, runSeed(ctx, f, cfg))
		}
	}
	return errors.Join(append(errs, ctx.Err())...)
}

// configs returns the runs that the flags ask for.
func (f flags) configs() []soak.Config {
	base := soak.Config{
		Duration: f.Duration, Hosts: f.Hosts, ControlHosts: f.ControlHosts, Groups: f.Groups, Callers: f.Callers,
		GroupCuts: f.GroupCuts, Bin: f.Bin, Out: f.Out, Keep: f.Keep, Settle: soak.DefaultSettle,
	}
	if f.Verbose {
		base.Progress = os.Stdout
	}
	var list []soak.Config
	if f.Regressions {
		for _, r := range soak.Regressions {
			c := base
			c.Seed, c.Duration, c.Hosts, c.ControlHosts, c.Groups, c.Callers = r.Seed, r.Duration, r.Hosts, r.ControlHosts, r.Groups, r.Callers
			list = append(list, c)
		}
		return list
	}
	for i := range f.Seeds {
		c := base
		c.Seed = f.Seed + uint64(i)
		list = append(list, c)
	}
	return list
}

// runSeed runs one seed and prints its result.
func runSeed(ctx context.Context, f flags, cfg soak.Config) error {
	if f.Schedule {
		fmt.Print(cfg.Schedule())
		return nil
	}
	report, err := soak.Run(ctx, cfg)
	if err != nil {
		return err
	}
	fmt.Println(report.Summary())
	if f.Verbose {
		fmt.Print(report.Text())
	}
	if err := report.Verdict(); err != nil {
		return fmt.Errorf("%w\n  schedule, logs and report: %s", err, report.Folder)
	}
	return nil
}
